// Package zytree computes the trees along which a new bundle is distributed within a
// failure domain, and chooses the nodes that read the log. All nodes with the same
// member list get the same result.
package zytree

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// Fanout is the number of children of each node in a distribution tree.
const Fanout = 8

// LogReaders is the number of nodes in a failure domain that read the log.
const LogReaders = 2

// RendezvousOrder returns the nodes sorted by their rendezvous hash for the topic,
// highest first. The result does not depend on the order of the given list.
func RendezvousOrder(topic string, nodes []zinniayoke.NodeID) []zinniayoke.NodeID {
	type weighted struct {
		node   zinniayoke.NodeID
		weight uint64
	}
	list := make([]weighted, len(nodes))
	for i, n := range nodes {
		list[i] = weighted{node: n, weight: xxhash.Sum64String(topic + "\x00" + string(n))}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		if a.node < b.node {
			return -1
		}
		return 1
	})
	order := make([]zinniayoke.NodeID, len(list))
	for i, w := range list {
		order[i] = w.node
	}
	return order
}

// ReaderOrder returns the nodes of a failure domain in the order in which they become
// readers of the log.
func ReaderOrder(domain zinniayoke.Domain, members []zinniayoke.NodeID) []zinniayoke.NodeID {
	return RendezvousOrder("reader "+string(domain), members)
}

// IsLogReader reports whether self is one of the nodes that read the log for the
// failure domain. members are the nodes of that domain.
func IsLogReader(self zinniayoke.NodeID, domain zinniayoke.Domain, members []zinniayoke.NodeID) bool {
	order := ReaderOrder(domain, members)
	return slices.Contains(order[:min(LogReaders, len(order))], self)
}

// CheckpointWriter returns the node that writes checkpoints of the bundle to the log:
// one of the log readers of all failure domains, as only they know the end of the log.
// It returns the zero value if there are no members.
func CheckpointWriter(members map[zinniayoke.Domain][]zinniayoke.NodeID) zinniayoke.NodeID {
	var readers []zinniayoke.NodeID
	for domain, nodes := range members {
		order := ReaderOrder(domain, nodes)
		readers = append(readers, order[:min(LogReaders, len(order))]...)
	}
	if len(readers) == 0 {
		return ""
	}
	return RendezvousOrder("checkpoint", readers)[0]
}

// Children returns the nodes to which self forwards a bundle that spreads from root.
// The members form a tree with root at the top in which each node has up to Fanout
// children. It returns nil if self is not in the tree.
func Children(self, root zinniayoke.NodeID, members []zinniayoke.NodeID) []zinniayoke.NodeID {
	others := slices.DeleteFunc(slices.Clone(members), func(n zinniayoke.NodeID) bool { return n == root })
	order := append([]zinniayoke.NodeID{root}, RendezvousOrder("tree "+string(root), others)...)
	index := slices.Index(order, self)
	if index < 0 {
		return nil
	}
	first := index*Fanout + 1
	if first >= len(order) {
		return nil
	}
	return order[first:min(first+Fanout, len(order))]
}
