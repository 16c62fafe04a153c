package zyentry

import (
	"context"
	"errors"
	"fmt"
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

type step = zinniayoke.Handler[*job, *zinniayoke.Reply]

const (
	longestKey = 200
	// rootPatience is the part of its objective that a root call may wait.
	rootPatience = 0.125
)

func newRequestID() zinniayoke.RequestID {
	return zinniayoke.RequestID(uuid.NewString())
}

// identify finds the caller: for a child call the one of its parent.
func (e *Entry) identify(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		j.call.Request = j.in.Request
		if j.call.Request == "" {
			j.call.Request = e.cfg.NewID()
		}
		if j.rules == nil {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "no bundle is in force here yet")
		}
		if j.in.Context != "" {
			if err := e.adopt(j); err != nil {
				return nil, err
			}
			return e.runChild(ctx, j, next)
		}
		caller, err := j.rules.Authenticate(j.in.Token, j.in.ClaimedCaller)
		if err != nil {
			return nil, fmt.Errorf("caller: %w", err)
		}
		j.caller = caller
		j.call.Caller = caller.Name
		return next(ctx, j)
	}
}

// findRoute looks the route up and checks the size of the body.
func (e *Entry) findRoute(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		route, err := e.routeOf(j)
		if err != nil {
			return nil, fmt.Errorf("route: %w", err)
		}
		j.route = route
		if zinniayoke.Bytes(len(j.in.Body)) > route.MaxBody {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonTooLarge, fmt.Sprintf("the route takes at most %d bytes", route.MaxBody))
		}
		e.fill(j)
		if e.cfg.Graph != nil && !j.in.Arrived.IsZero() {
			e.adoptByDeadline(j)
			switch {
			case j.parent != nil:
				return e.runChild(ctx, j, next)
			case j.kin:
				return e.runStray(ctx, j, next)
			}
		}
		return next(ctx, j)
	}
}

// routeOf finds the route by the service that the caller names, or by host and
// path, and sets the service of the call.
func (e *Entry) routeOf(j *job) (*zybundle.Route, error) {
	if j.in.Service != "" {
		return j.rules.MatchService(j.in.Service, j.in.HTTP)
	}
	path, _, _ := strings.Cut(j.in.Target, "?")
	if path == "" {
		path = j.in.HTTP.URL.Path
	}
	route, err := j.rules.MatchHost(j.in.Host, path)
	if err != nil {
		return nil, err
	}
	j.call.Service = e.cfg.Splits.Choose(route)
	return route, nil
}

func (e *Entry) fill(j *job) {
	c := j.call
	c.Host = j.in.Host
	c.Route = j.route.Name
	c.Method = j.in.HTTP.Method
	if j.in.Target != "" {
		c.Path = j.in.Target
	} else {
		c.Path = j.in.HTTP.URL.Path
		c.Query = j.in.HTTP.URL.RawQuery
	}
	c.Headers = j.in.Headers
	c.Body = j.in.Body
	c.BodyHash = uint64(zyquarantine.FingerprintOf(c.Service, c.Method, c.Path, c.Query, c.Body))
	if j.parent == nil {
		c.MaxWait = time.Duration(rootPatience * float64(j.route.Objective))
		c.Version = j.rules.Version
		share := e.cfg.Shares.Observe(time.Now(), j.caller.Name)
		c.Rank = zyrank.New(j.route.Class.Importance, j.caller.Urgency, share, c.Request)
	}
}

// setDeadline takes the earliest of the caller's, the route's and the parent's.
func (e *Entry) setDeadline(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		timeout := j.route.Timeout
		if j.in.Timeout > 0 {
			timeout = min(timeout, j.in.Timeout)
		}
		j.call.Deadline = time.Now().Add(timeout)
		if j.parent != nil && j.parent.Deadline.Before(j.call.Deadline) {
			j.call.Deadline = j.parent.Deadline
		}
		ctx, cancel := context.WithDeadline(ctx, j.call.Deadline)
		defer cancel()
		return next(ctx, j)
	}
}

// limitCaller holds a caller to its own rate.
func (e *Entry) limitCaller(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		if j.parent != nil || j.kin || j.caller.Rate <= 0 {
			return next(ctx, j)
		}
		if wait := e.limits.take(time.Now(), j.caller); wait > 0 {
			refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonCallerLimit, "the caller is over its rate")
			refusal.RetryAfter = wait
			return nil, refusal
		}
		return next(ctx, j)
	}
}

// setKey gives calls that must not repeat their key. A child's key follows from
// its parent's, so that a parent that runs again meets the child's first run.
func (e *Entry) setKey(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		if len(j.in.Key) > longestKey {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonMalformed, fmt.Sprintf("the key is longer than %d bytes", longestKey))
		}
		if !j.route.NeverRepeat {
			return next(ctx, j)
		}
		c := j.call
		switch {
		case j.kin:
		case j.parent != nil:
			c.Key = childKey(j)
			c.KeyFromCaller = true
		case j.in.Key != "":
			c.Key = zinniayoke.Key(string(c.Caller) + "\x00" + string(c.Route) + "\x00" + j.in.Key)
			c.KeyFromCaller = true
		}
		return next(ctx, j)
	}
}

// refuseQuarantined refuses a request that crashes workers.
func (e *Entry) refuseQuarantined(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		content := zyquarantine.Fingerprint(j.call.BodyHash)
		if len(j.rules.ReleasedFromQuarantine) > 0 && j.rules.ReleasedFromQuarantine[content.String()] {
			return next(ctx, j)
		}
		if e.cfg.Suspects.Decide(time.Now(), content, j.rules.QuarantineFor) == zyquarantine.Quarantined {
			return nil, zyquarantine.NewQuarantinedError(content)
		}
		return next(ctx, j)
	}
}

// shed refuses at the door what a deeper hop would refuse. A child call whose
// threshold rose after its parent was admitted is sent on: its worker's node
// decides, where work already paid for goes first.
func (e *Entry) shed(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		now := time.Now()
		if e.cfg.Pressure != nil {
			if err := e.press(now, j); err != nil {
				return nil, err
			}
			return next(ctx, j)
		}
		if j.parent == nil && !j.kin && !e.cfg.Thresholds.Admit(now, j.route.Name, j.call.Rank) {
			j.threshold = e.cfg.Thresholds.Threshold(now, j.route.Name)
			refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonShed, "more important requests fill the service")
			refusal.RetryAfter = returnAfter(j)
			return nil, refusal
		}
		return next(ctx, j)
	}
}

// press refuses root calls whose services have no room for them.
func (e *Entry) press(now time.Time, j *job) error {
	if j.kin {
		return nil
	}
	v := e.cfg.Pressure.Admit(now, j.route, j.call.Request, j.call.BodyHash)
	if v.Admitted {
		if v.Retry {
			j.call.MaxWait *= returnPatience
		}
		return nil
	}
	const percent = 100
	refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonShed, fmt.Sprintf(
		"%.0f%% of the route's calls are refused, since %s has no room for %.0f%% of what is asked of it",
		percent*v.RefusedShare, v.Service, percent*v.ExcessShare))
	refusal.RetryAfter = returnAfter(j)
	return refusal
}

// returnPatience lets a call that has come back wait longer than one that comes
// first.
const returnPatience = 2

// returnAfter spreads the returns of refused calls over a part of the objective,
// so that one that finds room then is still in time.
func returnAfter(j *job) time.Duration {
	const least, spread = 0.25, 0.5
	if j.route == nil || j.route.Objective <= 0 {
		return retryAfter(j.call)
	}
	const scale = 1 << 16
	at := float64(xxhash.Sum64String(string(j.call.Request))%scale) / scale
	return time.Duration((least + spread*at) * float64(j.route.Objective))
}

// retryAfter spreads the re-sends of refused callers.
func retryAfter(c *zinniayoke.Call) time.Duration {
	const least, spread = 500 * time.Millisecond, time.Second
	return least + time.Duration(xxhash.Sum64String(string(c.Request))%uint64(spread))
}

// takeAttempts gives the call its attempts: the route's number for a root
// request, a share of the parent's for a child call.
func (e *Entry) takeAttempts(next step) step {
	return func(ctx context.Context, j *job) (*zinniayoke.Reply, error) {
		need := 1 + j.route.ChildCalls
		if j.parent == nil || j.kin {
			j.granted = j.route.Attempts
			j.pool = zyattempt.NewBudget(j.granted, need)
			j.call.Tokens = j.granted
			return next(ctx, j)
		}
		j.granted = j.parent.Budget.TakeForChild(need)
		if j.granted < 1 {
			return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonAttemptsSpent, "the request has used up its attempts")
		}
		j.pool = zyattempt.NewBudget(j.granted, need)
		j.call.Tokens = j.granted
		defer func() { j.parent.Budget.Refund(j.pool.Remaining()) }()
		return next(ctx, j)
	}
}

// replyOf turns an error into a reply. A refusal of a request that carries a
// key says notRun only if the keeper confirms it, since another send of the
// key may have run.
func (e *Entry) replyOf(ctx context.Context, j *job, err error) *zinniayoke.Reply {
	var refusal *zinniayoke.CallError
	if !errors.As(err, &refusal) {
		refusal = zinniayoke.NewLostError(zinniayoke.ReasonAnswerLost, err.Error())
	}
	reply := &zinniayoke.Reply{
		Request: j.call.Request, Reason: refusal.Reason, Outcome: refusal.Outcome,
		Detail: refusal.Detail, RetryAfter: refusal.RetryAfter,
	}
	if reply.Outcome == zinniayoke.OutcomeNotRun && !e.confirmed(ctx, j) {
		reply.Outcome = zinniayoke.OutcomeUnknown
	}
	return reply
}

func (e *Entry) confirmed(ctx context.Context, j *job) bool {
	if j.in.Key == "" && !j.call.KeyFromCaller {
		return true
	}
	if !j.call.KeyFromCaller || j.rules == nil {
		return false
	}
	home, _ := j.rules.HomeOf(j.call.Caller)
	return e.cfg.KeyOwners.Note(ctx, home, j.call.Key)
}
