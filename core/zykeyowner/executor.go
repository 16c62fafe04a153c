// Package zykeyowner runs requests with idempotency keys on the node that owns
// their key slot. It runs each key at most once, lets repeated requests with a key
// join the run in progress, and recovers the state of slots from the other nodes
// when their owner changes. Its Router finds the owner of a key.
package zykeyowner

import (
	"context"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyidempotency"
)

// PromiseReply is a node's reply to a new owner of slots that asks it to promise an
// epoch.
type PromiseReply struct {
	// Promised is the highest epoch that the node has promised for the slots. It is
	// set if the node refuses, because it exceeds the requested epoch.
	Promised zinniayoke.Epoch `codec:"p"`
	Refused  bool             `codec:"r"`
	// Records holds the keys of the slots that the node has a record of.
	Records []zyidempotency.KeyRecord `codec:"h"`
	// Promises holds the epochs that the node had promised for the slots before.
	Promises []zyidempotency.SlotPromise `codec:"w"`
	// Released holds the slots that the node itself owned until now.
	Released []zyidempotency.ReleasedSlot `codec:"g"`
}

// KeyStateClient accesses the key state of other nodes.
type KeyStateClient interface {
	// PromiseEpoch asks a node to promise the epoch and to return its records of the
	// slots.
	PromiseEpoch(ctx context.Context, node zinniayoke.NodeID, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) (*PromiseReply, error)
	// Query asks a node for the state of an attempt.
	Query(ctx context.Context, node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error)
	// ReplicateKey stores the record of a key that is about to run on this host on
	// another node.
	ReplicateKey(ctx context.Context, node zinniayoke.NodeID, key zyidempotency.KeyRecord) error
}

// Membership lists the nodes that own key slots and those that may hold key records.
type Membership interface {
	// KeyOwners returns the nodes of a failure domain that own its key slots.
	KeyOwners(d zinniayoke.Domain) []zinniayoke.NodeID
	// RecoveryNodes returns the nodes that may hold key records: those that are
	// reachable, and those that were lost, with the time of the loss.
	RecoveryNodes() (reachable []zinniayoke.NodeID, lost map[zinniayoke.NodeID]time.Time)
	// HasQuorum reports whether more than half of the nodes of a failure domain are
	// reachable, so that no other partition of it can own the same keys.
	HasQuorum(d zinniayoke.Domain) bool
}

// Config configures an Executor.
type Config struct {
	Node       zinniayoke.NodeID
	Domain     zinniayoke.Domain
	OwnedKeys  *zyidempotency.Owner
	Sender     *zyegress.Sender
	Bundle     func() *zybundle.Bundle
	Peers      KeyStateClient
	OldHome    OldHomeClient
	Membership Membership
}

const (
	// peerTimeout limits a request to another node about keys.
	peerTimeout           = 700 * time.Millisecond
	maxRecoveryTries      = 4
	retryPause            = 100 * time.Millisecond
	maxConcurrentRequests = 64
	// maxPause is the time without Tick after which the node counts as paused.
	maxPause = 3 * time.Second
)

// Executor runs requests with keys that this node owns. It is safe for concurrent
// use. Use New to create one.
type Executor struct {
	cfg Config

	mu sync.Mutex
	// lastTick is the time of the last Tick. A node that was paused since may no
	// longer own its keys.
	lastTick time.Time
	// runs holds the runs in progress.
	runs map[zinniayoke.Key]*sharedRun
	// recoverySem holds a token while no recovery is in progress.
	recoverySem chan struct{}
	activeRuns  sync.WaitGroup
}

// sharedRun is a run that all requests with its key wait for.
type sharedRun struct {
	done chan struct{}
	// budget is the attempt budget of the run.
	budget *zyattempt.Budget
	reply  *zinniayoke.Reply
}

// New returns an Executor that has not recovered any slot.
func New(cfg Config) *Executor {
	e := &Executor{cfg: cfg, lastTick: time.Now(), runs: make(map[zinniayoke.Key]*sharedRun), recoverySem: make(chan struct{}, 1)}
	e.recoverySem <- struct{}{}
	return e
}

// Run runs a request with a key unless the key has run before. The reply names the
// attempt that ran and the request that caused it, which may be an earlier one.
func (e *Executor) Run(ctx context.Context, c *zinniayoke.Call, route *zybundle.Route) *zinniayoke.Reply {
	reply := *e.execute(ctx, c, route)
	e.mu.Lock()
	defer e.mu.Unlock()
	running := zinniayoke.Tokens(0)
	if s, ok := e.runs[c.Key]; ok {
		running = s.budget.Sends() // Attempts downstream are known once these end.
	}
	reply.Spent = e.cfg.OwnedKeys.ReportSpent(zyidempotency.SlotOf(e.cfg.Domain, c.Key), c.Key, running)
	return &reply
}

// execute returns the reply to a request, without the number of attempts spent.
func (e *Executor) execute(ctx context.Context, c *zinniayoke.Call, route *zybundle.Route) *zinniayoke.Reply {
	slot := zyidempotency.SlotOf(e.cfg.Domain, c.Key)
	for ctx.Err() == nil {
		if !e.ownsSlot(slot) || !e.isHome(c.Caller) {
			return unspent(c, uncertainReply(c, zinniayoke.ReasonStaleEpoch, "the key is kept by another node"))
		}
		if !e.hasAuthority() {
			return unspent(c, uncertainReply(c, zinniayoke.ReasonKeyUncertain, "too few nodes of the home are in reach"))
		}
		if reply := e.fetchFromOldHome(ctx, c, slot); reply != nil {
			return reply
		}
		e.mu.Lock()
		d := e.cfg.OwnedKeys.Claim(time.Now(), slot, c.Key, c.BodyHash, c.Tokens)
		s := e.joinRun(c, d, route)
		e.mu.Unlock()
		reply, retry := e.apply(ctx, c, route, d, s)
		if !retry {
			return reply
		}
	}
	return uncertainReply(c, zinniayoke.ReasonDeadline, "the deadline passed at the keeper of the key")
}

// joinRun returns the run to wait for after a claim, nil if there is none. The
// caller holds e.mu since before the claim, so that a run in progress cannot end in
// between.
func (e *Executor) joinRun(c *zinniayoke.Call, d zyidempotency.Decision, route *zybundle.Route) *sharedRun {
	switch d.Action {
	case zyidempotency.ActionRun:
		s := &sharedRun{done: make(chan struct{}), budget: zyattempt.NewBudget(d.Tokens, 1+route.ChildCalls)}
		e.runs[c.Key] = s
		return s
	case zyidempotency.ActionJoin:
		return e.runs[c.Key]
	default:
		return nil
	}
}

// apply carries out the decision on a claim. It reports true if the key must be
// claimed again.
func (e *Executor) apply(ctx context.Context, c *zinniayoke.Call, route *zybundle.Route, d zyidempotency.Decision, s *sharedRun) (*zinniayoke.Reply, bool) {
	switch d.Action {
	case zyidempotency.ActionRecover:
		return e.recoverFor(ctx, c)
	case zyidempotency.ActionRun:
		e.activeRuns.Add(1)
		go e.run(c, route, d, s)
		return waitForRun(ctx, c, s)
	case zyidempotency.ActionJoin:
		reply, retry := waitForRun(ctx, c, s)
		return unspent(c, reply), retry
	case zyidempotency.ActionRespond:
		return unspent(c, d.Reply), false
	case zyidempotency.ActionQuery:
		return e.queryAttempt(ctx, c, d)
	case zyidempotency.ActionRejectReused:
		return unspent(c, uncertainReply(c, zinniayoke.ReasonKeyReused, "the key came with another body before")), false
	case zyidempotency.ActionRejectExhausted:
		return notRunReply(c, zinniayoke.ReasonAttemptsSpent, "the sends of this key have used up its attempts"), false
	case zyidempotency.ActionRejectUncertain:
	}
	return unspent(c, uncertainReply(c, zinniayoke.ReasonKeyUncertain, "a node that may have run this key is out of reach")), false
}

// unspent returns a copy of the reply for a request that has not used any of its
// attempt budget.
func unspent(c *zinniayoke.Call, reply *zinniayoke.Reply) *zinniayoke.Reply {
	own := *reply
	own.Unused = c.Tokens
	return &own
}

// waitForRun returns the reply of the run, or an uncertain one if the deadline passes
// first.
func waitForRun(ctx context.Context, c *zinniayoke.Call, s *sharedRun) (*zinniayoke.Reply, bool) {
	if s == nil {
		return uncertainReply(c, zinniayoke.ReasonKeyUncertain, "the run of this key is not at hand"), false
	}
	select {
	case <-s.done:
		return s.reply, false
	case <-ctx.Done():
		return uncertainReply(c, zinniayoke.ReasonDeadline, "the deadline passed while the request ran"), false
	}
}

// run runs the request to its end even if its caller has given up, because a
// repeated request will need the response.
func (e *Executor) run(c *zinniayoke.Call, route *zybundle.Route, d zyidempotency.Decision, s *sharedRun) {
	defer e.activeRuns.Done()
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	reply := e.cfg.Sender.Send(ctx, zyegress.SendParams{
		Call: c, Route: route, Budget: s.budget, Grant: d.Grant,
		BeforeAttempt: func(id zinniayoke.AttemptID, to zinniayoke.NodeID) bool {
			return e.grantValid(d.Grant) && e.replicated(ctx, c, d.Grant, id, to) && e.cfg.OwnedKeys.RecordSend(time.Now(), d.Grant, c.Key, id, to)
		},
		Avoid: []zinniayoke.NodeID{e.cfg.Node},
	})
	left := s.budget.Close()
	reply.Unused = left
	if reply.Outcome == zinniayoke.OutcomeNotRun && !e.grantValid(d.Grant) {
		// Another owner may have run the key in the meantime.
		reply.Outcome = zinniayoke.OutcomeUnknown
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.OwnedKeys.RecordResult(time.Now(), d.Grant, c.Key, reply, d.Tokens-left)
	s.reply = reply
	delete(e.runs, c.Key)
	close(s.done)
}

// replicated reports whether another node has a record of the attempt, and stores
// one there if needed. An attempt on this host, which is chosen only if there is no
// other worker, needs it: the loss of the host would otherwise destroy the records of
// both the key owner and the worker's node.
func (e *Executor) replicated(ctx context.Context, c *zinniayoke.Call, g zinniayoke.Grant, id zinniayoke.AttemptID, to zinniayoke.NodeID) bool {
	if to != e.cfg.Node {
		return true
	}
	reachable, _ := e.cfg.Membership.RecoveryNodes()
	successors := zyidempotency.SuccessorsOf(e.cfg.Node, reachable)
	if len(successors) == 0 {
		return true // There is no other node that could become the owner either.
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return e.cfg.Peers.ReplicateKey(ctx, successors[0], zyidempotency.KeyRecord{
		Key: c.Key, Slot: g.Slot, BodyHash: c.BodyHash, Attempt: id, Node: to,
		State: zinniayoke.AttemptLost, Age: -time.Until(c.Deadline),
	}) == nil
}

// queryAttempt queries the state of a run that ended without a response.
func (e *Executor) queryAttempt(ctx context.Context, c *zinniayoke.Call, d zyidempotency.Decision) (*zinniayoke.Reply, bool) {
	short, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	result, err := e.cfg.Peers.Query(short, d.Node, d.Attempt)
	if err != nil || result.State == zinniayoke.AttemptLost || result.State == zinniayoke.AttemptAnswered && result.Reply == nil {
		return uncertainReply(c, zinniayoke.ReasonKeyUncertain, "the answer to this key is lost"), false
	}
	if result.State == zinniayoke.AttemptRunning {
		if sleep(ctx, retryPause) {
			return nil, true
		}
		return uncertainReply(c, zinniayoke.ReasonDeadline, "the deadline passed while the request ran"), false
	}
	if result.State == zinniayoke.AttemptAnswered && result.Reply.Outcome == zinniayoke.OutcomeUnknown {
		return uncertainReply(c, result.Reply.Reason, "the answer to this key is lost"), false
	}
	e.cfg.OwnedKeys.RecordQueryReply(time.Now(), zyidempotency.SlotOf(e.cfg.Domain, c.Key), c.Key, d.Attempt, result)
	return nil, true
}

// ConfirmNotRun reports whether certainly no request with the key has run. An entry
// node asks this before it reports a refused request as not run.
func (e *Executor) ConfirmNotRun(ctx context.Context, key zinniayoke.Key) bool {
	slot := zyidempotency.SlotOf(e.cfg.Domain, key)
	if !e.ownsSlot(slot) || !e.hasAuthority() {
		return false
	}
	if len(e.cfg.OwnedKeys.ClosedSlots([]zinniayoke.KeySlot{slot})) > 0 && e.RecoverSlots(ctx) != nil {
		return false
	}
	return e.cfg.OwnedKeys.CertainlyNotRun(time.Now(), slot, key) && e.hasAuthority()
}

// ownsSlot reports whether this node owns the slot in its membership view.
func (e *Executor) ownsSlot(slot zinniayoke.KeySlot) bool {
	return zyidempotency.OwnerOf(slot, e.cfg.Membership.KeyOwners(e.cfg.Domain)) == e.cfg.Node
}

// grantValid reports whether this node still decides about the key of a grant.
func (e *Executor) grantValid(g zinniayoke.Grant) bool {
	return e.hasAuthority() && e.cfg.OwnedKeys.IsCurrent(g)
}

// hasAuthority reports whether this node may decide about keys: it has not been
// paused, and no other partition of its failure domain can have taken over.
func (e *Executor) hasAuthority() bool {
	e.mu.Lock()
	paused := time.Since(e.lastTick) > maxPause
	e.mu.Unlock()
	return !paused && e.cfg.Membership.HasQuorum(e.cfg.Domain)
}

// Drain waits until the runs in progress have ended. If ctx is done first, it
// returns the cause.
func (e *Executor) Drain(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		e.activeRuns.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// sleep waits for d and reports true, or reports false once ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func uncertainReply(c *zinniayoke.Call, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{Request: c.Request, Reason: reason, Outcome: zinniayoke.OutcomeUnknown, Detail: detail}
}

func notRunReply(c *zinniayoke.Call, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{Request: c.Request, Reason: reason, Outcome: zinniayoke.OutcomeNotRun, Detail: detail}
}
