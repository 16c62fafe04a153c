package zyentry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
	"zinniayoke/core/zyrank"
)

// runChild handles a call that a worker makes while it runs the parent call. A
// failure is recorded with the parent.
func (e *Entry) runChild(ctx context.Context, cs *callState, next handler) (*zinniayoke.Reply, error) {
	cs.parent.StartChild(time.Now())
	defer e.endChild(cs)
	reply, err := next(ctx, cs)
	if cause := failureOf(cs.call.Service, reply, err); cause != "" {
		cs.parent.RecordFailure(cause)
	}
	return reply, err
}

// runUnmatched handles a call made by the host's worker whose parent is unknown.
func (e *Entry) runUnmatched(ctx context.Context, cs *callState, next handler) (*zinniayoke.Reply, error) {
	reply, err := next(ctx, cs)
	if cause := failureOf(cs.call.Service, reply, err); cause != "" {
		e.cfg.Parents.RecordUnmatchedFailure(time.Now(), cause)
	}
	return reply, err
}

// failureOf describes how a call failed, "" if it succeeded. Errors other than
// *zinniayoke.CallError are not described.
func failureOf(s zinniayoke.Service, reply *zinniayoke.Reply, err error) string {
	if callErr := (*zinniayoke.CallError)(nil); errors.As(err, &callErr) {
		reply = &zinniayoke.Reply{Outcome: callErr.Outcome, Reason: callErr.Reason, Detail: callErr.Detail}
	}
	switch {
	case reply == nil:
		return ""
	case reply.Outcome == zinniayoke.OutcomeNotRun:
		return fmt.Sprintf("a call to %s was refused (%s): %s", s, reply.Reason, reply.Detail)
	case reply.Outcome == zinniayoke.OutcomeUnknown:
		return fmt.Sprintf("a call to %s got no answer (%s): %s", s, reply.Reason, reply.Detail)
	case reply.Response == nil || reply.Response.Status < http.StatusInternalServerError:
		return ""
	case reply.Detail != "":
		return fmt.Sprintf("a call to %s was answered %d, since %s", s, reply.Response.Status, reply.Detail)
	}
	return fmt.Sprintf("a call to %s was answered %d", s, reply.Response.Status)
}

// endChild ends the call at its parent and reports the threshold of its route. With a Graph,
// replies carry costs instead of thresholds, and nobody reads it.
func (e *Entry) endChild(cs *callState) {
	now := time.Now()
	threshold := zinniayoke.Rank(0)
	if cs.route != nil && e.cfg.Graph == nil {
		threshold = e.cfg.Thresholds.Threshold(now, cs.route.Name)
	}
	cs.parent.EndChild(now, threshold)
}

// attachParent finds the parent by its handle. The call inherits the request id,
// caller, rank and bundle version of the parent. It is refused if the parent has
// ended or the call chain is too long.
func (e *Entry) attachParent(cs *callState) error {
	parent, ok := e.cfg.Parents.Find(cs.in.Context)
	if !ok {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonCancelled, "the call that this one belongs to has ended")
	}
	if parent.Depth >= maxDepth {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonMalformed, "the chain of calls is too deep")
	}
	cs.parent = parent
	cs.call.Request = parent.Request
	cs.call.Caller = parent.Caller
	cs.call.Share = parent.Share
	cs.call.Rank = parent.Rank
	cs.call.Depth = parent.Depth + 1
	cs.call.Version = parent.Version
	return nil
}

const (
	// childMaxWaitShare is the share of its timeout that a worker's call may queue.
	childMaxWaitShare = 0.4
	// maxDepth limits the length of a call chain.
	maxDepth = 32
)

// matchParent finds the parent of a call that carries no parent handle: the running call
// with the same deadline. If the call has a shorter limit of its own, the run that most
// likely makes it gives it its rank and depth only. It does nothing unless calls of the
// route from this host are made by its worker. The call keeps its own request id and
// attempt budget.
func (e *Entry) matchParent(cs *callState) {
	now := time.Now()
	c := cs.call
	if !e.cfg.Graph.CalledByWorkers(c.Route) {
		return
	}
	cs.fromWorker = true
	deadline := cs.in.Arrived.Add(cs.in.Timeout)
	parent, matched := e.cfg.Parents.MatchDeadline(deadline)
	if matched {
		cs.parent = parent
		e.cfg.Graph.ObserveCall(now, c.Route, parent.Route)
	} else {
		e.cfg.Graph.ObserveCall(now, c.Route, "")
	}
	cs.chain = e.cfg.Parents.StartCall(now, deadline, parent, func(r zinniayoke.RouteName) bool {
		return e.cfg.Graph.MakesCalls(r, c.Route)
	})
	left := min(cs.in.Timeout, cs.route.Timeout)
	c.MaxWait = time.Duration(childMaxWaitShare * float64(left))
	if cs.chain == nil {
		c.Depth = 1
		c.Rank = zyrank.WithImportance(cs.route.Class.Importance|zyrank.ChildImportance, c.Rank)
		return
	}
	// The rank of the root request goes down the chain of calls, so that all of them are
	// preferred alike.
	presumed := cs.chain.Parent()
	c.Share = presumed.Share
	c.InRepeatedRun = presumed.Repeated
	c.EarlierCalls = cs.chain.Ended()
	c.Depth = presumed.Depth + 1
	c.Rank = zyrank.WithImportance(zyrank.ImportanceOf(presumed.Rank)|zyrank.ChildImportance, presumed.Rank)
}

// childKey derives the key of a child call from the key or request id of its
// parent, so that a repeated run of the parent produces the same key. If the worker
// gave no key, equal child calls of one parent are told apart by their order.
func childKey(cs *callState) zinniayoke.Key {
	c, parent := cs.call, cs.parent
	root := string(parent.Key)
	if root == "" {
		root = string(parent.Request)
	}
	suffix := cs.in.Key
	if suffix == "" {
		suffix = strconv.Itoa(parent.NextOrdinal(c.BodyHash))
	}
	sum := xxhash.Sum64String(string(c.Route) + "\x00" + suffix + "\x00" + strconv.FormatUint(c.BodyHash, 16))
	return zinniayoke.Key(root + "\x00" + strconv.FormatUint(sum, 16))
}
