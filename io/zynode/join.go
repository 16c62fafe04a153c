package zynode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zymember"
	"zinniayoke/io/zypeer"
)

// join takes over the member list and the bundle of a node that is there
// already, found by the seeds of the settings or the member stream of the log.
func (n *Node) join() {
	if !n.joining.TryLock() {
		return
	}
	defer n.joining.Unlock()
	own := n.peer
	seeds := slices.DeleteFunc(slices.Clone(n.cfg.Settings.Seeds), func(a string) bool { return a == own })
	ctx, cancel := context.WithTimeout(context.Background(), meetingTimeout)
	defer cancel()
	if err := n.meeting.Announce(ctx, n.id, own); err != nil {
		n.log.With("error", err).Warn("The node could not leave its address at the meeting place.")
	}
	recent, err := n.meeting.Find(ctx)
	if err != nil {
		n.log.With("error", err).Warn("The meeting place cannot be read.")
	}
	const mostTried, mostJoined = 8, 3
	tried, met := 0, 0
	for _, address := range append(seeds, recent...) {
		if address == own || tried >= mostTried {
			continue
		}
		tried++
		if n.syncWith(address) {
			n.joined.Store(true)
			met++
			if err := n.spread.Fetch(address); err != nil {
				n.log.With("error", err).With("peer", address).Debug("No bundle was taken over.")
			}
		}
		if met >= mostJoined {
			break
		}
	}
	if tried == 0 && err == nil {
		// Nobody else is known: this is the first node of all.
		n.joined.Store(true)
	}
	if n.decided() {
		return
	}
	if err := n.follower.Read(); err != nil {
		n.log.With("error", err).Debug("The bundle stream cannot be read.")
	}
}

// syncWith compares member lists with one node, in both directions.
func (n *Node) syncWith(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	n.view.mu.Lock()
	buckets := n.view.table.Buckets()
	n.view.mu.Unlock()
	self := n.selfChange()
	reply, err := n.client.Sync(ctx, address, &zypeer.SyncArgs{Buckets: buckets, Self: self})
	if err != nil {
		return false
	}
	n.merge(reply.Changes)
	return true
}

func (n *Node) selfChange() []zymember.Change {
	for _, m := range n.view.Members() {
		if m.Upstream.Node == n.id {
			return []zymember.Change{{Upstream: m.Upstream, Status: m.Status, Counter: m.Counter}}
		}
	}
	return nil
}

func (n *Node) merge(changes []zymember.Change) {
	n.view.mu.Lock()
	n.view.table.Merge(time.Now(), changes)
	n.view.mu.Unlock()
	n.onMembers()
}

// syncRandom repairs what the packets have lost.
func (n *Node) syncRandom() {
	others := n.view.Others()
	if len(others) > 0 {
		n.syncWith(others[rand.IntN(len(others))])
	}
}

// peerService is what the node does for its peers.
type peerService struct {
	node *Node
}

// Run admits and runs an attempt.
func (p *peerService) Run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	return p.node.receiver.Run(ctx, a)
}
