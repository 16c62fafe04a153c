package zybackpressure_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zyfairshare"
)

// TestPreviewChangesNothing offers the same calls to two shedders, one of which is queried
// before each call. It guards against queries that count as calls or change the plan, and
// against shares that differ from what is admitted.
func TestPreviewChangesNothing(t *testing.T) {
	for _, customers := range [][]zyfairshare.Customer{{{}}, {customer("a", 0), customer("b", 0)}} {
		queried, other := zybackpressure.NewShedder(), zybackpressure.NewShedder()
		r := route("lookup", 125)
		now := time.Unix(0, 0)
		expected, admitted, calls := 0.0, 0.0, 0.0
		for i := range 4000 {
			now = now.Add(10 * time.Millisecond)
			c := customers[i%3%len(customers)]
			if i == 0 && c.Name != "" {
				c = customer("once", 0) // It is forgotten by a later plan.
			}
			p := queried.Preview(now, r, c)
			id := zinniayoke.RequestID(fmt.Sprint(i))
			a, b := queried.AdmitFor(now, r, c, id, uint64(i)), other.AdmitFor(now, r, c, id, uint64(i))
			if a != b {
				t.Fatalf("call %d of %q: %+v after queries, %+v without", i, c.Name, a, b)
			}
			for _, s := range []*zybackpressure.Shedder{queried, other} {
				s.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 0.01, ExcessShare: 0.3}})
			}
			if i < 1000 {
				continue
			}
			calls++
			expected += p.AdmittedShare
			if a.Admitted {
				admitted++
			}
		}
		if expected/calls > 0.9 || math.Abs(expected-admitted)/calls > 0.05 {
			t.Errorf("%d customers: %.3f of the calls were admitted, the queries say %.3f", len(customers), admitted/calls, expected/calls)
		}
	}
}
