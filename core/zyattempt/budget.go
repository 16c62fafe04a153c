// Package zyattempt limits the attempts that one root request causes in its entire
// call chain, and the retries of each caller and to each service.
package zyattempt

import (
	"sync"

	"zinniayoke"
)

// Budget holds the attempts that one hop may still make itself or pass to its child
// calls. The zero value is empty. A Budget may be used by several goroutines.
type Budget struct {
	mu        sync.Mutex
	remaining zinniayoke.Tokens
	// needed is the number of tokens that the rest of a run without retries takes.
	needed zinniayoke.Tokens
	// spent is the number of tokens that were used or passed on and not refunded.
	spent  zinniayoke.Tokens
	closed bool
	sends  zinniayoke.Tokens
}

// NewBudget returns a Budget of remaining tokens. A complete run without retries
// takes needed tokens.
func NewBudget(remaining, needed zinniayoke.Tokens) *Budget {
	return &Budget{remaining: max(remaining, 0), needed: max(needed, 0)}
}

// StartSend takes one token for a send by this hop and a share for the child calls
// that the send causes. calls is the number of tokens that these take in a run
// without retries. Half of the tokens beyond those needed are held back for another
// send. It returns false if no token remains.
func (b *Budget) StartSend(calls zinniayoke.Tokens) (childBudget zinniayoke.Tokens, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining < 1 {
		return 0, false
	}
	b.remaining--
	b.spent++
	b.sends++
	childBudget = min(calls, b.remaining)
	extra := max(b.remaining-childBudget, 0)
	childBudget += extra / 2
	b.remaining -= childBudget
	b.spent += childBudget
	return childBudget, true
}

// DelegateAll takes all tokens for another node, whose reply returns the unused
// ones.
func (b *Budget) DelegateAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent += b.remaining
	b.remaining = 0
}

// Refund returns tokens that a send did not use. It does nothing after Close.
func (b *Budget) Refund(unused zinniayoke.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unused = min(max(unused, 0), b.spent)
	if b.closed {
		return
	}
	b.remaining += unused
	b.spent -= unused
}

// TakeForChild takes the tokens for one child call. A run of the child without
// retries takes childNeed tokens; the child also gets half of the tokens that no
// child needs. Tokens that the child does not use must be given back with Refund.
func (b *Budget) TakeForChild(childNeed zinniayoke.Tokens) zinniayoke.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	extra := max(b.remaining-max(b.needed, childNeed), 0)
	childBudget := min(childNeed+(extra+1)/2, b.remaining)
	b.remaining -= childBudget
	b.needed = max(b.needed-childNeed, 0)
	b.spent += childBudget
	return childBudget
}

// Sends returns the number of sends by this hop, without those downstream in the
// chain.
func (b *Budget) Sends() zinniayoke.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sends
}

// Remaining returns the number of tokens that are not spent.
func (b *Budget) Remaining() zinniayoke.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}

// Close empties the budget and returns the remaining tokens, so that they cannot be
// spent after they were returned to the parent.
func (b *Budget) Close() zinniayoke.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.remaining
	b.remaining = 0
	b.closed = true
	return remaining
}
