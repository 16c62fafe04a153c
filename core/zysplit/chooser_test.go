package zysplit_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zysplit"
)

// TestSharesMatchWeights checks that the shares of 300 calls, the smallest number
// that operators compare, differ from the weights by at most 0.1.
func TestSharesMatchWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &zybundle.Route{Name: "r"}
		total := 0.0
		for i := range rapid.IntRange(1, 4).Draw(t, "parts") {
			weight := float64(rapid.IntRange(1, 100).Draw(t, "weight"))
			r.Split = append(r.Split, zybundle.WeightedService{Service: zinniayoke.Service(rune('a' + i)), Weight: weight})
			total += weight
		}
		c := zysplit.New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		const calls, tolerance = 300, 0.1
		counts := map[zinniayoke.Service]int{}
		for range calls {
			counts[c.Choose(r)]++
		}
		for _, p := range r.Split {
			if got := float64(counts[p.Service]) / calls; math.Abs(got-p.Weight/total) > tolerance {
				t.Fatalf("service %s got a share of %.2f of the calls, want %.2f", p.Service, got, p.Weight/total)
			}
		}
	})
}

func TestRouteWithoutSplit(t *testing.T) {
	c := zysplit.New(rand.New(rand.NewPCG(1, 1)))
	if got := c.Choose(&zybundle.Route{Service: "s"}); got != "s" {
		t.Errorf("service of a route without split is %s, want s", got)
	}
}
