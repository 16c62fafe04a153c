package zyentry

import (
	"fmt"

	"zinniayoke"
)

// dropFalsePromise replaces the response of a worker whose status promises that the request has
// not run, for a route that must not be repeated. A worker that has not run a request says so, and
// then there is no response; one that was answered has run.
func (e *Entry) dropFalsePromise(cs *callState, reply *zinniayoke.Reply) *zinniayoke.Reply {
	promised := reply.Outcome == zinniayoke.OutcomeDone && reply.Response != nil && e.cfg.PromisesNotRun != nil &&
		e.cfg.PromisesNotRun(reply.Response.Status)
	if !promised || cs.route == nil || !cs.route.NeverRepeat {
		return reply
	}
	changed := *reply
	changed.Response, changed.Outcome, changed.Reason = nil, zinniayoke.OutcomeUnknown, zinniayoke.ReasonAnswerLost
	changed.Detail = fmt.Sprintf("the worker answered %d, and may have run the request", reply.Response.Status)
	return &changed
}
