package zykeyowner

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// RouterConfig configures a Router.
type RouterConfig struct {
	// KeyOwners returns the nodes of a failure domain that own its key slots.
	KeyOwners func(d zinniayoke.Domain) []zinniayoke.NodeID
	// RunAt lets a node, which may be this one, run a request whose key it owns. It
	// returns an error if no reply arrived.
	RunAt func(ctx context.Context, node zinniayoke.NodeID, c *zinniayoke.Call) (*zinniayoke.Reply, error)
	// ConfirmNotRunAt asks a node, which may be this one, whether certainly no request
	// with the key has run.
	ConfirmNotRunAt func(ctx context.Context, node zinniayoke.NodeID, key zinniayoke.Key) (bool, error)
	// AttemptsPerRun returns the number of attempts that one run of a route needs.
	AttemptsPerRun func(r zinniayoke.RouteName) zinniayoke.Tokens
}

// Router forwards requests from their entry node to the owner of their key. It
// implements zyentry.KeyOwners. Use NewRouter to create one.
type Router struct {
	cfg RouterConfig
}

// NewRouter returns a Router.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg}
}

// ownerRetryPause is the time between two requests to key owners.
const ownerRetryPause = 100 * time.Millisecond

// routedCall is the state of a request that is forwarded to key owners.
type routedCall struct {
	call zinniayoke.Call
	// owner is the node that the request was last sent to.
	owner zinniayoke.NodeID
	// granted is the attempt budget of owner, left what later owners may get.
	granted, left zinniayoke.Tokens
	// ownerChanged is true once the request was sent to a second owner although the
	// first may have run it.
	ownerChanged bool
}

// Run lets the key owner run the request. If no reply arrives, the request is sent
// again, which the key makes safe. If the owner changes meanwhile, its successor
// gets the attempts that the first owner was not granted.
func (b *Router) Run(ctx context.Context, home zinniayoke.Domain, c *zinniayoke.Call) *zinniayoke.Reply {
	k := &routedCall{call: *c, left: c.Tokens}
	last := uncertainReply(c, zinniayoke.ReasonHomeUnreachable, "no node of the caller's home is at hand")
	for ctx.Err() == nil {
		owner := zyidempotency.OwnerOf(zyidempotency.SlotOf(home, c.Key), b.cfg.KeyOwners(home))
		if owner == "" {
			return k.finalReply(last)
		}
		k.switchOwner(owner, b.cfg.AttemptsPerRun(c.Route))
		reply, err := b.cfg.RunAt(ctx, owner, &k.call)
		if err == nil && !declined(reply) {
			return k.finalReply(reply)
		}
		if err == nil {
			k.reclaim(reply)
		}
		sleep(ctx, ownerRetryPause)
	}
	return k.finalReply(last)
}

// declined reports whether a node has declined to decide about a key, because
// another node owns it or the node has no bundle yet.
func declined(reply *zinniayoke.Reply) bool {
	return reply.Reason == zinniayoke.ReasonStaleEpoch || reply.Reason == zinniayoke.ReasonNotReady
}

// switchOwner grants a new owner its share of the attempts: all but those that one
// run by another owner needs. If the share is too small for a run, the owner gets
// none and can only return the result of an earlier run.
func (k *routedCall) switchOwner(owner zinniayoke.NodeID, need zinniayoke.Tokens) {
	if owner == k.owner {
		return
	}
	k.ownerChanged = k.ownerChanged || k.granted > 0
	k.owner = owner
	k.granted = max(k.left-need, min(need, k.left))
	if k.granted < need {
		k.granted = 0
	}
	k.left -= k.granted
	k.call.Tokens = k.granted
}

// reclaim takes back the unused attempts of an owner that declined.
func (k *routedCall) reclaim(reply *zinniayoke.Reply) {
	k.left += min(reply.Unused, k.granted)
	k.granted = 0
	k.owner = ""
}

// finalReply returns the reply with all unused attempts added. If an earlier owner
// may have run the request, the outcome notRun of the last one becomes unknown.
func (k *routedCall) finalReply(reply *zinniayoke.Reply) *zinniayoke.Reply {
	own := *reply
	own.Unused = min(own.Unused, k.granted) + k.left
	if k.ownerChanged && own.Outcome == zinniayoke.OutcomeNotRun {
		own.Outcome = zinniayoke.OutcomeUnknown
	}
	return &own
}

// ConfirmNotRun reports whether the key owner confirms that no request with the key
// has run.
func (b *Router) ConfirmNotRun(ctx context.Context, home zinniayoke.Domain, key zinniayoke.Key) bool {
	owner := zyidempotency.OwnerOf(zyidempotency.SlotOf(home, key), b.cfg.KeyOwners(home))
	if owner == "" {
		return false
	}
	confirmed, err := b.cfg.ConfirmNotRunAt(ctx, owner, key)
	return err == nil && confirmed
}
