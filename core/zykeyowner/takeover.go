package zykeyowner

import (
	"context"
	"errors"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

func (h *Executor) recoverFor(ctx context.Context, c *zinniayoke.Call) (*zinniayoke.Reply, bool) {
	if err := h.RecoverSlots(ctx); err != nil {
		return free(c, uncertain(c, zinniayoke.ReasonKeyUncertain, err.Error())), false
	}
	return nil, true
}

// RecoveryError says why slots could not be taken over.
type RecoveryError struct {
	Problem string
	Err     error
}

// Error returns the problem and its cause.
func (e *RecoveryError) Error() string {
	if e.Err != nil {
		return "taking over keys: " + e.Problem + ": " + e.Err.Error()
	}
	return "taking over keys: " + e.Problem
}

// Unwrap returns the cause, which may be nil.
func (e *RecoveryError) Unwrap() error {
	return e.Err
}

// RecoverSlots takes over all slots that belong to this node and are not open here.
// The error is a *RecoveryError.
func (h *Executor) RecoverSlots(ctx context.Context) error {
	select {
	case <-h.turn:
	case <-ctx.Done():
		return &RecoveryError{Problem: "out of time", Err: ctx.Err()}
	}
	defer func() { h.turn <- struct{}{} }()
	slots := h.cfg.OwnedKeys.ClosedSlots(h.owned())
	if len(slots) == 0 {
		return nil
	}
	highest := zinniayoke.Epoch{}
	var earlier *zyidempotency.Recovery
	for range recallTries {
		r := h.cfg.OwnedKeys.StartRecovery(slots, highest)
		r.MergeEarlier(earlier)
		earlier = r
		promised, refused := h.collect(ctx, r)
		if !refused {
			h.cfg.OwnedKeys.FinishRecovery(time.Now(), r)
			return nil
		}
		highest = promised
		if !sleep(ctx, recallPause) {
			return &RecoveryError{Problem: "out of time", Err: ctx.Err()}
		}
	}
	return &RecoveryError{Problem: "other keepers took the slots at the same time"}
}

func (h *Executor) owned() []zinniayoke.KeySlot {
	keepers := h.cfg.Membership.KeyOwners(h.cfg.Domain)
	var slots []zinniayoke.KeySlot
	for n := range zyidempotency.SlotCount {
		slot := zinniayoke.KeySlot{Domain: h.cfg.Domain, Number: n}
		if zyidempotency.OwnerOf(slot, keepers) == h.cfg.Node {
			slots = append(slots, slot)
		}
	}
	return slots
}

// Tick is to be called each second. After a pause it gives up all slots, so
// that they are recovered before the next claim.
func (h *Executor) Tick(now time.Time) {
	h.mu.Lock()
	paused := now.Sub(h.beat) > longestPause
	h.beat = now
	h.mu.Unlock()
	if paused {
		h.cfg.OwnedKeys.RetainSlots(func(zinniayoke.KeySlot) bool { return false })
	}
	h.ReleaseSlots()
}

// ReleaseSlots gives up the slots that belong to another node now, and those whose
// recovery missed a node that is there again.
func (h *Executor) ReleaseSlots() {
	keepers := h.cfg.Membership.KeyOwners(h.cfg.Domain)
	h.cfg.OwnedKeys.RetainSlots(func(s zinniayoke.KeySlot) bool { return zyidempotency.OwnerOf(s, keepers) == h.cfg.Node })
	there, _ := h.cfg.Membership.RecoveryNodes()
	h.cfg.OwnedKeys.CloseIncomplete(there)
}

// collect asks all nodes that may remember keys for their promise.
func (h *Executor) collect(ctx context.Context, r *zyidempotency.Recovery) (highest zinniayoke.Epoch, refused bool) {
	there, lost := h.cfg.Membership.RecoveryNodes()
	for node, at := range lost {
		r.MarkUnreachable(node, at)
	}
	type answer struct {
		node   zinniayoke.NodeID
		recall *RecallReply
		err    error
	}
	answers := make(chan answer, len(there))
	places := make(chan struct{}, mostAsked)
	for _, node := range there {
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			recall, err := h.recall(ctx, node, r)
			answers <- answer{node: node, recall: recall, err: err}
		}()
	}
	for range there {
		a := <-answers
		switch {
		case a.err != nil:
			r.MarkUnreachable(a.node, time.Now())
		case a.recall.Refused:
			refused = true
			if highest.Less(a.recall.Promised) {
				highest = a.recall.Promised
			}
		default:
			r.AddRecords(a.recall.Held, a.recall.Witnesses)
			r.AddReleased(a.recall.HandedOver)
		}
	}
	return highest, refused
}

func (h *Executor) recall(ctx context.Context, node zinniayoke.NodeID, r *zyidempotency.Recovery) (*RecallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	recall, err := h.cfg.Peers.Recall(ctx, node, r.Slots, r.Epoch)
	if err != nil {
		return nil, &RecoveryError{Problem: "node " + string(node), Err: err}
	}
	return recall, nil
}

// RecallHandler is the other side of Elders.Recall: what this node remembers as the
// node of a worker and as an earlier keeper.
type RecallHandler struct {
	Grants    *zyidempotency.GrantTable
	OwnedKeys *zyidempotency.Owner
}

// Recall promises the epoch and returns what is remembered of the slots.
func (a RecallHandler) Recall(slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) *RecallReply {
	now := time.Now()
	held, witnesses, err := a.Grants.Promise(now, slots, epoch)
	if refusal := (*zinniayoke.CallError)(nil); errors.As(err, &refusal) {
		recall := &RecallReply{Refused: true}
		for _, slot := range slots {
			if promised := a.Grants.PromisedEpoch(slot); recall.Promised.Less(promised) {
				recall.Promised = promised
			}
		}
		return recall
	}
	kept, given := a.OwnedKeys.ReleaseSlots(now, slots, epoch)
	return &RecallReply{Held: append(held, kept...), Witnesses: witnesses, HandedOver: given}
}
