package zyfairshare_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyfairshare"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestDivide guards against capacity that is left over or granted twice, and against
// customers that get less than the part that each one keeps.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]zyfairshare.Claim, rapid.IntRange(1, 40).Draw(t, "claims"))
		demand := 0.0
		for i := range claims {
			claims[i] = zyfairshare.Claim{
				Customer: zyfairshare.Customer{
					Weight: rapid.Float64Range(0.1, 1000).Draw(t, "weight"), Level: rapid.IntRange(0, 3).Draw(t, "level"),
				},
				Demand: rapid.Float64Range(0, 500).Draw(t, "demand"),
			}
			demand += claims[i].Demand
		}
		capacity := demand * rapid.Float64Range(0, 1.2).Draw(t, "capacity")
		zyfairshare.Divide(capacity, rapid.Float64Range(0.1, 10).Draw(t, "unit"), claims)
		granted := 0.0
		for _, c := range claims {
			granted += c.Granted
		}
		if want := min(capacity, demand); math.Abs(granted-want) > 1e-5*(1+want) {
			t.Fatalf("granted %v, want %v", granted, want)
		}
		for i, c := range claims {
			others := (granted - c.Granted) / (demand - c.Demand)
			if c.Granted > c.Demand*(1+1e-9) || c.Demand < demand && c.Granted < (zyfairshare.MinServedRatio-1e-6)*others*c.Demand {
				t.Fatalf("claim %d of %v is granted %v while the others are served %v", i, c.Demand, c.Granted, others)
			}
		}
	})
}

// TestRefuse guards against refusing more or less than asked for, also of an excess that is
// almost 0, and against refusing a customer more than what Divide leaves it.
func TestRefuse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]zyfairshare.Claim, rapid.IntRange(1, 20).Draw(t, "claims"))
		var parts []zyfairshare.Part
		demand := 0.0
		for i := range claims {
			claims[i].Index = i
			claims[i].Customer = zyfairshare.Customer{Weight: rapid.Float64Range(0.1, 100).Draw(t, "weight"), Level: rapid.IntRange(0, 2).Draw(t, "level")}
			for kind := range rapid.IntRange(1, 3).Draw(t, "kinds") {
				part := zyfairshare.Part{Claim: i, Importance: kind, Cost: 1, Demand: rapid.Float64Range(0.001, 50).Draw(t, "demand")}
				parts = append(parts, part)
				claims[i].Demand += part.Demand
				demand += part.Demand
			}
		}
		share := rapid.SampledFrom([]float64{0, 1e-25, 1e-4, 0.1, 0.5, 0.98}).Draw(t, "share")
		zyfairshare.Refuse(share*demand, 1, claims, parts)
		refused, byClaim := 0.0, make([]float64, len(claims))
		for _, p := range parts {
			if p.Refused < 0 || p.Refused > p.Demand*(1+1e-9) {
				t.Fatalf("%v of a part of %v is refused", p.Refused, p.Demand)
			}
			refused += p.Refused
			byClaim[p.Claim] += p.Refused
		}
		if math.Abs(refused-share*demand) > 1e-5*demand {
			t.Fatalf("%v is refused, want %v", refused, share*demand)
		}
		for i, c := range claims {
			if kept := c.Demand - byClaim[i]; kept < (zyfairshare.MinServedRatio-1e-6)*(1-share)*c.Demand {
				t.Fatalf("claim %d of %v keeps %v at share %v", i, c.Demand, kept, share)
			}
		}
	})
}

// TestDivideByWeightAndPriority checks what customers get that ask for many calls, so that
// random variation does not count.
func TestDivideByWeightAndPriority(t *testing.T) {
	type claim struct {
		weight, demand float64
		level          int
		want           float64
	}
	for _, c := range []struct {
		name     string
		capacity float64
		claims   []claim
	}{
		{"in proportion to the weights", 600, []claim{{1, 1000, 0, 150}, {3, 1000, 0, 450}}},
		{"an unused part goes to the others", 600, []claim{{1, 100, 0, 100}, {1, 400, 0, 250}, {1, 400, 0, 250}}},
		// 0.3 of what the others are served: g/100 = 0.3*(900-g)/900.
		{"a lower priority keeps its part", 900, []claim{{1, 450, 0, 435.5}, {1, 450, 0, 435.5}, {1, 100, 1, 29}}},
		// The first one is entitled to 1.25 times what the others send.
		{"a high priority takes little with 3 times its rate", 400, []claim{{1, 300, 0, 125}, {1, 100, 1, 91.7}, {1, 100, 1, 91.7}, {1, 100, 1, 91.7}}},
	} {
		claims := make([]zyfairshare.Claim, len(c.claims))
		for i, x := range c.claims {
			name := zinniayoke.Customer(fmt.Sprint(i))
			claims[i] = zyfairshare.Claim{Customer: zyfairshare.Customer{Name: name, Weight: x.weight, Level: x.level}, Demand: x.demand, Index: i}
		}
		zyfairshare.Divide(c.capacity, 0.001, claims)
		for _, got := range claims {
			if want := c.claims[got.Index].want; math.Abs(got.Granted-want) > 0.01*want {
				t.Errorf("%s: claim %d is granted %.1f, want %.1f", c.name, got.Index, got.Granted, want)
			}
		}
	}
}

// TestOrderByWeight lets two customers with weights 1 and 3 wait all the time, and a third
// one for its first calls after the others have started many.
func TestOrderByWeight(t *testing.T) {
	var o zyfairshare.Order
	waiting := []*zyfairshare.Flow{{Customer: zyfairshare.Customer{Name: "a", Weight: 1}}, {Customer: zyfairshare.Customer{Name: "b", Weight: 3}}}
	started := make(map[zinniayoke.Customer]int)
	start := func(n int) {
		for range n {
			next := waiting[0]
			for _, f := range waiting[1:] { // Of equal ones, the first is the earliest.
				if o.Tag(f, 0) < o.Tag(next, 0) {
					next = f
				}
			}
			o.Start(next)
			started[next.Customer.Name]++
		}
	}
	start(400)
	if started["b"] < 290 || started["b"] > 310 {
		t.Errorf("%d of 400 calls are of the customer with 3 of 4 parts of the weight, want about 300", started["b"])
	}
	waiting = slices.Insert(waiting, 0, &zyfairshare.Flow{Customer: zyfairshare.Customer{Name: "c", Weight: 1}})
	start(8)
	if started["c"] != 8 {
		t.Errorf("%d of the first 8 calls of a new customer start at once, want all", started["c"])
	}
	start(50)
	if started["c"] > 22 {
		t.Errorf("a new customer starts %d calls of 58, want about 20", started["c"])
	}
}
