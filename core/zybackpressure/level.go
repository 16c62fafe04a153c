// Package zybackpressure turns the overload of one service into a share of what is
// asked of it that its callers' entries refuse, and chooses there which calls
// those are.
package zybackpressure

import (
	"math"
	"time"
)

const (
	// levelWindow is how often the share moves. A root call takes some 200 ms to
	// reach the third service of a chain, so shorter windows see no effect.
	levelWindow = 100 * time.Millisecond
	// levelTarget leaves room for the noise of arrivals.
	levelTarget = 0.95
	// levelGain damps the loop: at 0.3, what is off shrinks to a third in 300 ms.
	levelGain = 0.3
	// levelWeight smooths demand and use over about five windows.
	levelWeight = 0.3
	// largestShare leaves a trickle that shows when there is room again.
	largestShare = 0.98
	// smallestShare is not worth refusing for.
	smallestShare = 0.01
)

// ExcessController finds the share of the calls asked of a worker that it has no room for.
// It grows while more arrives than is served with all slots in use and shrinks
// when slots are free. It is not safe for use by several goroutines. A ExcessController
// must be made with NewLevel.
type ExcessController struct {
	begin   time.Time
	arrived int
	served  int
	// use is the share of the slots that run, busy its integral in the window.
	use     float64
	busy    float64
	changed time.Time

	demand  float64
	rate    float64
	usage   float64
	passing float64
}

// NewExcessController returns a level that refuses nothing.
func NewExcessController() *ExcessController {
	return &ExcessController{passing: 1}
}

// CountArrival counts a call that came to the worker's node.
func (l *ExcessController) CountArrival(now time.Time) {
	l.Tick(now)
	l.arrived++
}

// CountDelivery counts a call that the worker was handed.
func (l *ExcessController) CountDelivery(now time.Time) {
	l.Tick(now)
	l.served++
}

// SetUtilization notes which share of the slots runs from now on.
func (l *ExcessController) SetUtilization(now time.Time, share float64) {
	l.Tick(now)
	l.busy += l.use * now.Sub(l.changed).Seconds()
	l.changed = now
	l.use = math.Min(share, 1)
}

// Tick moves the share where a window has ended.
func (l *ExcessController) Tick(now time.Time) {
	if l.begin.IsZero() {
		l.begin, l.changed = now, now
		return
	}
	length := now.Sub(l.begin)
	if length < levelWindow {
		return
	}
	l.busy += l.use * now.Sub(l.changed).Seconds()
	l.changed = now
	windows := length.Seconds() / levelWindow.Seconds()
	l.demand += levelWeight * (float64(l.arrived)/windows - l.demand)
	l.rate += levelWeight * (float64(l.served)/windows - l.rate)
	l.usage += levelWeight * (l.busy/length.Seconds() - l.usage)
	l.begin, l.arrived, l.served, l.busy = now, 0, 0, 0
	l.move()
}

// move multiplies what passes by what there is room for. What arrives was let
// through by the share of some moments ago, so the step is a part of the whole.
func (l *ExcessController) move() {
	load := l.usage
	if l.rate > 0 && l.demand > l.rate {
		load *= l.demand / l.rate
	}
	step := math.Pow(levelTarget/math.Max(load, levelTarget/2), levelGain)
	l.passing = math.Min(math.Max(l.passing*step, 1-largestShare), 1)
}

// ExcessShare returns the part of what is asked that there is no room for.
func (l *ExcessController) ExcessShare() float64 {
	if share := 1 - l.passing; share >= smallestShare {
		return share
	}
	return 0
}
