package zyidempotency

import (
	"maps"
	"time"

	"zinniayoke"
)

// Recovery is a take-over of slots in progress.
type Recovery struct {
	Slots []zinniayoke.KeySlot
	Epoch zinniayoke.Epoch
	held  []KeyRecord
	// missing holds the nodes that did not answer, with the time of their loss.
	missing map[zinniayoke.NodeID]time.Time
	// latest is the newest keeper of each slot that some node has obeyed, and
	// settled whether it was the only one for as long as anybody remembers.
	latest map[zinniayoke.KeySlot]SlotPromise
	// given holds the slots that their last keeper gave up itself.
	given map[zinniayoke.KeySlot]ReleasedSlot
}

// ReleasedSlot is a slot that its keeper gives up with all that it knows.
type ReleasedSlot struct {
	Slot  zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch   `codec:"e"`
	// Unreachable holds the nodes that the keeper missed itself.
	Unreachable []LostNode `codec:"m"`
}

// LostNode is a node that is out of reach, and for how long.
type LostNode struct {
	Node zinniayoke.NodeID `codec:"n"`
	Age  time.Duration     `codec:"a"`
}

// ClosedSlots returns those of the slots that are not open at this keeper.
func (k *Owner) ClosedSlots(slots []zinniayoke.KeySlot) []zinniayoke.KeySlot {
	k.mu.Lock()
	defer k.mu.Unlock()
	var closed []zinniayoke.KeySlot
	for _, slot := range slots {
		if s, ok := k.slots[slot]; !ok || !s.open {
			closed = append(closed, slot)
		}
	}
	return closed
}

// StartRecovery begins a take-over with an epoch above all that are known.
func (k *Owner) StartRecovery(slots []zinniayoke.KeySlot, highest zinniayoke.Epoch) *Recovery {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, slot := range slots {
		if s, ok := k.slots[slot]; ok && highest.Less(s.epoch) {
			highest = s.epoch
		}
	}
	return &Recovery{
		Slots:   slots,
		Epoch:   zinniayoke.Epoch{Major: highest.Major + 1, Node: k.cfg.Node},
		missing: make(map[zinniayoke.NodeID]time.Time),
		latest:  make(map[zinniayoke.KeySlot]SlotPromise),
		given:   make(map[zinniayoke.KeySlot]ReleasedSlot),
	}
}

// AddRecords adds what a node remembers that has promised the epoch.
func (r *Recovery) AddRecords(list []KeyRecord, witnesses []SlotPromise) {
	r.held = append(r.held, list...)
	for _, w := range witnesses {
		if w.Epoch.Node == r.Epoch.Node {
			continue // This is an earlier try of the same keeper.
		}
		old, known := r.latest[w.Slot]
		switch {
		case !known:
			r.latest[w.Slot] = w
		case old.Epoch.Node != w.Epoch.Node:
			// Some node has obeyed another keeper, so there was one before.
			if old.Epoch.Less(w.Epoch) {
				old = w
			}
			old.FirstOwner = false
			r.latest[w.Slot] = old
		case old.Epoch.Node == w.Epoch.Node:
			old.SoleOwner = old.SoleOwner || w.SoleOwner
			old.FirstOwner = old.FirstOwner && w.FirstOwner
			r.latest[w.Slot] = old
		}
	}
}

// MergeEarlier takes over what an earlier try of the same keeper was told, since the
// nodes that obeyed it do not tell again whom they obeyed before.
func (r *Recovery) MergeEarlier(earlier *Recovery) {
	if earlier == nil {
		return
	}
	for slot, w := range earlier.latest {
		r.latest[slot] = w
	}
	for slot, g := range earlier.given {
		r.given[slot] = g
	}
}

// AddReleased adds what an earlier keeper gives up.
func (r *Recovery) AddReleased(list []ReleasedSlot) {
	for _, g := range list {
		if old, ok := r.given[g.Slot]; !ok || old.Epoch.Less(g.Epoch) {
			r.given[g.Slot] = g
		}
	}
}

// missingOf returns the nodes that may remember keys of the slot and are out of
// reach. Where the last keeper gave the slot up itself, it knew of all keys but
// those of the nodes that it missed. Neither that nor an excuse counts where two
// nodes are missing, since one of them may be a keeper that only the other one
// has obeyed.
func (r *Recovery) missingOf(now time.Time, slot zinniayoke.KeySlot) map[zinniayoke.NodeID]time.Time {
	missing := make(map[zinniayoke.NodeID]time.Time)
	if len(r.missing) > 1 {
		return maps.Clone(r.missing)
	}
	given, ok := r.given[slot]
	if ok && !given.Epoch.Less(r.latest[slot].Epoch) {
		for _, l := range given.Unreachable {
			missing[l.Node] = now.Add(-l.Age)
		}
		return missing
	}
	for node, lost := range r.missing {
		if !r.excused(slot, node) {
			missing[node] = lost
		}
	}
	return missing
}

// excused reports whether a node that is missing cannot remember keys of the
// slot: it kept the slot itself all the time, and a keeper never sends keys to
// its own host.
func (r *Recovery) excused(slot zinniayoke.KeySlot, node zinniayoke.NodeID) bool {
	w, ok := r.latest[slot]
	return ok && (w.SoleOwner || w.FirstOwner) && w.Epoch.Node == node
}

// MarkUnreachable notes a node that did not answer and when it was lost.
func (r *Recovery) MarkUnreachable(node zinniayoke.NodeID, lost time.Time) {
	r.missing[node] = lost
}

// FinishRecovery opens the slots with what was learned. Keys that are unknown
// stay refused while a missing node may remember them.
func (k *Owner) FinishRecovery(now time.Time, r *Recovery) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, slot := range r.Slots {
		old := k.slots[slot]
		if old != nil && r.Epoch.Less(old.epoch) {
			continue
		}
		k.keys -= lenOf(old)
		s := &slotState{
			open: true, complete: true, epoch: r.Epoch,
			missing: r.missingOf(now, slot),
			keys:    keepOld(old),
		}
		k.slots[slot] = s
		k.keys += len(s.keys)
	}
	for _, h := range r.held {
		k.restore(now, h)
	}
}

// keepOld returns what the keeper knew itself of a slot that it kept before.
// Runs that were in progress are uncertain under the new epoch. A key that had
// run nowhere is forgotten, since another keeper may have granted it meanwhile.
func keepOld(old *slotState) map[zinniayoke.Key]*keyState {
	keys := make(map[zinniayoke.Key]*keyState)
	if old == nil {
		return keys
	}
	for key, e := range old.keys {
		if !e.running && e.fate == zinniayoke.AttemptNeverSeen {
			continue
		}
		kept := *e
		kept.restored = true
		if kept.running {
			kept.running = false
			kept.fate = zinniayoke.AttemptLost
		}
		keys[key] = &kept
	}
	return keys
}

func lenOf(s *slotState) int {
	if s == nil {
		return 0
	}
	return len(s.keys)
}

// restore merges what one node remembers of a key. An answer beats everything
// else; a run that is not known to have ended stays uncertain.
func (k *Owner) restore(now time.Time, h KeyRecord) {
	s, ok := k.slots[h.Slot]
	if !ok {
		return
	}
	old, known := s.keys[h.Key]
	if known && old.fate == zinniayoke.AttemptAnswered {
		return
	}
	if !known {
		k.keys++
	}
	fate := h.State
	if fate == zinniayoke.AttemptRunning || fate == zinniayoke.AttemptNeverSeen {
		fate = zinniayoke.AttemptLost
	}
	s.keys[h.Key] = &keyState{
		bodyHash: h.BodyHash, attempt: h.Attempt, node: h.Node,
		restored: true, fate: fate, reply: h.Reply, at: now.Add(-h.Age),
	}
}

// RetainSlots closes the slots that belong to another keeper now, except those with
// a run in progress, whose answer is still to come.
func (k *Owner) RetainSlots(mine func(zinniayoke.KeySlot) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for slot, s := range k.slots {
		if mine(slot) {
			continue
		}
		s.open = false
	}
}

// CloseIncomplete closes the slots that miss a node which is there again, so that the
// next claim recovers them whole.
func (k *Owner) CloseIncomplete(there []zinniayoke.NodeID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.slots {
		for _, node := range there {
			if _, ok := s.missing[node]; ok {
				s.open = false
			}
		}
	}
}

// ReleaseSlots closes slots that a newer keeper has taken over. It returns what this
// keeper knows of them, and those that nobody has taken over before.
func (k *Owner) ReleaseSlots(now time.Time, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) ([]KeyRecord, []ReleasedSlot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []KeyRecord
	var given []ReleasedSlot
	for _, slot := range slots {
		s, ok := k.slots[slot]
		if !ok || !s.epoch.Less(epoch) {
			continue
		}
		if s.complete {
			given = append(given, s.give(now, slot))
		}
		s.open, s.complete = false, false
		for key, e := range s.keys {
			if !e.running && e.fate == zinniayoke.AttemptNeverSeen {
				continue
			}
			list = append(list, e.export(now, slot, key))
		}
	}
	return list, given
}

func (s *slotState) give(now time.Time, slot zinniayoke.KeySlot) ReleasedSlot {
	g := ReleasedSlot{Slot: slot, Epoch: s.epoch}
	for node, lost := range s.missing {
		g.Unreachable = append(g.Unreachable, LostNode{Node: node, Age: now.Sub(lost)})
	}
	return g
}

func (e *keyState) export(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) KeyRecord {
	fate := e.fate
	if e.running {
		fate = zinniayoke.AttemptRunning
	}
	return KeyRecord{
		Key: key, Slot: slot, BodyHash: e.bodyHash, Attempt: e.attempt, Node: e.node,
		State: fate, Reply: e.reply, Age: now.Sub(e.at),
	}
}
