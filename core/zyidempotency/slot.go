// Package zyidempotency runs a request with an idempotency key at most once. The
// keys of a home failure domain are partitioned into slots, each owned by one node,
// which grants a key to one attempt at a time. The nodes of the workers record the
// grants that they have used, so that the next owner of a slot can recover its
// state from them.
package zyidempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// SlotCount is the number of slots into which the keys of one home domain are
// partitioned.
const SlotCount = 256

// SlotOf returns the slot of a key in its home failure domain.
func SlotOf(home zinniayoke.Domain, key zinniayoke.Key) zinniayoke.KeySlot {
	return zinniayoke.KeySlot{Domain: home, Number: int(xxhash.Sum64String(string(key)) % SlotCount)}
}

// OwnerOf returns the member that owns a slot, chosen by rendezvous hashing. It
// returns "" if there are no members.
func OwnerOf(slot zinniayoke.KeySlot, members []zinniayoke.NodeID) zinniayoke.NodeID {
	owner, highest := zinniayoke.NodeID(""), uint64(0)
	for _, m := range members {
		if wt := hashWeight(slot, m); owner == "" || wt > highest || wt == highest && m > owner {
			owner, highest = m, wt
		}
	}
	return owner
}

// successorCount is the number of members to which a leaving node hands its
// records. With two of them, at least one is not the owner of the key, so that no
// key is known only to its owner.
const successorCount = 2

// SuccessorsOf returns the members to which node hands its records when it leaves;
// fewer than two if there are not enough other members.
func SuccessorsOf(node zinniayoke.NodeID, members []zinniayoke.NodeID) []zinniayoke.NodeID {
	others := slices.DeleteFunc(slices.Clone(members), func(m zinniayoke.NodeID) bool { return m == node })
	var successors []zinniayoke.NodeID
	for len(successors) < successorCount && len(others) > 0 {
		next := OwnerOf(zinniayoke.KeySlot{Domain: zinniayoke.Domain(node)}, others)
		successors = append(successors, next)
		others = slices.DeleteFunc(others, func(m zinniayoke.NodeID) bool { return m == next })
	}
	return successors
}

func hashWeight(slot zinniayoke.KeySlot, m zinniayoke.NodeID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(slot.Domain))
	_, _ = d.Write([]byte{0, byte(slot.Number), byte(slot.Number >> 8)})
	_, _ = d.WriteString(string(m))
	return d.Sum64()
}
