package zynode

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zymember"
	"zinniayoke/io/zypeer"
)

// Query returns the state of an attempt.
func (p *peerService) Query(node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return p.node.receiver.Query(node, id)
}

// Cancel cancels an attempt whose result is no longer needed.
func (p *peerService) Cancel(id zinniayoke.AttemptID) {
	p.node.receiver.Cancel(id)
}

// Withdraw refuses an attempt that still waits for the worker.
func (p *peerService) Withdraw(id zinniayoke.AttemptID) {
	p.node.receiver.Withdraw(id)
}

// RunAsOwner runs a request whose key this node owns.
func (p *peerService) RunAsOwner(ctx context.Context, c *zinniayoke.Call) *zinniayoke.Reply {
	return p.node.keyOwners.run(ctx, c)
}

// ConfirmNotRun reports whether the request of a key certainly did not run.
func (p *peerService) ConfirmNotRun(ctx context.Context, key zinniayoke.Key) bool {
	return p.node.keyExecutor.ConfirmNotRun(ctx, key)
}

// ReleaseKey releases a key to the new home failure domain of its caller.
func (p *peerService) ReleaseKey(ctx context.Context, key zinniayoke.Key) *zykeyowner.ReleaseReply {
	return p.node.keyExecutor.ReleaseKey(ctx, key)
}

// PromiseEpoch promises the epoch to a node that takes over the slots and returns their
// key records.
func (p *peerService) PromiseEpoch(slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) *zykeyowner.PromiseReply {
	return p.node.keyOwners.promiseHandler.PromiseEpoch(slots, epoch)
}

// ImportKeys stores the key records and promises of another node, which is leaving or
// replicates a key.
func (p *peerService) ImportKeys(args *zypeer.ImportKeysArgs) {
	promises := make(map[zinniayoke.KeySlot]zinniayoke.Epoch, len(args.Promises))
	for _, promise := range args.Promises {
		promises[promise.Slot] = promise.Epoch
	}
	p.node.grants.Import(time.Now(), args.Keys, promises)
}

// SyncMembers merges the entry of the peer and returns the members that differ, and the requests
// that are suspected of crashing workers: these are broadcast only once, when a worker has crashed,
// and a process may have started since.
func (p *peerService) SyncMembers(args *zypeer.SyncArgs) *zypeer.SyncReply {
	n := p.node
	n.view.mu.Lock()
	changes := n.view.table.Diff(args.Buckets)
	n.view.mu.Unlock()
	changes = append(changes, n.suspects(time.Now())...)
	informed := n.informed.Load() // Before the departures are read, which are then complete.
	if args.Uninformed {
		changes = append(changes, n.heldDepartures()...)
	}
	n.mergeChanges(args.Self)
	packed, err := zymember.PackList(changes)
	if err != nil {
		n.log.With("error", err).Warn("The member list could not be encoded for a peer.")
	}
	return &zypeer.SyncReply{Packed: packed, Version: n.bundle.Version(), Informed: informed && err == nil}
}

// suspects returns the crash records that are still in force.
func (n *Node) suspects(now time.Time) []zymember.Change {
	bundle := n.bundle.Current()
	if bundle == nil {
		return nil
	}
	var changes []zymember.Change
	for _, r := range n.quarantine.Records() {
		if now.Sub(r.Updated) < bundle.QuarantineFor {
			changes = append(changes, zymember.Change{Fingerprint: uint64(r.Fingerprint), Crashes: r.Crashes, CrashesAlone: r.CrashesAlone})
		}
	}
	return changes
}

// ExchangeBundle handles a bundle offer and returns the version in force.
func (p *peerService) ExchangeBundle(args *zypeer.BundleArgs) *zypeer.BundleReply {
	return p.node.distributor.HandleOffer(args)
}

// loopbackClient implements zinniayoke.PeerClient. It passes attempts for this node's
// own worker to the receiver directly and sends all others over the network.
type loopbackClient struct {
	self     zinniayoke.NodeID
	receiver *zyingress.Receiver
	remote   zinniayoke.PeerClient
}

// Run sends an attempt and waits for its reply. An attempt on this node keeps running
// after ctx is done.
func (l *loopbackClient) Run(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	if to.Node != l.self {
		return l.remote.Run(ctx, to, a)
	}
	replies := make(chan *zinniayoke.Reply, 1)
	go func() { replies <- l.receiver.Run(context.WithoutCancel(ctx), a) }()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Query returns the state of an attempt.
func (l *loopbackClient) Query(ctx context.Context, to zinniayoke.Upstream, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	if to.Node == l.self {
		return l.receiver.Query(to.Node, id)
	}
	return l.remote.Query(ctx, to, id)
}

// Cancel tells a node that the result of an attempt is no longer needed.
func (l *loopbackClient) Cancel(to zinniayoke.Upstream, id zinniayoke.AttemptID) {
	if to.Node == l.self {
		l.receiver.Cancel(id)
		return
	}
	l.remote.Cancel(to, id)
}

// Withdraw tells a node to refuse an attempt that still waits for its worker.
func (l *loopbackClient) Withdraw(to zinniayoke.Upstream, id zinniayoke.AttemptID) {
	if to.Node == l.self {
		l.receiver.Withdraw(id)
		return
	}
	l.remote.Withdraw(to, id)
}
