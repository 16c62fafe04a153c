package zyidempotency

import (
	"maps"
	"time"

	"zinniayoke"
)

// Recovery is one attempt of this node to take over slots: it collects the promises
// and records of the other nodes.
type Recovery struct {
	Slots   []zinniayoke.KeySlot
	Epoch   zinniayoke.Epoch
	records []KeyRecord
	// unreachable holds the nodes that did not reply, with the time at which each
	// was lost.
	unreachable map[zinniayoke.NodeID]time.Time
	// promises holds, for each slot, the promise with the highest epoch that any
	// node reported, with the ownership flags combined over all nodes.
	promises map[zinniayoke.KeySlot]SlotPromise
	// released holds the slots that their last owner released itself.
	released map[zinniayoke.KeySlot]ReleasedSlot
}

// ReleasedSlot is a slot that its owner hands over together with all records that
// it has of it.
type ReleasedSlot struct {
	Slot  zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch   `codec:"e"`
	// Unreachable holds the nodes that did not take part in the recovery by the
	// releasing owner.
	Unreachable []LostNode `codec:"m"`
}

// LostNode is an unreachable node. Age is the time since it was lost.
type LostNode struct {
	Node zinniayoke.NodeID `codec:"n"`
	Age  time.Duration     `codec:"a"`
}

// ClosedSlots returns those of the slots that are not open at this node.
func (o *Owner) ClosedSlots(slots []zinniayoke.KeySlot) []zinniayoke.KeySlot {
	o.mu.Lock()
	defer o.mu.Unlock()
	var closed []zinniayoke.KeySlot
	for _, slot := range slots {
		if s, ok := o.slots[slot]; !ok || !s.open {
			closed = append(closed, slot)
		}
	}
	return closed
}

// StartRecovery starts a recovery of the slots with an epoch higher than highest
// and than all epochs of the slots known here.
func (o *Owner) StartRecovery(slots []zinniayoke.KeySlot, highest zinniayoke.Epoch) *Recovery {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, slot := range slots {
		if s, ok := o.slots[slot]; ok && highest.Less(s.epoch) {
			highest = s.epoch
		}
	}
	return &Recovery{
		Slots:       slots,
		Epoch:       zinniayoke.Epoch{Major: highest.Major + 1, Node: o.cfg.Node},
		unreachable: make(map[zinniayoke.NodeID]time.Time),
		promises:    make(map[zinniayoke.KeySlot]SlotPromise),
		released:    make(map[zinniayoke.KeySlot]ReleasedSlot),
	}
}

// AddRecords adds the records and earlier promises of a node that has promised the
// epoch of the recovery.
func (r *Recovery) AddRecords(records []KeyRecord, promises []SlotPromise) {
	r.records = append(r.records, records...)
	for _, p := range promises {
		// The promise was made to an earlier try of this owner.
		if p.Epoch.Node == r.Epoch.Node {
			continue
		}
		old, known := r.promises[p.Slot]
		switch {
		case !known:
			r.promises[p.Slot] = p
		case old.Epoch.Node != p.Epoch.Node:
			// The nodes promised the slot to different owners, so neither is the
			// first.
			if old.Epoch.Less(p.Epoch) {
				old = p
			}
			old.FirstOwner = false
			r.promises[p.Slot] = old
		case old.Epoch.Node == p.Epoch.Node:
			old.SoleOwner = old.SoleOwner || p.SoleOwner
			old.FirstOwner = old.FirstOwner && p.FirstOwner
			r.promises[p.Slot] = old
		}
	}
}

// MergeEarlier adds what an earlier try by the same owner collected, because the
// nodes that made a promise then now report that promise instead of the one before.
// Earlier may be nil.
func (r *Recovery) MergeEarlier(earlier *Recovery) {
	if earlier == nil {
		return
	}
	for slot, p := range earlier.promises {
		r.promises[slot] = p
	}
	for slot, rs := range earlier.released {
		r.released[slot] = rs
	}
}

// AddReleased adds slots that an earlier owner releases.
func (r *Recovery) AddReleased(slots []ReleasedSlot) {
	for _, rs := range slots {
		if old, ok := r.released[rs.Slot]; !ok || old.Epoch.Less(rs.Epoch) {
			r.released[rs.Slot] = rs
		}
	}
}

// unreachableFor returns the nodes that may have records of the slot but cannot be
// reached. If the last owner released the slot itself, it knew all records except
// those of the nodes that it could not reach. Neither this nor cannotHoldKeys
// applies if two nodes are unreachable, because one of them may be an owner that
// only the other one has made a promise to.
func (r *Recovery) unreachableFor(now time.Time, slot zinniayoke.KeySlot) map[zinniayoke.NodeID]time.Time {
	unreachable := make(map[zinniayoke.NodeID]time.Time)
	if len(r.unreachable) > 1 {
		return maps.Clone(r.unreachable)
	}
	released, ok := r.released[slot]
	if ok && !released.Epoch.Less(r.promises[slot].Epoch) {
		for _, n := range released.Unreachable {
			unreachable[n.Node] = now.Add(-n.Age)
		}
		return unreachable
	}
	for node, lostAt := range r.unreachable {
		if !r.cannotHoldKeys(slot, node) {
			unreachable[node] = lostAt
		}
	}
	return unreachable
}

// cannotHoldKeys reports whether an unreachable node cannot have records of the
// slot: it owned the slot all the time, and an owner does not send keys to its own
// host without a copy on another node.
func (r *Recovery) cannotHoldKeys(slot zinniayoke.KeySlot, node zinniayoke.NodeID) bool {
	p, ok := r.promises[slot]
	return ok && (p.SoleOwner || p.FirstOwner) && p.Epoch.Node == node
}

// MarkUnreachable records a node that did not reply and when it was lost.
func (r *Recovery) MarkUnreachable(node zinniayoke.NodeID, lostAt time.Time) {
	r.unreachable[node] = lostAt
}

// FinishRecovery opens the slots with the collected state. Unknown keys are
// rejected while an unreachable node may have records of them.
func (o *Owner) FinishRecovery(now time.Time, r *Recovery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, slot := range r.Slots {
		old := o.slots[slot]
		if old != nil && r.Epoch.Less(old.epoch) {
			continue
		}
		o.keys -= keyCount(old)
		s := &slotState{
			open: true, complete: true, epoch: r.Epoch,
			unreachable: r.unreachableFor(now, slot),
			keys:        carryOver(old),
		}
		o.slots[slot] = s
		o.keys += len(s.keys)
	}
	for _, rec := range r.records {
		o.mergeRecord(now, rec)
	}
}

// carryOver returns the state of the keys of a slot that this node owned before.
// Runs that were in progress are uncertain under the new epoch. A key that has not
// run is dropped, because another owner may have granted it in the meantime.
func carryOver(old *slotState) map[zinniayoke.Key]*keyState {
	keys := make(map[zinniayoke.Key]*keyState)
	if old == nil {
		return keys
	}
	for key, e := range old.keys {
		if !e.running && e.state == zinniayoke.AttemptNeverSeen {
			continue
		}
		copied := *e
		copied.recovered = true
		if copied.running {
			copied.running = false
			copied.state = zinniayoke.AttemptLost
		}
		keys[key] = &copied
	}
	return keys
}

func keyCount(s *slotState) int {
	if s == nil {
		return 0
	}
	return len(s.keys)
}

// mergeRecord merges the record of a key from one node. A response takes precedence
// over any other state; a run that is not known to have ended stays uncertain.
func (o *Owner) mergeRecord(now time.Time, rec KeyRecord) {
	s, ok := o.slots[rec.Slot]
	if !ok {
		return
	}
	old, known := s.keys[rec.Key]
	if known && old.state == zinniayoke.AttemptAnswered {
		return
	}
	if !known {
		o.keys++
	}
	state := rec.State
	if state == zinniayoke.AttemptRunning || state == zinniayoke.AttemptNeverSeen {
		state = zinniayoke.AttemptLost
	}
	s.keys[rec.Key] = &keyState{
		bodyHash: rec.BodyHash, attempt: rec.Attempt, node: rec.Node,
		recovered: true, state: state, reply: rec.Reply, at: now.Add(-rec.Age),
	}
}

// RetainSlots closes all slots for which owned returns false.
func (o *Owner) RetainSlots(owned func(zinniayoke.KeySlot) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for slot, s := range o.slots {
		if owned(slot) {
			continue
		}
		s.open = false
	}
}

// CloseIncomplete closes the slots whose recovery missed a node that is reachable
// again, so that the next claim recovers them completely.
func (o *Owner) CloseIncomplete(reachable []zinniayoke.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.slots {
		for _, node := range reachable {
			if _, ok := s.unreachable[node]; ok {
				s.open = false
			}
		}
	}
}

// ReleaseSlots closes the slots that a node has taken over with a higher epoch. It
// returns the records of their keys, and those slots that no node has taken over
// since their recovery here.
func (o *Owner) ReleaseSlots(now time.Time, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) ([]KeyRecord, []ReleasedSlot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var records []KeyRecord
	var releasedSlots []ReleasedSlot
	for _, slot := range slots {
		s, ok := o.slots[slot]
		if !ok || !s.epoch.Less(epoch) {
			continue
		}
		if s.complete {
			releasedSlots = append(releasedSlots, s.release(now, slot))
		}
		s.open, s.complete = false, false
		for key, e := range s.keys {
			if !e.running && e.state == zinniayoke.AttemptNeverSeen {
				continue
			}
			records = append(records, e.record(now, slot, key))
		}
	}
	return records, releasedSlots
}

func (s *slotState) release(now time.Time, slot zinniayoke.KeySlot) ReleasedSlot {
	rs := ReleasedSlot{Slot: slot, Epoch: s.epoch}
	for node, lostAt := range s.unreachable {
		rs.Unreachable = append(rs.Unreachable, LostNode{Node: node, Age: now.Sub(lostAt)})
	}
	return rs
}

func (e *keyState) record(now time.Time, slot zinniayoke.KeySlot, key zinniayoke.Key) KeyRecord {
	state := e.state
	if e.running {
		state = zinniayoke.AttemptRunning
	}
	return KeyRecord{
		Key: key, Slot: slot, BodyHash: e.bodyHash, Attempt: e.attempt, Node: e.node,
		State: state, Reply: e.reply, Age: now.Sub(e.at),
	}
}
