package zyexperiment

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zymember"
)

// MembershipConfig configures a simulation of the membership protocol.
type MembershipConfig struct {
	Members int
	// PacketLoss is the share of packets that the network drops, from 0 to 1.
	PacketLoss float64
	Seed       uint64
	// IdleTime is how long the nodes run before anything changes. After the change
	// of one member they run for half of it.
	IdleTime time.Duration
	// CrashCount is the number of members that crash at the same time.
	CrashCount int
}

// MembershipResult holds the measurements of one simulation. Bytes and packets are
// those that one node sends per second. A duration of -1 means that the event did
// not occur within a minute.
type MembershipResult struct {
	Members               int     `json:"members"`
	PacketLoss            float64 `json:"loss"`
	Crashed               int     `json:"crashed"`
	FirstDetectionSeconds float64 `json:"detectFirstSeconds"`
	FullDetectionSeconds  float64 `json:"detectAllSeconds"`
	DisseminationSeconds  float64 `json:"spreadSeconds"`
	IdleBytesPerSecond    float64 `json:"idleBytes"`
	UpdateBytesPerSecond  float64 `json:"busyBytes"`
	PacketsPerSecond      float64 `json:"packets"`
	FalsePositives        int     `json:"falseDeaths"`
	NodeHours             float64 `json:"nodeHours"`
	BytesPerTableEntry    float64 `json:"memoryBytesOfMember"`
	CPUSharePerNode       float64 `json:"cpuShareOfNode"`
}

const (
	probePeriod    = time.Second
	ticksPerPeriod = 5
	packetDelay    = time.Millisecond
)

// membershipSim is one simulation of the membership protocol.
type membershipSim struct {
	cfg       MembershipConfig
	clock     *clock
	random    *rand.Rand
	tables    map[string]*zymember.Table
	addresses []string
	ids       map[string]zinniayoke.NodeID
	crashed   map[string]bool
	bytes     int64
	packets   int64
	key       []byte
}

// RunMembership simulates the members. It measures the idle traffic, then how fast
// a change of one member reaches all others, then how fast crashes are detected.
func RunMembership(cfg MembershipConfig) MembershipResult {
	r := &membershipSim{
		cfg: cfg, clock: newClock(), random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		tables: make(map[string]*zymember.Table), crashed: make(map[string]bool), ids: make(map[string]zinniayoke.NodeID), key: make([]byte, 32),
	}
	heapBefore := heapSize()
	r.build()
	result := MembershipResult{Members: cfg.Members, PacketLoss: cfg.PacketLoss, Crashed: cfg.CrashCount}
	result.BytesPerTableEntry = float64(heapSize()-heapBefore) / float64(cfg.Members*cfg.Members)
	wallStart := time.Now()
	r.clock.run(cfg.IdleTime)
	seconds := cfg.IdleTime.Seconds() * float64(cfg.Members)
	result.IdleBytesPerSecond = float64(r.bytes) / seconds
	result.PacketsPerSecond = float64(r.packets) / seconds
	result.CPUSharePerNode = time.Since(wallStart).Seconds() / seconds
	result.FalsePositives = r.countFalsePositives()
	result.NodeHours = seconds / time.Hour.Seconds()
	r.measureDissemination(&result)
	r.measureDetection(&result)
	return result
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (r *membershipSim) build() {
	all := make([]zymember.Change, 0, r.cfg.Members)
	for i := range r.cfg.Members {
		address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		u := zinniayoke.Upstream{
			Node: zinniayoke.NodeID(fmt.Sprintf("host-%04d/%016x", i, i)), PeerAddress: address, Service: "orderdesk",
			Locality: zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprintf("domain-%d", i%10)), Region: "region"},
			Slots:    40, Connections: 350, State: zinniayoke.WorkerServing,
		}
		all = append(all, zymember.Change{Upstream: u, Incarnation: 1})
		r.addresses = append(r.addresses, address)
		r.ids[address] = u.Node
		r.tables[address] = zymember.NewTable(r.clock.now, zymember.Config{
			Self: u, ProbePeriod: probePeriod, DeadRetention: time.Hour,
			Random: rand.New(rand.NewPCG(r.cfg.Seed, uint64(i))),
		})
	}
	for i, address := range r.addresses {
		t := r.tables[address]
		t.Merge(r.clock.now, all)
		t.ClearBroadcasts()
		first := time.Duration(i) * probePeriod / time.Duration(r.cfg.Members)
		r.clock.every(first, probePeriod/ticksPerPeriod, func() bool { return r.tick(address) })
	}
}

func (r *membershipSim) tick(address string) bool {
	if r.crashed[address] {
		return false
	}
	r.send(r.tables[address].Tick(r.clock.now))
	return true
}

// send seals packets, drops some of them at random and delivers the rest after
// packetDelay.
func (r *membershipSim) send(packets []zymember.OutgoingPacket) {
	for _, p := range packets {
		raw, err := zymember.Seal(r.key, &p.Packet)
		if err != nil {
			panic(err) // The packet comes from a table, so sealing cannot fail.
		}
		r.bytes += int64(len(raw))
		r.packets++
		if r.random.Float64() < r.cfg.PacketLoss {
			continue
		}
		r.clock.after(packetDelay, func() { r.receive(p.To, raw) })
	}
}

func (r *membershipSim) receive(address string, raw []byte) {
	table, ok := r.tables[address]
	if !ok || r.crashed[address] {
		return
	}
	p, err := zymember.Open(r.key, raw)
	if err != nil {
		panic(err) // All packets are sealed by send with the same key.
	}
	r.send(table.Receive(r.clock.now, p))
}

// countFalsePositives counts the pairs of live members in which the first lists
// the second as dead.
func (r *membershipSim) countFalsePositives() int {
	n := 0
	for address, t := range r.tables {
		for _, m := range t.Members() {
			if !r.crashed[address] && m.Status == zinniayoke.MemberDead && !r.crashed[m.Upstream.PeerAddress] {
				n++
			}
		}
	}
	return n
}

// measureDissemination changes the slots of one member and waits until all live
// members list the new value.
func (r *membershipSim) measureDissemination(result *MembershipResult) {
	began, bytes := r.clock.since(), r.bytes
	first := r.tables[r.addresses[0]]
	m, _ := first.Find(r.ids[r.addresses[0]])
	changed := m.Upstream
	changed.Slots++
	first.UpdateSelf(r.clock.now, changed)
	r.send(first.Gossip())
	result.DisseminationSeconds = r.runUntil(began, func() bool {
		return r.allMatch(r.addresses[0], func(m zymember.Member) bool { return m.Upstream.Slots == changed.Slots })
	})
	r.clock.run(r.clock.since() + r.cfg.IdleTime/2)
	elapsed := (r.clock.since() - began).Seconds() * float64(r.cfg.Members)
	result.UpdateBytesPerSecond = float64(r.bytes-bytes) / elapsed
}

// measureDetection crashes members at the same time and waits until all others
// list them as dead.
func (r *membershipSim) measureDetection(result *MembershipResult) {
	began := r.clock.since()
	crashed := slices.Clone(r.addresses[1 : 1+r.cfg.CrashCount])
	for _, address := range crashed {
		r.crashed[address] = true
	}
	gone := func(m zymember.Member) bool { return m.Status == zinniayoke.MemberDead }
	result.FirstDetectionSeconds = r.runUntil(began, func() bool {
		return slices.ContainsFunc(r.addresses, func(a string) bool { return !r.crashed[a] && r.entryMatches(a, crashed[0], gone) })
	})
	result.FullDetectionSeconds = r.runUntil(began, func() bool {
		return !slices.ContainsFunc(crashed, func(c string) bool { return !r.allMatch(c, gone) })
	})
}

// runUntil runs the clock until the condition holds and returns the seconds since
// began, or -1 if it does not hold within a minute. It checks every 50 ms.
func (r *membershipSim) runUntil(began time.Duration, condition func() bool) float64 {
	const step = 50 * time.Millisecond
	for r.clock.since()-began < time.Minute {
		if condition() {
			return (r.clock.since() - began).Seconds()
		}
		r.clock.run(r.clock.since() + step)
	}
	return -1
}

func (r *membershipSim) allMatch(target string, matches func(zymember.Member) bool) bool {
	for _, address := range r.addresses {
		if !r.crashed[address] && !r.entryMatches(address, target, matches) {
			return false
		}
	}
	return true
}

func (r *membershipSim) entryMatches(address, target string, matches func(zymember.Member) bool) bool {
	m, ok := r.tables[address].Find(r.ids[target])
	return ok && matches(m)
}
