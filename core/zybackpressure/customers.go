package zybackpressure

import (
	"math"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyfairshare"
)

const (
	// usageTime is the time constant over which the calls of a customer are counted. A
	// surge of 6 s must show soon, but an entry node gets about 20 calls a second of 82
	// customers.
	usageTime = 3 * time.Second
	// planPeriod is how long the shares of the customers are reused. Dividing a service
	// among 82 customers of four routes takes longer than the decision about a route.
	planPeriod = 50 * time.Millisecond
	// maxFlows bounds the table. Calls beyond it are refused by the share of the route.
	maxFlows = 4096
	// minPlannedShare is the smallest excess share for which a plan is made. The average of
	// reported shares never gets to 0 by itself.
	minPlannedShare = 1e-4
	// minUsage is the count below which a customer's calls of a route are forgotten.
	minUsage = 0.01
	// A customer's calls may be admitted beyond its share, because retries are preferred,
	// until maxDebtShare of its recent calls, within the bounds, have been. All new calls
	// are refused then, and retries too.
	maxDebtShare     = 0.5
	minDebt, maxDebt = 2, 20
	// balanceTime is the time constant with which the balance is forgotten. With usageTime,
	// small customers that retry each call would be admitted twice their share.
	balanceTime = 20 * time.Second
)

// customerTable holds what an entry node knows about the calls of customers.
type customerTable struct {
	byName map[zinniayoke.Customer]*customerState
	// list holds the customers in the order of their first calls.
	list  []*customerState
	flows int
	// plannedAt is when the refused shares were last computed.
	plannedAt time.Time
	// used, parts and claims are scratch space of the plan; used[i] is the flow of the part
	// with that Index.
	used   []*customerFlow
	parts  []zyfairshare.Part
	claims []zyfairshare.Claim
}

// customerState is what is known about one customer.
type customerState struct {
	share   zyfairshare.Customer
	byRoute map[zinniayoke.RouteName]*customerFlow
	flows   []*customerFlow
	// count is the number of calls to all routes, each weighted by its age, and retries how
	// many of them repeat a refused call.
	count     float64
	retries   float64
	countedAt time.Time
	// balance is how many calls were admitted beyond the customer's share, less than 0 if
	// fewer were.
	balance   float64
	updatedAt time.Time
}

// customerFlow is the calls of one customer to one route.
type customerFlow struct {
	name  zinniayoke.RouteName
	route *routeState
	// count is the number of calls, each weighted by its age.
	count     float64
	countedAt time.Time
	// decision is as of the last plan. It is not valid unless planned is true.
	decision Decision
	planned  bool
}

// AdmitFor is Admit for a call of a customer; without customers in the bundle, the customer
// is the zero value. The demand on a service that has to be refused is the same as with
// Admit. It falls first on customers above their fair share, and with each customer on the
// least important routes. The retry of a refused call takes precedence over new calls of
// the same customer.
func (s *Shedder) AdmitFor(now time.Time, route *zybundle.Route, customer zyfairshare.Customer, id zinniayoke.RequestID, content uint64) Decision {
	if customer.Weight <= 0 {
		return s.Admit(now, route, id, content)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.countCall(now, route)
	if r == nil {
		return Decision{Admitted: true}
	}
	excess := s.hasExcess(now, r)
	if excess && now.Sub(s.customers.plannedAt) >= planPeriod {
		// Before the call is counted: a customer is compared by its other calls, or each call of
		// one that rarely calls would look like many times its rate.
		s.plan(now)
	}
	c, f := s.customers.flowOf(route.Name, r, customer)
	if f == nil {
		return s.admit(now, r, id, content)
	}
	f.count, f.countedAt = f.countAt(now)+1, now
	retry := s.refusals.take(now, content)
	c.countCall(now, retry)
	if !excess {
		return Decision{Admitted: true, Retry: retry}
	}
	d := f.decision
	if !f.planned {
		d = s.routeDecision(now, r)
	}
	d.Retry = retry
	d.Admitted = c.admit(now, d, pointOf(id))
	if !d.Admitted {
		s.refusals.add(now, content)
	}
	return d
}

// countCall counts a call to any route.
func (c *customerState) countCall(now time.Time, retry bool) {
	passed := now.Sub(c.countedAt)
	c.count, c.retries, c.countedAt = decayed(c.count, passed, usageTime)+1, decayed(c.retries, passed, usageTime), now
	if retry {
		c.retries++
	}
}

// admit decides about one call and updates the balance of the customer.
func (c *customerState) admit(now time.Time, d Decision, point float64) bool {
	if d.RefusedShare <= 0 {
		return true
	}
	balance := decayed(c.balance, now.Sub(c.updatedAt), balanceTime)
	debt := min(max(maxDebtShare*c.count, minDebt), maxDebt)
	admitted := point >= d.RefusedShare+balance/debt
	if d.Retry && d.RefusedShare < maxShareFavoringRetries {
		admitted = balance <= debt-1
	}
	if admitted {
		balance++
	}
	c.balance, c.updatedAt = max(balance-(1-d.RefusedShare), -debt), now
	return admitted
}

// hasExcess reports whether a service that the route uses has reported an excess share.
func (s *Shedder) hasExcess(now time.Time, r *routeState) bool {
	for service, cost := range r.costs {
		if cost > 0 && s.excessShare(now, service) >= minPlannedShare {
			return true
		}
	}
	return false
}

// flowOf returns the state of a customer and of its calls to the route, nil if the table is
// full.
func (t *customerTable) flowOf(name zinniayoke.RouteName, r *routeState, customer zyfairshare.Customer) (*customerState, *customerFlow) {
	c, ok := t.byName[customer.Name]
	if ok {
		if f, ok := c.byRoute[name]; ok {
			c.share = customer
			return c, f
		}
	}
	if t.flows >= maxFlows {
		return nil, nil
	}
	if c == nil {
		c = &customerState{byRoute: make(map[zinniayoke.RouteName]*customerFlow)}
		t.byName[customer.Name] = c
		t.list = append(t.list, c)
	}
	c.share = customer
	f := &customerFlow{name: name, route: r}
	c.byRoute[name] = f
	c.flows = append(c.flows, f)
	t.flows++
	return c, f
}

// countAt returns the number of calls, each weighted by its age.
func (f *customerFlow) countAt(now time.Time) float64 {
	return decayed(f.count, now.Sub(f.countedAt), usageTime)
}

// decayed returns the value after the time has passed.
func decayed(value float64, passed, timeConstant time.Duration) float64 {
	return value * math.Exp(-passed.Seconds()/timeConstant.Seconds())
}

// forgetUnused removes the flows that have had no calls for some time.
func (t *customerTable) forgetUnused(now time.Time) {
	t.list = slices.DeleteFunc(t.list, func(c *customerState) bool {
		c.flows = slices.DeleteFunc(c.flows, func(f *customerFlow) bool {
			unused := f.countAt(now) < minUsage
			if unused {
				delete(c.byRoute, f.name)
				t.flows--
			}
			return unused
		})
		if len(c.flows) == 0 {
			delete(t.byName, c.share.Name)
		}
		return len(c.flows) == 0
	})
}

// plan computes the refused share of all flows.
func (s *Shedder) plan(now time.Time) {
	t := &s.customers
	t.plannedAt = now
	t.forgetUnused(now)
	for _, c := range t.list {
		for _, f := range c.flows {
			f.decision, f.planned = Decision{}, true
		}
	}
	for service := range s.shares {
		if share := s.excessShare(now, service); share >= minPlannedShare {
			s.planService(now, service, share)
		}
	}
}

// planService divides the capacity of a service among the customers.
func (s *Shedder) planService(now time.Time, service zinniayoke.Service, excess float64) {
	t := &s.customers
	refused := s.refusedDemand(now, service)
	demand, calls := t.collectUses(now, service)
	if refused <= 0 || demand <= 0 {
		return
	}
	zyfairshare.Refuse(refused, demand/calls, t.claims, t.parts)
	for i := range t.parts {
		part := &t.parts[i]
		f := t.used[part.Index]
		if share := part.Refused / part.Demand; share > f.decision.RefusedShare {
			f.decision = Decision{RefusedShare: share, Service: service, ExcessShare: excess}
		}
	}
}

// collectUses sets used, parts and claims to the flows and customers that use the service. It
// returns their demand per second and their calls as counted.
func (t *customerTable) collectUses(now time.Time, service zinniayoke.Service) (demand, calls float64) {
	t.used, t.parts, t.claims = t.used[:0], t.parts[:0], t.claims[:0]
	counts := make(map[*routeState]float64)
	for _, c := range t.list {
		n := len(t.used)
		for _, f := range c.flows {
			if cost := f.route.costs[service]; cost > 0 && now.Sub(f.route.windowStart) < 2*rateWindow {
				count := f.countAt(now)
				counts[f.route] += count
				calls += count
				t.parts = append(t.parts, zyfairshare.Part{
					Claim: len(t.claims), Importance: f.route.importance, Cost: cost, Demand: count * cost * f.route.rate, Index: len(t.used),
				})
				t.used = append(t.used, f)
			}
		}
		if len(t.used) > n {
			t.claims = append(t.claims, zyfairshare.Claim{Customer: c.share, Index: len(t.claims), RetriedShare: c.retries / c.count})
		}
	}
	for i := range t.parts {
		part := &t.parts[i]
		part.Demand /= counts[t.used[i].route]
		t.claims[part.Claim].Demand += part.Demand
		demand += part.Demand
	}
	return demand, calls
}

// refusedDemand returns the demand on a service that Admit would refuse: up to the excess
// share that of the least important routes, and of the others up to the slow average.
func (s *Shedder) refusedDemand(now time.Time, service zinniayoke.Service) float64 {
	share := s.excessShare(now, service)
	total, least, lowest := 0.0, 0.0, math.MaxInt
	for _, r := range s.routes {
		if r.costs[service] <= 0 || now.Sub(r.windowStart) >= 2*rateWindow {
			continue
		}
		demand := r.rate * r.costs[service]
		total += demand
		switch {
		case r.importance < lowest:
			lowest, least = r.importance, demand
		case r.importance == lowest:
			least += demand
		}
	}
	reported := s.shares[service]
	slow := min(share, reported.slow*reported.weight(now))
	return min(share*total, least) + max(slow*total-least, 0)
}
