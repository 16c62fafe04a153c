package zinniayoke

import (
	"context"
	"time"
)

// Record is one entry of a stream. The appender chooses the ID so that it can look
// for the record if the response to the append is lost.
type Record struct {
	Offset Offset `json:"offset"`
	ID     string `json:"id"`
	Body   []byte `json:"body"`
}

// Log is the platform's append-only log. All methods may return a *LogError. Read
// returns an *ExpiredError if the record at offset from is no longer retained.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, s Stream, id string, body []byte) (Offset, error)
	// Read returns at most limit records, starting with offset from.
	Read(ctx context.Context, s Stream, from Offset, limit int) ([]Record, error)
	// First returns the offset of the first retained record.
	First(ctx context.Context, s Stream) (Offset, error)
}

// Discovery lets nodes publish what outlives their processes: their peer addresses, by which
// starting nodes find others to join, and which runs of their workers leave.
type Discovery interface {
	// Announce publishes this node's peer address.
	Announce(ctx context.Context, id NodeID, peer string) error
	// RecordDepartures publishes that runs of workers leave, all or none. Once it has returned
	// nil, all later calls of Find return the departures until they are dropped, or until the
	// store comes back from an older copy; see Registry.Era.
	RecordDepartures(ctx context.Context, list ...Departure) error
	// ConfirmEra publishes that what was lost when the era began has been recorded again.
	ConfirmEra(ctx context.Context, era StoreEra) error
	// DropDepartures removes departures that are no longer needed. An implementation may leave
	// that to the expiry of its records.
	DropDepartures(ctx context.Context, list []Departure) error
	// Find returns what is published.
	Find(ctx context.Context) (Registry, error)
}

// Registry is what nodes have published.
type Registry struct {
	// Peers holds the peer addresses of nodes, newest first. Some of the nodes may be gone.
	Peers []string
	// Departures holds the recorded departures in no particular order.
	Departures []Departure
	// Era is the era of the store, 0 if it has none. An era after the first one begins when the
	// store comes back from a copy, which lacks the latest records.
	Era StoreEra
	// Confirmed is the latest era that was confirmed; see Discovery.ConfirmEra.
	Confirmed StoreEra
}

// IsComplete reports whether the registry holds all departures that were recorded, also in
// earlier eras.
func (r *Registry) IsComplete() bool {
	return r.Confirmed >= r.Era
}

// Departure is the acknowledged announcement of a worker that one of its runs leaves.
type Departure struct {
	Host     string   `codec:"h" json:"host"`
	Instance Instance `codec:"i" json:"instance"`
	// Incarnation is that of the run, or an upper bound if the host's node has not known the
	// run; 0 if there is neither.
	Incarnation Incarnation `codec:"n" json:"incarnation,omitempty"`
	// Sequence is that of the announcement. Later announcements of the run still count; 0 means
	// that none does.
	Sequence uint64 `codec:"s" json:"sequence,omitempty"`
	// Recorded is when the departure was recorded, by the clock of the host.
	Recorded time.Time `codec:"-" json:"recorded"`
}

// IsComplete reports whether the departure names a run of the worker of a host. An incomplete one
// was not written by a node and must not end any run.
func (d *Departure) IsComplete() bool {
	return d.Host != "" && (d.Instance != "" || d.Incarnation != 0)
}

// Worker is the application process on the node's host that executes calls.
type Worker interface {
	// Run sends the call to the worker and returns its complete response.
	// delivered reports whether the worker may have seen the call.
	Run(ctx context.Context, call *WorkerCall) (resp *Response, delivered bool, err error)
	// Probe returns an error if the worker does not accept connections.
	Probe(ctx context.Context) error
}

// Upstream describes a worker and its node.
type Upstream struct {
	Node        NodeID      `codec:"node" json:"node"`
	Locality    Locality    `codec:"place" json:"place"`
	PeerAddress string      `codec:"peer" json:"peer"`
	Service     Service     `codec:"service" json:"service"`
	Slots       int         `codec:"slots" json:"slots"`
	Connections int         `codec:"connections" json:"connections"`
	State       WorkerState `codec:"state" json:"state"`
	Incarnation Incarnation `codec:"incarnation" json:"incarnation"`
	// Leaving is true once the node has begun a planned shutdown.
	Leaving bool `codec:"leaving" json:"leaving"`
}

// PeerClient sends requests to other nodes.
type PeerClient interface {
	// Run sends an attempt to the node of a worker and waits for the reply.
	Run(ctx context.Context, to Upstream, a *Attempt) (*Reply, error)
	// Query asks a node for the state of an attempt, over a new connection.
	Query(ctx context.Context, to Upstream, id AttemptID) (*QueryReply, error)
	// Cancel tells a node that the result of an attempt is no longer needed.
	Cancel(to Upstream, id AttemptID)
	// Withdraw tells a node to refuse an attempt that still waits for its worker. An attempt
	// that runs goes on.
	Withdraw(to Upstream, id AttemptID)
}

// CustomerLimiter limits the requests of each customer over all nodes together.
type CustomerLimiter interface {
	// Take takes the customer's permission for one request. It may wait for another node.
	// The error is a *CallError with ReasonCallerLimit, whose RetryAfter is when the next
	// permission is expected.
	Take(ctx context.Context, limit CustomerLimit) error
	// Return gives back the permission of a request that no worker has run.
	Return(c Customer)
}

// QuotaClient sends requests for tokens to the nodes that own customers. A token is the
// permission for one request of a customer.
type QuotaClient interface {
	// RequestQuota asks the owner of customers for tokens. The error is ErrNotRunning if
	// the node's process certainly does not run.
	RequestQuota(ctx context.Context, owner NodeID, r *QuotaRequest) (*QuotaReply, error)
	// ReleaseQuota asks the former owner of customers to hand them over.
	ReleaseQuota(ctx context.Context, owner NodeID, r *QuotaRelease) (*QuotaHandover, error)
}

// CustomerLimit is the rate limit of a customer.
type CustomerLimit struct {
	Customer Customer
	// Rate is the limit of all nodes together; 0 means none.
	Rate Rate
	// Burst is the number of requests that may exceed Rate at once.
	Burst float64
}

// Resolver finds the upstreams of a service.
type Resolver interface {
	// Upstreams returns the workers of a service that are not known to be gone.
	// The caller must not modify the result.
	Upstreams(s Service) []Upstream
}

// CallSample describes a finished call at its entry node.
type CallSample struct {
	Caller Caller
	// Customer is "" for requests without a customer.
	Customer Customer
	Class    ClassName
	Outcome  Outcome
	Reason   Reason
	Duration time.Duration
	// Child is true if the call was made by a worker on behalf of another request.
	Child bool
}

// AttemptSample describes a finished attempt at the worker's node.
type AttemptSample struct {
	Class       ClassName
	Reason      Reason
	QueueTime   time.Duration
	ServiceTime time.Duration
	Limit       int
	Running     int
}

// Meter records measurements. Implementations must be safe for concurrent use.
type Meter interface {
	// ObserveCall records the end of a call at its entry node.
	ObserveCall(s CallSample)
	// ObserveAttempt records the end of an attempt at the worker's node.
	ObserveAttempt(s AttemptSample)
	// CountSent counts an attempt sent to a service.
	CountSent(s Service)
	// CountMismatch counts a response that was dropped because it belonged to another
	// attempt, was truncated or arrived too late.
	CountMismatch()
}
