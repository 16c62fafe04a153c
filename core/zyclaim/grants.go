package zyclaim

import (
	"sync"
	"time"

	"zinniayoke"
)

// Held is what one node remembers of a key.
type Held struct {
	Key      zinniayoke.Key       `codec:"k"`
	Slot     zinniayoke.KeySlot   `codec:"s"`
	BodyHash uint64               `codec:"b"`
	Attempt  zinniayoke.AttemptID `codec:"a"`
	// Node is where the attempt was sent.
	Node  zinniayoke.NodeID       `codec:"n"`
	Fate  zinniayoke.AttemptState `codec:"f"`
	Reply *zinniayoke.Reply       `codec:"r"`
	// Age is the time since the last change.
	Age time.Duration `codec:"t"`
}

// GrantsConfig configures Grants.
type GrantsConfig struct {
	// Node is the node that remembers.
	Node zinniayoke.NodeID
	// Most is the largest number of keys that are remembered.
	Most int
	// Window is how long a key is remembered.
	Window time.Duration
}

// Grants is the memory of a worker's node. It may be used by several
// goroutines. Grants must be made with NewGrants.
type Grants struct {
	cfg      GrantsConfig
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

// Witness says whom a node has promised to obey for a slot.
type Witness struct {
	Slot  zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch   `codec:"e"`
	// Settled is true where that keeper has been the only one for as long as
	// anybody remembers keys.
	Settled bool `codec:"t"`
	// First is true where the node knows of no keeper before. It proves
	// something only if all nodes say so, since some may be new.
	First bool `codec:"f"`
}

// settleWindows is after how many windows nobody remembers a key of the keeper
// before: its last run may end half a window later, and is remembered for one.
const settleWindows = 3

type held struct {
	Held
	at time.Time
}

type aged struct {
	key zinniayoke.Key
	at  time.Time
}

// NewGrants returns an empty memory.
func NewGrants(cfg GrantsConfig) *Grants {
	return &Grants{
		cfg:      cfg,
		promises: make(map[zinniayoke.KeySlot]promise),
		keys:     make(map[zinniayoke.Key]*held),
	}
}

// SetWindow changes how long keys are remembered from now on.
func (g *Grants) SetWindow(window time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Window = window
}

// Promise refuses all keepers of the slots that are older than epoch from now
// on, and returns what is remembered of the slots and whom the node obeyed before.
// It returns a *zinniayoke.CallError where a newer epoch was promised before.
func (g *Grants) Promise(now time.Time, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) ([]Held, []Witness, error) {
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
	var list []Held
	for _, h := range g.keys {
		if wanted[h.Slot] {
			list = append(list, h.export(now))
		}
	}
	return list, witnesses, nil
}

// witness tells whom the node has obeyed for the slots so far.
func (g *Grants) witness(now time.Time, slots []zinniayoke.KeySlot) []Witness {
	var list []Witness
	for _, s := range slots {
		if p, ok := g.promises[s]; ok {
			settled := now.Sub(p.since) > settleWindows*g.cfg.Window
			list = append(list, Witness{Slot: s, Epoch: p.epoch, Settled: settled, First: p.first})
		}
	}
	return list
}

// obey promises an epoch.
func (g *Grants) obey(now time.Time, s zinniayoke.KeySlot, epoch zinniayoke.Epoch) {
	old, known := g.promises[s]
	if known && old.epoch.Node == epoch.Node {
		old.epoch = epoch
		g.promises[s] = old
		return
	}
	g.promises[s] = promise{epoch: epoch, since: now, first: !known}
}

// Promised returns the newest epoch that was promised for a slot.
func (g *Grants) Promised(slot zinniayoke.KeySlot) zinniayoke.Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promises[slot].epoch
}

// Begin notes that the worker is about to be handed the attempt. The error is a
// *zinniayoke.CallError; then the attempt must not run.
func (g *Grants) Begin(now time.Time, a *zinniayoke.Attempt) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	if a.Grant.Epoch.Less(g.promises[a.Grant.Slot].epoch) {
		return stale()
	}
	if h, ok := g.keys[a.Key]; ok && h.Attempt != a.ID {
		return zinniayoke.NewLostError(zinniayoke.ReasonKeyUncertain, "the key was granted to another attempt before")
	}
	if len(g.keys) >= g.cfg.Most {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonTableFull, "too many keys are remembered")
	}
	g.hear(now, a.Grant.Slot, a.Grant.Epoch)
	g.put(now, Held{
		Key: a.Key, Slot: a.Grant.Slot, BodyHash: a.BodyHash, Attempt: a.ID,
		Node: g.cfg.Node, Fate: zinniayoke.AttemptRunning,
	})
	return nil
}

// hear promises an epoch that came without a recovery, as to a node that was not
// there then. It says nothing about keepers before.
func (g *Grants) hear(now time.Time, s zinniayoke.KeySlot, epoch zinniayoke.Epoch) {
	g.obey(now, s, epoch)
	if p := g.promises[s]; p.since.Equal(now) {
		p.first = false
		g.promises[s] = p
	}
}

// End notes how the attempt ended. An attempt that never reached the worker is
// forgotten, so that the key can be granted again.
func (g *Grants) End(now time.Time, key zinniayoke.Key, id zinniayoke.AttemptID, reply *zinniayoke.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.keys[key]
	if !ok || h.Attempt != id {
		return
	}
	ended := h.Held
	switch reply.Outcome {
	case zinniayoke.OutcomeNotRun:
		delete(g.keys, key)
		return
	case zinniayoke.OutcomeDone:
		ended.Fate = zinniayoke.AttemptAnswered
		ended.Reply = reply
	case zinniayoke.OutcomeUnknown:
		ended.Fate = zinniayoke.AttemptLost
	}
	g.put(now, ended)
}

// Export returns everything that is remembered, for the heir of a leaving node.
func (g *Grants) Export(now time.Time) ([]Held, map[zinniayoke.KeySlot]zinniayoke.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Held, 0, len(g.keys))
	for _, h := range g.keys {
		list = append(list, h.export(now))
	}
	promises := make(map[zinniayoke.KeySlot]zinniayoke.Epoch, len(g.promises))
	for s, p := range g.promises {
		promises[s] = p.epoch
	}
	return list, promises
}

// Inherit takes in what a leaving node remembers. What still ran there is lost
// with it. A negative age lets a key be remembered for longer.
func (g *Grants) Inherit(now time.Time, list []Held, promises map[zinniayoke.KeySlot]zinniayoke.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, e := range promises {
		if g.promises[s].epoch.Less(e) {
			g.hear(now, s, e)
		}
	}
	for _, h := range list {
		if h.Fate == zinniayoke.AttemptRunning {
			h.Fate = zinniayoke.AttemptLost
		}
		if _, ok := g.keys[h.Key]; !ok {
			g.put(now.Add(-h.Age), h)
		}
	}
}

// Len returns how many keys are remembered.
func (g *Grants) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.keys)
}

func (g *Grants) put(at time.Time, h Held) {
	g.keys[h.Key] = &held{Held: h, at: at}
	g.order = append(g.order, aged{key: h.Key, at: at})
}

// sweep forgets what is older than the window, except what still runs.
func (g *Grants) sweep(now time.Time) {
	n := 0
	for n < len(g.order) && now.Sub(g.order[n].at) > g.cfg.Window {
		a := g.order[n]
		n++
		h, ok := g.keys[a.key]
		if !ok || !h.at.Equal(a.at) {
			continue
		}
		if h.Fate == zinniayoke.AttemptRunning {
			g.put(now, h.Held)
			continue
		}
		delete(g.keys, a.key)
	}
	g.order = g.order[n:]
}

func (h *held) export(now time.Time) Held {
	out := h.Held
	out.Age = now.Sub(h.at)
	return out
}

func stale() error {
	return zinniayoke.NewRefusedError(zinniayoke.ReasonStaleEpoch, "another keeper has taken over the slot of the key")
}
