package zynode

import (
	"sync"
	"sync/atomic"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
)

// bundleState holds the bundle in force. Its version only increases. Either the
// nodes agree on the bundle (Apply, AdoptLineage, AdoptPatch) or an external bundle
// source decides on it (SetIfNewer). It may be used by several goroutines.
type bundleState struct {
	current  atomic.Pointer[zybundle.Bundle]
	mu       sync.Mutex
	state    *zyagreement.State
	previous *zybundle.Bundle
	since    time.Time
	// changed is called after another bundle has come into force.
	changed func()
}

func newBundleState(genesis zyagreement.ApprovalPolicy) *bundleState {
	return &bundleState{state: zyagreement.NewState(genesis), changed: func() {}}
}

// Current returns the bundle in force, or nil if there is none.
func (b *bundleState) Current() *zybundle.Bundle {
	return b.current.Load()
}

// Version returns the version of the bundle in force, 0 if there is none.
func (b *bundleState) Version() zinniayoke.Version {
	bundle := b.Current()
	if bundle == nil {
		return 0
	}
	return bundle.Version
}

// Apply applies a record of the bundle stream.
func (b *bundleState) Apply(r zinniayoke.Record) error {
	return b.update(func() (bool, error) { return b.state.Apply(r) })
}

// AdoptLineage adopts the bundle that a lineage from a peer proves to be in force.
func (b *bundleState) AdoptLineage(lineage zyagreement.Lineage) error {
	return b.update(func() (bool, error) { return b.state.AdoptLineage(lineage) })
}

// AdoptPatch adopts the next version from a patch that a peer sent.
func (b *bundleState) AdoptPatch(p *zyagreement.Patch) error {
	return b.update(func() (bool, error) { return b.state.AdoptPatch(p) })
}

// SetIfNewer puts a bundle of the external bundle source into force if it is newer
// than the current one, and reports whether it did.
func (b *bundleState) SetIfNewer(next *zybundle.Bundle) bool {
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

// update calls change on the state, under the lock, and publishes a new bundle.
func (b *bundleState) update(change func() (bool, error)) error {
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

// publish makes a new bundle visible to readers. The caller holds mu.
func (b *bundleState) publish(changed bool, previous *zybundle.Bundle) {
	if !changed {
		return
	}
	b.previous = previous
	b.since = time.Now()
	b.current.Store(b.state.InForce())
}

// Lineage returns the lineage that proves the bundle in force. If the given hash is
// that of the previous bundle, it also returns a patch from that bundle.
func (b *bundleState) Lineage(theirs zybundle.Hash) (zyagreement.Lineage, *zyagreement.Patch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lineage := b.state.Lineage()
	if b.previous == nil || b.previous.Hash != theirs {
		return lineage, nil
	}
	return lineage, zyagreement.NewPatch(b.previous, lineage)
}

// Skipped returns how many invalid records of the bundle stream were skipped.
func (b *bundleState) Skipped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Skipped()
}

// InForceSince returns when the current bundle came into force on this node.
func (b *bundleState) InForceSince() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since
}

// MarkRecordsExpired notes that records of the bundle stream expired before this node
// read them.
func (b *bundleState) MarkRecordsExpired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.MarkRecordsExpired()
}
