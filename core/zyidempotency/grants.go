package zyidempotency

import (
	"sync"
	"time"

	"zinniayoke"
)

// KeyRecord is what one node remembers of a key.
type KeyRecord struct {
	Key      zinniayoke.Key       `codec:"k"`
	Slot     zinniayoke.KeySlot   `codec:"s"`
	BodyHash uint64               `codec:"b"`
	Attempt  zinniayoke.AttemptID `codec:"a"`
	// Node is where the attempt was sent.
	Node  zinniayoke.NodeID       `codec:"n"`
	State zinniayoke.AttemptState `codec:"f"`
	Reply *zinniayoke.Reply       `codec:"r"`
	// Age is the time since the last change.
	Age time.Duration `codec:"t"`
}

// GrantTableConfig configures Grants.
type GrantTableConfig struct {
	// Node is the node that remembers.
	Node zinniayoke.NodeID
	// MaxKeys is the largest number of keys that are remembered.
	MaxKeys int
	// Window is how long a key is remembered.
	Window time.Duration
}

// GrantTable is the memory of a worker's node. It may be used by several
// goroutines. GrantTable must be made with NewGrants.
type GrantTable struct {
	cfg      GrantTableConfig
	mu       sync.Mutex
	promises map[zinniayoke.KeySlot]promise
	keys     map[zinniayoke.Key]*held
	order    []aged
}

// promise is the newest epoch of a slot that the node has promised.
type promise struct {
	epoch zinniayoke.Epoch
	// since is when the keeper of the epoch was first promised.
	since time.Time
	// first is true where no other keeper was promised before.
	first bool
}

// SlotPromise says whom a node has promised to obey for a slot.
type SlotPromise struct {
	Slot  zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch   `codec:"e"`
	// SoleOwner is true where that keeper has been the only one for as long as
	// anybody remembers keys.
	SoleOwner bool `codec:"t"`
	// FirstOwner is true where the node knows of no keeper before. It proves
	// something only if all nodes say so, since some may be new.
	FirstOwner bool `codec:"f"`
}

// settleWindows is after how many windows nobody remembers a key of the keeper
// before: its last run may end half a window later, and is remembered for one.
const settleWindows = 3

type held struct {
	KeyRecord
	at time.Time
}

type aged struct {
	key zinniayoke.Key
	at  time.Time
}

// NewGrantTable returns an empty memory.
func NewGrantTable(cfg GrantTableConfig) *GrantTable {
	return &GrantTable{
		cfg:      cfg,
		promises: make(map[zinniayoke.KeySlot]promise),
		keys:     make(map[zinniayoke.Key]*held),
	}
}

// SetWindow changes how long keys are remembered from now on.
func (g *GrantTable) SetWindow(window time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Window = window
}

// Promise refuses all keepers of the slots that are older than epoch from now
// on, and returns what is remembered of the slots and whom the node obeyed before.
// It returns a *zinniayoke.CallError where a newer epoch was promised before.
func (g *GrantTable) Promise(now time.Time, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) ([]KeyRecord, []SlotPromise, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	wanted := make(map[zinniayoke.KeySlot]bool, len(slots))
	for _, s := range slots {
		if epoch.Less(g.promises[s].epoch) {
			return nil, nil, stale()
		}
		wanted[s] = true
	}
	witnesses := g.witness(now, slots)
	for _, s := range slots {
		g.obey(now, s, epoch)
	}
	var list []KeyRecord
	for _, h := range g.keys {
		if wanted[h.Slot] {
			list = append(list, h.export(now))
		}
	}
	return list, witnesses, nil
}

// witness tells whom the node has obeyed for the slots so far.
func (g *GrantTable) witness(now time.Time, slots []zinniayoke.KeySlot) []SlotPromise {
	var list []SlotPromise
	for _, s := range slots {
		if p, ok := g.promises[s]; ok {
			settled := now.Sub(p.since) > settleWindows*g.cfg.Window
			list = append(list, SlotPromise{Slot: s, Epoch: p.epoch, SoleOwner: settled, FirstOwner: p.first})
		}
	}
	return list
}

// obey promises an epoch.
func (g *GrantTable) obey(now time.Time, s zinniayoke.KeySlot, epoch zinniayoke.Epoch) {
	old, known := g.promises[s]
	if known && old.epoch.Node == epoch.Node {
		old.epoch = epoch
		g.promises[s] = old
		return
	}
	g.promises[s] = promise{epoch: epoch, since: now, first: !known}
}

// PromisedEpoch returns the newest epoch that was promised for a slot.
func (g *GrantTable) PromisedEpoch(slot zinniayoke.KeySlot) zinniayoke.Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promises[slot].epoch
}

// Begin notes that the worker is about to be handed the attempt. The error is a
// *zinniayoke.CallError; then the attempt must not run.
func (g *GrantTable) Begin(now time.Time, a *zinniayoke.Attempt) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	if a.Grant.Epoch.Less(g.promises[a.Grant.Slot].epoch) {
		return stale()
	}
	if h, ok := g.keys[a.Key]; ok && h.Attempt != a.ID {
		return zinniayoke.NewLostError(zinniayoke.ReasonKeyUncertain, "the key was granted to another attempt before")
	}
	if len(g.keys) >= g.cfg.MaxKeys {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonTableFull, "too many keys are remembered")
	}
	g.hear(now, a.Grant.Slot, a.Grant.Epoch)
	g.put(now, KeyRecord{
		Key: a.Key, Slot: a.Grant.Slot, BodyHash: a.BodyHash, Attempt: a.ID,
		Node: g.cfg.Node, State: zinniayoke.AttemptRunning,
	})
	return nil
}

// hear promises an epoch that came without a recovery, as to a node that was not
// there then. It says nothing about keepers before.
func (g *GrantTable) hear(now time.Time, s zinniayoke.KeySlot, epoch zinniayoke.Epoch) {
	g.obey(now, s, epoch)
	if p := g.promises[s]; p.since.Equal(now) {
		p.first = false
		g.promises[s] = p
	}
}

// End notes how the attempt ended. An attempt that never reached the worker is
// forgotten, so that the key can be granted again.
func (g *GrantTable) End(now time.Time, key zinniayoke.Key, id zinniayoke.AttemptID, reply *zinniayoke.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.keys[key]
	if !ok || h.Attempt != id {
		return
	}
	ended := h.KeyRecord
	switch reply.Outcome {
	case zinniayoke.OutcomeNotRun:
		delete(g.keys, key)
		return
	case zinniayoke.OutcomeDone:
		ended.State = zinniayoke.AttemptAnswered
		ended.Reply = reply
	case zinniayoke.OutcomeUnknown:
		ended.State = zinniayoke.AttemptLost
	}
	g.put(now, ended)
}

// Export returns everything that is remembered, for the heir of a leaving node.
func (g *GrantTable) Export(now time.Time) ([]KeyRecord, map[zinniayoke.KeySlot]zinniayoke.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]KeyRecord, 0, len(g.keys))
	for _, h := range g.keys {
		list = append(list, h.export(now))
	}
	promises := make(map[zinniayoke.KeySlot]zinniayoke.Epoch, len(g.promises))
	for s, p := range g.promises {
		promises[s] = p.epoch
	}
	return list, promises
}

// Import takes in what a leaving node remembers. What still ran there is lost
// with it. A negative age lets a key be remembered for longer.
func (g *GrantTable) Import(now time.Time, list []KeyRecord, promises map[zinniayoke.KeySlot]zinniayoke.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, e := range promises {
		if g.promises[s].epoch.Less(e) {
			g.hear(now, s, e)
		}
	}
	for _, h := range list {
		if h.State == zinniayoke.AttemptRunning {
			h.State = zinniayoke.AttemptLost
		}
		if _, ok := g.keys[h.Key]; !ok {
			g.put(now.Add(-h.Age), h)
		}
	}
}

// Len returns how many keys are remembered.
func (g *GrantTable) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.keys)
}

func (g *GrantTable) put(at time.Time, h KeyRecord) {
	g.keys[h.Key] = &held{KeyRecord: h, at: at}
	g.order = append(g.order, aged{key: h.Key, at: at})
}

// sweep forgets what is older than the window, except what still runs.
func (g *GrantTable) sweep(now time.Time) {
	n := 0
	for n < len(g.order) && now.Sub(g.order[n].at) > g.cfg.Window {
		a := g.order[n]
		n++
		h, ok := g.keys[a.key]
		if !ok || !h.at.Equal(a.at) {
			continue
		}
		if h.State == zinniayoke.AttemptRunning {
			g.put(now, h.KeyRecord)
			continue
		}
		delete(g.keys, a.key)
	}
	g.order = g.order[n:]
}

func (h *held) export(now time.Time) KeyRecord {
	out := h.KeyRecord
	out.Age = now.Sub(h.at)
	return out
}

func stale() error {
	return zinniayoke.NewRefusedError(zinniayoke.ReasonStaleEpoch, "another keeper has taken over the slot of the key")
}
