package zyattempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke/core/zyattempt"
)

// TestServiceRetriesOfAllNodes simulates nodes that retry whenever their budget
// allows it, and counts the retries of all of them in each window. It guards against
// parts of the budget that exceed the total when added up over the nodes.
func TestServiceRetriesOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * time.Second, 0.2, 48.0
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		budgets := make([]*zyattempt.ServiceRetryBudgets, nodes)
		for i := range budgets {
			budgets[i] = zyattempt.NewServiceRetryBudgets(zyattempt.ServiceRetryConfig{
				Ratio: ratio, Window: window, Slack: slack, NodeCount: func() int { return nodes },
			})
		}
		now := time.Now()
		var firstSends, retries []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstSend(now, "s")
				firstSends = append(firstSends, now)
			} else if b.Spend(now, "s") {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			countWithin := func(times []time.Time, period time.Duration) int {
				n := 0
				for _, at := range times {
					if !at.After(end) && end.Sub(at) < period {
						n++
					}
				}
				return n
			}
			// The budget counts the requests of this window or the one before.
			if got, allowed := countWithin(retries, window), ratio*float64(countWithin(firstSends, 2*window))+slack; float64(got) > allowed {
				t.Fatalf("%d retries in a window, want at most %.0f", got, allowed)
			}
		}
	})
}

// TestServiceRetriesExpire guards against retries that are still counted after their
// window, which would block all further ones.
func TestServiceRetriesExpire(t *testing.T) {
	b := zyattempt.NewServiceRetryBudgets(zyattempt.ServiceRetryConfig{
		Ratio: 0, Window: 10 * time.Second, Slack: 4, NodeCount: func() int { return 1 },
	})
	now := time.Now()
	spend := func() int {
		n := 0
		for b.Spend(now, "s") {
			n++
		}
		return n
	}
	if first := spend(); first != 2 {
		t.Errorf("%d retries in the first window, want 2 (half of the slack)", first)
	}
	now = now.Add(11 * time.Second)
	if later := spend(); later != 2 {
		t.Errorf("%d retries in the next window, want 2", later)
	}
}
