// Package zyingress is the receiving side of a node: it admits attempts to the
// worker on the same host, delivers them, and reports the outcome of each.
package zyingress

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyevenload"
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zygraph"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zytimer"
)

// Config configures a Receiver.
type Config struct {
	Node       zinniayoke.NodeID
	Bundle     func() *zybundle.Bundle
	Fence      *zyfence.Table
	Grants     *zyidempotency.GrantTable
	Quarantine *zyquarantine.Tracker
	Parents    *zyparent.Table
	Timer      *zytimer.Service
	Meter      zinniayoke.Meter
	// OnCrash is called with the requests that were in flight when the worker
	// crashed.
	OnCrash func(records []zyquarantine.CrashRecord)
	// OnLeaving is called when a response says that the worker is about to end; it may be
	// nil.
	OnLeaving func()
	// Graph learns the call graph, and Callers learns which services call the routes
	// of the worker. With a Graph, replies carry service costs instead of thresholds;
	// set both or neither.
	Graph   *zygraph.Graph
	Callers *zygraph.CallerClassifier
	// RetryBudgets limits the retries to the worker; nil means that the senders limit
	// them.
	RetryBudgets *zyattempt.ServiceRetryBudgets
	// Recorder records the decision about each attempt; nil means none.
	Recorder zinniayoke.EventRecorder
	// LoadMeter measures the even distribution of load; nil discards the measurements.
	LoadMeter zinniayoke.LoadMeter
	// AnnouncementTTL is how long an announcement stays valid; 0 means 3 s.
	AnnouncementTTL time.Duration
	// Service is that of the host by the settings at the start.
	Service zinniayoke.Service
	// WorkerAddress is that of the worker by the settings at the start; announcements that name
	// another one are refused. "" accepts any.
	WorkerAddress string
	// Identify asks the worker which of its runs is in progress, by the health check of the
	// service that a heartbeat names. nil means that heartbeats are believed.
	Identify func(s zinniayoke.Service) (zinniayoke.Instance, error)
	// AwaitRecall keeps the worker from getting calls until Recall is called.
	AwaitRecall bool
	// FixedLimit derives the concurrency limit from the announced slots instead of
	// adapting it.
	FixedLimit bool
}

const (
	// rejectLoadFactor is how many times its concurrency limit is added to the
	// reported load of a worker that refuses every call delivered to it.
	rejectLoadFactor = 2
	// idleTickPeriod is used while no call waits, because each tick costs a wake-up.
	idleTickPeriod         = 100 * time.Millisecond
	busyTickPeriod         = 10 * time.Millisecond
	defaultAnnouncementTTL = 3 * time.Second
	probeTimeout           = 200 * time.Millisecond
	minRetryAfter          = 200 * time.Millisecond
	retryAfterSpread       = 800 * time.Millisecond
)

// Receiver runs attempts on one worker. It is safe for concurrent use. A Receiver
// must be created with New.
type Receiver struct {
	cfg  Config
	tick *zytimer.Subscription

	mu           sync.Mutex
	worker       zinniayoke.Worker
	announcement Announcement
	announcedAt  time.Time
	// gone is true after the worker crashed or its address was taken over by another
	// worker, until the next announcement.
	gone bool
	// draining is true once the node is stopping.
	draining bool
	service  hostService
	// confirmed is true if the worker itself has named the current run.
	confirmed bool
	// ended is true once this run of the worker has announced, or said in a response, that it
	// ends.
	ended bool
	// departures are those of runs that this process did not know when they left: they were
	// acknowledged by an earlier process of the node, or came before any heartbeat.
	departures []zinniayoke.Departure
	// recalling is true until Recall is called.
	recalling bool
	// heardSince is when the first heartbeat of the current run arrived that says that it serves.
	heardSince time.Time
	// doubtful is true while the worker was found draining by a probe and has sent no
	// heartbeat since.
	doubtful bool
	// current is the current run of the worker.
	current workerRun
	queue   *zyadmission.Queue
	excess  *zybackpressure.ExcessController
	// fastTick is true while the tick period is busyTickPeriod.
	fastTick bool
	// rejectRate is the moving average of the share of delivered calls that the
	// worker refuses.
	rejectRate float64
	// errorRate is the moving average of the share of calls to which the worker responds
	// with an error of its own.
	errorRate float64
	// speed estimates the speed of the worker, for even load.
	speed zyevenload.Speed
	calls map[zinniayoke.AttemptID]*activeCall
	// exclusive is the suspected call that runs without any other call, or nil.
	exclusive *activeCall
	idle      chan struct{}
}

// activeCall is an attempt that is waiting or running.
type activeCall struct {
	attempt     *zinniayoke.Attempt
	fingerprint zyquarantine.Fingerprint
	// calledByWorkers is true if the route is called by workers, those of the caller's
	// service among them.
	calledByWorkers bool
	arrived         time.Time
	started         time.Time
	// admission receives the decision of the admission queue; ReasonNone admits.
	admission chan zinniayoke.Reason
	cancel    context.CancelFunc
	running   bool
	// chargedAt is when a retry was charged to the retry budget.
	chargedAt time.Time
}

// New returns a receiver without a worker.
func New(cfg Config) *Receiver {
	if cfg.Recorder == nil {
		cfg.Recorder = zinniayoke.NopEventRecorder{}
	}
	if cfg.LoadMeter == nil {
		cfg.LoadMeter = zinniayoke.NopLoadMeter{}
	}
	if cfg.AnnouncementTTL == 0 {
		cfg.AnnouncementTTL = defaultAnnouncementTTL
	}
	r := &Receiver{
		cfg: cfg, recalling: cfg.AwaitRecall, calls: make(map[zinniayoke.AttemptID]*activeCall),
		service: hostService{name: cfg.Service, named: time.Now()},
	}
	r.tick = cfg.Timer.Every(idleTickPeriod, r.onTick)
	return r
}

// Run admits an attempt and runs it on the worker. The reply is never nil.
func (r *Receiver) Run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	if err := r.cfg.Fence.Begin(time.Now(), a.ID); err != nil {
		return r.errorReply(a, err)
	}
	reply := r.run(ctx, a)
	r.cfg.Fence.End(time.Now(), a.ID, reply)
	return reply
}

func (r *Receiver) run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	c := &activeCall{
		attempt: a, arrived: time.Now(), cancel: cancel,
		fingerprint: zyquarantine.FingerprintOf(a.Service, a.Method, a.Path, a.Query, a.Body),
		admission:   make(chan zinniayoke.Reason, 1),
	}
	worker, err := r.admit(ctx, c)
	if err == nil {
		err = r.awaitAdmission(ctx, c)
	}
	if err == nil {
		err = r.chargeDelivery(c)
	}
	if err == nil {
		err = r.beginGrant(c)
	}
	if err != nil {
		reply := r.errorReply(a, err)
		reply.CalledByWorkers = c.calledByWorkers
		r.record(zinniayoke.EventAttemptRefused, c, reply)
		return reply
	}
	reply := r.deliver(ctx, c, worker)
	reply.CalledByWorkers = c.calledByWorkers
	r.finish(c)
	r.record(zinniayoke.EventAttemptRun, c, reply)
	return reply
}

// deliver sends the attempt to the worker and returns the reply. If the attempt
// carries a grant, the outcome is also recorded for its key.
func (r *Receiver) deliver(ctx context.Context, c *activeCall, worker zinniayoke.Worker) *zinniayoke.Reply {
	a := c.attempt
	parent := &zyparent.Parent{
		Request: a.Request, Caller: a.Caller, Share: a.Share, Route: a.Route, Key: a.Key, Rank: a.Rank, Depth: a.Depth, Version: a.Version,
		Deadline: c.arrived.Add(a.Timeout), Budget: zyattempt.NewBudget(a.Tokens, a.Tokens), Done: ctx.Done(),
		Repeated: a.Resent || a.InRepeatedRun,
	}
	handle := r.cfg.Parents.Add(parent)
	startedAt := time.Now()
	instance, run := r.currentRun()
	response, delivered, err := worker.Run(ctx, &zinniayoke.WorkerCall{
		Attempt: a, Instance: instance, Context: handle, Timeout: time.Until(parent.Deadline),
		OnNotice: func(n zinniayoke.WorkerNotice, err error) { r.observeNotice(run, startedAt, n, err) },
		OnLoad:   r.loadObserver(run),
	})
	r.cfg.Parents.Remove(handle)
	if errors.Is(err, zinniayoke.ErrMisdirected) {
		r.markMisdirected()
	}
	if r.cfg.Graph == nil {
		// The time spent waiting for child calls is not part of the service time.
		c.started = c.started.Add(parent.ChildTime())
	}
	if r.cfg.Graph != nil {
		now := time.Now()
		r.cfg.Graph.ObserveRun(now, a.Route, now.Sub(startedAt))
	}
	hold := r.observeHold(c, response)
	reply := r.workerReply(ctx, c, response, delivered, err)
	if hold > 0 {
		reply.HoldTime, reply.Wait = hold, startedAt.Sub(c.arrived)
	}
	reply.Delivered = delivered
	if reply.Response != nil && reply.Response.Status >= http.StatusInternalServerError {
		reply.Detail = r.cfg.Parents.FailureCause(time.Now(), parent)
		reply.WorkerError = reply.Detail == "" && isWorkerError(reply.Response.Status)
	}
	r.updateErrorRate(delivered && reply.WorkerError)
	r.updateRejectRate(delivered && reply.Outcome == zinniayoke.OutcomeNotRun)
	reply.Unused = parent.Budget.Close()
	if r.cfg.Graph == nil {
		reply.Threshold = max(reply.Threshold, parent.ChildThreshold())
	}
	if hasGrant(a) {
		r.cfg.Grants.End(time.Now(), a.Key, a.ID, reply)
	}
	return reply
}

// currentRun returns the instance and the number of the current run of the worker.
func (r *Receiver) currentRun() (zinniayoke.Instance, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcement.Instance, r.current.number
}

// beginGrant records that an admitted attempt with a grant is about to be delivered. If it
// must not be, the call is withdrawn.
func (r *Receiver) beginGrant(c *activeCall) error {
	if !hasGrant(c.attempt) {
		return nil
	}
	err := r.cfg.Grants.Begin(time.Now(), c.attempt)
	if err != nil {
		r.withdraw(time.Now(), c)
	}
	return err
}

// hasGrant reports whether the attempt carries a grant from the owner of its key.
func hasGrant(a *zinniayoke.Attempt) bool {
	return a.Key != "" && a.Grant != zinniayoke.Grant{}
}

// finish removes a call that has run from the admission queue.
func (r *Receiver) finish(c *activeCall) {
	now := time.Now()
	serviceTime := now.Sub(c.started)
	r.mu.Lock()
	r.applyResult(now, r.queue.Finish(now, c.attempt.ID, serviceTime))
	limit, running := r.queue.Limit(), r.queue.Running()
	r.removeCall(c)
	r.mu.Unlock()
	r.cfg.Meter.ObserveAttempt(zinniayoke.AttemptSample{
		Class: r.classOf(c.attempt.Route), QueueTime: c.started.Sub(c.arrived), ServiceTime: serviceTime, Limit: limit, Running: running,
	})
}

func (r *Receiver) classOf(route zinniayoke.RouteName) zinniayoke.ClassName {
	bundle := r.cfg.Bundle()
	if bundle == nil {
		return ""
	}
	if known, ok := bundle.Routes[route]; ok {
		return known.Class.Name
	}
	return ""
}
