package zybalancer

import (
	"fmt"
	"slices"
	"time"

	"zinniayoke"
)

// Exclusion is why an upstream does not get a call.
type Exclusion int

// The exclusions, in the order in which they are checked.
const (
	ExcludedNo Exclusion = iota
	ExcludedDraining
	ExcludedGone
	ExcludedLinkCapacity
	ExcludedEjected
	ExcludedThreshold
)

// UpstreamReport is what the picker knows about an upstream.
type UpstreamReport struct {
	Node     zinniayoke.NodeID      `json:"node"`
	Locality zinniayoke.Locality    `json:"place"`
	Distance zinniayoke.Distance    `json:"distance"`
	State    zinniayoke.WorkerState `json:"state"`
	// InFlight counts the calls of this node that the upstream has.
	InFlight int `json:"inFlight"`
	// Occupied is the expected number of calls that run and wait. Without even load it is the
	// higher of this node's calls and the load in the last reply.
	Occupied float64 `json:"occupied"`
	Limit    float64 `json:"limit"`
	// WaitMs is the expected wait; nil without even load.
	WaitMs *float64 `json:"waitMs,omitempty"`
	// Score is the load by which Pick compares upstreams, with the penalty for the distance;
	// nil with even load.
	Score *float64 `json:"score,omitempty"`
	// ReportAgeMs is the age of the last load report; nil if there was none.
	ReportAgeMs *float64  `json:"reportAgeMs,omitempty"`
	Excluded    Exclusion `json:"excluded"`
	// EjectedUntil is set while the upstream is ejected. It still gets calls if too many
	// upstreams are.
	EjectedUntil *time.Time      `json:"ejectedUntil,omitempty"`
	Threshold    zinniayoke.Rank `json:"threshold"`
	// Chance is the probability that the next call goes to the upstream. With even load it is
	// that of the assumption that upstreams not considered yet have the mean turn.
	Chance float64 `json:"chance"`
}

// Inspection describes the choice that the picker would make now.
type Inspection struct {
	Upstreams []UpstreamReport `json:"upstreams"`
	// Choice is the upstream that is most likely to be chosen, "" if there is none.
	Choice zinniayoke.NodeID `json:"choice,omitempty"`
	Reason string            `json:"reason"`
	// RedirectAfterMs is the expected wait above which the chosen upstream should refuse the
	// call as busy; 0 means that it should not.
	RedirectAfterMs float64 `json:"redirectAfterMs"`
}

// inspectedTurn is assumed of upstreams that PickEven has not considered yet. It is the mean of
// the random turn that they begin with.
const inspectedTurn = 0.5

// Inspect describes the first choice that PickEven, or Pick if even is false, would make now
// for a call that no node has refused. It decides on a copy and leaves turns, statistics and the random numbers of later choices as
// they are.
func (p *Picker) Inspect(now time.Time, r EvenRequest, even bool) Inspection {
	r.Redirects, r.Refused = 0, false
	all, c := p.copyFor(r.Service)
	in := Inspection{Upstreams: make([]UpstreamReport, len(all))}
	for i := range all {
		in.Upstreams[i] = c.report(now, &all[i])
	}
	if even {
		c.inspectEven(now, r, all, &in)
	} else {
		c.inspectPick(now, r, all, &in)
	}
	slices.SortStableFunc(in.Upstreams, func(a, b UpstreamReport) int { return int(a.Distance) - int(b.Distance) })
	return in
}

// fixedUpstreams is a resolver that knows one service.
type fixedUpstreams []zinniayoke.Upstream

// Upstreams returns the list.
func (u fixedUpstreams) Upstreams(zinniayoke.Service) []zinniayoke.Upstream { return u }

// copyFor returns the upstreams of a service, and a picker with copies of their statistics.
func (p *Picker) copyFor(s zinniayoke.Service) ([]zinniayoke.Upstream, *Picker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := slices.Clone(p.cfg.Resolver.Upstreams(s))
	c := &Picker{cfg: p.cfg, nodes: make(map[zinniayoke.NodeID]*upstreamStats, len(all))}
	c.cfg.Resolver, c.cfg.Random = fixedUpstreams(all), nil
	for i := range all {
		stats := upstreamStats{turn: inspectedTurn}
		if known, ok := p.nodes[all[i].Node]; ok {
			stats = *known
		}
		c.nodes[all[i].Node] = &stats
	}
	return all, c
}

// report returns what does not depend on the way of choosing.
func (p *Picker) report(now time.Time, u *zinniayoke.Upstream) UpstreamReport {
	s := p.nodes[u.Node]
	r := UpstreamReport{
		Node: u.Node, Locality: u.Locality, Distance: zinniayoke.DistanceBetween(p.cfg.Locality, u.Locality),
		State: u.State, InFlight: s.inFlight,
	}
	if now.Before(s.ejectedUntil) {
		r.EjectedUntil = &s.ejectedUntil
	}
	if now.Sub(s.repliedAt) < thresholdTTL {
		r.Threshold = s.threshold
	}
	switch {
	case u.State == zinniayoke.WorkerDraining:
		r.Excluded = ExcludedDraining
	case u.State == zinniayoke.WorkerGone:
		r.Excluded = ExcludedGone
	case !p.reachable(now, u):
		r.Excluded = ExcludedLinkCapacity
	case r.EjectedUntil != nil:
		r.Excluded = ExcludedEjected
	default:
		r.Excluded = ExcludedThreshold
	}
	return r
}

// inspectEven fills in the choice of PickEven. It must be called on a copy.
func (p *Picker) inspectEven(now time.Time, r EvenRequest, all []zinniayoke.Upstream, in *Inspection) {
	tiers := p.candidates(now, r)
	expected := make(map[zinniayoke.NodeID]evenCandidate, len(all))
	for tier := range tierCount {
		for _, c := range tiers.at(tier) {
			expected[c.Node] = c
		}
	}
	for i := range all {
		out := &in.Upstreams[i]
		c, ok := expected[all[i].Node]
		if ok {
			out.Excluded = ExcludedNo
		} else {
			c = evenCandidate{Upstream: &all[i], stats: p.nodes[all[i].Node]}
			use, speed := meanOf(now, tiers.lists[p.tierOf(&all[i])])
			if speed <= 0 {
				use, speed = meanOf(now, []evenCandidate{c})
			}
			c.expect(now, use, max(speed, 1e-3))
		}
		out.Occupied, out.Limit = c.occupied, c.limit
		out.WaitMs = new(milliseconds(c.wait()))
		if c.stats.estimate.Known() {
			out.ReportAgeMs = new(milliseconds(now.Sub(c.stats.estimate.ReportedAt())))
		}
	}
	choice, ok := p.PickEven(now, r)
	if !ok {
		in.Reason = noneUsable
		return
	}
	in.Choice, in.RedirectAfterMs = choice.Node, milliseconds(choice.RedirectAfter)
	tier := p.tierOf(&choice.Upstream)
	usable, unused := p.tiers.lists[tier], 0
	for _, c := range usable {
		if c.stats.usedAt.IsZero() {
			unused++
		}
	}
	in.Reason = fmt.Sprintf("its turn by free capacity and speed; usable at the nearest distance (%s): %d", zinniayoke.Distance(tier), len(usable))
	if unused > 0 {
		in.Reason += fmt.Sprintf(", of which %d have not been considered yet and begin with a random turn", unused)
	}
	for i := range in.Upstreams {
		if in.Upstreams[i].Node == choice.Node {
			in.Upstreams[i].Chance = 1
		}
	}
}

const noneUsable = "no worker of the service can get calls"

// inspectPick fills in the probabilities of the choices of Pick. It must be called on a copy.
func (p *Picker) inspectPick(now time.Time, r EvenRequest, all []zinniayoke.Upstream, in *Inspection) {
	const percent = 100
	p.setEligible(now, all, r.Exclude)
	p.setAccepting(now, r.Rank)
	usable := p.accepting
	if len(usable) == 0 {
		usable = p.eligible
	}
	penalties := [tierCount]float64{0, crossDomainPenalty, p.cfg.CrossRegionPenalty}
	var tiers [tierCount][]scored
	for i := range all {
		u, out := candidate{Upstream: &all[i], stats: p.nodes[all[i].Node]}, &in.Upstreams[i]
		tier := p.tierOf(u.Upstream)
		out.Score = new(p.score(now, u) + penalties[tier])
		out.Limit, out.Occupied = float64(max(u.Slots, 1)), float64(u.stats.inFlight)
		if !u.stats.repliedAt.IsZero() {
			out.ReportAgeMs = new(milliseconds(now.Sub(u.stats.repliedAt)))
		}
		if now.Sub(u.stats.repliedAt) < loadTTL {
			out.Occupied = max(out.Occupied, float64(u.stats.load)/percent*out.Limit)
		}
		if slices.ContainsFunc(usable, func(c candidate) bool { return c.Node == u.Node }) {
			out.Excluded = ExcludedNo
			tiers[tier] = append(tiers[tier], scored{out: out, score: *out.Score})
		}
	}
	setChances(&tiers)
	highest := 0.0
	for _, u := range in.Upstreams {
		if u.Chance > highest {
			in.Choice, highest = u.Node, u.Chance
		}
	}
	in.Reason = noneUsable
	if in.Choice != "" {
		in.Reason = fmt.Sprintf("most likely (%.0f%%): the lower score of two random workers of each distance, then the lowest over the distances", percent*highest)
	}
}

// scored is a usable upstream of a tier with its score and penalty.
type scored struct {
	out    *UpstreamReport
	score  float64
	chance float64
}

// setChances sets the probability that best chooses each upstream.
func setChances(tiers *[tierCount][]scored) {
	for _, list := range tiers {
		for i := range list {
			// As the first of two draws it wins unless the second is lower, as the second one
			// only if it is lower.
			wins := 0
			for j := range list {
				if list[j].score >= list[i].score {
					wins++
				}
				if list[j].score > list[i].score {
					wins++
				}
			}
			list[i].chance = float64(wins) / float64(len(list)*len(list))
		}
	}
	for tier, list := range tiers {
		for _, u := range list {
			u.out.Chance = u.chance
			for other, rivals := range tiers {
				if other != tier && len(rivals) > 0 {
					u.out.Chance *= chanceToBeat(u.score, rivals, tier < other)
				}
			}
		}
	}
}

// chanceToBeat returns the probability that the choice of another tier has a higher score, or
// an equal one if this tier is nearer.
func chanceToBeat(score float64, rivals []scored, nearer bool) float64 {
	sum := 0.0
	for _, r := range rivals {
		if r.score > score || nearer && r.score == score {
			sum += r.chance
		}
	}
	return sum
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
