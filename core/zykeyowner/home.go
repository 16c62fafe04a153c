// Package zykeyowner runs the requests whose keys this node keeps: it claims the
// key, recovers slots from the other nodes, and lets re-sends of a key join the
// run in progress.
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

// RecallReply is what a node says when a keeper takes slots over.
type RecallReply struct {
	// Promised is the newest epoch that the node has promised for the slots. It
	// is above the epoch asked for where the node refuses.
	Promised zinniayoke.Epoch          `codec:"p"`
	Refused  bool                      `codec:"r"`
	Held     []zyidempotency.KeyRecord `codec:"h"`
	// Witnesses tell whom the node has obeyed so far.
	Witnesses []zyidempotency.SlotPromise `codec:"w"`
	// HandedOver holds the slots that the node kept itself until now.
	HandedOver []zyidempotency.ReleasedSlot `codec:"g"`
}

// KeyStateClient asks other nodes about keys.
type KeyStateClient interface {
	// Recall asks a node for a promise and for what it remembers of the slots.
	Recall(ctx context.Context, node zinniayoke.NodeID, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) (*RecallReply, error)
	// Query asks a node what became of an attempt.
	Query(ctx context.Context, node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error)
	// ReplicateKey lets a node remember a key that is about to run on this host.
	ReplicateKey(ctx context.Context, node zinniayoke.NodeID, key zyidempotency.KeyRecord) error
}

// Membership knows which nodes keep keys and which may remember some.
type Membership interface {
	// KeyOwners returns the nodes of a failure domain that keep keys.
	KeyOwners(d zinniayoke.Domain) []zinniayoke.NodeID
	// RecoveryNodes returns the nodes that may remember keys and are there, and those
	// that were lost, with the time.
	RecoveryNodes() (there []zinniayoke.NodeID, lost map[zinniayoke.NodeID]time.Time)
	// HasQuorum reports whether more than half of the nodes of a failure domain are
	// there, so that no other part of it can keep the same keys.
	HasQuorum(d zinniayoke.Domain) bool
}

// Config configures a Home.
type Config struct {
	Node       zinniayoke.NodeID
	Domain     zinniayoke.Domain
	OwnedKeys  *zyidempotency.Owner
	Sender     *zyegress.Sender
	Rules      func() *zybundle.Bundle
	Peers      KeyStateClient
	OldHome    OldHomeClient
	Membership Membership
}

const (
	recallTimeout = 700 * time.Millisecond
	recallTries   = 4
	recallPause   = 100 * time.Millisecond
	mostAsked     = 64
	longestPause  = 3 * time.Second
)

// Executor runs requests with keys. It may be used by several goroutines. A Executor
// must be made with New.
type Executor struct {
	cfg Config

	mu sync.Mutex
	// beat is when Upkeep ran last. A node that was paused for long does not
	// know whether it still keeps its keys.
	beat   time.Time
	joined map[zinniayoke.Key]*shared
	// turn holds a token while nobody recovers slots.
	turn   chan struct{}
	active sync.WaitGroup
}

// shared is a run that several sends of its key wait for.
type shared struct {
	done chan struct{}
	// pool holds what the run may still use of its tokens.
	pool  *zyattempt.Budget
	reply *zinniayoke.Reply
}

// New returns a home.
func New(cfg Config) *Executor {
	h := &Executor{cfg: cfg, beat: time.Now(), joined: make(map[zinniayoke.Key]*shared), turn: make(chan struct{}, 1)}
	h.turn <- struct{}{}
	return h
}

// Run answers a request with a key, running it at most once. The reply names
// the attempt that ran, and the request that caused it.
func (h *Executor) Run(ctx context.Context, c *zinniayoke.Call, route *zybundle.Route) *zinniayoke.Reply {
	reply := *h.decide(ctx, c, route)
	h.mu.Lock()
	defer h.mu.Unlock()
	running := zinniayoke.Tokens(0)
	if s, ok := h.joined[c.Key]; ok {
		running = s.pool.Sends() // What they use further down is known when they end.
	}
	reply.Spent = h.cfg.OwnedKeys.ReportSpent(zyidempotency.SlotOf(h.cfg.Domain, c.Key), c.Key, running)
	return &reply
}

// decide finds the reply to a send.
func (h *Executor) decide(ctx context.Context, c *zinniayoke.Call, route *zybundle.Route) *zinniayoke.Reply {
	slot := zyidempotency.SlotOf(h.cfg.Domain, c.Key)
	for ctx.Err() == nil {
		if !h.mine(slot) || !h.isHome(c.Caller) {
			return free(c, uncertain(c, zinniayoke.ReasonStaleEpoch, "the key is kept by another node"))
		}
		if !h.inCharge() {
			return free(c, uncertain(c, zinniayoke.ReasonKeyUncertain, "too few nodes of the home are in reach"))
		}
		if reply := h.fetchMoved(ctx, c, slot); reply != nil {
			return reply
		}
		h.mu.Lock()
		d := h.cfg.OwnedKeys.Claim(time.Now(), slot, c.Key, c.BodyHash, c.Tokens)
		s := h.join(c, d, route)
		h.mu.Unlock()
		reply, again := h.follow(ctx, c, route, d, s)
		if !again {
			return reply
		}
	}
	return uncertain(c, zinniayoke.ReasonDeadline, "the deadline passed at the keeper of the key")
}

// join returns the shared run that belongs to a decision. The lock is held, so
// that a run ends either before the claim or after the join.
func (h *Executor) join(c *zinniayoke.Call, d zyidempotency.Decision, route *zybundle.Route) *shared {
	switch d.Action {
	case zyidempotency.ActionRun:
		s := &shared{done: make(chan struct{}), pool: zyattempt.NewBudget(d.Tokens, 1+route.ChildCalls)}
		h.joined[c.Key] = s
		return s
	case zyidempotency.ActionJoin:
		return h.joined[c.Key]
	default:
		return nil
	}
}

// follow carries out a decision. It reports true where the claim has to be made
// again.
func (h *Executor) follow(ctx context.Context, c *zinniayoke.Call, route *zybundle.Route, d zyidempotency.Decision, s *shared) (*zinniayoke.Reply, bool) {
	switch d.Action {
	case zyidempotency.ActionRecover:
		return h.recoverFor(ctx, c)
	case zyidempotency.ActionRun:
		h.active.Add(1)
		go h.run(c, route, d, s)
		return wait(ctx, c, s)
	case zyidempotency.ActionJoin:
		reply, again := wait(ctx, c, s)
		return free(c, reply), again
	case zyidempotency.ActionRespond:
		return free(c, d.Reply), false
	case zyidempotency.ActionQuery:
		return h.ask(ctx, c, d)
	case zyidempotency.ActionRejectReused:
		return free(c, uncertain(c, zinniayoke.ReasonKeyReused, "the key came with another body before")), false
	case zyidempotency.ActionRejectExhausted:
		return notRun(c, zinniayoke.ReasonAttemptsSpent, "the sends of this key have used up its attempts"), false
	case zyidempotency.ActionRejectUncertain:
	}
	return free(c, uncertain(c, zinniayoke.ReasonKeyUncertain, "a node that may have run this key is out of reach")), false
}

// free returns the reply for a send that caused no attempts of its own.
func free(c *zinniayoke.Call, reply *zinniayoke.Reply) *zinniayoke.Reply {
	own := *reply
	own.Unused = c.Tokens
	return &own
}

func wait(ctx context.Context, c *zinniayoke.Call, s *shared) (*zinniayoke.Reply, bool) {
	if s == nil {
		return uncertain(c, zinniayoke.ReasonKeyUncertain, "the run of this key is not at hand"), false
	}
	select {
	case <-s.done:
		return s.reply, false
	case <-ctx.Done():
		return uncertain(c, zinniayoke.ReasonDeadline, "the deadline passed while the request ran"), false
	}
}

// run runs the key to its end, also if the caller has gone, since a re-send
// will ask for the answer.
func (h *Executor) run(c *zinniayoke.Call, route *zybundle.Route, d zyidempotency.Decision, s *shared) {
	defer h.active.Done()
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	reply := h.cfg.Sender.Send(ctx, zyegress.SendParams{
		Call: c, Route: route, Budget: s.pool, Grant: d.Grant,
		BeforeAttempt: func(id zinniayoke.AttemptID, to zinniayoke.NodeID) bool {
			return h.decides(d.Grant) && h.copied(ctx, c, d.Grant, id, to) && h.cfg.OwnedKeys.RecordSend(time.Now(), d.Grant, c.Key, id, to)
		},
		Avoid: []zinniayoke.NodeID{h.cfg.Node},
	})
	left := s.pool.Close()
	reply.Unused = left
	if reply.Outcome == zinniayoke.OutcomeNotRun && !h.decides(d.Grant) {
		// Another keeper may have run the key meanwhile.
		reply.Outcome = zinniayoke.OutcomeUnknown
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cfg.OwnedKeys.RecordResult(time.Now(), d.Grant, c.Key, reply, d.Tokens-left)
	s.reply = reply
	delete(h.joined, c.Key)
	close(s.done)
}

// copied reports whether another node remembers the attempt. One on this
// keeper's own host, which is chosen only where there is no other worker, has to
// be copied, since the loss of the host would take both memories of the key.
func (h *Executor) copied(ctx context.Context, c *zinniayoke.Call, g zinniayoke.Grant, id zinniayoke.AttemptID, to zinniayoke.NodeID) bool {
	if to != h.cfg.Node {
		return true
	}
	there, _ := h.cfg.Membership.RecoveryNodes()
	heirs := zyidempotency.SuccessorsOf(h.cfg.Node, there)
	if len(heirs) == 0 {
		return true // No other node is there to take the key over either.
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	return h.cfg.Peers.ReplicateKey(ctx, heirs[0], zyidempotency.KeyRecord{
		Key: c.Key, Slot: g.Slot, BodyHash: c.BodyHash, Attempt: id, Node: to,
		State: zinniayoke.AttemptLost, Age: -time.Until(c.Deadline),
	}) == nil
}

// ask finds out what became of a run that ended without an answer.
func (h *Executor) ask(ctx context.Context, c *zinniayoke.Call, d zyidempotency.Decision) (*zinniayoke.Reply, bool) {
	short, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	told, err := h.cfg.Peers.Query(short, d.Node, d.Attempt)
	if err != nil || told.State == zinniayoke.AttemptLost {
		return uncertain(c, zinniayoke.ReasonKeyUncertain, "the answer to this key is lost"), false
	}
	if told.State == zinniayoke.AttemptRunning {
		if sleep(ctx, recallPause) {
			return nil, true
		}
		return uncertain(c, zinniayoke.ReasonDeadline, "the deadline passed while the request ran"), false
	}
	if told.State == zinniayoke.AttemptAnswered && told.Reply.Outcome == zinniayoke.OutcomeUnknown {
		return uncertain(c, told.Reply.Reason, "the answer to this key is lost"), false
	}
	h.cfg.OwnedKeys.RecordQueryReply(time.Now(), zyidempotency.SlotOf(h.cfg.Domain, c.Key), c.Key, d.Attempt, told)
	return nil, true
}

// ConfirmNotRun reports whether a request that was refused at its entry certainly ran
// nowhere before.
func (h *Executor) ConfirmNotRun(ctx context.Context, key zinniayoke.Key) bool {
	slot := zyidempotency.SlotOf(h.cfg.Domain, key)
	if !h.mine(slot) || !h.inCharge() {
		return false
	}
	if len(h.cfg.OwnedKeys.ClosedSlots([]zinniayoke.KeySlot{slot})) > 0 && h.RecoverSlots(ctx) != nil {
		return false
	}
	return h.cfg.OwnedKeys.CertainlyNotRun(time.Now(), slot, key) && h.inCharge()
}

func (h *Executor) mine(slot zinniayoke.KeySlot) bool {
	return zyidempotency.OwnerOf(slot, h.cfg.Membership.KeyOwners(h.cfg.Domain)) == h.cfg.Node
}

// decides reports whether what happened under a grant is still this node's to
// tell.
func (h *Executor) decides(g zinniayoke.Grant) bool {
	return h.inCharge() && h.cfg.OwnedKeys.IsCurrent(g)
}

// inCharge reports whether this node may decide about keys: it has not been
// paused, and no other part of its failure domain can have taken over.
func (h *Executor) inCharge() bool {
	h.mu.Lock()
	paused := time.Since(h.beat) > longestPause
	h.mu.Unlock()
	return !paused && h.cfg.Membership.HasQuorum(h.cfg.Domain)
}

// Drain waits until the runs at hand have ended or ctx is done, whose error it
// returns then.
func (h *Executor) Drain(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		h.active.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

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

func uncertain(c *zinniayoke.Call, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{Request: c.Request, Reason: reason, Outcome: zinniayoke.OutcomeUnknown, Detail: detail}
}

func notRun(c *zinniayoke.Call, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{Request: c.Request, Reason: reason, Outcome: zinniayoke.OutcomeNotRun, Detail: detail}
}
