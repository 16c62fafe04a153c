package zyparent

import (
	"slices"
	"time"

	"zinniayoke"
)

// chainGap is the longest time from the end of a child call to the start of the next one
// of the same run, or to the end of the run. Workers make their calls one after the
// other without a pause, so it allows for delays within the node only.
const chainGap = 1 * time.Millisecond

// Chain is a sequence of child calls that one run of the worker makes, each starting
// when the one before has ended. Where neither a handle nor the deadline of a call names
// the run, the table guesses it and corrects the guess when a run ends: the chain whose
// last call has ended just before is the one of that run.
type Chain struct {
	table      *Table
	parent     *Parent
	inProgress int
	ended      int
	lastEnd    time.Time
}

// StartCall adds a child call to the chain whose last call has just ended, which is
// assigned to the given parent unless that is nil. If no call has just ended, it begins a
// chain and assigns it to the longest running run without one. makesCalls reports whether
// runs of a route are known to make such calls. A call's deadline is never later than that
// of its parent. StartCall returns nil if no run comes into question. Each call must end
// with Chain.End.
func (t *Table) StartCall(now, deadline time.Time, parent *Parent, makesCalls func(r zinniayoke.RouteName) bool) *Chain {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.earliestEnded(now, deadline)
	switch {
	case parent != nil:
		c = t.assign(c, parent)
	case c == nil:
		if parent = t.oldestWithoutChain(deadline, makesCalls); parent == nil {
			return nil
		}
		c = t.assign(nil, parent)
	}
	c.inProgress++
	return c
}

// Parent returns the run that the chain is assigned to.
func (c *Chain) Parent() *Parent {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.parent
}

// Ended returns how many calls of the chain have ended.
func (c *Chain) Ended() int {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.ended
}

// End records the end of a call of the chain.
func (c *Chain) End(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.inProgress--
	c.ended++
	c.lastEnd = now
}

// assign assigns a chain to the run that certainly makes its next call, and the run that
// it was assigned to gets the other's chain. Without a chain it returns the one of the
// run, or a new one. t.mu must be held.
func (t *Table) assign(c *Chain, p *Parent) *Chain {
	p.makesCalls = true
	own := t.chainOf(p)
	switch {
	case c == nil && own != nil:
		return own
	case c == nil:
		c = &Chain{table: t}
		t.chains = append(t.chains, c)
	case own != nil:
		own.parent = c.parent
	}
	c.parent = p
	return c
}

// chainOf returns the chain that is assigned to a run, or nil. t.mu must be held.
func (t *Table) chainOf(p *Parent) *Chain {
	i := slices.IndexFunc(t.chains, func(c *Chain) bool { return c.parent == p })
	if i < 0 {
		return nil
	}
	return t.chains[i]
}

// earliestEnded returns the chain without calls in progress whose last call ended earliest
// within chainGap, and whose run may have calls until the deadline, or nil. Workers take
// about the same time to go on, so the earliest one is next. t.mu must be held.
func (t *Table) earliestEnded(now, deadline time.Time) *Chain {
	var next *Chain
	for _, c := range t.chains {
		if c.inProgress > 0 || now.Sub(c.lastEnd) > chainGap || c.parent.Deadline.Before(deadline) {
			continue
		}
		if next == nil || c.lastEnd.Before(next.lastEnd) {
			next = c
		}
	}
	return next
}

// oldestWithoutChain returns the longest running run that may make a call with the
// deadline, or nil. t.mu must be held.
func (t *Table) oldestWithoutChain(deadline time.Time, makesCalls func(r zinniayoke.RouteName) bool) *Parent {
	var oldest *Parent
	for _, p := range t.parents {
		p.makesCalls = p.makesCalls || makesCalls(p.Route)
		if !p.makesCalls || p.Deadline.Before(deadline) || oldest != nil && !p.started.Before(oldest.started) {
			continue
		}
		if t.chainOf(p) == nil {
			oldest = p
		}
	}
	return oldest
}

// endChain removes the chain of a run that ends now: the one whose last call has just
// ended. t.mu must be held.
func (t *Table) endChain(now time.Time, p *Parent) {
	own := t.chainOf(p)
	if own == nil && !p.makesCalls {
		return
	}
	if c := t.earliestEnded(now, now); c != nil {
		own = t.assign(c, p)
	}
	t.chains = slices.DeleteFunc(t.chains, func(c *Chain) bool { return c == own })
}
