package zyadmission

import (
	"slices"
	"time"

	"zinniayoke"
)

const (
	thresholdWindow = 50 * time.Millisecond
	standingDelay   = 20 * time.Millisecond
	reopenFactor    = 1.25
	closeFactor     = 0.95
	demandDecay     = 0.9
	closedDecay     = 0.98
	bucketShift     = 12
	fewestDemand    = 1e-3
)

// Threshold finds the lowest rank that a worker can serve now. It rises as soon
// as calls are shed and falls step by step when none are.
// A Threshold must be made with NewThreshold.
type Threshold struct {
	value    zinniayoke.Rank
	demand   map[zinniayoke.Rank]float64
	arrived  map[zinniayoke.Rank]int
	end      time.Time
	shed     int
	total    int
	shortest time.Duration
	waited   bool
}

// NewThreshold returns a threshold that admits every rank.
func NewThreshold() *Threshold {
	return &Threshold{
		demand:  make(map[zinniayoke.Rank]float64),
		arrived: make(map[zinniayoke.Rank]int),
	}
}

// Value returns the lowest rank that is admitted; 0 admits all.
func (t *Threshold) Value() zinniayoke.Rank {
	return t.value
}

// Arrive counts the arrival of a call.
func (t *Threshold) Arrive(now time.Time, r zinniayoke.Rank) {
	t.Tick(now)
	t.arrived[r>>bucketShift]++
	t.total++
}

// Shed counts a call that was refused for lack of room.
func (t *Threshold) Shed(now time.Time, _ zinniayoke.Rank) {
	t.Tick(now)
	t.shed++
}

// Wait notes how long a call has waited before it started.
func (t *Threshold) Wait(d time.Duration) {
	if !t.waited || d < t.shortest {
		t.shortest = d
	}
	t.waited = true
}

// Tick closes the window if it has ended.
func (t *Threshold) Tick(now time.Time) {
	if t.end.IsZero() {
		t.end = now.Add(thresholdWindow)
		return
	}
	if now.Before(t.end) {
		return
	}
	t.remember()
	t.move()
	t.end = now.Add(thresholdWindow)
	t.shed, t.total, t.waited, t.shortest = 0, 0, false, 0
	clear(t.arrived)
}

// remember updates the demand of the ranks that are open; what is closed keeps
// its last known demand for longer, since it is shed before it arrives.
func (t *Threshold) remember() {
	for bucket, demand := range t.demand {
		decay := closedDecay
		if t.open(bucket) || t.arrived[bucket] > 0 {
			decay = demandDecay
		}
		t.demand[bucket] = demand * decay
		if t.demand[bucket] < fewestDemand {
			delete(t.demand, bucket)
		}
	}
	for bucket, n := range t.arrived {
		t.demand[bucket] += (1 - demandDecay) * float64(n)
	}
}

func (t *Threshold) open(bucket zinniayoke.Rank) bool {
	return bucket >= t.value>>bucketShift
}

// move sets the threshold so that the demand above it fits.
func (t *Threshold) move() {
	overloaded := t.shed > 0 || t.waited && t.shortest > standingDelay
	if !overloaded && t.value == 0 {
		return
	}
	admitted := t.above(t.value)
	if overloaded {
		served := 1 - float64(t.shed)/float64(max(t.total, t.shed, 1))
		t.value = max(t.value, t.admitting(admitted*min(served, closeFactor)))
		return
	}
	t.value = min(t.value, t.admitting(max(admitted, 1)*reopenFactor))
}

// above returns the demand of all ranks from r on.
func (t *Threshold) above(r zinniayoke.Rank) float64 {
	sum := 0.0
	for bucket, demand := range t.demand {
		if bucket >= r>>bucketShift {
			sum += demand
		}
	}
	return sum
}

// admitting returns the lowest threshold above which the demand is at most
// want; 0 where all of it fits.
func (t *Threshold) admitting(want float64) zinniayoke.Rank {
	buckets := make([]zinniayoke.Rank, 0, len(t.demand))
	for bucket := range t.demand {
		buckets = append(buckets, bucket)
	}
	slices.Sort(buckets)
	sum := 0.0
	for i := len(buckets) - 1; i >= 0; i-- {
		demand := t.demand[buckets[i]]
		if sum+demand > want {
			return within(buckets[i], (want-sum)/demand)
		}
		sum += demand
	}
	return 0
}

// within returns the threshold that admits a share of a bucket's demand, whose
// ranks are spread evenly. Without it a bucket with much demand could never
// open again.
func within(bucket zinniayoke.Rank, share float64) zinniayoke.Rank {
	const width = 1 << bucketShift
	closed := zinniayoke.Rank((1 - max(share, 0)) * width)
	return bucket<<bucketShift + closed
}
