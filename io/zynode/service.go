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

// Query tells the fate of an attempt.
func (p *peerService) Query(id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return p.node.receiver.Query(id)
}

// Cancel ends an attempt that nobody waits for.
func (p *peerService) Cancel(id zinniayoke.AttemptID) {
	p.node.receiver.Cancel(id)
}

// RunAsOwner runs a request whose key this node keeps.
func (p *peerService) RunAsOwner(ctx context.Context, c *zinniayoke.Call) *zinniayoke.Reply {
	return p.node.keepers.book(ctx, c)
}

// ConfirmNotRun tells whether a key ran nowhere.
func (p *peerService) ConfirmNotRun(ctx context.Context, key zinniayoke.Key) bool {
	return p.node.home.ConfirmNotRun(ctx, key)
}

// ReleaseKey hands a key to the caller's new home.
func (p *peerService) ReleaseKey(ctx context.Context, key zinniayoke.Key) *zykeyowner.ReleaseReply {
	return p.node.home.ReleaseKey(ctx, key)
}

// Recall answers a keeper that takes slots over.
func (p *peerService) Recall(slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) *zykeyowner.RecallReply {
	return p.node.keepers.memory.Recall(slots, epoch)
}

// ImportKeys takes over what a leaving node remembers.
func (p *peerService) ImportKeys(args *zypeer.ImportKeysArgs) {
	promises := make(map[zinniayoke.KeySlot]zinniayoke.Epoch, len(args.Promises))
	for _, promise := range args.Promises {
		promises[promise.Slot] = promise.Epoch
	}
	p.node.grants.Import(time.Now(), args.Keys, promises)
}

// SyncMembers compares member lists.
func (p *peerService) SyncMembers(args *zypeer.SyncArgs) *zypeer.SyncReply {
	n := p.node
	n.view.mu.Lock()
	changes := n.view.table.Diff(args.Buckets)
	n.view.mu.Unlock()
	n.merge(args.Self)
	packed, err := zymember.PackList(changes)
	if err != nil {
		n.log.With("error", err).Warn("A list of members could not be sent.")
	}
	return &zypeer.SyncReply{Packed: packed}
}

// ExchangeBundle takes a bundle in and tells the version in force.
func (p *peerService) ExchangeBundle(args *zypeer.BundleArgs) *zypeer.BundleReply {
	return p.node.spread.Take(args)
}

// localPeers sends attempts for this node's own worker without a connection.
type localPeers struct {
	self     zinniayoke.NodeID
	receiver *zyingress.Receiver
	remote   zinniayoke.PeerClient
}

// Run sends an attempt.
func (l *localPeers) Run(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
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

// Query asks what became of an attempt.
func (l *localPeers) Query(ctx context.Context, to zinniayoke.Upstream, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	if to.Node == l.self {
		return l.receiver.Query(id)
	}
	return l.remote.Query(ctx, to, id)
}

// Cancel tells a node that nobody waits for an attempt.
func (l *localPeers) Cancel(to zinniayoke.Upstream, id zinniayoke.AttemptID) {
	if to.Node == l.self {
		l.receiver.Cancel(id)
		return
	}
	l.remote.Cancel(to, id)
}
