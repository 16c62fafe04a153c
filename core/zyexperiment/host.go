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

// simCall is one send of a root call on its way through the chain.
type simCall struct {
	root      *root
	deadline  time.Time
	rank      zinniayoke.Rank
	attempts  zinniayoke.Tokens
	pool      *zyattempt.Budget
	cancelled bool
	// work is the worker time spent for this send at all hops.
	work  time.Duration
	sends int
}

// simHost is one host: a worker with slots and a queue of its own, and the
// state machines of its node.
type simHost struct {
	run     *run
	depth   int
	domain  int
	id      zinniayoke.NodeID
	service zinniayoke.Service
	place   zinniayoke.Locality
	door    *zythreshold.Tracker
	picker  *zybalancer.Picker
	shares  *zyrank.Shares
	budgets *zyattempt.CallerRetryBudgets
	gate    *zyadmission.Queue

	down    bool
	started time.Time
	serial  int
	epoch   int
	busy    int
	backlog []func()
	items   map[zinniayoke.AttemptID]*simAttempt
	fifo    []*simAttempt
	running int
}

// simAttempt is an attempt at one host.
type simAttempt struct {
	call  *simCall
	id    zinniayoke.AttemptID
	pool  *zyattempt.Budget
	reply func(simReply)
	depth int
	// child is the highest threshold of the hops below.
	child zinniayoke.Rank
	// own is the time at the worker without child calls.
	began time.Time
	below time.Duration
}

// simReply is how an attempt ended.
type simReply struct {
	ok        bool
	shed      bool
	unused    zinniayoke.Tokens
	threshold zinniayoke.Rank
	load      int
}

func newSimHost(r *run, depth, domain int) *simHost {
	regions := []zinniayoke.Region{"east", "east", "west", "west"}
	h := &simHost{
		run: r, depth: depth, domain: domain,
		id:      zinniayoke.NodeID(fmt.Sprintf("d%d-s%d/1", domain, depth)),
		service: zinniayoke.Service(fmt.Sprintf("s%d", depth)),
		place:   zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprintf("d%d", domain)), Region: regions[domain]},
		shares:  zyrank.NewShares(), budgets: zyattempt.NewCallerRetryBudgets(),
	}
	h.reset(start.Add(-time.Hour))
	return h
}

func (h *simHost) slots() int {
	if h.depth == h.run.scenario.Depth-1 {
		return h.run.scenario.BottleneckSlots
	}
	return h.run.scenario.Slots
}

func (h *simHost) announced() int {
	slots := float64(h.slots())
	if lie := h.run.scenario.AnnouncedFactor; lie > 0 {
		slots *= lie
	}
	return max(int(slots), 1)
}

func (h *simHost) reset(started time.Time) {
	h.started = started
	h.epoch++
	h.busy, h.running = 0, 0
	h.backlog, h.fifo = nil, nil
	h.items = make(map[zinniayoke.AttemptID]*simAttempt)
	h.gate = zyadmission.NewQueue(zyadmission.Config{
		Slots: h.announced(), FixedLimit: h.run.policy == FixedSlots,
	})
}

func (h *simHost) crash() {
	h.down = true
	for _, a := range h.items {
		a.reply(simReply{})
	}
	h.reset(h.run.clock.now)
}

func (h *simHost) restart() {
	h.down = false
	h.reset(h.run.clock.now)
}

func (h *simHost) upstream() zinniayoke.Upstream {
	return zinniayoke.Upstream{
		Node: h.id, Locality: h.place, Service: h.service, Slots: h.announced(), State: zinniayoke.WorkerServing,
	}
}

func (h *simHost) tick() bool {
	if h.run.policy >= Full && !h.down {
		h.carryOut(h.gate.Tick(h.run.clock.now))
	}
	return true
}

func (h *simHost) route() zinniayoke.RouteName {
	return zinniayoke.RouteName(h.service)
}

// enter is the entry of a root call.
func (h *simHost) enter(c *simCall, finish func(bool)) {
	first := h.run.hosts[0][0].route()
	shedsAtDoor := h.run.policy == Full || h.run.policy == FixedSlots
	if shedsAtDoor && !h.door.Admit(h.run.clock.now, first, c.rank) {
		finish(false)
		return
	}
	h.send(c, 0, c.pool, func(r simReply) { finish(r.ok) })
}

// send makes attempts at the service of the given depth until one succeeds.
func (h *simHost) send(c *simCall, depth int, pool *zyattempt.Budget, done func(simReply)) {
	var excluded []zinniayoke.NodeID
	tries := 0
	var again func()
	again = func() {
		tries++
		target, ok := h.pick(c, depth, excluded)
		if !ok {
			done(simReply{shed: true})
			return
		}
		calls := zinniayoke.Tokens(h.run.scenario.Depth - 1 - depth)
		share, paid := pool.StartSend(calls)
		if h.run.policy >= Full && !paid {
			done(simReply{})
			return
		}
		excluded = append(excluded, target.id)
		c.sends++
		h.exchange(c, target, share, func(reply simReply) {
			pool.Refund(reply.unused)
			if reply.ok {
				h.budgets.RecordSuccess(h.budget(c), retryShare)
			}
			if reply.ok || c.cancelled || !h.mayRetry(c, depth, excluded, tries, reply) {
				done(reply)
				return
			}
			again()
		})
	}
	again()
}

func (h *simHost) budget(c *simCall) zyattempt.CallerClass {
	return zyattempt.CallerClass{Class: zinniayoke.ClassName(c.root.load.Class)}
}

func (h *simHost) mayRetry(c *simCall, depth int, excluded []zinniayoke.NodeID, tries int, reply simReply) bool {
	switch h.run.policy {
	case PassThrough:
		return false
	case FixedLimit:
		return tries <= naiveRetries
	default:
		_, ok := h.pick(c, depth, excluded)
		return ok && reply.shed && h.budgets.Spend(h.budget(c))
	}
}

func (h *simHost) pick(c *simCall, depth int, excluded []zinniayoke.NodeID) (*simHost, bool) {
	service := h.run.hosts[depth]
	if h.run.policy < Full {
		target := service[h.run.random.IntN(len(service))]
		return target, true
	}
	u, ok := h.picker.Pick(h.run.clock.now, service[0].service, c.rank, excluded)
	if !ok {
		return nil, false
	}
	i := slices.IndexFunc(service, func(s *simHost) bool { return s.id == u.Node })
	return service[i], true
}

func (h *simHost) distance(to *simHost) time.Duration {
	switch {
	case h.domain == to.domain:
		return nearHop
	case h.place.Region == to.place.Region:
		return domainHop
	}
	return regionHop
}

// exchange brings an attempt to its host and the reply back.
func (h *simHost) exchange(c *simCall, to *simHost, share zinniayoke.Tokens, done func(simReply)) {
	began := h.run.clock.now
	h.picker.Start(began, to.id)
	h.serial++
	a := &simAttempt{
		call: c, depth: to.depth, pool: zyattempt.NewBudget(share, share),
		id: zinniayoke.AttemptID(fmt.Sprintf("%s-%d", h.id, h.serial)),
	}
	answered := false
	a.reply = func(r simReply) {
		if answered {
			return
		}
		answered = true
		r.unused = a.pool.Close()
		r.threshold = max(to.gate.Threshold(), a.child)
		r.load = (to.running + len(to.fifo) + to.gate.Waiting()) * 100 / max(to.gate.Limit(), 1)
		h.run.clock.after(h.distance(to), func() {
			h.learn(to, began, r)
			done(r)
		})
	}
	h.run.clock.after(h.distance(to), func() { to.receive(a) })
}

// learn passes a reply on to the picker and the door.
func (h *simHost) learn(to *simHost, began time.Time, r simReply) {
	now := h.run.clock.now
	outcome := zinniayoke.OutcomeUnknown
	if r.ok {
		outcome = zinniayoke.OutcomeDone
	}
	if r.shed {
		outcome = zinniayoke.OutcomeNotRun
	}
	h.picker.Replied(now, to.id, now.Sub(began), &zinniayoke.Reply{Outcome: outcome, Threshold: r.threshold, Load: r.load})
	h.door.Update(now, to.route(), to.id, r.threshold)
}

// receive admits an attempt.
func (h *simHost) receive(a *simAttempt) {
	if h.down {
		a.reply(simReply{shed: true})
		return
	}
	h.items[a.id] = a
	switch h.run.policy {
	case PassThrough:
		h.begin(a)
	case FixedLimit:
		h.fifo = append(h.fifo, a)
		h.drainFifo()
	default:
		h.carryOut(h.gate.Arrive(h.run.clock.now, zyadmission.Item{
			ID: a.id, Route: h.route(), Rank: a.call.rank, Depth: h.depth, Deadline: a.call.deadline,
		}))
	}
}

// drainFifo starts what the fixed limit lets through and refuses the rest past
// the length of the queue.
func (h *simHost) drainFifo() {
	for len(h.fifo) > 0 && h.running < h.announced() {
		a := h.fifo[0]
		h.fifo = h.fifo[1:]
		h.begin(a)
	}
	for len(h.fifo) > h.announced() {
		last := h.fifo[len(h.fifo)-1]
		h.fifo = h.fifo[:len(h.fifo)-1]
		h.run.score.shed(last, h.fifo)
		delete(h.items, last.id)
		last.reply(simReply{shed: true})
	}
}

func (h *simHost) carryOut(res zyadmission.Result) {
	for _, item := range res.Started {
		if a, ok := h.items[item.ID]; ok {
			h.begin(a)
		}
	}
	for _, refusal := range res.Refused {
		if a, ok := h.items[refusal.Item.ID]; ok {
			delete(h.items, a.id)
			if refusal.Reason == zinniayoke.ReasonShed {
				h.run.score.shed(a, h.waiting())
			}
			a.reply(simReply{shed: true})
		}
	}
}

// waiting returns the attempts that the gate has kept waiting.
func (h *simHost) waiting() []*simAttempt {
	var list []*simAttempt
	for _, a := range h.items {
		if a.began.IsZero() {
			list = append(list, a)
		}
	}
	return list
}

// begin hands an attempt to the worker, which waits for a slot itself.
func (h *simHost) begin(a *simAttempt) {
	h.running++
	a.began = h.run.clock.now
	epoch := h.epoch
	h.takeSlot(func() {
		if epoch == h.epoch {
			h.work(a, epoch)
		}
	})
}

func (h *simHost) takeSlot(f func()) {
	if h.busy < h.slots() {
		h.busy++
		f()
		return
	}
	h.backlog = append(h.backlog, f)
}

func (h *simHost) freeSlot() {
	if len(h.backlog) == 0 {
		h.busy--
		return
	}
	next := h.backlog[0]
	h.backlog = h.backlog[1:]
	next()
}

// work keeps the slot busy for the worker's own time, then makes the child call
// with the slot held.
func (h *simHost) work(a *simAttempt, epoch int) {
	if a.call.cancelled {
		h.finish(a, epoch, simReply{})
		return
	}
	took := h.duration()
	a.call.work += took
	h.run.clock.after(took, func() {
		if epoch != h.epoch {
			return
		}
		if h.depth == h.run.scenario.Depth-1 || a.call.cancelled {
			h.finish(a, epoch, simReply{ok: !a.call.cancelled})
			return
		}
		asked := h.run.clock.now
		h.send(a.call, h.depth+1, h.childPool(a), func(r simReply) {
			a.below = h.run.clock.now.Sub(asked)
			a.child = h.door.Threshold(h.run.clock.now, h.run.hosts[h.depth+1][0].route())
			h.finish(a, epoch, simReply{ok: r.ok})
		})
	})
}

// childPool returns the tokens for the child call, which are the attempt's own.
func (h *simHost) childPool(a *simAttempt) *zyattempt.Budget {
	return a.pool
}

func (h *simHost) finish(a *simAttempt, epoch int, reply simReply) {
	if epoch != h.epoch {
		return
	}
	h.running--
	h.freeSlot()
	delete(h.items, a.id)
	if h.run.policy >= Full {
		took := h.run.clock.now.Sub(a.began) - a.below
		h.carryOut(h.gate.Finish(h.run.clock.now, a.id, took))
	}
	a.reply(reply)
	if h.run.policy == FixedLimit {
		h.drainFifo()
	}
}

// duration is the worker's own time for one call: it grows with pressure, after
// a cold start and past the point where too many calls crowd the worker.
func (h *simHost) duration() time.Duration {
	const low, spread, crowdPoint = 0.8, 0.4, 1.5
	base := ownTime
	factor := low + spread*h.run.random.Float64()
	if h.depth == h.run.scenario.Depth-1 {
		base = deepTime
		if slow := h.run.scenario.BottleneckSlowdown; slow > 1 && h.run.underPressure() {
			factor *= slow
		}
	}
	if age := h.run.clock.now.Sub(h.started); age < coldTime {
		factor *= 1 + (coldFactor-1)*(1-age.Seconds()/coldTime.Seconds())
	}
	crowd := float64(h.busy+len(h.backlog)) / (crowdPoint * float64(h.slots()))
	if crowd > 1 {
		factor *= min(crowd, coldFactor)
	}
	return time.Duration(float64(base) * factor)
}
