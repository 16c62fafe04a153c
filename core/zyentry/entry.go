// Package zyentry takes a call in: it finds the caller, the route, the deadline
// and the attempts, sheds at the door, and sends the call on, for keys that
// must run at most once through the keeper of the key.
package zyentry

import (
	"context"
	"net/http"
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

// Inbound is a call as it came in.
type Inbound struct {
	Token         string
	ClaimedCaller string
	Key           string
	// Context is the handle of the parent's call, "" for root requests.
	Context string
	// Arrived is when the call came in, with Timeout the moment by which a parent
	// is found that gave no handle. The zero value looks for none.
	Arrived time.Time
	// Timeout is what the caller allows, 0 for the route's own.
	Timeout time.Duration
	Service zinniayoke.Service
	// Request is the id that the caller chose, "" for one of the entry's own.
	Request zinniayoke.RequestID
	// Host selects the route together with the path where Service is empty.
	Host string
	// Target is sent on in place of the path and query of HTTP where it is set, so
	// that not a byte of them changes.
	Target  string
	HTTP    *http.Request
	Headers []zinniayoke.Header
	Body    []byte
}

// Result is how a call ended.
type Result struct {
	Reply   *zinniayoke.Reply
	Request zinniayoke.RequestID
	// Attempts is how many sends the request has caused in its whole chain; with a
	// key, those that no reply to an earlier send of the key has told of.
	Attempts zinniayoke.Tokens
}

// KeyOwners runs requests whose keys are kept by some node.
type KeyOwners interface {
	// Run lets the keeper run the request. It always returns a reply.
	Run(ctx context.Context, home zinniayoke.Domain, c *zinniayoke.Call) *zinniayoke.Reply
	// Note reports whether the keeper confirms that the key ran nowhere.
	Note(ctx context.Context, home zinniayoke.Domain, key zinniayoke.Key) bool
}

// Config configures an Entry.
type Config struct {
	Rules      func() *zybundle.Bundle
	Parents    *zyparent.Table
	Thresholds *zythreshold.Tracker
	Sender     *zyegress.Sender
	KeyOwners  KeyOwners
	Suspects   *zyquarantine.Tracker
	Shares     *zyrank.Shares
	Meter      zinniayoke.Meter
	// Recorder takes the end of each call; nil means none.
	Recorder zinniayoke.EventRecorder
	// Graph tells routes that workers call from those that callers call; nil where
	// handles tell.
	Graph *zygraph.Graph
	// Pressure sheds at the door where Graph is set.
	Pressure *zybackpressure.Shedder
	// Splits chooses the service of split routes; nil where no route is split.
	Splits *zysplit.Chooser
	// NewID returns a fresh request id; nil means random ones.
	NewID func() zinniayoke.RequestID
}

// Entry takes calls in. It may be used by several goroutines. An Entry must be
// made with New.
type Entry struct {
	cfg    Config
	limits limits
	handle zinniayoke.Handler[*job, *zinniayoke.Reply]
}

// job is a call on its way through the filters.
type job struct {
	in     *Inbound
	rules  *zybundle.Bundle
	caller zybundle.Caller
	route  *zybundle.Route
	parent *zyparent.Parent
	// kin is true for a call of a worker that gave no handle.
	kin  bool
	call *zinniayoke.Call
	pool *zyattempt.Budget
	// threshold is the one that the call was shed by.
	threshold zinniayoke.Rank
	// granted is how many attempts the call was given.
	granted zinniayoke.Tokens
}

// New returns an entry.
func New(cfg Config) *Entry {
	if cfg.NewID == nil {
		cfg.NewID = newRequestID
	}
	if cfg.Recorder == nil {
		cfg.Recorder = zinniayoke.NopEventRecorder{}
	}
	e := &Entry{cfg: cfg}
	e.handle = zinniayoke.Chain(e.send,
		e.identify, e.findRoute, e.setDeadline, e.limitCaller, e.setKey, e.refuseQuarantined, e.shed, e.takeAttempts)
	return e
}

// Handle answers a call. The result's reply is never nil.
func (e *Entry) Handle(ctx context.Context, in *Inbound) *Result {
	start := time.Now()
	j := &job{in: in, rules: e.cfg.Rules(), call: &zinniayoke.Call{Service: in.Service}}
	reply, err := e.handle(ctx, j)
	if err != nil {
		reply = e.replyOf(ctx, j, err)
	}
	if reply.Outcome == zinniayoke.OutcomeNotRun && j.in.Key != "" && !j.call.KeyFromCaller {
		// No keeper knows whether another send of this key has run.
		told := *reply
		told.Outcome = zinniayoke.OutcomeUnknown
		reply = &told
	}
	if reply.Outcome == zinniayoke.OutcomeNotRun && e.cfg.Pressure != nil && j.route != nil && !j.kin {
		told := *reply
		told.RetryAfter = returnAfter(j)
		reply = &told
		e.cfg.Pressure.RecordRefusal(time.Now(), j.call.BodyHash)
	}
	took := time.Since(start)
	e.cfg.Meter.ObserveCall(sampleOf(j, reply, took))
	e.note(j, reply, took)
	result := &Result{Reply: reply, Request: j.call.Request}
	if j.pool != nil {
		result.Attempts = j.granted - j.pool.Remaining()
	}
	if j.call.KeyFromCaller {
		result.Attempts = reply.Spent
	}
	return result
}

func (e *Entry) note(j *job, reply *zinniayoke.Reply, took time.Duration) {
	event := &zinniayoke.Event{
		Kind: zinniayoke.EventCallEnded, Request: j.call.Request, Route: j.call.Route, Service: j.call.Service,
		Reason: reply.Reason, Outcome: reply.Outcome, Version: j.call.Version, Rank: j.call.Rank, Depth: j.call.Depth,
		Threshold: j.threshold, Duration: took, Detail: reply.Detail,
	}
	if j.parent != nil {
		event.Parent = j.parent.Request
	}
	if reply.Response != nil {
		event.Status = reply.Response.Status
	}
	if event.Version == 0 && j.rules != nil {
		event.Version = j.rules.Version
	}
	if !j.call.Deadline.IsZero() {
		event.TimeLeft = time.Until(j.call.Deadline)
	}
	e.cfg.Recorder.Record(event)
}

func sampleOf(j *job, reply *zinniayoke.Reply, took time.Duration) zinniayoke.CallSample {
	s := zinniayoke.CallSample{
		Caller: j.call.Caller, Outcome: reply.Outcome, Reason: reply.Reason, Duration: took, Child: j.parent != nil,
	}
	if j.route != nil {
		s.Class = j.route.Class.Name
	}
	return s
}

// send is the last step: the keeper or the sender.
func (e *Entry) send(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
	if j.call.KeyFromCaller {
		home, _ := j.rules.HomeOf(j.call.Caller)
		j.pool.DelegateAll()
		reply := e.cfg.KeyOwners.Run(ctx, home, j.call)
		j.pool.Refund(reply.Unused)
		return reply, nil
	}
	return e.cfg.Sender.Send(ctx, zyegress.SendParams{Call: j.call, Route: j.route, Budget: j.pool}), nil
}
