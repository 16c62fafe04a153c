package zynode

import (
	"context"
	"errors"
	"time"

	"zinniayoke/core/zyidempotency"
	"zinniayoke/io/zypeer"
)

// Stop ends the node gracefully: it tells the others, refuses new work
// truthfully, finishes what is in flight and hands over what it remembers.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("The node is stopping.")
	ctx, cancel := context.WithTimeout(ctx, n.settings.Load().Shutdown.Grace*graceShare/percent)
	defer cancel()
	for _, sub := range n.subs {
		sub.Cancel()
	}
	n.leaving.Store(true)
	n.updateSelf()
	n.receiver.StopAccepting()
	sleep(ctx, max(drainNotice, n.settings.Load().Shutdown.DrainDelay))
	failures := []error{
		n.https[0].Shutdown(ctx),
		n.home.Drain(ctx),
		n.receiver.Drain(ctx),
	}
	n.server.Drain(ctx)
	n.handOver(ctx)
	n.log.Info("The node has stopped.")
	n.close()
	return errors.Join(failures...)
}

const (
	percent = 100
	// graceShare is the part of the grace, in percent, that calls in flight have. The
	// platform excuses only what is still at work in the last sixth.
	graceShare = 85
	// closeTime bounds each part of the end that waits for others, so that the
	// process is gone before it is killed.
	closeTime = 150 * time.Millisecond
)

// within runs f and waits for it for at most closeTime.
func within(f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	timer := time.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// handOver gives what this node remembers of keys to its heirs. Only then it
// leaves the list as planned; else it is lost for those who ask for keys.
func (n *Node) handOver(ctx context.Context) {
	heirs := zyidempotency.SuccessorsOf(n.id, n.view.KeyOwners(n.cfg.Settings.Locality.Domain))
	held, promises := n.grants.Export(time.Now())
	args := &zypeer.ImportKeysArgs{Keys: held}
	for slot, epoch := range promises {
		args.Promises = append(args.Promises, zypeer.PromisedEpoch{Slot: slot, Epoch: epoch})
	}
	taken := 0
	for _, heir := range heirs {
		if u, ok := n.view.Find(heir); ok && n.client.ImportKeys(ctx, u.PeerAddress, args) == nil {
			taken++
		}
	}
	if taken == 0 || taken < len(heirs) {
		n.log.Warn("Nobody takes over the keys of this node.")
		return
	}
	n.view.mu.Lock()
	n.view.table.Leave(time.Now())
	n.view.mu.Unlock()
	const times = 3
	for range times {
		n.gossip.Gossip()
	}
}

func (n *Node) close() {
	if n.stopWatch != nil {
		n.stopWatch()
	}
	for _, server := range n.https {
		_ = server.Close()
	}
	within(n.gossip.Close)
	within(n.server.Close) // Calls at the worker may go on for long.
	within(n.client.Close)
	n.receiver.Close()
	within(n.timer.Stop)
	n.lines.Close()
}

// Abort ends the node as a crash does: without a word to the others, and with
// all calls cut. It is for demos and tests.
func (n *Node) Abort() {
	for _, sub := range n.subs {
		sub.Cancel()
	}
	n.close()
}
