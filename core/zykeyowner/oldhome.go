package zykeyowner

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// ReleaseReply is the reply of the key owner in a caller's old home domain.
type ReleaseReply struct {
	// Released is true if the key has not run and will never run there.
	Released bool `codec:"f"`
	// Reply is the reply of the key's run, if there is one.
	Reply *zinniayoke.Reply `codec:"r"`
}

// OldHomeClient asks for keys of callers that were moved here from another home
// domain.
type OldHomeClient interface {
	// ReleaseKey asks the key owner in the old home to release a key.
	ReleaseKey(ctx context.Context, old zinniayoke.Domain, key zinniayoke.Key) (*ReleaseReply, error)
}

// isHome reports whether this domain is the caller's home under the current bundle.
func (e *Executor) isHome(c zinniayoke.Caller) bool {
	bundle := e.cfg.Bundle()
	if bundle == nil {
		return false
	}
	home, _ := bundle.HomeOf(c)
	return home == e.cfg.Domain
}

// fetchFromOldHome asks the old home of a caller to release a key that is unknown
// here. It returns a reply if the key must not run here, else nil.
func (e *Executor) fetchFromOldHome(ctx context.Context, c *zinniayoke.Call, slot zinniayoke.KeySlot) *zinniayoke.Reply {
	_, old := e.cfg.Bundle().HomeOf(c.Caller)
	if old == "" || old == e.cfg.Domain || e.cfg.OwnedKeys.HasKey(slot, c.Key) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.cfg.OldHome.ReleaseKey(ctx, old, c.Key)
	switch {
	case err != nil:
		return unspent(c, uncertainReply(c, zinniayoke.ReasonKeyUncertain, "the caller's old home does not answer: "+err.Error()))
	case reply.Reply != nil:
		return unspent(c, reply.Reply)
	case !reply.Released:
		return unspent(c, uncertainReply(c, zinniayoke.ReasonKeyUncertain, "the key may have run in the caller's old home"))
	}
	return nil
}

// ReleaseKey handles OldHomeClient.ReleaseKey on the key owner in the old home. It
// releases the key unless it may have run here.
func (e *Executor) ReleaseKey(ctx context.Context, key zinniayoke.Key) *ReleaseReply {
	slot := zyidempotency.SlotOf(e.cfg.Domain, key)
	if !e.ownsSlot(slot) || !e.hasAuthority() {
		return &ReleaseReply{}
	}
	if len(e.cfg.OwnedKeys.ClosedSlots([]zinniayoke.KeySlot{slot})) > 0 && e.RecoverSlots(ctx) != nil {
		return &ReleaseReply{}
	}
	d := e.cfg.OwnedKeys.ReleaseKey(time.Now(), slot, key)
	return &ReleaseReply{Released: d.Action == zyidempotency.ActionRun && e.hasAuthority(), Reply: d.Reply}
}
