package zyexperiment

import (
	"fmt"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zythreshold"
)

// simRequest is one request of a caller, the first of a root call or a retry, with
// all attempts that it causes down the chain.
type simRequest struct {
	rootCall      *rootCall
	deadline      time.Time
	rank          zinniayoke.Rank
	attemptBudget zinniayoke.Tokens
	budget        *zyattempt.Budget
	cancelled     bool
	// workerTime is the worker time spent on this request at all hops.
	workerTime   time.Duration
	attemptsSent int
}

// simHost is one host: a worker with its own slots and queue, and a node that runs
// the real state machines.
type simHost struct {
	sim            *simulation
	depth          int
	domain         int
	id             zinniayoke.NodeID
	service        zinniayoke.Service
	locality       zinniayoke.Locality
	thresholds     *zythreshold.Tracker
	picker         *zybalancer.Picker
	shares         *zyrank.Shares
	retryBudgets   *zyattempt.CallerRetryBudgets
	admissionQueue *zyadmission.Queue

	down       bool
	started    time.Time
	attemptSeq int
	// incarnation increases with each crash and restart, so that pending events of
	// an earlier incarnation are ignored.
	incarnation int
	busySlots   int
	// slotWaiters are delivered attempts that wait for a slot of the worker.
	slotWaiters []func()
	// attempts holds all unfinished attempts at this host. fifoQueue is the queue of
	// the policy FixedLimit, delivered the number of attempts that the worker has.
	attempts  map[zinniayoke.AttemptID]*simAttempt
	fifoQueue []*simAttempt
	delivered int
}

// simAttempt is an attempt at one host.
type simAttempt struct {
	call    *simRequest
	id      zinniayoke.AttemptID
	budget  *zyattempt.Budget
	respond func(simReply)
	depth   int
	// childThreshold is the highest threshold of the hops below.
	childThreshold zinniayoke.Rank
	// deliveredAt is when the worker got the attempt; zero means that it waits.
	// childTime is the part of the time since then that the child call took.
	deliveredAt time.Time
	childTime   time.Duration
}

// simReply is the result of an attempt, with what a node reports in its reply.
type simReply struct {
	ok           bool
	shed         bool
	unusedBudget zinniayoke.Tokens
	threshold    zinniayoke.Rank
	load         int
}

func newSimHost(sim *simulation, depth, domain int) *simHost {
	regions := []zinniayoke.Region{"east", "east", "west", "west"}
	h := &simHost{
		sim: sim, depth: depth, domain: domain,
		id:       zinniayoke.NodeID(fmt.Sprintf("d%d-s%d/1", domain, depth)),
		service:  zinniayoke.Service(fmt.Sprintf("s%d", depth)),
		locality: zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprintf("d%d", domain)), Region: regions[domain]},
		shares:   zyrank.NewShares(), retryBudgets: zyattempt.NewCallerRetryBudgets(),
	}
	h.reset(startTime.Add(-time.Hour))
	return h
}

func (h *simHost) slots() int {
	if h.depth == h.sim.scenario.Depth-1 {
		return h.sim.scenario.BottleneckSlots
	}
	return h.sim.scenario.Slots
}

func (h *simHost) announcedSlots() int {
	slots := float64(h.slots())
	if factor := h.sim.scenario.AnnouncedFactor; factor > 0 {
		slots *= factor
	}
	return max(int(slots), 1)
}

func (h *simHost) reset(started time.Time) {
	h.started = started
	h.incarnation++
	h.busySlots, h.delivered = 0, 0
	h.slotWaiters, h.fifoQueue = nil, nil
	h.attempts = make(map[zinniayoke.AttemptID]*simAttempt)
	h.admissionQueue = zyadmission.NewQueue(zyadmission.Config{
		Slots: h.announcedSlots(), FixedLimit: h.sim.policy == FixedSlots,
	})
}

func (h *simHost) crash() {
	h.down = true
	for _, a := range h.attempts {
		a.respond(simReply{})
	}
	h.reset(h.sim.clock.now)
}

func (h *simHost) restart() {
	h.down = false
	h.reset(h.sim.clock.now)
}

func (h *simHost) upstream() zinniayoke.Upstream {
	return zinniayoke.Upstream{
		Node: h.id, Locality: h.locality, Service: h.service, Slots: h.announcedSlots(), State: zinniayoke.WorkerServing,
	}
}

func (h *simHost) tick() bool {
	if h.sim.policy >= Full && !h.down {
		h.applyResult(h.admissionQueue.Tick(h.sim.clock.now))
	}
	return true
}

func (h *simHost) route() zinniayoke.RouteName {
	return zinniayoke.RouteName(h.service)
}

// handleRootCall handles a root call at its entry node.
func (h *simHost) handleRootCall(c *simRequest, finish func(bool)) {
	first := h.sim.hostsByDepth[0][0].route()
	shedsAtEntry := h.sim.policy == Full || h.sim.policy == FixedSlots
	if shedsAtEntry && !h.thresholds.Admit(h.sim.clock.now, first, c.rank) {
		finish(false)
		return
	}
	h.send(c, 0, c.budget, func(r simReply) { finish(r.ok) })
}

// send makes attempts at the service of the given depth until one succeeds or the
// policy allows no retry.
func (h *simHost) send(c *simRequest, depth int, budget *zyattempt.Budget, done func(simReply)) {
	var excluded []zinniayoke.NodeID
	tries := 0
	var sendNext func()
	sendNext = func() {
		tries++
		target, ok := h.pick(c, depth, excluded)
		if !ok {
			done(simReply{shed: true})
			return
		}
		calls := zinniayoke.Tokens(h.sim.scenario.Depth - 1 - depth)
		share, granted := budget.StartSend(calls)
		if h.sim.policy >= Full && !granted {
			done(simReply{})
			return
		}
		excluded = append(excluded, target.id)
		c.attemptsSent++
		h.sendAttempt(c, target, share, func(reply simReply) {
			budget.Refund(reply.unusedBudget)
			if reply.ok {
				h.retryBudgets.RecordSuccess(h.callerClass(c), retryRatio)
			}
			if reply.ok || c.cancelled || !h.shouldRetry(c, depth, excluded, tries, reply) {
				done(reply)
				return
			}
			sendNext()
		})
	}
	sendNext()
}

func (h *simHost) callerClass(c *simRequest) zyattempt.CallerClass {
	return zyattempt.CallerClass{Class: zinniayoke.ClassName(c.rootCall.workload.Class)}
}

func (h *simHost) shouldRetry(c *simRequest, depth int, excluded []zinniayoke.NodeID, tries int, reply simReply) bool {
	switch h.sim.policy {
	case PassThrough:
		return false
	case FixedLimit:
		return tries <= fixedLimitRetries
	default:
		_, ok := h.pick(c, depth, excluded)
		return ok && reply.shed && h.retryBudgets.Spend(h.callerClass(c))
	}
}

func (h *simHost) pick(c *simRequest, depth int, excluded []zinniayoke.NodeID) (*simHost, bool) {
	service := h.sim.hostsByDepth[depth]
	if h.sim.policy < Full {
		target := service[h.sim.random.IntN(len(service))]
		return target, true
	}
	u, ok := h.picker.Pick(h.sim.clock.now, service[0].service, c.rank, excluded)
	if !ok {
		return nil, false
	}
	i := slices.IndexFunc(service, func(s *simHost) bool { return s.id == u.Node })
	return service[i], true
}

func (h *simHost) oneWayDelay(to *simHost) time.Duration {
	switch {
	case h.domain == to.domain:
		return sameDomainDelay
	case h.locality.Region == to.locality.Region:
		return sameRegionDelay
	}
	return crossRegionDelay
}

// sendAttempt carries an attempt to its host, and the reply back, with the network
// delay of each direction.
func (h *simHost) sendAttempt(c *simRequest, to *simHost, share zinniayoke.Tokens, done func(simReply)) {
	sentAt := h.sim.clock.now
	h.picker.Start(sentAt, to.id)
	h.attemptSeq++
	a := &simAttempt{
		call: c, depth: to.depth, budget: zyattempt.NewBudget(share, share),
		id: zinniayoke.AttemptID(fmt.Sprintf("%s-%d", h.id, h.attemptSeq)),
	}
	replied := false
	a.respond = func(r simReply) {
		if replied {
			return
		}
		replied = true
		r.unusedBudget = a.budget.Close()
		r.threshold = max(to.admissionQueue.Threshold(), a.childThreshold)
		r.load = (to.delivered + len(to.fifoQueue) + to.admissionQueue.Waiting()) * 100 / max(to.admissionQueue.Limit(), 1)
		h.sim.clock.after(h.oneWayDelay(to), func() {
			h.observeReply(to, sentAt, r)
			done(r)
		})
	}
	h.sim.clock.after(h.oneWayDelay(to), func() { to.receive(a) })
}

// observeReply updates the picker and the entry thresholds from a reply.
func (h *simHost) observeReply(to *simHost, sentAt time.Time, r simReply) {
	now := h.sim.clock.now
	outcome := zinniayoke.OutcomeUnknown
	if r.ok {
		outcome = zinniayoke.OutcomeDone
	}
	if r.shed {
		outcome = zinniayoke.OutcomeNotRun
	}
	h.picker.Replied(now, to.id, now.Sub(sentAt), &zinniayoke.Reply{Outcome: outcome, Threshold: r.threshold, Load: r.load})
	h.thresholds.Update(now, to.route(), to.id, r.threshold)
}

// receive admits, queues or refuses an attempt, as the policy decides.
func (h *simHost) receive(a *simAttempt) {
	if h.down {
		a.respond(simReply{shed: true})
		return
	}
	h.attempts[a.id] = a
	switch h.sim.policy {
	case PassThrough:
		h.deliver(a)
	case FixedLimit:
		h.fifoQueue = append(h.fifoQueue, a)
		h.serveFIFO()
	default:
		h.applyResult(h.admissionQueue.Arrive(h.sim.clock.now, zyadmission.Item{
			ID: a.id, Route: h.route(), Rank: a.call.rank, Depth: h.depth, Deadline: a.call.deadline,
		}))
	}
}

// serveFIFO delivers queued attempts up to the fixed limit, and sheds the newest of
// the rest while the queue is longer than the announced slots.
func (h *simHost) serveFIFO() {
	for len(h.fifoQueue) > 0 && h.delivered < h.announcedSlots() {
		a := h.fifoQueue[0]
		h.fifoQueue = h.fifoQueue[1:]
		h.deliver(a)
	}
	for len(h.fifoQueue) > h.announcedSlots() {
		last := h.fifoQueue[len(h.fifoQueue)-1]
		h.fifoQueue = h.fifoQueue[:len(h.fifoQueue)-1]
		h.sim.stats.recordShed(last, h.fifoQueue)
		delete(h.attempts, last.id)
		last.respond(simReply{shed: true})
	}
}

func (h *simHost) applyResult(res zyadmission.Result) {
	for _, item := range res.Started {
		if a, ok := h.attempts[item.ID]; ok {
			h.deliver(a)
		}
	}
	for _, refusal := range res.Refused {
		if a, ok := h.attempts[refusal.Item.ID]; ok {
			delete(h.attempts, a.id)
			if refusal.Reason == zinniayoke.ReasonShed {
				h.sim.stats.recordShed(a, h.undelivered())
			}
			a.respond(simReply{shed: true})
		}
	}
}

// undelivered returns the attempts that wait in the admission queue.
func (h *simHost) undelivered() []*simAttempt {
	var list []*simAttempt
	for _, a := range h.attempts {
		if a.deliveredAt.IsZero() {
			list = append(list, a)
		}
	}
	return list
}

// deliver passes an attempt to the worker, in which it may still wait for a slot.
func (h *simHost) deliver(a *simAttempt) {
	h.delivered++
	a.deliveredAt = h.sim.clock.now
	incarnation := h.incarnation
	h.acquireSlot(func() {
		if incarnation == h.incarnation {
			h.execute(a, incarnation)
		}
	})
}

func (h *simHost) acquireSlot(f func()) {
	if h.busySlots < h.slots() {
		h.busySlots++
		f()
		return
	}
	h.slotWaiters = append(h.slotWaiters, f)
}

func (h *simHost) releaseSlot() {
	if len(h.slotWaiters) == 0 {
		h.busySlots--
		return
	}
	next := h.slotWaiters[0]
	h.slotWaiters = h.slotWaiters[1:]
	next()
}

// execute occupies the slot for the worker's service time, then makes the child call
// while it holds the slot.
func (h *simHost) execute(a *simAttempt, incarnation int) {
	if a.call.cancelled {
		h.finish(a, incarnation, simReply{})
		return
	}
	workTime := h.serviceTime()
	a.call.workerTime += workTime
	h.sim.clock.after(workTime, func() {
		if incarnation != h.incarnation {
			return
		}
		if h.depth == h.sim.scenario.Depth-1 || a.call.cancelled {
			h.finish(a, incarnation, simReply{ok: !a.call.cancelled})
			return
		}
		childSentAt := h.sim.clock.now
		h.send(a.call, h.depth+1, h.childBudget(a), func(r simReply) {
			a.childTime = h.sim.clock.now.Sub(childSentAt)
			a.childThreshold = h.thresholds.Threshold(h.sim.clock.now, h.sim.hostsByDepth[h.depth+1][0].route())
			h.finish(a, incarnation, simReply{ok: r.ok})
		})
	})
}

// childBudget returns the attempt budget for the child call. A worker makes only one,
// which may use the whole budget of its parent attempt.
func (h *simHost) childBudget(a *simAttempt) *zyattempt.Budget {
	return a.budget
}

func (h *simHost) finish(a *simAttempt, incarnation int, reply simReply) {
	if incarnation != h.incarnation {
		return
	}
	h.delivered--
	h.releaseSlot()
	delete(h.attempts, a.id)
	if h.sim.policy >= Full {
		ownTime := h.sim.clock.now.Sub(a.deliveredAt) - a.childTime
		h.applyResult(h.admissionQueue.Finish(h.sim.clock.now, a.id, ownTime))
	}
	a.respond(reply)
	if h.sim.policy == FixedLimit {
		h.serveFIFO()
	}
}

// serviceTime draws the worker's own time for one call. It grows with
// BottleneckSlowdown in the stress phase, after a cold start, and when the calls
// inside the worker exceed 1.5 times its slots.
func (h *simHost) serviceTime() time.Duration {
	const low, spread, contentionPoint = 0.8, 0.4, 1.5
	base := hopServiceTime
	factor := low + spread*h.sim.random.Float64()
	if h.depth == h.sim.scenario.Depth-1 {
		base = bottleneckServiceTime
		if slow := h.sim.scenario.BottleneckSlowdown; slow > 1 && h.sim.inStressPhase() {
			factor *= slow
		}
	}
	if age := h.sim.clock.now.Sub(h.started); age < warmupTime {
		factor *= 1 + (coldSlowdown-1)*(1-age.Seconds()/warmupTime.Seconds())
	}
	contention := float64(h.busySlots+len(h.slotWaiters)) / (contentionPoint * float64(h.slots()))
	if contention > 1 {
		factor *= min(contention, coldSlowdown)
	}
	return time.Duration(float64(base) * factor)
}
