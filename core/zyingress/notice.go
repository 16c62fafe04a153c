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
	changed := r.current.notices.Observe(now, sentAt, n) || text != r.current.problem
	r.current.problem = text
	if changed {
		r.applyResult(now, r.queue.SetRateLimit(now, r.rateLimit()))
	}
	leaves := r.current.notices.Notice().Leaving && !r.ended
	if leaves {
		r.endRun()
	}
	var event *zinniayoke.Event
	if changed {
		event = r.noticeEvent(now)
	}
	r.mu.Unlock()
	if changed {
		r.cfg.Recorder.Record(event)
	}
	if leaves && r.cfg.OnLeaving != nil {
		r.cfg.OnLeaving()
	}
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
