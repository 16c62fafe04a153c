package zynode

import (
	"sync"
	"sync/atomic"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
)

// ruleBook holds the bundle in force. It only moves forward.
type ruleBook struct {
	current  atomic.Pointer[zybundle.Bundle]
	mu       sync.Mutex
	state    *zyagreement.State
	previous *zybundle.Bundle
	since    time.Time
	// changed is called after another bundle has come into force.
	changed func()
}

func newRuleBook(genesis zyagreement.ApprovalPolicy) *ruleBook {
	return &ruleBook{state: zyagreement.NewState(genesis), changed: func() {}}
}

// Rules returns the bundle in force, or nil.
func (b *ruleBook) Rules() *zybundle.Bundle {
	return b.current.Load()
}

// Version returns the version in force.
func (b *ruleBook) Version() zinniayoke.Version {
	rules := b.Rules()
	if rules == nil {
		return 0
	}
	return rules.Version
}

// Apply takes in a record of the log.
func (b *ruleBook) Apply(r zinniayoke.Record) error {
	return b.take(func() (bool, error) { return b.state.Apply(r) })
}

// Adopt takes in the proof of a bundle from a peer.
func (b *ruleBook) Adopt(lineage zyagreement.Lineage) error {
	return b.take(func() (bool, error) { return b.state.AdoptLineage(lineage) })
}

// AdoptPatch takes in the next version from a peer.
func (b *ruleBook) AdoptPatch(p *zyagreement.Patch) error {
	return b.take(func() (bool, error) { return b.state.AdoptPatch(p) })
}

// Put takes in a bundle that the platform has decided on and reports whether it
// is newer than the one in force.
func (b *ruleBook) Put(next *zybundle.Bundle) bool {
	b.mu.Lock()
	previous := b.current.Load()
	if previous != nil && previous.Version >= next.Version {
		b.mu.Unlock()
		return false
	}
	b.previous = previous
	b.since = time.Now()
	b.current.Store(next)
	b.mu.Unlock()
	b.changed()
	return true
}

// take changes the state and makes a new bundle visible.
func (b *ruleBook) take(change func() (bool, error)) error {
	b.mu.Lock()
	previous := b.state.InForce()
	changed, err := change()
	b.publish(changed, previous)
	b.mu.Unlock()
	if changed {
		b.changed()
	}
	return err
}

// publish makes a new bundle visible. The lock is held.
func (b *ruleBook) publish(changed bool, previous *zybundle.Bundle) {
	if !changed {
		return
	}
	b.previous = previous
	b.since = time.Now()
	b.current.Store(b.state.InForce())
}

// Lineage returns the proof of the bundle in force, and as a patch for a node
// that has the bundle of the given hash, if that is the one before.
func (b *ruleBook) Lineage(theirs zybundle.Hash) (zyagreement.Lineage, *zyagreement.Patch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lineage := b.state.Lineage()
	if b.previous == nil || b.previous.Hash != theirs {
		return lineage, nil
	}
	return lineage, zyagreement.NewPatch(b.previous, lineage)
}

// Skipped returns how many records had no effect because they were wrong.
func (b *ruleBook) Skipped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Skipped()
}

// Since returns when the bundle came into force here.
func (b *ruleBook) Since() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since
}

// Miss notes that records have expired before they were read.
func (b *ruleBook) Miss() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.MarkRecordsExpired()
}
