package zymember_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zymember"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var key = make([]byte, 32)

// simNetwork is a simulated network of tables that can lose and replay packets and
// split into partitions.
type simNetwork struct {
	now         time.Time
	random      *rand.Rand
	nodes       []*node
	loss        float64
	sentPackets [][]byte
	serial      int
	steps       int
	// incarnations holds the latest incarnation that each member had in its own table.
	incarnations map[zinniayoke.NodeID]zinniayoke.Incarnation
	// failure describes the first violation found, "" if there is none.
	failure string
}

// node is one table in a simNetwork. A frozen node neither runs nor gets packets.
// Nodes in different partitions cannot reach each other.
type node struct {
	id        zinniayoke.NodeID
	address   string
	table     *zymember.Table
	alive     bool
	frozen    bool
	partition int
	joined    bool
}

func newSimNetwork(n int, seed uint64) *simNetwork {
	sim := &simNetwork{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)),
		incarnations: make(map[zinniayoke.NodeID]zinniayoke.Incarnation),
	}
	for i := range n {
		sim.start(fmt.Sprintf("h%d", i))
	}
	for _, a := range sim.nodes {
		a.joined = true
		for _, b := range sim.nodes {
			sim.sync(a, b)
		}
	}
	return sim
}

func (sim *simNetwork) start(host string) *node {
	return sim.startAt(host, fmt.Sprintf("a%d", sim.serial+1))
}

func (sim *simNetwork) startAt(host, address string) *node {
	sim.serial++
	n := &node{
		id: zinniayoke.NodeID(fmt.Sprintf("%s/%016x", host, sim.serial)), address: address, alive: true,
	}
	n.table = zymember.NewTable(sim.now, zymember.Config{
		Self: zinniayoke.Upstream{Node: n.id, PeerAddress: n.address}, ProbePeriod: time.Second, DeadRetention: time.Hour,
		Random: rand.New(rand.NewPCG(uint64(sim.serial), 2)),
	})
	sim.nodes = append(sim.nodes, n)
	return n
}

// sync merges the differing parts of both lists into each other, as a joining node
// does.
func (sim *simNetwork) sync(a, b *node) {
	fromA, fromB := a.table.Diff(b.table.BucketHashes()), b.table.Diff(a.table.BucketHashes())
	a.table.Merge(sim.now, fromB)
	b.table.Merge(sim.now, fromA)
}

func (sim *simNetwork) canReach(a, b *node) bool {
	return a.alive && b.alive && !a.frozen && !b.frozen && a.partition == b.partition
}

// run advances the time by d in steps of a fifth of a probe period.
func (sim *simNetwork) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(200 * time.Millisecond) {
		for _, n := range sim.nodes {
			if n.alive && !n.frozen {
				sim.send(n, n.table.Tick(sim.now))
			}
		}
		sim.checkIncarnations()
		sim.steps++
		if sim.steps%syncSteps == 0 {
			sim.antiEntropy()
		}
	}
}

// antiEntropy lets each node compare its list with a random member that it knows, and
// with a node that it does not know but finds through discovery, as nodes do every 10
// to 16 s.
func (sim *simNetwork) antiEntropy() {
	for _, n := range sim.nodes {
		if !n.alive || !n.joined {
			continue
		}
		for _, other := range sim.nodes {
			if _, known := n.table.Find(other.id); !known && other.joined && sim.canReach(n, other) {
				sim.sync(n, other)
				break
			}
		}
		known := n.table.Members()
		slices.SortFunc(known, func(a, b zymember.Member) int {
			return strings.Compare(string(a.Upstream.Node), string(b.Upstream.Node))
		})
		known = slices.DeleteFunc(known, func(m zymember.Member) bool {
			gone := m.Status == zinniayoke.MemberDead || m.Status == zinniayoke.MemberLeft
			return gone || m.Upstream.Node == n.id
		})
		if len(known) == 0 {
			continue
		}
		other := sim.nodeAt(known[sim.random.IntN(len(known))].Upstream.PeerAddress)
		if other != nil && other.joined && sim.canReach(n, other) {
			sim.sync(n, other)
		}
	}
}

func (sim *simNetwork) send(from *node, out []zymember.OutgoingPacket) {
	for _, a := range out {
		raw, err := zymember.Seal(key, &a.Packet)
		if err != nil {
			sim.failure = err.Error()
			return
		}
		sim.sentPackets = append(sim.sentPackets, raw)
		to := sim.nodeAt(a.To)
		if to == nil || !sim.canReach(from, to) || sim.random.Float64() < sim.loss {
			continue
		}
		sim.receive(to, raw)
	}
}

func (sim *simNetwork) receive(to *node, raw []byte) {
	p, err := zymember.Open(key, raw)
	if err != nil {
		sim.failure = err.Error()
		return
	}
	sim.send(to, to.table.Receive(sim.now, p))
}

func (sim *simNetwork) nodeAt(address string) *node {
	for _, n := range sim.nodes {
		if n.address == address && n.alive {
			return n
		}
	}
	return nil
}

// checkIncarnations checks that no node's own incarnation decreases.
func (sim *simNetwork) checkIncarnations() {
	for _, n := range sim.nodes {
		m, _ := n.table.Find(n.id)
		if m.Incarnation < sim.incarnations[n.id] {
			sim.failure = fmt.Sprintf("%s: incarnation went from %d to %d", n.id, sim.incarnations[n.id], m.Incarnation)
		}
		sim.incarnations[n.id] = m.Incarnation
	}
}

// findMismatch describes the first violation, or the first entry of a list that
// differs from the real state of the node. It returns "" if there is none.
func (sim *simNetwork) findMismatch() string {
	if sim.failure != "" {
		return sim.failure
	}
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		for _, other := range sim.nodes {
			m, ok := n.table.Find(other.id)
			if other.alive && (!ok || m.Status != zinniayoke.MemberAlive) {
				return fmt.Sprintf("%s lists %s, which is alive, as %s", n.id, other.id, m.Status)
			}
			if !other.alive && ok && (m.Status == zinniayoke.MemberAlive || m.Status == zinniayoke.MemberSuspect) {
				return fmt.Sprintf("%s lists %s, which is dead, as %s", n.id, other.id, m.Status)
			}
		}
	}
	return ""
}

// join syncs a new node with the first joined node that it can reach. If there is
// none, heal tries restarted.
func (sim *simNetwork) join(fresh *node) {
	for _, other := range sim.nodes {
		if sim.canReach(fresh, other) && other != fresh && other.joined {
			sim.sync(fresh, other)
			fresh.joined = true
			return
		}
	}
}

// heal ends all partitions, freezes and packet loss and joins the nodes that could
// not join before.
func (sim *simNetwork) heal() {
	for _, n := range sim.nodes {
		n.partition, n.frozen = 0, false
	}
	sim.loss = 0
	for _, n := range sim.nodes {
		if n.alive && !n.joined {
			sim.join(n)
			// If no joined node is left, this one starts a new list.
			n.joined = true
		}
	}
}

const (
	// convergenceTime is how long the lists have to converge after the network has healed.
	convergenceTime = 60 * time.Second
	// syncSteps is the number of steps between two rounds of antiEntropy.
	syncSteps = 50
)

// TestListsConverge lets nodes restart, leave, freeze and split into partitions while
// packets get lost and replayed. It checks that all lists are correct a minute after
// the network has healed.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimNetwork(5, rapid.Uint64().Draw(t, "seed"))
		alive := func() *node {
			var list []*node
			for _, n := range sim.nodes {
				if n.alive {
					list = append(list, n)
				}
			}
			return list[rapid.IntRange(0, len(list)-1).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { sim.run(time.Duration(rapid.IntRange(1, 10).Draw(t, "s")) * time.Second) },
			"restart": func(*rapid.T) {
				n := alive()
				n.alive = false
				sim.join(sim.start(string(n.id[:2])))
			},
			"leave": func(t *rapid.T) {
				n := alive()
				if len(sim.nodes) > 8 || n.frozen {
					t.Skip("too many nodes, or the node is frozen")
				}
				n.table.Leave(sim.now)
				sim.send(n, n.table.Gossip())
				n.alive = false
				sim.join(sim.start(string(n.id[:2])))
			},
			"freeze": func(*rapid.T) { n := alive(); n.frozen = !n.frozen },
			"part":   func(t *rapid.T) { alive().partition = rapid.IntRange(0, 1).Draw(t, "side") },
			"lossy":  func(t *rapid.T) { sim.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss") },
			"replay": func(t *rapid.T) {
				if len(sim.sentPackets) > 0 {
					sim.receive(alive(), rapid.SampledFrom(sim.sentPackets).Draw(t, "packet"))
				}
			},
			"": func(t *rapid.T) {
				if sim.failure != "" {
					t.Fatal(sim.failure)
				}
			},
		})
		sim.heal()
		sim.run(convergenceTime)
		if mismatch := sim.findMismatch(); mismatch != "" {
			t.Fatal(mismatch)
		}
	})
}

// TestRestartedHostIsFoundAgain guards against a restarted host that stays unknown
// while discovery is unavailable. The host restarts at its old address after a planned
// shutdown and after a crash; the probes of absent members have to find it.
func TestRestartedHostIsFoundAgain(t *testing.T) {
	for _, planned := range []bool{true, false} {
		sim := newSimNetwork(6, 1)
		sim.run(10 * time.Second)
		old := sim.nodes[2]
		if planned {
			old.table.Leave(sim.now)
			sim.send(old, old.table.Gossip())
		}
		old.alive = false
		sim.run(5 * time.Second)
		restarted := sim.startAt("h2", old.address)
		sim.run(5 * time.Second)
		if sim.failure != "" {
			t.Fatal(sim.failure)
		}
		for _, n := range sim.nodes {
			if m, ok := n.table.Find(restarted.id); n.alive && (!ok || m.Status != zinniayoke.MemberAlive) {
				t.Errorf("planned %v: %s does not list the new run as alive: %+v", planned, n.id, m)
			}
		}
		if restarted.table.CountAlive() < 2 {
			t.Errorf("planned %v: the new run lists no other node", planned)
		}
	}
}

// TestOpenRejectsInvalidPackets checks that packets that are changed, cut off or too
// long, or that lack a sender, are rejected before they reach a table.
func TestOpenRejectsInvalidPackets(t *testing.T) {
	good, err := zymember.Seal(key, &zymember.Packet{From: "a/1"})
	if err != nil {
		t.Fatal(err)
	}
	changed := append([]byte(nil), good...)
	changed[len(changed)-1] ^= 1
	noSender, err := zymember.Seal(key, &zymember.Packet{})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		raw  []byte
	}{
		{"nothing", nil}, {"too short", good[:16]}, {"changed", changed}, {"cut", good[:len(good)-1]},
		{"without a sender", noSender}, {"too long", make([]byte, 5000)},
	} {
		var packetErr *zymember.PacketError
		if _, err := zymember.Open(key, c.raw); !errors.As(err, &packetErr) {
			t.Errorf("%s: got %v, want a *PacketError", c.name, err)
		}
	}
	if _, err := zymember.Open(key, good); err != nil {
		t.Errorf("a valid packet: %v", err)
	}
}

// sealBody prepends a valid authentication code to a body, which the fuzzer could not
// find by itself.
func sealBody(body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return append(h.Sum(nil)[:16], body...)
}

// FuzzOpen checks that Open does not panic, with or without a valid authentication code,
// and accepts no packet without a sender.
func FuzzOpen(f *testing.F) {
	good, _ := zymember.Seal(key, &zymember.Packet{From: "a/1", Changes: []zymember.Change{{Incarnation: 1}}})
	f.Add(good)
	f.Add(good[16:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		// The body is sealed here, because the fuzzer cannot compute the code.
		if len(raw) > 16 {
			if p, err := zymember.Open(key, sealBody(raw)); err == nil && p.From == "" {
				t.Fatal("a packet without a sender was accepted")
			}
		}
		_, _ = zymember.Open(key, raw)
	})
}

// TestSentPacketsKeepToMaxPacketSize seals pings about a suspect member, which carry
// one change more than the others, among members with long names.
func TestSentPacketsKeepToMaxPacketSize(t *testing.T) {
	upstream := func(i int) zinniayoke.Upstream {
		host := fmt.Sprintf("sidecar-makurazaki-rack-%04d/%016x", i, i)
		return zinniayoke.Upstream{
			Node: zinniayoke.NodeID(host), PeerAddress: fmt.Sprintf("10.128.100.%d:17620", i%250), Service: "stockroom-inventory",
			Locality: zinniayoke.Locality{Domain: "makurazaki-west", Region: "satsuma-south"}, Slots: 1 << 40, Connections: 1 << 40,
			Incarnation: 1 << 40,
		}
	}
	now := time.Unix(0, 0)
	table := zymember.NewTable(now, zymember.Config{Self: upstream(0), ProbePeriod: time.Second, Random: rand.New(rand.NewPCG(1, 1))})
	for round := range 40 {
		now = now.Add(100 * time.Millisecond)
		var changes []zymember.Change
		for i := 1; i < 60; i++ {
			changes = append(changes, zymember.Change{Upstream: upstream(i), Status: zinniayoke.MemberSuspect, Incarnation: zinniayoke.Incarnation(1<<40 + round)})
		}
		table.Merge(now, changes)
		for _, out := range append(table.Tick(now), table.Gossip()...) {
			raw, err := zymember.Seal(key, &out.Packet)
			if err != nil {
				t.Fatal(err)
			}
			if len(raw) > zymember.MaxPacketSize {
				t.Fatalf("a packet of %d bytes with %d changes, want at most %d", len(raw), len(out.Packet.Changes), zymember.MaxPacketSize)
			}
			if _, err := zymember.Open(key, raw); err != nil {
				t.Fatal(err)
			}
		}
	}
}
