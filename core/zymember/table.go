package zymember

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// Config configures a Table.
type Config struct {
	Self zinniayoke.Upstream
	// Period is the time between probes of this node.
	Period time.Duration
	// Remember is how long the dead are listed.
	Remember time.Duration
	Random   *rand.Rand
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
	return Change{Upstream: m.Upstream, Status: m.Status, Counter: m.Counter}
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

type news struct {
	change Change
	sent   int
}

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

// NewTable returns a table that knows only the node itself.
func NewTable(now time.Time, cfg Config) *Table {
	t := &Table{
		cfg:     cfg,
		members: make(map[zinniayoke.NodeID]*Member),
		relays:  make(map[uint64]relay),
		accused: make(map[zinniayoke.NodeID]bool),
		latest:  make(map[string]zinniayoke.NodeID),
	}
	t.self = Change{Upstream: cfg.Self, Status: zinniayoke.MemberAlive, Counter: 1}
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

// Update changes what the node says about itself.
func (t *Table) Update(now time.Time, u zinniayoke.Upstream) {
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
	t.self.Counter++
	m := t.members[t.cfg.Self.Node]
	m.Upstream, m.Status, m.Counter, m.Since = t.self.Upstream, t.self.Status, t.self.Counter, now
	t.revision++
	t.tell(t.self)
}

// Suspect spreads the news about a crashing request.
func (t *Table) Suspect(c Change) {
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

// Alive returns how many members are alive or suspected, this node included.
func (t *Table) Alive() int {
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

// Tick runs the protocol. It is to be called at least four times a period.
func (t *Table) Tick(now time.Time) []Addressed {
	var out []Addressed
	t.expire(now)
	if t.probe != nil {
		out = t.watch(now, out)
	}
	if t.probe == nil {
		out = t.startProbe(now, out)
	}
	out = t.warnSuspects(out)
	if t.hasFreshNews() {
		out = append(out, t.Burst()...)
	}
	return out
}

// warnSuspects pings the members that this node suspected itself, so that one
// that is alive learns of it at once and objects.
func (t *Table) warnSuspects(out []Addressed) []Addressed {
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

// hasFreshNews reports whether there is news that was told to nobody yet.
func (t *Table) hasFreshNews() bool {
	return slices.ContainsFunc(t.news, func(n *news) bool { return n.sent == 0 })
}

// watch follows the probe under way: after a third of the period without an
// answer others are asked to probe, at its end the member is suspected.
func (t *Table) watch(now time.Time, out []Addressed) []Addressed {
	age := now.Sub(t.probe.started)
	if age >= t.cfg.Period {
		t.endProbe(now)
		return out
	}
	m, ok := t.members[t.probe.target]
	if !ok || t.probe.indirect || t.probe.sequence == 0 || age < t.cfg.Period/ackShare {
		return out
	}
	t.probe.indirect = true
	for _, helper := range t.pickHelpers(t.probe.target) {
		p := t.packet(PingRequest, t.probe.sequence)
		p.Target = t.probe.target
		p.TargetAddress = m.Upstream.Peer
		out = append(out, Addressed{To: helper, Packet: p})
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
	t.merge(now, Change{Upstream: m.Upstream, Status: zinniayoke.MemberSuspect, Counter: m.Counter})
}

func (t *Table) startProbe(now time.Time, out []Addressed) []Addressed {
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
func (t *Table) ping(target zinniayoke.NodeID, sequence uint64) Addressed {
	m := t.members[target]
	p := t.packet(Ping, sequence)
	p.Target = target
	if m.Status != zinniayoke.MemberAlive {
		p.Changes = append([]Change{m.change()}, p.Changes...)
	}
	return Addressed{To: m.Upstream.Peer, Packet: p}
}

// nextTarget goes round all members in random order; now and then it takes a
// dead one, so that a partition that heals is noticed.
func (t *Table) nextTarget() (zinniayoke.NodeID, bool) {
	t.ticks++
	if t.ticks%deadProbeEvery == 0 {
		if id, ok := t.randomDead(); ok {
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

func (t *Table) randomDead() (zinniayoke.NodeID, bool) {
	var dead []zinniayoke.NodeID
	for id, m := range t.members {
		if m.Status == zinniayoke.MemberDead && t.latest[HostOf(id)] == id {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return "", false
	}
	slices.Sort(dead)
	return dead[t.cfg.Random.IntN(len(dead))], true
}

func (t *Table) pickHelpers(target zinniayoke.NodeID) []string {
	var addresses []string
	for id, m := range t.members {
		if id != target && id != t.cfg.Self.Node && m.Status == zinniayoke.MemberAlive {
			addresses = append(addresses, m.Upstream.Peer)
		}
	}
	slices.Sort(addresses)
	t.cfg.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(indirectProbes, len(addresses))]
}

// Receive takes in a packet and returns the packets that answer it.
func (t *Table) Receive(now time.Time, p *Packet) []Addressed {
	for _, c := range p.Changes {
		t.merge(now, c)
	}
	switch p.Kind {
	case Ping:
		return t.answer(p)
	case PingRequest:
		return t.relayPing(now, p)
	case Ack:
		return t.acknowledge(p)
	}
	return nil
}

func (t *Table) answer(p *Packet) []Addressed {
	if p.Sequence == 0 {
		return nil // It only carries news.
	}
	if p.Target != "" && p.Target != t.cfg.Self.Node {
		// The packet is for an earlier run of this host's node, which is gone.
		t.tell(t.self)
		return nil
	}
	ack := t.packet(Ack, p.Sequence)
	if m, ok := t.members[p.From]; ok && m.Status != zinniayoke.MemberAlive {
		// The sender has to know what is believed of it, so that it can object.
		ack.Changes = append([]Change{m.change()}, ack.Changes...)
	}
	return []Addressed{{To: p.FromAddress, Packet: ack}}
}

func (t *Table) relayPing(now time.Time, p *Packet) []Addressed {
	t.sequence++
	t.relays[t.sequence] = relay{to: p.FromAddress, sequence: p.Sequence, at: now}
	ping := t.packet(Ping, t.sequence)
	ping.Target = p.Target
	return []Addressed{{To: p.TargetAddress, Packet: ping}}
}

func (t *Table) acknowledge(p *Packet) []Addressed {
	if t.probe != nil && t.probe.sequence == p.Sequence && p.Sequence != 0 {
		t.probe.sequence = 0
		return nil
	}
	r, ok := t.relays[p.Sequence]
	if !ok {
		return nil
	}
	delete(t.relays, p.Sequence)
	return []Addressed{{To: r.to, Packet: t.packet(Ack, r.sequence)}}
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
		case !here(m) && age > t.cfg.Remember && id != t.cfg.Self.Node:
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
		if now.Sub(r.at) > t.cfg.Period {
			delete(t.relays, sequence)
		}
	}
}

// suspicion is how long a suspect has to object.
func (t *Table) suspicion() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(t.members)))/2)
	return time.Duration(suspicionPeriods * scale * float64(t.cfg.Period))
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

// Bucket sums up a part of the members, so that two nodes find out in a few
// bytes where their lists differ.
type Bucket uint64

// Buckets returns the sums of all parts of the list.
func (t *Table) Buckets() []Bucket {
	sums := make([]Bucket, buckets)
	for id, m := range t.members {
		sums[bucketOf(id)] ^= Bucket(sumOf(m))
	}
	return sums
}

func bucketOf(id zinniayoke.NodeID) int {
	return int(xxhash.Sum64String(string(id)) % buckets)
}

func sumOf(m *Member) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(m.Upstream.Node))
	_, _ = d.Write([]byte{byte(m.Status)})
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(m.Counter >> (8 * i))
	}
	_, _ = d.Write(raw[:])
	return d.Sum64()
}

// Differing returns the members of the parts whose sums differ from theirs.
func (t *Table) Differing(theirs []Bucket) []Change {
	mine := t.Buckets()
	var list []Change
	for id, m := range t.members {
		i := bucketOf(id)
		if i >= len(theirs) || theirs[i] != mine[i] {
			list = append(list, m.change())
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Upstream.Node, b.Upstream.Node) })
	return list
}

// Merge takes in what another node's list holds.
func (t *Table) Merge(now time.Time, list []Change) {
	for _, c := range list {
		t.merge(now, c)
	}
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

// Find returns what is known of a node.
func (t *Table) Find(id zinniayoke.NodeID) (Member, bool) {
	m, ok := t.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}
