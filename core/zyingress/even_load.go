package zyingress

import (
	"net/http"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyquarantine"
)

// evenLoad reports whether the bundle in force switches on even load.
func (r *Receiver) evenLoad() bool {
	bundle := r.cfg.Bundle()
	return bundle != nil && bundle.EvenLoad
}

// checkBusy returns an error for a call that would wait so long that its sender prefers
// another worker. Such a call counts neither as demand nor as a failure. r.mu must be held.
func (r *Receiver) checkBusy(now time.Time, decision zyquarantine.Decision, a *zinniayoke.Attempt, item zyadmission.Item) error {
	if a.RedirectAfter <= 0 || decision == zyquarantine.RunExclusive || !r.evenLoad() {
		return nil
	}
	if r.queue.ExpectedWait(now, item) <= a.RedirectAfter {
		return nil
	}
	return zinniayoke.NewRefusedError(zinniayoke.ReasonBusy, "the worker is busy")
}

// loadReport returns the load of the worker for the senders of calls, nil without even load.
// Calls that the worker itself refuses or fails count as waiting, as in Reply.Load. r.mu must be
// held.
func (r *Receiver) loadReport(now time.Time) *zinniayoke.LoadReport {
	if !r.evenLoad() {
		return nil
	}
	report := r.queue.Report(r.speed.Value(now))
	report.Waiting += int(rejectLoadFactor * (r.rejectRate + r.errorRate) * float64(report.Limit))
	return &report
}

// observeHold takes in for how long the call has occupied a slot of the worker, and returns
// it. It returns 0 without even load, and for a call that has failed.
func (r *Receiver) observeHold(c *activeCall, response *zinniayoke.Response) time.Duration {
	if response == nil || response.Status >= http.StatusInternalServerError || !r.evenLoad() {
		return 0
	}
	now := time.Now()
	hold := now.Sub(c.started)
	r.mu.Lock()
	r.speed.ObserveCall(now, hold, c.attempt.UsualTime)
	speed := r.speed.Value(now)
	r.mu.Unlock()
	r.cfg.LoadMeter.SetCapacityFactor(speed)
	return hold
}

// loadObserver returns the function that takes in the load that the run of the worker with
// this number reports, nil without even load.
func (r *Receiver) loadObserver(run int) func(zinniayoke.WorkerLoad, error) {
	if !r.evenLoad() {
		return nil
	}
	return func(l zinniayoke.WorkerLoad, err error) { r.observeLoad(run, l, err) }
}

// observeLoad takes in the load that a response reports. What cannot be read is reported once
// for each run of the worker, because the header is part of every response.
func (r *Receiver) observeLoad(run int, l zinniayoke.WorkerLoad, problem error) {
	now := time.Now()
	r.mu.Lock()
	if r.current.number != run {
		r.mu.Unlock()
		return
	}
	r.speed.ObserveSlowdown(now, l.Slowdown)
	var change noticeChange
	if problem != nil && !r.current.loadProblem {
		r.current.loadProblem = true
		change.event = r.noticeEvent(now)
		change.event.Detail = problem.Error()
	}
	r.mu.Unlock()
	r.report(change)
}
