package zynode

import (
	"context"
	"slices"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zytimer"
	"zinniayoke/core/zytree"
	"zinniayoke/core/zywatch"
	"zinniayoke/io/zygossip"
	"zinniayoke/io/zylogger"
)

// bundleReader follows the external bundle source. Only the readers of the failure
// domain read it; they send beats down the distribution tree of the domain, from which
// the other nodes learn that they need not read and which version is in force.
type bundleReader struct {
	self        zinniayoke.NodeID
	domain      zinniayoke.Domain
	source      BundleSource
	bundle      *bundleState
	view        *memberView
	gossip      *zygossip.Socket
	distributor *bundleDistributor
	log         *zylogger.ComponentLogger
	// joined reports whether the member list of another node has been copied.
	joined func() bool
	// rejoin repeats discovery and the announcement of this node soon.
	rejoin func()

	mu    sync.Mutex
	watch *zywatch.Watch
	// hasRead is true after the first read, which every node makes when it starts.
	hasRead bool
	reading bool
	// unreachable is true while the last read has failed.
	unreachable bool
	ticks       int
	// beatCount numbers the beats of this node.
	beatCount uint64
	// lastBeats holds the number of the last beat of each reader.
	lastBeats map[zinniayoke.NodeID]uint64
	// pending is the last beat that announced a version that is not in force here yet.
	pending *beat
	// wake is signalled when this node has to read.
	wake   chan struct{}
	ticker *zytimer.Subscription
	cancel context.CancelFunc
}

// beat is one beat of a reader as it goes down the tree.
type beat struct {
	root     zinniayoke.NodeID
	sequence uint64
	version  zinniayoke.Version
	// failing is true if the reads of the reader fail.
	failing bool
}

const (
	readerTickPeriod = zywatch.BeatPeriod / ticksPerBeat
	ticksPerBeat     = 2
	// remoteFetchDelay is how long a node that hears of a newer version from another
	// failure domain waits for its own readers before it fetches the bundle from there.
	remoteFetchDelay = 400 * time.Millisecond
)

// Start begins to follow the source.
func (r *bundleReader) Start(timer *zytimer.Service) {
	r.watch = zywatch.New(time.Now())
	r.lastBeats = make(map[zinniayoke.NodeID]uint64)
	r.wake = make(chan struct{}, 1)
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.ticker = timer.Every(readerTickPeriod, r.onTick)
	go r.source.Watch(ctx, SourceWatcher{Await: r.await, Put: r.put, OnRead: r.onRead, OnEra: r.onEra, OnInvalid: r.onInvalid})
}

// Stop ends following the source.
func (r *bundleReader) Stop() {
	r.ticker.Cancel()
	r.cancel()
}

// IsReading reports whether this node reads the source.
func (r *bundleReader) IsReading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reading
}

// await blocks until this node has to read the source or ctx is done. It lets the
// first read pass.
func (r *bundleReader) await(ctx context.Context) {
	r.mu.Lock()
	first := !r.hasRead
	r.hasRead = true
	r.mu.Unlock()
	for !first && !r.updateRole(time.Now()) && ctx.Err() == nil {
		select {
		case <-r.wake:
		case <-ctx.Done():
		}
	}
}

// updateRole decides whether this node reads, and logs when that changes.
func (r *bundleReader) updateRole(now time.Time) bool {
	rank := r.rank()
	r.mu.Lock()
	defer r.mu.Unlock()
	reading := r.watch.ShouldRead(now, rank)
	if !reading {
		r.watch.Pause()
	}
	if reading != r.reading {
		r.reading = reading
		r.log.With("rank", rank).With("reading", reading).Info("The part of this node in reading the store has changed.")
	}
	return reading
}

// rank returns the rank of this node among those of its failure domain.
func (r *bundleReader) rank() zywatch.Rank {
	if !r.joined() {
		return zywatch.RankUnknown
	}
	return r.view.ReaderRank(r.self)
}

func (r *bundleReader) put(b *zybundle.Bundle) {
	if r.bundle.SetIfNewer(b) {
		r.sendBeat()
		r.gossip.Gossip()
	}
}

// onRead logs when the source becomes unreachable and reachable again.
func (r *bundleReader) onRead(err error) {
	r.mu.Lock()
	r.watch.ObserveRead(err)
	changed := r.unreachable != (err != nil)
	r.unreachable = err != nil
	r.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		r.log.With("error", err).With("version", r.bundle.Version()).Warn("The store is lost. The bundle in force stays.")
	default:
		r.log.With("version", r.bundle.Version()).Info("The store is reachable again.")
	}
}

func (r *bundleReader) onEra(era zinniayoke.StoreEra) {
	r.log.With("era", era).With("version", r.bundle.Version()).Warn(
		"The store has come back from a copy. The bundle in force stays, and the addresses of the readers are announced again.")
	r.rejoin()
}

func (r *bundleReader) onInvalid(err error) {
	r.log.With("error", err).With("version", r.bundle.Version()).Warn("A configuration in the store is invalid and has been skipped.")
}

func (r *bundleReader) onTick(now time.Time) {
	reading := r.updateRole(now)
	r.mu.Lock()
	r.ticks++
	due := r.ticks%ticksPerBeat == 0
	r.mu.Unlock()
	if !reading {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	if due {
		r.sendBeat()
	}
}

// sendBeat sends a beat of this node to its children, if it reads the source.
func (r *bundleReader) sendBeat() {
	rank := r.rank()
	r.mu.Lock()
	due, failing := r.watch.ShouldBeat(time.Now(), rank)
	if due {
		r.beatCount++
	}
	sequence := r.beatCount
	r.mu.Unlock()
	if due {
		r.forward(beat{root: r.self, sequence: sequence, failing: failing})
	}
}

// forward sends a beat to the children of this node in the tree of its root.
func (r *bundleReader) forward(b beat) {
	var addresses []string
	for _, child := range zytree.Children(r.self, b.root, r.view.KeyOwners(r.domain)) {
		if u, ok := r.view.Find(child); ok {
			addresses = append(addresses, u.PeerAddress)
		}
	}
	r.gossip.Beat(zymember.BeatConfig{Root: b.root, Sequence: b.sequence, Failing: b.failing}, addresses)
}

// HandlePacket notes the beat and the version of a packet from another node, and
// fetches the bundle if that node has a newer one.
func (r *bundleReader) HandlePacket(p *zymember.Packet) {
	now := time.Now()
	r.mu.Lock()
	r.watch.ObservePacket(now)
	r.mu.Unlock()
	if p.Kind == zymember.Beat {
		r.handleBeat(p)
	}
	if p.Version <= r.bundle.Version() {
		return
	}
	if sender, ok := r.view.Find(p.From); ok && sender.Locality.Domain != r.domain && r.bundle.Current() != nil {
		time.AfterFunc(remoteFetchDelay, func() { r.distributor.FetchIfNewer(p.Version, p.FromAddress) })
		return
	}
	r.distributor.FetchIfNewer(p.Version, p.FromAddress)
}

// handleBeat accepts each beat once. Member lists may differ between nodes, so that the
// same beat can arrive from several of them.
func (r *bundleReader) handleBeat(p *zymember.Packet) {
	r.mu.Lock()
	if p.Root == r.self || p.Sequence <= r.lastBeats[p.Root] {
		r.mu.Unlock()
		return
	}
	r.lastBeats[p.Root] = p.Sequence
	r.forgetAbsentReaders()
	b := beat{root: p.Root, sequence: p.Sequence, version: p.Version, failing: p.Failing}
	if b.failing {
		r.watch.ObserveFailingBeat(time.Now())
		r.mu.Unlock()
		r.forward(b)
		return
	}
	r.pending = &b
	r.mu.Unlock()
	r.confirmPending()
}

// forgetAbsentReaders removes the beat numbers of nodes that are gone. The caller holds
// mu.
func (r *bundleReader) forgetAbsentReaders() {
	for root := range r.lastBeats {
		if _, ok := r.view.Find(root); !ok {
			delete(r.lastBeats, root)
		}
	}
}

// confirmPending counts and forwards the pending beat once the version that it
// announces is in force here. A node that forwards a beat thus has the bundle that its
// children are going to fetch from it.
func (r *bundleReader) confirmPending() {
	rank := r.rank()
	r.mu.Lock()
	b := r.pending
	if b == nil || b.version > r.bundle.Version() {
		r.mu.Unlock()
		return
	}
	r.pending = nil
	rootRank := r.view.ReaderRank(b.root)
	r.watch.ObserveBeat(time.Now(), rootRank != zywatch.RankUnknown && (rank == zywatch.RankUnknown || rootRank < rank))
	r.mu.Unlock()
	r.forward(*b)
}

// ReaderRank returns the rank of a node of the local failure domain in the order in
// which its nodes become readers.
func (v *memberView) ReaderRank(id zinniayoke.NodeID) zywatch.Rank {
	return zywatch.Rank(slices.Index(v.current.Load().readerOrder, id))
}
