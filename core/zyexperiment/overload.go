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

// Policy is an overload control policy. The zero value is PassThrough.
type Policy int

// The policies that are compared.
const (
	// PassThrough sends each call to a random worker, and never sheds or retries.
	PassThrough Policy = iota
	// FixedLimit sends each call to a random worker. The worker's node admits as
	// many calls as there are slots, in FIFO order, queues as many again and sheds
	// the rest. Each hop retries failed attempts.
	FixedLimit
	// Full is the overload control of zinniayoke.
	Full
	// NoEntryShedding is Full without shedding at the entry node.
	NoEntryShedding // noDoor
	// FixedSlots is Full with the concurrency limit derived from the announced slots.
	FixedSlots
)

// Workload is a stream of root calls of one class.
type Workload struct {
	Class      string
	Importance int
	// Rate is in calls per second; SurgeFactor multiplies it in the stress phase.
	Rate        float64
	SurgeFactor float64
	// Callers is the number of callers, which share the rate. In the stress phase
	// the first one sends GreedyFactor times its share; 0 means its normal share.
	Callers      int
	GreedyFactor float64
	// CallerRetries is how often a caller retries a failed call in the stress phase.
	CallerRetries int
}

// Scenario describes the load and the faults of one simulation.
type Scenario struct {
	Name      string
	Workloads []Workload
	// Depth is the number of services in the chain; the last is the bottleneck.
	Depth           int
	Slots           int
	BottleneckSlots int
	// BottleneckSlowdown multiplies the service time of the last service in the
	// stress phase, if it is above 1.
	BottleneckSlowdown float64
	// DomainOutage takes down all hosts of one failure domain in the stress phase.
	DomainOutage bool
	// RestartBottleneck restarts all hosts of the last service when the stress phase
	// begins.
	RestartBottleneck bool
	// AnnouncedFactor multiplies the slots that workers announce, so that they
	// differ from the slots that they have; 0 means 1.
	AnnouncedFactor float64
	// Baseline, Stress and Recovery are the lengths of the three phases.
	Baseline time.Duration
	Stress   time.Duration
	Recovery time.Duration
	Seed     uint64
}

const (
	domainCount           = 4
	hopServiceTime        = 20 * time.Millisecond
	bottleneckServiceTime = 60 * time.Millisecond
	rootTimeout           = 1 * time.Second
	sameDomainDelay       = 500 * time.Microsecond
	sameRegionDelay       = 1 * time.Millisecond
	crossRegionDelay      = 30 * time.Millisecond
	tickPeriod            = 10 * time.Millisecond
	retryRatio            = 0.1
	fixedLimitRetries     = 2
	callerRetryDelay      = 5 * time.Millisecond
	warmupTime            = 5 * time.Second
	coldSlowdown          = 3
	restartTime           = 1 * time.Second
)

// simulation is one scenario under one policy.
type simulation struct {
	scenario     Scenario
	policy       Policy
	clock        *clock
	random       *rand.Rand
	hostsByDepth [][]*simHost
	allHosts     []*simHost
	requestSeq   int
	stats        *stats
}

// Run simulates a scenario under a policy.
func Run(s Scenario, p Policy) Result {
	r := &simulation{scenario: s, policy: p, clock: newClock(), random: newRandom(s.Seed)}
	r.stats = newStats(r)
	r.build()
	for _, l := range s.Workloads {
		for c := range max(l.Callers, 1) {
			r.startCaller(l, c)
		}
	}
	r.scheduleStress()
	r.clock.run(s.Baseline + s.Stress + s.Recovery)
	return r.stats.result()
}

func (r *simulation) build() {
	for depth := range r.scenario.Depth {
		service := make([]*simHost, 0, domainCount)
		for d := range domainCount {
			h := newSimHost(r, depth, d)
			service = append(service, h)
			r.allHosts = append(r.allHosts, h)
		}
		r.hostsByDepth = append(r.hostsByDepth, service)
	}
	for _, h := range r.allHosts {
		h.thresholds = zythreshold.New()
		h.picker = zybalancer.New(zybalancer.Config{Locality: h.locality, Resolver: r, Random: r.random})
		r.clock.every(tickPeriod, tickPeriod, h.tick)
	}
}

// Upstreams implements zinniayoke.Resolver.
func (r *simulation) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	var list []zinniayoke.Upstream
	for _, h := range r.allHosts {
		if h.service == s && !h.down {
			list = append(list, h.upstream())
		}
	}
	return list
}

func (r *simulation) inStressPhase() bool {
	t := r.clock.since()
	return t >= r.scenario.Baseline && t < r.scenario.Baseline+r.scenario.Stress
}

func (r *simulation) scheduleStress() {
	s := r.scenario
	r.clock.after(s.Baseline, func() {
		for _, h := range r.allHosts {
			if s.DomainOutage && h.domain == 0 {
				h.crash()
			}
			if s.RestartBottleneck && h.depth == s.Depth-1 {
				h.crash()
				r.clock.after(restartTime, h.restart)
			}
		}
	})
	r.clock.after(s.Baseline+s.Stress, func() {
		for _, h := range r.allHosts {
			if s.DomainOutage && h.domain == 0 {
				h.restart()
			}
		}
	})
}

// startCaller makes a caller send calls as a Poisson process.
func (r *simulation) startCaller(l Workload, caller int) {
	var next func()
	next = func() {
		rate := l.Rate / float64(max(l.Callers, 1))
		if r.inStressPhase() {
			rate *= max(l.SurgeFactor, 1)
			if caller == 0 && l.GreedyFactor > 0 {
				rate *= l.GreedyFactor
			}
		}
		r.clock.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
			r.startRootCall(l, caller)
			next()
		})
	}
	next()
}

// rootCall is one call of a caller, including the caller's retries.
type rootCall struct {
	workload  Workload
	caller    int
	startedAt time.Time
	tries     int
}

func (r *simulation) startRootCall(l Workload, caller int) {
	rt := &rootCall{workload: l, caller: caller, startedAt: r.clock.now}
	r.stats.recordRootStart(rt)
	r.sendRootCall(rt)
}

func (r *simulation) sendRootCall(rt *rootCall) {
	rt.tries++
	entry := r.allHosts[r.random.IntN(len(r.allHosts))]
	for entry.down {
		entry = r.allHosts[r.random.IntN(len(r.allHosts))]
	}
	r.requestSeq++
	c := &simRequest{
		rootCall: rt, deadline: r.clock.now.Add(rootTimeout), attemptBudget: r.attemptBudget(),
		rank: r.rank(rt, entry),
	}
	c.budget = zyattempt.NewBudget(c.attemptBudget, zinniayoke.Tokens(r.scenario.Depth))
	finished := false
	finish := func(ok bool) {
		if finished {
			return
		}
		finished = true
		c.cancelled = !ok
		r.stats.recordWorkerTime(c, ok)
		if !ok && r.inStressPhase() && rt.tries <= rt.workload.CallerRetries {
			r.clock.after(callerRetryDelay, func() { r.sendRootCall(rt) })
			return
		}
		r.stats.recordRootEnd(rt, ok)
	}
	r.clock.after(rootTimeout, func() { finish(false) })
	entry.handleRootCall(c, finish)
}

func (r *simulation) attemptBudget() zinniayoke.Tokens {
	return zinniayoke.Tokens(2 * r.scenario.Depth)
}

func (r *simulation) rank(rt *rootCall, entry *simHost) zinniayoke.Rank {
	name := zinniayoke.Caller(rt.workload.Class + string(rune('a'+rt.caller)))
	share := entry.shares.Observe(r.clock.now, name)
	id := zinniayoke.RequestID(name) + zinniayoke.RequestID(rune(r.requestSeq))
	return zyrank.New(rt.workload.Importance, 0, share, id)
}

func newRandom(seed uint64) *rand.Rand {
	const stream = 7
	return rand.New(rand.NewPCG(seed, stream))
}
