package zynode

import (
	"context"
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
	if err := n.discovery.RecordDeparture(ctx, d); err != nil {
		n.log.With("error", err).With("instance", d.Instance).Warn("The worker leaves. That could not be recorded, so it is not acknowledged.")
		return &zinniayoke.DepartureError{Instance: d.Instance, Err: err}
	}
	n.departures.add(d)
	n.log.With("instance", d.Instance).With("incarnation", d.Incarnation).With("sequence", d.Sequence).Info("The worker leaves.")
	return nil
}

// recall applies the departures of this host that earlier processes of the node have recorded,
// once.
func (n *Node) recall(list []zinniayoke.Departure) {
	if !n.recalled.CompareAndSwap(false, true) {
		return
	}
	var own []zinniayoke.Departure
	for _, d := range list {
		if d.Host == n.cfg.Settings.Host {
			own = append(own, d)
		}
	}
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
	found, err := n.discovery.Find(ctx)
	if err == nil {
		n.recall(found.Departures)
		return
	}
	n.log.With("error", err).Debug("The departures of the worker cannot be read.")
	n.recallWithoutDiscovery()
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
// say, if that suffices. Discovery has the last word.
func (n *Node) recallWithoutDiscovery() {
	list, ok := n.recallFromOthers()
	if !ok || n.recalled.Load() || !n.receiver.Recall(list) {
		return
	}
	n.log.With("departures", len(list)).Info("Discovery is unavailable. Whether the worker has left is known from other nodes or its heartbeats.")
	n.setRecallPeriod(lateRecallPeriod)
	n.updateSelf()
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
