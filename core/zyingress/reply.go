package zyingress

import (
	"context"
	"errors"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyresponse"
)

// rejectWeight follows a worker that begins to refuse within some ten calls.
const rejectWeight = 0.1

func (r *Receiver) note(kind zinniayoke.EventKind, c *run, reply *zinniayoke.Reply) {
	a := c.attempt
	e := &zinniayoke.Event{
		Kind: kind, Request: a.Request, Attempt: a.ID, Route: a.Route, Service: a.Service,
		Reason: reply.Reason, Outcome: reply.Outcome, Rank: a.Rank, Threshold: reply.Threshold, Depth: a.Depth,
		TimeLeft: a.Timeout - time.Since(c.arrived), Duration: time.Since(c.arrived), Detail: reply.Detail,
	}
	if reply.Response != nil {
		e.Status = reply.Response.Status
	}
	r.mu.Lock()
	e.Instance = r.told.Instance
	if r.gate != nil {
		e.Limit, e.Running, e.Waiting = r.gate.Limit(), r.gate.Running(), r.gate.Waiting()
	}
	if c.running {
		e.QueueTime = c.started.Sub(c.arrived)
	}
	r.mu.Unlock()
	r.cfg.Recorder.Record(e)
}

func (r *Receiver) reply(ctx context.Context, c *run, answer *zinniayoke.Response, handed bool, err error) *zinniayoke.Reply {
	a := c.attempt
	if err == nil && r.isTrustedShed(a.Service, answer) {
		return r.refuse(a, zinniayoke.NewRefusedError(zinniayoke.ReasonShed, "the worker has shed the call"))
	}
	if err == nil {
		r.cfg.Suspects.RecordSuccess(c.print)
		zyresponse.Stamp(answer, a.Request, a.ID)
		reply := r.blank(a)
		reply.Response = answer
		reply.Outcome = zinniayoke.OutcomeDone
		return reply
	}
	if refusal := (*zinniayoke.CallError)(nil); errors.As(err, &refusal) && refusal.Outcome == zinniayoke.OutcomeNotRun {
		return r.refuse(a, refusal)
	}
	if !handed {
		r.checkCrash()
		return r.refuse(a, zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "the worker takes no connections"))
	}
	if ctx.Err() == nil {
		r.checkCrash()
		return r.refuse(a, zinniayoke.NewLostError(zinniayoke.ReasonAnswerLost, "the worker broke off"))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.refuse(a, zinniayoke.NewLostError(zinniayoke.ReasonDeadline, "the worker did not answer in time"))
	}
	return r.refuse(a, zinniayoke.NewLostError(zinniayoke.ReasonCancelled, "cancelled while it ran"))
}

func (r *Receiver) isTrustedShed(s zinniayoke.Service, answer *zinniayoke.Response) bool {
	const shedStatus = 503
	rules := r.cfg.Rules()
	return answer.Status == shedStatus && rules != nil && rules.Services[s].TrustShed
}

// countReject notes whether the worker has refused a call although its node saw
// room. Such a worker seems more loaded to senders than it says.
func (r *Receiver) countReject(rejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hit := 0.0
	if rejected {
		hit = 1
	}
	r.rejects += rejectWeight * (hit - r.rejects)
}

// blank returns a reply with the threshold and the load of the worker.
func (r *Receiver) blank(a *zinniayoke.Attempt) *zinniayoke.Reply {
	const percent = 100
	reply := &zinniayoke.Reply{Attempt: a.ID, Request: a.Request}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gate != nil {
		if r.cfg.Graph != nil {
			reply.Costs = r.cfg.Graph.CostsIfDue(time.Now(), a.Service, a.Route, r.level.ExcessShare())
		} else {
			reply.Threshold = r.gate.Threshold()
		}
		reply.Load = (r.gate.Running()+r.gate.Waiting())*percent/r.gate.Limit() + int(rejectLoad*percent*r.rejects)
	}
	return reply
}

// refuse returns the reply for an attempt without an answer.
func (r *Receiver) refuse(a *zinniayoke.Attempt, err error) *zinniayoke.Reply {
	reply := r.blank(a)
	reply.Unused = a.Tokens
	var call *zinniayoke.CallError
	if !errors.As(err, &call) {
		call = zinniayoke.NewLostError(zinniayoke.ReasonAnswerLost, err.Error())
	}
	reply.Reason, reply.Outcome, reply.Detail = call.Reason, call.Outcome, call.Detail
	reply.RetryAfter = call.RetryAfter
	return reply
}

func (r *Receiver) decision(c *run, reason zinniayoke.Reason) error {
	if reason == zinniayoke.ReasonNone {
		return nil
	}
	e := zinniayoke.NewRefusedError(reason, "refused by the worker's node")
	e.RetryAfter = leastRetry + time.Duration(uint64(c.print)%uint64(spreadRetry))
	return e
}

func refusalOf(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDeadline, "the deadline passed in the queue")
	}
	return zinniayoke.NewRefusedError(zinniayoke.ReasonCancelled, "cancelled in the queue")
}
