package zyexperiment

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"time"

	"github.com/ugorji/go/codec"

	"zinniayoke"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zyquota"
)

// QuotaConfig configures a simulation of customers' limits over all nodes.
type QuotaConfig struct {
	Hosts  int
	Limits []zinniayoke.CustomerLimit
	Seed   uint64
	// NotRun is the share of granted requests that are refused later, before any worker has
	// run them, so that their tokens are returned.
	NotRun float64
	// NewOwner returns the part of a node that grants tokens; nil means zyquota.NewOwner.
	// Tests replace it to show that the rule can be broken.
	NewOwner func(cfg zyquota.OwnerConfig) QuotaOwner
	// NewLeases returns the part of a node that uses tokens; nil means zyquota.NewLeases.
	NewLeases func(cfg zyquota.LeasesConfig) QuotaLeases
}

// QuotaOwner is implemented by zyquota.Owner.
type QuotaOwner interface {
	Tick(now time.Time, s zyquota.Situation)
	Handle(now time.Time, r *zinniayoke.QuotaRequest) *zinniayoke.QuotaReply
	Takeovers(now time.Time) map[zinniayoke.NodeID]*zinniayoke.QuotaRelease
	Release(now time.Time, r *zinniayoke.QuotaRelease) *zinniayoke.QuotaHandover
	Adopt(now time.Time, r *zinniayoke.QuotaRelease, h *zinniayoke.QuotaHandover)
}

// QuotaLeases is implemented by zyquota.Leases.
type QuotaLeases interface {
	SetView(v *zyquota.View)
	Take(now time.Time, limit zinniayoke.CustomerLimit, repeated bool) zyquota.Decision
	EndWait(c zinniayoke.Customer)
	Return(now time.Time, c zinniayoke.Customer)
	Next(now time.Time, owner zinniayoke.NodeID) *zinniayoke.QuotaRequest
	Finish(now time.Time, owner zinniayoke.NodeID, r *zinniayoke.QuotaRequest, reply *zinniayoke.QuotaReply, err error) bool
}

// QuotaCounts counts the requests of a customer, or of all.
type QuotaCounts struct {
	Sent    int
	Granted int
	Refused int
	// Waited counts the requests that waited for an owner.
	Waited int
	// Ideal counts the requests that one token bucket for all nodes would have granted.
	Ideal int
}

// idealBucket is a token bucket that all nodes use without any delay.
type idealBucket struct {
	level   float64
	updated time.Time
}

func (b *idealBucket) take(now time.Time, l zinniayoke.CustomerLimit) bool {
	b.level = min(b.level+float64(l.Rate)*now.Sub(b.updated).Seconds(), max(l.Burst, 1))
	b.updated = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

const (
	quotaTick = 250 * time.Millisecond
	// quotaLatency is the time that a message takes in one direction.
	quotaLatency = 2 * time.Millisecond
	quotaMaxWait = 300 * time.Millisecond
	quotaTimeout = 1 * time.Second
	// A node that cannot be reached is declared lost after a time between these bounds,
	// which are those of zymember with 79 members.
	minDetection = 2500 * time.Millisecond
	maxDetection = 6 * time.Second
	// maxSpread is how long the news of a node that has joined or returned spreads.
	maxSpread     = 1 * time.Second
	silencePeriod = 2 * time.Second
	// quotaMethod is the RPC method of io/zypeer.
	quotaMethod = "Q.T"
)

// QuotaSim simulates nodes that limit customers. The limits are the real code; membership and
// network are models. All methods must be called between runs.
type QuotaSim struct {
	cfg    QuotaConfig
	clock  *clock
	random *rand.Rand
	hosts  []*quotaHost
	// history holds the limits of each version with the time when it was written.
	history []quotaVersion
	grants  map[zinniayoke.Customer][]*quotaGrant
	counts  map[zinniayoke.Customer]*QuotaCounts
	ideal   map[zinniayoke.Customer]*idealBucket
	// Bytes and Messages count what all nodes have sent to others, requests and replies.
	Bytes    int64
	Messages int64
	sequence uint64
}

// quotaGrant is a request that was granted.
type quotaGrant struct {
	at     time.Time
	notRun bool
}

type quotaVersion struct {
	at     time.Time
	limits map[zinniayoke.Customer]zinniayoke.CustomerLimit
}

// quotaHost is a host with the current run of its node.
type quotaHost struct {
	sim   *QuotaSim
	index int
	name  string
	// partition is the part of the network in which the host is.
	partition int
	run       *quotaNode
	runs      int
}

// quotaNode is one run of a node; a crash replaces it.
type quotaNode struct {
	host    *quotaHost
	id      zinniayoke.NodeID
	owner   QuotaOwner
	leases  QuotaLeases
	dead    bool
	paused  bool
	held    []func()
	version int
	limits  *zyquota.Limits
	waiters []quotaWaiter
	// joinAt is when the node looks for others, and joined whether it has found any.
	joinAt time.Time
	joined bool
	heard  time.Time
	peers  []quotaPeer
	view   *zyquota.View
}

// quotaPeer is what a node knows of another host.
type quotaPeer struct {
	id    zinniayoke.NodeID
	known bool
	lost  bool
	// changeAt is when the node notices that the host's state is another; zero if it is not.
	changeAt time.Time
}

type quotaWaiter struct {
	customer zinniayoke.Customer
	wait     <-chan struct{}
	deadline time.Time
}

// NewQuotaSim returns a simulation in which all nodes start at once.
func NewQuotaSim(cfg QuotaConfig) *QuotaSim {
	if cfg.NewOwner == nil {
		cfg.NewOwner = func(c zyquota.OwnerConfig) QuotaOwner { return zyquota.NewOwner(c) }
	}
	if cfg.NewLeases == nil {
		cfg.NewLeases = func(c zyquota.LeasesConfig) QuotaLeases { return zyquota.NewLeases(c) }
	}
	s := &QuotaSim{
		cfg: cfg, clock: newClock(), random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		grants: make(map[zinniayoke.Customer][]*quotaGrant), counts: make(map[zinniayoke.Customer]*QuotaCounts),
		ideal: make(map[zinniayoke.Customer]*idealBucket),
	}
	s.history = []quotaVersion{{at: s.clock.now, limits: byCustomer(cfg.Limits)}}
	for i := range cfg.Hosts {
		s.hosts = append(s.hosts, &quotaHost{sim: s, index: i, name: fmt.Sprintf("h%d", i)})
	}
	for _, h := range s.hosts {
		h.start()
	}
	return s
}

func byCustomer(limits []zinniayoke.CustomerLimit) map[zinniayoke.Customer]zinniayoke.CustomerLimit {
	m := make(map[zinniayoke.Customer]zinniayoke.CustomerLimit, len(limits))
	for _, l := range limits {
		m[l.Customer] = l
	}
	return m
}

func (s *QuotaSim) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// start starts a new run of the host's node.
func (h *quotaHost) start() {
	s := h.sim
	h.runs++
	n := &quotaNode{host: h, id: zinniayoke.NodeID(fmt.Sprintf("%s/%04d", h.name, h.runs)), peers: make([]quotaPeer, len(s.hosts))}
	bounds := zyquota.DefaultBounds()
	n.owner = s.cfg.NewOwner(zyquota.OwnerConfig{Self: n.id, Bounds: bounds})
	n.leases = s.cfg.NewLeases(zyquota.LeasesConfig{Self: n.id, Bounds: bounds})
	n.joinAt = s.clock.now.Add(s.uniform(maxSpread/5, maxSpread))
	n.heard = s.clock.now
	n.peers[h.index] = quotaPeer{id: n.id, known: true}
	n.setVersion(len(s.history) - 1)
	h.run = n
	s.clock.every(s.uniform(0, quotaTick), quotaTick, func() bool {
		n.unlessPaused(n.tick)
		return !n.dead
	})
}

// unlessPaused runs f, after the pause if the node is paused.
func (n *quotaNode) unlessPaused(f func()) {
	switch {
	case n.dead:
	case n.paused:
		n.held = append(n.held, f)
	default:
		f()
	}
}

func (n *quotaNode) setVersion(v int) {
	if v < n.version {
		return
	}
	n.version = v
	var limits []zinniayoke.CustomerLimit
	for _, l := range n.host.sim.history[v].limits {
		limits = append(limits, l)
	}
	n.limits = zyquota.NewLimits(limits)
}

// reaches reports whether the node can exchange messages with the host's node.
func (n *quotaNode) reaches(h *quotaHost) bool {
	return n.host.partition == h.partition && h.run != nil && !h.run.paused
}

// tick updates what the node knows of the others and ticks its owner.
func (n *quotaNode) tick() {
	s := n.host.sim
	now := s.clock.now
	changed := n.view == nil
	for i, h := range s.hosts {
		if i == n.host.index {
			continue
		}
		reached := n.reaches(h)
		if reached {
			n.heard = now
			if !n.joined && !now.Before(n.joinAt) && (h.run.joined || !s.anyJoined()) {
				n.join(h.run)
				changed = true
			}
		}
		// A node that has not joined others sends them nothing.
		changed = n.peers[i].observe(now, s, h, reached && h.run.joined) || changed
	}
	if changed {
		n.updateView()
	}
	n.owner.Tick(now, zyquota.Situation{View: n.view, Connected: now.Sub(n.heard) < silencePeriod, Limits: n.limits})
	n.leases.SetView(n.view)
	takeovers := n.owner.Takeovers(now)
	for _, former := range slices.Sorted(maps.Keys(takeovers)) {
		n.takeOver(s.hostOf(former), takeovers[former])
	}
}

// takeOver asks the host of the former owner of customers to hand them over.
func (n *quotaNode) takeOver(former *quotaHost, r *zinniayoke.QuotaRelease) {
	s := n.host.sim
	s.clock.after(quotaLatency, func() {
		if n.host.partition != former.partition || former.run == nil {
			return
		}
		target := former.run
		target.unlessPaused(func() {
			h := target.owner.Release(s.clock.now, r)
			s.clock.after(quotaLatency, func() {
				if n.host.partition == former.partition {
					n.unlessPaused(func() { n.owner.Adopt(s.clock.now, r, h) })
				}
			})
		})
	})
}

// join copies the list of hosts of another node.
func (n *quotaNode) join(other *quotaNode) {
	n.joined = true
	for i, p := range other.peers {
		if i != n.host.index && !n.peers[i].known {
			n.peers[i] = quotaPeer{id: p.id, known: p.known, lost: p.lost}
		}
	}
}

// observe applies a change of the host's state after the time in which the membership
// notices it, and reports whether it did.
func (p *quotaPeer) observe(now time.Time, s *QuotaSim, h *quotaHost, reached bool) bool {
	upToDate := !p.known || p.lost
	if reached {
		upToDate = p.known && !p.lost && p.id == h.run.id
	}
	if upToDate {
		p.changeAt = time.Time{}
		return false
	}
	if p.changeAt.IsZero() {
		p.changeAt = now.Add(s.uniform(0, maxSpread))
		if !reached {
			p.changeAt = now.Add(s.uniform(minDetection, maxDetection))
		}
	}
	if now.Before(p.changeAt) {
		return false
	}
	p.lost, p.changeAt = !reached, time.Time{}
	if reached {
		p.known, p.id = true, h.run.id
	}
	return true
}

func (n *quotaNode) updateView() {
	if !n.joined {
		n.view = zyquota.NewView(nil, 0, nil)
		return
	}
	var candidates []zinniayoke.NodeID
	var known []string
	for i, p := range n.peers {
		if !p.known {
			continue
		}
		known = append(known, n.host.sim.hosts[i].name)
		if !p.lost {
			candidates = append(candidates, p.id)
		}
	}
	n.view = zyquota.NewView(candidates, len(candidates), known)
}

// request handles a request of a customer that arrives at the node.
func (n *quotaNode) request(c zinniayoke.Customer) {
	s := n.host.sim
	limit, ok := s.history[n.version].limits[c]
	if !ok || n.dead || n.paused {
		return
	}
	s.countsOf(c).Sent++
	if s.ideal[c] == nil {
		s.ideal[c] = &idealBucket{}
	}
	if s.ideal[c].take(s.clock.now, limit) {
		s.countsOf(c).Ideal++
	}
	d := n.leases.Take(s.clock.now, limit, false)
	if d.Wait != nil {
		s.countsOf(c).Waited++
	}
	n.decide(c, d, s.clock.now.Add(quotaMaxWait))
}

func (s *QuotaSim) countsOf(c zinniayoke.Customer) *QuotaCounts {
	if s.counts[c] == nil {
		s.counts[c] = &QuotaCounts{}
	}
	return s.counts[c]
}

// decide carries out a decision on a request that may wait until the deadline.
func (n *quotaNode) decide(c zinniayoke.Customer, d zyquota.Decision, deadline time.Time) {
	s := n.host.sim
	switch {
	case d.Granted:
		n.grant(c)
	case d.Wait == nil:
		s.countsOf(c).Refused++
	default:
		n.waiters = append(n.waiters, quotaWaiter{customer: c, wait: d.Wait, deadline: deadline})
		s.clock.after(deadline.Sub(s.clock.now), func() { n.unlessPaused(n.wake) })
	}
	n.send(d.Send)
}

// grant records a granted request, which may be refused later.
func (n *quotaNode) grant(c zinniayoke.Customer) {
	s := n.host.sim
	s.countsOf(c).Granted++
	g := &quotaGrant{at: s.clock.now}
	s.grants[c] = append(s.grants[c], g)
	if s.random.Float64() >= s.cfg.NotRun {
		return
	}
	g.notRun = true
	const maxAge = 500 * time.Millisecond // As in zyentry.
	s.clock.after(s.uniform(0, maxAge), func() {
		n.unlessPaused(func() { n.leases.Return(s.clock.now, c) })
	})
}

// wake repeats the decisions on requests whose wait has ended, and refuses those that have
// waited for too long.
func (n *quotaNode) wake() {
	s := n.host.sim
	waiters := n.waiters
	n.waiters = nil
	for _, w := range waiters {
		done := false
		select {
		case <-w.wait:
			done = true
		default:
		}
		switch {
		case done:
			n.leases.EndWait(w.customer)
			n.decide(w.customer, n.leases.Take(s.clock.now, s.history[n.version].limits[w.customer], true), w.deadline)
		case !s.clock.now.Before(w.deadline):
			n.leases.EndWait(w.customer)
			s.countsOf(w.customer).Refused++
		default:
			n.waiters = append(n.waiters, w)
		}
	}
}

// send sends the next message to an owner.
func (n *quotaNode) send(owner zinniayoke.NodeID) {
	s := n.host.sim
	if owner == "" {
		return
	}
	r := n.leases.Next(s.clock.now, owner)
	if r == nil {
		return
	}
	ended := false
	finish := func(reply *zinniayoke.QuotaReply, err error) {
		n.unlessPaused(func() {
			if ended {
				return
			}
			ended = true
			more := n.leases.Finish(s.clock.now, owner, r, reply, err)
			n.wake()
			if more {
				n.send(owner)
			}
		})
	}
	if owner == n.id {
		finish(n.owner.Handle(s.clock.now, r), nil)
		return
	}
	target := s.hostOf(owner)
	s.count(quotaMethod, r)
	s.clock.after(quotaTimeout, func() { finish(nil, rpc.ErrShutdown) })
	s.clock.after(quotaLatency, func() { n.deliver(target, r, finish) })
}

func (s *QuotaSim) hostOf(id zinniayoke.NodeID) *quotaHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *quotaHost) bool { return h.name == zymember.HostOf(id) })]
}

// deliver passes a message to the host's node, whose reply returns after the latency.
func (n *quotaNode) deliver(target *quotaHost, r *zinniayoke.QuotaRequest, finish func(*zinniayoke.QuotaReply, error)) {
	s := n.host.sim
	if n.host.partition != target.partition {
		return
	}
	if target.run == nil {
		s.clock.after(quotaLatency, func() { finish(nil, zinniayoke.ErrNotRunning) })
		return
	}
	target.run.unlessPaused(func() {
		reply := target.run.owner.Handle(s.clock.now, r)
		s.count("", reply)
		s.clock.after(quotaLatency, func() {
			if n.host.partition == target.partition {
				finish(reply, nil)
			}
		})
	})
}

// count adds the size of a message as io/zypeer encodes it.
func (s *QuotaSim) count(method string, body any) {
	s.sequence++
	var header any = &rpc.Request{ServiceMethod: method, Seq: s.sequence / uint64(len(s.hosts))}
	if method == "" {
		header = &rpc.Response{ServiceMethod: quotaMethod, Seq: s.sequence / uint64(len(s.hosts))}
	}
	handle := &codec.MsgpackHandle{}
	handle.StructToArray = true
	var b bytes.Buffer
	encoder := codec.NewEncoder(&b, handle)
	encoder.MustEncode(header)
	encoder.MustEncode(body)
	s.Bytes += int64(b.Len())
	s.Messages++
}

// AnyHost lets Load choose a random host for each request.
const AnyHost = -1

// Load sends requests of a customer at random times with the given mean rate, for d, to
// random hosts or, if host is not AnyHost, to that one.
func (s *QuotaSim) Load(c zinniayoke.Customer, perS float64, d time.Duration, host int) {
	end := s.clock.now.Add(d)
	var next func()
	next = func() {
		if s.clock.now.After(end) {
			return
		}
		i := host
		if host == AnyHost {
			i = s.random.IntN(len(s.hosts))
		}
		if h := s.hosts[i]; h.run != nil {
			h.run.request(c)
		}
		s.clock.after(time.Duration(s.random.ExpFloat64()/perS*float64(time.Second)), next)
	}
	s.clock.after(time.Duration(s.random.ExpFloat64()/perS*float64(time.Second)), next)
}

// Run runs the simulation for d.
func (s *QuotaSim) Run(d time.Duration) {
	s.clock.run(s.clock.since() + d)
}

// Crash ends the node of a host.
func (s *QuotaSim) Crash(host int) {
	if h := s.hosts[host]; h.run != nil {
		h.run.dead = true
		h.run = nil
	}
}

// Start starts the node of a host that has none. It has no effect if other nodes run, and the
// host reaches none of them that has joined: nobody could tell the node of hosts that are cut
// off.
func (s *QuotaSim) Start(host int) {
	h := s.hosts[host]
	if h.run == nil && (!s.anyJoined() || slices.ContainsFunc(s.hosts, func(other *quotaHost) bool {
		return other.run != nil && other.run.joined && other.partition == h.partition
	})) {
		h.start()
	}
}

// anyJoined reports whether any node that runs has joined others.
func (s *QuotaSim) anyJoined() bool {
	return slices.ContainsFunc(s.hosts, func(h *quotaHost) bool { return h.run != nil && h.run.joined })
}

// Pause pauses the process of a host's node for d.
func (s *QuotaSim) Pause(host int, d time.Duration) {
	n := s.hosts[host].run
	if n == nil || n.paused {
		return
	}
	n.paused = true
	s.clock.after(d, func() {
		n.paused = false
		held := n.held
		n.held = nil
		for _, f := range held {
			n.unlessPaused(f)
		}
	})
}

// Separate puts a host into another part of the network; 0 is the main part.
func (s *QuotaSim) Separate(host, partition int) {
	s.hosts[host].partition = partition
}

// SetLimits writes a new version, which reaches each node within 3 s.
func (s *QuotaSim) SetLimits(limits []zinniayoke.CustomerLimit) {
	s.history = append(s.history, quotaVersion{at: s.clock.now, limits: byCustomer(limits)})
	version := len(s.history) - 1
	const maxApply = 3 * time.Second
	for _, h := range s.hosts {
		s.clock.after(s.uniform(0, maxApply), func() {
			if h.run != nil {
				h.run.setVersion(version)
			}
		})
	}
}

// Counts returns the counts of a customer; "" means all customers.
func (s *QuotaSim) Counts(c zinniayoke.Customer) QuotaCounts {
	if c != "" {
		return *s.countsOf(c)
	}
	var sum QuotaCounts
	for _, counts := range s.counts {
		sum.Sent += counts.Sent
		sum.Granted += counts.Granted
		sum.Refused += counts.Refused
		sum.Waited += counts.Waited
		sum.Ideal += counts.Ideal
	}
	return sum
}

// ResetCounts sets all counts to 0.
func (s *QuotaSim) ResetCounts() {
	s.counts = make(map[zinniayoke.Customer]*QuotaCounts)
	s.Bytes, s.Messages = 0, 0
}

// Violation describes a window in which more requests of a customer were granted than the rule
// allows, or returns "". The limit of an earlier version counts until 8 s after
// the next was written: 3 s until that is in force, and 5 s until a lower limit binds.
func (s *QuotaSim) Violation() string {
	for c := range s.grants {
		if worst := s.WorstWindow(c); worst.Requests > worst.Allowed {
			return fmt.Sprintf("customer %s: %.0f requests in the 5 s before %s, %.1f are allowed", c, worst.Requests, worst.End, worst.Allowed)
		}
	}
	return ""
}

// QuotaWindow describes a window of 5 s.
type QuotaWindow struct {
	Requests float64
	// Allowed is how many requests the rule allows.
	Allowed float64
	End     time.Duration
}

// WorstWindow returns the window in which a customer has used most of what the rule allows.
func (s *QuotaSim) WorstWindow(c zinniayoke.Customer) QuotaWindow {
	bounds := zyquota.DefaultBounds()
	const binding = 8 * time.Second
	worst := QuotaWindow{Allowed: 1}
	var times []time.Time
	for _, g := range s.grants[c] {
		if !g.notRun {
			times = append(times, g.at)
		}
	}
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= bounds.Window {
			first++
		}
		w := QuotaWindow{Requests: float64(i - first + 1), End: t.Sub(startTime)}
		for v, version := range s.history {
			superseded := v+1 < len(s.history) && s.history[v+1].at.Add(binding).Before(times[first])
			limit, ok := version.limits[c]
			if superseded || version.at.After(t) || !ok {
				continue
			}
			w.Allowed = math.Max(w.Allowed, (float64(limit.Rate)*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overage)+bounds.Slack)
		}
		if w.Requests/w.Allowed > worst.Requests/worst.Allowed {
			worst = w
		}
	}
	return worst
}

// LargeQuotaLimits returns the limits of 82 customers with 2,560 requests a second together:
// the largest has 576, the smallest 3, and the others follow a power law.
func LargeQuotaLimits() []zinniayoke.CustomerLimit {
	const customers, total, largest, smallest = 82, 2560.0, 576.0, 3.0
	rates := func(exponent float64) (list []float64, sum float64) {
		for i := range customers {
			rate := max(largest/math.Pow(float64(i+1), exponent), smallest)
			list = append(list, rate)
			sum += rate
		}
		return list, sum
	}
	low, high := 0.0, 3.0
	for range 50 {
		middle := (low + high) / 2
		if _, sum := rates(middle); sum > total {
			low = middle
		} else {
			high = middle
		}
	}
	list, _ := rates(low)
	var limits []zinniayoke.CustomerLimit
	for i, rate := range list {
		limits = append(limits, zinniayoke.CustomerLimit{Customer: zinniayoke.Customer(fmt.Sprintf("pulo%03d", i)), Rate: zinniayoke.Rate(rate), Burst: rate})
	}
	return limits
}
