package zymember

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// BucketHash sums up a part of the members, so that two nodes find out in a few
// bytes where their lists differ.
type BucketHash uint64

// BucketHashes returns the sums of all parts of the list.
func (t *Table) BucketHashes() []BucketHash {
	sums := make([]BucketHash, buckets)
	for id, m := range t.members {
		sums[bucketOf(id)] ^= BucketHash(sumOf(m))
	}
	return sums
}

func bucketOf(id zinniayoke.NodeID) int {
	return int(xxhash.Sum64String(string(id)) % buckets)
}

func sumOf(m *Member) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(m.Upstream.Node))
	_, _ = d.Write([]byte{byte(m.Status)})
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(m.Counter >> (8 * i))
	}
	_, _ = d.Write(raw[:])
	return d.Sum64()
}

// Diff returns the members of the parts whose sums differ from theirs.
func (t *Table) Diff(theirs []BucketHash) []Change {
	mine := t.BucketHashes()
	var list []Change
	for id, m := range t.members {
		i := bucketOf(id)
		if i >= len(theirs) || theirs[i] != mine[i] {
			list = append(list, m.change())
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Upstream.Node, b.Upstream.Node) })
	return list
}

// Merge takes in what another node's list holds.
func (t *Table) Merge(now time.Time, list []Change) {
	for _, c := range list {
		t.merge(now, c)
	}
}

// Bootstrap takes over the list of another node by a node that has just started. What
// the other knows needs no telling; only what this node says of itself does.
func (t *Table) Bootstrap(now time.Time, list []Change) {
	t.Merge(now, list)
	t.ClearBroadcasts()
	t.tell(t.self)
}
