// Package zyingress admits attempts to the worker on the node's own host, runs
// them there, and says truthfully what became of each.
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
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zygraph"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zytimer"
)

// Config configures a Receiver.
type Config struct {
	Node     zinniayoke.NodeID
	Rules    func() *zybundle.Bundle
	Fence    *zyfence.Table
	Grants   *zyidempotency.GrantTable
	Suspects *zyquarantine.Tracker
	Parents  *zyparent.Table
	Timer    *zytimer.Service
	Meter    zinniayoke.Meter
	// OnSuspects is called with the requests that were in flight at a crash.
	OnSuspects func(cases []zyquarantine.CrashRecord)
	// Graph learns which calls the worker makes, and Callers who calls it; with
	// both set, replies carry burdens in place of thresholds.
	Graph   *zygraph.Graph
	Callers *zygraph.CallerClassifier
	// Recorder takes what is decided about each attempt; nil means none.
	Recorder zinniayoke.EventRecorder
	// AnnouncementTTL is how long an announcement holds; 0 means 3 s.
	AnnouncementTTL time.Duration
	// FixedLimit keeps the concurrency limit at the announced slots.
	FixedLimit bool
}

const (
	// rejectLoad is how many times its limit a worker seems to run that refuses all.
	rejectLoad = 2
	// idlePeriod is enough while nothing waits; each turn costs a wake-up.
	idlePeriod    = 100 * time.Millisecond
	tickPeriod    = 10 * time.Millisecond
	announceLapse = 3 * time.Second
	probeTimeout  = 200 * time.Millisecond
	leastRetry    = 200 * time.Millisecond
	spreadRetry   = 800 * time.Millisecond
)

// Receiver runs attempts at one worker. It may be used by several goroutines.
// A Receiver must be made with New.
type Receiver struct {
	cfg  Config
	tick *zytimer.Subscription

	mu       sync.Mutex
	worker   zinniayoke.Worker
	told     Announcement
	toldAt   time.Time
	crashed  bool
	draining bool
	// dismissed is true once the worker has said that it ends.
	dismissed bool
	gate      *zyadmission.Queue
	level     *zybackpressure.ExcessController
	// ticking is true while the queue is looked at often.
	ticking bool
	// rejects is the share of the handed calls that the worker has refused lately.
	rejects float64
	calls   map[zinniayoke.AttemptID]*run
	// alone is the suspected request that runs by itself, or nil.
	alone *run
	idle  chan struct{}
}

// run is an attempt that waits or runs.
type run struct {
	attempt *zinniayoke.Attempt
	print   zyquarantine.Fingerprint
	// kin is true where only workers of the caller's service call the route.
	kin     bool
	arrived time.Time
	started time.Time
	// decided receives the gate's decision.
	decided chan zinniayoke.Reason
	cancel  context.CancelFunc
	running bool
}

// New returns a receiver that has no worker yet.
func New(cfg Config) *Receiver {
	if cfg.Recorder == nil {
		cfg.Recorder = zinniayoke.NopEventRecorder{}
	}
	if cfg.AnnouncementTTL == 0 {
		cfg.AnnouncementTTL = announceLapse
	}
	r := &Receiver{cfg: cfg, calls: make(map[zinniayoke.AttemptID]*run)}
	r.tick = cfg.Timer.Every(idlePeriod, r.onTick)
	return r
}

// Run admits and runs an attempt. It always returns a reply.
func (r *Receiver) Run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	if err := r.cfg.Fence.Begin(time.Now(), a.ID); err != nil {
		return r.refuse(a, err)
	}
	reply := r.run(ctx, a)
	r.cfg.Fence.End(time.Now(), a.ID, reply)
	return reply
}

func (r *Receiver) run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	c := &run{
		attempt: a, arrived: time.Now(), cancel: cancel,
		print:   zyquarantine.FingerprintOf(a.Service, a.Method, a.Path, a.Query, a.Body),
		decided: make(chan zinniayoke.Reason, 1),
	}
	worker, err := r.admit(ctx, c)
	if err == nil {
		err = r.await(ctx, c)
	}
	if err != nil {
		reply := r.refuse(a, err)
		reply.SoleParent = c.kin
		r.note(zinniayoke.EventAttemptRefused, c, reply)
		return reply
	}
	reply := r.hand(ctx, c, worker)
	reply.SoleParent = c.kin
	r.leave(c)
	r.note(zinniayoke.EventAttemptRun, c, reply)
	return reply
}

// admit brings the attempt to the gate.
func (r *Receiver) admit(ctx context.Context, c *run) (zinniayoke.Worker, error) {
	now := time.Now()
	verdict := r.judge(now, c.print)
	if verdict == zyquarantine.RunExclusive {
		if err := r.reserve(ctx, c); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	worker, err := r.enter(now, verdict, c)
	if err != nil && r.alone == c {
		r.alone = nil
	}
	return worker, err
}

// enter hands the attempt to the gate. The lock is held.
func (r *Receiver) enter(now time.Time, verdict zyquarantine.Decision, c *run) (zinniayoke.Worker, error) {
	if err := r.available(now, c.attempt); err != nil {
		return nil, err
	}
	if err := r.admitSuspect(verdict, c); err != nil {
		return nil, err
	}
	r.calls[c.attempt.ID] = c
	if r.cfg.Callers != nil {
		c.kin = r.cfg.Callers.Observe(now, c.attempt.Route, c.attempt.Caller)
	}
	if !c.attempt.RefusedElsewhere {
		r.level.CountArrival(now)
	}
	item := zyadmission.Item{
		ID: c.attempt.ID, Route: c.attempt.Route, Rank: c.attempt.Rank,
		Depth: c.attempt.Depth, Deadline: now.Add(c.attempt.Timeout), MaxWait: c.attempt.MaxWait,
	}
	r.carryOut(now, r.gate.Arrive(now, item))
	return r.worker, nil
}

// available says why the worker can take no call now, or nil.
func (r *Receiver) available(now time.Time, a *zinniayoke.Attempt) error {
	switch {
	case r.draining:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDraining, "the node is stopping")
	case r.worker == nil || r.crashed || now.Sub(r.toldAt) > r.cfg.AnnouncementTTL:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "the worker is gone")
	case r.told.Service != a.Service:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "the worker serves "+string(r.told.Service))
	case r.told.State == zinniayoke.WorkerDraining:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDraining, "the worker is draining")
	case r.told.State != zinniayoke.WorkerServing:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "the worker is starting")
	}
	return nil
}

// await waits for the gate's decision.
func (r *Receiver) await(ctx context.Context, c *run) error {
	select {
	case reason := <-c.decided:
		return r.decision(c, reason)
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gate.Remove(c.attempt.ID) {
		r.forget(c)
		return refusalOf(ctx)
	}
	// The gate has decided meanwhile.
	if reason := <-c.decided; reason != zinniayoke.ReasonNone {
		return zinniayoke.NewRefusedError(reason, "refused by the worker's node")
	}
	r.carryOut(time.Now(), r.gate.Finish(time.Now(), c.attempt.ID, 0))
	r.forget(c)
	return refusalOf(ctx)
}

// hand gives the attempt to the worker and reads its answer.
func (r *Receiver) hand(ctx context.Context, c *run, worker zinniayoke.Worker) *zinniayoke.Reply {
	a := c.attempt
	if keyed(a) {
		if err := r.cfg.Grants.Begin(time.Now(), a); err != nil {
			return r.refuse(a, err)
		}
	}
	parent := &zyparent.Parent{
		Request: a.Request, Caller: a.Caller, Route: a.Route, Key: a.Key, Rank: a.Rank, Depth: a.Depth, Version: a.Version,
		Deadline: c.arrived.Add(a.Timeout), Budget: zyattempt.NewBudget(a.Tokens, a.Tokens), Done: ctx.Done(),
	}
	handle := r.cfg.Parents.Add(parent)
	begun := time.Now()
	answer, handed, err := worker.Run(ctx, &zinniayoke.WorkerCall{
		Attempt: a, Instance: r.instance(), Context: handle, Timeout: time.Until(parent.Deadline),
	})
	r.cfg.Parents.Remove(handle)
	if errors.Is(err, zinniayoke.ErrMisdirected) {
		r.misdirected()
	}
	if r.cfg.Graph == nil {
		c.started = c.started.Add(parent.ChildTime())
	}
	if r.cfg.Graph != nil {
		now := time.Now()
		r.cfg.Graph.ObserveRun(now, a.Route, now.Sub(begun))
	}
	reply := r.reply(ctx, c, answer, handed, err)
	reply.Delivered = handed
	if reply.Response != nil && reply.Response.Status >= http.StatusInternalServerError {
		reply.Detail = r.cfg.Parents.FailureCause(time.Now(), parent)
	}
	r.countReject(handed && reply.Outcome == zinniayoke.OutcomeNotRun)
	reply.Unused = parent.Budget.Close()
	if r.cfg.Graph == nil {
		reply.Threshold = max(reply.Threshold, parent.ChildThreshold())
	}
	if keyed(a) {
		r.cfg.Grants.End(time.Now(), a.Key, a.ID, reply)
	}
	return reply
}

func (r *Receiver) instance() zinniayoke.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.told.Instance
}

// keyed reports whether a keeper granted the attempt.
func keyed(a *zinniayoke.Attempt) bool {
	return a.Key != "" && a.Grant != zinniayoke.Grant{}
}

// leave takes a call that has run out of the gate.
func (r *Receiver) leave(c *run) {
	now := time.Now()
	took := now.Sub(c.started)
	r.mu.Lock()
	r.carryOut(now, r.gate.Finish(now, c.attempt.ID, took))
	limit, running := r.gate.Limit(), r.gate.Running()
	r.forget(c)
	r.mu.Unlock()
	r.cfg.Meter.ObserveAttempt(zinniayoke.AttemptSample{
		Class: r.classOf(c.attempt.Route), QueueTime: c.started.Sub(c.arrived), ServiceTime: took, Limit: limit, Running: running,
	})
}

func (r *Receiver) classOf(route zinniayoke.RouteName) zinniayoke.ClassName {
	rules := r.cfg.Rules()
	if rules == nil {
		return ""
	}
	if known, ok := rules.Routes[route]; ok {
		return known.Class.Name
	}
	return ""
}

// carryOut tells waiting calls what the gate has decided. The lock is held.
func (r *Receiver) carryOut(now time.Time, res zyadmission.Result) {
	for _, item := range res.Started {
		if c, ok := r.calls[item.ID]; ok {
			c.running = true
			c.started = now
			r.level.CountDelivery(now)
			c.decided <- zinniayoke.ReasonNone
		}
	}
	for _, refusal := range res.Refused {
		if c, ok := r.calls[refusal.Item.ID]; ok {
			c.decided <- refusal.Reason
			r.forget(c)
		}
	}
	r.level.SetUtilization(now, float64(r.gate.Running())/float64(r.gate.Limit()))
	r.setTick()
}

// setTick looks at the queue often only while calls wait. The lock is held.
func (r *Receiver) setTick() {
	if busy := r.gate.Waiting() > 0; busy != r.ticking {
		r.ticking = busy
		if busy {
			r.tick.SetPeriod(tickPeriod)
		} else {
			r.tick.SetPeriod(idlePeriod)
		}
	}
}

// forget removes a call. The lock is held.
func (r *Receiver) forget(c *run) {
	delete(r.calls, c.attempt.ID)
	if r.alone == c {
		r.alone = nil
	}
	if len(r.calls) == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

func (r *Receiver) onTick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gate != nil {
		r.carryOut(now, r.gate.Tick(now))
	}
}
