package zykeyowner

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// RouterConfig configures a Booker.
type RouterConfig struct {
	// KeyOwners returns the nodes of a failure domain that keep keys now.
	KeyOwners func(d zinniayoke.Domain) []zinniayoke.NodeID
	// RunAt lets a node, which may be this one, run a request whose key it keeps.
	// It returns an error where the reply did not arrive.
	RunAt func(ctx context.Context, node zinniayoke.NodeID, c *zinniayoke.Call) (*zinniayoke.Reply, error)
	// ConfirmNotRunAt asks a node, which may be this one, whether a key ran nowhere.
	ConfirmNotRunAt func(ctx context.Context, node zinniayoke.NodeID, key zinniayoke.Key) (bool, error)
	// AttemptsPerRun returns how many attempts one run of a route needs.
	AttemptsPerRun func(r zinniayoke.RouteName) zinniayoke.Tokens
}

// Router brings requests from their entry to the keeper of their key. It
// implements zyentry.Keepers. A Router must be made with NewBooker.
type Router struct {
	cfg RouterConfig
}

// NewRouter returns a booker.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg}
}

const bookPause = 100 * time.Millisecond

// booking is one request on its way to a keeper.
type booking struct {
	call zinniayoke.Call
	// keeper is the node that was asked last.
	keeper zinniayoke.NodeID
	// given is what the keeper may spend, left what another one still may.
	given, left zinniayoke.Tokens
	// moved is true once two keepers were asked, of which the first may have run
	// the request.
	moved bool
}

// Run lets the keeper of the key run the request. A keeper that does not answer
// is asked again, which the key makes safe; its successor is asked with the
// attempts that the first one was not given.
func (b *Router) Run(ctx context.Context, home zinniayoke.Domain, c *zinniayoke.Call) *zinniayoke.Reply {
	k := &booking{call: *c, left: c.Tokens}
	last := uncertain(c, zinniayoke.ReasonHomeUnreachable, "no node of the caller's home is at hand")
	for ctx.Err() == nil {
		keeper := zyidempotency.OwnerOf(zyidempotency.SlotOf(home, c.Key), b.cfg.KeyOwners(home))
		if keeper == "" {
			return k.final(last)
		}
		k.turnTo(keeper, b.cfg.AttemptsPerRun(c.Route))
		reply, err := b.cfg.RunAt(ctx, keeper, &k.call)
		if err == nil && !elsewhere(reply) {
			return k.final(reply)
		}
		if err == nil {
			k.takeBack(reply)
		}
		sleep(ctx, bookPause)
	}
	return k.final(last)
}

// elsewhere reports whether a node has refused to decide about a key: another
// one keeps it, or the node has no bundle yet.
func elsewhere(reply *zinniayoke.Reply) bool {
	return reply.Reason == zinniayoke.ReasonStaleEpoch || reply.Reason == zinniayoke.ReasonNotReady
}

// turnTo gives a keeper that was not asked before its share of the attempts:
// all but what one run by another keeper needs. Without enough for a run, the
// keeper can only hand out what it knows.
func (k *booking) turnTo(keeper zinniayoke.NodeID, need zinniayoke.Tokens) {
	if keeper == k.keeper {
		return
	}
	k.moved = k.moved || k.given > 0
	k.keeper = keeper
	k.given = max(k.left-need, min(need, k.left))
	if k.given < need {
		k.given = 0
	}
	k.left -= k.given
	k.call.Tokens = k.given
}

// takeBack returns the attempts of a keeper that has refused to decide.
func (k *booking) takeBack(reply *zinniayoke.Reply) {
	k.left += min(reply.Unused, k.given)
	k.given = 0
	k.keeper = ""
}

// final returns the reply with the attempts that nobody used, and without a
// claim that the keeper asked last cannot make for the one before.
func (k *booking) final(reply *zinniayoke.Reply) *zinniayoke.Reply {
	own := *reply
	own.Unused = min(own.Unused, k.given) + k.left
	if k.moved && own.Outcome == zinniayoke.OutcomeNotRun {
		own.Outcome = zinniayoke.OutcomeUnknown
	}
	return &own
}

// Note reports whether the keeper confirms that the key ran nowhere.
func (b *Router) Note(ctx context.Context, home zinniayoke.Domain, key zinniayoke.Key) bool {
	keeper := zyidempotency.OwnerOf(zyidempotency.SlotOf(home, key), b.cfg.KeyOwners(home))
	if keeper == "" {
		return false
	}
	confirmed, err := b.cfg.ConfirmNotRunAt(ctx, keeper, key)
	return err == nil && confirmed
}
