package zymember

import (
	"math"
	"slices"
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
	p := Packet{
		Kind: kind, From: t.cfg.Self.Node, FromAddress: t.self.Upstream.Peer,
		Sequence: sequence, Version: t.version,
	}
	slices.SortStableFunc(t.news, func(a, b *news) int { return a.sent - b.sent })
	room := roomForChanges
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(len(t.members)+1))))
	kept := t.news[:0]
	for _, n := range t.news {
		if size := sizeOf(n.change); size <= room && len(p.Changes) < mostChanges-1 {
			room -= size
			p.Changes = append(p.Changes, n.change)
			n.sent++
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
		return n.change.Upstream.Node == c.Upstream.Node && n.change.Print == c.Print
	})
	t.news = append(t.news, &news{change: c})
}

// Burst returns pings to a few random members, to pass urgent news on at once.
func (t *Table) Burst() []Addressed {
	helpers := t.pickHelpers("")
	out := make([]Addressed, 0, len(helpers))
	for _, address := range helpers {
		out = append(out, Addressed{To: address, Packet: t.packet(Ping, 0)})
	}
	return out
}

// Forget drops the news that wait to be told, as a list that was copied whole
// from another node needs no telling.
func (t *Table) Forget() {
	t.news = nil
}
