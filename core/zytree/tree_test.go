package zytree_test

import (
	"fmt"
	"slices"
	"testing"

	"zinniayoke"
	"zinniayoke/core/zytree"
)

func nodes(domain, n int) []zinniayoke.NodeID {
	var list []zinniayoke.NodeID
	for i := range n {
		list = append(list, zinniayoke.NodeID(fmt.Sprintf("d%d-h%d/1", domain, i)))
	}
	return list
}

// TestCheckpointWriterReadsTheLog guards against choosing a writer that is no log
// reader: at 30 nodes a domain, such a writer would hardly ever write.
func TestCheckpointWriterReadsTheLog(t *testing.T) {
	for _, size := range []int{1, 2, 4, 30, 460} {
		for domains := 1; domains <= 10; domains += 3 {
			members := make(map[zinniayoke.Domain][]zinniayoke.NodeID)
			for d := range domains {
				members[zinniayoke.Domain(fmt.Sprint(d))] = nodes(d, size)
			}
			writer := zytree.CheckpointWriter(members)
			reads := false
			for domain, list := range members {
				reads = reads || zytree.IsLogReader(writer, domain, list)
			}
			if !reads {
				t.Errorf("%d domains of %d nodes: the writer %q reads no log", domains, size, writer)
			}
		}
	}
	if writer := zytree.CheckpointWriter(nil); writer != "" {
		t.Errorf("without members, %q writes checkpoints", writer)
	}
}

// TestReaderOrder checks that the order does not depend on that of the list, and that
// the loss of a node moves up only those behind it.
func TestReaderOrder(t *testing.T) {
	list := nodes(0, 12)
	order := zytree.ReaderOrder("d", list)
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	if got := zytree.ReaderOrder("d", reversed); !slices.Equal(got, order) {
		t.Errorf("got %v for the reversed list, want %v", got, order)
	}
	lost := order[3]
	rest := slices.DeleteFunc(slices.Clone(list), func(id zinniayoke.NodeID) bool { return id == lost })
	want := slices.Delete(slices.Clone(order), 3, 4)
	if got := zytree.ReaderOrder("d", rest); !slices.Equal(got, want) {
		t.Errorf("without %s: %v, want %v", lost, got, want)
	}
}

// TestChildrenReachEveryNode follows the tree from its root.
func TestChildrenReachEveryNode(t *testing.T) {
	for _, n := range []int{1, 2, 9, 10, 74, 460} {
		list := nodes(0, n)
		root := list[n/2]
		reached := map[zinniayoke.NodeID]int{root: 1}
		for queue := []zinniayoke.NodeID{root}; len(queue) > 0; queue = queue[1:] {
			for _, child := range zytree.Children(queue[0], root, list) {
				reached[child]++
				queue = append(queue, child)
			}
		}
		for _, id := range list {
			if reached[id] != 1 {
				t.Errorf("%d nodes: %s is reached %d times", n, id, reached[id])
			}
		}
	}
	if got := zytree.Children("absent/1", "d0-h0/1", nodes(0, 9)); got != nil {
		t.Errorf("a node outside the tree has children %v", got)
	}
}
