package zyattempt

import (
	"sync"

	"zinniayoke"
)

// CallerClass identifies a retry budget: one for each caller and importance class.
type CallerClass struct {
	Caller zinniayoke.Caller
	Class  zinniayoke.ClassName
}

const (
	// initialRetries lets a caller without a history retry a few times.
	initialRetries = 3
	// maxRetries limits the retries that a budget can accumulate.
	maxRetries = 50
	maxBudgets = 8192
)

// CallerRetryBudgets limits retries to a ratio of the successes, separately for
// each caller and class. The number of budgets is limited: beyond it, all further
// callers of a class share one. It may be used by several goroutines. A
// CallerRetryBudgets must be created with NewCallerRetryBudgets.
type CallerRetryBudgets struct {
	mu      sync.Mutex
	retries map[CallerClass]float64
}

// NewCallerRetryBudgets returns budgets in which each caller starts with a few
// retries.
func NewCallerRetryBudgets() *CallerRetryBudgets {
	return &CallerRetryBudgets{retries: make(map[CallerClass]float64)}
}

// RecordSuccess adds ratio retries for a success.
func (b *CallerRetryBudgets) RecordSuccess(key CallerClass, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key = b.keyFor(key)
	b.retries[key] = min(b.retries[key]+ratio, maxRetries)
}

// Spend takes one retry and reports whether there was one.
func (b *CallerRetryBudgets) Spend(key CallerClass) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key = b.keyFor(key)
	if b.retries[key] < 1-epsilon {
		return false
	}
	b.retries[key]--
	return true
}

// keyFor returns the key of the budget that applies to the caller, and creates the
// budget if necessary.
func (b *CallerRetryBudgets) keyFor(key CallerClass) CallerClass {
	if _, ok := b.retries[key]; ok {
		return key
	}
	if len(b.retries) >= maxBudgets {
		key = CallerClass{Class: key.Class}
	}
	if _, ok := b.retries[key]; !ok {
		b.retries[key] = initialRetries
	}
	return key
}
