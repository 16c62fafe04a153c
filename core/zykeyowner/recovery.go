package zykeyowner

import (
	"context"
	"errors"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// recoverFor recovers the slots of this node because a request needs one of them. It
// reports true if the key can be claimed again.
func (e *Executor) recoverFor(ctx context.Context, c *zinniayoke.Call) (*zinniayoke.Reply, bool) {
	if err := e.RecoverSlots(ctx); err != nil {
		return unspent(c, uncertainReply(c, zinniayoke.ReasonKeyUncertain, err.Error())), false
	}
	return nil, true
}

// RecoveryError reports why key slots could not be recovered.
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

// RecoverSlots recovers all slots that this node owns and that are not open yet. The
// error is a *RecoveryError.
func (e *Executor) RecoverSlots(ctx context.Context) error {
	select {
	case <-e.recoverySem:
	case <-ctx.Done():
		return &RecoveryError{Problem: "out of time", Err: ctx.Err()}
	}
	defer func() { e.recoverySem <- struct{}{} }()
	slots := e.cfg.OwnedKeys.ClosedSlots(e.ownedSlots())
	if len(slots) == 0 {
		return nil
	}
	highest := zinniayoke.Epoch{}
	var earlier *zyidempotency.Recovery
	for range maxRecoveryTries {
		r := e.cfg.OwnedKeys.StartRecovery(slots, highest)
		r.MergeEarlier(earlier)
		earlier = r
		promised, refused := e.collectPromises(ctx, r)
		if !refused {
			e.cfg.OwnedKeys.FinishRecovery(time.Now(), r)
			return nil
		}
		highest = promised
		if !sleep(ctx, retryPause) {
			return &RecoveryError{Problem: "out of time", Err: ctx.Err()}
		}
	}
	return &RecoveryError{Problem: "other keepers took the slots at the same time"}
}

// ownedSlots returns the slots that this node owns in its membership view.
func (e *Executor) ownedSlots() []zinniayoke.KeySlot {
	owners := e.cfg.Membership.KeyOwners(e.cfg.Domain)
	var slots []zinniayoke.KeySlot
	for n := range zyidempotency.SlotCount {
		slot := zinniayoke.KeySlot{Domain: e.cfg.Domain, Number: n}
		if zyidempotency.OwnerOf(slot, owners) == e.cfg.Node {
			slots = append(slots, slot)
		}
	}
	return slots
}

// Tick must be called every second. After a pause it closes all slots, so that they
// are recovered before the next claim.
func (e *Executor) Tick(now time.Time) {
	e.mu.Lock()
	paused := now.Sub(e.lastTick) > maxPause
	e.lastTick = now
	e.mu.Unlock()
	if paused {
		e.cfg.OwnedKeys.RetainSlots(func(zinniayoke.KeySlot) bool { return false })
	}
	e.ReleaseSlots()
}

// ReleaseSlots closes the slots that another node owns now, and those whose recovery
// missed a node that is reachable again.
func (e *Executor) ReleaseSlots() {
	owners := e.cfg.Membership.KeyOwners(e.cfg.Domain)
	e.cfg.OwnedKeys.RetainSlots(func(s zinniayoke.KeySlot) bool { return zyidempotency.OwnerOf(s, owners) == e.cfg.Node })
	reachable, _ := e.cfg.Membership.RecoveryNodes()
	e.cfg.OwnedKeys.CloseIncomplete(reachable)
}

// collectPromises asks all nodes that may hold key records for a promise and their
// records. If one refuses, it returns the highest epoch promised to others.
func (e *Executor) collectPromises(ctx context.Context, r *zyidempotency.Recovery) (highest zinniayoke.Epoch, refused bool) {
	reachable, lost := e.cfg.Membership.RecoveryNodes()
	for node, at := range lost {
		r.MarkUnreachable(node, at)
	}
	type result struct {
		node  zinniayoke.NodeID
		reply *PromiseReply
		err   error
	}
	results := make(chan result, len(reachable))
	sem := make(chan struct{}, maxConcurrentRequests)
	for _, node := range reachable {
		go func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			reply, err := e.requestPromise(ctx, node, r)
			results <- result{node: node, reply: reply, err: err}
		}()
	}
	for range reachable {
		res := <-results
		switch {
		case res.err != nil:
			r.MarkUnreachable(res.node, time.Now())
		case res.reply.Refused:
			refused = true
			if highest.Less(res.reply.Promised) {
				highest = res.reply.Promised
			}
		default:
			r.AddRecords(res.reply.Records, res.reply.Promises)
			r.AddReleased(res.reply.Released)
		}
	}
	return highest, refused
}

// requestPromise asks a node for its promise and its records of the slots of r.
func (e *Executor) requestPromise(ctx context.Context, node zinniayoke.NodeID, r *zyidempotency.Recovery) (*PromiseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.cfg.Peers.PromiseEpoch(ctx, node, r.Slots, r.Epoch)
	if err != nil {
		return nil, &RecoveryError{Problem: "node " + string(node), Err: err}
	}
	return reply, nil
}

// PromiseHandler handles the requests made with KeyStateClient.PromiseEpoch by other nodes.
// Grants holds the records of this node as the node of a worker, OwnedKeys those as
// an earlier owner of the slots.
type PromiseHandler struct {
	Grants    *zyidempotency.GrantTable
	OwnedKeys *zyidempotency.Owner
}

// PromiseEpoch promises the epoch and returns the records of the slots, or refuses if a
// higher epoch was promised before.
func (h PromiseHandler) PromiseEpoch(slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) *PromiseReply {
	now := time.Now()
	records, promises, err := h.Grants.Promise(now, slots, epoch)
	if refusal := (*zinniayoke.CallError)(nil); errors.As(err, &refusal) {
		reply := &PromiseReply{Refused: true}
		for _, slot := range slots {
			if promised := h.Grants.PromisedEpoch(slot); reply.Promised.Less(promised) {
				reply.Promised = promised
			}
		}
		return reply
	}
	owned, released := h.OwnedKeys.ReleaseSlots(now, slots, epoch)
	return &PromiseReply{Records: append(records, owned...), Promises: promises, Released: released}
}
