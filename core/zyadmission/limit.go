// Package zyadmission implements the admission control of one worker: an adaptive
// concurrency limit, a bounded queue ordered by rank or by maximum wait, and the
// rank threshold that is reported to the senders.
package zyadmission

import (
	"math"
	"time"
)

const (
	limitWindow    = 100 * time.Millisecond
	minSamples     = 12
	raiseFactor    = 1.3
	lowerFactor    = 0.7
	minLowerFactor = 0.1
	overloadFactor = 1.4
	// elasticityThreshold separates a worker with spare capacity from an overloaded
	// one, see elasticity.
	elasticityThreshold  = 0.5
	minPause             = 1 * time.Second
	maxPause             = 32 * time.Second
	maxTrial             = 1 * time.Second
	fullSpeedFactor      = 1.15
	maxAnnouncedMultiple = 16
	// A window counts as saturated if calls were queued at this share of its samples
	// or more.
	saturatedShare = 0.5
	baselineWeight = 0.2
)

// trial is a temporary change of the limit whose effect is being measured.
type trial int

const (
	noTrial trial = iota
	raiseTrial
	lowerTrial
)

// Limit adapts the concurrency limit of a worker. It starts with the announced
// slots and changes the limit only after a trial: if a higher limit does not make
// each call slower, the worker has spare capacity; if a lower limit makes each
// call faster, the worker was overloaded. A service that is merely slow passes
// neither trial, so its limit stays. A Limit must be created with NewLimit.
type Limit struct {
	value     float64
	announced float64

	trial    trial
	previous float64
	// referenceTime is the mean service time before the trial.
	referenceTime time.Duration
	// baseline is the mean service time while the worker had spare capacity.
	baseline time.Duration
	// changedAt is when the limit was changed. Calls that started earlier are not
	// counted, because they ran under another limit.
	changedAt time.Time

	// provenConcurrency is the highest concurrency at which the service time stayed
	// close to the baseline.
	provenConcurrency float64

	windowEnd        time.Time
	totalTime        time.Duration
	samples          int
	saturatedSamples int
	totalRunning     int

	raiseAt, lowerAt       time.Time
	raisePause, lowerPause time.Duration
}

// NewLimit returns a limit that starts with the announced slots.
func NewLimit(slots int) *Limit {
	start := math.Max(float64(slots), 1)
	return &Limit{value: start, announced: start, raisePause: minPause, lowerPause: minPause}
}

// SetSlots scales the limit if the number of announced slots has changed. An
// unchanged number keeps the limit as adapted so far.
func (l *Limit) SetSlots(slots int) {
	announced := math.Max(float64(slots), 1)
	if announced == l.announced {
		return
	}
	l.value *= announced / l.announced
	l.announced = announced
	l.trial = noTrial
	l.clamp()
}

// Value returns the limit, at least 1.
func (l *Limit) Value() int {
	return max(int(math.Round(l.value)), 1)
}

// Observe records a call that has ended. The service time excludes child calls,
// running is the number of running calls including this one, and waiting is true
// if other calls are queued.
func (l *Limit) Observe(now, started time.Time, serviceTime time.Duration, running int, waiting bool) {
	if started.Before(l.changedAt) {
		return
	}
	if l.windowEnd.IsZero() {
		l.windowEnd = now.Add(limitWindow)
	}
	l.samples++
	l.totalRunning += running
	l.totalTime += serviceTime
	if waiting {
		l.saturatedSamples++
	}
	if now.Before(l.windowEnd) || l.samples < l.requiredSamples() {
		l.abandonTrial(now)
		return
	}
	mean := l.totalTime / time.Duration(l.samples)
	saturated := float64(l.saturatedSamples) >= saturatedShare*float64(l.samples)
	concurrency := float64(l.totalRunning) / float64(l.samples)
	l.resetWindow()
	l.updateProven(mean, concurrency)
	l.evaluate(now, mean, concurrency, saturated)
}

// abandonTrial reverts a trial that has run too long without enough samples.
func (l *Limit) abandonTrial(now time.Time) {
	if l.trial == noTrial || now.Sub(l.changedAt) < max(maxTrial, 4*l.referenceTime) {
		return
	}
	if l.trial == raiseTrial {
		l.raisePause = min(l.raisePause*2, maxPause)
	} else {
		l.lowerPause = min(l.lowerPause*2, maxPause)
	}
	l.revertTrial(now)
}

// updateProven raises the proven concurrency if the worker ran at full speed. The
// limit never falls below it, however slow the service becomes.
func (l *Limit) updateProven(mean time.Duration, running float64) {
	if l.baseline > 0 && float64(mean) <= fullSpeedFactor*float64(l.baseline) {
		l.provenConcurrency = math.Max(l.provenConcurrency, running)
	}
}

func (l *Limit) resetWindow() {
	l.windowEnd, l.totalTime, l.samples, l.saturatedSamples, l.totalRunning = time.Time{}, 0, 0, 0, 0
}

// requiredSamples returns the minimum number of calls in a window.
func (l *Limit) requiredSamples() int {
	return max(minSamples, l.Value())
}

// evaluate ends a trial or starts one, depending on the window that has just
// ended.
func (l *Limit) evaluate(now time.Time, mean time.Duration, concurrency float64, saturated bool) {
	overloaded := l.overloaded(mean) && concurrency > l.provenConcurrency
	switch {
	case l.trial == lowerTrial:
		l.evaluateLower(now, mean)
	case !saturated && !overloaded:
		l.revertTrial(now)
		l.updateBaseline(mean, concurrency)
	case l.trial == raiseTrial:
		l.evaluateRaise(now, mean)
	default:
		l.startTrial(now, mean, overloaded)
	}
}

// overloaded reports whether calls take clearly longer than the baseline.
func (l *Limit) overloaded(mean time.Duration) bool {
	return l.baseline > 0 && float64(mean) > overloadFactor*float64(l.baseline)
}

// updateBaseline updates the baseline while the concurrency is at most the proven
// one, or if the calls were faster than the baseline. At a higher concurrency,
// calls may be slow because they queue inside the worker.
func (l *Limit) updateBaseline(mean time.Duration, concurrency float64) {
	switch {
	case l.baseline == 0:
		l.baseline = mean
	case mean < l.baseline || concurrency <= l.provenConcurrency:
		l.baseline += time.Duration(baselineWeight * float64(mean-l.baseline))
	}
}

// startTrial starts a trial if one is due.
func (l *Limit) startTrial(now time.Time, mean time.Duration, overloaded bool) {
	l.referenceTime = mean
	l.previous = l.value
	overloaded = overloaded || l.baseline == 0
	switch {
	case overloaded && !now.Before(l.lowerAt):
		l.trial = lowerTrial
		l.set(now, l.value*l.reductionFactor(mean))
	case !now.Before(l.raiseAt):
		l.trial = raiseTrial
		l.set(now, math.Max(l.value*raiseFactor, l.value+1))
	}
}

// reductionFactor returns the factor by which the limit of an overloaded worker
// is lowered: in proportion to the slowdown of its calls if a baseline is known.
func (l *Limit) reductionFactor(mean time.Duration) float64 {
	if l.baseline == 0 {
		return lowerFactor
	}
	return math.Min(math.Max(overloadFactor*float64(l.baseline)/float64(mean), minLowerFactor), lowerFactor)
}

func (l *Limit) evaluateRaise(now time.Time, mean time.Duration) {
	if l.elasticity(mean) < elasticityThreshold {
		l.trial = noTrial
		l.raisePause = minPause
		l.raiseAt = now
		return
	}
	l.raisePause = min(l.raisePause*2, maxPause)
	l.revertTrial(now)
}

func (l *Limit) evaluateLower(now time.Time, mean time.Duration) {
	if l.elasticity(mean) > elasticityThreshold {
		l.trial = noTrial
		l.lowerPause = minPause
		l.lowerAt = now
		l.raiseAt = now.Add(minPause)
		return
	}
	// Fewer concurrent calls are just as slow, so the service itself has become slow.
	l.baseline = l.referenceTime
	l.lowerPause = min(l.lowerPause*2, maxPause)
	l.revertTrial(now)
}

// revertTrial ends a trial and restores the previous limit.
func (l *Limit) revertTrial(now time.Time) {
	if l.trial == noTrial {
		return
	}
	l.trial = noTrial
	l.raiseAt = now.Add(l.raisePause)
	l.lowerAt = now.Add(l.lowerPause)
	l.set(now, l.previous)
}

// elasticity returns the relative change of the service time divided by the
// relative change of the limit: 0 if the worker has spare capacity, 1 if calls
// queue inside it.
func (l *Limit) elasticity(mean time.Duration) float64 {
	return math.Log(float64(mean)/float64(l.referenceTime)) / math.Log(l.value/l.previous)
}

func (l *Limit) set(now time.Time, value float64) {
	l.value = value
	l.clamp()
	l.changedAt = now
	l.resetWindow()
}

func (l *Limit) clamp() {
	l.value = math.Min(math.Max(l.value, math.Max(l.provenConcurrency, 1)), l.announced*maxAnnouncedMultiple)
}
