// Package zyattempt bounds the attempts that one root request causes in its
// whole chain, and the retries that a caller causes in aggregate.
package zyattempt

import (
	"sync"

	"zinniayoke"
)

// Budget holds the attempts that one hop may still spend or pass to its children.
// The zero value is empty. A Budget may be used by several goroutines.
type Budget struct {
	mu     sync.Mutex
	left   zinniayoke.Tokens
	needed zinniayoke.Tokens
	spent  zinniayoke.Tokens
	closed bool
	sends  zinniayoke.Tokens
}

// NewBudget returns a Pool of left tokens, of which a whole run without any
// retry needs needed.
func NewBudget(left, needed zinniayoke.Tokens) *Budget {
	return &Budget{left: max(left, 0), needed: max(needed, 0)}
}

// StartSend takes one token for a send of this hop and a share for the children of
// the send, of which a run needs calls. It returns false where none is left.
// Half of what no run needs is held back for another send.
func (p *Budget) StartSend(calls zinniayoke.Tokens) (share zinniayoke.Tokens, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left < 1 {
		return 0, false
	}
	p.left--
	p.spent++
	p.sends++
	share = min(calls, p.left)
	extra := max(p.left-share, 0)
	share += extra / 2
	p.left -= share
	p.spent += share
	return share, true
}

// DelegateAll hands all tokens to another node, which tells with its reply how
// many it did not use.
func (p *Budget) DelegateAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent += p.left
	p.left = 0
}

// Refund returns what a send did not use. After Close it does nothing.
func (p *Budget) Refund(unused zinniayoke.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused = min(max(unused, 0), p.spent)
	if p.closed {
		return
	}
	p.left += unused
	p.spent -= unused
}

// TakeForChild removes the tokens of one child call, whose run needs need, and with
// them half of what no child needs. The child returns what it does not use.
func (p *Budget) TakeForChild(need zinniayoke.Tokens) zinniayoke.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	extra := max(p.left-max(p.needed, need), 0)
	taken := min(need+(extra+1)/2, p.left)
	p.left -= taken
	p.needed = max(p.needed-need, 0)
	p.spent += taken
	return taken
}

// Sends returns how many sends this hop has made, without what they passed on.
func (p *Budget) Sends() zinniayoke.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sends
}

// Remaining returns the tokens that are not spent.
func (p *Budget) Remaining() zinniayoke.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}

// Close empties the pool and returns what was left, so that nothing can be
// spent after it was given back.
func (p *Budget) Close() zinniayoke.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.left
	p.left = 0
	p.closed = true
	return left
}
