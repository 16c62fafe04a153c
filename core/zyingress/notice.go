package zyingress

import (
	"time"

	"zinniayoke"
	"zinniayoke/core/zynotice"
)

// workerRun is one run of the worker as this node knows it.
type workerRun struct {
	// number counts the runs that this node has seen.
	number int
	// notices is what the run says about itself in its responses.
	notices zynotice.Tracker
	// problem is the part of the last response that could not be read, "" if none.
	problem string
	// loadProblem is true once a load that could not be read has been reported.
	loadProblem bool
}

// noticeChange is what remains to be done, without r.mu, after a notice was applied.
type noticeChange struct {
	event *zinniayoke.Event
	// leaves is true if the worker was not known to leave before.
	leaves bool
}

// observeNotice takes in what the response to a call says about the worker. The call was
// sent at sentAt to the run with this number. Of a notice that could not be read in part,
// only the readable part counts.
func (r *Receiver) observeNotice(run int, sentAt time.Time, n zinniayoke.WorkerNotice, problem error) {
	now := time.Now()
	r.mu.Lock()
	if r.current.number != run {
		r.mu.Unlock()
		return
	}
	text := ""
	if problem != nil {
		text = problem.Error()
		known := r.current.notices.Notice()
		n.Limited, n.Limit = known.Limited, known.Limit
	}
	var change noticeChange
	if r.current.notices.Observe(now, sentAt, n) || text != r.current.problem {
		r.current.problem = text
		change = r.applyNotice(now)
	}
	r.mu.Unlock()
	r.report(change)
}

// adoptNotice takes in what the sender of an attempt has heard of the worker. This node
// knows less if it has started again since. The error refuses the attempt: the worker has
// said that it leaves, or a run of the same name has, and which one runs now is unknown.
func (r *Receiver) adoptNotice(now time.Time, heard *zinniayoke.HeardNotice) error {
	if heard == nil {
		return nil
	}
	r.mu.Lock()
	known := r.announcement
	unknownRun := known.Incarnation == 0
	if r.worker == nil || heard.Instance != known.Instance || !unknownRun && heard.Incarnation != known.Incarnation {
		r.mu.Unlock()
		return nil
	}
	notice := heard.Notice
	if unknownRun {
		notice.Leaving = false
	}
	var change noticeChange
	if r.current.notices.Adopt(now, notice) {
		change = r.applyNotice(now)
	}
	r.mu.Unlock()
	r.report(change)
	if heard.Notice.Leaving {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDraining, "the worker is draining")
	}
	return nil
}

// adoptFound takes in what the worker said in the response to a health check, and reports
// whether that is news. r.mu must be held.
func (r *Receiver) adoptFound(now time.Time, n zinniayoke.WorkerNotice) bool {
	if !r.current.notices.Adopt(now, n) {
		return false
	}
	r.cfg.Recorder.Record(r.applyNotice(now).event)
	return true
}

// applyNotice applies what the worker says now. r.mu must be held.
func (r *Receiver) applyNotice(now time.Time) noticeChange {
	r.applyResult(now, r.queue.SetRateLimit(now, r.rateLimit()))
	change := noticeChange{leaves: r.current.notices.Notice().Leaving && !r.ended}
	if change.leaves {
		r.endRun()
	}
	change.event = r.noticeEvent(now)
	return change
}

// report reports the change. r.mu must not be held.
func (r *Receiver) report(c noticeChange) {
	if c.event != nil {
		r.cfg.Recorder.Record(c.event)
	}
	if c.leaves && r.cfg.OnLeaving != nil {
		r.cfg.OnLeaving()
	}
}

// heardNotice returns what the worker says, for other nodes, or nil if it says nothing.
// r.mu must be held.
func (r *Receiver) heardNotice() *zinniayoke.HeardNotice {
	notice := r.current.notices.Notice()
	if notice == (zinniayoke.WorkerNotice{}) {
		return nil
	}
	return &zinniayoke.HeardNotice{Instance: r.announcement.Instance, Incarnation: r.announcement.Incarnation, Notice: notice}
}

// noticeEvent returns the event that reports what the worker says. r.mu must be held.
func (r *Receiver) noticeEvent(now time.Time) *zinniayoke.Event {
	e := &zinniayoke.Event{
		Kind: zinniayoke.EventWorkerNotice, Service: r.announcement.Service, Instance: r.announcement.Instance,
		Leaving: r.current.notices.Notice().Leaving, Detail: r.current.problem,
	}
	r.addLoad(now, e)
	return e
}

// addLoad adds the load of the worker to the event. r.mu must be held.
func (r *Receiver) addLoad(now time.Time, e *zinniayoke.Event) {
	if r.queue == nil {
		return
	}
	e.Limit, e.Running, e.Waiting = r.queue.Limit(), r.queue.Running(), r.queue.Waiting()
	e.RateLimit = r.rateLimit()
	if e.RateLimit != nil || e.Kind == zinniayoke.EventWorkerNotice {
		e.DeliveryRate = r.queue.DeliveryRate(now)
	}
}

// rateLimit returns the rate that the worker accepts, or nil if it names none. r.mu must be
// held.
func (r *Receiver) rateLimit() *zinniayoke.Rate {
	notice := r.current.notices.Notice()
	if !notice.Limited {
		return nil
	}
	return &notice.Limit
}
