package zyingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyresponse"
)

// rejectWeight is the weight of one call in rejectRate, which thus follows a change
// within about ten calls.
const rejectWeight = 0.1

// record records the result of an attempt as an event.
func (r *Receiver) record(kind zinniayoke.EventKind, c *activeCall, reply *zinniayoke.Reply) {
	a := c.attempt
	e := &zinniayoke.Event{
		Kind: kind, Request: a.Request, Attempt: a.ID, Route: a.Route, Service: a.Service, Customer: a.Customer,
		Reason: reply.Reason, Outcome: reply.Outcome, Rank: a.Rank, Threshold: reply.Threshold, Depth: a.Depth,
		TimeLeft: a.Timeout - time.Since(c.arrived), Duration: time.Since(c.arrived), Detail: reply.Detail,
		Resent: a.Resent, InRepeatedRun: a.InRepeatedRun,
	}
	if reply.Response != nil {
		e.Status = reply.Response.Status
	}
	r.mu.Lock()
	e.Instance = r.announcement.Instance
	r.addLoad(time.Now(), e)
	if c.running {
		e.QueueTime = c.started.Sub(c.arrived)
	}
	r.mu.Unlock()
	r.cfg.Recorder.Record(e)
}

// workerReply returns the reply for an attempt that was given to the worker. A
// broken connection also triggers a check whether the worker has crashed.
func (r *Receiver) workerReply(ctx context.Context, c *activeCall, response *zinniayoke.Response, delivered bool, err error) *zinniayoke.Reply {
	a := c.attempt
	if err == nil && r.isTrustedShed(a.Service, response) {
		return r.errorReply(a, zinniayoke.NewRefusedError(zinniayoke.ReasonShed, "the worker has shed the call"))
	}
	if err == nil {
		r.cfg.Quarantine.RecordSuccess(c.fingerprint)
		zyresponse.Stamp(response, a.Request, a.ID)
		reply := r.newReply(a)
		reply.Response = response
		reply.Outcome = zinniayoke.OutcomeDone
		return reply
	}
	if statement := (*zinniayoke.CallError)(nil); errors.As(err, &statement) {
		return r.errorReply(a, statement) // The worker has answered, so it has not crashed.
	}
	if !delivered {
		r.checkCrash()
		return r.errorReply(a, zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "the worker takes no connections"))
	}
	if ctx.Err() == nil {
		r.checkCrash()
		return r.errorReply(a, zinniayoke.NewLostError(zinniayoke.ReasonAnswerLost, "the worker broke off"))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.errorReply(a, zinniayoke.NewLostError(zinniayoke.ReasonDeadline, "the worker did not answer in time"))
	}
	return r.errorReply(a, zinniayoke.NewLostError(zinniayoke.ReasonCancelled, "cancelled while it ran"))
}

// isTrustedShed reports whether the worker shed the call: it responded with 503, and
// the bundle declares that a 503 of this service means that the call has not run.
func (r *Receiver) isTrustedShed(s zinniayoke.Service, response *zinniayoke.Response) bool {
	bundle := r.cfg.Bundle()
	return response.Status == http.StatusServiceUnavailable && bundle != nil && bundle.Services[s].TrustShed
}

// isWorkerError reports whether a response with this status is an error of the worker itself. A
// 503 that says that the call has not run is no response.
func isWorkerError(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// updateRejectRate records whether the worker refused a call that the admission
// queue had admitted. Refusals raise the load that is reported to senders above the
// load that the queue shows.
func (r *Receiver) updateRejectRate(rejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hit := 0.0
	if rejected {
		hit = 1
	}
	r.rejectRate += rejectWeight * (hit - r.rejectRate)
}

// updateErrorRate records whether the worker responded with an error of its own. Errors
// raise the reported load like refusals, so that senders prefer other workers.
func (r *Receiver) updateErrorRate(failed bool) {
	if b := r.cfg.Bundle(); b == nil || !b.RetryErrors {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hit := 0.0
	if failed {
		hit = 1
	}
	r.errorRate += rejectWeight * (hit - r.errorRate)
}

// newReply returns a reply that carries the load of the worker and either its
// threshold or its service costs.
func (r *Receiver) newReply(a *zinniayoke.Attempt) *zinniayoke.Reply {
	const percent = 100
	reply := &zinniayoke.Reply{Attempt: a.ID, Request: a.Request}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Heard = r.heardNotice()
	if r.queue != nil {
		if r.cfg.Graph != nil {
			reply.Costs = r.cfg.Graph.CostsIfDue(time.Now(), a.Service, a.Route, r.excess.ExcessShare())
		} else {
			reply.Threshold = r.queue.Threshold()
		}
		reply.Load = int(percent * (r.queue.Load(time.Now()) + rejectLoadFactor*(r.rejectRate+r.errorRate)))
		reply.Report = r.loadReport(time.Now())
	}
	return reply
}

// errorReply returns the reply for an attempt that has no response. An error that
// is not a CallError means that the response was lost.
func (r *Receiver) errorReply(a *zinniayoke.Attempt, err error) *zinniayoke.Reply {
	reply := r.newReply(a)
	reply.Unused = a.Tokens
	var call *zinniayoke.CallError
	if !errors.As(err, &call) {
		call = zinniayoke.NewLostError(zinniayoke.ReasonAnswerLost, err.Error())
	}
	reply.Reason, reply.Outcome, reply.Detail = call.Reason, call.Outcome, call.Detail
	reply.RetryAfter = call.RetryAfter
	return reply
}

// admissionError returns the error for a refusal by the admission queue, or nil for
// ReasonNone. The suggested retry delay is spread by the fingerprint of the request.
func (r *Receiver) admissionError(c *activeCall, reason zinniayoke.Reason) error {
	if reason == zinniayoke.ReasonNone {
		return nil
	}
	e := zinniayoke.NewRefusedError(reason, "refused by the worker's node")
	e.RetryAfter = minRetryAfter + time.Duration(uint64(c.fingerprint)%uint64(retryAfterSpread))
	return e
}

// queueError returns the error for a call whose context ended while it waited.
func queueError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDeadline, "the deadline passed in the queue")
	}
	return zinniayoke.NewRefusedError(zinniayoke.ReasonCancelled, "cancelled in the queue")
}
