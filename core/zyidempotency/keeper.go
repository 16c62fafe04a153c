package zyidempotency

import (
	"sync"
	"time"

	"zinniayoke"
)

// Action says what the keeper's node has to do with a request.
// The zero value is StepRecover.
type Action int

// The steps.
const (
	// ActionRecover asks for a recovery of the slot first.
	ActionRecover Action = iota
	// ActionRun lets the caller of Claim run the key under the grant.
	ActionRun
	// ActionJoin waits for the run in progress.
	ActionJoin
	// ActionRespond hands out the answer of the finished run.
	ActionRespond
	// ActionQuery asks the worker's node what became of the attempt.
	ActionQuery
	// ActionRejectUncertain says that the key may have run and must not run again.
	ActionRejectUncertain
	// ActionRejectReused says that the key came with another body before.
	ActionRejectReused
	// ActionRejectExhausted says that the key has used up its attempts.
	ActionRejectExhausted
)

// Decision is the answer to a claim.
type Decision struct {
	Action  Action
	Grant   zinniayoke.Grant
	Reply   *zinniayoke.Reply
	Attempt zinniayoke.AttemptID
	Node    zinniayoke.NodeID
	// Tokens are left of the allowance that all sends of the key share.
	Tokens zinniayoke.Tokens
}

// OwnerConfig configures a Keeper.
type OwnerConfig struct {
	Node zinniayoke.NodeID
	// MaxKeys is the largest number of keys that are kept.
	MaxKeys int
	// Window is how long a key is kept after its last change.
	Window time.Duration
}

// Owner grants the keys of the slots that its node keeps. It may be used by
// several goroutines. A Owner must be made with NewKeeper.
type Owner struct {
	cfg   OwnerConfig
	mu    sync.Mutex
	slots map[zinniayoke.KeySlot]*slotState
	keys  int
}

type slotState struct {
	open bool
	// complete is true from the slot's recovery until another keeper takes it
	// over, also while it is closed here.
	complete bool
	epoch    zinniayoke.Epoch
	// missing holds the nodes that may remember keys of the slot and were out of
	// reach, and when each was lost.
	missing map[zinniayoke.NodeID]time.Time
	keys    map[zinniayoke.Key]*keyState
}

type keyState struct {
	bodyHash uint64
	running  bool
	attempt  zinniayoke.AttemptID
	node     zinniayoke.NodeID
	fate     zinniayoke.AttemptState
	reply    *zinniayoke.Reply
	used     zinniayoke.Tokens
	// told is how many of the used attempts replies have told of.
	told zinniayoke.Tokens
	at   time.Time
	// gaveUp is true for a key that the caller's new home may run.
	gaveUp bool
	// restored is true for what was learned from an earlier keeper's time.
	restored bool
}

// NewOwner returns a keeper that has recovered no slot.
func NewOwner(cfg OwnerConfig) *Owner {
	return &Owner{cfg: cfg, slots: make(map[zinniayoke.KeySlot]*slotState)}
}

// SetWindow changes how long keys are kept from now on.
func (k *Owner) SetWindow(window time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.Window = window
}

// Claim decides what happens to a send of a key. Allowance is the number of
// attempts that all sends of the key may cause.
func (k *Owner) Claim(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key, bodyHash uint64, allowance zinniayoke.Tokens) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.open {
		return Decision{Action: ActionRecover}
	}
	e, ok := s.keys[key]
	if !ok {
		return k.claimNew(now, slot, s, key, bodyHash, allowance)
	}
	if e.gaveUp {
		return Decision{Action: ActionRejectUncertain}
	}
	if e.bodyHash != bodyHash {
		return Decision{Action: ActionRejectReused}
	}
	switch {
	case e.running:
		return Decision{Action: ActionJoin, Attempt: e.attempt}
	case e.fate == zinniayoke.AttemptAnswered && e.reply != nil:
		return Decision{Action: ActionRespond, Reply: e.reply}
	case e.fate == zinniayoke.AttemptNeverSeen:
		return k.claimAgain(now, slot, s, e, allowance)
	case e.node != "":
		return Decision{Action: ActionQuery, Attempt: e.attempt, Node: e.node}
	}
	return Decision{Action: ActionRejectUncertain}
}

func (k *Owner) claimNew(now time.Time, slot zinniayoke.KeySlot, s *slotState, key zinniayoke.Key, bodyHash uint64, allowance zinniayoke.Tokens) Decision {
	if k.blocked(now, s) || k.keys >= k.cfg.MaxKeys {
		return Decision{Action: ActionRejectUncertain}
	}
	if allowance < 1 {
		return Decision{Action: ActionRejectExhausted}
	}
	s.keys[key] = &keyState{bodyHash: bodyHash, running: true, at: now}
	k.keys++
	return Decision{Action: ActionRun, Grant: zinniayoke.Grant{Slot: slot, Epoch: s.epoch}, Tokens: allowance}
}

// claimAgain lets a key run that was sent before but reached no worker.
func (k *Owner) claimAgain(now time.Time, slot zinniayoke.KeySlot, s *slotState, e *keyState, allowance zinniayoke.Tokens) Decision {
	left := allowance - e.used
	if left < 1 {
		return Decision{Action: ActionRejectExhausted}
	}
	e.running = true
	e.at = now
	return Decision{Action: ActionRun, Grant: zinniayoke.Grant{Slot: slot, Epoch: s.epoch}, Tokens: left}
}

// lostWindows is after how many windows a lost node is counted out. It may run a
// key that was on its way to it for half a window, and remembers it for one.
const lostWindows = 2

// blocked reports whether a node that may remember unknown keys of the slot is
// still out of reach. After some time nobody remembers anything.
func (k *Owner) blocked(now time.Time, s *slotState) bool {
	for node, lost := range s.missing {
		if now.Sub(lost) > lostWindows*k.cfg.Window {
			delete(s.missing, node)
		}
	}
	return len(s.missing) > 0
}

// RecordSend notes the attempt under which a key is about to run at a node. It
// reports false where the grant is no longer this keeper's to use.
func (k *Owner) RecordSend(now time.Time, g zinniayoke.Grant, key zinniayoke.Key, id zinniayoke.AttemptID, node zinniayoke.NodeID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entry(g, key)
	if e == nil || !e.running || !k.slots[g.Slot].open {
		return false
	}
	e.attempt = id
	e.node = node
	e.at = now
	return true
}

// HasKey reports whether a slot is open here and a key of it is kept.
func (k *Owner) HasKey(slot zinniayoke.KeySlot, key zinniayoke.Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.open {
		return false
	}
	_, ok = s.keys[key]
	return ok
}

// ReleaseKey hands a key to the caller's new home. It returns StepRun where the key
// ran nowhere and will never run here, StepAnswer with the answer of its run,
// and StepUncertain where it may have run.
func (k *Owner) ReleaseKey(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.open {
		return Decision{Action: ActionRecover}
	}
	e, known := s.keys[key]
	switch {
	case !known && (k.blocked(now, s) || k.keys >= k.cfg.MaxKeys):
		return Decision{Action: ActionRejectUncertain}
	case known && e.fate == zinniayoke.AttemptAnswered:
		return Decision{Action: ActionRespond, Reply: e.reply}
	case known && !e.gaveUp && (e.running || e.fate != zinniayoke.AttemptNeverSeen):
		return Decision{Action: ActionRejectUncertain}
	case !known:
		k.keys++
	}
	s.keys[key] = &keyState{fate: zinniayoke.AttemptLost, gaveUp: true, at: now}
	return Decision{Action: ActionRun}
}

// IsCurrent reports whether a grant is still this keeper's to use.
func (k *Owner) IsCurrent(g zinniayoke.Grant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[g.Slot]
	return ok && s.open && s.epoch == g.Epoch
}

// RecordResult notes how the run of a key ended, and how many attempts it has used.
func (k *Owner) RecordResult(now time.Time, g zinniayoke.Grant, key zinniayoke.Key, reply *zinniayoke.Reply, used zinniayoke.Tokens) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entry(g, key)
	if e == nil {
		return
	}
	e.running = false
	e.used += used
	e.at = now
	switch reply.Outcome {
	case zinniayoke.OutcomeDone:
		e.fate = zinniayoke.AttemptAnswered
		e.reply = reply
	case zinniayoke.OutcomeNotRun:
		e.fate = zinniayoke.AttemptNeverSeen
	case zinniayoke.OutcomeUnknown:
		e.fate = zinniayoke.AttemptLost
	}
}

// ReportSpent returns how many attempts the key has used that it was not told of
// before, with those of a run that is under way.
func (k *Owner) ReportSpent(slot zinniayoke.KeySlot, key zinniayoke.Key, running zinniayoke.Tokens) zinniayoke.Tokens {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok {
		return 0
	}
	e, ok := s.keys[key]
	if !ok {
		return 0
	}
	fresh := max(e.used+running-e.told, 0)
	e.told += fresh
	return fresh
}

// RecordQueryReply notes what a worker's node said about an attempt that was uncertain.
func (k *Owner) RecordQueryReply(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key, id zinniayoke.AttemptID, told *zinniayoke.QueryReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok {
		return
	}
	e, ok := s.keys[key]
	if !ok || e.attempt != id || e.running {
		return
	}
	e.at = now
	switch told.State {
	case zinniayoke.AttemptAnswered:
		e.fate = told.State
		e.reply = told.Reply
		if told.Reply.Outcome == zinniayoke.OutcomeNotRun {
			e.fate = zinniayoke.AttemptNeverSeen
		}
	case zinniayoke.AttemptNeverSeen:
		e.fate = told.State
	case zinniayoke.AttemptRunning, zinniayoke.AttemptLost:
	}
	if e.restored && e.fate == zinniayoke.AttemptNeverSeen {
		// An earlier keeper may have sent the key to a node that is out of
		// reach, so it counts as unknown again.
		delete(s.keys, key)
		k.keys--
	}
}

// CertainlyNotRun records that a key was refused before any send. It reports whether the
// key certainly ran nowhere.
func (k *Owner) CertainlyNotRun(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.open {
		return false
	}
	e, ok := s.keys[key]
	if !ok {
		return !k.blocked(now, s)
	}
	return !e.running && e.fate == zinniayoke.AttemptNeverSeen
}

func (k *Owner) entry(g zinniayoke.Grant, key zinniayoke.Key) *keyState {
	s, ok := k.slots[g.Slot]
	if !ok || s.epoch != g.Epoch {
		return nil
	}
	return s.keys[key]
}

// Sweep forgets keys that are older than the window.
func (k *Owner) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.slots {
		for key, e := range s.keys {
			if !e.running && now.Sub(e.at) > k.cfg.Window {
				delete(s.keys, key)
				k.keys--
			}
		}
	}
}

// Len returns how many keys are kept.
func (k *Owner) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys
}
