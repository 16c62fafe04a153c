package zyexperiment

import (
	"slices"
	"time"
)

// Result holds the measurements of one simulation.
type Result struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Depth    int     `json:"depth"`
	Capacity float64 `json:"capacity"`
	// Goodput is the rate of successful root calls in the stress phase, as a share
	// of the bottleneck's capacity or the offered load, whichever is less.
	Goodput float64 `json:"goodput"`
	// SuccessByClass is the share of each class's root calls in the stress phase
	// that succeeded.
	SuccessByClass map[string]float64 `json:"byClass"`
	// NonGreedySuccess is the same share for all callers but the first of each
	// workload, which is the one that may be greedy.
	NonGreedySuccess float64 `json:"others"`
	// WastedShare is the share of worker time in the stress phase that was spent on
	// root calls that failed.
	WastedShare float64 `json:"wasted"`
	// RecoverySeconds is the time from the end of the stress phase until success
	// rate and latency are back near the baseline; -1 means that the simulation
	// ended first.
	RecoverySeconds    float64 `json:"recoverySeconds"`
	BaselineFailures   float64 `json:"calmShed"`
	BaselineP99Ms      float64 `json:"calmP99Ms"`
	MaxAttempts        int     `json:"mostAttempts"`
	PriorityInversions int     `json:"inversions"`
	// GoodputSeries holds the successful calls per second, by the interval in which
	// the call started. An interval is a tenth of a second.
	GoodputSeries []float64 `json:"-"`
}

const intervalLength = 100 * time.Millisecond

// stats collects the measurements of a simulation.
type stats struct {
	sim         *simulation
	intervals   []intervalStats
	classes     map[string]*callCounts
	usefulTime  time.Duration
	wastedTime  time.Duration
	maxAttempts int
	inversions  int
	nonGreedy   callCounts
}

type intervalStats struct {
	sent, succeeded int
	latencies       []time.Duration
}

type callCounts struct {
	sent, succeeded int
}

func newStats(sim *simulation) *stats {
	total := sim.scenario.Baseline + sim.scenario.Stress + sim.scenario.Recovery
	return &stats{sim: sim, intervals: make([]intervalStats, total/intervalLength+1), classes: make(map[string]*callCounts)}
}

func (s *stats) intervalAt(at time.Time) *intervalStats {
	return &s.intervals[min(int(at.Sub(startTime)/intervalLength), len(s.intervals)-1)]
}

// inMeasuredStress reports whether a time is in the stress phase, without its first
// second, in which the effects set in.
func (s *stats) inMeasuredStress(at time.Time) bool {
	t, sc := at.Sub(startTime), s.sim.scenario
	return t >= sc.Baseline+time.Second && t < sc.Baseline+sc.Stress
}

func (s *stats) recordRootStart(rt *rootCall) {
	s.intervalAt(rt.startedAt).sent++
	if !s.inMeasuredStress(rt.startedAt) {
		return
	}
	s.class(rt.workload.Class).sent++
	if rt.caller > 0 {
		s.nonGreedy.sent++
	}
}

func (s *stats) class(name string) *callCounts {
	c, ok := s.classes[name]
	if !ok {
		c = &callCounts{}
		s.classes[name] = c
	}
	return c
}

// recordRootEnd records the result of a root call after its last retry.
func (s *stats) recordRootEnd(rt *rootCall, ok bool) {
	if !ok {
		return
	}
	interval := s.intervalAt(rt.startedAt)
	interval.succeeded++
	interval.latencies = append(interval.latencies, s.sim.clock.now.Sub(rt.startedAt))
	if !s.inMeasuredStress(rt.startedAt) {
		return
	}
	s.class(rt.workload.Class).succeeded++
	if rt.caller > 0 {
		s.nonGreedy.succeeded++
	}
}

// recordWorkerTime records the worker time of a request that has ended.
func (s *stats) recordWorkerTime(c *simRequest, ok bool) {
	s.maxAttempts = max(s.maxAttempts, c.attemptsSent)
	if !s.inMeasuredStress(s.sim.clock.now) {
		return
	}
	if ok {
		s.usefulTime += c.workerTime
	} else {
		s.wastedTime += c.workerTime
	}
}

// recordShed counts a priority inversion if an attempt is shed while a less
// important one waits.
func (s *stats) recordShed(a *simAttempt, waiting []*simAttempt) {
	for _, other := range waiting {
		if other.call.rootCall.workload.Importance < a.call.rootCall.workload.Importance {
			s.inversions++
			return
		}
	}
}

func (s *stats) result() Result {
	sc := s.sim.scenario
	capacity := float64(sc.BottleneckSlots*domainCount) / bottleneckServiceTime.Seconds()
	r := Result{
		Scenario: sc.Name, Policy: s.sim.policy.String(), Depth: sc.Depth, Capacity: capacity,
		SuccessByClass: make(map[string]float64), MaxAttempts: s.maxAttempts, PriorityInversions: s.inversions,
	}
	seconds := (sc.Stress - time.Second).Seconds()
	sent, succeeded := 0, 0
	for name, c := range s.classes {
		sent += c.sent
		succeeded += c.succeeded
		r.SuccessByClass[name] = ratio(c.succeeded, c.sent)
	}
	r.Goodput = float64(succeeded) / seconds / min(s.stressCapacity(capacity), float64(sent)/seconds)
	r.NonGreedySuccess = ratio(s.nonGreedy.succeeded, s.nonGreedy.sent)
	if total := s.usefulTime + s.wastedTime; total > 0 {
		r.WastedShare = s.wastedTime.Seconds() / total.Seconds()
	}
	s.measureBaseline(&r)
	r.RecoverySeconds = s.recoverySeconds(&r)
	for _, interval := range s.intervals {
		r.GoodputSeries = append(r.GoodputSeries, float64(interval.succeeded)/intervalLength.Seconds())
	}
	return r
}

// stressCapacity returns the capacity of the bottleneck in the stress phase.
func (s *stats) stressCapacity(capacity float64) float64 {
	if s.sim.scenario.BottleneckSlowdown > 1 {
		capacity /= s.sim.scenario.BottleneckSlowdown
	}
	if s.sim.scenario.DomainOutage {
		capacity *= float64(domainCount-1) / domainCount
	}
	return capacity
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(part) / float64(total)
}

// measureBaseline measures the baseline phase without its first and last second.
func (s *stats) measureBaseline(r *Result) {
	sent, succeeded := 0, 0
	var latencies []time.Duration
	for _, interval := range s.intervals[10 : s.sim.scenario.Baseline/intervalLength-10] {
		sent += interval.sent
		succeeded += interval.succeeded
		latencies = append(latencies, interval.latencies...)
	}
	r.BaselineFailures = 1 - ratio(succeeded, sent)
	r.BaselineP99Ms = p99(latencies).Seconds() * 1000
}

func p99(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// recoverySeconds returns the time from the end of the stress phase to the first
// half second in which the share of successful calls is at least 99% of the baseline
// and the p99 latency at most 1.5 times the baseline.
func (s *stats) recoverySeconds(r *Result) float64 {
	const window = 5
	first := int((s.sim.scenario.Baseline + s.sim.scenario.Stress) / intervalLength)
	last := len(s.intervals) - int(rootTimeout/intervalLength) - 1
	for i := first; i+window < last; i++ {
		sent, succeeded := 0, 0
		var latencies []time.Duration
		for _, interval := range s.intervals[i : i+window] {
			sent += interval.sent
			succeeded += interval.succeeded
			latencies = append(latencies, interval.latencies...)
		}
		if ratio(succeeded, sent) >= 0.99*(1-r.BaselineFailures) && p99(latencies).Seconds()*1000 <= 1.5*r.BaselineP99Ms {
			return float64(i-first) * intervalLength.Seconds()
		}
	}
	return -1
}
