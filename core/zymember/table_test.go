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

// net is a handful of tables on a network that loses, repeats and parts.
type net struct {
	now    time.Time
	random *rand.Rand
	nodes  []*node
	loss   float64
	replay [][]byte
	serial int
	steps  int
	// counters holds the highest counter that each member was seen with.
	counters map[zinniayoke.NodeID]zinniayoke.Incarnation
	problem  string
}

type node struct {
	id      zinniayoke.NodeID
	address string
	table   *zymember.Table
	alive   bool
	frozen  bool
	side    int
	joined  bool
}

func newNet(n int, seed uint64) *net {
	w := &net{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)),
		counters: make(map[zinniayoke.NodeID]zinniayoke.Incarnation),
	}
	for i := range n {
		w.start(fmt.Sprintf("h%d", i))
	}
	for _, a := range w.nodes {
		a.joined = true
		for _, b := range w.nodes {
			w.sync(a, b)
		}
	}
	return w
}

func (w *net) start(host string) *node {
	return w.startAt(host, fmt.Sprintf("a%d", w.serial+1))
}

func (w *net) startAt(host, address string) *node {
	w.serial++
	n := &node{
		id: zinniayoke.NodeID(fmt.Sprintf("%s/%016x", host, w.serial)), address: address, alive: true,
	}
	n.table = zymember.NewTable(w.now, zymember.Config{
		Self: zinniayoke.Upstream{Node: n.id, PeerAddress: n.address}, ProbePeriod: time.Second, DeadRetention: time.Hour,
		Random: rand.New(rand.NewPCG(uint64(w.serial), 2)),
	})
	w.nodes = append(w.nodes, n)
	return n
}

// sync copies lists both ways, as a joining node does.
func (w *net) sync(a, b *node) {
	fromA, fromB := a.table.Diff(b.table.BucketHashes()), b.table.Diff(a.table.BucketHashes())
	a.table.Merge(w.now, fromB)
	b.table.Merge(w.now, fromA)
}

func (w *net) reaches(a, b *node) bool {
	return a.alive && b.alive && !a.frozen && !b.frozen && a.side == b.side
}

// run lets time pass in steps of a fifth of a period.
func (w *net) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(200 * time.Millisecond) {
		for _, n := range w.nodes {
			if n.alive && !n.frozen {
				w.send(n, n.table.Tick(w.now))
			}
		}
		w.watch()
		w.steps++
		if w.steps%syncSteps == 0 {
			w.repair()
		}
	}
}

// repair lets each node compare lists with another that it knows, and with one
// that it does not know but finds at the meeting place, as nodes do every 10 to 16 s.
func (w *net) repair() {
	for _, n := range w.nodes {
		if !n.alive || !n.joined {
			continue
		}
		for _, other := range w.nodes {
			if _, known := n.table.Find(other.id); !known && other.joined && w.reaches(n, other) {
				w.sync(n, other)
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
		other := w.at(known[w.random.IntN(len(known))].Upstream.PeerAddress)
		if other != nil && other.joined && w.reaches(n, other) {
			w.sync(n, other)
		}
	}
}

func (w *net) send(from *node, out []zymember.OutgoingPacket) {
	for _, a := range out {
		raw, err := zymember.Seal(key, &a.Packet)
		if err != nil {
			w.problem = err.Error()
			return
		}
		w.replay = append(w.replay, raw)
		to := w.at(a.To)
		if to == nil || !w.reaches(from, to) || w.random.Float64() < w.loss {
			continue
		}
		w.receive(to, raw)
	}
}

func (w *net) receive(to *node, raw []byte) {
	p, err := zymember.Open(key, raw)
	if err != nil {
		w.problem = err.Error()
		return
	}
	w.send(to, to.table.Receive(w.now, p))
}

func (w *net) at(address string) *node {
	for _, n := range w.nodes {
		if n.address == address && n.alive {
			return n
		}
	}
	return nil
}

// watch checks that no member's own counter goes back.
func (w *net) watch() {
	for _, n := range w.nodes {
		m, _ := n.table.Find(n.id)
		if m.Counter < w.counters[n.id] {
			w.problem = fmt.Sprintf("%s: counter went from %d to %d", n.id, w.counters[n.id], m.Counter)
		}
		w.counters[n.id] = m.Counter
	}
}

// wrong returns where a list differs from the truth after a quiet time.
func (w *net) wrong() string {
	if w.problem != "" {
		return w.problem
	}
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		for _, other := range w.nodes {
			m, ok := n.table.Find(other.id)
			if other.alive && (!ok || m.Status != zinniayoke.MemberAlive) {
				return fmt.Sprintf("%s holds the live %s for %s", n.id, other.id, m.Status)
			}
			if !other.alive && ok && (m.Status == zinniayoke.MemberAlive || m.Status == zinniayoke.MemberSuspect) {
				return fmt.Sprintf("%s holds the dead %s for %s", n.id, other.id, m.Status)
			}
		}
	}
	return ""
}

// join copies the list of a node that is in reach. A node that finds none tries
// again once it can.
func (w *net) join(fresh *node) {
	for _, other := range w.nodes {
		if w.reaches(fresh, other) && other != fresh && other.joined {
			w.sync(fresh, other)
			fresh.joined = true
			return
		}
	}
}

func (w *net) heal() {
	for _, n := range w.nodes {
		n.side, n.frozen = 0, false
	}
	w.loss = 0
	for _, n := range w.nodes {
		if n.alive && !n.joined {
			w.join(n)
			// Where nobody is left, the first that starts is the first of all.
			n.joined = true
		}
	}
}

const (
	settle    = 60 * time.Second
	syncSteps = 50
)

// TestLists lets nodes crash, restart, freeze and part, and checks that after a
// quiet minute all lists are right.
func TestLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNet(5, rapid.Uint64().Draw(t, "seed"))
		alive := func() *node {
			var list []*node
			for _, n := range w.nodes {
				if n.alive {
					list = append(list, n)
				}
			}
			return list[rapid.IntRange(0, len(list)-1).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 10).Draw(t, "s")) * time.Second) },
			"restart": func(*rapid.T) {
				n := alive()
				n.alive = false
				w.join(w.start(string(n.id[:2])))
			},
			"leave": func(t *rapid.T) {
				n := alive()
				if len(w.nodes) > 8 || n.frozen {
					t.Skip("enough have left")
				}
				n.table.Leave(w.now)
				w.send(n, n.table.Gossip())
				n.alive = false
				w.join(w.start(string(n.id[:2])))
			},
			"freeze": func(*rapid.T) { n := alive(); n.frozen = !n.frozen },
			"part":   func(t *rapid.T) { alive().side = rapid.IntRange(0, 1).Draw(t, "side") },
			"lossy":  func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss") },
			"replay": func(t *rapid.T) {
				if len(w.replay) > 0 {
					w.receive(alive(), rapid.SampledFrom(w.replay).Draw(t, "packet"))
				}
			},
			"": func(t *rapid.T) {
				if w.problem != "" {
					t.Fatal(w.problem)
				}
			},
		})
		w.heal()
		w.run(settle)
		if wrong := w.wrong(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// TestRestartedHostIsFoundAgain starts hosts again at their addresses while no
// meeting place tells them of others: one that had left as planned, one that had
// crashed.
func TestRestartedHostIsFoundAgain(t *testing.T) {
	for _, planned := range []bool{true, false} {
		w := newNet(6, 1)
		w.run(10 * time.Second)
		old := w.nodes[2]
		if planned {
			old.table.Leave(w.now)
			w.send(old, old.table.Gossip())
		}
		old.alive = false
		w.run(5 * time.Second)
		again := w.startAt("h2", old.address)
		w.run(5 * time.Second)
		if w.problem != "" {
			t.Fatal(w.problem)
		}
		for _, n := range w.nodes {
			if m, ok := n.table.Find(again.id); n.alive && (!ok || m.Status != zinniayoke.MemberAlive) {
				t.Errorf("planned %v: %s does not know the new run: %+v", planned, n.id, m)
			}
		}
		if again.table.CountAlive() < 2 {
			t.Errorf("planned %v: the new run knows nobody", planned)
		}
	}
}

func TestOpenRefuses(t *testing.T) {
	good, err := zymember.Seal(key, &zymember.Packet{From: "a/1"})
	if err != nil {
		t.Fatal(err)
	}
	changed := append([]byte(nil), good...)
	changed[len(changed)-1] ^= 1
	nameless, err := zymember.Seal(key, &zymember.Packet{})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		raw  []byte
	}{
		{"nothing", nil}, {"too short", good[:16]}, {"changed", changed}, {"cut", good[:len(good)-1]},
		{"without a sender", nameless}, {"too long", make([]byte, 5000)},
	} {
		var refused *zymember.PacketError
		if _, err := zymember.Open(key, c.raw); !errors.As(err, &refused) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := zymember.Open(key, good); err != nil {
		t.Errorf("a good packet: %v", err)
	}
}

// resealed puts a right authentication code before a body, which the fuzzer
// could not find by itself.
func resealed(body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return append(h.Sum(nil)[:16], body...)
}

func FuzzOpen(f *testing.F) {
	good, _ := zymember.Seal(key, &zymember.Packet{From: "a/1", Changes: []zymember.Change{{Incarnation: 1}}})
	f.Add(good)
	f.Add(good[16:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		// The fuzzer cannot know the key, so the body is sealed here.
		if len(raw) > 16 {
			if p, err := zymember.Open(key, resealed(raw)); err == nil && p.From == "" {
				t.Fatal("a packet without a sender was taken")
			}
		}
		_, _ = zymember.Open(key, raw)
	})
}
