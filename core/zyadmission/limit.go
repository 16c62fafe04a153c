// Package zyadmission decides which attempts a worker is handed, which wait and
// which are refused. It holds an adaptive concurrency limit, a bounded queue in
// the order of rank, and the threshold that is told to the senders.
package zyadmission

import (
	"math"
	"time"
)

const (
	limitWindow     = 250 * time.Millisecond
	fewestSamples   = 40
	smallestStep    = 0.05
	largestStep     = 0.5
	usefulElastic   = 0.5
	announcedFactor = 16
	saturatedShare  = 0.9
)

// Limit learns how many calls a worker can run at once. It starts from the
// announced slots and climbs while more concurrency brings more completions.
// A Limit must be made with NewLimit.
type Limit struct {
	value     float64
	announced float64

	windowEnd   time.Time
	windowStart time.Time
	finished    int
	full        bool

	lastRate  float64
	lastValue float64
	step      float64
	rising    bool
}

// NewLimit returns a limit that starts at the announced slots.
func NewLimit(slots int) *Limit {
	start := math.Max(float64(slots), 1)
	return &Limit{value: start, announced: start, step: smallestStep}
}

// Announce notes a change of the announced slots. An unchanged announcement
// does not undo what was learned.
func (l *Limit) Announce(slots int) {
	announced := math.Max(float64(slots), 1)
	if announced == l.announced {
		return
	}
	l.value *= announced / l.announced
	l.announced = announced
	l.lastRate = 0
	l.clamp()
}

// Value returns the limit, at least 1.
func (l *Limit) Value() int {
	return max(int(math.Round(l.value)), 1)
}

// Finish notes that a call has ended while running calls, this one included,
// were in flight.
func (l *Limit) Finish(now time.Time, running int, waiting bool) {
	if l.windowEnd.IsZero() {
		l.open(now)
	}
	l.finished++
	if !waiting && float64(running) < saturatedShare*l.value {
		l.full = false
	}
	if now.Before(l.windowEnd) || l.finished < fewestSamples {
		return
	}
	l.close(now)
	l.open(now)
}

func (l *Limit) open(now time.Time) {
	l.windowStart = now
	l.windowEnd = now.Add(limitWindow)
	l.finished = 0
	l.full = true
}

// close compares the rate of the window with the one before, which had another
// limit, and chooses the direction of the next step.
func (l *Limit) close(now time.Time) {
	if !l.full {
		l.lastRate = 0
		return
	}
	rate := float64(l.finished) / now.Sub(l.windowStart).Seconds()
	if l.lastRate == 0 || l.lastValue == l.value {
		l.lastRate = rate
		l.lastValue = l.value
		l.move(l.rising)
		return
	}
	elastic := math.Log(rate/l.lastRate) / math.Log(l.value/l.lastValue)
	l.lastRate = rate
	l.lastValue = l.value
	l.move(elastic > usefulElastic)
}

func (l *Limit) move(rising bool) {
	if rising == l.rising {
		l.step = math.Min(l.step*1.5, largestStep)
	} else {
		l.step = smallestStep
	}
	l.rising = rising
	if rising {
		l.value = math.Max(l.value*(1+l.step), l.value+1)
	} else {
		l.value /= 1 + l.step
	}
	l.clamp()
}

func (l *Limit) clamp() {
	l.value = math.Min(math.Max(l.value, 1), l.announced*announcedFactor)
}
