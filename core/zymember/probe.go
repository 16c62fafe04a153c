package zymember

import (
	"math"
	"slices"
	"time"

	"zinniayoke"
)

type probe struct {
	target   zinniayoke.NodeID
	sequence uint64
	started  time.Time
	indirect bool
}

type relay struct {
	to       string
	sequence uint64
	at       time.Time
}

// Tick runs the protocol. It is to be called at least four times a period.
func (t *Table) Tick(now time.Time) []OutgoingPacket {
	var out []OutgoingPacket
	t.expire(now)
	if t.probe != nil {
		out = t.watch(now, out)
	}
	if t.probe == nil {
		out = t.startProbe(now, out)
	}
	out = t.warnSuspects(out)
	if t.hasFreshNews() {
		out = append(out, t.Gossip()...)
	}
	return out
}

// warnSuspects pings the members that this node suspected itself, so that one
// that is alive learns of it at once and objects.
func (t *Table) warnSuspects(out []OutgoingPacket) []OutgoingPacket {
	for id := range t.accused {
		m, ok := t.members[id]
		if !ok || m.Status != zinniayoke.MemberSuspect {
			delete(t.accused, id)
			continue
		}
		t.sequence++
		out = append(out, t.ping(id, t.sequence))
	}
	return out
}

// watch follows the probe under way: after a third of the period without an
// answer others are asked to probe, at its end the member is suspected.
func (t *Table) watch(now time.Time, out []OutgoingPacket) []OutgoingPacket {
	age := now.Sub(t.probe.started)
	if age >= t.cfg.ProbePeriod {
		t.endProbe(now)
		return out
	}
	m, ok := t.members[t.probe.target]
	if !ok || t.probe.indirect || t.probe.sequence == 0 || age < t.cfg.ProbePeriod/ackShare {
		return out
	}
	t.probe.indirect = true
	for _, helper := range t.pickHelpers(t.probe.target) {
		p := t.packet(PingRequest, t.probe.sequence)
		p.Target = t.probe.target
		p.TargetAddress = m.Upstream.PeerAddress
		out = append(out, OutgoingPacket{To: helper, Packet: p})
	}
	return out
}

func (t *Table) endProbe(now time.Time) {
	target, answered := t.probe.target, t.probe.sequence == 0
	t.probe = nil
	m, ok := t.members[target]
	if answered || !ok || m.Status != zinniayoke.MemberAlive {
		return
	}
	t.accused[target] = true
	t.merge(now, Change{Upstream: m.Upstream, Status: zinniayoke.MemberSuspect, Incarnation: m.Counter})
}

func (t *Table) startProbe(now time.Time, out []OutgoingPacket) []OutgoingPacket {
	target, ok := t.nextTarget()
	if !ok {
		return out
	}
	t.sequence++
	t.probe = &probe{target: target, sequence: t.sequence, started: now}
	return append(out, t.ping(target, t.sequence))
}

// ping returns a packet for a member. A member that this node does not believe
// alive is told so, so that it can object.
func (t *Table) ping(target zinniayoke.NodeID, sequence uint64) OutgoingPacket {
	m := t.members[target]
	p := t.packet(Ping, sequence)
	p.Target = target
	if m.Status != zinniayoke.MemberAlive {
		p.Changes = append([]Change{m.change()}, p.Changes...)
	}
	return OutgoingPacket{To: m.Upstream.PeerAddress, Packet: p}
}

// nextTarget goes round all members in random order; now and then it takes one
// that is gone, so that a partition that heals is noticed, and a host that starts
// again while the meeting place is away.
func (t *Table) nextTarget() (zinniayoke.NodeID, bool) {
	t.ticks++
	if t.ticks%deadProbeEvery == 0 {
		if id, ok := t.randomGone(); ok {
			return id, true
		}
	}
	for range len(t.order) + 1 {
		if t.turn >= len(t.order) {
			t.shuffle()
		}
		if len(t.order) == 0 {
			return "", false
		}
		id := t.order[t.turn]
		t.turn++
		if m, ok := t.members[id]; ok && here(m) {
			return id, true
		}
	}
	return "", false
}

func (t *Table) shuffle() {
	t.turn = 0
	t.order = t.order[:0]
	for id, m := range t.members {
		if id != t.cfg.Self.Node && here(m) {
			t.order = append(t.order, id)
		}
	}
	slices.Sort(t.order)
	t.cfg.Random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// randomGone returns the last run of a host that is dead or has left.
func (t *Table) randomGone() (zinniayoke.NodeID, bool) {
	var gone []zinniayoke.NodeID
	for id, m := range t.members {
		if !here(m) && id != t.cfg.Self.Node && t.latest[HostOf(id)] == id {
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return "", false
	}
	slices.Sort(gone)
	return gone[t.cfg.Random.IntN(len(gone))], true
}

func (t *Table) pickHelpers(target zinniayoke.NodeID) []string {
	return t.pickHelpersOf(target, func(zinniayoke.Upstream) bool { return true })
}

func (t *Table) pickHelpersOf(target zinniayoke.NodeID, wanted func(u zinniayoke.Upstream) bool) []string {
	var addresses []string
	for id, m := range t.members {
		if id != target && id != t.cfg.Self.Node && m.Status == zinniayoke.MemberAlive && wanted(m.Upstream) {
			addresses = append(addresses, m.Upstream.PeerAddress)
		}
	}
	slices.Sort(addresses)
	t.cfg.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(indirectProbes, len(addresses))]
}

// Receive takes in a packet and returns the packets that answer it.
func (t *Table) Receive(now time.Time, p *Packet) []OutgoingPacket {
	_, known := t.members[p.From]
	for _, c := range p.Changes {
		t.merge(now, c)
	}
	var out []OutgoingPacket
	if m, ok := t.members[p.From]; !known && ok && here(m) {
		out = append(out, t.introduce(p.FromAddress))
	}
	switch p.Kind {
	case Ping:
		return append(out, t.answer(p)...)
	case PingRequest:
		return append(out, t.relayPing(now, p)...)
	case Ack:
		return append(out, t.acknowledge(p)...)
	}
	return out
}

// introduce returns a packet that tells who this node is.
func (t *Table) introduce(address string) OutgoingPacket {
	p := t.packet(Ping, 0)
	p.Changes = append([]Change{t.self}, p.Changes...)
	return OutgoingPacket{To: address, Packet: p}
}

func (t *Table) answer(p *Packet) []OutgoingPacket {
	if p.Sequence == 0 {
		return nil // It only carries news.
	}
	if p.Target != "" && p.Target != t.cfg.Self.Node {
		// The packet is for an earlier run of this host's node, which is gone.
		t.tell(t.self)
		return []OutgoingPacket{t.introduce(p.FromAddress)}
	}
	ack := t.packet(Ack, p.Sequence)
	if m, ok := t.members[p.From]; ok && m.Status != zinniayoke.MemberAlive {
		// The sender has to know what is believed of it, so that it can object.
		ack.Changes = append([]Change{m.change()}, ack.Changes...)
	}
	return []OutgoingPacket{{To: p.FromAddress, Packet: ack}}
}

func (t *Table) relayPing(now time.Time, p *Packet) []OutgoingPacket {
	t.sequence++
	t.relays[t.sequence] = relay{to: p.FromAddress, sequence: p.Sequence, at: now}
	ping := t.packet(Ping, t.sequence)
	ping.Target = p.Target
	return []OutgoingPacket{{To: p.TargetAddress, Packet: ping}}
}

func (t *Table) acknowledge(p *Packet) []OutgoingPacket {
	if t.probe != nil && t.probe.sequence == p.Sequence && p.Sequence != 0 {
		t.probe.sequence = 0
		return nil
	}
	r, ok := t.relays[p.Sequence]
	if !ok {
		return nil
	}
	delete(t.relays, p.Sequence)
	return []OutgoingPacket{{To: r.to, Packet: t.packet(Ack, r.sequence)}}
}

// expire turns suspects into dead ones and forgets what is long gone.
func (t *Table) expire(now time.Time) {
	limit := t.suspicion()
	var late []zinniayoke.NodeID
	for id, m := range t.members {
		age := now.Sub(m.Since)
		switch {
		case m.Status == zinniayoke.MemberSuspect && age >= limit:
			late = append(late, id)
		case !here(m) && age > t.cfg.DeadRetention && id != t.cfg.Self.Node:
			delete(t.members, id)
			t.revision++
		}
	}
	slices.Sort(late)
	for _, id := range late {
		dead := t.members[id].change()
		dead.Status = zinniayoke.MemberDead
		t.merge(now, dead)
	}
	for sequence, r := range t.relays {
		if now.Sub(r.at) > t.cfg.ProbePeriod {
			delete(t.relays, sequence)
		}
	}
}

// suspicion is how long a suspect has to object.
func (t *Table) suspicion() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(t.members)))/2)
	return time.Duration(suspicionPeriods * scale * float64(t.cfg.ProbePeriod))
}
