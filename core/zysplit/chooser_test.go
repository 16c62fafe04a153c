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

// TestWeightsAreKept checks that 300 calls, the fewest that operators compare,
// are within a tenth of the weights.
func TestWeightsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &zybundle.Route{Name: "r"}
		sum := 0.0
		for i := range rapid.IntRange(1, 4).Draw(t, "parts") {
			weight := float64(rapid.IntRange(1, 100).Draw(t, "weight"))
			r.Split = append(r.Split, zybundle.Part{Service: zinniayoke.Service(rune('a' + i)), Weight: weight})
			sum += weight
		}
		c := zysplit.New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		const calls, tolerated = 300, 0.1
		counts := map[zinniayoke.Service]int{}
		for range calls {
			counts[c.Choose(r)]++
		}
		for _, p := range r.Split {
			if got := float64(counts[p.Service]) / calls; math.Abs(got-p.Weight/sum) > tolerated {
				t.Fatalf("%s has %.2f of the calls, its weight is %.2f", p.Service, got, p.Weight/sum)
			}
		}
	})
}

func TestWithoutSplit(t *testing.T) {
	c := zysplit.New(rand.New(rand.NewPCG(1, 1)))
	if got := c.Choose(&zybundle.Route{Service: "s"}); got != "s" {
		t.Errorf("got %s, want s", got)
	}
}
