package zyegress

import (
	"context"
	"slices"
	"time"

	"zinniayoke"
)

// mayRetry reports whether another attempt is safe, useful and within the budgets.
func (s *Sender) mayRetry(ctx context.Context, f *sendState, reply *zinniayoke.Reply) bool {
	if ctx.Err() != nil || s.withdrawn.Err() != nil {
		return false
	}
	if reply.Outcome == zinniayoke.OutcomeDone {
		return s.mayRetryError(f, reply)
	}
	if reply.Outcome == zinniayoke.OutcomeUnknown && f.Route.NeverRepeat || f.exclusive {
		return false
	}
	if f.isRedirect(reply) {
		return true
	}
	if s.cfg.WorkersLimitRetries {
		return s.mayAskWorkersNode(f, reply)
	}
	if f.Budget.Remaining() < 1 {
		return false
	}
	switch reply.Reason {
	case zinniayoke.ReasonDraining, zinniayoke.ReasonNotReady:
		return s.hasUntriedUpstream(f)
	case zinniayoke.ReasonShed, zinniayoke.ReasonNoUpstream, zinniayoke.ReasonAnswerLost,
		zinniayoke.ReasonFenced, zinniayoke.ReasonTableFull:
		return s.hasUntriedUpstream(f) && s.cfg.RetryBudgets.Spend(f.callerClass())
	default:
		return false
	}
}

// mayAskWorkersNode implements mayRetry if WorkersLimitRetries is set. A send that was
// not delivered to a worker costs only a message, so a few more nodes are tried.
func (s *Sender) mayAskWorkersNode(f *sendState, reply *zinniayoke.Reply) bool {
	switch reply.Reason {
	case zinniayoke.ReasonDeadline, zinniayoke.ReasonCancelled, zinniayoke.ReasonQuarantined, zinniayoke.ReasonLinkBudget,
		zinniayoke.ReasonRetryBudget:
		return false
	}
	if f.undelivered >= maxUndelivered || f.limitedRefusals >= maxLimitedRefusals || f.rejections >= maxRejections {
		return false
	}
	return f.Budget.Remaining() >= 1 && s.hasUntriedUpstream(f) || f.mayReturnToRejecting()
}

// mayReturnToRejecting reports whether the call may go again to a worker that has
// rejected it: no other worker may get it, and none has run it.
func (f *sendState) mayReturnToRejecting() bool {
	return len(f.rejectedBy) > 0 && !f.mayHaveRun
}

// mayRetryError reports whether a call to which a worker has responded with an error of its
// own is sent to another worker. A run that failed because of the calls that it made is not
// repeated: that would repeat those calls too.
func (s *Sender) mayRetryError(f *sendState, reply *zinniayoke.Reply) bool {
	b := s.cfg.Bundle()
	if b == nil || !b.RetryErrors || !reply.WorkerError || f.Route.NeverRepeat || f.exclusive {
		return false
	}
	if f.Budget.Remaining() < 1 || !s.hasUntriedUpstream(f) {
		return false
	}
	return s.cfg.WorkersLimitRetries || s.cfg.RetryBudgets.Spend(f.callerClass())
}

// hasOtherUpstream reports whether there is an upstream that is not excluded beside the one
// chosen for the latest attempt.
func (s *Sender) hasOtherUpstream(f *sendState) bool {
	return s.cfg.Picker.HasUpstream(time.Now(), f.Call.Service, append(slices.Clone(f.excluded), f.to.Node))
}

// hasUntriedUpstream reports whether there is an upstream that is not excluded.
func (s *Sender) hasUntriedUpstream(f *sendState) bool {
	return s.cfg.Picker.HasUpstream(time.Now(), f.Call.Service, f.excluded)
}
