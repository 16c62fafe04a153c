package zyadmission

import (
	"slices"
	"time"

	"github.com/google/btree"

	"zinniayoke"
	"zinniayoke/core/zyfairshare"
	"zinniayoke/core/zyrank"
)

// Item is an attempt to be admitted.
type Item struct {
	ID       zinniayoke.AttemptID
	Route    zinniayoke.RouteName
	Rank     zinniayoke.Rank
	Depth    int
	Deadline time.Time
	// MaxWait limits how long the item may wait; 0 means the default of 100 ms.
	MaxWait time.Duration
	// Customer is the zero value in bundles without customers.
	Customer zyfairshare.Customer
	arrived  time.Time
	started  time.Time
	sequence uint64
	// place orders the item among the waiting ones.
	place place
}

// Refusal is an item that was refused, and the reason.
type Refusal struct {
	Item   Item
	Reason zinniayoke.Reason
}

// Result lists the items that an operation of a Queue has started or refused.
// Items in neither list keep waiting.
type Result struct {
	Started []Item
	Refused []Refusal
}

// Config configures a Queue.
type Config struct {
	// Slots is the announced number of calls that the worker runs concurrently.
	Slots int
	// FixedLimit keeps the concurrency limit slightly below the announced slots
	// instead of adapting it.
	FixedLimit bool
	// QueuePerSlot is the maximum number of waiting calls per unit of the
	// concurrency limit; 0 means 1.
	QueuePerSlot int
	// ByWaitDeadline orders the queue by the time at which each item reaches its
	// maximum wait, instead of by rank.
	ByWaitDeadline bool
}

const (
	// fixedLimitShare is the share of the announced slots that a fixed limit uses.
	// Some workers of the platform take a third longer per call once the last
	// twentieth of their slots is in use, which costs more throughput than those
	// slots add.
	fixedLimitShare     = 0.94
	defaultQueuePerSlot = 1
	minQueueLength      = 4
	maxQueueLength      = 512
	defaultMaxWait      = 100 * time.Millisecond
	btreeDegree         = 16
	hashBits            = 16
	serviceTimeWeight   = 0.1
	// serviceTimeTTL is how long the service time of a route is valid. Calls are refused by
	// it, and only calls that run correct it.
	serviceTimeTTL = 2 * time.Second
)

// routeTime is the average service time of a route, as of its last call.
type routeTime struct {
	mean       time.Duration
	observedAt time.Time
}

// Queue is the admission queue of one worker. It starts, queues or refuses each
// attempt. It is not safe for concurrent use. A Queue must be created with
// NewQueue.
type Queue struct {
	cfg       Config
	limit     *Limit
	threshold *Threshold
	running   map[zinniayoke.AttemptID]Item
	waiting   map[zinniayoke.AttemptID]Item
	tree      *btree.BTreeG[Item]
	// less is the order of the tree.
	less func(a, b place) bool
	// fair holds those waiting items that have a customer.
	fair         fairQueue
	sequence     uint64
	serviceTimes map[zinniayoke.RouteName]routeTime
	// meanServiceTime is the average over the calls of all routes.
	meanServiceTime time.Duration
	// deliveries measures the calls that start.
	deliveries rateMeter
	// rateLimit is nil while the worker accepts calls at any rate.
	rateLimit *rateLimit
}

// NewQueue returns a queue without running or waiting attempts.
func NewQueue(cfg Config) *Queue {
	order := lessByRank
	if cfg.ByWaitDeadline {
		order = lessByWaitDeadline
	}
	return &Queue{
		cfg:          cfg,
		limit:        NewLimit(cfg.Slots),
		threshold:    NewThreshold(),
		running:      make(map[zinniayoke.AttemptID]Item),
		waiting:      make(map[zinniayoke.AttemptID]Item),
		tree:         btree.NewG(btreeDegree, func(a, b Item) bool { return order(a.place, b.place) }),
		less:         order,
		serviceTimes: make(map[zinniayoke.RouteName]routeTime),
	}
}

// lessByWaitDeadline orders items by the time at which they reach the part of their
// maximum wait that their importance leaves them. A worker's call, which may wait long,
// is overtaken by short calls of callers and by calls of more important requests, but
// only for a bounded time. The first item starts next; the last one is refused first.
// Bundles with customers change this among the items of a class.
func lessByWaitDeadline(a, b place) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return lessByRank(a, b)
}

// The calls of workers for the most important requests are ordered as if they could wait
// firstStep parts in importanceSteps of their maximum wait, and those of each step of
// importance below one part more. With firstStep 1 they would overtake the reads of
// callers, which need one call each and not eight.
const (
	firstStep       = 2
	importanceSteps = 4
)

// orderedWait returns the wait by which the item is ordered.
func (i Item) orderedWait() time.Duration {
	wait := i.effectiveMaxWait()
	if i.Depth == 0 {
		return wait
	}
	step := min(zyrank.StepsBelowHighest(i.Rank)+firstStep, importanceSteps)
	return wait * time.Duration(step) / importanceSteps
}

// ownPlace returns the place of an item in the order of arrival.
func (q *Queue) ownPlace(i *Item) place {
	p := place{rank: i.Rank, depth: i.Depth, sequence: i.sequence}
	if q.cfg.ByWaitDeadline {
		p.due = i.arrived.Add(i.orderedWait())
	}
	return p
}

// lessByRank orders items by descending rank. Among ranks that differ only in
// their hash, deeper calls go first, because more work has been spent on them.
func lessByRank(a, b place) bool {
	if a.rank>>hashBits != b.rank>>hashBits {
		return a.rank>>hashBits > b.rank>>hashBits
	}
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	return a.sequence < b.sequence
}

// SetSlots sets the number of slots that the worker announces.
func (q *Queue) SetSlots(slots int) {
	q.cfg.Slots = slots
	q.limit.SetSlots(slots)
}

// SetRateLimit limits the calls that start to the rate that the worker accepts, and starts
// waiting calls if the rate allows them. The limit nil accepts any rate.
func (q *Queue) SetRateLimit(now time.Time, limit *zinniayoke.Rate) Result {
	switch {
	case limit == nil:
		q.rateLimit = nil
	case q.rateLimit == nil:
		q.rateLimit = newRateLimit(now, *limit)
	default:
		q.rateLimit.Set(now, *limit)
	}
	var res Result
	q.startWaiting(now, &res)
	return res
}

// Limit returns the current concurrency limit.
func (q *Queue) Limit() int {
	if q.cfg.FixedLimit {
		return max(int(fixedLimitShare*float64(q.cfg.Slots)), 1)
	}
	return q.limit.Value()
}

// Running returns the number of running calls.
func (q *Queue) Running() int {
	return len(q.running)
}

// Waiting returns the number of waiting calls.
func (q *Queue) Waiting() int {
	return len(q.waiting)
}

// DeliveryRate returns how many calls per second have started lately.
func (q *Queue) DeliveryRate(now time.Time) zinniayoke.Rate {
	return q.deliveries.Rate(now)
}

// Utilization returns the share of the worker's capacity that is in use, at most 1.
func (q *Queue) Utilization(now time.Time) float64 {
	slots := min(float64(len(q.running))/float64(q.Limit()), 1)
	return max(slots, q.rateLimit.Utilization(q.deliveries.Rate(now)))
}

// Load returns the share of the worker's capacity that is in use, and more than 1 the
// longer calls have to wait.
func (q *Queue) Load(now time.Time) float64 {
	slots := float64(len(q.running)+len(q.waiting)) / float64(q.Limit())
	if q.rateLimit == nil || len(q.waiting) == 0 {
		return max(slots, q.Utilization(now))
	}
	return max(slots, 1+float64(q.rateLimit.Wait(now, len(q.waiting)))/float64(waitPerLoad))
}

// Threshold returns the lowest rank that is currently admitted.
func (q *Queue) Threshold() zinniayoke.Rank {
	return q.threshold.Value()
}

// Arrive adds an attempt, which then either starts, waits or is refused. If the
// queue is full, it may displace a waiting attempt, which is refused instead.
func (q *Queue) Arrive(now time.Time, item Item) Result {
	var res Result
	q.sequence++
	item.sequence = q.sequence
	item.arrived = now
	item.place = q.ownPlace(&item)
	q.threshold.CountArrival(now, item.Rank)
	if q.missesDeadline(now, item) {
		res.Refused = append(res.Refused, Refusal{Item: item, Reason: zinniayoke.ReasonDeadline})
		return res
	}
	if q.exceedsMaxWait(now, item) {
		q.threshold.CountShed(now)
		res.Refused = append(res.Refused, Refusal{Item: item, Reason: zinniayoke.ReasonShed})
		return res
	}
	q.enqueue(now, item)
	q.startWaiting(now, &res)
	for len(q.waiting) > q.maxLength() {
		q.threshold.CountShed(now)
		res.Refused = append(res.Refused, Refusal{Item: q.takeOverflow(), Reason: zinniayoke.ReasonShed})
	}
	return res
}

// Finish records the end of a running call and starts waiting calls. The service
// time excludes the time that the call spent waiting for its child calls.
func (q *Queue) Finish(now time.Time, id zinniayoke.AttemptID, serviceTime time.Duration) Result {
	var res Result
	item, ok := q.running[id]
	if !ok {
		return res
	}
	// Calls that wait for the rate limit do not show that the worker is saturated.
	q.limit.Observe(now, item.started, serviceTime, len(q.running), len(q.waiting) > 0 && q.rateLimit.Allows(now))
	delete(q.running, id)
	// What goes beyond the deadline is a standstill of this node, not the service time.
	q.updateServiceTime(now, item.Route, min(serviceTime, item.Deadline.Sub(item.started)))
	q.startWaiting(now, &res)
	return res
}

// Withdraw removes a started call that was not delivered to the worker after all, and
// starts waiting calls. It says nothing about service times.
func (q *Queue) Withdraw(now time.Time, id zinniayoke.AttemptID) Result {
	var res Result
	delete(q.running, id)
	q.startWaiting(now, &res)
	return res
}

// Remove removes an abandoned attempt from the queue and reports whether it was
// waiting.
func (q *Queue) Remove(id zinniayoke.AttemptID) bool {
	item, ok := q.waiting[id]
	if !ok {
		return false
	}
	delete(q.waiting, id)
	q.tree.Delete(item)
	if item.Customer.Weight > 0 {
		q.fair.remove(q.classOf(&item), &item)
	}
	return true
}

// Tick refuses the calls that have reached their maximum wait or can no longer
// meet their deadline, starts waiting calls, and updates the threshold. When
// ordered by rank, a call that has waited too long also causes the calls of lower
// classes behind it to be refused, because they would wait even longer.
func (q *Queue) Tick(now time.Time) Result {
	var res Result
	var expired []Item
	floor := zinniayoke.Rank(0)
	q.tree.Ascend(func(item Item) bool {
		overdue := now.Sub(item.arrived) > item.effectiveMaxWait()
		if overdue && !q.cfg.ByWaitDeadline {
			floor = max(floor, zyrank.LowestInClass(item.Rank))
		}
		if overdue || q.missesDeadline(now, item) || item.Rank < floor {
			expired = append(expired, item)
		}
		return true
	})
	slices.Reverse(expired)
	for _, item := range expired {
		q.refuseExpired(now, item, &res)
	}
	q.startWaiting(now, &res)
	q.threshold.Tick(now)
	return res
}

func (i Item) effectiveMaxWait() time.Duration {
	if i.MaxWait > 0 {
		return i.MaxWait
	}
	return defaultMaxWait
}

func (q *Queue) refuseExpired(now time.Time, item Item, res *Result) {
	q.Remove(item.ID)
	reason := zinniayoke.ReasonShed
	if q.missesDeadline(now, item) {
		reason = zinniayoke.ReasonDeadline
	}
	q.threshold.CountShed(now)
	res.Refused = append(res.Refused, Refusal{Item: item, Reason: reason})
}

func (q *Queue) enqueue(now time.Time, item Item) {
	// An item that starts at once needs no fair order.
	startsNow := len(q.waiting) == 0 && len(q.running) < q.Limit() && q.rateLimit.Allows(now)
	q.waiting[item.ID] = item
	q.tree.ReplaceOrInsert(item)
	if item.Customer.Weight > 0 && !startsNow {
		q.fair.add(q.classOf(&item), &item, q.less)
	}
}

// startWaiting starts waiting items in order while the concurrency limit and the rate
// limit allow it. It refuses items that would miss their deadline.
func (q *Queue) startWaiting(now time.Time, res *Result) {
	limit := q.Limit()
	defer func() { q.threshold.SetUtilization(now, q.Utilization(now)) }()
	for len(q.running) < limit && q.rateLimit.Allows(now) {
		item, ok := q.takeFirst(now)
		if !ok {
			return
		}
		if q.missesDeadline(now, item) {
			res.Refused = append(res.Refused, Refusal{Item: item, Reason: zinniayoke.ReasonDeadline})
			continue
		}
		q.threshold.ObserveWait(now.Sub(item.arrived))
		item.started = now
		q.deliveries.Add(now)
		q.rateLimit.Take(now)
		q.running[item.ID] = item
		res.Started = append(res.Started, item)
	}
}

// exceedsMaxWait reports whether the expected wait of a call exceeds its maximum wait.
// Such a call would be refused in the end, so it is refused on arrival. Service times
// vary, so the calls of workers are refused only for a rate limit.
func (q *Queue) exceedsMaxWait(now time.Time, item Item) bool {
	full := len(q.running) >= q.Limit() && item.Depth == 0
	if item.MaxWait == 0 || !full && q.rateLimit == nil {
		return false
	}
	ahead := q.countAhead(&item)
	wait := q.rateLimit.Wait(now, ahead+1)
	if full {
		wait = max(wait, time.Duration(ahead+1)*q.meanServiceTime/time.Duration(q.Limit()))
	}
	return wait > item.MaxWait
}

func (q *Queue) maxLength() int {
	return min(max(q.Limit()*max(q.cfg.QueuePerSlot, defaultQueuePerSlot), minQueueLength), maxQueueLength)
}

// missesDeadline reports whether less than half the average service time of the
// route is left before the deadline of the item.
func (q *Queue) missesDeadline(now time.Time, item Item) bool {
	expected := q.serviceTimes[item.Route]
	if now.Sub(expected.observedAt) > serviceTimeTTL {
		return now.After(item.Deadline)
	}
	return now.Add(expected.mean / 2).After(item.Deadline)
}

// updateServiceTime updates the moving averages of the service time at this
// worker, of all calls and of the route.
func (q *Queue) updateServiceTime(now time.Time, route zinniayoke.RouteName, serviceTime time.Duration) {
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-q.meanServiceTime))
	mean := serviceTime
	if old := q.serviceTimes[route]; now.Sub(old.observedAt) <= serviceTimeTTL {
		mean = old.mean + time.Duration(serviceTimeWeight*float64(serviceTime-old.mean))
	}
	q.serviceTimes[route] = routeTime{mean: mean, observedAt: now}
}
