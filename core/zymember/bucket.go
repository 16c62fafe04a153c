package zymember

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// BucketHash is the combined hash of the members in one bucket. Two nodes compare
// bucket hashes to find out which parts of their member lists differ.
type BucketHash uint64

// BucketHashes returns the hash of each bucket of the member list.
func (t *Table) BucketHashes() []BucketHash {
	hashes := make([]BucketHash, bucketCount)
	for id, m := range t.members {
		hashes[bucketOf(id)] ^= BucketHash(hashOf(m))
	}
	return hashes
}

func bucketOf(id zinniayoke.NodeID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// hashOf hashes the node ID, status and incarnation of a member.
func hashOf(m *Member) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(m.Upstream.Node))
	_, _ = d.Write([]byte{byte(m.Status)})
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(m.Incarnation >> (8 * i))
	}
	_, _ = d.Write(raw[:])
	return d.Sum64()
}

// Diff returns all members in the buckets whose hashes differ from theirs, sorted
// by node ID.
func (t *Table) Diff(theirs []BucketHash) []Change {
	ours := t.BucketHashes()
	var list []Change
	for id, m := range t.members {
		i := bucketOf(id)
		if i >= len(theirs) || theirs[i] != ours[i] {
			list = append(list, m.change())
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Upstream.Node, b.Upstream.Node) })
	return list
}

// Merge applies the changes in list, which come from another node's member list.
func (t *Table) Merge(now time.Time, list []Change) {
	for _, c := range list {
		t.merge(now, c)
	}
}

// Bootstrap fills the table of a node that has just started with another node's
// list. The other nodes already know these members, so only this node's own entry
// is queued for broadcast.
func (t *Table) Bootstrap(now time.Time, list []Change) {
	t.Merge(now, list)
	t.ClearBroadcasts()
	t.enqueueBroadcast(t.self)
}
