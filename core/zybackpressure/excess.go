// Package zybackpressure sheds load at the entry nodes for services deeper in the
// call graph. The node of an overloaded worker measures which share of the demand
// exceeds the worker's capacity. The entry nodes learn that share from replies and
// refuse the same share of the demand, the least important calls first.
package zybackpressure

import (
	"math"
	"time"
)

const (
	// controlWindow is how often the share is adjusted. A root call takes about
	// 200 ms to reach the third service of a chain, so shorter windows would not
	// see the effect of an adjustment.
	controlWindow = 100 * time.Millisecond
	// targetUtilization leaves headroom for random variation in arrivals.
	targetUtilization = 0.95
	// controlGain damps the control loop: at 0.3, an error shrinks to a third
	// within 300 ms.
	controlGain = 0.3
	// smoothingWeight averages demand and utilization over about five windows.
	smoothingWeight = 0.3
	// maxShare keeps a trickle of calls flowing, which shows when capacity is free
	// again.
	maxShare = 0.98
	// minShare is the smallest share worth refusing calls for.
	minShare = 0.01
)

// ExcessController computes the share of the demand on a worker that exceeds its
// capacity. The share grows while calls arrive faster than they are delivered
// and all concurrency slots are in use, and shrinks while slots are free. It is
// not safe for concurrent use. An ExcessController must be created with
// NewExcessController.
type ExcessController struct {
	windowStart time.Time
	// arrived and delivered count the calls of the current window.
	arrived   int
	delivered int
	// utilization is the current fraction of slots in use, busySeconds its integral
	// over the current window up to changedAt.
	utilization float64
	busySeconds float64
	changedAt   time.Time

	// demand and throughput are calls per window, averaged like meanUtilization.
	demand          float64
	throughput      float64
	meanUtilization float64
	// admittedShare is the share of the demand that is within capacity.
	admittedShare float64
}

// NewExcessController returns a controller whose share is 0.
func NewExcessController() *ExcessController {
	return &ExcessController{admittedShare: 1}
}

// CountArrival counts a call that arrives at the worker's node.
func (c *ExcessController) CountArrival(now time.Time) {
	c.Tick(now)
	c.arrived++
}

// CountDelivery counts a call that is delivered to the worker.
func (c *ExcessController) CountDelivery(now time.Time) {
	c.Tick(now)
	c.delivered++
}

// SetUtilization sets the fraction of concurrency slots in use from now on.
func (c *ExcessController) SetUtilization(now time.Time, fraction float64) {
	c.Tick(now)
	c.busySeconds += c.utilization * now.Sub(c.changedAt).Seconds()
	c.changedAt = now
	c.utilization = math.Min(fraction, 1)
}

// Tick adjusts the share if the current window has ended.
func (c *ExcessController) Tick(now time.Time) {
	if c.windowStart.IsZero() {
		c.windowStart, c.changedAt = now, now
		return
	}
	length := now.Sub(c.windowStart)
	if length < controlWindow {
		return
	}
	c.busySeconds += c.utilization * now.Sub(c.changedAt).Seconds()
	c.changedAt = now
	windows := length.Seconds() / controlWindow.Seconds()
	c.demand += smoothingWeight * (float64(c.arrived)/windows - c.demand)
	c.throughput += smoothingWeight * (float64(c.delivered)/windows - c.throughput)
	c.meanUtilization += smoothingWeight * (c.busySeconds/length.Seconds() - c.meanUtilization)
	c.windowStart, c.arrived, c.delivered, c.busySeconds = now, 0, 0, 0
	c.adjust()
}

// adjust multiplies the admitted share by a power of the ratio of target to
// load. The calls that arrive now were admitted under an earlier share, so each
// step corrects only a part of the error.
func (c *ExcessController) adjust() {
	load := c.meanUtilization
	if c.throughput > 0 && c.demand > c.throughput {
		load *= c.demand / c.throughput
	}
	step := math.Pow(targetUtilization/math.Max(load, targetUtilization/2), controlGain)
	c.admittedShare = math.Min(math.Max(c.admittedShare*step, 1-maxShare), 1)
}

// ExcessShare returns the share of the demand that exceeds the capacity.
func (c *ExcessController) ExcessShare() float64 {
	if share := 1 - c.admittedShare; share >= minShare {
		return share
	}
	return 0
}
