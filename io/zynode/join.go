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
	"zinniayoke/core/zytree"
	"zinniayoke/io/zypeer"
)

const (
	// maxJoinAddresses limits how many unknown addresses one join attempt contacts;
	// some of them belong to hosts that no longer exist.
	maxJoinAddresses = 8
	// firstJoinParallelism is how many nodes a starting node exchanges member lists
	// with at once, and rejoinParallelism how many at later attempts, among more than
	// largeClusterHosts. One list holds nearly all members, and eight at once filled
	// the link between regions when 304 nodes started together. After 16 hosts had
	// lost power at once, two instead of eight cost a quarter of the served calls in
	// the next 2 s, so smaller clusters have no such limit.
	firstJoinParallelism = 2
	rejoinParallelism    = 1
	largeClusterHosts    = 128
	// Nodes that start together may form groups that do not know each other, so
	// discovery is repeated, with the interval doubling from minRejoinInterval to
	// maxRejoinInterval, or to a longer one in a large cluster (see
	// discoveryReadsPerSecond).
	minRejoinInterval = 1 * time.Second
	maxRejoinInterval = 16 * time.Second
	// discoveryReadsPerSecond is how often all nodes together read from discovery in
	// the long run, a thousandth of what the store allows.
	discoveryReadsPerSecond = 2
)

// join announces the address of this node, and copies the member list and the bundle
// from nodes that are found by the seeds of the settings or by discovery. It returns
// at once if another join is running.
func (n *Node) join() {
	if !n.joinMu.TryLock() {
		return
	}
	defer n.joinMu.Unlock()
	if others := n.view.PeerAddresses(); !n.joined.Load() && n.syncWithAny(others[:min(len(others), maxJoinAddresses)], len(others)) > 0 {
		// Other nodes have found this node first.
		n.joined.Store(true)
	}
	n.joinDiscovered()
	if n.hasBundleSource() {
		return
	}
	if err := n.follower.ReadNew(); err != nil {
		n.log.With("error", err).Debug("The bundle stream cannot be read.")
	}
}

// joinDiscovered exchanges member lists with nodes that discovery knows, and takes in the rest
// of what they have published.
func (n *Node) joinDiscovered() {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	registry, err := n.discovery.Find(ctx)
	if err != nil {
		n.log.With("error", err).Warn("Discovery of other nodes failed.")
	} else {
		// Nodes that do not reply must not leave the worker idle for longer.
		late := time.AfterFunc(memberSyncTimeout, func() { n.recallFrom(registry) })
		defer late.Stop()
	}
	found := registry.Peers
	unknown := n.unknownAddresses(append(slices.Clone(n.cfg.Settings.Seeds), found...))
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	synced := n.syncWithAny(unknown[:min(len(unknown), maxJoinAddresses)], max(len(found), len(n.view.PeerAddresses())))
	if synced > 0 || len(unknown) == 0 && err == nil {
		n.joined.Store(true)
	}
	n.triedJoin.Store(true)
	if err == nil {
		n.recallFrom(registry)
	} else if !n.recalled.Load() {
		n.recallWithoutDiscovery()
	}
	if err == nil && !slices.Contains(found, n.peerAddress) && (synced == 0 || n.isReader()) {
		n.announce()
	}
	if err == nil && n.isReader() {
		n.restoreDepartures(registry)
		n.dropOldDepartures(registry.Departures)
	}
}

// announce publishes the address of this node. Only the readers of each failure domain
// are published, and nodes that found nobody: whoever joins one node learns of the
// others from it.
func (n *Node) announce() {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	if err := n.discovery.Announce(ctx, n.id, n.peerAddress); err != nil {
		n.log.With("error", err).Warn("The address of the node could not be announced for discovery.")
	}
}

// isReader reports whether this node is one of those that read what all nodes need from
// the store.
func (n *Node) isReader() bool {
	if r := n.reader.Load(); r != nil {
		return r.IsReading()
	}
	domain := n.cfg.Settings.Locality.Domain
	return zytree.IsLogReader(n.id, domain, n.view.KeyOwners(domain))
}

// unknownAddresses returns the addresses that belong to no known member, each once.
func (n *Node) unknownAddresses(addresses []string) []string {
	known := map[string]bool{n.peerAddress: true}
	for _, a := range n.view.PeerAddresses() {
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

// syncWithAny exchanges member lists with the nodes at the addresses, a few at a time
// until at least one has replied, and returns how many have. The size of the cluster
// in hosts determines how many are contacted at a time.
func (n *Node) syncWithAny(addresses []string, hosts int) int {
	synced := 0
	for batch := range slices.Chunk(addresses, syncParallelism(hosts, n.joined.Load())) {
		if synced = n.syncWithAll(batch); synced > 0 {
			break
		}
	}
	return synced
}

// syncParallelism returns how many nodes to exchange member lists with at once in a
// cluster of the given size.
func syncParallelism(hosts int, joined bool) int {
	switch {
	case hosts <= largeClusterHosts:
		return maxJoinAddresses
	case joined:
		return rejoinParallelism
	}
	return firstJoinParallelism
}

// syncWithAll exchanges member lists with the nodes at all addresses at once and
// returns how many have replied. It also fetches the bundle if none is in force.
func (n *Node) syncWithAll(addresses []string) int {
	var synced atomic.Int64
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			if !n.syncWith(address) {
				return
			}
			synced.Add(1)
			if n.bundle.Current() != nil {
				return
			}
			if err := n.distributor.Fetch(address); err != nil {
				n.log.With("error", err).With("peer", address).Debug("No bundle could be fetched from a peer.")
			}
		})
	}
	wg.Wait()
	return int(synced.Load())
}

// rejoinIfDue repeats discovery and the join when the rejoin interval has passed. Nodes
// that have joined leave it to the readers.
func (n *Node) rejoinIfDue(now time.Time) {
	if n.joined.Load() && !n.isReader() {
		return
	}
	soon := n.rejoinSoon.Swap(false)
	if now.Before(n.nextJoin) && !soon {
		return
	}
	if soon || n.rejoinInterval == 0 || !n.joined.Load() {
		n.rejoinInterval = minRejoinInterval
	}
	maxInterval := max(maxRejoinInterval, time.Duration(len(n.view.PeerAddresses()))*time.Second/discoveryReadsPerSecond)
	n.nextJoin = now.Add(n.rejoinInterval)
	n.rejoinInterval = min(n.rejoinInterval*2, maxInterval)
	n.join()
}

// syncWith exchanges differing members with the node at the address and reports
// whether it succeeded.
func (n *Node) syncWith(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), memberSyncTimeout)
	defer cancel()
	reply, err := n.client.SyncMembers(ctx, address, n.syncArgs(n.localChange()...))
	if err != nil {
		return false
	}
	changes, err := zymember.UnpackList(reply.Packed)
	if err != nil {
		n.log.With("error", err).With("peer", address).Warn("The member list of a peer cannot be decoded.")
		return false
	}
	n.distributor.FetchIfNewer(reply.Version, address)
	n.view.mu.Lock()
	if n.joined.Load() {
		n.view.table.Merge(time.Now(), changes)
	} else {
		n.view.table.Bootstrap(time.Now(), changes)
	}
	n.view.mu.Unlock()
	n.onMembershipChange()
	if reply.Informed {
		n.informed.Store(true)
	}
	return true
}

// syncArgs returns the arguments of a synchronization in which this node reports the changes.
func (n *Node) syncArgs(changes ...zymember.Change) *zypeer.SyncArgs {
	n.view.mu.Lock()
	defer n.view.mu.Unlock()
	return &zypeer.SyncArgs{Buckets: n.view.table.BucketHashes(), Self: changes, Uninformed: !n.informed.Load()}
}

// localChange returns the entry of this node as a list of one change.
func (n *Node) localChange() []zymember.Change {
	for _, m := range n.view.Members() {
		if m.Upstream.Node == n.id {
			return []zymember.Change{{Upstream: m.Upstream, Status: m.Status, Incarnation: m.Incarnation}}
		}
	}
	return nil
}

func (n *Node) mergeChanges(changes []zymember.Change) {
	n.view.mu.Lock()
	n.view.table.Merge(time.Now(), changes)
	n.view.mu.Unlock()
	n.onMembershipChange()
}

// anyRegionSyncOneIn is how often a periodic sync may leave the local region: on
// average one in this many.
const anyRegionSyncOneIn = 8

// syncRandom exchanges member lists with a random node, which repairs what lost
// membership packets have left out.
func (n *Node) syncRandom() {
	addresses := n.view.RegionPeerAddresses(n.cfg.Settings.Locality.Region)
	if len(addresses) == 0 || rand.IntN(anyRegionSyncOneIn) == 0 {
		addresses = n.view.PeerAddresses()
	}
	if len(addresses) > 0 {
		n.syncWith(addresses[rand.IntN(len(addresses))])
	}
}

// peerService handles the RPCs of other nodes.
type peerService struct {
	node *Node
}

// Run admits an attempt and runs it on the local worker.
func (p *peerService) Run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	return p.node.receiver.Run(ctx, a)
}
