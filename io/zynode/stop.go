package zynode

import (
	"context"
	"errors"
	"time"

	"zinniayoke/core/zyidempotency"
	"zinniayoke/io/zypeer"
)

// Stop stops the node gracefully: it announces that it leaves, refuses new calls,
// completes the calls in flight and hands its key records over to other nodes.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("The node is stopping.")
	ctx, cancel := context.WithTimeout(ctx, n.settings.Load().Shutdown.Grace*gracePercent/percent)
	defer cancel()
	for _, sub := range n.subscriptions {
		sub.Cancel()
	}
	n.leaving.Store(true)
	n.updateSelf()
	n.receiver.StopAccepting()
	sleep(ctx, max(minDrainDelay, n.settings.Load().Shutdown.DrainDelay))
	n.drainWorker(ctx)
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

const (
	percent = 100
	// gracePercent is the part of the grace period that calls in flight may use. The
	// platform tolerates only calls that still run in the last sixth.
	gracePercent = 85
	// closeTimeout limits each step of closing that waits for others, so that the
	// process ends before it is killed.
	closeTimeout = 150 * time.Millisecond
)

// drainWorker waits until the worker has finished its calls, for at most half of the time
// that is left. The worker makes its child calls at the port for callers, which must stay
// open as long. The other half is for calls of clients.
func (n *Node) drainWorker(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	const half = 2
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/half)
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
