// Package zyadmission decides which attempts a worker is handed, which wait and
// which are refused. It holds an adaptive concurrency limit, a bounded queue in
// the order of rank, and the threshold that is told to the senders.
package zyadmission

import (
	"math"
	"time"
)

const (
	limitWindow    = 100 * time.Millisecond
	fewestSamples  = 12
	raiseFactor    = 1.3
	lowerFactor    = 0.7
	lowestFactor   = 0.1
	crowdedFactor  = 1.4
	usefulElastic  = 0.5
	shortestWait   = 1 * time.Second
	longestPause   = 32 * time.Second
	longestTrial   = 1 * time.Second
	provenFactor   = 1.15
	largestFactor  = 16
	saturatedShare = 0.5
	baseWeight     = 0.2
)

// trial is a change of the limit whose effect is being watched.
type trial int

const (
	noTrial trial = iota
	raised
	lowered
)

// Limit learns how many calls a worker can run at once. It believes the
// announced slots until a trial shows otherwise: more calls at once that do not
// make each call slower show that the worker has more room; fewer calls at once
// that make each one faster show that it had too many. A service that is just
// slow passes neither trial, so its limit stays. A Limit must be made with
// NewLimit.
type Limit struct {
	value     float64
	announced float64

	trial  trial
	before float64
	// reference is the mean time of a call before the trial.
	reference time.Duration
	// base is the mean time of a call while the worker had room.
	base time.Duration
	// changed is when the limit was changed; calls that began earlier say
	// nothing about it.
	changed time.Time

	// proven is the most calls at once that ran no slower than with room.
	proven float64

	end     time.Time
	sum     time.Duration
	samples int
	full    int
	running int

	raiseAt, lowerAt       time.Time
	raisePause, lowerPause time.Duration
}

// NewLimit returns a limit that starts at the announced slots.
func NewLimit(slots int) *Limit {
	start := math.Max(float64(slots), 1)
	return &Limit{value: start, announced: start, raisePause: shortestWait, lowerPause: shortestWait}
}

// SetSlots notes a change of the announced slots. An unchanged announcement
// does not undo what was learned.
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

// Observe notes a call that began at the given time and took the worker's own
// time. Running calls, this one included, were at the worker, and waiting tells
// whether others wait for it to end.
func (l *Limit) Observe(now, began time.Time, took time.Duration, running int, waiting bool) {
	if began.Before(l.changed) {
		return
	}
	if l.end.IsZero() {
		l.end = now.Add(limitWindow)
	}
	l.samples++
	l.running += running
	l.sum += took
	if waiting {
		l.full++
	}
	if now.Before(l.end) || l.samples < l.needed() {
		l.giveUp(now)
		return
	}
	mean := l.sum / time.Duration(l.samples)
	saturated := float64(l.full) >= saturatedShare*float64(l.samples)
	together := float64(l.running) / float64(l.samples)
	l.clear()
	l.prove(mean, together)
	l.judge(now, mean, together, saturated)
}

// giveUp ends a trial that brings too few calls to judge by.
func (l *Limit) giveUp(now time.Time) {
	if l.trial == noTrial || now.Sub(l.changed) < max(longestTrial, 4*l.reference) {
		return
	}
	if l.trial == raised {
		l.raisePause = min(l.raisePause*2, longestPause)
	} else {
		l.lowerPause = min(l.lowerPause*2, longestPause)
	}
	l.settle(now)
}

// prove remembers how many calls at once the worker has run at full speed. The
// limit never falls below that, however slow the service becomes.
func (l *Limit) prove(mean time.Duration, running float64) {
	if l.base > 0 && float64(mean) <= provenFactor*float64(l.base) {
		l.proven = math.Max(l.proven, running)
	}
}

func (l *Limit) clear() {
	l.end, l.sum, l.samples, l.full, l.running = time.Time{}, 0, 0, 0, 0
}

// needed is how many calls a window has to hold at least.
func (l *Limit) needed() int {
	return max(fewestSamples, l.Value())
}

func (l *Limit) judge(now time.Time, mean time.Duration, together float64, saturated bool) {
	crowded := l.crowded(mean) && together > l.proven
	switch {
	case l.trial == lowered:
		l.judgeLower(now, mean)
	case !saturated && !crowded:
		l.settle(now)
		l.learnBase(mean, together)
	case l.trial == raised:
		l.judgeRaise(now, mean)
	default:
		l.begin(now, mean, crowded)
	}
}

func (l *Limit) crowded(mean time.Duration) bool {
	return l.base > 0 && float64(mean) > crowdedFactor*float64(l.base)
}

// learnBase averages the time of calls while the worker runs no more of them
// than it has run at full speed. Beyond that, calls may be slow since they queue
// within the worker.
func (l *Limit) learnBase(mean time.Duration, together float64) {
	switch {
	case l.base == 0:
		l.base = mean
	case mean < l.base || together <= l.proven:
		l.base += time.Duration(baseWeight * float64(mean-l.base))
	}
}

// begin starts a trial if one is due.
func (l *Limit) begin(now time.Time, mean time.Duration, crowded bool) {
	l.reference = mean
	l.before = l.value
	crowded = crowded || l.base == 0
	switch {
	case crowded && !now.Before(l.lowerAt):
		l.trial = lowered
		l.set(now, l.value*l.lowerShare(mean))
	case !now.Before(l.raiseAt):
		l.trial = raised
		l.set(now, math.Max(l.value*raiseFactor, l.value+1))
	}
}

// lowerShare is how far a crowded worker's limit is lowered: as far as the
// calls have become slower, if that is known.
func (l *Limit) lowerShare(mean time.Duration) float64 {
	if l.base == 0 {
		return lowerFactor
	}
	return math.Min(math.Max(crowdedFactor*float64(l.base)/float64(mean), lowestFactor), lowerFactor)
}

func (l *Limit) judgeRaise(now time.Time, mean time.Duration) {
	if l.elastic(mean) < usefulElastic {
		l.trial = noTrial
		l.raisePause = shortestWait
		l.raiseAt = now
		return
	}
	l.raisePause = min(l.raisePause*2, longestPause)
	l.settle(now)
}

func (l *Limit) judgeLower(now time.Time, mean time.Duration) {
	if l.elastic(mean) > usefulElastic {
		l.trial = noTrial
		l.lowerPause = shortestWait
		l.lowerAt = now
		l.raiseAt = now.Add(shortestWait)
		return
	}
	// The calls are as slow with fewer at once: the service itself is slow.
	l.base = l.reference
	l.lowerPause = min(l.lowerPause*2, longestPause)
	l.settle(now)
}

// settle ends a trial and goes back to the old limit.
func (l *Limit) settle(now time.Time) {
	if l.trial == noTrial {
		return
	}
	l.trial = noTrial
	l.raiseAt = now.Add(l.raisePause)
	l.lowerAt = now.Add(l.lowerPause)
	l.set(now, l.before)
}

// elastic is the relative change of the time of a call by the relative change
// of the limit: 0 where the worker has room, 1 where calls queue within it.
func (l *Limit) elastic(mean time.Duration) float64 {
	return math.Log(float64(mean)/float64(l.reference)) / math.Log(l.value/l.before)
}

func (l *Limit) set(now time.Time, value float64) {
	l.value = value
	l.clamp()
	l.changed = now
	l.clear()
}

func (l *Limit) clamp() {
	l.value = math.Min(math.Max(l.value, math.Max(l.proven, 1)), l.announced*largestFactor)
}
