package zywatch_test

import (
	"errors"
	"testing"
	"time"

	"zinniayoke/core/zywatch"
)

const (
	tick         = 100 * time.Millisecond
	ticksPerBeat = int(zywatch.BeatPeriod / tick)
)

var errStore = errors.New("no response")

// domain is a simulated failure domain. The index of a node is its rank.
type domain struct {
	now   time.Time
	ticks int
	nodes []*simNode
}

// simNode is a node of a domain. Beats and packets reach only nodes with the same group.
type simNode struct {
	watch *zywatch.Watch
	group int
	// down is true while the node does not run.
	down bool
	// turnedAway is true while the store does not respond to the node.
	turnedAway bool
	rank       zywatch.Rank
	reading    bool
}

func newDomain(n int) *domain {
	d := &domain{now: time.Unix(0, 0)}
	for i := range n {
		d.nodes = append(d.nodes, &simNode{watch: zywatch.New(d.now), rank: zywatch.Rank(i)})
	}
	return d
}

// run runs the domain for some time and returns how many reads were made.
func (d *domain) run(duration time.Duration) int {
	reads := 0
	for end := d.now.Add(duration); d.now.Before(end); {
		d.now = d.now.Add(tick)
		d.ticks++
		for _, n := range d.nodes {
			reads += d.step(n)
		}
	}
	return reads
}

func (d *domain) step(n *simNode) int {
	if n.down {
		return 0
	}
	n.reading = n.watch.ShouldRead(d.now, n.rank)
	reads := 0
	if n.reading {
		reads = 1
		n.watch.ObserveRead(nil)
		if n.turnedAway {
			n.watch.ObserveRead(errStore)
		}
	} else {
		n.watch.Pause()
	}
	beats, failing := n.watch.ShouldBeat(d.now, n.rank)
	beats = beats && d.ticks%ticksPerBeat == 0
	for _, other := range d.nodes {
		if other == n || other.down || other.group != n.group {
			continue
		}
		other.watch.ObservePacket(d.now)
		switch {
		case beats && failing:
			other.watch.ObserveFailingBeat(d.now)
		case beats:
			other.watch.ObserveBeat(d.now, n.rank < other.rank)
		}
	}
	return reads
}

// readers returns the ranks of the nodes that read.
func (d *domain) readers() []int {
	var list []int
	for i, n := range d.nodes {
		if n.reading && !n.down {
			list = append(list, i)
		}
	}
	return list
}

// TestReaders checks which nodes of a failure domain of twelve read the store some time
// after a fault.
func TestReaders(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(d *domain)
		after time.Duration
		want  []int
	}{
		{"calm", func(*domain) {}, time.Minute, []int{0, 1}},
		{"one reader is lost", func(d *domain) { d.nodes[0].down = true }, 5 * time.Second, []int{1}},
		{"both readers are lost", func(d *domain) { d.nodes[0].down, d.nodes[1].down = true, true }, 1400 * time.Millisecond, []int{2}},
		{"both readers and the next are lost", func(d *domain) { d.nodes[0].down, d.nodes[1].down, d.nodes[2].down = true, true, true }, 1500 * time.Millisecond, []int{3}},
		{"the store turns the readers away", func(d *domain) { d.nodes[0].turnedAway, d.nodes[1].turnedAway = true, true }, 1400 * time.Millisecond, []int{0, 1, 2}},
		{"the store turns the readers and the next ones away", func(d *domain) {
			for _, n := range d.nodes[:4] {
				n.turnedAway = true
			}
		}, 5 * time.Second, []int{0, 1, 2, 3}},
		{"the readers are turned away and the next one is lost", func(d *domain) {
			d.nodes[0].turnedAway, d.nodes[1].turnedAway, d.nodes[2].down = true, true, true
		}, 1500 * time.Millisecond, []int{0, 1, 3}},
		{"a group without a reader is cut off", func(d *domain) {
			for _, n := range d.nodes[5:] {
				n.group = 1
			}
		}, 1700 * time.Millisecond, []int{0, 1, 5}},
		{"one node is cut off", func(d *domain) { d.nodes[11].group = 1 }, 1300 * time.Millisecond, []int{0, 1, 11}},
		{"one node is cut off whose rank is unknown", func(d *domain) { d.nodes[11].group, d.nodes[11].rank = 1, zywatch.RankUnknown }, 1300 * time.Millisecond, []int{0, 1, 11}},
	} {
		d := newDomain(12)
		d.run(5 * time.Second)
		c.fault(d)
		d.run(c.after)
		got := d.readers()
		if len(got) != len(c.want) {
			t.Errorf("%s: %v read, want %v", c.name, got, c.want)
			continue
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: %v read, want %v", c.name, got, c.want)
				break
			}
		}
	}
}

// TestReadersYield checks that the nodes that have taken over stop once the readers are
// served again.
func TestReadersYield(t *testing.T) {
	for _, heal := range []struct {
		name    string
		readers int // that read during the fault
		fault   func(n *simNode, on bool)
	}{
		{"store is down", 4, func(n *simNode, on bool) { n.turnedAway = on }},
		{"every node is cut off", 12, func(n *simNode, on bool) {
			n.group = 0
			if on {
				n.group = int(n.rank)
			}
		}},
	} {
		d := newDomain(12)
		d.run(5 * time.Second)
		for _, n := range d.nodes {
			heal.fault(n, true)
		}
		d.run(5 * time.Second)
		if got := d.readers(); len(got) != heal.readers {
			t.Errorf("%s: %v read, want %d nodes", heal.name, got, heal.readers)
		}
		for _, n := range d.nodes {
			heal.fault(n, false)
		}
		d.run(2 * time.Second)
		if got := d.readers(); len(got) != zywatch.Readers {
			t.Errorf("%s: %v read 2 s later, want two", heal.name, got)
		}
	}
}

// TestStartingNodesWait checks that nodes that start together do not all read because
// each of them ranks first until it knows the others.
func TestStartingNodesWait(t *testing.T) {
	d := newDomain(12)
	for _, n := range d.nodes {
		n.rank = 0
	}
	d.run(500 * time.Millisecond)
	for i, n := range d.nodes {
		n.rank = zywatch.Rank(i)
	}
	d.run(10 * time.Second)
	if got := d.readers(); len(got) != zywatch.Readers {
		t.Errorf("%v read, want two", got)
	}
	if reads := d.run(time.Second); reads != zywatch.Readers*int(time.Second/tick) {
		t.Errorf("%d reads in a second", reads)
	}
}
