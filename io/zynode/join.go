package zynode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniayoke"
	"zinniayoke/core/zymember"
	"zinniayoke/io/zypeer"
)

const (
	// mostTried bounds the unknown addresses that are tried at one look; some are
	// those of hosts that are gone.
	mostTried = 8
	// triedAtOnce is how many lists a node copies at its start, and triedLater at a
	// later look, among more than manyHosts. One holds nearly all, and eight filled
	// the link between regions when 304 nodes started at once. Where 16 had lost power
	// at once, two in place of eight cost a quarter of what is served in the 2 s after.
	triedAtOnce = 2
	triedLater  = 1
	manyHosts   = 128
	// Nodes that start together may meet in groups that do not know each other, so
	// the meeting place is looked at again, ever less often.
	firstRejoin = 1 * time.Second
	lastRejoin  = 16 * time.Second
	// readsPerSecond is what all nodes together read of the meeting place in the
	// long run, a thousandth of what the store allows.
	readsPerSecond = 2
)

// join takes over the member list and the bundle of nodes that are there
// already, found by the seeds of the settings or at the meeting place.
func (n *Node) join() {
	if !n.joining.TryLock() {
		return
	}
	defer n.joining.Unlock()
	if others := n.view.Others(); !n.joined.Load() && n.meet(others[:min(len(others), mostTried)], len(others)) > 0 {
		// Others have found this node before it could find them.
		n.joined.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), meetingTimeout)
	defer cancel()
	if !n.announced.Load() {
		err := n.meeting.Announce(ctx, n.id, n.peer)
		n.announced.Store(err == nil)
		if err != nil {
			n.log.With("error", err).Warn("The node could not leave its address at the meeting place.")
		}
	}
	found, err := n.meeting.FindPeers(ctx)
	if err != nil {
		n.log.With("error", err).Warn("The meeting place cannot be read.")
	}
	unknown := n.unknownOf(append(slices.Clone(n.cfg.Settings.Seeds), found...))
	newest := unknown[:min(len(unknown), mostTried)]
	rand.Shuffle(len(newest), func(i, j int) { newest[i], newest[j] = newest[j], newest[i] })
	met := n.meet(newest, max(len(found), len(n.view.Others())))
	if met > 0 || len(unknown) == 0 && err == nil {
		n.joined.Store(true)
	}
	if n.decided() {
		return
	}
	if err := n.follower.Read(); err != nil {
		n.log.With("error", err).Debug("The bundle stream cannot be read.")
	}
}

// unknownOf returns the addresses at which no member is known to be.
func (n *Node) unknownOf(addresses []string) []string {
	known := map[string]bool{n.peer: true}
	for _, a := range n.view.Others() {
		known[a] = true
	}
	var unknown []string
	for _, a := range addresses {
		if !known[a] {
			known[a] = true
			unknown = append(unknown, a)
		}
	}
	return unknown
}

// meet compares member lists with nodes at some of the addresses, a few at a time
// until one has answered, and returns how many have. Hosts is how many there are
// in all.
func (n *Node) meet(addresses []string, hosts int) int {
	met := 0
	for some := range slices.Chunk(addresses, listsAtOnce(hosts, n.joined.Load())) {
		if met = n.meetAll(some); met > 0 {
			break
		}
	}
	return met
}

// listsAtOnce returns how many lists a node copies at once among so many hosts.
func listsAtOnce(hosts int, joined bool) int {
	switch {
	case hosts <= manyHosts:
		return mostTried
	case joined:
		return triedLater
	}
	return triedAtOnce
}

// meetAll compares member lists with the nodes at all of the addresses at once.
func (n *Node) meetAll(addresses []string) int {
	var met atomic.Int64
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() {
			if !n.syncWith(address) {
				return
			}
			met.Add(1)
			if n.book.Rules() != nil {
				return
			}
			if err := n.spread.Fetch(address); err != nil {
				n.log.With("error", err).With("peer", address).Debug("No bundle was taken over.")
			}
		})
	}
	all.Wait()
	return int(met.Load())
}

// rejoin looks at the meeting place again where that is due.
func (n *Node) rejoin(now time.Time) {
	if now.Before(n.rejoinAt) {
		return
	}
	if n.rejoinPause == 0 || !n.joined.Load() || !n.announced.Load() {
		n.rejoinPause = firstRejoin
	}
	longest := max(lastRejoin, time.Duration(len(n.view.Others()))*time.Second/readsPerSecond)
	n.rejoinAt = now.Add(n.rejoinPause)
	n.rejoinPause = min(n.rejoinPause*2, longest)
	n.join()
}

// syncWith compares member lists with one node, in both directions.
func (n *Node) syncWith(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	n.view.mu.Lock()
	buckets := n.view.table.BucketHashes()
	n.view.mu.Unlock()
	self := n.selfChange()
	reply, err := n.client.SyncMembers(ctx, address, &zypeer.SyncArgs{Buckets: buckets, Self: self})
	if err != nil {
		return false
	}
	changes, err := zymember.UnpackList(reply.Packed)
	if err != nil {
		n.log.With("error", err).With("peer", address).Warn("A list of members could not be read.")
		return false
	}
	n.view.mu.Lock()
	if n.joined.Load() {
		n.view.table.Merge(time.Now(), changes)
	} else {
		n.view.table.Bootstrap(time.Now(), changes)
	}
	n.view.mu.Unlock()
	n.onMembers()
	return true
}

func (n *Node) selfChange() []zymember.Change {
	for _, m := range n.view.Members() {
		if m.Upstream.Node == n.id {
			return []zymember.Change{{Upstream: m.Upstream, Status: m.Status, Incarnation: m.Counter}}
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

// farSync is how many comparisons of lists stay in the region for each that may
// go anywhere.
const farSync = 8

// syncRandom repairs what the packets have lost.
func (n *Node) syncRandom() {
	others := n.view.Near(n.cfg.Settings.Locality.Region)
	if len(others) == 0 || rand.IntN(farSync) == 0 {
		others = n.view.Others()
	}
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
