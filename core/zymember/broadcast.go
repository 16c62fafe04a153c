package zymember

import (
	"math"
	"slices"

	"zinniayoke"
)

// broadcast is a change that is queued to be sent with outgoing packets.
type broadcast struct {
	change Change
	// sent counts the packets that have carried the change.
	sent int
}

// hasUnsentBroadcast reports whether the queue holds a change that was never sent.
func (t *Table) hasUnsentBroadcast() bool {
	return slices.ContainsFunc(t.broadcasts, func(b *broadcast) bool { return b.sent == 0 })
}

// newPacket returns a packet that carries the queued changes sent least often so
// far.
func (t *Table) newPacket(kind PacketKind, sequence uint64) Packet {
	return t.newPacketWith(kind, sequence, 1, func(*broadcast) bool { return true })
}

// newPacketWith returns a packet that carries as many queued changes as fit, of
// those that wanted accepts, least sent first. The packet is going to be sent the
// given number of times. Changes that reach the retransmission limit leave the queue.
func (t *Table) newPacketWith(kind PacketKind, sequence uint64, times int, wanted func(*broadcast) bool) Packet {
	p := Packet{
		Kind: kind, From: t.cfg.Self.Node, FromAddress: t.self.Upstream.PeerAddress,
		Sequence: sequence, Version: t.version,
	}
	slices.SortStableFunc(t.broadcasts, func(a, b *broadcast) int { return a.sent - b.sent })
	remaining := maxChangesSize
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(len(t.members)+1))))
	kept := t.broadcasts[:0]
	for _, b := range t.broadcasts {
		// One change less than maxChanges, because callers may prepend one.
		if size := maxEncodedSize(b.change); wanted(b) && size <= remaining && len(p.Changes) < maxChanges-1 {
			remaining -= size
			p.Changes = append(p.Changes, b.change)
			b.sent += times
		}
		if b.sent < limit {
			kept = append(kept, b)
		}
	}
	t.broadcasts = kept
	return p
}

// enqueueBroadcast queues a change for the next packets. It replaces a queued
// change about the same member, request or departure.
func (t *Table) enqueueBroadcast(c Change) {
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(b *broadcast) bool {
		return b.change.Upstream.Node == c.Upstream.Node && b.change.Fingerprint == c.Fingerprint && sameDeparture(b.change, c)
	})
	t.broadcasts = append(t.broadcasts, &broadcast{change: c})
}

// sameDeparture reports whether both changes are about the same departure, or both about none.
func sameDeparture(a, b Change) bool {
	if a.Departure == nil || b.Departure == nil {
		return a.Departure == b.Departure
	}
	return *a.Departure == *b.Departure
}

// Gossip returns pings to a few random members that carry the queued changes which
// were never sent. If there are none, the pings carry those sent least often.
func (t *Table) Gossip() []OutgoingPacket {
	targets := t.pickGossipTargets()
	wanted := func(*broadcast) bool { return true }
	if t.hasUnsentBroadcast() {
		wanted = func(b *broadcast) bool { return b.sent == 0 }
	}
	p := t.newPacketWith(Ping, 0, len(targets), wanted)
	out := make([]OutgoingPacket, 0, len(targets))
	for _, address := range targets {
		out = append(out, OutgoingPacket{To: address, Packet: p})
	}
	return out
}

// BeatConfig describes a beat.
type BeatConfig struct {
	// Root is the reader that the beat started from, and Sequence its number among those
	// of that reader.
	Root     zinniayoke.NodeID
	Sequence uint64
	// Failing is true if the reads of the reader fail.
	Failing bool
}

// NewBeat returns a beat for each of the addresses. It carries no changes.
func (t *Table) NewBeat(cfg BeatConfig, addresses []string) []OutgoingPacket {
	out := make([]OutgoingPacket, 0, len(addresses))
	for _, address := range addresses {
		out = append(out, OutgoingPacket{To: address, Packet: Packet{
			Kind: Beat, From: t.cfg.Self.Node, FromAddress: t.self.Upstream.PeerAddress,
			Sequence: cfg.Sequence, Version: t.version, Root: cfg.Root, Failing: cfg.Failing,
		}})
	}
	return out
}

// pickGossipTargets returns the addresses of random members. One may be in any
// region; the others are in this node's region as far as it has enough members,
// because links between regions have little bandwidth.
func (t *Table) pickGossipTargets() []string {
	anywhere := t.pickIndirectProbers("")
	near := t.pickRandomAlive("", func(u zinniayoke.Upstream) bool { return u.Locality.Region == t.self.Upstream.Locality.Region })
	addresses := slices.Clone(anywhere[:min(1, len(anywhere))])
	for _, a := range append(near, anywhere...) {
		if len(addresses) < fanout && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// ClearBroadcasts empties the broadcast queue. It is called after another node's
// complete list was merged, which the other nodes already know.
func (t *Table) ClearBroadcasts() {
	t.broadcasts = nil
}
