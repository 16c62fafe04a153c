package zymember

import (
	"time"

	"zinniayoke"
)

// merge applies a change if it is newer than what is known and passes it on.
func (t *Table) merge(now time.Time, c Change) {
	if c.Fingerprint != 0 {
		t.mergeSuspectRequest(now, c)
		return
	}
	id := c.Upstream.Node
	if id == "" || c.Status < zinniayoke.MemberAlive || c.Status > zinniayoke.MemberLeft {
		return
	}
	if id == t.cfg.Self.Node {
		t.object(now, c)
		return
	}
	m, known := t.members[id]
	if known && !newer(c, m) {
		return
	}
	if !known && t.superseded(id) && (c.Status == zinniayoke.MemberAlive || c.Status == zinniayoke.MemberSuspect) {
		c.Status = zinniayoke.MemberDead
	}
	t.store(now, c, m)
	t.supersede(now, c)
	t.tell(c)
}

func (t *Table) store(now time.Time, c Change, m *Member) {
	if m == nil {
		m = &Member{}
		t.members[c.Upstream.Node] = m
		t.insertTarget(c.Upstream.Node)
	}
	if m.Status != c.Status || m.Since.IsZero() {
		m.Since = now
	}
	m.Upstream, m.Status, m.Counter = c.Upstream, c.Status, c.Incarnation
	t.revision++
}

// insertTarget puts a new member at a random place of the round under way, so
// that it is probed within the round.
func (t *Table) insertTarget(id zinniayoke.NodeID) {
	t.order = append(t.order, id)
	last := len(t.order) - 1
	if t.turn >= last {
		return
	}
	i := t.turn + t.cfg.Random.IntN(last-t.turn+1)
	t.order[i], t.order[last] = t.order[last], t.order[i]
}

// newer reports whether the change overrides what is known. At the same
// counter a worse status wins; a member that left as planned stays so.
func newer(c Change, m *Member) bool {
	if m.Status == zinniayoke.MemberLeft {
		return false
	}
	if c.Status == zinniayoke.MemberLeft {
		return true
	}
	if c.Incarnation != m.Counter {
		return c.Incarnation > m.Counter
	}
	return c.Status > m.Status
}

// object answers a rumour about this node itself with a higher counter.
func (t *Table) object(now time.Time, c Change) {
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
	t.announce(now)
}

// supersede ends the earlier runs of a host's node when a later one appears.
func (t *Table) supersede(now time.Time, c Change) {
	host := HostOf(c.Upstream.Node)
	last, ok := t.latest[host]
	if ok && laterRun(last, c.Upstream.Node) {
		return
	}
	t.latest[host] = c.Upstream.Node
	if !ok || last == c.Upstream.Node || last == t.cfg.Self.Node {
		return
	}
	m, ok := t.members[last]
	if ok && here(m) {
		t.merge(now, Change{Upstream: m.Upstream, Status: zinniayoke.MemberDead, Incarnation: m.Counter})
	}
}

func (t *Table) superseded(id zinniayoke.NodeID) bool {
	last, ok := t.latest[HostOf(id)]
	return ok && last != id && laterRun(last, id)
}

// laterRun reports whether a is a later run of the same host's node than b.
// The part after the slash is a number of fixed width.
func laterRun(a, b zinniayoke.NodeID) bool {
	return a > b
}

func (t *Table) mergeSuspectRequest(now time.Time, c Change) {
	for _, n := range t.news {
		if n.change.Fingerprint == c.Fingerprint && n.change.Crashes >= c.Crashes && n.change.CrashesAlone >= c.CrashesAlone {
			return
		}
	}
	if t.cfg.OnSuspectRequest != nil {
		t.cfg.OnSuspectRequest(now, c)
	}
}
