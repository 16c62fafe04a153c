package zymember

import (
	"math/rand/v2"
	"strings"
	"time"

	"zinniayoke"
)

// Config configures a Table.
type Config struct {
	// Self describes this node.
	Self zinniayoke.Upstream
	// ProbePeriod is the time between the probes that this node starts.
	ProbePeriod time.Duration
	// DeadRetention is how long dead members and members that left stay listed.
	DeadRetention time.Duration
	Random        *rand.Rand
	// OnSuspectRequest is called with a change that reports a request suspected of
	// crashing workers.
	OnSuspectRequest func(now time.Time, c Change)
	// OnDeparture is called with each reported departure.
	OnDeparture func(d zinniayoke.Departure)
}

const (
	// fanout is how many members are asked for an indirect probe or get a gossip ping.
	fanout = 3
	// suspicionPeriods is the shortest suspicion timeout in probe periods.
	suspicionPeriods = 1.5
	// retransmitFactor, times the logarithm to base 2 of the number of members, is
	// how often a change is sent.
	retransmitFactor = 3
	// indirectProbeDivisor divides the probe period; indirect probes start after that
	// part of it.
	indirectProbeDivisor = 3
	// absentProbeInterval is the number of probes of which one goes to an absent member.
	absentProbeInterval = 5
	bucketCount         = 64
)

// Member is what a table knows about one node.
type Member struct {
	Upstream    zinniayoke.Upstream
	Status      zinniayoke.MemberStatus
	Incarnation zinniayoke.Incarnation `json:"Counter"`
	// Since is when this node learned the status.
	Since time.Time
}

// change returns the member as a change for other nodes.
func (m *Member) change() Change {
	return Change{Upstream: m.Upstream, Status: m.Status, Incarnation: m.Incarnation}
}

// Table is one node's list of all nodes and the state of its probes. It is not safe
// for concurrent use. Create a Table with NewTable.
type Table struct {
	cfg     Config
	self    Change
	members map[zinniayoke.NodeID]*Member
	// probeOrder holds the members to probe in the current round, and nextProbe the
	// index of the next one.
	probeOrder []zinniayoke.NodeID
	nextProbe  int
	// broadcasts is the queue of changes to send.
	broadcasts []*broadcast
	probe      *probe
	// relayedPings holds the pings sent for other members, by sequence number.
	relayedPings map[uint64]relayedPing
	// suspectedHere holds the members that this node itself put under suspicion.
	suspectedHere map[zinniayoke.NodeID]bool
	sequence      uint64
	// probeCount counts the probes that were started.
	probeCount int
	version    zinniayoke.Version
	// latestRun holds the latest node ID known for each host.
	latestRun map[string]zinniayoke.NodeID
	revision  uint64
}

// NewTable returns a table that lists only the node itself.
func NewTable(now time.Time, cfg Config) *Table {
	t := &Table{
		cfg:           cfg,
		members:       make(map[zinniayoke.NodeID]*Member),
		relayedPings:  make(map[uint64]relayedPing),
		suspectedHere: make(map[zinniayoke.NodeID]bool),
		latestRun:     make(map[string]zinniayoke.NodeID),
	}
	t.self = Change{Upstream: cfg.Self, Status: zinniayoke.MemberAlive, Incarnation: 1}
	t.members[cfg.Self.Node] = &Member{Upstream: cfg.Self, Incarnation: 1, Since: now}
	t.latestRun[HostOf(cfg.Self.Node)] = cfg.Self.Node
	t.enqueueBroadcast(t.self)
	return t
}

// HostOf returns the host name in a node ID.
func HostOf(id zinniayoke.NodeID) string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}

// SetVersion sets the bundle version that each packet carries.
func (t *Table) SetVersion(v zinniayoke.Version) {
	t.version = v
}

// Revision returns a number that grows with each change to the list.
func (t *Table) Revision() uint64 {
	return t.revision
}

// UpdateSelf changes this node's own entry and broadcasts it.
func (t *Table) UpdateSelf(now time.Time, u zinniayoke.Upstream) {
	if u == t.self.Upstream {
		return
	}
	t.self.Upstream = u
	t.broadcastSelf(now)
}

// Leave broadcasts that this node is shutting down as planned.
func (t *Table) Leave(now time.Time) {
	t.self.Status = zinniayoke.MemberLeft
	t.broadcastSelf(now)
}

// broadcastSelf increments this node's incarnation and queues its own entry for
// broadcast.
func (t *Table) broadcastSelf(now time.Time) {
	t.self.Incarnation++
	m := t.members[t.cfg.Self.Node]
	m.Upstream, m.Status, m.Incarnation, m.Since = t.self.Upstream, t.self.Status, t.self.Incarnation, now
	t.revision++
	t.enqueueBroadcast(t.self)
}

// BroadcastSuspectRequest queues a report about a suspect request for broadcast.
func (t *Table) BroadcastSuspectRequest(c Change) {
	t.enqueueBroadcast(c)
}

// BroadcastDeparture queues the departure of a worker for broadcast.
func (t *Table) BroadcastDeparture(d zinniayoke.Departure) {
	t.enqueueBroadcast(DepartureChange(d))
}

// Members returns all members in no particular order, including dead ones and those
// that left.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, *m)
	}
	return list
}

// CountAlive returns the number of members that are alive or suspected, including
// this node.
func (t *Table) CountAlive() int {
	n := 0
	for _, m := range t.members {
		if isPresent(m) {
			n++
		}
	}
	return n
}

// isPresent reports whether the member is alive or suspected.
func isPresent(m *Member) bool {
	return m.Status == zinniayoke.MemberAlive || m.Status == zinniayoke.MemberSuspect
}

// Find returns the entry of a node and whether there is one.
func (t *Table) Find(id zinniayoke.NodeID) (Member, bool) {
	m, ok := t.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}
