// Package zyclaim makes a request with a key run at most once. A keeper in the
// key's home failure domain grants each key to one attempt; the nodes of the
// workers remember what they were granted, so that the next keeper can learn it.
package zyclaim

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// Slots is the number of parts into which the keys of one home are split.
const Slots = 256

// SlotOf returns the slot of a key in its home failure domain.
func SlotOf(home zinniayoke.Domain, key zinniayoke.Key) zinniayoke.Slot {
	return zinniayoke.Slot{Domain: home, Number: int(xxhash.Sum64String(string(key)) % Slots)}
}

// KeeperOf returns the member that keeps a slot, by rendezvous hash. It returns
// "" where there are no members.
func KeeperOf(slot zinniayoke.Slot, members []zinniayoke.NodeID) zinniayoke.NodeID {
	best, highest := zinniayoke.NodeID(""), uint64(0)
	for _, m := range members {
		if w := weight(slot, m); best == "" || w > highest || w == highest && m > best {
			best, highest = m, w
		}
	}
	return best
}

// HeirOf returns the member that takes over what node remembers when it leaves,
// or "" where there is no other.
func HeirOf(node zinniayoke.NodeID, members []zinniayoke.NodeID) zinniayoke.NodeID {
	others := slices.DeleteFunc(slices.Clone(members), func(m zinniayoke.NodeID) bool { return m == node })
	return KeeperOf(zinniayoke.Slot{Domain: zinniayoke.Domain(node)}, others)
}

func weight(slot zinniayoke.Slot, m zinniayoke.NodeID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(slot.Domain))
	_, _ = d.Write([]byte{0, byte(slot.Number), byte(slot.Number >> 8)})
	_, _ = d.WriteString(string(m))
	return d.Sum64()
}
