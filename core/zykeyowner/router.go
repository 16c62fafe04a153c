package zykeyowner

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// RouterConfig configures a Router.
type RouterConfig struct {
	// KeyOwners returns the nodes of a failure domain that own its key slots now.
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
// gets its share of the attempts that the first owner was not granted.
func (r *Router) Run(ctx context.Context, home zinniayoke.Domain, c *zinniayoke.Call) *zinniayoke.Reply {
	rc := &routedCall{call: *c, left: c.Tokens}
	last := uncertainReply(c, zinniayoke.ReasonHomeUnreachable, "no node of the caller's home is at hand")
	for ctx.Err() == nil {
		owner := zyidempotency.OwnerOf(zyidempotency.SlotOf(home, c.Key), r.cfg.KeyOwners(home))
		if owner == "" {
			return rc.finalReply(last)
		}
		rc.switchOwner(owner, r.cfg.AttemptsPerRun(c.Route))
		reply, err := r.cfg.RunAt(ctx, owner, &rc.call)
		if err == nil && !declined(reply) {
			return rc.finalReply(reply)
		}
		if err == nil {
			rc.reclaim(reply)
		}
		sleep(ctx, ownerRetryPause)
	}
	return rc.finalReply(last)
}

// declined reports whether a node has declined to decide about a key, because
// another node owns it or the node has no bundle yet.
func declined(reply *zinniayoke.Reply) bool {
	return reply.Reason == zinniayoke.ReasonStaleEpoch || reply.Reason == zinniayoke.ReasonNotReady
}

// switchOwner grants a new owner its share of the attempts: all but those that one
// run by another owner needs. If the share is too small for a run, the owner gets
// none and can only return the result of an earlier run.
func (rc *routedCall) switchOwner(owner zinniayoke.NodeID, need zinniayoke.Tokens) {
	if owner == rc.owner {
		return
	}
	rc.ownerChanged = rc.ownerChanged || rc.granted > 0
	rc.owner = owner
	rc.granted = max(rc.left-need, min(need, rc.left))
	if rc.granted < need {
		rc.granted = 0
	}
	rc.left -= rc.granted
	rc.call.Tokens = rc.granted
}

// reclaim takes back the unused attempts of an owner that declined.
func (rc *routedCall) reclaim(reply *zinniayoke.Reply) {
	rc.left += min(reply.Unused, rc.granted)
	rc.granted = 0
	rc.owner = ""
}

// finalReply returns the reply with all unused attempts added. If an earlier owner
// may have run the request, the outcome notRun of the last one becomes unknown.
func (rc *routedCall) finalReply(reply *zinniayoke.Reply) *zinniayoke.Reply {
	own := *reply
	own.Unused = min(own.Unused, rc.granted) + rc.left
	if rc.ownerChanged && own.Outcome == zinniayoke.OutcomeNotRun {
		own.Outcome = zinniayoke.OutcomeUnknown
	}
	return &own
}

// ConfirmNotRun reports whether the key owner confirms that no request with the key
// has run.
func (r *Router) ConfirmNotRun(ctx context.Context, home zinniayoke.Domain, key zinniayoke.Key) bool {
	owner := zyidempotency.OwnerOf(zyidempotency.SlotOf(home, key), r.cfg.KeyOwners(home))
	if owner == "" {
		return false
	}
	confirmed, err := r.cfg.ConfirmNotRunAt(ctx, owner, key)
	return err == nil && confirmed
}
