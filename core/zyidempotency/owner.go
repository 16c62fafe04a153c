package zyidempotency

import (
	"sync"
	"time"

	"zinniayoke"
)

// Action is what the node that owns a key does with a request. The zero value
// is ActionRecover.
type Action int

// The actions.
const (
	// ActionRecover recovers the slot and then claims the key again.
	ActionRecover Action = iota
	// ActionRun runs the request under the grant of the decision.
	ActionRun
	// ActionJoin waits for the result of the run in progress.
	ActionJoin
	// ActionRespond returns the stored response of the finished run.
	ActionRespond
	// ActionQuery asks the worker's node for the state of the attempt.
	ActionQuery
	// ActionRejectUncertain rejects the request because its key may have run
	// before.
	ActionRejectUncertain
	// ActionRejectReused rejects the request because its key was used with a
	// different body.
	ActionRejectReused
	// ActionRejectExhausted rejects the request because the attempt budget of its
	// key is used up.
	ActionRejectExhausted
)

// Decision is the result of a claim.
type Decision struct {
	Action  Action
	Grant   zinniayoke.Grant
	Reply   *zinniayoke.Reply
	Attempt zinniayoke.AttemptID
	Node    zinniayoke.NodeID
	// Tokens is the rest of the attempt budget that all sends of the key share.
	Tokens zinniayoke.Tokens
}

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Node zinniayoke.NodeID
	// MaxKeys is the largest number of keys in all slots.
	MaxKeys int
	// Window is how long a key is kept after its last change.
	Window time.Duration
}

// Owner holds the state of the key slots that this node owns and grants each of
// their keys to at most one run at a time. It may be used by several goroutines. An
// Owner must be created with NewOwner.
type Owner struct {
	cfg   OwnerConfig
	mu    sync.Mutex
	slots map[zinniayoke.KeySlot]*slotState
	keys  int
}

type slotState struct {
	open bool
	// complete is true from the recovery of the slot until another node takes the
	// slot over, even while the slot is closed here.
	complete bool
	epoch    zinniayoke.Epoch
	// unreachable holds the nodes that may have records of the slot and did not
	// take part in its recovery, with the time at which each was lost.
	unreachable map[zinniayoke.NodeID]time.Time
	keys        map[zinniayoke.Key]*keyState
}

type keyState struct {
	bodyHash uint64
	running  bool
	attempt  zinniayoke.AttemptID
	node     zinniayoke.NodeID
	state    zinniayoke.AttemptState
	reply    *zinniayoke.Reply
	spent    zinniayoke.Tokens
	// reported is the part of spent that replies have already reported.
	reported zinniayoke.Tokens
	at       time.Time
	// released is true if the key was handed to the caller's new home domain, which
	// may run it.
	released bool
	// recovered is true if the state dates from an earlier epoch of the slot.
	recovered bool
}

// NewOwner returns an owner whose slots are all still to be recovered.
func NewOwner(cfg OwnerConfig) *Owner {
	return &Owner{cfg: cfg, slots: make(map[zinniayoke.KeySlot]*slotState)}
}

// SetWindow changes how long keys are kept from now on.
func (o *Owner) SetWindow(window time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cfg.Window = window
}

// Claim decides what happens to a send of a key. Allowance is the attempt budget
// that all sends of the key share.
func (o *Owner) Claim(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key, bodyHash uint64, allowance zinniayoke.Tokens) Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.slots[slot]
	if !ok || !s.open {
		return Decision{Action: ActionRecover}
	}
	e, ok := s.keys[key]
	if !ok {
		return o.claimNew(now, slot, s, key, bodyHash, allowance)
	}
	if e.released {
		return Decision{Action: ActionRejectUncertain}
	}
	if e.bodyHash != bodyHash {
		return Decision{Action: ActionRejectReused}
	}
	switch {
	case e.running:
		return Decision{Action: ActionJoin, Attempt: e.attempt}
	case e.state == zinniayoke.AttemptAnswered && e.reply != nil:
		return Decision{Action: ActionRespond, Reply: e.reply}
	case e.state == zinniayoke.AttemptNeverSeen:
		return o.claimRetry(now, slot, s, e, allowance)
	case e.node != "":
		return Decision{Action: ActionQuery, Attempt: e.attempt, Node: e.node}
	}
	return Decision{Action: ActionRejectUncertain}
}

func (o *Owner) claimNew(now time.Time, slot zinniayoke.KeySlot, s *slotState, key zinniayoke.Key, bodyHash uint64, allowance zinniayoke.Tokens) Decision {
	if o.mayBeHeldElsewhere(now, s) || o.keys >= o.cfg.MaxKeys {
		return Decision{Action: ActionRejectUncertain}
	}
	if allowance < 1 {
		return Decision{Action: ActionRejectExhausted}
	}
	s.keys[key] = &keyState{bodyHash: bodyHash, running: true, at: now}
	o.keys++
	return Decision{Action: ActionRun, Grant: zinniayoke.Grant{Slot: slot, Epoch: s.epoch}, Tokens: allowance}
}

// claimRetry grants a key again that was sent before but not delivered to a worker.
func (o *Owner) claimRetry(now time.Time, slot zinniayoke.KeySlot, s *slotState, e *keyState, allowance zinniayoke.Tokens) Decision {
	remaining := allowance - e.spent
	if remaining < 1 {
		return Decision{Action: ActionRejectExhausted}
	}
	e.running = true
	e.at = now
	return Decision{Action: ActionRun, Grant: zinniayoke.Grant{Slot: slot, Epoch: s.epoch}, Tokens: remaining}
}

// unreachableWindows is the number of windows after which an unreachable node no
// longer matters. It may run a key that was already on its way for half a window
// and keeps the key for one window.
const unreachableWindows = 2

// mayBeHeldElsewhere reports whether an unreachable node may still have records of
// keys of the slot that are unknown here.
func (o *Owner) mayBeHeldElsewhere(now time.Time, s *slotState) bool {
	for node, lostAt := range s.unreachable {
		if now.Sub(lostAt) > unreachableWindows*o.cfg.Window {
			delete(s.unreachable, node)
		}
	}
	return len(s.unreachable) > 0
}

// RecordSend records the attempt with which a key is about to run, and its node. It
// returns false if the grant is no longer valid; then the attempt must not be sent.
func (o *Owner) RecordSend(now time.Time, g zinniayoke.Grant, key zinniayoke.Key, id zinniayoke.AttemptID, node zinniayoke.NodeID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.lookup(g, key)
	if e == nil || !e.running || !o.slots[g.Slot].open {
		return false
	}
	e.attempt = id
	e.node = node
	e.at = now
	return true
}

// HasKey reports whether the slot is open and has state of the key.
func (o *Owner) HasKey(slot zinniayoke.KeySlot, key zinniayoke.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.slots[slot]
	if !ok || !s.open {
		return false
	}
	_, ok = s.keys[key]
	return ok
}

// ReleaseKey releases a key to the caller's new home domain. It returns ActionRun
// if the key has not run and will not run here, ActionRespond with the reply if it
// has run, ActionRejectUncertain if it may have run, and ActionRecover if the slot
// is not open.
func (o *Owner) ReleaseKey(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.slots[slot]
	if !ok || !s.open {
		return Decision{Action: ActionRecover}
	}
	e, known := s.keys[key]
	switch {
	case !known && (o.mayBeHeldElsewhere(now, s) || o.keys >= o.cfg.MaxKeys):
		return Decision{Action: ActionRejectUncertain}
	case known && e.state == zinniayoke.AttemptAnswered:
		return Decision{Action: ActionRespond, Reply: e.reply}
	case known && !e.released && (e.running || e.state != zinniayoke.AttemptNeverSeen):
		return Decision{Action: ActionRejectUncertain}
	case !known:
		o.keys++
	}
	s.keys[key] = &keyState{state: zinniayoke.AttemptLost, released: true, at: now}
	return Decision{Action: ActionRun}
}

// IsCurrent reports whether the slot of the grant is open under the epoch of the
// grant.
func (o *Owner) IsCurrent(g zinniayoke.Grant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.slots[g.Slot]
	return ok && s.open && s.epoch == g.Epoch
}

// RecordResult records how the run of a key ended and how many attempts it spent.
func (o *Owner) RecordResult(now time.Time, g zinniayoke.Grant, key zinniayoke.Key, reply *zinniayoke.Reply, spent zinniayoke.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.lookup(g, key)
	if e == nil {
		return
	}
	e.running = false
	e.spent += spent
	e.at = now
	switch reply.Outcome {
	case zinniayoke.OutcomeDone:
		e.state = zinniayoke.AttemptAnswered
		e.reply = reply
	case zinniayoke.OutcomeNotRun:
		e.state = zinniayoke.AttemptNeverSeen
	case zinniayoke.OutcomeUnknown:
		e.state = zinniayoke.AttemptLost
	}
}

// ReportSpent returns the number of attempts spent for the key that no earlier
// reply has reported, and counts them as reported. Running is the number of
// attempts that the run in progress has made so far.
func (o *Owner) ReportSpent(slot zinniayoke.KeySlot, key zinniayoke.Key, running zinniayoke.Tokens) zinniayoke.Tokens {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.slots[slot]
	if !ok {
		return 0
	}
	e, ok := s.keys[key]
	if !ok {
		return 0
	}
	unreported := max(e.spent+running-e.reported, 0)
	e.reported += unreported
	return unreported
}

// RecordQueryReply records what a worker's node replied about an attempt without a
// known result.
func (o *Owner) RecordQueryReply(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key, id zinniayoke.AttemptID, reply *zinniayoke.QueryReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.slots[slot]
	if !ok {
		return
	}
	e, ok := s.keys[key]
	if !ok || e.attempt != id || e.running {
		return
	}
	e.at = now
	switch reply.State {
	case zinniayoke.AttemptAnswered:
		if reply.Reply == nil {
			return // Without the reply, the result is as little known as before.
		}
		e.state = reply.State
		e.reply = reply.Reply
		if reply.Reply.Outcome == zinniayoke.OutcomeNotRun {
			e.state = zinniayoke.AttemptNeverSeen
		}
	case zinniayoke.AttemptNeverSeen:
		e.state = reply.State
	case zinniayoke.AttemptRunning, zinniayoke.AttemptLost:
	}
	// An attempt under an earlier epoch may have been sent to a node that is now
	// unreachable, so the key counts as unknown again.
	if e.recovered && e.state == zinniayoke.AttemptNeverSeen {
		delete(s.keys, key)
		o.keys--
	}
}

// CertainlyNotRun reports whether it is certain that no worker has run the key.
func (o *Owner) CertainlyNotRun(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.slots[slot]
	if !ok || !s.open {
		return false
	}
	e, ok := s.keys[key]
	if !ok {
		return !o.mayBeHeldElsewhere(now, s)
	}
	return !e.running && e.state == zinniayoke.AttemptNeverSeen
}

// lookup returns the state of a key, or nil if the grant is from another epoch or
// the key is unknown.
func (o *Owner) lookup(g zinniayoke.Grant, key zinniayoke.Key) *keyState {
	s, ok := o.slots[g.Slot]
	if !ok || s.epoch != g.Epoch {
		return nil
	}
	return s.keys[key]
}

// Sweep deletes keys that are older than the window and have no run in progress.
func (o *Owner) Sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.slots {
		for key, e := range s.keys {
			if !e.running && now.Sub(e.at) > o.cfg.Window {
				delete(s.keys, key)
				o.keys--
			}
		}
	}
}

// Len returns the number of keys in all slots.
func (o *Owner) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keys
}
