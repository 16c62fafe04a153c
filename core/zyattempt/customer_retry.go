package zyattempt

import (
	"math"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyfairshare"
)

const (
	// maxCustomers bounds the customers of a service. Further ones have no allowance.
	maxCustomers = 4096
	// keptDeviations is how many standard deviations more than expected are kept for customers
	// within their allowance. With none, 0.04 of their retries found no place beside a
	// customer that takes all that is left.
	keptDeviations = 3
)

// customerRetries limits the retries of each customer of a service to an allowance in each
// period. Within it, retries are treated as without customers. Beyond it, they get only the
// places that the others leave, and are not counted in the cutoff.
type customerRetries struct {
	byName map[zinniayoke.Customer]*customerRetry
	// medianUse is the number of retries per weight that customers have asked for in the last
	// period, +Inf if it is not known.
	medianUse float64
	// kept is the number of retries that customers within their allowance are still expected
	// to get in this period.
	kept   int
	claims []zyfairshare.Claim
}

// customerRetry is what a customer has asked for in this period.
type customerRetry struct {
	customer zyfairshare.Customer
	asked    int
	// kept is the part of customerRetries.kept that is expected of this customer.
	kept int
}

// RecordRetryFor is RecordRetry for a call of a customer, the zero value if the bundle has
// none.
func (b *ServiceRetryBudgets) RecordRetryFor(now time.Time, service zinniayoke.Service, customer zyfairshare.Customer) {
	b.RecordRetry(now, service)
	if customer.Weight <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.countsFor(now, service); c != nil {
		c.customers.ask(customer)
	}
}

// SpendFor is Spend for a call of a customer; without customers in the bundle, the customer
// is the zero value. A customer that asks for more retries than others for its weight is
// charged its share of the budget and what they leave.
func (b *ServiceRetryBudgets) SpendFor(now time.Time, service zinniayoke.Service, customer zyfairshare.Customer, p Precedence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsFor(now, service)
	if c == nil {
		return false
	}
	allowed, retries := b.beginSpend(now, c)
	defer b.record(now, service, c)
	if customer.Weight > 0 && !c.customers.ask(customer) {
		return c.spendBeyondAllowance(allowed, b.slack(now), retries, p)
	}
	if !c.spend(allowed, b.slack(now), retries, p) {
		return false
	}
	c.customers.use(customer)
	return true
}

// spendBeyondAllowance takes a retry if there are places that no other customer is expected
// to use. The reserve of the budget is left to them, too.
func (c *sendCounts) spendBeyondAllowance(allowed, slack float64, retries int, p Precedence) bool {
	kept := float64(c.customers.kept)
	expected := float64(c.granted) + kept + keptDeviations*math.Sqrt(kept)
	if p < c.cutoff || expected >= float64(c.places) || float64(retries+1) > (1-reserveShare)*allowed || !c.pay(slack, p) {
		return false
	}
	c.charge()
	return true
}

// ask counts a retry that a customer asks for, and reports whether it is within the customer's
// allowance.
func (t *customerRetries) ask(customer zyfairshare.Customer) bool {
	r, ok := t.byName[customer.Name]
	if !ok {
		if len(t.byName) >= maxCustomers {
			return false
		}
		if t.byName == nil {
			t.byName = make(map[zinniayoke.Customer]*customerRetry)
			t.medianUse = math.Inf(1)
		}
		r = &customerRetry{}
		t.byName[customer.Name] = r
	}
	r.customer = customer
	r.asked++
	return float64(r.asked) <= zyfairshare.Allowance(t.medianUse*customer.Weight)
}

// use records that a customer has got a retry within its allowance.
func (t *customerRetries) use(customer zyfairshare.Customer) {
	if r, ok := t.byName[customer.Name]; ok && r.kept > 0 {
		r.kept--
		t.kept--
	}
}

// beginPeriod sets the allowances of the next period by what was asked for in the last one.
// They are unlimited if that is outdated.
func (t *customerRetries) beginPeriod(outdated bool) {
	if len(t.byName) == 0 {
		return
	}
	t.claims, t.kept = t.claims[:0], 0
	for name, r := range t.byName {
		if r.asked == 0 || outdated {
			delete(t.byName, name)
			continue
		}
		t.claims = append(t.claims, zyfairshare.Claim{Customer: r.customer, Demand: float64(r.asked)})
	}
	t.medianUse = math.Inf(1)
	if len(t.claims) > 0 {
		t.medianUse = zyfairshare.MedianUse(t.claims)
	}
	for _, r := range t.byName {
		r.kept = int(min(float64(r.asked), zyfairshare.Allowance(t.medianUse*r.customer.Weight)))
		r.asked = 0
		t.kept += r.kept
	}
}
