package zyentry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyrank"
)

type handler = zinniayoke.Handler[*callState, *zinniayoke.Reply]

const (
	maxKeyLength = 200
	// rootMaxWaitShare is the share of the latency objective that a root call may queue.
	rootMaxWaitShare = 0.125
)

func newRequestID() zinniayoke.RequestID {
	return zinniayoke.RequestID(uuid.NewString())
}

// identify determines the caller: that of the parent for a child call, else the one
// that the token or the claimed name identifies.
func (e *Entry) identify(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		cs.call.Request = cs.in.Request
		if cs.call.Request == "" {
			cs.call.Request = e.cfg.NewID()
		}
		if cs.bundle == nil {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "no bundle is in force here yet")
		}
		if cs.in.Context != "" {
			if err := e.attachParent(cs); err != nil {
				return nil, err
			}
			return e.runChild(ctx, cs, next)
		}
		caller, err := cs.bundle.Authenticate(cs.in.Token, cs.in.ClaimedCaller)
		if err != nil {
			return nil, fmt.Errorf("authenticate caller: %w", err)
		}
		cs.caller = caller
		cs.call.Caller = caller.Name
		return next(ctx, cs)
	}
}

// findRoute looks up the route and checks the size of the body.
func (e *Entry) findRoute(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		route, err := e.routeOf(cs)
		if err != nil {
			return nil, fmt.Errorf("find route: %w", err)
		}
		cs.route = route
		cs.call.Route = route.Name
		if zinniayoke.Bytes(len(cs.in.Body)) > route.MaxBody {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonTooLarge, fmt.Sprintf("the route takes at most %d bytes", route.MaxBody))
		}
		if err := e.identifyCustomer(cs); err != nil {
			return nil, err
		}
		e.fillCall(cs)
		if e.cfg.Graph != nil && !cs.in.Arrived.IsZero() {
			e.matchParent(cs)
			if cs.chain != nil {
				defer func() { cs.chain.End(time.Now()) }()
			}
			switch {
			case cs.parent != nil:
				return e.runChild(ctx, cs, next)
			case cs.fromWorker:
				return e.runUnmatched(ctx, cs, next)
			}
		}
		return next(ctx, cs)
	}
}

// routeOf finds the route by the service that the caller named. Without one, it
// finds the route by host and path and sets the service of the call.
func (e *Entry) routeOf(cs *callState) (*zybundle.Route, error) {
	if cs.in.Service != "" {
		return cs.bundle.MatchService(cs.in.Service, cs.in.HTTP)
	}
	path, _, _ := strings.Cut(cs.in.Target, "?")
	if path == "" {
		path = cs.in.HTTP.URL.Path
	}
	route, err := cs.bundle.MatchHost(cs.in.Host, path)
	if err != nil {
		return nil, err
	}
	cs.call.Service = e.cfg.Splits.Choose(route)
	return route, nil
}

// fillCall copies the HTTP request into the call, and sets the rank, version and
// maximum queue time of a root call.
func (e *Entry) fillCall(cs *callState) {
	c := cs.call
	c.Host = cs.in.Host
	c.Route = cs.route.Name
	c.Method = cs.in.HTTP.Method
	if cs.in.Target != "" {
		c.Path = cs.in.Target
	} else {
		c.Path = cs.in.HTTP.URL.Path
		c.Query = cs.in.HTTP.URL.RawQuery
	}
	c.Headers = cs.in.Headers
	if len(cs.bundle.Customers) > 0 {
		// This bundle decides, not the one that was in force when the request arrived: the
		// key must not pass with the first version that has customers.
		c.Headers = slices.DeleteFunc(c.Headers, func(h zinniayoke.Header) bool { return h.Name == "Authorization" })
	}
	c.Body = cs.in.Body
	c.BodyHash = uint64(zyquarantine.FingerprintOf(c.Service, c.Method, c.Path, c.Query, c.Body))
	if cs.parent == nil {
		c.MaxWait = RootMaxWait(cs.route)
		c.Version = cs.bundle.Version
		c.Share = c.Customer
		share := e.cfg.Shares.Observe(time.Now(), cs.caller.Name)
		c.Rank = zyrank.New(cs.bundle.Importance(c.Customer, cs.route), cs.caller.Urgency, share, c.Request)
	}
}

// RootMaxWait returns how long a root call of the route may queue.
func RootMaxWait(r *zybundle.Route) time.Duration {
	return time.Duration(rootMaxWaitShare * float64(r.Objective))
}

// setDeadline sets the earliest of the deadlines of the caller, the route and the
// parent.
func (e *Entry) setDeadline(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		timeout := cs.route.Timeout
		if cs.in.Timeout > 0 {
			timeout = min(timeout, cs.in.Timeout)
		}
		cs.call.Deadline = time.Now().Add(timeout)
		if cs.parent != nil && cs.parent.Deadline.Before(cs.call.Deadline) {
			cs.call.Deadline = cs.parent.Deadline
		}
		ctx, cancel := context.WithDeadline(ctx, cs.call.Deadline)
		defer cancel()
		return next(ctx, cs)
	}
}

// limitCaller enforces the rate limit of the caller on root calls.
func (e *Entry) limitCaller(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		if cs.parent != nil || cs.fromWorker || cs.caller.Rate <= 0 {
			return next(ctx, cs)
		}
		if wait := e.limits.reserve(time.Now(), cs.caller); wait > 0 {
			refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonCallerLimit, "the caller is over its rate")
			refusal.RetryAfter = wait
			return nil, refusal
		}
		return next(ctx, cs)
	}
}

// setKey sets the key of calls whose route must not be repeated. The key of a child
// is derived from that of its parent, so that a repeated run of the parent gets the
// result of the child's first run.
func (e *Entry) setKey(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		if len(cs.in.Key) > maxKeyLength {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonMalformed, fmt.Sprintf("the key is longer than %d bytes", maxKeyLength))
		}
		if !cs.route.NeverRepeat {
			return next(ctx, cs)
		}
		c := cs.call
		switch {
		case cs.fromWorker:
		case cs.parent != nil:
			c.Key = childKey(cs)
			c.KeyFromCaller = true
		case cs.in.Key != "":
			c.Key = zinniayoke.Key(string(c.Caller) + "\x00" + string(c.Route) + "\x00" + cs.in.Key)
			if c.Customer != "" {
				// Customers may share a caller. One must not get the response of another.
				c.Key += zinniayoke.Key("\x00" + string(c.Customer))
			}
			c.KeyFromCaller = true
		}
		return next(ctx, cs)
	}
}

// refuseQuarantined refuses requests that are quarantined for crashing workers.
func (e *Entry) refuseQuarantined(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		fingerprint := zyquarantine.Fingerprint(cs.call.BodyHash)
		if len(cs.bundle.ReleasedFromQuarantine) > 0 && cs.bundle.ReleasedFromQuarantine[fingerprint.String()] {
			return next(ctx, cs)
		}
		if e.cfg.Quarantine.Decide(time.Now(), fingerprint, cs.bundle.QuarantineFor) == zyquarantine.Quarantined {
			return nil, zyquarantine.NewQuarantinedError(fingerprint)
		}
		return next(ctx, cs)
	}
}

// shed refuses root calls that a downstream node would refuse. A child call is
// forwarded even if the threshold has risen since its parent was admitted: the node
// of its worker decides, and prefers calls whose parents already run.
func (e *Entry) shed(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		now := time.Now()
		if e.cfg.Shedder != nil {
			if err := e.checkBackpressure(now, cs); err != nil {
				return nil, err
			}
			return next(ctx, cs)
		}
		if cs.parent == nil && !cs.fromWorker && !e.cfg.Thresholds.Admit(now, cs.route.Name, cs.call.Rank) {
			cs.threshold = e.cfg.Thresholds.Threshold(now, cs.route.Name)
			refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonShed, "more important requests fill the service")
			refusal.RetryAfter = retryAfter(cs)
			return nil, refusal
		}
		return next(ctx, cs)
	}
}

// checkBackpressure refuses root calls if a service that they use is overloaded.
func (e *Entry) checkBackpressure(now time.Time, cs *callState) error {
	if cs.fromWorker {
		return nil
	}
	decision := e.cfg.Shedder.AdmitFor(now, cs.route, cs.bundle.ShareOf(cs.call.Share), cs.call.Request, cs.call.BodyHash)
	if decision.Admitted {
		if decision.Retry {
			cs.call.MaxWait *= retryMaxWaitFactor
		}
		return nil
	}
	const percent = 100
	whose := "the route's calls"
	if cs.call.Share != "" {
		whose = "the customer's calls of the route"
	}
	refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonShed, fmt.Sprintf(
		"%.0f%% of %s are refused, since %s has no room for %.0f%% of what is asked of it",
		percent*decision.RefusedShare, whose, decision.Service, percent*decision.ExcessShare))
	refusal.RetryAfter = retryAfter(cs)
	return refusal
}

// retryMaxWaitFactor lets a retried call queue longer than a new one.
const retryMaxWaitFactor = 2

// retryAfter returns when the caller of a refused call may retry. It spreads the
// retries over a part of the latency objective, so that a retry that is admitted
// can still meet the objective.
func retryAfter(cs *callState) time.Duration {
	const base, spread = 0.25, 0.5
	if cs.route == nil || cs.route.Objective <= 0 {
		return defaultRetryAfter(cs.call)
	}
	const scale = 1 << 16
	fraction := float64(xxhash.Sum64String(string(cs.call.Request))%scale) / scale
	return time.Duration((base + spread*fraction) * float64(cs.route.Objective))
}

// defaultRetryAfter spreads the retries to routes without a latency objective.
func defaultRetryAfter(c *zinniayoke.Call) time.Duration {
	const base, spread = 500 * time.Millisecond, time.Second
	return base + time.Duration(xxhash.Sum64String(string(c.Request))%uint64(spread))
}

// allocateBudget sets the attempt budget of the call: that of the route for a root
// call, a share of the parent's budget for a child call.
func (e *Entry) allocateBudget(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		need := 1 + cs.route.ChildCalls
		if cs.parent == nil || cs.fromWorker {
			cs.granted = cs.route.Attempts
			cs.budget = zyattempt.NewBudget(cs.granted, need)
			cs.call.Tokens = cs.granted
			return next(ctx, cs)
		}
		cs.granted = cs.parent.Budget.TakeForChild(need)
		if cs.granted < 1 {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonAttemptsSpent, "the request has used up its attempts")
		}
		cs.budget = zyattempt.NewBudget(cs.granted, need)
		cs.call.Tokens = cs.granted
		defer func() { cs.parent.Budget.Refund(cs.budget.Remaining()) }()
		return next(ctx, cs)
	}
}

// replyOf converts an error to a reply. The outcome of a refused call with a key is
// notRun only if the key owner confirms it, because another call with the same key
// may have run.
func (e *Entry) replyOf(ctx context.Context, cs *callState, err error) *zinniayoke.Reply {
	var callErr *zinniayoke.CallError
	if !errors.As(err, &callErr) {
		callErr = zinniayoke.NewLostError(zinniayoke.ReasonAnswerLost, err.Error())
	}
	reply := &zinniayoke.Reply{
		Request: cs.call.Request, Reason: callErr.Reason, Outcome: callErr.Outcome,
		Detail: callErr.Detail, RetryAfter: callErr.RetryAfter,
	}
	if reply.Outcome == zinniayoke.OutcomeNotRun && !e.confirmedNotRun(ctx, cs) {
		reply.Outcome = zinniayoke.OutcomeUnknown
	}
	return reply
}

// confirmedNotRun reports whether certainly no call with the key of this one has
// run. A call without a key needs no confirmation.
func (e *Entry) confirmedNotRun(ctx context.Context, cs *callState) bool {
	if cs.in.Key == "" && !cs.call.KeyFromCaller {
		return true
	}
	if !cs.call.KeyFromCaller || cs.bundle == nil {
		return false
	}
	home, _ := cs.bundle.HomeOf(cs.call.Caller)
	return e.cfg.KeyOwners.ConfirmNotRun(ctx, home, cs.call.Key)
}
