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

// runChild runs a call that belongs to a running one.
func (e *Entry) runChild(ctx context.Context, j *job, next step) (*zinniayoke.Reply, error) {
	j.parent.StartChild(time.Now())
	defer e.endChild(j)
	reply, err := next(ctx, j)
	if why := failureOf(j.call.Service, reply, err); why != "" {
		j.parent.RecordFailure(why)
	}
	return reply, err
}

// runStray runs a call of the host's worker that matches no running one.
func (e *Entry) runStray(ctx context.Context, j *job, next step) (*zinniayoke.Reply, error) {
	reply, err := next(ctx, j)
	if why := failureOf(j.call.Service, reply, err); why != "" {
		e.cfg.Parents.RecordUnmatchedFailure(time.Now(), why)
	}
	return reply, err
}

// failureOf says how a call failed, "" where it did not.
func failureOf(s zinniayoke.Service, reply *zinniayoke.Reply, err error) string {
	if refusal := (*zinniayoke.CallError)(nil); errors.As(err, &refusal) {
		reply = &zinniayoke.Reply{Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail}
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

func (e *Entry) endChild(j *job) {
	now := time.Now()
	threshold := zinniayoke.Rank(0)
	if j.route != nil {
		threshold = e.cfg.Thresholds.Threshold(now, j.route.Name)
	}
	j.parent.EndChild(now, threshold)
}

// adopt makes the call a part of the request that its parent belongs to.
func (e *Entry) adopt(j *job) error {
	parent, ok := e.cfg.Parents.Find(j.in.Context)
	if !ok {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonCancelled, "the call that this one belongs to has ended")
	}
	if parent.Depth >= deepest {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonMalformed, "the chain of calls is too deep")
	}
	j.parent = parent
	j.call.Request = parent.Request
	j.call.Caller = parent.Caller
	j.call.Rank = parent.Rank
	j.call.Depth = parent.Depth + 1
	j.call.Version = parent.Version
	return nil
}

const (
	// childImportance lifts calls of workers above all root calls: their parents
	// hold slots already. Composed bundles use half of the scale for root calls.
	childImportance = 128
	// childPatience is the part of its time that a worker's call may wait.
	childPatience = 0.4
	// deepest is the longest chain of calls that is followed.
	deepest = 32
)

// adoptByDeadline makes the call a part of the running call that has the same
// deadline, if the route is one that workers call. The call keeps its own id and
// attempts.
func (e *Entry) adoptByDeadline(j *job) {
	now := time.Now()
	c := j.call
	if !e.cfg.Graph.SoleParent(c.Route) {
		return
	}
	parent, matched := e.cfg.Parents.MatchDeadline(j.in.Arrived.Add(j.in.Timeout))
	if !matched {
		e.cfg.Graph.ObserveCall(now, c.Route, "")
	} else {
		e.cfg.Graph.ObserveCall(now, c.Route, parent.Route)
	}
	j.kin = true
	c.Depth = 1
	left := min(j.in.Timeout, j.route.Timeout)
	c.MaxWait = time.Duration(childPatience * float64(left))
	importance := j.route.Class.Importance
	if matched {
		j.parent = parent
		c.Depth = parent.Depth + 1
		importance = zyrank.ImportanceOf(parent.Rank)
	}
	c.Rank = zyrank.WithImportance(importance|childImportance, c.Rank)
}

func childKey(j *job) zinniayoke.Key {
	c, parent := j.call, j.parent
	root := string(parent.Key)
	if root == "" {
		root = string(parent.Request)
	}
	name := j.in.Key
	if name == "" {
		name = strconv.Itoa(parent.NextOrdinal(c.BodyHash))
	}
	sum := xxhash.Sum64String(string(c.Route) + "\x00" + name + "\x00" + strconv.FormatUint(c.BodyHash, 16))
	return zinniayoke.Key(root + "\x00" + strconv.FormatUint(sum, 16))
}
