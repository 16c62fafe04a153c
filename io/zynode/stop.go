package zynode

import (
	"context"
	"errors"
	"time"

	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zysettings"
	"zinniayoke/io/zypeer"
)

// Stop stops the node gracefully: it announces that it leaves, refuses new calls,
// completes the calls in flight and hands its key records over to other nodes.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("The node is stopping.")
	schedule := newStopSchedule(time.Now(), n.settings.Load().Shutdown)
	ctx, cancel := context.WithDeadline(ctx, schedule.close)
	defer cancel()
	for _, sub := range n.subscriptions {
		sub.Cancel()
	}
	n.entry.BeginShutdown(zyentry.Shutdown{AcceptAll: schedule.notice, End: schedule.abandon})
	withdraw := time.AfterFunc(time.Until(schedule.withdraw), n.sender.Withdraw)
	defer withdraw.Stop()
	abandon := time.AfterFunc(time.Until(schedule.abandon), n.entry.Abandon)
	defer abandon.Stop()
	n.leaving.Store(true)
	n.updateSelf()
	n.receiver.StopAccepting()
	sleep(ctx, time.Until(schedule.notice))
	n.drainWorker(ctx, schedule.abandon)
	failures := []error{
		n.httpServers[0].Shutdown(ctx),
		n.keyExecutor.Drain(ctx),
		n.receiver.Drain(ctx),
	}
	n.server.Drain(ctx)
	n.handOverKeys(ctx)
	n.log.Info("The node has stopped.")
	n.close()
	return errors.Join(failures...)
}

// stopSchedule divides the grace period of a planned stop.
type stopSchedule struct {
	// notice is until when callers that have not noticed the stop are served as before.
	notice time.Time
	// withdraw is when calls that still wait for a worker are ended.
	withdraw time.Time
	// abandon is when calls that a worker still runs are ended. Their callers get an error.
	abandon time.Time
	// close is when connections are closed whose answers are still being written.
	close time.Time
}

const (
	percent = 100
	// abandonPercent is the part of the grace period that calls in flight may use. The
	// platform tolerates only calls that still run in the last sixth.
	abandonPercent = 85
	// closePercent leaves time to end before the process is killed.
	closePercent = 93
	// withdrawPercent is how much of the grace period, at most maxWithdrawTime, a node has to
	// refuse a call that waits there.
	withdrawPercent = 10
	maxWithdrawTime = 300 * time.Millisecond
	// closeTimeout limits each step of closing that waits for others, so that the
	// process ends before it is killed.
	closeTimeout = 150 * time.Millisecond
)

func newStopSchedule(start time.Time, s zysettings.Shutdown) stopSchedule {
	abandon := start.Add(s.Grace * abandonPercent / percent)
	return stopSchedule{
		notice:   start.Add(max(minDrainDelay, s.DrainDelay)),
		withdraw: abandon.Add(-min(s.Grace*withdrawPercent/percent, maxWithdrawTime)),
		abandon:  abandon,
		close:    start.Add(s.Grace * closePercent / percent),
	}
}

// drainWorker waits until the worker has finished its calls. It makes its child calls at
// the port for callers, which stays open as long.
func (n *Node) drainWorker(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := n.receiver.Drain(ctx); err != nil {
		n.log.With("error", err).Info("The worker still runs calls. The port for callers is closed now.")
	}
}

// runWithTimeout runs f and waits for at most closeTimeout until it returns.
func runWithTimeout(f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// handOverKeys sends the key records of this node to its successors. Only if there is
// a successor and all of them accept does the node leave the member list as planned;
// otherwise the other nodes count it as lost when they recover keys.
func (n *Node) handOverKeys(ctx context.Context) {
	successors := zyidempotency.SuccessorsOf(n.id, n.view.KeyOwners(n.cfg.Settings.Locality.Domain))
	records, promises := n.grants.Export(time.Now())
	args := &zypeer.ImportKeysArgs{Keys: records}
	for slot, epoch := range promises {
		args.Promises = append(args.Promises, zypeer.PromisedEpoch{Slot: slot, Epoch: epoch})
	}
	accepted := 0
	for _, successor := range successors {
		if u, ok := n.view.Find(successor); ok && n.client.ImportKeys(ctx, u.PeerAddress, args) == nil {
			accepted++
		}
	}
	if accepted == 0 || accepted < len(successors) {
		n.log.Warn("The key records of this node were not handed over: there is no successor, or not all of them accepted.")
		return
	}
	n.view.mu.Lock()
	n.view.table.Leave(time.Now())
	n.view.mu.Unlock()
	const flushes = 3
	for range flushes {
		n.gossip.Gossip()
	}
}

func (n *Node) close() {
	if r := n.reader.Load(); r != nil {
		r.Stop()
	}
	for _, server := range n.httpServers {
		_ = server.Close()
	}
	runWithTimeout(n.gossip.Close)
	runWithTimeout(n.server.Close) // Calls at the worker may run for long.
	runWithTimeout(n.client.Close)
	n.receiver.Close()
	runWithTimeout(n.timer.Stop)
	n.logWriter.Close()
}

// Abort stops the node like a crash: other nodes are not notified, and the calls in
// flight are cut off. It is for demos and tests.
func (n *Node) Abort() {
	for _, sub := range n.subscriptions {
		sub.Cancel()
	}
	n.close()
}
