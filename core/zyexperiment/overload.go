package zyexperiment

import (
	"math/rand/v2"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zythreshold"
)

// Policy is a way to treat calls. The zero value is PassThrough.
type Policy int

// The policies that are compared.
const (
	// PassThrough sends each call to a random worker and never sheds.
	PassThrough Policy = iota
	// FixedLimit admits as many calls as the worker has slots, first come first
	// served, and retries at each hop.
	FixedLimit
	// Full is the policy of this project.
	Full
	// NoDoor is Full without shedding at the entry.
	NoDoor
	// FixedSlots is Full with the limit fixed at the announced slots.
	FixedSlots
)

// Workload is a stream of root calls of one class.
type Workload struct {
	Class      string
	Importance int
	// Rate is calls a second in quiet times; Surge multiplies it under pressure.
	Rate        float64
	SurgeFactor float64
	// Callers share the rate. The first one sends Greedy times its share under
	// pressure, 0 means like the others.
	Callers      int
	GreedyFactor float64
	// CallerRetries is how often a caller sends a failed call again under pressure.
	CallerRetries int
}

// Scenario is what happens in one run.
type Scenario struct {
	Name      string
	Workloads []Workload
	// Depth is the number of services in the chain; the last is the bottleneck.
	Depth           int
	Slots           int
	BottleneckSlots int
	// BottleneckSlowdown multiplies the time of the last service under pressure.
	BottleneckSlowdown float64
	// DomainOutage takes the workers of one failure domain away under pressure.
	DomainOutage bool
	// RestartBottleneck restarts all workers of the last service as pressure begins.
	RestartBottleneck bool
	// AnnouncedFactor multiplies the slots that workers announce.
	AnnouncedFactor float64
	// Baseline, Pressure and After are the lengths of the phases.
	Baseline time.Duration
	Stress   time.Duration
	Recovery time.Duration
	Seed     uint64
}

const (
	domains      = 4
	ownTime      = 20 * time.Millisecond
	deepTime     = 60 * time.Millisecond
	rootTimeout  = 1 * time.Second
	nearHop      = 500 * time.Microsecond
	domainHop    = 1 * time.Millisecond
	regionHop    = 30 * time.Millisecond
	tickPeriod   = 10 * time.Millisecond
	retryShare   = 0.1
	naiveRetries = 2
	resendPause  = 5 * time.Millisecond
	coldTime     = 5 * time.Second
	coldFactor   = 3
	downTime     = 1 * time.Second
)

// run is one scenario under one policy.
type run struct {
	scenario Scenario
	policy   Policy
	clock    *clock
	random   *rand.Rand
	hosts    [][]*simHost
	all      []*simHost
	serial   int
	score    *score
}

// Run runs a scenario under a policy.
func Run(s Scenario, p Policy) Result {
	r := &run{scenario: s, policy: p, clock: newClock(), random: newRandom(s.Seed)}
	r.score = newScore(r)
	r.build()
	for _, l := range s.Workloads {
		for c := range max(l.Callers, 1) {
			r.startCaller(l, c)
		}
	}
	r.schedulePressure()
	r.clock.run(s.Baseline + s.Stress + s.Recovery)
	return r.score.result()
}

func (r *run) build() {
	for depth := range r.scenario.Depth {
		service := make([]*simHost, 0, domains)
		for d := range domains {
			h := newSimHost(r, depth, d)
			service = append(service, h)
			r.all = append(r.all, h)
		}
		r.hosts = append(r.hosts, service)
	}
	for _, h := range r.all {
		h.door = zythreshold.New()
		h.picker = zybalancer.New(zybalancer.Config{Locality: h.place, Resolver: r, Random: r.random})
		r.clock.every(tickPeriod, tickPeriod, h.tick)
	}
}

// Upstreams implements zinniayoke.Resolver.
func (r *run) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	var list []zinniayoke.Upstream
	for _, h := range r.all {
		if h.service == s && !h.down {
			list = append(list, h.upstream())
		}
	}
	return list
}

func (r *run) underPressure() bool {
	t := r.clock.since()
	return t >= r.scenario.Baseline && t < r.scenario.Baseline+r.scenario.Stress
}

func (r *run) schedulePressure() {
	s := r.scenario
	r.clock.after(s.Baseline, func() {
		for _, h := range r.all {
			if s.DomainOutage && h.domain == 0 {
				h.crash()
			}
			if s.RestartBottleneck && h.depth == s.Depth-1 {
				h.crash()
				r.clock.after(downTime, h.restart)
			}
		}
	})
	r.clock.after(s.Baseline+s.Stress, func() {
		for _, h := range r.all {
			if s.DomainOutage && h.domain == 0 {
				h.restart()
			}
		}
	})
}

// startCaller sends calls at random times.
func (r *run) startCaller(l Workload, number int) {
	var next func()
	next = func() {
		rate := l.Rate / float64(max(l.Callers, 1))
		if r.underPressure() {
			rate *= max(l.SurgeFactor, 1)
			if number == 0 && l.GreedyFactor > 0 {
				rate *= l.GreedyFactor
			}
		}
		r.clock.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
			r.root(l, number)
			next()
		})
	}
	next()
}

// root is one call of a caller with its re-sends.
type root struct {
	load   Workload
	caller int
	began  time.Time
	sends  int
}

func (r *run) root(l Workload, caller int) {
	rt := &root{load: l, caller: caller, began: r.clock.now}
	r.score.sent(rt)
	r.sendRoot(rt)
}

func (r *run) sendRoot(rt *root) {
	rt.sends++
	entry := r.all[r.random.IntN(len(r.all))]
	for entry.down {
		entry = r.all[r.random.IntN(len(r.all))]
	}
	r.serial++
	c := &simCall{
		root: rt, deadline: r.clock.now.Add(rootTimeout), attempts: r.attempts(),
		rank: r.rank(rt, entry),
	}
	c.pool = zyattempt.NewBudget(c.attempts, zinniayoke.Tokens(r.scenario.Depth))
	over := false
	finish := func(ok bool) {
		if over {
			return
		}
		over = true
		c.cancelled = !ok
		r.score.spent(c, ok)
		if !ok && r.underPressure() && rt.sends <= rt.load.CallerRetries {
			r.clock.after(resendPause, func() { r.sendRoot(rt) })
			return
		}
		r.score.ended(rt, ok)
	}
	r.clock.after(rootTimeout, func() { finish(false) })
	entry.enter(c, finish)
}

func (r *run) attempts() zinniayoke.Tokens {
	return zinniayoke.Tokens(2 * r.scenario.Depth)
}

func (r *run) rank(rt *root, entry *simHost) zinniayoke.Rank {
	name := zinniayoke.Caller(rt.load.Class + string(rune('a'+rt.caller)))
	share := entry.shares.Observe(r.clock.now, name)
	id := zinniayoke.RequestID(name) + zinniayoke.RequestID(rune(r.serial))
	return zyrank.New(rt.load.Importance, 0, share, id)
}

func newRandom(seed uint64) *rand.Rand {
	const stream = 7
	return rand.New(rand.NewPCG(seed, stream))
}
