package zinniayoke

import "time"

// Header is one HTTP header of a request or an answer.
type Header struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Call is a caller's request on its way through the filters of a node.
type Call struct {
	Request RequestID
	Caller  Caller
	Service Service
	Method  string
	// Host is the host that the caller named, "" where the route is found without.
	Host     string
	Path     string
	Query    string
	Headers  []Header
	Body     []byte
	BodyHash uint64

	// Key is set where the caller gave its own key or the parent's key leads to one.
	Key Key
	// KeyFromCaller is true where the key came from a caller and not from the entry.
	KeyFromCaller bool `codec:"OwnKey"`

	Route    RouteName
	Rank     Rank
	Deadline time.Time
	Tokens   Tokens
	Depth    int
	Version  Version
	// MaxWait is how long the call may wait for a worker, 0 for the usual time.
	MaxWait time.Duration `codec:"Patience"`
}

// Attempt is one send of a call to the node of one worker.
// Its zero value is not valid: ID, Request, Service and Method are required.
type Attempt struct {
	ID       AttemptID     `codec:"id"`
	Request  RequestID     `codec:"rq"`
	Caller   Caller        `codec:"ca"`
	Service  Service       `codec:"sv"`
	Route    RouteName     `codec:"ro"`
	Method   string        `codec:"me"`
	Host     string        `codec:"ho"`
	Path     string        `codec:"pa"`
	Query    string        `codec:"qu"`
	Headers  []Header      `codec:"he"`
	Body     []byte        `codec:"bo"`
	BodyHash uint64        `codec:"bh"`
	Key      Key           `codec:"ke"`
	Grant    Grant         `codec:"gr"`
	Rank     Rank          `codec:"ra"`
	Timeout  time.Duration `codec:"le"`
	Tokens   Tokens        `codec:"to"`
	Depth    int           `codec:"de"`
	Version  Version       `codec:"ve"`
	// MaxWait is how long the attempt may wait for the worker, 0 for as long as
	// the gate lets all wait.
	MaxWait time.Duration `codec:"pt"`
	// RefusedElsewhere is true where another node has refused the call before. Its worker's
	// node has counted it as asked for.
	RefusedElsewhere bool `codec:"ag"`
}

// Grant is a keeper's permission to run a key once. The zero value grants
// nothing and belongs to calls that need no keeper.
type Grant struct {
	Slot  KeySlot `codec:"s"`
	Epoch Epoch   `codec:"e"`
}

// KeySlot numbers a part of the key space of one home failure domain.
type KeySlot struct {
	Domain Domain `codec:"d"`
	Number int    `codec:"n"`
}

// Epoch orders the keepers of one slot. Major grows with each recovery, Node
// parts two recoveries of the same number, Minor grows with each hand-over.
// The zero value is lower than any other epoch.
type Epoch struct {
	Major uint64 `codec:"a"`
	Node  NodeID `codec:"n"`
	Minor uint64 `codec:"i"`
}

// Less reports whether e is older than f.
func (e Epoch) Less(f Epoch) bool {
	if e.Major != f.Major {
		return e.Major < f.Major
	}
	if e.Node != f.Node {
		return e.Node < f.Node
	}
	return e.Minor < f.Minor
}

// Response is the whole answer of a worker.
type Response struct {
	Status  int      `codec:"st"`
	Headers []Header `codec:"he"`
	Body    []byte   `codec:"bo"`
	Length  int      `codec:"le"`
	Hash    uint64   `codec:"ha"`
	// Request and Attempt name what the answer belongs to.
	Request RequestID `codec:"rq"`
	Attempt AttemptID `codec:"at"`
}

// Reply is what a node says about an attempt.
type Reply struct {
	Attempt AttemptID `codec:"id"`
	Request RequestID `codec:"rq"`
	// Response is nil where the attempt was refused or lost.
	Response   *Response     `codec:"an"`
	Reason     Reason        `codec:"re"`
	Outcome    Outcome       `codec:"ou"`
	Detail     string        `codec:"de"`
	RetryAfter time.Duration `codec:"af"`
	// Unused tokens go back to the sender.
	Unused Tokens `codec:"un"`
	// Spent is how many attempts a key has used that no earlier reply has told of.
	// Unused counts what may still be used as used; Spent does not.
	Spent Tokens `codec:"sp"`
	// Threshold is the lowest rank that the worker and those below it admit now.
	Threshold Rank `codec:"th"`
	// Load is the share of its concurrency limit that the worker uses, in percent.
	Load int `codec:"lo"`
	// Delivered is true where the worker was given the attempt, also if it refused it.
	Delivered bool `codec:"hd"`
	// SoleParent is true where the node of the worker sees that only workers of the
	// sender's service call the route.
	SoleParent bool `codec:"ki"`
	// Costs is what a call of the route costs each service.
	Costs []ServiceCost `codec:"bu"`
}

// ServiceCost is what a call costs a service in the end, with all calls that it leads
// to there.
type ServiceCost struct {
	Service Service `codec:"s"`
	// Cost is the time in seconds for which slots of the service are held.
	Cost float64 `codec:"c"`
	// ExcessShare is the part of what is asked of the service that it has no room for.
	ExcessShare float64 `codec:"p"`
}

// QueryReply reports the state of an attempt and, if there is one, its reply.
type QueryReply struct {
	State AttemptState `codec:"fa"`
	Reply *Reply       `codec:"re"`
}

// WorkerCall is a call as it is handed to the worker.
type WorkerCall struct {
	Attempt *Attempt
	// Instance is the start of the worker that the call is for, "" for any.
	Instance Instance
	// Context is the handle that the worker returns with its child calls.
	Context string
	Timeout time.Duration
}
