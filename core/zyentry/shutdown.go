package zyentry

import (
	"context"
	"time"

	"zinniayoke"
)

// Shutdown is the schedule of a node that stops.
type Shutdown struct {
	// AcceptAll is until when calls are taken like before. Later ones are taken only if they
	// end before End in any case.
	AcceptAll time.Time
	// End is when the calls that still run are abandoned.
	End time.Time
}

// BeginShutdown makes the entry keep to the schedule of a planned stop.
func (e *Entry) BeginShutdown(s Shutdown) {
	e.shutdown.Store(&s)
}

// Abandon ends the calls in flight, because the process is about to end. Their outcome is
// unknown if a worker runs them.
func (e *Entry) Abandon() {
	e.abandon()
}

// refuseOutlasting refuses calls that the node might not see the end of, once it has given
// callers the time to go elsewhere. Their callers can still try another node, but not once a
// worker has begun.
func (e *Entry) refuseOutlasting(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		s, now := e.shutdown.Load(), time.Now()
		if s == nil || now.Before(s.AcceptAll) && now.Before(s.End) || cs.call.Deadline.Before(s.End) {
			return next(ctx, cs)
		}
		left := s.End.Sub(now)
		if !cs.mayBeCutShort(left) {
			refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonDraining, "the node is stopping and may not live until the answer")
			refusal.RetryAfter = max(left, minRetryAfter)
			cs.refusedByShutdown = true
			return nil, refusal
		}
		cs.call.Deadline = s.End
		ctx, cancel := context.WithDeadline(ctx, s.End)
		defer cancel()
		return next(ctx, cs)
	}
}

// mayBeCutShort reports whether the call may run in the time that is left: it is a call of a
// worker, whose run fails without it, it may be repeated, and it usually takes no longer.
func (cs *callState) mayBeCutShort(left time.Duration) bool {
	fromWorker := cs.parent != nil || cs.fromWorker
	return fromWorker && !cs.route.NeverRepeat && cs.route.Objective > 0 && left >= cs.route.Objective
}

// minRetryAfter is the shortest time after which a caller may try a stopping node again.
const minRetryAfter = 200 * time.Millisecond
