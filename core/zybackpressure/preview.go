package zybackpressure

import (
	"maps"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyfairshare"
)

// Preview is what AdmitFor would decide about new calls.
type Preview struct {
	// RefusedShare, Service and ExcessShare are those of a Decision.
	RefusedShare float64            `json:"refusedShare"`
	Service      zinniayoke.Service `json:"service,omitempty"`
	ExcessShare  float64            `json:"excessShare"`
	// AdmittedShare is the share of new calls that would be admitted now.
	AdmittedShare float64 `json:"admittedShare"`
}

// Preview returns what AdmitFor would decide now about a call that was not refused before. It
// neither counts a call nor changes the plan.
func (s *Shedder) Preview(now time.Time, route *zybundle.Route, customer zyfairshare.Customer) Preview {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.routes[route.Name]
	if !ok {
		return Preview{AdmittedShare: 1}
	}
	if customer.Weight <= 0 {
		return previewOf(s.peekRoute(now, r), 0)
	}
	if !s.hasExcess(now, r) {
		return Preview{AdmittedShare: 1}
	}
	// The plan is made on a copy of the customers. It only reads routes and shares.
	copied := &Shedder{routes: s.routes, shares: s.shares, customers: s.customers.clone()}
	if now.Sub(copied.customers.plannedAt) >= planPeriod {
		copied.plan(now)
	}
	c, ok := copied.customers.byName[customer.Name]
	if !ok {
		return previewOf(s.peekRoute(now, r), 0)
	}
	d := s.peekRoute(now, r)
	if f, ok := c.byRoute[route.Name]; ok && f.planned {
		d = f.decision
	}
	count := decayed(c.count, now.Sub(c.countedAt), usageTime) + 1
	return previewOf(d, c.balanceShare(now, count))
}

func previewOf(d Decision, balanceShare float64) Preview {
	p := Preview{RefusedShare: d.RefusedShare, Service: d.Service, ExcessShare: d.ExcessShare, AdmittedShare: 1}
	if d.RefusedShare > 0 {
		p.AdmittedShare = min(max(1-d.RefusedShare-balanceShare, 0), 1)
	}
	return p
}

// peekRoute is routeDecision without keeping the decision. s.mu must be held.
func (s *Shedder) peekRoute(now time.Time, r *routeState) Decision {
	if now.Sub(r.decidedAt) >= decisionPeriod {
		return s.decide(now, r)
	}
	return r.decision
}

// balanceShare returns the balance as a share of the debt that a customer with that count of
// recent calls may have.
func (c *customerState) balanceShare(now time.Time, count float64) float64 {
	debt := min(max(maxDebtShare*count, minDebt), maxDebt)
	return decayed(c.balance, now.Sub(c.updatedAt), balanceTime) / debt
}

// clone returns a copy that shares only the routes, without scratch space.
func (t *customerTable) clone() customerTable {
	n := customerTable{byName: make(map[zinniayoke.Customer]*customerState, len(t.byName)), flows: t.flows, plannedAt: t.plannedAt}
	for _, c := range t.list {
		copied := *c
		copied.byRoute, copied.flows = maps.Clone(c.byRoute), slices.Clone(c.flows)
		for i, f := range c.flows {
			flow := *f
			copied.flows[i], copied.byRoute[f.name] = &flow, &flow
		}
		n.byName[c.share.Name] = &copied
		n.list = append(n.list, &copied)
	}
	return n
}
