package zyadmission

import (
	"slices"
	"time"

	"zinniayoke"
)

const (
	thresholdWindow = 50 * time.Millisecond
	standingDelay   = 20 * time.Millisecond
	// overfill is how much more than it can serve a worker lets come, so that it
	// never idles while others are refused.
	overfill     = 1.1
	leastUse     = 0.3
	rateWeight   = 0.2
	demandDecay  = 0.9
	closedDecay  = 0.98
	bucketShift  = 12
	fewestDemand = 1e-3
)

// Threshold finds the lowest rank that a worker can serve now: the one above
// which as many calls arrive as it has served lately, corrected for the room
// that it had. A Threshold must be made with NewThreshold.
type Threshold struct {
	value   zinniayoke.Rank
	demand  map[zinniayoke.Rank]float64
	arrived map[zinniayoke.Rank]int

	begin time.Time
	shed  int
	total int
	// served is the average number of calls that were admitted in a window.
	served float64
	// use is the average share of the limit that was running.
	use     float64
	busy    float64
	changed time.Time
	level   float64
	// shortest is the shortest wait of the calls that started in the window.
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

// CountArrival counts the arrival of a call.
func (t *Threshold) CountArrival(now time.Time, r zinniayoke.Rank) {
	t.Tick(now)
	t.arrived[r>>bucketShift]++
	t.total++
}

// CountShed counts a call that was refused for lack of room.
func (t *Threshold) CountShed(now time.Time) {
	t.Tick(now)
	t.shed++
}

// ObserveWait notes how long a call has waited before it started.
func (t *Threshold) ObserveWait(d time.Duration) {
	if !t.waited || d < t.shortest {
		t.shortest = d
	}
	t.waited = true
}

// SetUtilization notes which share of the limit runs from now on.
func (t *Threshold) SetUtilization(now time.Time, share float64) {
	t.Tick(now)
	t.busy += t.level * now.Sub(t.changed).Seconds()
	t.changed = now
	t.level = share
}

// Tick closes the window if it has ended.
func (t *Threshold) Tick(now time.Time) {
	if t.begin.IsZero() {
		t.begin, t.changed = now, now
		return
	}
	length := now.Sub(t.begin)
	if length < thresholdWindow {
		return
	}
	t.busy += t.level * now.Sub(t.changed).Seconds()
	t.changed = now
	windows := float64(length) / float64(thresholdWindow)
	t.average(float64(t.total-min(t.shed, t.total))/windows, t.busy/length.Seconds())
	t.remember()
	t.move()
	t.begin = now
	t.shed, t.total, t.busy, t.waited, t.shortest = 0, 0, 0, false, 0
	clear(t.arrived)
}

func (t *Threshold) average(served, use float64) {
	t.served += rateWeight * (served - t.served)
	t.use += rateWeight * (use - t.use)
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

// move sets the threshold so that the demand above it fits. It starts from what
// was served, not from the last threshold, so that a change which has not
// reached the senders yet is not made twice.
func (t *Threshold) move() {
	overloaded := t.shed > 0 || t.waited && t.shortest > standingDelay
	if !overloaded && t.value == 0 {
		return
	}
	room := t.served / min(max(t.use, leastUse), 1)
	t.value = t.admitting(room * overfill)
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
