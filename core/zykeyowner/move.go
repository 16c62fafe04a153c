package zykeyowner

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// ReleaseReply is what the keeper of a caller's old home says about a key.
type ReleaseReply struct {
	// Released is true where the key ran nowhere and will never run there.
	Released bool `codec:"f"`
	// Reply is the answer of the key's run, if there is one.
	Reply *zinniayoke.Reply `codec:"r"`
}

// OldHomeClient asks the old home of a caller for its keys.
type OldHomeClient interface {
	// ReleaseKey asks the keeper in the old home to give a key up.
	ReleaseKey(ctx context.Context, old zinniayoke.Domain, key zinniayoke.Key) (*ReleaseReply, error)
}

// isHome reports whether this domain is the caller's home under the bundle in
// force here.
func (h *Executor) isHome(c zinniayoke.Caller) bool {
	rules := h.cfg.Rules()
	if rules == nil {
		return false
	}
	home, _ := rules.HomeOf(c)
	return home == h.cfg.Domain
}

// fetchMoved asks the old home of a caller for a key that is unknown here. It
// returns a reply where the key must not run here.
func (h *Executor) fetchMoved(ctx context.Context, c *zinniayoke.Call, slot zinniayoke.KeySlot) *zinniayoke.Reply {
	_, old := h.cfg.Rules().HomeOf(c.Caller)
	if old == "" || old == h.cfg.Domain || h.cfg.OwnedKeys.HasKey(slot, c.Key) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	told, err := h.cfg.OldHome.ReleaseKey(ctx, old, c.Key)
	switch {
	case err != nil:
		return free(c, uncertain(c, zinniayoke.ReasonKeyUncertain, "the caller's old home does not answer: "+err.Error()))
	case told.Reply != nil:
		return free(c, told.Reply)
	case !told.Released:
		return free(c, uncertain(c, zinniayoke.ReasonKeyUncertain, "the key may have run in the caller's old home"))
	}
	return nil
}

// ReleaseKey is the other side of MovedKeys: the keeper in the old home.
func (h *Executor) ReleaseKey(ctx context.Context, key zinniayoke.Key) *ReleaseReply {
	slot := zyidempotency.SlotOf(h.cfg.Domain, key)
	if !h.mine(slot) || !h.inCharge() {
		return &ReleaseReply{}
	}
	if len(h.cfg.OwnedKeys.ClosedSlots([]zinniayoke.KeySlot{slot})) > 0 && h.RecoverSlots(ctx) != nil {
		return &ReleaseReply{}
	}
	d := h.cfg.OwnedKeys.ReleaseKey(time.Now(), slot, key)
	return &ReleaseReply{Released: d.Action == zyidempotency.ActionRun && h.inCharge(), Reply: d.Reply}
}
