package zyfairshare

import (
	"cmp"
	"slices"
)

// Part is the calls of one customer that are alike in importance and cost.
type Part struct {
	// Claim is the index of the customer's claim.
	Claim      int
	Importance int
	// Cost is the work for one call.
	Cost   float64
	Demand float64
	// Refused is the part of the demand that Refuse refuses.
	Refused float64
	// Index is not used by Refuse, which reorders the parts.
	Index int

	level int
}

// Refuse chooses which demand to refuse, given how much in all; it reorders the parts. The
// parts of a claim make up its demand, and Claim.Index must be the index of the claim.
//
// Customers whose demand is above their share of what is left, by more than random variation,
// are refused what goes beyond, their least important calls first. Of the others, the least
// important calls of the lowest priority are refused first, and among equals those of
// customers that use most for their weight. Each one keeps the part that Divide grants it at
// least. Dividing all of it by customer refused important calls of those that happened to
// have sent no others lately.
func Refuse(refused, unit float64, claims []Claim, parts []Part) {
	demand := 0.0
	for i := range claims {
		demand += claims[i].Demand
	}
	// An excess too small to change the sum has nothing to divide.
	if refused <= 0 || demand-refused >= demand {
		return
	}
	Divide(demand-refused, unit, claims)
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Index, b.Index) })
	for i := range parts {
		parts[i].level = claims[parts[i].Claim].Customer.Level
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.Importance, b.Importance), cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.Claim, b.Claim))
	})
	// From here on, Granted is what is not refused yet.
	for i := range claims {
		c := &claims[i]
		if c.above {
			c.floor = c.Granted
		}
		c.Granted = c.Demand
	}
	for i := range parts {
		if c := &claims[parts[i].Claim]; c.above {
			refused -= parts[i].refuse(c, c.Demand)
		}
	}
	for start := 0; start < len(parts) && refused > 0; {
		end := start + 1
		for end < len(parts) && parts[end].level == parts[start].level && parts[end].Importance == parts[start].Importance && parts[end].Cost == parts[start].Cost {
			end++
		}
		refused -= refuseEqual(refused, claims, parts[start:end])
		start = end
	}
}

// refusable returns how much of the part can be refused with at most that much in all.
func (p *Part) refusable(c *Claim, amount float64) float64 {
	return max(min(amount, p.Demand-p.Refused, c.Granted-c.floor), 0)
}

// refuse refuses up to the amount, and returns how much.
func (p *Part) refuse(c *Claim, amount float64) float64 {
	amount = p.refusable(c, amount)
	p.Refused += amount
	c.Granted -= amount
	return amount
}

// refuseEqual refuses up to the amount of equal parts of different customers, so that what
// is left to those that are refused any is the same for their weight. It returns how much.
func refuseEqual(amount float64, claims []Claim, parts []Part) float64 {
	excess := func(c *Claim, level float64) float64 { return c.Granted - level*c.weight }
	low, high := 0.0, 0.0
	for i := range parts {
		high = max(high, claims[parts[i].Claim].ratio)
	}
	for range divisionSteps {
		middle, sum := (low+high)/2, 0.0
		for i := range parts {
			c := &claims[parts[i].Claim]
			sum += parts[i].refusable(c, excess(c, middle))
		}
		if sum > amount {
			low = middle
		} else {
			high = middle
		}
	}
	sum := 0.0
	for i := range parts {
		c := &claims[parts[i].Claim]
		sum += parts[i].refuse(c, excess(c, high))
	}
	return sum
}
