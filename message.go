package zinniayoke

import "time"

// Header is an HTTP header of a request or a response.
type Header struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Call is a caller's request as it passes through the filters of a node. Peers of earlier
// versions decode it by the position of its fields, so new ones go to the end.
type Call struct {
	Request RequestID
	Caller  Caller
	Service Service
	Method  string
	// Host is the host named by the caller, "" if routing does not need it.
	Host     string
	Path     string
	Query    string
	Headers  []Header
	Body     []byte
	BodyHash uint64

	// Key is set if the caller supplied a key, or if one is derived from the key or id
	// of the parent request, and the route must not be repeated.
	Key Key
	// KeyFromCaller is true if Key was set in one of these two ways. The call then goes
	// to the owner of the key.
	KeyFromCaller bool `codec:"OwnKey"`

	Route    RouteName
	Rank     Rank
	Deadline time.Time
	Tokens   Tokens
	Depth    int
	Version  Version
	// MaxWait limits how long the call may queue for a worker; 0 means the default.
	MaxWait time.Duration `codec:"Patience"`
	// InRepeatedRun is true if the call is made by a run of a call that was resent.
	InRepeatedRun bool
	// EarlierCalls is how many calls the run that makes this one has made before, as far
	// as known.
	EarlierCalls int
	// Customer is the customer whose key the request carried, "" for none and for calls of
	// workers.
	Customer Customer
	// Share is the customer to whose share of the capacity the call counts: Customer, or
	// for the call of a worker that of the presumed parent.
	Share Customer
}

// Attempt is one send of a call to the node of a worker.
// Its zero value is not valid: ID, Request, Service and Method are required. Peers of earlier
// versions decode it by the position of its fields, so new ones go to the end.
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
	// MaxWait limits how long the attempt may queue for the worker; 0 means the
	// default of the worker's admission queue.
	MaxWait time.Duration `codec:"pt"`
	// RefusedElsewhere is true if another node refused the call before. That node
	// has already counted the call as demand.
	RefusedElsewhere bool `codec:"ag"`
	// Resent is true if an earlier attempt of the call was delivered to a worker.
	Resent bool `codec:"rs"`
	// InRepeatedRun is true if the call is made by a run of a call that was resent.
	InRepeatedRun bool `codec:"rr"`
	// EarlierCalls is how many calls the run that makes this one has made before, as far
	// as known.
	EarlierCalls int `codec:"ec"`
	// LastChoice is true if the sender asks no other node should this one refuse because of
	// the rate limit of its worker.
	LastChoice bool `codec:"lc"`
	// Heard is what the sender has heard of the worker in earlier replies, nil if nothing.
	// The node of the worker may have started again since, and know less.
	Heard *HeardNotice `codec:"no"`
	// Customer is that of the call.
	Customer Customer `codec:"cu"`
	// Share is the customer to whose share of the capacity the attempt counts. Unlike
	// Customer, it is not told to the worker, and is set for calls of workers too.
	Share Customer `codec:"sh"`
	// RedirectAfter is the expected wait above which the worker's node refuses the attempt
	// with ReasonBusy; 0 means that it never does.
	RedirectAfter time.Duration `codec:"rd,omitempty"`
	// UsualTime is the average time for which calls of the route occupy a slot of any worker
	// of the service, as observed by the sender; 0 if unknown.
	UsualTime time.Duration `codec:"ut,omitempty"`
}

// Grant is the permission to run an idempotency key once, issued by the owner of
// the key's slot. The zero value grants nothing; calls that do not need a grant
// carry it.
type Grant struct {
	Slot  KeySlot `codec:"s"`
	Epoch Epoch   `codec:"e"`
}

// KeySlot is a hash slot: one partition of the key space of a home failure domain.
type KeySlot struct {
	Domain Domain `codec:"d"`
	Number int    `codec:"n"`
}

// Epoch orders the successive owners of a slot. Major increases with each
// recovery, Node distinguishes recoveries with the same Major, and Minor increases
// with each planned hand-over. The zero value is lower than any other epoch.
type Epoch struct {
	Major uint64 `codec:"a"`
	Node  NodeID `codec:"n"`
	Minor uint64 `codec:"i"`
}

// Less reports whether e is an earlier epoch than f.
func (e Epoch) Less(f Epoch) bool {
	if e.Major != f.Major {
		return e.Major < f.Major
	}
	if e.Node != f.Node {
		return e.Node < f.Node
	}
	return e.Minor < f.Minor
}

// Response is the complete response of a worker.
type Response struct {
	Status  int      `codec:"st"`
	Headers []Header `codec:"he"`
	Body    []byte   `codec:"bo"`
	Length  int      `codec:"le"`
	Hash    uint64   `codec:"ha"`
	// Request and Attempt identify the attempt that the response belongs to.
	Request RequestID `codec:"rq"`
	Attempt AttemptID `codec:"at"`
}

// Reply is a node's reply to an attempt. Peers of earlier versions decode it by the position of
// its fields, so new ones go to the end.
type Reply struct {
	Attempt AttemptID `codec:"id"`
	Request RequestID `codec:"rq"`
	// Response is nil if the attempt was refused or its response was lost.
	Response   *Response     `codec:"an"`
	Reason     Reason        `codec:"re"`
	Outcome    Outcome       `codec:"ou"`
	Detail     string        `codec:"de"`
	RetryAfter time.Duration `codec:"af"`
	// Unused is the part of the attempt budget that is returned to the sender.
	Unused Tokens `codec:"un"`
	// Spent is the number of attempts made for the key that no earlier reply has
	// reported. Tokens that may still be used count as used for Unused, but not for
	// Spent.
	Spent Tokens `codec:"sp"`
	// Threshold is the lowest rank currently admitted by the worker and everything
	// downstream of it.
	Threshold Rank `codec:"th"`
	// Load is the percentage of the worker's concurrency limit that is in use.
	Load int `codec:"lo"`
	// Delivered is true if the attempt was delivered to the worker, even if the worker
	// refused it.
	Delivered bool `codec:"hd"`
	// CalledByWorkers is true if the worker's node has observed that the route is called
	// by workers and not by clients, and that the sender's service is one of those that
	// call it.
	CalledByWorkers bool `codec:"ki"`
	// Costs is the cost of a call of the route to each service.
	Costs []ServiceCost `codec:"bu"`
	// Heard is what the worker says about itself, nil if nothing.
	Heard *HeardNotice `codec:"no"`
	// WorkerError is true if the response is a server error of the worker itself: no call
	// that its run made is known to have failed.
	WorkerError bool `codec:"we"`
	// Report is the load of the worker, nil without even load.
	Report *LoadReport `codec:"lr,omitempty"`
	// HoldTime is for how long the call occupied a slot of the worker; 0 without even load.
	HoldTime time.Duration `codec:"ht,omitempty"`
	// Wait is how long the call waited for the worker; 0 without even load.
	Wait time.Duration `codec:"wt,omitempty"`
}

// ServiceCost is the cost of a call to a service, including all calls to that
// service that it causes directly or indirectly.
type ServiceCost struct {
	Service Service `codec:"s"`
	// Cost is how long concurrency slots of the service are occupied, in slot-seconds.
	Cost float64 `codec:"c"`
	// ExcessShare is the fraction of the demand on the service that exceeds its
	// capacity.
	ExcessShare float64 `codec:"p"`
}

// QueryReply reports the state of an attempt and, if there is one, its reply.
type QueryReply struct {
	State AttemptState `codec:"fa"`
	Reply *Reply       `codec:"re"`
}

// WorkerCall is a call as delivered to the worker.
type WorkerCall struct {
	Attempt *Attempt
	// Instance is the run of the worker that the call is meant for, "" for any.
	Instance Instance
	// Context is the opaque handle that the worker must pass on with its child calls.
	Context string
	Timeout time.Duration
	// OnNotice is called with what the response says about the worker, also if the response
	// is a rejection, before Run returns. The error says which part of it could not be read.
	// It is nil if nobody wants to know.
	OnNotice func(n WorkerNotice, err error)
	// OnLoad is called with the load that the response reports, if any, before Run returns.
	// The error says which part of it could not be read. It is nil if nobody wants to know.
	OnLoad func(l WorkerLoad, err error)
}

// WorkerNotice is what a worker says about itself in a response. The zero value says
// nothing.
type WorkerNotice struct {
	// Limited is true if the worker limits its calls to the rate Limit, which may be 0.
	Limited bool `codec:"l"`
	// Limit is the rate that the worker accepts from all nodes together.
	Limit Rate `codec:"r"`
	// Leaving is true if the worker is about to end.
	Leaving bool `codec:"e"`
}

// HeardNotice is what a run of a worker says about itself, as one node tells another.
type HeardNotice struct {
	Instance Instance `codec:"i"`
	// Incarnation is 0 if the node does not know it.
	Incarnation Incarnation  `codec:"n"`
	Notice      WorkerNotice `codec:"w"`
}

// QuotaRequest asks a node for tokens of some of the customers that it owns.
type QuotaRequest struct {
	// Node is a hash of the id of the requesting node, which is shorter than the id. It is 0
	// in a request for nothing but tokens for requests that wait.
	Node uint32     `codec:"n"`
	Asks []QuotaAsk `codec:"a"`
}

// QuotaAsk asks for tokens of one customer.
type QuotaAsk struct {
	Customer Customer `codec:"c"`
	// Held is the number of tokens that the node has in its lease.
	Held int `codec:"h"`
	// Unused is the number of tokens that the node got before and that have expired.
	Unused int `codec:"u"`
	// Needed is the number of requests that wait for a token.
	Needed int `codec:"d"`
	// Wanted is the number of tokens that the node would hold ahead of need.
	Wanted int `codec:"w"`
}

// QuotaReply holds the grants for the asks of a request, in the same order.
type QuotaReply struct {
	Grants []QuotaGrant `codec:"g"`
}

// QuotaGrant replaces the requesting node's lease of tokens of one customer.
type QuotaGrant struct {
	State QuotaState `codec:"s"`
	// Lease is the number of tokens in the new lease, which includes those that the node
	// held when it sent the request. The lease expires a fixed time after that.
	Lease int `codec:"l"`
	// WaitMs is the time in milliseconds until the owner expects a token for the node; 0
	// if there is one now.
	WaitMs int `codec:"w"`
}

// QuotaState says whether the node that was asked for tokens of a customer grants them.
type QuotaState int

// The states of an owner.
const (
	// QuotaActive means that the node owns the customer and grants tokens.
	QuotaActive QuotaState = iota
	// QuotaSettling means that the node has owned the customer for too short a time to
	// grant tokens.
	QuotaSettling
	// QuotaNotOwner means that the node does not own the customer as far as it knows.
	QuotaNotOwner
)

// QuotaRelease asks a node to grant no more tokens of customers that the sender owns now.
type QuotaRelease struct {
	Customers []Customer `codec:"c"`
}

// QuotaHandover holds the token buckets of the customers of a release, in the same order.
type QuotaHandover struct {
	// Share is the part of each limit that the former owner has granted.
	Share   float64      `codec:"s"`
	Buckets []QuotaLevel `codec:"b"`
}

// QuotaLevel is the fill level of a token bucket.
type QuotaLevel struct {
	// Owned is false if the node did not own the customer.
	Owned  bool    `codec:"o"`
	Tokens float64 `codec:"t"`
}
