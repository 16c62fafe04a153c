package zymember

import (
	"math"
	"slices"

	"zinniayoke"
)

type news struct {
	change Change
	sent   int
}

// hasFreshNews reports whether there is news that was told to nobody yet.
func (t *Table) hasFreshNews() bool {
	return slices.ContainsFunc(t.news, func(n *news) bool { return n.sent == 0 })
}

// packet returns a packet with the news that were sent least so far.
func (t *Table) packet(kind PacketKind, sequence uint64) Packet {
	return t.packetOf(kind, sequence, 1, func(*news) bool { return true })
}

// packetOf returns a packet that goes out so many times, with those of the news
// that are wanted and fit.
func (t *Table) packetOf(kind PacketKind, sequence uint64, times int, wanted func(*news) bool) Packet {
	p := Packet{
		Kind: kind, From: t.cfg.Self.Node, FromAddress: t.self.Upstream.PeerAddress,
		Sequence: sequence, Version: t.version,
	}
	slices.SortStableFunc(t.news, func(a, b *news) int { return a.sent - b.sent })
	room := roomForChanges
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(len(t.members)+1))))
	kept := t.news[:0]
	for _, n := range t.news {
		if size := sizeOf(n.change); wanted(n) && size <= room && len(p.Changes) < mostChanges-1 {
			room -= size
			p.Changes = append(p.Changes, n.change)
			n.sent += times
		}
		if n.sent < limit {
			kept = append(kept, n)
		}
	}
	t.news = kept
	return p
}

// tell queues a change for the next packets, in place of older news about the
// same member.
func (t *Table) tell(c Change) {
	t.news = slices.DeleteFunc(t.news, func(n *news) bool {
		return n.change.Upstream.Node == c.Upstream.Node && n.change.Fingerprint == c.Fingerprint
	})
	t.news = append(t.news, &news{change: c})
}

// Gossip returns pings to a few members, to pass on at once what was told to
// nobody yet. Where there is nothing new they carry what was told least.
func (t *Table) Gossip() []OutgoingPacket {
	helpers := t.pickBurst()
	wanted := func(*news) bool { return true }
	if t.hasFreshNews() {
		wanted = func(n *news) bool { return n.sent == 0 }
	}
	p := t.packetOf(Ping, 0, len(helpers), wanted)
	out := make([]OutgoingPacket, 0, len(helpers))
	for _, address := range helpers {
		out = append(out, OutgoingPacket{To: address, Packet: p})
	}
	return out
}

// pickBurst returns the addresses of random members, of which one may be
// anywhere and the others are of the own region, since links between regions are
// narrow.
func (t *Table) pickBurst() []string {
	anywhere := t.pickHelpers("")
	near := t.pickHelpersOf("", func(u zinniayoke.Upstream) bool { return u.Locality.Region == t.self.Upstream.Locality.Region })
	addresses := slices.Clone(anywhere[:min(1, len(anywhere))])
	for _, a := range append(near, anywhere...) {
		if len(addresses) < indirectProbes && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// ClearBroadcasts drops the news that wait to be told, as a list that was copied whole
// from another node needs no telling.
func (t *Table) ClearBroadcasts() {
	t.news = nil
}
