// Package zyentry handles calls at their entry node: it determines the caller,
// route, deadline and attempt budget, sheds calls that a downstream node would
// shed, and forwards the rest. Calls with an idempotency key go through the key
// owner, which runs each key at most once.
package zyentry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zygraph"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zysplit"
	"zinniayoke/core/zythreshold"
)

// Inbound is a call as received from a caller or from a worker of this host.
type Inbound struct {
	// Token authenticates the caller.
	Token string
	// ClaimedCaller is the name that the caller gives without authentication.
	ClaimedCaller string
	// CustomerKey is the customer's key that the request carries, "" for none.
	CustomerKey string
	Key         string
	// Context is the handle of the parent call, "" for root requests.
	Context string
	// Arrived is the arrival time. Arrived plus Timeout is the deadline by which the
	// parent of a call without a handle is found; the zero value disables this.
	Arrived time.Time
	// Timeout is the time that the caller allows, 0 for the default of the route.
	Timeout time.Duration
	Service zinniayoke.Service
	// Request is the id chosen by the caller, "" to generate one.
	Request zinniayoke.RequestID
	// Host and the path select the route if Service is empty.
	Host string
	// Target is the raw path and query. If set, it is forwarded instead of those of
	// HTTP, so that they stay unchanged byte for byte.
	Target  string
	HTTP    *http.Request
	Headers []zinniayoke.Header
	Body    []byte
}

// Result is the result of a call.
type Result struct {
	Reply   *zinniayoke.Reply
	Request zinniayoke.RequestID
	// Attempts is the number of attempts that the request caused in its entire call
	// chain. For a call with a key, attempts that an earlier reply for the same key
	// already reported are left out.
	Attempts zinniayoke.Tokens
}

// KeyOwners forwards requests with keys to the owners of the keys.
type KeyOwners interface {
	// Run lets the key owner run the request. It always returns a reply.
	Run(ctx context.Context, home zinniayoke.Domain, c *zinniayoke.Call) *zinniayoke.Reply
	// ConfirmNotRun reports whether the key owner confirms that no request with the
	// key has run.
	ConfirmNotRun(ctx context.Context, home zinniayoke.Domain, key zinniayoke.Key) bool
}

// Config configures an Entry.
type Config struct {
	Bundle     func() *zybundle.Bundle
	Parents    *zyparent.Table
	Thresholds *zythreshold.Tracker
	Sender     *zyegress.Sender
	KeyOwners  KeyOwners
	Quarantine *zyquarantine.Tracker
	Shares     *zyrank.Shares
	// CustomerLimits limits the requests of customers; nil means no limits.
	CustomerLimits zinniayoke.CustomerLimiter
	Meter          zinniayoke.Meter
	// Recorder records the end of each call; nil discards the events.
	Recorder zinniayoke.EventRecorder
	// Graph distinguishes routes called by workers from those called by callers. It
	// is nil if workers pass on the handles of parent calls.
	Graph *zygraph.Graph
	// Shedder sheds root calls in place of Thresholds; it is used together with
	// Graph and may be nil.
	Shedder *zybackpressure.Shedder
	// Splits chooses the service of routes that are split between several; nil if no
	// route is split.
	Splits *zysplit.Chooser
	// PromisesNotRun reports whether clients take a response with this status as the promise that
	// the request has not run; nil means that they go by the outcome alone.
	PromisesNotRun func(status int) bool
	// NewID returns a new request id; nil means random ids.
	NewID func() zinniayoke.RequestID
}

// Entry handles calls at their entry node. It is safe for concurrent use. Use New
// to create one.
type Entry struct {
	cfg    Config
	limits callerLimits
	handle zinniayoke.Handler[*callState, *zinniayoke.Reply]
	// shutdown is nil unless the node is stopping.
	shutdown atomic.Pointer[Shutdown]
	// abandoned is done once Abandon was called.
	abandoned context.Context
	abandon   context.CancelFunc
}

// callState is the state of a call as it passes through the filters.
type callState struct {
	in     *Inbound
	bundle *zybundle.Bundle
	caller zybundle.Caller
	// customer is the zero value for requests without a customer.
	customer zybundle.Customer
	route    *zybundle.Route
	parent   *zyparent.Parent
	// chain is the presumed chain of calls of a worker's run that this call belongs to.
	chain *zyparent.Chain
	// fromWorker is true for a call of a worker that carries no parent handle. Its
	// parent may be nil.
	fromWorker bool
	call       *zinniayoke.Call
	budget     *zyattempt.Budget
	// threshold is the rank below which calls were shed, if this call was shed.
	threshold zinniayoke.Rank
	// granted is the attempt budget that the call was given.
	granted zinniayoke.Tokens
	// refusedByShutdown is true if the call was refused because it might outlast the node.
	refusedByShutdown bool
}

// New returns an Entry.
func New(cfg Config) *Entry {
	if cfg.NewID == nil {
		cfg.NewID = newRequestID
	}
	if cfg.Recorder == nil {
		cfg.Recorder = zinniayoke.NopEventRecorder{}
	}
	e := &Entry{cfg: cfg}
	e.abandoned, e.abandon = context.WithCancel(context.Background())
	e.handle = zinniayoke.Chain(e.send,
		e.identify, e.findRoute, e.setDeadline, e.refuseOutlasting, e.limitCaller, e.limitCustomer, e.setKey, e.refuseQuarantined, e.shed, e.allocateBudget)
	return e
}

// Handle runs a call. Result.Reply is never nil.
func (e *Entry) Handle(ctx context.Context, in *Inbound) *Result {
	start := time.Now()
	cs := &callState{in: in, bundle: e.cfg.Bundle(), call: &zinniayoke.Call{Service: in.Service}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(e.abandoned, cancel)
	defer stop()
	reply, err := e.handle(ctx, cs)
	if err != nil {
		reply = e.replyOf(ctx, cs, err)
	}
	reply = e.dropFalsePromise(cs, reply)
	if reply.Outcome == zinniayoke.OutcomeNotRun && cs.in.Key != "" && !cs.call.KeyFromCaller {
		// No key owner knows this key, so another call with it may have run.
		changed := *reply
		changed.Outcome = zinniayoke.OutcomeUnknown
		reply = &changed
	}
	if reply.Outcome == zinniayoke.OutcomeNotRun && e.cfg.Shedder != nil && cs.route != nil && !cs.fromWorker && !isCustomerRefusal(reply.Reason) &&
		!cs.refusedByShutdown {
		changed := *reply
		changed.RetryAfter = retryAfter(cs)
		reply = &changed
		e.cfg.Shedder.RecordRefusal(time.Now(), cs.call.BodyHash)
	}
	duration := time.Since(start)
	e.cfg.Meter.ObserveCall(sampleOf(cs, reply, duration))
	e.recordEnd(cs, reply, duration)
	result := &Result{Reply: reply, Request: cs.call.Request}
	if cs.budget != nil {
		result.Attempts = cs.granted - cs.budget.Remaining()
	}
	if cs.call.KeyFromCaller {
		result.Attempts = reply.Spent
	}
	return result
}

// recordEnd records the event that the call has ended.
func (e *Entry) recordEnd(cs *callState, reply *zinniayoke.Reply, duration time.Duration) {
	event := &zinniayoke.Event{
		Kind: zinniayoke.EventCallEnded, Request: cs.call.Request, Route: cs.call.Route, Service: cs.call.Service, Customer: cs.call.Customer,
		Reason: reply.Reason, Outcome: reply.Outcome, Version: cs.call.Version, Rank: cs.call.Rank, Depth: cs.call.Depth,
		Threshold: cs.threshold, Duration: duration, Detail: reply.Detail,
	}
	if cs.parent != nil {
		event.Parent = cs.parent.Request
	}
	if reply.Response != nil {
		event.Status = reply.Response.Status
	}
	if event.Version == 0 && cs.bundle != nil {
		event.Version = cs.bundle.Version
	}
	if !cs.call.Deadline.IsZero() {
		event.TimeLeft = time.Until(cs.call.Deadline)
	}
	e.cfg.Recorder.Record(event)
}

func sampleOf(cs *callState, reply *zinniayoke.Reply, duration time.Duration) zinniayoke.CallSample {
	s := zinniayoke.CallSample{
		Caller: cs.call.Caller, Customer: cs.call.Customer, Outcome: reply.Outcome, Reason: reply.Reason, Duration: duration, Child: cs.parent != nil,
	}
	if cs.route != nil {
		s.Class = cs.route.Class.Name
	}
	return s
}

// send is the innermost handler: it forwards the call to the key owner or, without
// a key, to an upstream.
func (e *Entry) send(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
	if cs.call.KeyFromCaller {
		home, _ := cs.bundle.HomeOf(cs.call.Caller)
		cs.budget.DelegateAll()
		reply := e.cfg.KeyOwners.Run(ctx, home, cs.call)
		cs.budget.Refund(reply.Unused)
		return reply, nil
	}
	return e.cfg.Sender.Send(ctx, zyegress.SendParams{Call: cs.call, Route: cs.route, Budget: cs.budget}), nil
}
