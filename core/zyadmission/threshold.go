package zyadmission

import (
	"slices"
	"time"

	"zinniayoke"
)

const (
	thresholdWindow  = 50 * time.Millisecond
	maxStandingDelay = 20 * time.Millisecond
	// overadmission is the ratio of admitted demand to capacity. It exceeds 1 so that
	// the worker is never idle while calls are being refused.
	overadmission     = 1.1
	minUtilization    = 0.3
	rateWeight        = 0.2
	demandDecay       = 0.9
	closedDemandDecay = 0.98
	bucketShift       = 12
	minDemand         = 1e-3
)

// Threshold computes the lowest rank that a worker has capacity for: the demand
// above it matches the recent throughput divided by the utilization. A Threshold
// must be created with NewThreshold.
type Threshold struct {
	value    zinniayoke.Rank
	demand   map[zinniayoke.Rank]float64
	arrivals map[zinniayoke.Rank]int

	windowStart  time.Time
	shedCount    int
	arrivalCount int
	// served is the average number of calls admitted per window.
	served float64
	// utilization is the moving average of the share of the concurrency limit in use.
	utilization float64
	// utilizationIntegral is the integral of currentUtilization over the window, in
	// seconds.
	utilizationIntegral  float64
	utilizationChangedAt time.Time
	currentUtilization   float64
	// minWait is the shortest wait of the calls that started in the window.
	minWait time.Duration
	hasWait bool
}

// NewThreshold returns a threshold that admits all ranks.
func NewThreshold() *Threshold {
	return &Threshold{
		demand:   make(map[zinniayoke.Rank]float64),
		arrivals: make(map[zinniayoke.Rank]int),
	}
}

// Value returns the lowest admitted rank; 0 admits all.
func (t *Threshold) Value() zinniayoke.Rank {
	return t.value
}

// CountArrival counts an arriving call.
func (t *Threshold) CountArrival(now time.Time, r zinniayoke.Rank) {
	t.Tick(now)
	t.arrivals[r>>bucketShift]++
	t.arrivalCount++
}

// CountShed counts a call that was refused for lack of capacity.
func (t *Threshold) CountShed(now time.Time) {
	t.Tick(now)
	t.shedCount++
}

// ObserveWait records how long a call waited before it started.
func (t *Threshold) ObserveWait(d time.Duration) {
	if !t.hasWait || d < t.minWait {
		t.minWait = d
	}
	t.hasWait = true
}

// SetUtilization sets the share of the concurrency limit that is in use from now on.
func (t *Threshold) SetUtilization(now time.Time, share float64) {
	t.Tick(now)
	t.utilizationIntegral += t.currentUtilization * now.Sub(t.utilizationChangedAt).Seconds()
	t.utilizationChangedAt = now
	t.currentUtilization = share
}

// Tick closes the window if it has ended.
func (t *Threshold) Tick(now time.Time) {
	if t.windowStart.IsZero() {
		t.windowStart, t.utilizationChangedAt = now, now
		return
	}
	length := now.Sub(t.windowStart)
	if length < thresholdWindow {
		return
	}
	t.utilizationIntegral += t.currentUtilization * now.Sub(t.utilizationChangedAt).Seconds()
	t.utilizationChangedAt = now
	windows := float64(length) / float64(thresholdWindow)
	t.updateAverages(float64(t.arrivalCount-min(t.shedCount, t.arrivalCount))/windows, t.utilizationIntegral/length.Seconds())
	t.updateDemand()
	t.adjust()
	t.windowStart = now
	t.shedCount, t.arrivalCount, t.utilizationIntegral, t.hasWait, t.minWait = 0, 0, 0, false, 0
	clear(t.arrivals)
}

func (t *Threshold) updateAverages(served, utilization float64) {
	t.served += rateWeight * (served - t.served)
	t.utilization += rateWeight * (utilization - t.utilization)
}

// updateDemand updates the demand of each bucket of ranks. Buckets that are not
// admitted decay more slowly, because senders shed their calls before they arrive.
func (t *Threshold) updateDemand() {
	for bucket, demand := range t.demand {
		decay := closedDemandDecay
		if t.isAdmitted(bucket) || t.arrivals[bucket] > 0 {
			decay = demandDecay
		}
		t.demand[bucket] = demand * decay
		if t.demand[bucket] < minDemand {
			delete(t.demand, bucket)
		}
	}
	for bucket, n := range t.arrivals {
		t.demand[bucket] += (1 - demandDecay) * float64(n)
	}
}

func (t *Threshold) isAdmitted(bucket zinniayoke.Rank) bool {
	return bucket >= t.value>>bucketShift
}

// adjust sets the threshold so that the demand above it fits the capacity. The
// capacity is derived from the calls served, not from the previous threshold, so
// that a change that has not reached the senders yet is not applied twice.
func (t *Threshold) adjust() {
	overloaded := t.shedCount > 0 || t.hasWait && t.minWait > maxStandingDelay
	if !overloaded && t.value == 0 {
		return
	}
	capacity := t.served / min(max(t.utilization, minUtilization), 1)
	t.value = t.thresholdFor(capacity * overadmission)
}

// thresholdFor returns the lowest threshold above which the demand is at most the
// capacity; 0 if all demand fits.
func (t *Threshold) thresholdFor(capacity float64) zinniayoke.Rank {
	buckets := make([]zinniayoke.Rank, 0, len(t.demand))
	for bucket := range t.demand {
		buckets = append(buckets, bucket)
	}
	slices.Sort(buckets)
	sum := 0.0
	for i := len(buckets) - 1; i >= 0; i-- {
		demand := t.demand[buckets[i]]
		if sum+demand > capacity {
			return interpolate(buckets[i], (capacity-sum)/demand)
		}
		sum += demand
	}
	return 0
}

// interpolate returns the threshold that admits the given share of a bucket's
// demand, assuming that its ranks are evenly distributed. If buckets were admitted
// only as a whole, one with high demand could never be admitted again.
func interpolate(bucket zinniayoke.Rank, share float64) zinniayoke.Rank {
	const width = 1 << bucketShift
	closed := zinniayoke.Rank((1 - max(share, 0)) * width)
	return bucket<<bucketShift + min(closed, width-1) // The topmost bucket has no rank above it.
}
