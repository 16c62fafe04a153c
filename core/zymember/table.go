package zymember

import (
	"math/rand/v2"
	"strings"
	"time"

	"zinniayoke"
)

// Config configures a Table.
type Config struct {
	Self zinniayoke.Upstream
	// ProbePeriod is the time between probes of this node.
	ProbePeriod time.Duration
	// DeadRetention is how long the dead are listed.
	DeadRetention time.Duration
	Random        *rand.Rand
	// OnSuspectRequest is called with news about a crashing request.
	OnSuspectRequest func(now time.Time, c Change)
}

const (
	indirectProbes   = 3
	suspicionPeriods = 1.5
	retransmitFactor = 3
	ackShare         = 3
	deadProbeEvery   = 5
	buckets          = 64
)

// Member is what a table knows about one node.
type Member struct {
	Upstream zinniayoke.Upstream
	Status   zinniayoke.MemberStatus
	Counter  zinniayoke.Incarnation
	// Since is when this node learned the status.
	Since time.Time
}

func (m *Member) change() Change {
	return Change{Upstream: m.Upstream, Status: m.Status, Incarnation: m.Counter}
}

// Table is one node's view of all nodes. It is not safe for use by several
// goroutines. A Table must be made with NewTable.
type Table struct {
	cfg     Config
	self    Change
	members map[zinniayoke.NodeID]*Member
	order   []zinniayoke.NodeID
	turn    int
	news    []*news
	probe   *probe
	relays  map[uint64]relay
	// accused holds the members that this node suspected itself.
	accused  map[zinniayoke.NodeID]bool
	sequence uint64
	ticks    int
	version  zinniayoke.Version
	latest   map[string]zinniayoke.NodeID
	revision uint64
}

// NewTable returns a table that knows only the node itself.
func NewTable(now time.Time, cfg Config) *Table {
	t := &Table{
		cfg:     cfg,
		members: make(map[zinniayoke.NodeID]*Member),
		relays:  make(map[uint64]relay),
		accused: make(map[zinniayoke.NodeID]bool),
		latest:  make(map[string]zinniayoke.NodeID),
	}
	t.self = Change{Upstream: cfg.Self, Status: zinniayoke.MemberAlive, Incarnation: 1}
	t.members[cfg.Self.Node] = &Member{Upstream: cfg.Self, Counter: 1, Since: now}
	t.latest[HostOf(cfg.Self.Node)] = cfg.Self.Node
	t.tell(t.self)
	return t
}

// HostOf returns the name of the host in a node's id.
func HostOf(id zinniayoke.NodeID) string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}

// SetVersion sets the bundle version that goes out with each packet.
func (t *Table) SetVersion(v zinniayoke.Version) {
	t.version = v
}

// Revision grows with each change of the list.
func (t *Table) Revision() uint64 {
	return t.revision
}

// UpdateSelf changes what the node says about itself.
func (t *Table) UpdateSelf(now time.Time, u zinniayoke.Upstream) {
	if u == t.self.Upstream {
		return
	}
	t.self.Upstream = u
	t.announce(now)
}

// Leave tells the others that this node stops as planned.
func (t *Table) Leave(now time.Time) {
	t.self.Status = zinniayoke.MemberLeft
	t.announce(now)
}

func (t *Table) announce(now time.Time) {
	t.self.Incarnation++
	m := t.members[t.cfg.Self.Node]
	m.Upstream, m.Status, m.Counter, m.Since = t.self.Upstream, t.self.Status, t.self.Incarnation, now
	t.revision++
	t.tell(t.self)
}

// BroadcastSuspectRequest spreads the news about a crashing request.
func (t *Table) BroadcastSuspectRequest(c Change) {
	t.tell(c)
}

// Members returns all members, the dead included.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, *m)
	}
	return list
}

// CountAlive returns how many members are alive or suspected, this node included.
func (t *Table) CountAlive() int {
	n := 0
	for _, m := range t.members {
		if here(m) {
			n++
		}
	}
	return n
}

func here(m *Member) bool {
	return m.Status == zinniayoke.MemberAlive || m.Status == zinniayoke.MemberSuspect
}

// Find returns what is known of a node.
func (t *Table) Find(id zinniayoke.NodeID) (Member, bool) {
	m, ok := t.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}
