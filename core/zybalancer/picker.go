// Package zybalancer chooses the upstream for an attempt: the own failure domain
// first, then the region, then beyond; within one of these the better of two.
package zybalancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniayoke"
)

// Config configures a Picker.
type Config struct {
	Locality zinniayoke.Locality
	Resolver zinniayoke.Resolver
	Random   *rand.Rand
	// Links bounds what goes to other regions; nil means no bound.
	Links *LinkBudget
	// CrossRegionPenalty is how many times its limit an upstream of the own region may be loaded
	// more than one of another region before the call goes there; 0 means once.
	CrossRegionPenalty float64
}

const (
	failuresToSetAside = 3
	shortestSetAside   = 500 * time.Millisecond
	longestSetAside    = 10 * time.Second
	mostSetAside       = 3
	thresholdAge       = 200 * time.Millisecond
	latencyWeight      = 0.2
	tiers              = 3
	// Distances count as load: the share of a worker's limit that a call may find
	// busy nearby before it goes further.
	regionDistance = 0.2
	beyondDistance = 1.0
	// Below comfortable load no call waits, so that less of it draws no calls away.
	comfortable = 0.6
	// loadAge is how long a told load counts.
	loadAge = 1 * time.Second
	// An upstream that is so many times slower than the fastest seems slowWeight
	// more loaded for each time beyond. Workers of one service differ by 3 times.
	slowFactor = 3.0
	slowWeight = 0.15
	// slowAge is how long a slow upstream is believed slow without a new answer.
	slowAge = 2 * time.Second
)

// Picker keeps what this node observed of each upstream. It may be used by
// several goroutines. A Picker must be made with New.
type Picker struct {
	cfg   Config
	mu    sync.Mutex
	nodes map[zinniayoke.NodeID]*observed
	// fastest is the shortest latency among those that are chosen from.
	fastest time.Duration
}

type observed struct {
	inFlight  int
	latency   time.Duration
	failures  int
	asideFor  time.Duration
	asideTill time.Time
	threshold zinniayoke.Rank
	told      time.Time
	load      int
	used      time.Time
	answered  time.Time
}

// New returns a picker without observations.
func New(cfg Config) *Picker {
	if cfg.CrossRegionPenalty == 0 {
		cfg.CrossRegionPenalty = beyondDistance
	}
	return &Picker{cfg: cfg, nodes: make(map[zinniayoke.NodeID]*observed)}
}

// Pick returns an upstream of the service that is not excluded. It returns
// false where there is none.
func (p *Picker) Pick(now time.Time, s zinniayoke.Service, r zinniayoke.Rank, exclude []zinniayoke.NodeID) (zinniayoke.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setFastest(now, p.cfg.Resolver.Upstreams(s))
	all := p.usable(now, p.cfg.Resolver.Upstreams(s), exclude)
	if u, ok := p.nearest(now, p.withRoom(now, r, all)); ok {
		return u, true
	}
	return p.nearest(now, all)
}

// nearest takes the better of two in each tier and weighs their load against
// the distance, so that calls move on before their own failure domain is full.
func (p *Picker) nearest(now time.Time, all []zinniayoke.Upstream) (zinniayoke.Upstream, bool) {
	var best zinniayoke.Upstream
	lowest, found := 0.0, false
	for tier, distance := range []float64{0, regionDistance, p.cfg.CrossRegionPenalty} {
		u, ok := p.better(now, p.inTier(all, tier))
		if !ok {
			continue
		}
		if score := p.score(now, u) + distance; !found || score < lowest {
			best, lowest, found = u, score, true
		}
	}
	return best, found
}

// usable leaves out what drains, is excluded or was set aside. Of those set
// aside, at most a third of the service stays out.
func (p *Picker) usable(now time.Time, all []zinniayoke.Upstream, exclude []zinniayoke.NodeID) []zinniayoke.Upstream {
	var list, aside []zinniayoke.Upstream
	for _, u := range all {
		if !p.reachable(now, u) {
			continue
		}
		if u.State == zinniayoke.WorkerDraining || u.State == zinniayoke.WorkerGone || slices.Contains(exclude, u.Node) {
			continue
		}
		if o, ok := p.nodes[u.Node]; ok && now.Before(o.asideTill) {
			aside = append(aside, u)
			continue
		}
		list = append(list, u)
	}
	if len(aside) > 0 && (len(list) == 0 || len(aside)*mostSetAside > len(all)) {
		return append(list, aside...)
	}
	return list
}

// reachable reports whether the link to the upstream's region has room.
func (p *Picker) reachable(now time.Time, u zinniayoke.Upstream) bool {
	same := u.Locality.Region == p.cfg.Locality.Region
	return same || p.cfg.Links == nil || p.cfg.Links.HasCapacity(now, u.Locality.Region)
}

func (p *Picker) inTier(all []zinniayoke.Upstream, tier int) []zinniayoke.Upstream {
	var list []zinniayoke.Upstream
	for _, u := range all {
		if p.tierOf(u) == tier {
			list = append(list, u)
		}
	}
	return list
}

func (p *Picker) tierOf(u zinniayoke.Upstream) int {
	switch {
	case u.Locality.Domain == p.cfg.Locality.Domain:
		return 0
	case u.Locality.Region == p.cfg.Locality.Region:
		return 1
	}
	return tiers - 1
}

// withRoom leaves out the upstreams that would refuse the rank now.
func (p *Picker) withRoom(now time.Time, r zinniayoke.Rank, all []zinniayoke.Upstream) []zinniayoke.Upstream {
	var list []zinniayoke.Upstream
	for _, u := range all {
		o, ok := p.nodes[u.Node]
		if ok && o.threshold > r && now.Sub(o.told) < thresholdAge {
			continue
		}
		list = append(list, u)
	}
	return list
}

// better returns the one of two random candidates with the lower score.
func (p *Picker) better(now time.Time, list []zinniayoke.Upstream) (zinniayoke.Upstream, bool) {
	if len(list) == 0 {
		return zinniayoke.Upstream{}, false
	}
	a := list[p.cfg.Random.IntN(len(list))]
	b := list[p.cfg.Random.IntN(len(list))]
	if p.score(now, b) < p.score(now, a) {
		return b, true
	}
	return a, true
}

// score estimates the wait at an upstream from this node's own calls and from
// the load that came with the last answer.
func (p *Picker) score(now time.Time, u zinniayoke.Upstream) float64 {
	const percent = 100
	o, ok := p.nodes[u.Node]
	if !ok {
		return 0
	}
	slots := float64(max(u.Slots, 1))
	score := float64(o.inFlight) / slots
	if now.Sub(o.told) < loadAge {
		score = max(score, float64(o.load)/percent)
	}
	return max(score-comfortable, 0) + score*tieWeight + p.slowness(now, o)
}

// tieWeight lets the less loaded of two comfortable upstreams be chosen.
const tieWeight = 0.1

// slowness returns how much an upstream's answers lag behind the fastest one's.
func (p *Picker) slowness(now time.Time, o *observed) float64 {
	if p.fastest <= 0 || o.latency <= 0 || now.Sub(o.answered) > slowAge {
		return 0
	}
	return slowWeight * max(float64(o.latency)/float64(p.fastest)-slowFactor, 0)
}

// setFastest finds the shortest latency among the upstreams of a service.
func (p *Picker) setFastest(now time.Time, all []zinniayoke.Upstream) {
	p.fastest = 0
	for _, u := range all {
		o, ok := p.nodes[u.Node]
		if !ok || o.latency <= 0 || now.Sub(o.answered) > slowAge {
			continue
		}
		if p.fastest == 0 || o.latency < p.fastest {
			p.fastest = o.latency
		}
	}
}

// Start notes that an attempt goes out.
func (p *Picker) Start(now time.Time, id zinniayoke.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.observe(now, id)
	o.inFlight++
}

// Replied notes the reply to an attempt.
func (p *Picker) Replied(now time.Time, id zinniayoke.NodeID, took time.Duration, r *zinniayoke.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.observe(now, id)
	o.inFlight--
	o.threshold = r.Threshold
	o.load = r.Load
	o.told = now
	switch r.Outcome {
	case zinniayoke.OutcomeDone:
		o.failures = 0
		o.asideFor = 0
		if o.latency == 0 || now.Sub(o.answered) > slowAge {
			o.latency = took
		}
		o.latency += time.Duration(latencyWeight * float64(took-o.latency))
		o.answered = now
	case zinniayoke.OutcomeUnknown:
		o.fail(now)
	case zinniayoke.OutcomeNotRun:
		if r.Reason == zinniayoke.ReasonNoUpstream || r.Reason == zinniayoke.ReasonDraining {
			o.fail(now)
		}
	}
}

// Lost notes that no reply came.
func (p *Picker) Lost(now time.Time, id zinniayoke.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.observe(now, id)
	o.inFlight--
	o.fail(now)
}

// Abandoned notes that nobody waits for the reply any more.
func (p *Picker) Abandoned(now time.Time, id zinniayoke.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(now, id).inFlight--
}

func (o *observed) fail(now time.Time) {
	o.failures++
	if o.failures < failuresToSetAside {
		return
	}
	o.failures = 0
	o.asideFor = min(max(o.asideFor*2, shortestSetAside), longestSetAside)
	o.asideTill = now.Add(o.asideFor)
}

func (p *Picker) observe(now time.Time, id zinniayoke.NodeID) *observed {
	o, ok := p.nodes[id]
	if !ok {
		o = &observed{}
		p.nodes[id] = o
	}
	o.used = now
	return o
}

// Sweep forgets upstreams that were not used for a while.
func (p *Picker) Sweep(now time.Time) {
	const keep = 5 * time.Minute
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, o := range p.nodes {
		if o.inFlight == 0 && now.Sub(o.used) > keep {
			delete(p.nodes, id)
		}
	}
}
