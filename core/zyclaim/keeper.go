package zyclaim

import (
	"sync"
	"time"

	"zinniayoke"
)

// Step says what the keeper's node has to do with a request.
// The zero value is StepRecover.
type Step int

// The steps.
const (
	// StepRecover asks for a recovery of the slot first.
	StepRecover Step = iota
	// StepRun lets the caller of Claim run the key under the grant.
	StepRun
	// StepJoin waits for the run in progress.
	StepJoin
	// StepAnswer hands out the answer of the finished run.
	StepAnswer
	// StepAsk asks the worker's node what became of the attempt.
	StepAsk
	// StepUncertain says that the key may have run and must not run again.
	StepUncertain
	// StepReused says that the key came with another body before.
	StepReused
	// StepSpent says that the key has used up its attempts.
	StepSpent
)

// Decision is the answer to a claim.
type Decision struct {
	Step    Step
	Grant   zinniayoke.Grant
	Reply   *zinniayoke.Reply
	Attempt zinniayoke.AttemptID
	Node    zinniayoke.NodeID
	// Tokens are left of the allowance that all sends of the key share.
	Tokens zinniayoke.Tokens
}

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Node zinniayoke.NodeID
	// Most is the largest number of keys that are kept.
	Most int
	// Window is how long a key is kept after its last change.
	Window time.Duration
}

// Keeper grants the keys of the slots that its node keeps. It may be used by
// several goroutines. A Keeper must be made with NewKeeper.
type Keeper struct {
	cfg   KeeperConfig
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

// NewKeeper returns a keeper that has recovered no slot.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{cfg: cfg, slots: make(map[zinniayoke.KeySlot]*slotState)}
}

// SetWindow changes how long keys are kept from now on.
func (k *Keeper) SetWindow(window time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.Window = window
}

// Claim decides what happens to a send of a key. Allowance is the number of
// attempts that all sends of the key may cause.
func (k *Keeper) Claim(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key, bodyHash uint64, allowance zinniayoke.Tokens) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.open {
		return Decision{Step: StepRecover}
	}
	e, ok := s.keys[key]
	if !ok {
		return k.claimNew(now, slot, s, key, bodyHash, allowance)
	}
	if e.gaveUp {
		return Decision{Step: StepUncertain}
	}
	if e.bodyHash != bodyHash {
		return Decision{Step: StepReused}
	}
	switch {
	case e.running:
		return Decision{Step: StepJoin, Attempt: e.attempt}
	case e.fate == zinniayoke.AttemptAnswered && e.reply != nil:
		return Decision{Step: StepAnswer, Reply: e.reply}
	case e.fate == zinniayoke.AttemptNeverSeen:
		return k.claimAgain(now, slot, s, e, allowance)
	case e.node != "":
		return Decision{Step: StepAsk, Attempt: e.attempt, Node: e.node}
	}
	return Decision{Step: StepUncertain}
}

func (k *Keeper) claimNew(now time.Time, slot zinniayoke.KeySlot, s *slotState, key zinniayoke.Key, bodyHash uint64, allowance zinniayoke.Tokens) Decision {
	if k.blocked(now, s) || k.keys >= k.cfg.Most {
		return Decision{Step: StepUncertain}
	}
	if allowance < 1 {
		return Decision{Step: StepSpent}
	}
	s.keys[key] = &keyState{bodyHash: bodyHash, running: true, at: now}
	k.keys++
	return Decision{Step: StepRun, Grant: zinniayoke.Grant{Slot: slot, Epoch: s.epoch}, Tokens: allowance}
}

// claimAgain lets a key run that was sent before but reached no worker.
func (k *Keeper) claimAgain(now time.Time, slot zinniayoke.KeySlot, s *slotState, e *keyState, allowance zinniayoke.Tokens) Decision {
	left := allowance - e.used
	if left < 1 {
		return Decision{Step: StepSpent}
	}
	e.running = true
	e.at = now
	return Decision{Step: StepRun, Grant: zinniayoke.Grant{Slot: slot, Epoch: s.epoch}, Tokens: left}
}

// lostWindows is after how many windows a lost node is counted out. It may run a
// key that was on its way to it for half a window, and remembers it for one.
const lostWindows = 2

// blocked reports whether a node that may remember unknown keys of the slot is
// still out of reach. After some time nobody remembers anything.
func (k *Keeper) blocked(now time.Time, s *slotState) bool {
	for node, lost := range s.missing {
		if now.Sub(lost) > lostWindows*k.cfg.Window {
			delete(s.missing, node)
		}
	}
	return len(s.missing) > 0
}

// Sent notes the attempt under which a key is about to run at a node. It
// reports false where the grant is no longer this keeper's to use.
func (k *Keeper) Sent(now time.Time, g zinniayoke.Grant, key zinniayoke.Key, id zinniayoke.AttemptID, node zinniayoke.NodeID) bool {
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

// Knows reports whether a slot is open here and a key of it is kept.
func (k *Keeper) Knows(slot zinniayoke.KeySlot, key zinniayoke.Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.open {
		return false
	}
	_, ok = s.keys[key]
	return ok
}

// GiveUp hands a key to the caller's new home. It returns StepRun where the key
// ran nowhere and will never run here, StepAnswer with the answer of its run,
// and StepUncertain where it may have run.
func (k *Keeper) GiveUp(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.open {
		return Decision{Step: StepRecover}
	}
	e, known := s.keys[key]
	switch {
	case !known && (k.blocked(now, s) || k.keys >= k.cfg.Most):
		return Decision{Step: StepUncertain}
	case known && e.fate == zinniayoke.AttemptAnswered:
		return Decision{Step: StepAnswer, Reply: e.reply}
	case known && !e.gaveUp && (e.running || e.fate != zinniayoke.AttemptNeverSeen):
		return Decision{Step: StepUncertain}
	case !known:
		k.keys++
	}
	s.keys[key] = &keyState{fate: zinniayoke.AttemptLost, gaveUp: true, at: now}
	return Decision{Step: StepRun}
}

// Holds reports whether a grant is still this keeper's to use.
func (k *Keeper) Holds(g zinniayoke.Grant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[g.Slot]
	return ok && s.open && s.epoch == g.Epoch
}

// Settle notes how the run of a key ended, and how many attempts it has used.
func (k *Keeper) Settle(now time.Time, g zinniayoke.Grant, key zinniayoke.Key, reply *zinniayoke.Reply, used zinniayoke.Tokens) {
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

// Tell returns how many attempts the key has used that it was not told of
// before, with those of a run that is under way.
func (k *Keeper) Tell(slot zinniayoke.KeySlot, key zinniayoke.Key, running zinniayoke.Tokens) zinniayoke.Tokens {
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

// Learn notes what a worker's node said about an attempt that was uncertain.
func (k *Keeper) Learn(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key, id zinniayoke.AttemptID, told *zinniayoke.QueryReply) {
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

// Note records that a key was refused before any send. It reports whether the
// key certainly ran nowhere.
func (k *Keeper) Note(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) bool {
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

func (k *Keeper) entry(g zinniayoke.Grant, key zinniayoke.Key) *keyState {
	s, ok := k.slots[g.Slot]
	if !ok || s.epoch != g.Epoch {
		return nil
	}
	return s.keys[key]
}

// Sweep forgets keys that are older than the window.
func (k *Keeper) Sweep(now time.Time) {
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
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys
}
