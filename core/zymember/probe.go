package zymember

import (
	"math"
	"slices"
	"time"

	"zinniayoke"
)

// probe is the probe in progress.
type probe struct {
	target zinniayoke.NodeID
	// sequence is the number of the ping. It is set to 0 when the ack arrives.
	sequence uint64
	started  time.Time
	// indirect is true after other members were asked to probe the target.
	indirect bool
}

// relayedPing is a ping that this node sent for another member, to which it passes
// the ack on.
type relayedPing struct {
	to       string
	sequence uint64
	at       time.Time
}

// Tick advances the protocol and returns the packets to send. It must be called at
// least four times per probe period.
func (t *Table) Tick(now time.Time) []OutgoingPacket {
	var out []OutgoingPacket
	t.expire(now)
	if t.probe != nil {
		out = t.checkProbe(now, out)
	}
	if t.probe == nil {
		out = t.startProbe(now, out)
	}
	out = t.pingSuspects(out)
	if t.hasUnsentBroadcast() {
		out = append(out, t.Gossip()...)
	}
	return out
}

// pingSuspects pings the members that this node itself put under suspicion, so
// that a member that is alive can refute the suspicion at once.
func (t *Table) pingSuspects(out []OutgoingPacket) []OutgoingPacket {
	for id := range t.suspectedHere {
		m, ok := t.members[id]
		if !ok || m.Status != zinniayoke.MemberSuspect {
			delete(t.suspectedHere, id)
			continue
		}
		t.sequence++
		out = append(out, t.ping(id, t.sequence))
	}
	return out
}

// checkProbe checks the probe in progress. After a third of the period without an
// ack it asks other members to probe the target. At the end of the period it ends
// the probe.
func (t *Table) checkProbe(now time.Time, out []OutgoingPacket) []OutgoingPacket {
	age := now.Sub(t.probe.started)
	if age >= t.cfg.ProbePeriod {
		t.endProbe(now)
		return out
	}
	m, ok := t.members[t.probe.target]
	if !ok || t.probe.indirect || t.probe.sequence == 0 || age < t.cfg.ProbePeriod/indirectProbeDivisor {
		return out
	}
	t.probe.indirect = true
	for _, prober := range t.pickIndirectProbers(t.probe.target) {
		p := t.newPacket(PingRequest, t.probe.sequence)
		p.Target = t.probe.target
		p.TargetAddress = m.Upstream.PeerAddress
		out = append(out, OutgoingPacket{To: prober, Packet: p})
	}
	return out
}

// endProbe ends the probe in progress and suspects the target if it sent no ack.
func (t *Table) endProbe(now time.Time) {
	target, acked := t.probe.target, t.probe.sequence == 0
	t.probe = nil
	m, ok := t.members[target]
	if acked || !ok || m.Status != zinniayoke.MemberAlive {
		return
	}
	t.suspectedHere[target] = true
	t.merge(now, Change{Upstream: m.Upstream, Status: zinniayoke.MemberSuspect, Incarnation: m.Incarnation})
}

// startProbe pings the next target, if there is one.
func (t *Table) startProbe(now time.Time, out []OutgoingPacket) []OutgoingPacket {
	target, ok := t.nextTarget()
	if !ok {
		return out
	}
	t.sequence++
	t.probe = &probe{target: target, sequence: t.sequence, started: now}
	return append(out, t.ping(target, t.sequence))
}

// ping returns a ping to a member. If this node does not hold the member alive, the
// ping carries its status, so that the member can refute it.
func (t *Table) ping(target zinniayoke.NodeID, sequence uint64) OutgoingPacket {
	m := t.members[target]
	p := t.newPacket(Ping, sequence)
	p.Target = target
	if m.Status != zinniayoke.MemberAlive {
		p.Changes = append([]Change{m.change()}, p.Changes...)
	}
	return OutgoingPacket{To: m.Upstream.PeerAddress, Packet: p}
}

// nextTarget returns the next member to probe. It goes through all members in
// random order. Every absentProbeInterval probes it returns a member that is dead or
// has left, to detect that a partition has healed or that a host has restarted while
// discovery was unavailable.
func (t *Table) nextTarget() (zinniayoke.NodeID, bool) {
	t.probeCount++
	if t.probeCount%absentProbeInterval == 0 {
		if id, ok := t.randomAbsent(); ok {
			return id, true
		}
	}
	for range len(t.probeOrder) + 1 {
		if t.nextProbe >= len(t.probeOrder) {
			t.shuffle()
		}
		if len(t.probeOrder) == 0 {
			return "", false
		}
		id := t.probeOrder[t.nextProbe]
		t.nextProbe++
		if m, ok := t.members[id]; ok && isPresent(m) {
			return id, true
		}
	}
	return "", false
}

// shuffle starts a new round with all present members in random order.
func (t *Table) shuffle() {
	t.nextProbe = 0
	t.probeOrder = t.probeOrder[:0]
	for id, m := range t.members {
		if id != t.cfg.Self.Node && isPresent(m) {
			t.probeOrder = append(t.probeOrder, id)
		}
	}
	slices.Sort(t.probeOrder)
	t.cfg.Random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
}

// randomAbsent returns a random member that is dead or has left and is the latest
// run on its host.
func (t *Table) randomAbsent() (zinniayoke.NodeID, bool) {
	var absent []zinniayoke.NodeID
	for id, m := range t.members {
		if !isPresent(m) && id != t.cfg.Self.Node && t.latestRun[HostOf(id)] == id {
			absent = append(absent, id)
		}
	}
	if len(absent) == 0 {
		return "", false
	}
	slices.Sort(absent)
	return absent[t.cfg.Random.IntN(len(absent))], true
}

// pickIndirectProbers returns the addresses of up to fanout random members that are
// alive, other than target.
func (t *Table) pickIndirectProbers(target zinniayoke.NodeID) []string {
	return t.pickRandomAlive(target, func(zinniayoke.Upstream) bool { return true })
}

// pickRandomAlive is pickIndirectProbers limited to the members that wanted accepts.
func (t *Table) pickRandomAlive(target zinniayoke.NodeID, wanted func(u zinniayoke.Upstream) bool) []string {
	var addresses []string
	for id, m := range t.members {
		if id != target && id != t.cfg.Self.Node && m.Status == zinniayoke.MemberAlive && wanted(m.Upstream) {
			addresses = append(addresses, m.Upstream.PeerAddress)
		}
	}
	slices.Sort(addresses)
	t.cfg.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(fanout, len(addresses))]
}

// Receive handles a packet and returns the packets to send in response.
func (t *Table) Receive(now time.Time, p *Packet) []OutgoingPacket {
	_, known := t.members[p.From]
	for _, c := range p.Changes {
		t.merge(now, c)
	}
	var out []OutgoingPacket
	if m, ok := t.members[p.From]; !known && ok && isPresent(m) {
		out = append(out, t.introduce(p.FromAddress))
	}
	switch p.Kind {
	case Ping:
		return append(out, t.replyToPing(p)...)
	case PingRequest:
		return append(out, t.relayPing(now, p)...)
	case Ack:
		return append(out, t.handleAck(p)...)
	}
	return out
}

// introduce returns a packet that carries this node's own entry.
func (t *Table) introduce(address string) OutgoingPacket {
	p := t.newPacket(Ping, 0)
	p.Changes = append([]Change{t.self}, p.Changes...)
	return OutgoingPacket{To: address, Packet: p}
}

// replyToPing returns the reply to a ping: an ack, or this node's own entry if the
// ping is meant for another run.
func (t *Table) replyToPing(p *Packet) []OutgoingPacket {
	if p.Sequence == 0 {
		return nil // The packet only carries changes and needs no ack.
	}
	if p.Target != "" && p.Target != t.cfg.Self.Node {
		// The ping is meant for an earlier run of this host's node, which is gone.
		t.enqueueBroadcast(t.self)
		return []OutgoingPacket{t.introduce(p.FromAddress)}
	}
	ack := t.newPacket(Ack, p.Sequence)
	if m, ok := t.members[p.From]; ok && m.Status != zinniayoke.MemberAlive {
		// Tell the sender its status as known here, so that it can refute it.
		ack.Changes = append([]Change{m.change()}, ack.Changes...)
	}
	return []OutgoingPacket{{To: p.FromAddress, Packet: ack}}
}

// relayPing pings the target of a PingRequest on behalf of the sender.
func (t *Table) relayPing(now time.Time, p *Packet) []OutgoingPacket {
	t.sequence++
	t.relayedPings[t.sequence] = relayedPing{to: p.FromAddress, sequence: p.Sequence, at: now}
	ping := t.newPacket(Ping, t.sequence)
	ping.Target = p.Target
	return []OutgoingPacket{{To: p.TargetAddress, Packet: ping}}
}

// handleAck records the ack of the probe in progress, or passes the ack of a relayed
// ping on to the member that asked for it.
func (t *Table) handleAck(p *Packet) []OutgoingPacket {
	if t.probe != nil && t.probe.sequence == p.Sequence && p.Sequence != 0 {
		t.probe.sequence = 0
		return nil
	}
	r, ok := t.relayedPings[p.Sequence]
	if !ok {
		return nil
	}
	delete(t.relayedPings, p.Sequence)
	return []OutgoingPacket{{To: r.to, Packet: t.newPacket(Ack, r.sequence)}}
}

// expire marks suspects dead after the suspicion timeout. It removes members that
// have been absent for longer than DeadRetention, and relayed pings without an ack.
func (t *Table) expire(now time.Time) {
	timeout := t.suspicionTimeout()
	var expired []zinniayoke.NodeID
	for id, m := range t.members {
		age := now.Sub(m.Since)
		switch {
		case m.Status == zinniayoke.MemberSuspect && age >= timeout:
			expired = append(expired, id)
		case !isPresent(m) && age > t.cfg.DeadRetention && id != t.cfg.Self.Node:
			delete(t.members, id)
			t.revision++
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		dead := t.members[id].change()
		dead.Status = zinniayoke.MemberDead
		t.merge(now, dead)
	}
	for sequence, r := range t.relayedPings {
		if now.Sub(r.at) > t.cfg.ProbePeriod {
			delete(t.relayedPings, sequence)
		}
	}
}

// suspicionTimeout returns how long a suspect has to refute the suspicion. It grows
// with the logarithm of the number of members.
func (t *Table) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(t.members)))/2)
	return time.Duration(suspicionPeriods * scale * float64(t.cfg.ProbePeriod))
}
