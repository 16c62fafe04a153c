package zyattempt_test

import (
	"testing"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
)

// chain plays one hop: it sends until it succeeds or has nothing left, and each
// send may make child calls. It returns how many sends it caused in all.
func chain(t *rapid.T, pool *zyattempt.Budget, calls zinniayoke.Tokens, depth int) int {
	sends := 0
	for {
		share, ok := pool.StartSend(calls)
		if !ok {
			return sends
		}
		sends++
		below := zyattempt.NewBudget(share, calls)
		for range rapid.IntRange(0, 2).Draw(t, "children") {
			if depth == 0 {
				break
			}
			need := max(calls, 1)
			child := zyattempt.NewBudget(below.TakeForChild(need), need)
			sends += chain(t, child, need-1, depth-1)
			below.Refund(child.Remaining())
		}
		unused := below.Close()
		if rapid.Bool().Draw(t, "answered") {
			pool.Refund(unused)
		}
		if rapid.IntRange(0, 2).Draw(t, "enough") == 0 {
			return sends
		}
	}
}

// TestChainIsBounded lets every hop retry and make child calls as it likes.
func TestChainIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, 40).Draw(t, "attempts")
		calls := rapid.IntRange(0, 10).Draw(t, "calls")
		pool := zyattempt.NewBudget(zinniayoke.Tokens(attempts), zinniayoke.Tokens(1+calls))
		if sends := chain(t, pool, zinniayoke.Tokens(calls), 4); sends > attempts {
			t.Fatalf("%d sends, %d are allowed", sends, attempts)
		}
	})
}

// TestWholeChainFits shows that a run without failures never lacks tokens.
func TestWholeChainFits(t *testing.T) {
	for _, c := range []struct{ attempts, depth zinniayoke.Tokens }{{9, 9}, {10, 9}, {18, 9}, {3, 3}, {4, 3}, {1, 1}, {100, 9}} {
		left, needed := c.attempts, c.depth
		for hop := c.depth; hop > 0; hop-- {
			pool := zyattempt.NewBudget(left, needed)
			share, ok := pool.StartSend(hop - 1)
			if !ok || share < hop-1 {
				t.Errorf("%d attempts, %d deep: hop %d has %d left", c.attempts, c.depth, c.depth-hop, share)
			}
			parent := zyattempt.NewBudget(share, hop-1)
			left, needed = parent.TakeForChild(hop-1), hop-1
		}
	}
}

func TestPoolAfterClose(t *testing.T) {
	pool := zyattempt.NewBudget(5, 1)
	if _, ok := pool.StartSend(0); !ok {
		t.Fatal("nothing to spend")
	}
	left := pool.Close()
	pool.Refund(2)
	if _, ok := pool.StartSend(0); ok {
		t.Error("a closed pool was spent from")
	}
	if left > 4 {
		t.Errorf("%d left of 5 after a send", left)
	}
}

func TestBudgets(t *testing.T) {
	b := zyattempt.NewCallerRetryBudgets()
	key := zyattempt.CallerClass{Caller: "c", Class: "k"}
	spent := 0
	for b.Spend(key) {
		spent++
	}
	for range 10 {
		b.RecordSuccess(key, 0.1)
	}
	if spent != 3 || !b.Spend(key) || b.Spend(key) {
		t.Errorf("%d retries at the start; ten successes at 10%% have to pay for one", spent)
	}
	if !b.Spend(zyattempt.CallerClass{Caller: "d", Class: "k"}) {
		t.Error("another caller has no retry")
	}
}
