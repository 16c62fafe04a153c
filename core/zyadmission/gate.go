package zyadmission

import (
	"slices"
	"time"

	"github.com/google/btree"

	"zinniayoke"
	"zinniayoke/core/zyrank"
)

// Item is an attempt that wants to run.
type Item struct {
	ID       zinniayoke.AttemptID
	Route    zinniayoke.RouteName
	Rank     zinniayoke.Rank
	Depth    int
	Deadline time.Time
	// MaxWait is how long the item may wait, 0 for as long as all may.
	MaxWait  time.Duration
	arrived  time.Time
	started  time.Time
	sequence uint64
}

// Refusal is an item that was not admitted, with the reason.
type Refusal struct {
	Item   Item
	Reason zinniayoke.Reason
}

// Result lists what a step of the gate has decided. Items that are in neither
// list wait.
type Result struct {
	Started []Item
	Refused []Refusal
}

// Config configures a Gate.
type Config struct {
	// Slots is the number of calls that the worker announced it runs at once.
	Slots int
	// FixedLimit keeps the limit a little below the announced slots.
	FixedLimit bool
	// QueuePerSlot is how many calls may wait for each that runs; 0 means 1.
	QueuePerSlot int
	// ByWaitDeadline orders the queue by when the patience of each call ends, in place
	// of its rank.
	ByWaitDeadline bool
}

const (
	// fullShare of the slots are used: some workers of the platform slow down by a
	// third in their last twentieth, which costs more than it holds.
	fullShare     = 0.94
	queuePerSlot  = 1
	shortestQueue = 4
	longestQueue  = 512
	longestWait   = 100 * time.Millisecond
	btreeDegree   = 16
	hashBits      = 16
	serviceWeight = 0.1
)

// Queue decides about the attempts at one worker. It is not safe for use by
// several goroutines. A Queue must be made with NewGate.
type Queue struct {
	cfg       Config
	limit     *Limit
	threshold *Threshold
	running   map[zinniayoke.AttemptID]Item
	waiting   map[zinniayoke.AttemptID]Item
	queue     *btree.BTreeG[Item]
	sequence  uint64
	service   map[zinniayoke.RouteName]time.Duration
	// mean is how long calls hold a slot, whatever their route.
	mean time.Duration
}

// NewQueue returns a gate without running or waiting attempts.
func NewQueue(cfg Config) *Queue {
	order := byRank
	if cfg.ByWaitDeadline {
		order = byPatience
	}
	return &Queue{
		cfg:       cfg,
		limit:     NewLimit(cfg.Slots),
		threshold: NewThreshold(),
		running:   make(map[zinniayoke.AttemptID]Item),
		waiting:   make(map[zinniayoke.AttemptID]Item),
		queue:     btree.NewG(btreeDegree, order),
		service:   make(map[zinniayoke.RouteName]time.Duration),
	}
}

// byPatience orders the queue by when the patience of each item ends, so that a
// call of a worker, which has time, lets a short call of a caller pass, and is
// itself not passed for long. The first item starts next, the last is refused first.
func byPatience(a, b Item) bool {
	if x, y := a.arrived.Add(a.patience()), b.arrived.Add(b.patience()); !x.Equal(y) {
		return x.Before(y)
	}
	return byRank(a, b)
}

// byRank orders the queue by rank. Among ranks that differ only in their hash,
// deeper calls go first, since more work is already spent on them.
func byRank(a, b Item) bool {
	if a.Rank>>hashBits != b.Rank>>hashBits {
		return a.Rank>>hashBits > b.Rank>>hashBits
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	return a.sequence < b.sequence
}

// SetSlots notes the slots that the worker announces now.
func (g *Queue) SetSlots(slots int) {
	g.cfg.Slots = slots
	g.limit.SetSlots(slots)
}

// Limit returns how many calls may run at once now.
func (g *Queue) Limit() int {
	if g.cfg.FixedLimit {
		return max(int(fullShare*float64(g.cfg.Slots)), 1)
	}
	return g.limit.Value()
}

// Running returns how many calls the worker runs.
func (g *Queue) Running() int {
	return len(g.running)
}

// Waiting returns how many calls wait.
func (g *Queue) Waiting() int {
	return len(g.waiting)
}

// Threshold returns the lowest rank that is admitted now.
func (g *Queue) Threshold() zinniayoke.Rank {
	return g.threshold.Value()
}

// Arrive takes in an attempt. Exactly one of three things follows: it starts,
// it waits, or it is refused; another one may be refused in its place.
func (g *Queue) Arrive(now time.Time, item Item) Result {
	var res Result
	g.sequence++
	item.sequence = g.sequence
	item.arrived = now
	g.threshold.CountArrival(now, item.Rank)
	if g.hopeless(now, item) {
		res.Refused = append(res.Refused, Refusal{Item: item, Reason: zinniayoke.ReasonDeadline})
		return res
	}
	if g.outlasts(item) {
		g.threshold.CountShed(now)
		res.Refused = append(res.Refused, Refusal{Item: item, Reason: zinniayoke.ReasonShed})
		return res
	}
	g.push(item)
	g.start(now, &res)
	for len(g.waiting) > g.queueBound() {
		last, _ := g.queue.DeleteMax()
		delete(g.waiting, last.ID)
		g.threshold.CountShed(now)
		res.Refused = append(res.Refused, Refusal{Item: last, Reason: zinniayoke.ReasonShed})
	}
	return res
}

// Finish notes that the worker has ended a call after the given time, of which
// the calls of its children are not a part, and starts what waits.
func (g *Queue) Finish(now time.Time, id zinniayoke.AttemptID, took time.Duration) Result {
	var res Result
	item, ok := g.running[id]
	if !ok {
		return res
	}
	g.limit.Observe(now, item.started, took, len(g.running), len(g.waiting) > 0)
	delete(g.running, id)
	g.learn(item.Route, took)
	g.start(now, &res)
	return res
}

// Remove removes a waiting attempt that nobody waits for any more and reports
// whether it was waiting.
func (g *Queue) Remove(id zinniayoke.AttemptID) bool {
	item, ok := g.waiting[id]
	if !ok {
		return false
	}
	delete(g.waiting, id)
	g.queue.Delete(item)
	return true
}

// Tick refuses what has waited too long or cannot finish any more, and moves
// the threshold. Behind a call that has waited too long, those of lower classes
// are refused as well, as they would wait still longer.
func (g *Queue) Tick(now time.Time) Result {
	var res Result
	var late []Item
	bar := zinniayoke.Rank(0)
	g.queue.Ascend(func(item Item) bool {
		waited := now.Sub(item.arrived) > item.patience()
		if waited && !g.cfg.ByWaitDeadline {
			bar = max(bar, zyrank.LowestInClass(item.Rank))
		}
		if waited || g.hopeless(now, item) || item.Rank < bar {
			late = append(late, item)
		}
		return true
	})
	slices.Reverse(late)
	for _, item := range late {
		g.refuseLate(now, item, &res)
	}
	g.start(now, &res)
	g.threshold.Tick(now)
	return res
}

func (i Item) patience() time.Duration {
	if i.MaxWait > 0 {
		return i.MaxWait
	}
	return longestWait
}

func (g *Queue) refuseLate(now time.Time, item Item, res *Result) {
	g.Remove(item.ID)
	reason := zinniayoke.ReasonShed
	if g.hopeless(now, item) {
		reason = zinniayoke.ReasonDeadline
	}
	g.threshold.CountShed(now)
	res.Refused = append(res.Refused, Refusal{Item: item, Reason: reason})
}

func (g *Queue) push(item Item) {
	g.waiting[item.ID] = item
	g.queue.ReplaceOrInsert(item)
}

// start moves items from the queue to the worker, in order, while it has room.
func (g *Queue) start(now time.Time, res *Result) {
	limit := g.Limit()
	defer func() { g.threshold.SetUtilization(now, min(float64(len(g.running))/float64(limit), 1)) }()
	for len(g.running) < limit {
		item, ok := g.queue.DeleteMin()
		if !ok {
			return
		}
		delete(g.waiting, item.ID)
		if g.hopeless(now, item) {
			res.Refused = append(res.Refused, Refusal{Item: item, Reason: zinniayoke.ReasonDeadline})
			continue
		}
		g.threshold.ObserveWait(now.Sub(item.arrived))
		item.started = now
		g.running[item.ID] = item
		res.Started = append(res.Started, item)
	}
}

// outlasts reports whether the queue before a root call is longer than its
// patience. A call that would be refused in the end is refused at once.
func (g *Queue) outlasts(item Item) bool {
	if item.MaxWait == 0 || item.Depth > 0 || len(g.running) < g.Limit() {
		return false
	}
	ahead := 0
	g.queue.AscendLessThan(item, func(Item) bool {
		ahead++
		return true
	})
	return time.Duration(ahead+1)*g.mean/time.Duration(g.Limit()) > item.MaxWait
}

func (g *Queue) queueBound() int {
	return min(max(g.Limit()*max(g.cfg.QueuePerSlot, queuePerSlot), shortestQueue), longestQueue)
}

// hopeless reports whether the item cannot be answered before its deadline.
func (g *Queue) hopeless(now time.Time, item Item) bool {
	return now.Add(g.service[item.Route] / 2).After(item.Deadline)
}

// learn averages how long calls of a route take at this worker.
func (g *Queue) learn(route zinniayoke.RouteName, took time.Duration) {
	g.mean += time.Duration(serviceWeight * float64(took-g.mean))
	old, ok := g.service[route]
	if !ok {
		g.service[route] = took
		return
	}
	g.service[route] = old + time.Duration(serviceWeight*float64(took-old))
}
