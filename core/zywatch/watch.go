// Package zywatch decides which nodes of a failure domain read the source of bundles.
// A few readers, chosen by rank, read it and send beats to the other nodes of the
// domain. The others read it themselves only while the beats are missing.
package zywatch

import "time"

// Rank is the position of a node among the nodes of its failure domain in the order in
// which they become readers, starting with 0.
type Rank int

// RankUnknown is the rank of a node that has not joined the other nodes yet or is
// leaving them.
const RankUnknown Rank = -1

const (
	// Readers is how many nodes of each failure domain read the source all the time.
	Readers = 2
	// substitutes is how many further nodes read while the readers say that their reads
	// fail. All others would most likely fail too, and load a source in trouble.
	substitutes = 2
)

const (
	// BeatPeriod is the time between the beats of a reader.
	BeatPeriod = 400 * time.Millisecond
	// beatTimeout allows for two lost beats of a single reader.
	beatTimeout = 3 * BeatPeriod
	// isolationTimeout is the silence of all other nodes after which a node reads the
	// source by itself. Each node gets several packets a second.
	isolationTimeout = 1200 * time.Millisecond
	// takeoverStep is the additional silence that each further rank waits, so that one
	// node takes over and not all at once.
	takeoverStep = 100 * time.Millisecond
	// maxTakeoverDelay bounds that wait: the next ranks may be unreachable too.
	maxTakeoverDelay = 500 * time.Millisecond
	// settlingTime is how long a starting node lets the ranks settle. Nodes that start
	// together do not know each other at first, and each would rank first: of 97 nodes, 45
	// instead of 16 began to read after 1 s.
	settlingTime = 2 * time.Second
)

// Watch is the part of one node in reading the source. It is not safe for concurrent
// use. Create a Watch with New.
type Watch struct {
	started    time.Time
	lastPacket time.Time
	lastBeat   time.Time
	// lastSeniorBeat is when a beat of a reader with a lower rank arrived.
	lastSeniorBeat time.Time
	// lastFailingBeat is when a reader last said that its reads fail.
	lastFailingBeat time.Time
	// healthy is true while the last read of this node has succeeded.
	healthy bool
}

// New returns the watch of a node that starts now.
func New(now time.Time) *Watch {
	return &Watch{started: now, lastPacket: now, lastBeat: now, lastSeniorBeat: now}
}

// ObservePacket records that a packet of any other node has arrived.
func (w *Watch) ObservePacket(now time.Time) {
	w.lastPacket = now
}

// ObserveBeat records a beat of a reader whose bundle this node has in force. senior
// reports whether the reader has a lower rank than this node.
func (w *Watch) ObserveBeat(now time.Time, senior bool) {
	w.lastBeat = now
	if senior {
		w.lastSeniorBeat = now
	}
}

// ObserveFailingBeat records a beat of a reader whose reads fail.
func (w *Watch) ObserveFailingBeat(now time.Time) {
	w.lastFailingBeat = now
}

// ObserveRead records the result of a read by this node.
func (w *Watch) ObserveRead(err error) {
	w.healthy = err == nil
}

// Pause records that this node has stopped reading.
func (w *Watch) Pause() {
	w.healthy = false
}

// ShouldRead reports whether this node has to read the source. A node whose reads
// succeed yields only to beats of lower ranks, so that of several nodes that have taken
// over the one with the lowest rank goes on; a node whose reads fail yields to any.
func (w *Watch) ShouldRead(now time.Time, rank Rank) bool {
	switch {
	case now.Sub(w.started) < settlingTime:
		return false
	case rank != RankUnknown && rank < Readers:
		return true
	case now.Sub(w.lastPacket) >= isolationTimeout:
		return true
	}
	heard := w.lastBeat
	if w.healthy {
		heard = w.lastSeniorBeat
	}
	if rank >= Readers+substitutes && now.Sub(w.lastFailingBeat) < beatTimeout {
		return false
	}
	return now.Sub(heard) >= beatTimeout+takeoverDelay(rank)
}

// ShouldBeat reports whether this node sends beats, and whether its reads fail. A node
// whose reads succeed confirms to the others that they need not read.
func (w *Watch) ShouldBeat(now time.Time, rank Rank) (beat, failing bool) {
	return w.ShouldRead(now, rank), !w.healthy
}

func takeoverDelay(rank Rank) time.Duration {
	if rank == RankUnknown {
		return maxTakeoverDelay
	}
	return min(time.Duration(rank-Readers)*takeoverStep, maxTakeoverDelay)
}
