package zyattempt

import (
	"sync"

	"zinniayoke"
)

// BudgetKey names whose retries are counted.
type BudgetKey struct {
	Caller zinniayoke.Caller
	Class  zinniayoke.ClassName
}

const (
	// startingRetries lets a caller without a history retry now and then.
	startingRetries = 3
	mostRetries     = 50
	mostBudgets     = 8192
	// rounding is what sums of shares may miss.
	rounding = 1e-9
)

// Budgets bounds retries to a share of successes, for each caller and class.
// It is bounded: past its size, all further callers share one budget.
// A Budgets must be made with NewBudgets.
type Budgets struct {
	mu   sync.Mutex
	left map[BudgetKey]float64
}

// NewBudgets returns budgets that let each caller start with a few retries.
func NewBudgets() *Budgets {
	return &Budgets{left: make(map[BudgetKey]float64)}
}

// Earn adds a success, which allows share retries.
func (b *Budgets) Earn(key BudgetKey, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key = b.fit(key)
	b.left[key] = min(b.left[key]+share, mostRetries)
}

// Spend takes one retry and reports whether there was one.
func (b *Budgets) Spend(key BudgetKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key = b.fit(key)
	if b.left[key] < 1-rounding {
		return false
	}
	b.left[key]--
	return true
}

// fit returns the key under which the caller is counted and makes its entry.
func (b *Budgets) fit(key BudgetKey) BudgetKey {
	if _, ok := b.left[key]; ok {
		return key
	}
	if len(b.left) >= mostBudgets {
		key = BudgetKey{Class: key.Class}
	}
	if _, ok := b.left[key]; !ok {
		b.left[key] = startingRetries
	}
	return key
}
