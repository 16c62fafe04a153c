package zyattempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke/core/zyattempt"
)

// TestRepeatsOfAllNodes plays nodes that repeat whenever they may, and counts
// the repeats in each window over all of them.
func TestRepeatsOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * time.Second, 0.2, 48.0
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		all := make([]*zyattempt.ServiceRetryBudgets, nodes)
		for i := range all {
			all[i] = zyattempt.NewServiceRetryBudgets(zyattempt.ServiceRetryConfig{
				Ratio: ratio, Window: window, Slack: slack, NodeCount: func() int { return nodes },
			})
		}
		now := time.Now()
		var firsts, repeats []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := all[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				r.RecordFirstSend(now, "s")
				firsts = append(firsts, now)
			} else if r.Spend(now, "s") {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			within := func(times []time.Time, span time.Duration) int {
				n := 0
				for _, at := range times {
					if !at.After(end) && end.Sub(at) < span {
						n++
					}
				}
				return n
			}
			// The budget counts the requests of a window or the one before.
			if got, allowed := within(repeats, window), ratio*float64(within(firsts, 2*window))+slack; float64(got) > allowed {
				t.Fatalf("%d repeats in a window, %.0f are allowed", got, allowed)
			}
		}
	})
}

func TestRepeatsAreForgotten(t *testing.T) {
	r := zyattempt.NewServiceRetryBudgets(zyattempt.ServiceRetryConfig{
		Ratio: 0, Window: 10 * time.Second, Slack: 4, NodeCount: func() int { return 1 },
	})
	now := time.Now()
	spend := func() int {
		n := 0
		for r.Spend(now, "s") {
			n++
		}
		return n
	}
	if first := spend(); first != 2 {
		t.Errorf("%d repeats at first, want half of the slack", first)
	}
	now = now.Add(11 * time.Second)
	if later := spend(); later != 2 {
		t.Errorf("%d repeats in the next window, want 2", later)
	}
}
