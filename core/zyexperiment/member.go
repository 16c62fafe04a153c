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

// MembershipConfig configures a run of the membership protocol.
type MembershipConfig struct {
	Members int
	// PacketLoss is the share of packets that are lost.
	PacketLoss float64
	Seed       uint64
	// IdleTime is how long the network runs before and after the failure.
	IdleTime time.Duration
	// CrashCount is how many members crash at once.
	CrashCount int
}

// MembershipResult is what a run has come to. Times are in seconds, rates for each
// node and second.
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
	probePeriod = time.Second
	ticks       = 5
	hop         = time.Millisecond
)

// memberRun is one run.
type memberRun struct {
	cfg     MembershipConfig
	clock   *clock
	random  *rand.Rand
	tables  map[string]*zymember.Table
	address []string
	ids     map[string]zinniayoke.NodeID
	dead    map[string]bool
	bytes   int64
	packets int64
	key     []byte
}

// RunMembership lets the members run, crashes some, changes one, and measures.
func RunMembership(cfg MembershipConfig) MembershipResult {
	r := &memberRun{
		cfg: cfg, clock: newClock(), random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		tables: make(map[string]*zymember.Table), dead: make(map[string]bool), ids: make(map[string]zinniayoke.NodeID), key: make([]byte, 32),
	}
	before := heapSize()
	r.build()
	result := MembershipResult{Members: cfg.Members, PacketLoss: cfg.PacketLoss, Crashed: cfg.CrashCount}
	result.BytesPerTableEntry = float64(heapSize()-before) / float64(cfg.Members*cfg.Members)
	wall := time.Now()
	r.clock.run(cfg.IdleTime)
	seconds := cfg.IdleTime.Seconds() * float64(cfg.Members)
	result.IdleBytesPerSecond = float64(r.bytes) / seconds
	result.PacketsPerSecond = float64(r.packets) / seconds
	result.CPUSharePerNode = time.Since(wall).Seconds() / seconds
	result.FalsePositives = r.falseDeaths()
	result.NodeHours = seconds / time.Hour.Seconds()
	r.measureSpread(&result)
	r.measureCrash(&result)
	return result
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (r *memberRun) build() {
	all := make([]zymember.Change, 0, r.cfg.Members)
	for i := range r.cfg.Members {
		address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		u := zinniayoke.Upstream{
			Node: zinniayoke.NodeID(fmt.Sprintf("host-%04d/%016x", i, i)), PeerAddress: address, Service: "orderdesk",
			Locality: zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprintf("domain-%d", i%10)), Region: "region"},
			Slots:    40, Connections: 350, State: zinniayoke.WorkerServing,
		}
		all = append(all, zymember.Change{Upstream: u, Incarnation: 1})
		r.address = append(r.address, address)
		r.ids[address] = u.Node
		r.tables[address] = zymember.NewTable(r.clock.now, zymember.Config{
			Self: u, ProbePeriod: probePeriod, DeadRetention: time.Hour,
			Random: rand.New(rand.NewPCG(r.cfg.Seed, uint64(i))),
		})
	}
	for i, address := range r.address {
		t := r.tables[address]
		t.Merge(r.clock.now, all)
		t.ClearBroadcasts()
		first := time.Duration(i) * probePeriod / time.Duration(r.cfg.Members)
		r.clock.every(first, probePeriod/ticks, func() bool { return r.tick(address) })
	}
}

func (r *memberRun) tick(address string) bool {
	if r.dead[address] {
		return false
	}
	r.send(r.tables[address].Tick(r.clock.now))
	return true
}

// send brings sealed packets to their targets after one hop.
func (r *memberRun) send(out []zymember.OutgoingPacket) {
	for _, a := range out {
		raw, err := zymember.Seal(r.key, &a.Packet)
		if err != nil {
			panic(err) // The packet was made here.
		}
		r.bytes += int64(len(raw))
		r.packets++
		if r.random.Float64() < r.cfg.PacketLoss {
			continue
		}
		r.clock.after(hop, func() { r.receive(a.To, raw) })
	}
}

func (r *memberRun) receive(address string, raw []byte) {
	table, ok := r.tables[address]
	if !ok || r.dead[address] {
		return
	}
	p, err := zymember.Open(r.key, raw)
	if err != nil {
		panic(err) // The packet was sealed here.
	}
	r.send(table.Receive(r.clock.now, p))
}

// falseDeaths counts how often a live member holds another live one for dead.
func (r *memberRun) falseDeaths() int {
	n := 0
	for address, t := range r.tables {
		for _, m := range t.Members() {
			if !r.dead[address] && m.Status == zinniayoke.MemberDead && !r.dead[m.Upstream.PeerAddress] {
				n++
			}
		}
	}
	return n
}

// measureSpread changes one member and waits until all know.
func (r *memberRun) measureSpread(result *MembershipResult) {
	began, bytes := r.clock.since(), r.bytes
	first := r.tables[r.address[0]]
	m, _ := first.Find(r.ids[r.address[0]])
	changed := m.Upstream
	changed.Slots++
	first.UpdateSelf(r.clock.now, changed)
	r.send(first.Gossip())
	result.DisseminationSeconds = r.until(began, func() bool {
		return r.allSee(r.address[0], func(m zymember.Member) bool { return m.Upstream.Slots == changed.Slots })
	})
	r.clock.run(r.clock.since() + r.cfg.IdleTime/2)
	elapsed := (r.clock.since() - began).Seconds() * float64(r.cfg.Members)
	result.UpdateBytesPerSecond = float64(r.bytes-bytes) / elapsed
}

// measureCrash crashes members at once and waits until all others know.
func (r *memberRun) measureCrash(result *MembershipResult) {
	began := r.clock.since()
	crashed := slices.Clone(r.address[1 : 1+r.cfg.CrashCount])
	for _, address := range crashed {
		r.dead[address] = true
	}
	gone := func(m zymember.Member) bool { return m.Status == zinniayoke.MemberDead }
	result.FirstDetectionSeconds = r.until(began, func() bool {
		return slices.ContainsFunc(r.address, func(a string) bool { return !r.dead[a] && r.sees(a, crashed[0], gone) })
	})
	result.FullDetectionSeconds = r.until(began, func() bool {
		return !slices.ContainsFunc(crashed, func(c string) bool { return !r.allSee(c, gone) })
	})
}

// until runs the clock until the condition holds and returns the seconds since
// began, or -1 where it does not hold within a minute.
func (r *memberRun) until(began time.Duration, holds func() bool) float64 {
	const step = 50 * time.Millisecond
	for r.clock.since()-began < time.Minute {
		if holds() {
			return (r.clock.since() - began).Seconds()
		}
		r.clock.run(r.clock.since() + step)
	}
	return -1
}

func (r *memberRun) allSee(target string, is func(zymember.Member) bool) bool {
	for _, address := range r.address {
		if !r.dead[address] && !r.sees(address, target, is) {
			return false
		}
	}
	return true
}

func (r *memberRun) sees(address, target string, is func(zymember.Member) bool) bool {
	m, ok := r.tables[address].Find(r.ids[target])
	return ok && is(m)
}
