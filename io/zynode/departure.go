package zynode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zymember"
)

const (
	// recallPeriod is the interval between attempts to learn whether the worker has left.
	recallPeriod = 500 * time.Millisecond
	// lateRecallPeriod is that interval once it is known without discovery.
	lateRecallPeriod = 2 * time.Second
	// incompleteRecallPeriod is that interval while the store may lack departures.
	incompleteRecallPeriod = 10 * time.Second
	// recordTimeout lets the acknowledgement of a departure reach the worker, which waits for a
	// second.
	recordTimeout = 800 * time.Millisecond
	// departureRetention is how long departures are kept. A worker that leaves ends earlier.
	departureRetention = 1 * time.Hour
)

// recordedDepartures are the runs of the worker whose departure this process has recorded.
type recordedDepartures struct {
	mu   sync.Mutex
	runs map[departedRun]bool
}

type departedRun struct {
	instance    zinniayoke.Instance
	incarnation zinniayoke.Incarnation
}

// has reports whether a departure of the run is recorded. A run that announces again that it
// leaves needs no second record, unless it has served in between (see clear).
func (r *recordedDepartures) has(d zinniayoke.Departure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[departedRun{d.Instance, d.Incarnation}]
}

func (r *recordedDepartures) add(d zinniayoke.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[departedRun]bool)
	}
	r.runs[departedRun{d.Instance, d.Incarnation}] = true
}

// clear forgets all runs, because the worker serves: the next departure is a new one.
func (r *recordedDepartures) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.runs)
}

// recordDeparture publishes what the announcement says about the end of the worker, so that it
// binds later processes of this node too. The announcement may be acknowledged only then. The
// error is a *zinniayoke.DepartureError.
func (n *Node) recordDeparture(a zyingress.Announcement) error {
	d, ok := n.receiver.Departure(a)
	if !ok {
		if _, state := n.receiver.Worker(); state == zinniayoke.WorkerServing {
			n.departures.clear()
		}
		return nil
	}
	if n.departures.has(d) {
		return nil
	}
	d.Host, d.Recorded = n.cfg.Settings.Host, time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	var pushed sync.WaitGroup
	pushed.Go(func() { n.pushDeparture(ctx, d) })
	err := n.discovery.RecordDepartures(ctx, d)
	pushed.Wait()
	if err != nil {
		n.log.With("error", err).With("instance", d.Instance).Warn("The worker leaves. That could not be recorded, so it is not acknowledged.")
		return &zinniayoke.DepartureError{Instance: d.Instance, Err: err}
	}
	n.departures.add(d)
	n.log.With("instance", d.Instance).With("incarnation", d.Incarnation).With("sequence", d.Sequence).Info("The worker leaves.")
	return nil
}

// departurePeers is to how many nodes a departure is sent before it is acknowledged. All others
// learn of it from these and by gossip.
const departurePeers = 3

// pushDeparture lets the other nodes keep the departure, for the case that the store comes back
// from an older copy after this process has ended. It returns once one of them has it, or none
// can be reached before ctx is done.
func (n *Node) pushDeparture(ctx context.Context, d zinniayoke.Departure) {
	if n.departureRecords.add(d) {
		n.view.mu.Lock()
		n.view.table.BroadcastDeparture(d)
		n.view.mu.Unlock()
		n.gossip.Gossip()
	}
	addresses := n.view.PeerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), departurePeers)]
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() {
			_, err := n.client.SyncMembers(ctx, address, n.syncArgs(zymember.DepartureChange(d)))
			results <- err
		}()
	}
	for range addresses {
		if err := <-results; err == nil {
			return
		}
	}
	n.log.With("instance", d.Instance).Warn("The worker leaves. No other node could be told yet.")
}

// onDeparture keeps a departure that another node reports, and passes it on if it is new. One of
// this host ends the run of the worker, if that goes on. The member list must be locked.
func (n *Node) onDeparture(d zinniayoke.Departure) {
	if !n.departureRecords.add(d) {
		return
	}
	n.view.table.BroadcastDeparture(d)
	if d.Host != n.cfg.Settings.Host {
		return
	}
	go func() { // The member list must not be locked.
		if n.receiver.Learn(d) {
			n.updateSelf()
		}
	}()
}

// heldDepartures returns the departures of all hosts for a node that does not know them.
func (n *Node) heldDepartures() []zymember.Change {
	var changes []zymember.Change
	for _, d := range n.departureRecords.list() {
		changes = append(changes, zymember.DepartureChange(d))
	}
	return changes
}

// restoreDepartures records again what the store lacks since it came back from a copy, and then
// confirms its era, so that a starting node can rely on the store alone. A node may do so if it
// knows all departures itself.
func (n *Node) restoreDepartures(registry zinniayoke.Registry) {
	if !n.informed.Load() {
		return
	}
	missing := n.departureRecords.missingIn(registry.Departures)
	if len(missing) == 0 && registry.IsComplete() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	var err error
	if len(missing) > 0 {
		err = n.discovery.RecordDepartures(ctx, missing...)
	}
	if err == nil && !registry.IsComplete() {
		err = n.discovery.ConfirmEra(ctx, registry.Era)
	}
	if err != nil {
		n.rejoinSoon.Store(true)
		n.log.With("error", err).With("departures", len(missing)).Warn("Departures that the store lacks could not be recorded again.")
		return
	}
	n.log.With("departures", len(missing)).With("era", registry.Era).Info("The store has all departures again.")
}

// recallFrom applies what the store knows of the worker's departures. If the store has come back
// from a copy and may lack some, a node that knows no more goes by other nodes and heartbeats.
func (n *Node) recallFrom(registry zinniayoke.Registry) {
	if n.recalled.Load() {
		return
	}
	for _, d := range registry.Departures {
		n.departureRecords.add(d)
	}
	if !registry.IsComplete() && !n.informed.Load() {
		n.receiver.Learn(n.ownDepartures(registry.Departures)...)
		if n.recallWithoutDiscovery() {
			n.setRecallPeriod(incompleteRecallPeriod)
		}
		return
	}
	n.informed.Store(true)
	n.recall(slices.Concat(registry.Departures, n.departureRecords.list()))
}

// ownDepartures returns those departures of the list that are of this host.
func (n *Node) ownDepartures(list []zinniayoke.Departure) []zinniayoke.Departure {
	return slices.DeleteFunc(slices.Clone(list), func(d zinniayoke.Departure) bool { return d.Host != n.cfg.Settings.Host })
}

// recall applies the departures of this host that earlier processes of the node have recorded,
// once.
func (n *Node) recall(list []zinniayoke.Departure) {
	if !n.recalled.CompareAndSwap(false, true) {
		return
	}
	own := n.ownDepartures(list)
	n.log.With("departures", len(own)).Info("The departures of the worker that earlier processes acknowledged are known.")
	if n.receiver.Recall(own) {
		n.updateSelf()
	}
}

// recallIfDue repeats the attempt to read the departures until it has succeeded. Meanwhile,
// it goes by what other nodes and the worker say.
func (n *Node) recallIfDue(time.Time) {
	if n.recalled.Load() {
		n.setRecallPeriod(0)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	if !n.triedJoin.Load() {
		return // Other nodes may know more than the store, and are asked first.
	}
	found, err := n.discovery.Find(ctx)
	if err == nil {
		n.recallFrom(found)
		return
	}
	n.log.With("error", err).Debug("The departures of the worker cannot be read.")
	if n.recallWithoutDiscovery() {
		n.setRecallPeriod(lateRecallPeriod)
	}
}

// setRecallPeriod changes the interval of recallIfDue; 0 ends it.
func (n *Node) setRecallPeriod(period time.Duration) {
	switch sub := n.recallSubscription.Load(); {
	case sub == nil:
	case period == 0:
		sub.Cancel()
	default:
		sub.SetPeriod(period)
	}
}

// recallWithoutDiscovery lets the worker get calls, or not, by what other nodes and the worker
// say, and reports whether that suffices. Discovery has the last word.
func (n *Node) recallWithoutDiscovery() bool {
	list, ok := n.recallFromOthers()
	if !ok || n.recalled.Load() {
		return ok
	}
	if n.receiver.Recall(append(list, n.ownDepartures(n.departureRecords.list())...)) {
		n.log.With("departures", len(list)).Info("Discovery is unavailable. Whether the worker has left is known from other nodes or its heartbeats.")
		n.updateSelf()
	}
	return true
}

// recallFromOthers returns the departures of the worker as far as they are known without
// discovery, and whether that suffices to send calls to it: other nodes know what an earlier
// process of this one said last, or the worker's heartbeats have come for longer than they can
// be late.
func (n *Node) recallFromOthers() ([]zinniayoke.Departure, bool) {
	announced, _ := n.receiver.Worker()
	heard := n.receiver.HeardFor() > zyingress.MaxHeartbeatDelay
	switch last, ok := n.view.EarlierRun(n.cfg.Settings.Host); {
	case ok && last.State == zinniayoke.WorkerServing:
		return nil, true
	case ok && last.Incarnation != 0:
		return []zinniayoke.Departure{{Host: n.cfg.Settings.Host, Incarnation: last.Incarnation}}, announced.Incarnation != 0
	}
	return nil, heard
}

// EarlierRun returns the entry of the latest earlier run of this node that knew the state of its
// worker.
func (v *memberView) EarlierRun(host string) (zinniayoke.Upstream, bool) {
	var last zinniayoke.Upstream
	for _, m := range v.current.Load().members { // They are sorted, so later runs come last.
		u := m.Upstream
		knows := u.State == zinniayoke.WorkerServing || u.State == zinniayoke.WorkerDraining
		if knows && u.Node != v.self && zymember.HostOf(u.Node) == host {
			last = u
		}
	}
	return last, last.Node != ""
}

// dropOldDepartures removes departures of workers that have ended long ago.
func (n *Node) dropOldDepartures(list []zinniayoke.Departure) {
	var old []zinniayoke.Departure
	for _, d := range list {
		if time.Since(d.Recorded) > departureRetention {
			old = append(old, d)
		}
	}
	if len(old) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	if err := n.discovery.DropDepartures(ctx, old); err != nil {
		n.log.With("error", err).Debug("Old departures could not be dropped.")
	}
}
