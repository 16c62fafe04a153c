package zybalancer

import (
	"math"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyevenload"
)

const (
	// littleRoomShare is the share of a worker's limit below which its room counts less than in
	// proportion, maxExponent limits how much less.
	littleRoomShare = 0.1
	maxExponent     = 20
	// A call is redirected to a worker without expected room only if it has to wait
	// fullWaitFactor times as long as there, because such redirections gain little.
	fullWaitFactor = 2
	// workerSlotShare is the share of the announced slots that is assumed to be the limit of a
	// worker that no report is known of.
	workerSlotShare = 0.94
	// Round trips and the price of bytes are those of the platform's networks: 0.2 ms inside
	// a failure domain, 2 ms between domains of a region, 60 ms between regions.
	domainRoundTrip    = 200 * time.Microsecond
	regionRoundTrip    = 2 * time.Millisecond
	elsewhereRoundTrip = 60 * time.Millisecond
	// minRedirectWait is the expected wait above which a call is sent to another worker in the
	// same failure domain. It is several round trips, because a redirected call costs two
	// nodes another 0.1 ms of processor time.
	minRedirectWait = 1 * time.Millisecond
	// maxRedirects is how many nodes may refuse a call as busy. With one, what leaves a full
	// failure domain met long queues elsewhere, of which reports came seconds late: 1.0 s at
	// the 99th percentile instead of 0.3 s in the experiment with demand that oscillates.
	maxRedirects = 2
)

// EvenRequest describes the call for which PickEven chooses an upstream.
type EvenRequest struct {
	Service zinniayoke.Service
	Rank    zinniayoke.Rank
	Exclude []zinniayoke.NodeID
	// Tolerance is the wait that costs the call nothing. To leave the failure domain must
	// save more.
	Tolerance time.Duration
	// Redirects is how many nodes have refused the call because their worker is busy.
	Redirects int
}

// EvenChoice is an upstream chosen by PickEven.
type EvenChoice struct {
	zinniayoke.Upstream
	// RedirectAfter is the expected wait above which the upstream should refuse the call as
	// busy; 0 means that there is no better choice.
	RedirectAfter time.Duration
	// RoomNearby is true if another worker in the own failure domain is expected to have room.
	RoomNearby bool
}

// candidate is an upstream with its expected load.
type candidate struct {
	zinniayoke.Upstream
	limit, speed float64
	// occupied is the expected number of calls that run and wait, spread its uncertainty.
	occupied, spread float64
	holdTime         time.Duration
}

// room returns how many more calls the worker is expected to run at once.
func (c *candidate) room() float64 {
	return c.limit - c.occupied
}

// roomShare returns the room in relation to the limit.
func (c *candidate) roomShare() float64 {
	return c.room() / c.limit
}

// wait returns how long a call is expected to wait at the worker. Where as many calls as the
// limit are expected, some calls have to wait and others not.
func (c *candidate) wait() time.Duration {
	const certain = 3
	excess := c.occupied - c.limit + 1
	switch {
	case c.spread <= 0:
		excess = max(excess, 0)
	case excess < -certain*c.spread:
		return 0
	default:
		// The mean of the positive part of a normal distribution.
		z := excess / c.spread
		density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
		excess = c.spread*density + excess*math.Erfc(-z/math.Sqrt2)/2
	}
	return time.Duration(excess / c.limit * float64(c.holdTime))
}

// PickEven is Pick for the even distribution of load. The first choice is a worker of the
// nearest failure domain, drawn by expected room and speed. If that one is busy, the second
// choice is the worker with the lowest cost: the expected wait, the distance, and for leaving
// the failure domain the wait that the call tolerates.
func (p *Picker) PickEven(now time.Time, r EvenRequest) (EvenChoice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.eligible(now, p.cfg.Resolver.Upstreams(r.Service), r.Exclude)
	if accepting := p.accepting(now, r.Rank, list); len(accepting) > 0 {
		list = accepting
	}
	if len(list) == 0 {
		return EvenChoice{}, false
	}
	tiers := p.candidates(now, list)
	if r.Redirects > 0 {
		chosen := p.lowestCost(tiers, r.Tolerance)
		choice := EvenChoice{Upstream: chosen.Upstream, RoomNearby: roomBeside(tiers[0], chosen)}
		if r.Redirects < maxRedirects {
			choice.RedirectAfter = redirectAfter(tiers, p.tierOf(chosen.Upstream), chosen, r.Tolerance)
		}
		return choice, true
	}
	for tier, near := range tiers {
		if len(near) > 0 {
			chosen := p.nextByRoom(near)
			return EvenChoice{
				Upstream: chosen.Upstream, RedirectAfter: redirectAfter(tiers, tier, chosen, r.Tolerance), RoomNearby: roomBeside(tiers[0], chosen),
			}, true
		}
	}
	return EvenChoice{}, false
}

// roomBeside reports whether a candidate other than the chosen one is expected to have room.
func roomBeside(list []candidate, chosen *candidate) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.Node != chosen.Node && c.room() >= 1 })
}

// candidates returns the upstreams of each tier with their expected load.
func (p *Picker) candidates(now time.Time, list []zinniayoke.Upstream) [tierCount][]candidate {
	var tiers [tierCount][]candidate
	var means [tierCount]zyevenload.MeanUse
	for _, u := range list {
		tier := p.tierOf(u)
		tiers[tier] = append(tiers[tier], candidate{Upstream: u})
		if s, ok := p.nodes[u.Node]; ok && s.estimate.Known() {
			means[tier].Add(now, &s.estimate)
		}
	}
	for tier := range tiers {
		use := means[tier].Value()
		for i := range tiers[tier] {
			p.expect(now, &tiers[tier][i], use)
		}
	}
	return tiers
}

// expect sets the expected load of the candidate. A worker that no report is known of is
// expected to be used like the others of its tier.
func (p *Picker) expect(now time.Time, c *candidate, use float64) {
	s, ok := p.nodes[c.Node]
	if ok && s.estimate.Known() {
		r := s.estimate.Report()
		c.limit, c.speed, c.holdTime = float64(r.Limit), r.Speed, r.HoldTime
		c.occupied, c.spread = s.estimate.Occupied(now, use)
		return
	}
	c.limit, c.speed = max(workerSlotShare*float64(c.Slots), 1), 1
	c.occupied, c.spread = use*c.limit, math.Sqrt(c.limit)
	if ok {
		c.occupied = max(c.occupied, float64(s.inFlight))
	}
}

// drawByRoom draws a candidate at random, in proportion to its room and speed.
func (p *Picker) drawByRoom(list []candidate) *candidate {
	sum := 0.0
	for i := range list {
		sum += list[i].weight()
	}
	draw := p.cfg.Random.Float64() * sum
	for i := range list {
		if draw -= list[i].weight(); draw < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}

// nextByRoom returns the candidates in turn, each as often as its room and speed warrant. That
// spreads the calls of one node more evenly than a random draw.
func (p *Picker) nextByRoom(list []candidate) *candidate {
	sum := 0.0
	for i := range list {
		sum += list[i].weight()
	}
	best := &list[0]
	var most *upstreamStats
	for i := range list {
		s, ok := p.nodes[list[i].Node]
		if !ok {
			s = &upstreamStats{turn: p.cfg.Random.Float64()}
			p.nodes[list[i].Node] = s
		}
		s.turn += list[i].weight() / sum
		if most == nil || s.turn > most.turn {
			best, most = &list[i], s
		}
	}
	most.turn--
	return best
}

// weight returns the expected room multiplied by the speed. It falls steeply but not to zero
// where little room is expected, so that fuller workers still get fewer calls when all are full.
func (c *candidate) weight() float64 {
	share := c.roomShare()
	if share < littleRoomShare {
		share = littleRoomShare * math.Exp(max(share/littleRoomShare-1, -maxExponent))
	}
	return share * c.limit * c.speed
}

// redirectAfter returns the wait above which another worker is a better choice than the chosen
// one, 0 if there is no other.
func redirectAfter(tiers [tierCount][]candidate, tier int, chosen *candidate, tolerance time.Duration) time.Duration {
	var lowest time.Duration
	found := false
	for further := tier; further < tierCount; further++ {
		base := roundTrip(further) + price(further, tolerance) - price(tier, tolerance)
		if found && base >= lowest {
			break
		}
		for i := range tiers[further] {
			c := &tiers[further][i]
			if c.Node == chosen.Node {
				continue
			}
			wait := c.wait()
			if c.room() < 1 {
				wait = fullWaitFactor*wait + price(1, tolerance)
			}
			if cost := base + wait; !found || cost < lowest {
				lowest, found = cost, true
			}
		}
	}
	if !found {
		return 0
	}
	return max(lowest, minRedirectWait)
}

// lowestCost returns a candidate of the tier with the lowest cost, drawn by room and speed
// among those of about that cost. Were it always the one with most room, all nodes would fill
// it at the same time.
func (p *Picker) lowestCost(tiers [tierCount][]candidate, tolerance time.Duration) *candidate {
	best, found := 0, false
	var lowest time.Duration
	for tier, list := range tiers {
		for i := range list {
			cost := list[i].wait() + roundTrip(tier) + price(tier, tolerance)
			if !found || cost < lowest {
				best, lowest, found = tier, cost, true
			}
		}
	}
	lowest -= roundTrip(best) + price(best, tolerance)
	var similar []candidate
	for _, c := range tiers[best] {
		if c.wait() <= lowest+minRedirectWait {
			similar = append(similar, c)
		}
	}
	return p.drawByRoom(similar)
}

func roundTrip(tier int) time.Duration {
	return [tierCount]time.Duration{domainRoundTrip, regionRoundTrip, elsewhereRoundTrip}[tier]
}

// price returns the wait that a call has to save for its bytes to leave the failure domain.
// Waits vary by about as much as is expected, so that half of the tolerance keeps most calls
// within it.
func price(tier int, tolerance time.Duration) time.Duration {
	if tier == 0 {
		return 0
	}
	return tolerance / 2
}

// ObserveReport takes in the load that the reply of an upstream reports. A reply without a
// report, from a node that makes none, counts by its percentage of load.
func (p *Picker) ObserveReport(now time.Time, u zinniayoke.Upstream, r *zinniayoke.Reply) {
	const percent = 100
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.statsOf(now, u.Node)
	if r.Report == nil {
		limit := max(int(workerSlotShare*float64(u.Slots)), 1)
		s.estimate.Observe(now, zinniayoke.LoadReport{Limit: limit, Speed: 1, Running: r.Load * limit / percent})
		return
	}
	s.estimate.Observe(now, *r.Report)
}
