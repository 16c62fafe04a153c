// Package zybalancer chooses the upstream for an attempt. It prefers the node's own
// failure domain, then its region, then other regions, weighing load against
// distance; within each of these it takes the better of two random upstreams. It
// also limits the bytes sent to other regions.
package zybalancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyevenload"
)

// Config configures a Picker.
type Config struct {
	Locality zinniayoke.Locality
	Resolver zinniayoke.Resolver
	Random   *rand.Rand
	// Links limits the bytes sent to other regions; nil means no limit.
	Links *LinkBudget
	// CrossRegionPenalty is the extra load, as a multiple of the concurrency limit,
	// that an upstream in the own region may have before a call goes to another
	// region; 0 means 1.
	CrossRegionPenalty float64
}

const (
	// failuresToEject is how many consecutive failures eject an upstream.
	failuresToEject = 3
	// The ejection time doubles with each ejection until the next success.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 10 * time.Second
	// At most one in maxEjectedDivisor upstreams of a service stays ejected.
	maxEjectedDivisor = 3
	// thresholdTTL is how long a reported threshold is valid.
	thresholdTTL = 200 * time.Millisecond
	// latencyWeight is the weight of a new sample in the average latency.
	latencyWeight = 0.2
	// tierCount counts the tiers: own domain, own region, other regions.
	tierCount = 3
	// A penalty is in units of load: the additional share of a worker's concurrency
	// limit that may be in use in a nearer tier before a call goes further away.
	crossDomainPenalty        = 0.2
	defaultCrossRegionPenalty = 1.0
	// Below comfortableLoad no call has to wait, so differences in load hardly
	// matter there.
	comfortableLoad = 0.6
	// loadTTL is how long a reported load is valid.
	loadTTL = 1 * time.Second
	// slowWeight is the load added to the score of an upstream for each multiple of
	// the lowest latency beyond slowFactor. Workers of one service differ by a factor of 3.
	slowFactor = 3.0
	slowWeight = 0.15
	// latencyTTL is how long a measured latency is valid, so that a slow upstream is
	// tried again after it.
	latencyTTL = 2 * time.Second
)

// Picker picks upstreams by what this node observed of each of them. It is safe
// for concurrent use. A Picker must be created with New.
type Picker struct {
	cfg   Config
	mu    sync.Mutex
	nodes map[zinniayoke.NodeID]*upstreamStats
	// lowestLatency is the lowest latency among the upstreams of the service being
	// picked.
	lowestLatency time.Duration
	// tiers and scratch are buffers of PickEven.
	tiers   tierSet
	scratch []evenCandidate
	// eligible, accepting and tier are the lists of the current pick. They are kept, because a
	// copy of 25 upstreams for each list takes 24 KB a pick.
	eligible, accepting, tier []candidate
}

// candidate is an upstream in a list of the resolver, with its statistics or nil.
type candidate struct {
	*zinniayoke.Upstream
	stats *upstreamStats
}

// upstreamStats is what this node observed of an upstream.
type upstreamStats struct {
	inFlight int
	latency  time.Duration
	// failures counts consecutive failures since the last success or ejection.
	failures     int
	ejectionTime time.Duration
	ejectedUntil time.Time
	// threshold and load were reported by the last reply, at repliedAt.
	threshold zinniayoke.Rank
	repliedAt time.Time
	load      int
	usedAt    time.Time
	// unanswered counts the attempts sent since the last reply, the first of them at
	// unansweredSince.
	unanswered      int
	unansweredSince time.Time
	// succeededAt is when the latency was last updated.
	succeededAt time.Time
	// estimate is the load by reports, for PickEven.
	estimate zyevenload.Estimate
	// turn is the part of a call that PickEven owes the upstream.
	turn float64
}

// New returns a picker without observations.
func New(cfg Config) *Picker {
	if cfg.CrossRegionPenalty == 0 {
		cfg.CrossRegionPenalty = defaultCrossRegionPenalty
	}
	return &Picker{cfg: cfg, nodes: make(map[zinniayoke.NodeID]*upstreamStats)}
}

// Pick returns an upstream of the service that is not excluded. It prefers
// upstreams that accept the rank, and returns false if there is no upstream at
// all.
func (p *Picker) Pick(now time.Time, s zinniayoke.Service, r zinniayoke.Rank, exclude []zinniayoke.NodeID) (zinniayoke.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setEligible(now, p.cfg.Resolver.Upstreams(s), exclude)
	p.setAccepting(now, r)
	if u, ok := p.best(now, p.accepting); ok {
		return *u.Upstream, true
	}
	u, ok := p.best(now, p.eligible)
	if !ok {
		return zinniayoke.Upstream{}, false
	}
	return *u.Upstream, true
}

// best takes the better of two upstreams in each tier and weighs their load
// against the penalty of the tier, so that calls move to the next tier before
// their own failure domain is full.
func (p *Picker) best(now time.Time, all []candidate) (candidate, bool) {
	var best candidate
	lowest, found := 0.0, false
	for tier, penalty := range [tierCount]float64{0, crossDomainPenalty, p.cfg.CrossRegionPenalty} {
		u, ok := p.betterOfTwo(now, p.inTier(all, tier))
		if !ok {
			continue
		}
		if score := p.score(now, u) + penalty; !found || score < lowest {
			best, lowest, found = u, score, true
		}
	}
	return best, found
}

// setEligible sets the list of eligible upstreams and the lowest latency. It leaves out
// upstreams that are draining, gone, excluded, ejected or behind a link without capacity. It
// keeps the ejected ones if there is no other or if more than a third of the service is
// ejected.
func (p *Picker) setEligible(now time.Time, all []zinniayoke.Upstream, exclude []zinniayoke.NodeID) {
	list, ejected := p.eligible[:0], p.tier[:0]
	p.lowestLatency = 0
	for i := range all {
		u := candidate{Upstream: &all[i], stats: p.nodes[all[i].Node]}
		p.observeLatency(now, u.stats)
		if !p.usable(now, u.Upstream, exclude) {
			continue
		}
		if u.stats != nil && now.Before(u.stats.ejectedUntil) {
			ejected = append(ejected, u)
			continue
		}
		list = append(list, u)
	}
	if len(ejected) > 0 && (len(list) == 0 || len(ejected)*maxEjectedDivisor > len(all)) {
		list = append(list, ejected...)
	}
	p.eligible, p.tier = list, ejected
}

// HasUpstream reports whether Pick would find an upstream.
func (p *Picker) HasUpstream(now time.Time, s zinniayoke.Service, exclude []zinniayoke.NodeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.cfg.Resolver.Upstreams(s)
	for i := range all {
		if p.usable(now, &all[i], exclude) {
			return true
		}
	}
	return false
}

// usable reports whether the upstream may get calls, unless it is ejected.
func (p *Picker) usable(now time.Time, u *zinniayoke.Upstream, exclude []zinniayoke.NodeID) bool {
	serves := u.State != zinniayoke.WorkerDraining && u.State != zinniayoke.WorkerGone
	return serves && p.reachable(now, u) && !slices.Contains(exclude, u.Node)
}

// reachable reports whether the link to the upstream's region has capacity.
func (p *Picker) reachable(now time.Time, u *zinniayoke.Upstream) bool {
	same := u.Locality.Region == p.cfg.Locality.Region
	return same || p.cfg.Links == nil || p.cfg.Links.HasCapacity(now, u.Locality.Region)
}

// inTier returns the upstreams of a tier. The list is valid until the next call.
func (p *Picker) inTier(all []candidate, tier int) []candidate {
	list := p.tier[:0]
	for _, u := range all {
		if p.tierOf(u.Upstream) == tier {
			list = append(list, u)
		}
	}
	p.tier = list
	return list
}

func (p *Picker) tierOf(u *zinniayoke.Upstream) int {
	switch {
	case u.Locality.Domain == p.cfg.Locality.Domain:
		return 0
	case u.Locality.Region == p.cfg.Locality.Region:
		return 1
	}
	return tierCount - 1
}

// setAccepting sets the list of eligible upstreams whose reported threshold is not above the
// rank.
func (p *Picker) setAccepting(now time.Time, r zinniayoke.Rank) {
	list := p.accepting[:0]
	for _, u := range p.eligible {
		if s := u.stats; s != nil && s.threshold > r && now.Sub(s.repliedAt) < thresholdTTL {
			continue
		}
		list = append(list, u)
	}
	p.accepting = list
}

// betterOfTwo returns the one of two random upstreams with the lower score.
func (p *Picker) betterOfTwo(now time.Time, list []candidate) (candidate, bool) {
	if len(list) == 0 {
		return candidate{}, false
	}
	a := list[p.cfg.Random.IntN(len(list))]
	b := list[p.cfg.Random.IntN(len(list))]
	if p.score(now, b) < p.score(now, a) {
		return b, true
	}
	return a, true
}

// score estimates the wait at an upstream from this node's attempts in flight, the
// load in the last reply and the latency.
func (p *Picker) score(now time.Time, u candidate) float64 {
	const percent = 100
	s := u.stats
	if s == nil {
		return 0
	}
	slots := float64(max(u.Slots, 1))
	score := float64(s.inFlight) / slots
	if now.Sub(s.repliedAt) < loadTTL {
		score = max(score, float64(s.load)/percent)
	}
	return max(score-comfortableLoad, 0) + score*tieWeight + p.slowness(now, s)
}

// tieWeight makes the less loaded of two upstreams below comfortableLoad win.
const tieWeight = 0.1

// slowness returns the load to add for a latency far above the lowest one.
func (p *Picker) slowness(now time.Time, s *upstreamStats) float64 {
	if p.lowestLatency <= 0 || s.latency <= 0 || now.Sub(s.succeededAt) > latencyTTL {
		return 0
	}
	return slowWeight * max(float64(s.latency)/float64(p.lowestLatency)-slowFactor, 0)
}

// observeLatency lowers the lowest latency to that of an upstream with valid statistics.
func (p *Picker) observeLatency(now time.Time, s *upstreamStats) {
	if s == nil || s.latency <= 0 || now.Sub(s.succeededAt) > latencyTTL {
		return
	}
	if p.lowestLatency == 0 || s.latency < p.lowestLatency {
		p.lowestLatency = s.latency
	}
}

// Start records that an attempt is sent to a node. Each Start must be followed by
// one call of Replied, Lost or Abandoned.
func (p *Picker) Start(now time.Time, id zinniayoke.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.statsOf(now, id)
	s.inFlight++
	if s.unanswered == 0 {
		s.unansweredSince = now
	}
	s.unanswered++
	s.estimate.Sent()
}

// Replied records the reply to an attempt and the time that it took.
func (p *Picker) Replied(now time.Time, id zinniayoke.NodeID, took time.Duration, r *zinniayoke.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.statsOf(now, id)
	s.inFlight--
	s.threshold = r.Threshold
	s.load = r.Load
	s.repliedAt = now
	s.unanswered = 0
	switch r.Outcome {
	case zinniayoke.OutcomeDone:
		s.failures = 0
		s.ejectionTime = 0
		if s.latency == 0 || now.Sub(s.succeededAt) > latencyTTL {
			s.latency = took
		}
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
		s.succeededAt = now
	case zinniayoke.OutcomeUnknown:
		s.countFailure(now)
	case zinniayoke.OutcomeNotRun:
		if r.Reason == zinniayoke.ReasonNoUpstream || r.Reason == zinniayoke.ReasonDraining {
			s.countFailure(now)
		}
	}
}

// Lost records that an attempt got no reply.
func (p *Picker) Lost(now time.Time, id zinniayoke.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.statsOf(now, id)
	s.inFlight--
	s.countFailure(now)
}

// Abandoned records that the sender no longer waits for the reply to an attempt.
func (p *Picker) Abandoned(now time.Time, id zinniayoke.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statsOf(now, id).inFlight--
}

// countFailure counts a failure and ejects the upstream after failuresToEject.
func (s *upstreamStats) countFailure(now time.Time) {
	s.failures++
	if s.failures < failuresToEject {
		return
	}
	s.eject(now)
}

func (s *upstreamStats) eject(now time.Time) {
	s.failures = 0
	s.ejectionTime = min(max(s.ejectionTime*2, minEjectionTime), maxEjectionTime)
	s.ejectedUntil = now.Add(s.ejectionTime)
}

func (p *Picker) statsOf(now time.Time, id zinniayoke.NodeID) *upstreamStats {
	s, ok := p.nodes[id]
	if !ok {
		s = &upstreamStats{}
		p.nodes[id] = s
	}
	s.usedAt = now
	return s
}

// Sweep drops the observations of upstreams that were not used for 5 minutes.
func (p *Picker) Sweep(now time.Time) {
	const keep = 5 * time.Minute
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.nodes {
		if s.inFlight == 0 && now.Sub(s.usedAt) > keep {
			delete(p.nodes, id)
		}
	}
}
