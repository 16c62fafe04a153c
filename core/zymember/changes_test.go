package zymember_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"zinniayoke"
	"zinniayoke/core/zymember"
)

// makeChanges returns a list of n members of one service in ten failure domains.
func makeChanges(n int) []zymember.Change {
	list := make([]zymember.Change, 0, n)
	for i := range n {
		list = append(list, zymember.Change{
			Upstream: zinniayoke.Upstream{
				Node:        zinniayoke.NodeID(fmt.Sprintf("host-%d/%016x", i, i*7919)),
				Locality:    zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprintf("domain-%d", i%10)), Region: "north"},
				PeerAddress: fmt.Sprintf("10.1.%d.%d:7620", i/250, i%250), Service: "orderdesk", Slots: 40, Connections: 300,
			},
			Incarnation: zinniayoke.Incarnation(i % 5),
		})
	}
	return list
}

// TestPackListRoundTrip checks that lists are unchanged after unpacking and that a long
// list takes at most 40 bytes per member.
func TestPackListRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 300, 4600} {
		list := makeChanges(n)
		packed, err := zymember.PackList(list)
		if err != nil {
			t.Fatal(err)
		}
		got, err := zymember.UnpackList(packed)
		if err != nil || !slices.Equal(got, list) {
			t.Errorf("%d members: unpacked %d, error %v", n, len(got), err)
		}
		if limit := 40 * n; n > 100 && len(packed) > limit {
			t.Errorf("%d members take %d bytes, want at most %d", n, len(packed), limit)
		}
	}
}

// FuzzUnpackList checks that UnpackList does not panic and that each error is a
// *PacketError.
func FuzzUnpackList(f *testing.F) {
	packed, err := zymember.PackList(makeChanges(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte("no list"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var packetErr *zymember.PacketError
		if _, err := zymember.UnpackList(raw); err != nil && !errors.As(err, &packetErr) {
			t.Errorf("got %v, want a *PacketError", err)
		}
	})
}
