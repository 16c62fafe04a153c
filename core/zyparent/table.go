// Package zyparent keeps the calls that a node's worker is running, so that child
// calls can be attributed to their parent request. The worker gets a random handle
// for each of them, which cannot be guessed and is valid on this node only.
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
	Request zinniayoke.RequestID
	Caller  zinniayoke.Caller
	// Share is the customer to whose share of the capacity the call and its child calls
	// count.
	Share    zinniayoke.Customer
	Route    zinniayoke.RouteName
	Key      zinniayoke.Key
	Rank     zinniayoke.Rank
	Deadline time.Time
	Depth    int
	Version  zinniayoke.Version
	Budget   *zyattempt.Budget
	Done     <-chan struct{}
	// Repeated is true if the call was resent, or belongs to a run of such a call.
	Repeated bool

	mu sync.Mutex
	// children is the number of child calls in progress.
	children int
	// childrenSince is when children last changed from 0 to 1.
	childrenSince time.Time
	// childTime is the total time of the completed periods with children above 0.
	childTime time.Duration
	// started is when the run was added to the table.
	started time.Time
	// makesCalls is true once runs of the route are known to make child calls. It is
	// protected by the mutex of the table.
	makesCalls bool
	threshold  zinniayoke.Rank
	// ordinals counts child calls by the hash of their content.
	ordinals     map[uint64]int
	firstFailure string
}

// Table holds the parents by handle. It is safe for concurrent use. The zero value
// is ready for use.
type Table struct {
	mu      sync.Mutex
	parents map[string]*Parent
	chains  []*Chain
	// unmatchedFailure is the last failure of a child call that matched no parent.
	unmatchedFailure string
	unmatchedAt      time.Time
}

// handleSize is the length of a handle in bytes before encoding.
const handleSize = 16

// Add adds a parent and returns its handle.
func (t *Table) Add(p *Parent) string {
	raw := make([]byte, handleSize)
	_, _ = rand.Read(raw) // It never returns an error: the runtime crashes the program instead.
	handle := base64.RawURLEncoding.EncodeToString(raw)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parents == nil {
		t.parents = make(map[string]*Parent)
	}
	p.started = time.Now()
	t.parents[handle] = p
	return handle
}

// Find returns the parent of a handle. It returns false if the handle is unknown
// or the parent's call has ended.
func (t *Table) Find(handle string) (*Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parents[handle]
	return p, ok
}

// matchTolerance is the largest difference between a parent's deadline and the one
// that its child calls pass on: each hop rounds the remaining time down to a
// millisecond, and the network adds its delay.
const matchTolerance = 3 * time.Millisecond

// MatchDeadline returns the running call whose deadline is the closest to the given
// one, for workers that propagate the deadline of their call but no handle. It
// returns false if no deadline is at or within matchTolerance after the given one.
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

// unmatchedFailureAge is how long before the end of a run a child call may have
// failed to count as the cause: a worker responds at once after such a failure.
const unmatchedFailureAge = 10 * time.Millisecond

// RecordUnmatchedFailure records why a child call whose parent is unknown failed.
func (t *Table) RecordUnmatchedFailure(now time.Time, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unmatchedFailure, t.unmatchedAt = why[:min(len(why), maxFailureLen)], now
}

// FailureCause returns the presumed reason for the failure of a run that ends now:
// its first failed child call or else, marked as probable, a child call with an
// unknown parent that failed just before. It returns "" if there is neither.
func (t *Table) FailureCause(now time.Time, p *Parent) string {
	if why := p.FirstFailure(); why != "" {
		return why
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unmatchedFailure == "" || now.Sub(t.unmatchedAt) > unmatchedFailureAge {
		return ""
	}
	return "probably " + t.unmatchedFailure
}

// Remove removes the parent of a handle.
func (t *Table) Remove(handle string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.parents[handle]; ok && len(t.chains) > 0 {
		t.endChain(time.Now(), p)
	}
	delete(t.parents, handle)
}

// StartChild records the start of a child call.
func (p *Parent) StartChild(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.children == 0 {
		p.childrenSince = now
	}
	p.children++
}

// EndChild records the end of a child call and the threshold of its route.
func (p *Parent) EndChild(now time.Time, threshold zinniayoke.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.children--
	if p.children == 0 {
		p.childTime += now.Sub(p.childrenSince)
	}
	p.threshold = max(p.threshold, threshold)
}

// maxFailureLen bounds the description of a failed child call, in bytes. Each hop
// of a chain adds about 40.
const maxFailureLen = 240

// RecordFailure records why a child call failed. Only the first failure is kept,
// because a worker usually gives up after it.
func (p *Parent) RecordFailure(why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstFailure == "" {
		p.firstFailure = why[:min(len(why), maxFailureLen)]
	}
}

// FirstFailure returns the reason of the first failed child call, or "" if none
// failed.
func (p *Parent) FirstFailure() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstFailure
}

// ChildTime returns the time during which at least one child call was in progress,
// up to the last time that none was.
func (p *Parent) ChildTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.childTime
}

// ChildThreshold returns the highest threshold among the routes of the child calls.
func (p *Parent) ChildThreshold() zinniayoke.Rank {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.threshold
}

// NextOrdinal returns 1 for the first child call with the given content hash, 2 for
// the second one, and so on. Keys derived from it tell apart equal child calls that
// are both intended, and are the same again when the parent is retried.
func (p *Parent) NextOrdinal(content uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordinals == nil {
		p.ordinals = make(map[uint64]int)
	}
	p.ordinals[content]++
	return p.ordinals[content]
}
