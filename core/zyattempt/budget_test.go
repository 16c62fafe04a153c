package zyattempt_test

import (
	"testing"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
)

// runChain simulates one hop: it sends until it stops or has no tokens left, and
// each send makes up to two child calls. It returns the number of sends in the
// entire chain.
func runChain(t *rapid.T, budget *zyattempt.Budget, calls zinniayoke.Tokens, depth int) int {
	sends := 0
	for {
		childBudget, ok := budget.StartSend(calls)
		if !ok {
			return sends
		}
		sends++
		children := zyattempt.NewBudget(childBudget, calls)
		for range rapid.IntRange(0, 2).Draw(t, "children") {
			if depth == 0 {
				break
			}
			childNeed := max(calls, 1)
			child := zyattempt.NewBudget(children.TakeForChild(childNeed), childNeed)
			sends += runChain(t, child, childNeed-1, depth-1)
			children.Refund(child.Remaining())
		}
		unused := children.Close()
		if rapid.Bool().Draw(t, "answered") {
			budget.Refund(unused)
		}
		if rapid.IntRange(0, 2).Draw(t, "stop") == 0 {
			return sends
		}
	}
}

// TestChainStaysWithinBudget checks that a chain in which every hop retries and
// makes child calls at random never exceeds the attempt budget of the root request.
func TestChainStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, 40).Draw(t, "attempts")
		calls := rapid.IntRange(0, 10).Draw(t, "calls")
		budget := zyattempt.NewBudget(zinniayoke.Tokens(attempts), zinniayoke.Tokens(1+calls))
		if sends := runChain(t, budget, zinniayoke.Tokens(calls), 4); sends > attempts {
			t.Fatalf("%d sends in the chain, want at most %d", sends, attempts)
		}
	})
}

// TestRunWithoutRetriesHasEnoughTokens checks that a budget of at least the depth
// of the chain suffices for every hop of a run without retries.
func TestRunWithoutRetriesHasEnoughTokens(t *testing.T) {
	for _, c := range []struct{ attempts, depth zinniayoke.Tokens }{{9, 9}, {10, 9}, {18, 9}, {3, 3}, {4, 3}, {1, 1}, {100, 9}} {
		remaining, needed := c.attempts, c.depth
		for hop := c.depth; hop > 0; hop-- {
			budget := zyattempt.NewBudget(remaining, needed)
			childBudget, ok := budget.StartSend(hop - 1)
			if !ok || childBudget < hop-1 {
				t.Errorf("%d attempts, depth %d: hop %d has %d tokens for its child calls", c.attempts, c.depth, c.depth-hop, childBudget)
			}
			parent := zyattempt.NewBudget(childBudget, hop-1)
			remaining, needed = parent.TakeForChild(hop-1), hop-1
		}
	}
}

// TestBudgetAfterClose guards against tokens that are spent twice: once by the parent
// that got them back and once by a send or refund after Close.
func TestBudgetAfterClose(t *testing.T) {
	budget := zyattempt.NewBudget(5, 1)
	if _, ok := budget.StartSend(0); !ok {
		t.Fatal("StartSend on a budget of 5 tokens failed")
	}
	remaining := budget.Close()
	budget.Refund(2)
	if _, ok := budget.StartSend(0); ok {
		t.Error("StartSend after Close succeeded")
	}
	if remaining > 4 {
		t.Errorf("%d of 5 tokens remain after a send, want at most 4", remaining)
	}
}

// TestCallerRetryBudgets checks that retries are earned by successes at exactly the
// configured ratio, despite rounding, and that one caller cannot use up the retries of
// another.
func TestCallerRetryBudgets(t *testing.T) {
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
		t.Errorf("%d initial retries, want 3; ten successes at a ratio of 0.1 must add exactly one", spent)
	}
	if !b.Spend(zyattempt.CallerClass{Caller: "d", Class: "k"}) {
		t.Error("caller d has no initial retry after caller c used up its own")
	}
}
