package zyidempotency

import (
	"sync"
	"time"

	"github.com/google/btree"

	"zinniayoke"
)

// KeyRecord is the state of one idempotency key as one node knows it.
type KeyRecord struct {
	Key      zinniayoke.Key       `codec:"k"`
	Slot     zinniayoke.KeySlot   `codec:"s"`
	BodyHash uint64               `codec:"b"`
	Attempt  zinniayoke.AttemptID `codec:"a"`
	// Node is the node that the attempt was sent to.
	Node  zinniayoke.NodeID       `codec:"n"`
	State zinniayoke.AttemptState `codec:"f"`
	Reply *zinniayoke.Reply       `codec:"r"`
	// Age is the time since the last change. A negative age lets the record be kept
	// for longer than the window.
	Age time.Duration `codec:"t"`
}

// GrantTableConfig configures a GrantTable.
type GrantTableConfig struct {
	// Node is the ID of this node.
	Node zinniayoke.NodeID
	// MaxKeys is the largest number of keys in the table.
	MaxKeys int
	// Window is how long a key is kept after its last change.
	Window time.Duration
}

// GrantTable records, on a worker's node, the keys whose attempts were delivered to
// the worker and the epoch promised for each key slot. It may be used by several
// goroutines. A GrantTable must be created with NewGrantTable.
type GrantTable struct {
	cfg      GrantTableConfig
	mu       sync.Mutex
	promises map[zinniayoke.KeySlot]promise
	keys     map[zinniayoke.Key]*storedRecord
	// changes holds the changes of records by time. An entry is obsolete if its record has
	// changed again since.
	changes *btree.BTreeG[change]
}

// promise is the highest epoch that the node has promised for a slot; attempts
// granted under a lower epoch are refused.
type promise struct {
	epoch zinniayoke.Epoch
	// since is when the owner of the epoch was first promised.
	since time.Time
	// firstOwner is true if no other owner was promised before.
	firstOwner bool
}

// SlotPromise is the highest epoch that a node has promised for a slot.
type SlotPromise struct {
	Slot  zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch   `codec:"e"`
	// SoleOwner is true if the owner has held the slot for so long that no node
	// keeps a key granted by an earlier owner.
	SoleOwner bool `codec:"t"`
	// FirstOwner is true if the node knows of no earlier owner. It is conclusive
	// only if every node reports it, because some nodes may have joined after an
	// earlier owner.
	FirstOwner bool `codec:"f"`
}

// soleOwnerWindows is the number of windows after which no node keeps a key granted
// by the previous owner: its last run may end half a window after the change of
// owner and is then kept for one window.
const soleOwnerWindows = 3

type storedRecord struct {
	KeyRecord
	at time.Time
}

type change struct {
	key zinniayoke.Key
	at  time.Time
}

func earlierChange(a, b change) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.key < b.key
}

const btreeDegree = 16

// NewGrantTable returns an empty table.
func NewGrantTable(cfg GrantTableConfig) *GrantTable {
	return &GrantTable{
		cfg:      cfg,
		promises: make(map[zinniayoke.KeySlot]promise),
		keys:     make(map[zinniayoke.Key]*storedRecord),
		changes:  btree.NewG(btreeDegree, earlierChange),
	}
}

// SetWindow changes how long keys are kept from now on.
func (g *GrantTable) SetWindow(window time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Window = window
}

// Promise promises to refuse grants for the slots whose epoch is lower than epoch.
// It returns the records of the slots and the promises that were in force before.
// It returns a *zinniayoke.CallError if a higher epoch was already promised for one
// of the slots.
func (g *GrantTable) Promise(now time.Time, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) ([]KeyRecord, []SlotPromise, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	requested := make(map[zinniayoke.KeySlot]bool, len(slots))
	for _, s := range slots {
		if epoch.Less(g.promises[s].epoch) {
			return nil, nil, newStaleEpochError()
		}
		requested[s] = true
	}
	promises := g.promisesFor(now, slots)
	for _, s := range slots {
		g.setPromise(now, s, epoch)
	}
	var records []KeyRecord
	for _, r := range g.keys {
		if requested[r.Slot] {
			records = append(records, r.snapshot(now))
		}
	}
	return records, promises, nil
}

// promisesFor returns the promises in force for the slots.
func (g *GrantTable) promisesFor(now time.Time, slots []zinniayoke.KeySlot) []SlotPromise {
	var promises []SlotPromise
	for _, s := range slots {
		if p, ok := g.promises[s]; ok {
			soleOwner := now.Sub(p.since) > soleOwnerWindows*g.cfg.Window
			promises = append(promises, SlotPromise{Slot: s, Epoch: p.epoch, SoleOwner: soleOwner, FirstOwner: p.firstOwner})
		}
	}
	return promises
}

// setPromise replaces the promise for a slot.
func (g *GrantTable) setPromise(now time.Time, s zinniayoke.KeySlot, epoch zinniayoke.Epoch) {
	old, known := g.promises[s]
	if known && old.epoch.Node == epoch.Node {
		old.epoch = epoch
		g.promises[s] = old
		return
	}
	g.promises[s] = promise{epoch: epoch, since: now, firstOwner: !known}
}

// PromisedEpoch returns the highest epoch that was promised for a slot.
func (g *GrantTable) PromisedEpoch(slot zinniayoke.KeySlot) zinniayoke.Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promises[slot].epoch
}

// Begin records that the attempt is about to be delivered to the worker. If it
// returns an error, which is a *zinniayoke.CallError, the attempt must not run.
func (g *GrantTable) Begin(now time.Time, a *zinniayoke.Attempt) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	if a.Grant.Epoch.Less(g.promises[a.Grant.Slot].epoch) {
		return newStaleEpochError()
	}
	if r, ok := g.keys[a.Key]; ok && r.Attempt != a.ID {
		return zinniayoke.NewLostError(zinniayoke.ReasonKeyUncertain, "the key was granted to another attempt before")
	}
	if len(g.keys) >= g.cfg.MaxKeys {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonTableFull, "too many keys are remembered")
	}
	g.setPromiseWithoutRecovery(now, a.Grant.Slot, a.Grant.Epoch)
	g.store(now, KeyRecord{
		Key: a.Key, Slot: a.Grant.Slot, BodyHash: a.BodyHash, Attempt: a.ID,
		Node: g.cfg.Node, State: zinniayoke.AttemptRunning,
	})
	return nil
}

// setPromiseWithoutRecovery promises an epoch that the node learns from a grant or
// an import instead of a recovery, for example because it joined after the
// recovery. This proves nothing about earlier owners.
func (g *GrantTable) setPromiseWithoutRecovery(now time.Time, s zinniayoke.KeySlot, epoch zinniayoke.Epoch) {
	g.setPromise(now, s, epoch)
	if p := g.promises[s]; p.since.Equal(now) {
		p.firstOwner = false
		g.promises[s] = p
	}
}

// End records the result of an attempt. The record of an attempt that was not
// delivered to the worker is deleted, so that the key can be granted again.
func (g *GrantTable) End(now time.Time, key zinniayoke.Key, id zinniayoke.AttemptID, reply *zinniayoke.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.keys[key]
	if !ok || r.Attempt != id {
		return
	}
	updated := r.KeyRecord
	switch reply.Outcome {
	case zinniayoke.OutcomeNotRun:
		delete(g.keys, key)
		return
	case zinniayoke.OutcomeDone:
		updated.State = zinniayoke.AttemptAnswered
		updated.Reply = reply
	case zinniayoke.OutcomeUnknown:
		updated.State = zinniayoke.AttemptLost
	}
	g.store(now, updated)
}

// Export returns all records and promised epochs, to be imported by the successors
// of a node that leaves.
func (g *GrantTable) Export(now time.Time) ([]KeyRecord, map[zinniayoke.KeySlot]zinniayoke.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := make([]KeyRecord, 0, len(g.keys))
	for _, r := range g.keys {
		records = append(records, r.snapshot(now))
	}
	epochs := make(map[zinniayoke.KeySlot]zinniayoke.Epoch, len(g.promises))
	for s, p := range g.promises {
		epochs[s] = p.epoch
	}
	return records, epochs
}

// Import adds the records and promises of a node that leaves. Attempts that were
// still running there count as lost. A record with a negative age is kept for
// longer than the window.
func (g *GrantTable) Import(now time.Time, records []KeyRecord, epochs map[zinniayoke.KeySlot]zinniayoke.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, e := range epochs {
		if g.promises[s].epoch.Less(e) {
			g.setPromiseWithoutRecovery(now, s, e)
		}
	}
	for _, r := range records {
		if r.State == zinniayoke.AttemptRunning {
			r.State = zinniayoke.AttemptLost
		}
		if _, ok := g.keys[r.Key]; !ok {
			g.store(now.Add(-r.Age), r)
		}
	}
}

// Len returns the number of keys in the table.
func (g *GrantTable) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.keys)
}

func (g *GrantTable) store(at time.Time, r KeyRecord) {
	g.keys[r.Key] = &storedRecord{KeyRecord: r, at: at}
	g.changes.ReplaceOrInsert(change{key: r.Key, at: at})
}

// sweep deletes records that are older than the window, except those of attempts
// that still run.
func (g *GrantTable) sweep(now time.Time) {
	for {
		c, ok := g.changes.Min()
		if !ok || now.Sub(c.at) <= g.cfg.Window {
			return
		}
		g.changes.DeleteMin()
		r, ok := g.keys[c.key]
		if !ok || !r.at.Equal(c.at) {
			continue
		}
		if r.State == zinniayoke.AttemptRunning {
			g.store(now, r.KeyRecord)
			continue
		}
		delete(g.keys, c.key)
	}
}

func (r *storedRecord) snapshot(now time.Time) KeyRecord {
	out := r.KeyRecord
	out.Age = now.Sub(r.at)
	return out
}

func newStaleEpochError() error {
	return zinniayoke.NewRefusedError(zinniayoke.ReasonStaleEpoch, "another keeper has taken over the slot of the key")
}
