// Package zyparent keeps the running calls of a node's worker, so that child
// calls find the request that they are a part of. The handle that the worker
// is given means nothing elsewhere and cannot be forged.
package zyparent

import (
	"crypto/rand"
	"encoding/base64"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
)

// Parent is a running call whose worker may make child calls.
type Parent struct {
	Request  zinniayoke.RequestID
	Caller   zinniayoke.Caller
	Route    zinniayoke.RouteName
	Key      zinniayoke.Key
	Rank     zinniayoke.Rank
	Deadline time.Time
	Depth    int
	Version  zinniayoke.Version
	Budget   *zyattempt.Budget
	Done     <-chan struct{}

	mu        sync.Mutex
	children  int
	since     time.Time
	waited    time.Duration
	threshold zinniayoke.Rank
	ordinals  map[uint64]int
	failure   string
}

// Table holds the parents by handle. It may be used by several goroutines. The
// zero value is ready for use.
type Table struct {
	mu      sync.Mutex
	parents map[string]*Parent
	// stray is the last failure of a child call that matched no parent.
	stray   string
	strayAt time.Time
}

const handleSize = 16

// Add adds a parent and returns its handle.
func (t *Table) Add(p *Parent) string {
	raw := make([]byte, handleSize)
	_, _ = rand.Read(raw) // It never fails: the runtime ends the program instead.
	handle := base64.RawURLEncoding.EncodeToString(raw)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parents == nil {
		t.parents = make(map[string]*Parent)
	}
	t.parents[handle] = p
	return handle
}

// Find returns the parent of a handle. It returns false where the parent's call
// has ended or never was.
func (t *Table) Find(handle string) (*Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parents[handle]
	return p, ok
}

// matchTolerance is what two tellings of one deadline may differ by: each is
// rounded down to a millisecond, and the call is on its way in between.
const matchTolerance = 3 * time.Millisecond

// MatchDeadline returns the running call whose deadline is the nearest to the given
// one, where workers pass their call's deadline on but no handle. It returns
// false where none is near enough.
func (t *Table) MatchDeadline(deadline time.Time) (*Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *Parent
	nearest := matchTolerance
	for _, p := range t.parents {
		if d := p.Deadline.Sub(deadline); d >= 0 && d <= nearest {
			best, nearest = p, d
		}
	}
	return best, best != nil
}

// strayAge is how long before the end of a run a failed call may be its cause: a
// worker answers at once then.
const strayAge = 10 * time.Millisecond

// RecordUnmatchedFailure notes that a child call of an unknown parent has failed.
func (t *Table) RecordUnmatchedFailure(now time.Time, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stray, t.strayAt = why[:min(len(why), longestFailure)], now
}

// FailureCause returns why a run that ends now has failed, as far as is known: the
// first failed call of its own or else, as a guess, one of no known parent that
// has failed just before. It returns "" where there is neither.
func (t *Table) FailureCause(now time.Time, p *Parent) string {
	if why := p.FirstFailure(); why != "" {
		return why
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stray == "" || now.Sub(t.strayAt) > strayAge {
		return ""
	}
	return "probably " + t.stray
}

// Remove removes a parent.
func (t *Table) Remove(handle string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.parents, handle)
}

// StartChild notes that a child call begins.
func (p *Parent) StartChild(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.children == 0 {
		p.since = now
	}
	p.children++
}

// EndChild notes that a child call has ended, and the threshold of its route.
func (p *Parent) EndChild(now time.Time, threshold zinniayoke.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.children--
	if p.children == 0 {
		p.waited += now.Sub(p.since)
	}
	p.threshold = max(p.threshold, threshold)
}

// longestFailure bounds what is told of a failed child call, in bytes. Each hop
// of a chain adds some 40.
const longestFailure = 240

// RecordFailure notes that a child call has failed and why. The first one counts, as a
// worker mostly gives up then.
func (p *Parent) RecordFailure(why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure == "" {
		p.failure = why[:min(len(why), longestFailure)]
	}
}

// FirstFailure returns why the first child call failed, "" where none did.
func (p *Parent) FirstFailure() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

// ChildTime returns for how long at least one child call was under way.
func (p *Parent) ChildTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waited
}

// ChildThreshold returns the highest threshold among the routes of the children.
func (p *Parent) ChildThreshold() zinniayoke.Rank {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.threshold
}

// NextOrdinal counts equal child calls, so that two equal ones that are both meant
// have different keys, and those of a repeated parent the same ones.
func (p *Parent) NextOrdinal(content uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordinals == nil {
		p.ordinals = make(map[uint64]int)
	}
	p.ordinals[content]++
	return p.ordinals[content]
}
