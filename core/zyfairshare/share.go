// Package zyfairshare decides which customers get capacity when there is too little of it:
// how much of it each one gets, and whose call is next. It holds no locks and no timers.
package zyfairshare

import (
	"cmp"
	"math"
	"slices"

	"zinniayoke"
)

// Customer is a customer as far as sharing is concerned. The zero value means that the
// bundle has no customers, and nothing is shared.
type Customer struct {
	// Name is "" for calls without a customer, which share as one customer.
	Name zinniayoke.Customer
	// Weight is the customer's part of the capacity relative to that of the others. It is
	// above 0 if the bundle has customers.
	Weight float64
	// Level is the rank of the customer's priority; 0 is the highest.
	Level int
}

const (
	// MinServedRatio is how often a customer is served at least, relative to the others.
	// The rule of the platform is 0.25 over all calls; the rest covers random variation.
	MinServedRatio = 0.3
	// priorCalls is the number of calls by which a customer's count is drawn towards the
	// one expected for its weight. At 20 calls a second in a node with 82 customers, a
	// small customer sends one call in a minute, which would look like many times its
	// rate.
	priorCalls = 1
	// entitledMultiple is the multiple of the median usage for the weight up to which a
	// customer's demand precedes that of lower levels. What goes beyond is refused
	// first on every level, so that a customer of a high priority that multiplies its rate
	// takes nothing from the others.
	entitledMultiple = 1.25
	// divisionSteps halves the interval of the water level often enough for a precision of
	// 10^-9 of its upper end.
	divisionSteps = 30
)

// UsageRatio compares the calls counted for a customer with those expected for its weight.
// It is 1 for a customer that uses its part, and close to 1 while few calls are expected.
func UsageRatio(calls, expected float64) float64 {
	return (calls + priorCalls) / (expected + priorCalls)
}

// Allowance returns how many calls a customer may make before it counts as above its share,
// given the number that others make for the weight: entitledMultiple times as many, and
// twice the standard deviation of random arrivals.
func Allowance(usual float64) float64 {
	return entitledMultiple*usual + 2*math.Sqrt(usual) + priorCalls
}

// MedianUse returns the demand per weight that the claims of half of the weight do not exceed.
// The demand is in calls. It reorders the claims.
func MedianUse(claims []Claim) float64 {
	demand, weights := 0.0, 0.0
	for i := range claims {
		demand += claims[i].Demand
		weights += claims[i].Customer.Weight
	}
	if demand <= 0 {
		return 0
	}
	for i := range claims {
		claims[i].ratio = UsageRatio(claims[i].Demand, demand*claims[i].Customer.Weight/weights)
	}
	return medianRatio(claims, weights) * demand / weights
}

// Claim is the demand of one customer on a capacity.
type Claim struct {
	Customer Customer
	// Demand is in any unit of work per time. It is at least 0.
	Demand float64
	// RetriedShare is the share of the demand that repeats refused calls. It does not raise
	// what the customer gets at least.
	RetriedShare float64
	// Granted is the part of the demand that Divide grants.
	Granted float64
	// Index is not used by Divide, which reorders the claims.
	Index int

	ratio    float64
	weight   float64
	entitled float64
	floor    float64
	// above is true if the demand is above the share by more than random variation.
	above bool
}

// Divide divides the capacity among the claims, and reorders them. Each claim gets at least
// MinServedRatio of the served share of the others. Of the rest, higher levels get what
// they are entitled to before lower ones, and claims of one level in proportion to their
// weights (weighted max-min fairness). What one claim does not need goes to the others.
// The claims are granted the whole capacity, or their demand if that is less. Unit is the
// demand of one call.
func Divide(capacity, unit float64, claims []Claim) {
	demand, weights := 0.0, 0.0
	for i := range claims {
		demand += claims[i].Demand
		weights += claims[i].Customer.Weight
	}
	if capacity >= demand || demand <= 0 || unit <= 0 {
		for i := range claims {
			claims[i].Granted = claims[i].Demand
		}
		return
	}
	capacity = max(capacity, 0)
	left := capacity
	for i := range claims {
		c := &claims[i]
		c.ratio = UsageRatio(c.Demand/unit, demand/unit*c.Customer.Weight/weights)
		c.weight = c.Demand / c.ratio
		// With d the demand of the customer and g what it gets, this is the g for which
		// g/d = MinServedRatio * (capacity-g)/(demand-d).
		c.floor = MinServedRatio * capacity * c.Demand / (demand - (1-MinServedRatio)*c.Demand) * (1 - c.RetriedShare)
		c.Granted = c.floor
		left -= c.floor
	}
	median := medianRatio(claims, weights)
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Customer.Level, b.Customer.Level) })
	for i := range claims {
		c := &claims[i]
		c.entitled = min(c.Demand, entitledMultiple*median*c.weight)
		c.above = c.Demand/unit > Allowance(median*demand/unit*c.Customer.Weight/weights)
	}
	left = fillLevels(left, claims, func(c *Claim) float64 { return c.entitled })
	fillLevels(left, claims, func(c *Claim) float64 { return c.Demand })
}

// medianRatio returns the usage ratio that the claims of half of the weight do not exceed.
// It sorts the claims.
func medianRatio(claims []Claim, weights float64) float64 {
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.ratio, b.ratio) })
	sum := 0.0
	for i := range claims {
		if sum += claims[i].Customer.Weight; 2*sum >= weights {
			return claims[i].ratio
		}
	}
	return 1
}

// fillLevels grants capacity up to the limit of each claim, to one level after the other,
// and returns what is left. The claims must be sorted by level.
func fillLevels(left float64, claims []Claim, limit func(c *Claim) float64) float64 {
	for start := 0; start < len(claims) && left > 0; {
		end := start + 1
		for end < len(claims) && claims[end].Customer.Level == claims[start].Customer.Level {
			end++
		}
		left = fill(left, claims[start:end], limit)
		start = end
	}
	return left
}

// fill grants capacity up to the limit of each claim in proportion to the weights, beyond
// what they have, and returns what is left.
func fill(left float64, claims []Claim, limit func(c *Claim) float64) float64 {
	granted := func(c *Claim, level float64) float64 { return max(c.Granted, min(limit(c), level*c.weight)) }
	need, high := 0.0, 0.0
	for i := range claims {
		c := &claims[i]
		need += max(limit(c)-c.Granted, 0)
		high = max(high, c.ratio)
	}
	low := 0.0
	if need > left {
		for range divisionSteps {
			middle, used := (low+high)/2, 0.0
			for i := range claims {
				used += granted(&claims[i], middle) - claims[i].Granted
			}
			if used > left {
				high = middle
			} else {
				low = middle
			}
		}
	} else {
		low = high
	}
	for i := range claims {
		c := &claims[i]
		g := granted(c, low)
		left -= g - c.Granted
		c.Granted = g
	}
	return max(left, 0)
}
