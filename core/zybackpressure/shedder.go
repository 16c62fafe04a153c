package zybackpressure

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

const (
	// shareFreshTime is how long a reported share has full weight. From then on its
	// weight falls until it is 0 after shareTTL.
	shareFreshTime = 500 * time.Millisecond
	shareTTL       = 2 * time.Second
	// rateWindow is the window over which the call rate of a route is measured.
	rateWindow = 1 * time.Second
	// slowShareTime is the time constant of the average share that applies to
	// all but the least important routes. Reported shares swing by a third around
	// their mean, because a change takes half a second to reach the last service of
	// a chain.
	slowShareTime = 2 * time.Second
	maxRoutes     = 8192
)

// Shedder decides which root calls an entry node admits. It learns from the
// replies to each route's calls what they cost each service and which share of
// the demand on that service exceeds its capacity. It refuses calls that make up
// that share of the demand: the least important routes first and, among equals,
// those with the highest cost per call. It is safe for concurrent use. A Shedder
// must be created with NewShedder.
type Shedder struct {
	mu     sync.Mutex
	routes map[zinniayoke.RouteName]*routeState
	shares map[zinniayoke.Service]reportedShare
	// refusals holds recently refused calls, so that their retries get priority.
	refusals *refusalLog
	// customers is empty in bundles without customers.
	customers customerTable
}

// routeState is what an entry node knows about a route.
type routeState struct {
	importance int
	// rate is in calls per second; count is the calls since windowStart.
	rate        float64
	count       int
	windowStart time.Time
	costs       map[zinniayoke.Service]float64
	// decidedAt is when decision was last computed.
	decidedAt time.Time
	decision  Decision
}

// reportedShare is the excess share of a service as last reported in replies.
type reportedShare struct {
	share float64
	// slow is the share averaged over slowShareTime.
	slow float64
	at   time.Time
}

// NewShedder returns a shedder that admits every call until a service reports an
// excess share.
func NewShedder() *Shedder {
	return &Shedder{
		routes: make(map[zinniayoke.RouteName]*routeState), shares: make(map[zinniayoke.Service]reportedShare), refusals: newRefusalLog(),
		customers: customerTable{byName: make(map[zinniayoke.Customer]*customerState)},
	}
}

// UpdateCosts records the costs that came with a reply to a call of the route.
func (s *Shedder) UpdateCosts(now time.Time, route zinniayoke.RouteName, costs []zinniayoke.ServiceCost) {
	if len(costs) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.routes[route]
	if !ok {
		return
	}
	for _, c := range costs {
		if r.costs == nil {
			r.costs = make(map[zinniayoke.Service]float64)
		}
		r.costs[c.Service] = c.Cost
		old, known := s.shares[c.Service]
		share := c.ExcessShare
		if known && now.Sub(old.at) < shareFreshTime {
			// Each worker of a service reports its own share, so average them.
			const weight = 0.25
			share = old.share + weight*(c.ExcessShare-old.share)
		}
		s.shares[c.Service] = reportedShare{share: share, slow: old.slowAverage(now, share), at: now}
	}
}

// slowAverage returns the slow average updated with a newly reported share.
func (s reportedShare) slowAverage(now time.Time, share float64) float64 {
	passed := now.Sub(s.at)
	if passed >= shareTTL {
		return share
	}
	weight := 1 - math.Exp(-passed.Seconds()/slowShareTime.Seconds())
	return s.slow + weight*(share-s.slow)
}

// Decision is the outcome of admission for one call.
type Decision struct {
	Admitted bool
	// Retry is true if an equal call was refused recently.
	Retry bool
	// RefusedShare is the share of the route's calls that is refused, because the
	// demand on Service exceeds its capacity by ExcessShare of the demand.
	RefusedShare float64
	Service      zinniayoke.Service
	ExcessShare  float64
}

// Admit counts a call of the route and decides whether to admit it. Content is a
// hash that is equal for equal calls: the retry of a refused call takes
// precedence over new calls.
func (s *Shedder) Admit(now time.Time, route *zybundle.Route, id zinniayoke.RequestID, content uint64) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.countCall(now, route)
	if r == nil {
		return Decision{Admitted: true}
	}
	return s.admit(now, r, id, content)
}

// countCall counts a call of the route. It returns nil if the table is full. s.mu must be
// held.
func (s *Shedder) countCall(now time.Time, route *zybundle.Route) *routeState {
	r, ok := s.routes[route.Name]
	if !ok {
		if len(s.routes) >= maxRoutes {
			return nil
		}
		r = &routeState{windowStart: now}
		s.routes[route.Name] = r
	}
	r.importance = route.Class.Importance
	r.countCall(now)
	return r
}

// admit decides by the refused share of the route. s.mu must be held.
func (s *Shedder) admit(now time.Time, r *routeState, id zinniayoke.RequestID, content uint64) Decision {
	d := s.routeDecision(now, r)
	d.Retry = s.refusals.take(now, content)
	d.Admitted = pointOf(id) >= d.RefusedShare || d.Retry && d.RefusedShare < maxShareFavoringRetries
	if !d.Admitted {
		s.refusals.add(now, content)
	}
	return d
}

// routeDecision returns the refused share of the route. s.mu must be held.
func (s *Shedder) routeDecision(now time.Time, r *routeState) Decision {
	if now.Sub(r.decidedAt) >= decisionPeriod {
		r.decidedAt, r.decision = now, s.decide(now, r)
	}
	return r.decision
}

// pointOf returns a point from 0 to 1 that depends on the request only.
func pointOf(id zinniayoke.RequestID) float64 {
	const scale = 1 << 20
	return float64(xxhash.Sum64String(string(id))%scale) / scale
}

// RecordRefusal records a call that was admitted here but refused deeper in the
// call graph, so that its retry takes precedence over new calls.
func (s *Shedder) RecordRefusal(now time.Time, content uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals.add(now, content)
}

// decisionPeriod is how long a route's decision is reused. Excess shares change
// every 100 ms.
const decisionPeriod = 20 * time.Millisecond

// decide finds the service that causes the largest refused share for a route.
func (s *Shedder) decide(now time.Time, r *routeState) Decision {
	var d Decision
	for service := range r.costs {
		if share := s.refusedShare(now, service, r); share > d.RefusedShare {
			d.RefusedShare, d.Service, d.ExcessShare = share, service, s.excessShare(now, service)
		}
	}
	return d
}

// maxShareFavoringRetries is the refused share from which retries lose their
// precedence, because they could use up the capacity on their own.
const maxShareFavoringRetries = 0.8

// countCall updates the call rate with one more call.
func (r *routeState) countCall(now time.Time) {
	r.count++
	if passed := now.Sub(r.windowStart); passed >= rateWindow {
		r.rate = float64(r.count) / passed.Seconds()
		r.count, r.windowStart = 0, now
	} else {
		r.rate = max(r.rate, float64(r.count)/rateWindow.Seconds())
	}
}

// excessShare returns the last reported excess share of a service, reduced by the
// age of the report.
func (s *Shedder) excessShare(now time.Time, service zinniayoke.Service) float64 {
	reported := s.shares[service]
	return reported.share * reported.weight(now)
}

// weight returns the weight of the share at its current age, from 1 down to 0.
func (s reportedShare) weight(now time.Time) float64 {
	switch age := now.Sub(s.at); {
	case age <= shareFreshTime:
		return 1
	case age < shareTTL:
		return float64(shareTTL-age) / float64(shareTTL-shareFreshTime)
	}
	return 0
}

// refusedShare returns the share of a route's calls to refuse on account of one
// service. It goes through the routes that use the service, from the least
// important one, until the refused cost amounts to the service's excess.
func (s *Shedder) refusedShare(now time.Time, service zinniayoke.Service, r *routeState) float64 {
	share := s.excessShare(now, service)
	if share <= 0 {
		return 0
	}
	var users []*routeState
	total := 0.0
	for _, other := range s.routes {
		if other.costs[service] > 0 && now.Sub(other.windowStart) < 2*rateWindow {
			users = append(users, other)
			total += other.rate * other.costs[service]
		}
	}
	slices.SortFunc(users, func(a, b *routeState) int {
		return cmp.Or(cmp.Compare(a.importance, b.importance), cmp.Compare(b.costs[service], a.costs[service]))
	})
	if len(users) > 0 && r.importance > users[0].importance {
		reported := s.shares[service]
		share = min(share, reported.slow*reported.weight(now))
	}
	excess := share * total
	for _, other := range users {
		demand := other.rate * other.costs[service]
		if other == r {
			if demand <= 0 {
				return 0
			}
			return min(max(excess/demand, 0), 1)
		}
		excess -= demand
		if excess <= 0 {
			return 0
		}
	}
	return 0
}
