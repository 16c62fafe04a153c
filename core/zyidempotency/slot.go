// Package zyidempotency makes a request with a key run at most once. A keeper in the
// key's home failure domain grants each key to one attempt; the nodes of the
// workers remember what they were granted, so that the next keeper can learn it.
package zyidempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// SlotCount is the number of parts into which the keys of one home are split.
const SlotCount = 256

// SlotOf returns the slot of a key in its home failure domain.
func SlotOf(home zinniayoke.Domain, key zinniayoke.Key) zinniayoke.KeySlot {
	return zinniayoke.KeySlot{Domain: home, Number: int(xxhash.Sum64String(string(key)) % SlotCount)}
}

// OwnerOf returns the member that keeps a slot, by rendezvous hash. It returns
// "" where there are no members.
func OwnerOf(slot zinniayoke.KeySlot, members []zinniayoke.NodeID) zinniayoke.NodeID {
	best, highest := zinniayoke.NodeID(""), uint64(0)
	for _, m := range members {
		if w := weight(slot, m); best == "" || w > highest || w == highest && m > best {
			best, highest = m, w
		}
	}
	return best
}

// heirs is how many members take over what a leaving node remembers. There are
// two, so that no key is remembered only by its own keeper.
const heirs = 2

// SuccessorsOf returns the members that take over what node remembers when it leaves;
// fewer than two where there are no others.
func SuccessorsOf(node zinniayoke.NodeID, members []zinniayoke.NodeID) []zinniayoke.NodeID {
	others := slices.DeleteFunc(slices.Clone(members), func(m zinniayoke.NodeID) bool { return m == node })
	var list []zinniayoke.NodeID
	for len(list) < heirs && len(others) > 0 {
		next := OwnerOf(zinniayoke.KeySlot{Domain: zinniayoke.Domain(node)}, others)
		list = append(list, next)
		others = slices.DeleteFunc(others, func(m zinniayoke.NodeID) bool { return m == next })
	}
	return list
}

func weight(slot zinniayoke.KeySlot, m zinniayoke.NodeID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(slot.Domain))
	_, _ = d.Write([]byte{0, byte(slot.Number), byte(slot.Number >> 8)})
	_, _ = d.WriteString(string(m))
	return d.Sum64()
}
