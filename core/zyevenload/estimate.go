package zyevenload

import (
	"math"
	"time"

	"zinniayoke"
)

const (
	// defaultHoldTime is assumed where a report names none.
	defaultHoldTime = 100 * time.Millisecond
	// minHoldTime keeps estimates finite if a node reports a time of zero, as one whose clock
	// stands still does.
	minHoldTime = 1 * time.Millisecond
	// maxReportAge is the age beyond which a report says nothing of the calls that run. The
	// limit and the speed in it stay valid.
	maxReportAge = 10 * time.Second
	// meanTime is the time constant at least by which older reports count less in the
	// average use of a group of workers.
	meanTime = 500 * time.Millisecond
	// priorUse is expected of a group of workers once all reports are old, so that calls try a
	// group again that was full. priorWeight is that of a report four time constants old.
	priorUse    = 0.7
	priorWeight = 0.02
)

// Estimate is what a node knows of the load of one worker. It is not safe for concurrent
// use. The zero value knows nothing.
type Estimate struct {
	report zinniayoke.LoadReport
	// at is when the report came in.
	at time.Time
	// sent counts the calls that this node has sent to the worker since.
	sent int
}

// Observe takes in a report that came in now, unless it makes no sense.
func (e *Estimate) Observe(now time.Time, r zinniayoke.LoadReport) {
	if r.Limit <= 0 || r.Running < 0 || r.Waiting < 0 || !(r.Speed > 0) || math.IsInf(r.Speed, 0) {
		return
	}
	if now.Before(e.at) {
		return
	}
	r.Speed = min(max(r.Speed, 1.0/maxSpeedFactor), maxSpeedFactor)
	if r.HoldTime <= 0 {
		r.HoldTime = defaultHoldTime
	}
	r.HoldTime = max(r.HoldTime, minHoldTime)
	e.report, e.at, e.sent = r, now, 0
}

// Sent counts a call that this node sends to the worker.
func (e *Estimate) Sent() {
	e.sent++
}

// Known reports whether there has been a report.
func (e *Estimate) Known() bool {
	return e.report.Limit > 0
}

// Report returns the latest report.
func (e *Estimate) Report() zinniayoke.LoadReport {
	return e.report
}

// ReportedAt returns when the latest report came in.
func (e *Estimate) ReportedAt() time.Time {
	return e.at
}

// Occupied returns the expected number of calls that run and wait, and the spread of that
// number. Calls that were reported end within about their hold time, later if many wait. So the older the report,
// the more the use of the worker is expected to equal the average use of its group, with the
// spread of calls that arrive at random.
func (e *Estimate) Occupied(now time.Time, meanUse float64) (mean, spread float64) {
	expected := meanUse * float64(e.report.Limit)
	reported := float64(e.report.Running + e.report.Waiting + e.sent)
	f := e.freshness(now, time.Duration(max(reported/float64(e.report.Limit), 1)*float64(e.report.HoldTime)))
	return expected + (reported-expected)*f, math.Sqrt(float64(e.report.Limit) * (1 - f*f))
}

// freshness is 1 for a new report and falls with its age in relation to the time constant.
func (e *Estimate) freshness(now time.Time, constant time.Duration) float64 {
	age := max(now.Sub(e.at), 0)
	if age > maxReportAge || constant <= 0 {
		return 0
	}
	return math.Exp(-float64(age) / float64(constant))
}

// MeanUse is the average use of a group of workers. The zero value is of no workers.
type MeanUse struct {
	occupied, limit float64
}

// Add adds a worker to the group.
func (m *MeanUse) Add(now time.Time, e *Estimate) {
	w := e.freshness(now, max(e.report.HoldTime, meanTime))
	m.occupied += w * float64(e.report.Running+e.report.Waiting+e.sent)
	m.limit += w * float64(e.report.Limit)
	m.occupied += priorWeight * priorUse * float64(e.report.Limit)
	m.limit += priorWeight * float64(e.report.Limit)
}

// Value returns the average use; 1 means that as many calls run and wait as the limits allow.
func (m *MeanUse) Value() float64 {
	if m.limit <= 0 {
		return 0
	}
	return m.occupied / m.limit
}
