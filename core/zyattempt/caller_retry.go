package zyattempt

import (
	"sync"

	"zinniayoke"
)

// CallerClass names whose retries are counted.
type CallerClass struct {
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

// CallerRetryBudgets bounds retries to a share of successes, for each caller and class.
// It is bounded: past its size, all further callers share one budget.
// A CallerRetryBudgets must be made with NewBudgets.
type CallerRetryBudgets struct {
	mu   sync.Mutex
	left map[CallerClass]float64
}

// NewCallerRetryBudgets returns budgets that let each caller start with a few retries.
func NewCallerRetryBudgets() *CallerRetryBudgets {
	return &CallerRetryBudgets{left: make(map[CallerClass]float64)}
}

// RecordSuccess adds a success, which allows share retries.
func (b *CallerRetryBudgets) RecordSuccess(key CallerClass, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key = b.fit(key)
	b.left[key] = min(b.left[key]+share, mostRetries)
}

// Spend takes one retry and reports whether there was one.
func (b *CallerRetryBudgets) Spend(key CallerClass) bool {
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
func (b *CallerRetryBudgets) fit(key CallerClass) CallerClass {
	if _, ok := b.left[key]; ok {
		return key
	}
	if len(b.left) >= mostBudgets {
		key = CallerClass{Class: key.Class}
	}
	if _, ok := b.left[key]; !ok {
		b.left[key] = startingRetries
	}
	return key
}
