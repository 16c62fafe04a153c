// Package zytree lays the trees along which a new bundle is passed on, and
// chooses the nodes that read the log.
package zytree

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// Fanout is how many nodes each node of a tree passes a change on to.
const Fanout = 8

// LogReaders is how many nodes of a failure domain follow the log.
const LogReaders = 2

// RendezvousOrder returns the nodes in the order of their rendezvous weight for a topic.
// All nodes with the same list compute the same order.
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

// IsLogReader reports whether self follows the log for its failure domain, whose
// members are given.
func IsLogReader(self zinniayoke.NodeID, domain zinniayoke.Domain, members []zinniayoke.NodeID) bool {
	order := RendezvousOrder("reader "+string(domain), members)
	return slices.Contains(order[:min(LogReaders, len(order))], self)
}

// Children returns the nodes to which self passes a change on that came from
// root. The nodes of the domain form a tree of the given fan-out below root.
func Children(self, root zinniayoke.NodeID, members []zinniayoke.NodeID) []zinniayoke.NodeID {
	others := slices.DeleteFunc(slices.Clone(members), func(n zinniayoke.NodeID) bool { return n == root })
	order := append([]zinniayoke.NodeID{root}, RendezvousOrder("tree "+string(root), others)...)
	at := slices.Index(order, self)
	if at < 0 {
		return nil
	}
	first := at*Fanout + 1
	if first >= len(order) {
		return nil
	}
	return order[first:min(first+Fanout, len(order))]
}
