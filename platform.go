package zinniayoke

import (
	"context"
	"time"
)

// Record is one entry of a stream. ID is chosen by the appender, so that an
// append whose answer was lost can be looked for.
type Record struct {
	Offset Offset `json:"offset"`
	ID     string `json:"id"`
	Body   []byte `json:"body"`
}

// Log is the platform's append-only log. All methods may fail with a *LogError;
// Read fails with an *ExpiredError where from is no longer kept.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, s Stream, id string, body []byte) (Offset, error)
	// Read returns at most limit records, starting with offset from.
	Read(ctx context.Context, s Stream, from Offset, limit int) ([]Record, error)
	// First returns the offset of the first record that is kept.
	First(ctx context.Context, s Stream) (Offset, error)
}

// Discovery is where nodes leave the addresses of their peer ports for nodes that
// start later.
type Discovery interface {
	// Announce leaves this node's address.
	Announce(ctx context.Context, id NodeID, peer string) error
	// Find returns addresses of nodes, the newest first. Some may be gone.
	FindPeers(ctx context.Context) ([]string, error)
}

// Worker is the program on the node's own host that does the work.
type Worker interface {
	// Run hands the call to the worker and returns its whole answer.
	// Handed reports whether the worker may have seen the call.
	Run(ctx context.Context, call *WorkerCall) (answer *Response, handed bool, err error)
	// Probe returns an error where the worker takes no connections.
	Probe(ctx context.Context) error
}

// Upstream is what the system knows about one worker and its node.
type Upstream struct {
	Node        NodeID      `codec:"node" json:"node"`
	Locality    Locality    `codec:"place" json:"place"`
	PeerAddress string      `codec:"peer" json:"peer"`
	Service     Service     `codec:"service" json:"service"`
	Slots       int         `codec:"slots" json:"slots"`
	Connections int         `codec:"connections" json:"connections"`
	State       WorkerState `codec:"state" json:"state"`
	Incarnation Incarnation `codec:"incarnation" json:"incarnation"`
	// Leaving is true once the node itself has begun its planned stop.
	Leaving bool `codec:"leaving" json:"leaving"`
}

// PeerClient sends messages to other nodes.
type PeerClient interface {
	// Run sends an attempt to the node of a worker and waits for its reply.
	Run(ctx context.Context, to Upstream, a *Attempt) (*Reply, error)
	// Query asks a node over a fresh connection what became of an attempt.
	Query(ctx context.Context, to Upstream, id AttemptID) (*QueryReply, error)
	// Cancel tells a node that nobody waits for an attempt any more.
	Cancel(to Upstream, id AttemptID)
}

// Resolver knows the upstreams of each service.
type Resolver interface {
	// Upstreams returns the workers of a service that are not known to be gone.
	// The result must not be changed.
	Upstreams(s Service) []Upstream
}

// CallSample is one finished call at its entry.
type CallSample struct {
	Caller   Caller
	Class    ClassName
	Outcome  Outcome
	Reason   Reason
	Duration time.Duration
	// Child is true if the call was made by a worker on behalf of another request.
	Child bool
}

// AttemptSample is one attempt at the worker's node.
type AttemptSample struct {
	Class       ClassName
	Reason      Reason
	QueueTime   time.Duration
	ServiceTime time.Duration
	Limit       int
	Running     int
}

// Meter takes measurements. Implementations must be safe for use by several
// goroutines.
type Meter interface {
	// Call notes the end of a call at its entry.
	ObserveCall(s CallSample)
	// Attempt notes the end of an attempt at the worker's node.
	ObserveAttempt(s AttemptSample)
	// Sent notes that an attempt goes out.
	CountSent(s Service)
	// Mismatch notes an answer that was dropped since it was crossed, short or late.
	CountMismatch()
}
