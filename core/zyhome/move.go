package zyhome

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// GaveUp is what the keeper of a caller's old home says about a key.
type GaveUp struct {
	// Free is true where the key ran nowhere and will never run there.
	Free bool `codec:"f"`
	// Reply is the answer of the key's run, if there is one.
	Reply *zinniayoke.Reply `codec:"r"`
}

// MovedKeys asks the old home of a caller for its keys.
type MovedKeys interface {
	// GiveUp asks the keeper in the old home to give a key up.
	GiveUp(ctx context.Context, old zinniayoke.Domain, key zinniayoke.Key) (*GaveUp, error)
}

// isHome reports whether this domain is the caller's home under the bundle in
// force here.
func (h *Home) isHome(c zinniayoke.Caller) bool {
	rules := h.cfg.Rules()
	if rules == nil {
		return false
	}
	home, _ := rules.HomeOf(c)
	return home == h.cfg.Domain
}

// fetchMoved asks the old home of a caller for a key that is unknown here. It
// returns a reply where the key must not run here.
func (h *Home) fetchMoved(ctx context.Context, c *zinniayoke.Call, slot zinniayoke.KeySlot) *zinniayoke.Reply {
	_, old := h.cfg.Rules().HomeOf(c.Caller)
	if old == "" || old == h.cfg.Domain || h.cfg.Keeper.HasKey(slot, c.Key) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	told, err := h.cfg.Moved.GiveUp(ctx, old, c.Key)
	switch {
	case err != nil:
		return free(c, uncertain(c, zinniayoke.ReasonKeyUncertain, "the caller's old home does not answer: "+err.Error()))
	case told.Reply != nil:
		return free(c, told.Reply)
	case !told.Free:
		return free(c, uncertain(c, zinniayoke.ReasonKeyUncertain, "the key may have run in the caller's old home"))
	}
	return nil
}

// GiveUp is the other side of MovedKeys: the keeper in the old home.
func (h *Home) GiveUp(ctx context.Context, key zinniayoke.Key) *GaveUp {
	slot := zyidempotency.SlotOf(h.cfg.Domain, key)
	if !h.mine(slot) || !h.inCharge() {
		return &GaveUp{}
	}
	if len(h.cfg.Keeper.ClosedSlots([]zinniayoke.KeySlot{slot})) > 0 && h.Recover(ctx) != nil {
		return &GaveUp{}
	}
	d := h.cfg.Keeper.ReleaseKey(time.Now(), slot, key)
	return &GaveUp{Free: d.Action == zyidempotency.ActionRun && h.inCharge(), Reply: d.Reply}
}
