package zymember

import (
	"time"

	"zinniayoke"
)

// merge applies a change if it overrides what this node knows, and queues it for
// broadcast.
func (t *Table) merge(now time.Time, c Change) {
	if c.Fingerprint != 0 {
		t.mergeSuspectRequest(now, c)
		return
	}
	if c.Departure != nil {
		if t.cfg.OnDeparture != nil {
			d := *c.Departure
			d.Recorded = time.UnixMilli(c.Recorded)
			t.cfg.OnDeparture(d)
		}
		return
	}
	id := c.Upstream.Node
	if id == "" || c.Status < zinniayoke.MemberAlive || c.Status > zinniayoke.MemberLeft {
		return
	}
	if id == t.cfg.Self.Node {
		t.refute(now, c)
		return
	}
	m, known := t.members[id]
	if known && !overrides(c, m) {
		return
	}
	if !known && t.superseded(id) && (c.Status == zinniayoke.MemberAlive || c.Status == zinniayoke.MemberSuspect) {
		c.Status = zinniayoke.MemberDead
	}
	t.store(now, c, m)
	t.markEarlierRunDead(now, c)
	t.enqueueBroadcast(c)
}

// store writes a change to the member list. m is the existing entry, or nil.
func (t *Table) store(now time.Time, c Change, m *Member) {
	if m == nil {
		m = &Member{}
		t.members[c.Upstream.Node] = m
		t.insertTarget(c.Upstream.Node)
	}
	if m.Status != c.Status || m.Since.IsZero() {
		m.Since = now
	}
	m.Upstream, m.Status, m.Incarnation = c.Upstream, c.Status, c.Incarnation
	t.revision++
}

// insertTarget adds a new member at a random position among the probes that remain
// in the current round, so that it is probed within this round.
func (t *Table) insertTarget(id zinniayoke.NodeID) {
	t.probeOrder = append(t.probeOrder, id)
	last := len(t.probeOrder) - 1
	if t.nextProbe >= last {
		return
	}
	i := t.nextProbe + t.cfg.Random.IntN(last-t.nextProbe+1)
	t.probeOrder[i], t.probeOrder[last] = t.probeOrder[last], t.probeOrder[i]
}

// overrides reports whether the change takes precedence over the known state of
// the member. At the same incarnation the worse status wins. The status left is
// final.
func overrides(c Change, m *Member) bool {
	if m.Status == zinniayoke.MemberLeft {
		return false
	}
	if c.Status == zinniayoke.MemberLeft {
		return true
	}
	if c.Incarnation != m.Incarnation {
		return c.Incarnation > m.Incarnation
	}
	return c.Status > m.Status
}

// refute handles a change about this node itself. If the change contradicts the
// node's own state, the node broadcasts that state with a higher incarnation.
func (t *Table) refute(now time.Time, c Change) {
	if t.self.Status == zinniayoke.MemberLeft {
		return
	}
	if c.Status == zinniayoke.MemberAlive && c.Incarnation <= t.self.Incarnation {
		return
	}
	if c.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = c.Incarnation
	t.broadcastSelf(now)
}

// markEarlierRunDead records the node that c describes as the latest run on its
// host, unless a later run is known, and marks the run that was the latest as dead.
func (t *Table) markEarlierRunDead(now time.Time, c Change) {
	host := HostOf(c.Upstream.Node)
	last, ok := t.latestRun[host]
	if ok && laterRun(last, c.Upstream.Node) {
		return
	}
	t.latestRun[host] = c.Upstream.Node
	if !ok || last == c.Upstream.Node || last == t.cfg.Self.Node {
		return
	}
	m, ok := t.members[last]
	if ok && isPresent(m) {
		t.merge(now, Change{Upstream: m.Upstream, Status: zinniayoke.MemberDead, Incarnation: m.Incarnation})
	}
}

// superseded reports whether a later run than id is known on the same host.
func (t *Table) superseded(id zinniayoke.NodeID) bool {
	last, ok := t.latestRun[HostOf(id)]
	return ok && last != id && laterRun(last, id)
}

// laterRun reports whether a is a later run than b on the same host. The part of
// the ID after the slash is a fixed-width number, so string comparison orders runs.
func laterRun(a, b zinniayoke.NodeID) bool {
	return a > b
}

// mergeSuspectRequest passes a report about a suspect request to OnSuspectRequest,
// unless a queued broadcast already carries crash counts at least as high.
func (t *Table) mergeSuspectRequest(now time.Time, c Change) {
	for _, b := range t.broadcasts {
		if b.change.Fingerprint == c.Fingerprint && b.change.Crashes >= c.Crashes && b.change.CrashesAlone >= c.CrashesAlone {
			return
		}
	}
	if t.cfg.OnSuspectRequest != nil {
		t.cfg.OnSuspectRequest(now, c)
	}
}
