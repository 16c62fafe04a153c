package zyexperiment

import (
	"slices"
	"time"
)

// Result is what a run has come to.
type Result struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Depth    int     `json:"depth"`
	Capacity float64 `json:"capacity"`
	// Goodput is whole requests a second under pressure as a share of what the
	// bottleneck can serve or what is asked for, whichever is less.
	Goodput float64 `json:"goodput"`
	// SuccessByClass is the share of each class's calls that were answered whole under
	// pressure.
	SuccessByClass map[string]float64 `json:"byClass"`
	// NonGreedySuccess is the share of whole calls of the callers that are not greedy.
	NonGreedySuccess float64 `json:"others"`
	// WastedShare is the share of worker time under pressure spent on calls that failed.
	WastedShare float64 `json:"wasted"`
	// RecoverySeconds is in seconds after the pressure has passed; -1 means not in the run.
	RecoverySeconds    float64 `json:"recoverySeconds"`
	BaselineFailures   float64 `json:"calmShed"`
	BaselineP99Ms      float64 `json:"calmP99Ms"`
	MaxAttempts        int     `json:"mostAttempts"`
	PriorityInversions int     `json:"inversions"`
	// GoodputSeries holds whole calls a second for each tenth of a second.
	GoodputSeries []float64 `json:"-"`
}

const slotTime = 100 * time.Millisecond

// score keeps the figures of a run.
type score struct {
	run        *run
	slots      []slotScore
	classes    map[string]*classScore
	useful     time.Duration
	wasted     time.Duration
	attempts   int
	inversions int
	others     classScore
}

type slotScore struct {
	sent, whole int
	latency     []time.Duration
}

type classScore struct {
	sent, whole int
}

func newScore(r *run) *score {
	total := r.scenario.Baseline + r.scenario.Stress + r.scenario.Recovery
	return &score{run: r, slots: make([]slotScore, total/slotTime+1), classes: make(map[string]*classScore)}
}

func (s *score) slotOf(at time.Time) *slotScore {
	return &s.slots[min(int(at.Sub(start)/slotTime), len(s.slots)-1)]
}

// inPressure reports whether a call began under pressure, once its effects
// have set in.
func (s *score) inPressure(at time.Time) bool {
	t, sc := at.Sub(start), s.run.scenario
	return t >= sc.Baseline+time.Second && t < sc.Baseline+sc.Stress
}

func (s *score) sent(rt *root) {
	s.slotOf(rt.began).sent++
	if !s.inPressure(rt.began) {
		return
	}
	s.class(rt.load.Class).sent++
	if rt.caller > 0 {
		s.others.sent++
	}
}

func (s *score) class(name string) *classScore {
	c, ok := s.classes[name]
	if !ok {
		c = &classScore{}
		s.classes[name] = c
	}
	return c
}

// ended notes the end of a call, its re-sends included.
func (s *score) ended(rt *root, ok bool) {
	if !ok {
		return
	}
	slot := s.slotOf(rt.began)
	slot.whole++
	slot.latency = append(slot.latency, s.run.clock.now.Sub(rt.began))
	if !s.inPressure(rt.began) {
		return
	}
	s.class(rt.load.Class).whole++
	if rt.caller > 0 {
		s.others.whole++
	}
}

// spent notes the worker time of one send, which is over.
func (s *score) spent(c *simCall, ok bool) {
	s.attempts = max(s.attempts, c.sends)
	if !s.inPressure(s.run.clock.now) {
		return
	}
	if ok {
		s.useful += c.work
	} else {
		s.wasted += c.work
	}
}

// shed notes that an attempt was refused while others wait.
func (s *score) shed(a *simAttempt, waiting []*simAttempt) {
	for _, other := range waiting {
		if other.call.root.load.Importance < a.call.root.load.Importance {
			s.inversions++
			return
		}
	}
}

func (s *score) result() Result {
	sc := s.run.scenario
	capacity := float64(sc.BottleneckSlots*domains) / deepTime.Seconds()
	r := Result{
		Scenario: sc.Name, Policy: s.run.policy.String(), Depth: sc.Depth, Capacity: capacity,
		SuccessByClass: make(map[string]float64), MaxAttempts: s.attempts, PriorityInversions: s.inversions,
	}
	seconds := (sc.Stress - time.Second).Seconds()
	sent, whole := 0, 0
	for name, c := range s.classes {
		sent += c.sent
		whole += c.whole
		r.SuccessByClass[name] = share(c.whole, c.sent)
	}
	r.Goodput = float64(whole) / seconds / min(s.pressureCapacity(capacity), float64(sent)/seconds)
	r.NonGreedySuccess = share(s.others.whole, s.others.sent)
	if total := s.useful + s.wasted; total > 0 {
		r.WastedShare = s.wasted.Seconds() / total.Seconds()
	}
	s.calm(&r)
	r.RecoverySeconds = s.recovery(&r)
	for _, slot := range s.slots {
		r.GoodputSeries = append(r.GoodputSeries, float64(slot.whole)/slotTime.Seconds())
	}
	return r
}

// pressureCapacity is what the bottleneck can serve under pressure.
func (s *score) pressureCapacity(capacity float64) float64 {
	if s.run.scenario.BottleneckSlowdown > 1 {
		capacity /= s.run.scenario.BottleneckSlowdown
	}
	if s.run.scenario.DomainOutage {
		capacity *= float64(domains-1) / domains
	}
	return capacity
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// calm measures the phase before the pressure, after its first second.
func (s *score) calm(r *Result) {
	sent, whole := 0, 0
	var latency []time.Duration
	for _, slot := range s.slots[10 : s.run.scenario.Baseline/slotTime-10] {
		sent += slot.sent
		whole += slot.whole
		latency = append(latency, slot.latency...)
	}
	r.BaselineFailures = 1 - share(whole, sent)
	r.BaselineP99Ms = tail(latency).Seconds() * 1000
}

func tail(latency []time.Duration) time.Duration {
	if len(latency) == 0 {
		return 0
	}
	slices.Sort(latency)
	return latency[len(latency)*99/100]
}

// recovery is the time after the pressure from which on, for half a second, the
// share of whole calls is 99% of the earlier one and their p99 within 1.5 times.
func (s *score) recovery(r *Result) float64 {
	const lasting = 5
	from := int((s.run.scenario.Baseline + s.run.scenario.Stress) / slotTime)
	last := len(s.slots) - int(rootTimeout/slotTime) - 1
	for i := from; i+lasting < last; i++ {
		sent, whole := 0, 0
		var latency []time.Duration
		for _, slot := range s.slots[i : i+lasting] {
			sent += slot.sent
			whole += slot.whole
			latency = append(latency, slot.latency...)
		}
		if share(whole, sent) >= 0.99*(1-r.BaselineFailures) && tail(latency).Seconds()*1000 <= 1.5*r.BaselineP99Ms {
			return float64(i-from) * slotTime.Seconds()
		}
	}
	return -1
}
