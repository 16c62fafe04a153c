package zyexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zyevenload"
)

// EvenLoadConfig configures a simulation of nodes that choose among the workers of a service.
type EvenLoadConfig struct {
	Policy EvenPolicy
	// Nodes choose among Workers, which are spread over four failure domains in two regions.
	Nodes, Workers int
	// Slots is the number of slots of each worker, Rate the calls per second of all nodes.
	Slots int
	Rate  float64
	// Utilization is the mean share of the capacity that the calls use.
	Utilization float64
	// ReportAge is how old the reports are by which nodes choose; 0 means that a node learns
	// of a worker only in the replies to its own calls.
	ReportAge time.Duration
	// Oscillation is the amplitude of the demand of each failure domain, a share of the mean.
	Oscillation float64
	// Noise has neighbours slow each worker down for a while, 15% of the time.
	Noise bool
	// NoFactor has the workers not report how slow their machine is.
	NoFactor bool
	// LimitByFactor divides the concurrency limit by the slowdown that a worker reports.
	LimitByFactor bool
	// MaxWait is the expected wait beyond which workers' nodes refuse a call; 0 means none.
	MaxWait  time.Duration
	Duration time.Duration
	Seed     uint64
}

// EvenLoadResult holds the measurements of one simulation.
type EvenLoadResult struct {
	// BusiestToMean is the use of the busiest worker of a failure domain by the mean of its
	// domain, over 200 ms, the average of all these times.
	BusiestToMean float64
	// Wait quantiles are of the time that calls wait at workers, AddedP99 includes round trips.
	WaitP50, WaitP99, WaitP999, MeanWait, AddedP99 time.Duration
	// AvoidableWaits is the share of calls that waited while a worker in the sender's failure
	// domain had a free slot. LateCalls is the share that waited longer than is tolerated.
	AvoidableWaits, LateCalls float64
	// MeanTime and P99Time are of the time from the send to the end of the work, as a multiple
	// of the mean work at speed 1.
	MeanTime, P99Time float64
	// OtherDomain and OtherRegion are the shares of calls that left the domain and the region.
	OtherDomain, OtherRegion float64
	// Redirected is the share of calls that a busy worker's node refused, Refused the share
	// that found the queue full.
	Redirected, Refused float64
}

const (
	evenDomains      = 4
	demandPeriod     = 17 * time.Second
	noiseTime        = 600 * time.Millisecond
	noiseFactor      = 2.5
	noiseShare       = 0.15
	evenTolerance    = 100 * time.Millisecond
	evenWarmup       = 10 * time.Second
	snapshotPeriod   = 5 * time.Millisecond
	maxSnapshotAge   = 600 * time.Millisecond
	ratioPeriod      = 200 * time.Millisecond
	samplesPerRatio  = 10
	evenRegionDelay  = 1 * time.Millisecond
	evenFarDelay     = 30 * time.Millisecond
	evenDomainDelay  = 100 * time.Microsecond
	evenQueuePerSlot = 16
	evenService      = zinniayoke.Service("s")
	evenRoute        = zinniayoke.RouteName("s/r")
	evenSubsetSize   = 3
	evenSubsetPeriod = 10 * time.Second
	farCallTimeout   = time.Hour
	workSpread       = 0.5
	// longShare of the calls take longFactor times the work of the others, as where even load
	// was asked for first.
	longShare       = 0.03
	longFactor      = 7
	percentOfLoad   = 100
	evenCrossRegion = 0.8 // As on the platform.
	evenCrossDomain = 0.2
	evenComfortable = 0.6
)

// evenWorker is a worker and the part of its node that admits calls.
type evenWorker struct {
	upstream zinniayoke.Upstream
	domain   int
	speed    float64
	queue    *zyadmission.Queue
	estimate zyevenload.Speed
	calls    map[zinniayoke.AttemptID]*evenCall
	// noise holds the times, from the start, at which the worker becomes slow and fast again.
	noise     []time.Duration
	snapshots []zinniayoke.LoadReport
	useSum    float64
}

// evenNode is a node that sends calls.
type evenNode struct {
	domain  int
	picker  *zybalancer.Picker
	times   zyevenload.RouteTimes
	reports map[int]evenReport
	// credit holds the tokens of the node by worker, for the policy of tokens.
	credit []float64
	index  int
}

// evenReport is the last report of a worker that a node has received.
type evenReport struct {
	zinniayoke.LoadReport
	at time.Time
}

// evenCall is one call.
type evenCall struct {
	id       zinniayoke.AttemptID
	node     *evenNode
	created  time.Time
	arrived  time.Time
	started  time.Time
	usual    time.Duration
	measured bool
	home     bool
	// redirects counts the refusals as busy.
	redirects int
}

// evenSim is one simulation.
type evenSim struct {
	cfg     EvenLoadConfig
	clock   *clock
	random  *rand.Rand
	workers []*evenWorker
	nodes   []*evenNode
	// work is the mean work of a call, at speed 1.
	work   time.Duration
	nextID int

	times                                                      []float64
	waits, added                                               []time.Duration
	avoidable, late, otherDomain, otherRegion, redirects, lost int
	ratios, ratioCount                                         float64
}

// RunEvenLoad simulates the nodes and workers.
func RunEvenLoad(cfg EvenLoadConfig) EvenLoadResult {
	s := &evenSim{cfg: cfg, clock: newClock(), random: rand.New(rand.NewPCG(cfg.Seed, 1))}
	s.build()
	for domain := range evenDomains {
		s.scheduleArrival(domain)
	}
	if cfg.ReportAge > 0 {
		s.clock.every(snapshotPeriod, snapshotPeriod, s.takeSnapshots)
	}
	samples := 0
	s.clock.every(evenWarmup, ratioPeriod/samplesPerRatio, func() bool {
		samples++
		s.sampleUse(samples%samplesPerRatio == 0)
		return true
	})
	s.clock.run(cfg.Duration)
	return s.result()
}

func (s *evenSim) locality(domain int) zinniayoke.Locality {
	return zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprint("d", domain)), Region: zinniayoke.Region(fmt.Sprint("r", domain/2))}
}

// Upstreams implements zinniayoke.Resolver.
func (s *evenSim) Upstreams(zinniayoke.Service) []zinniayoke.Upstream {
	list := make([]zinniayoke.Upstream, len(s.workers))
	for i, w := range s.workers {
		list[i] = w.upstream
	}
	return list
}

func (s *evenSim) build() {
	speeds := []float64{0.7, 0.7, 1.7}
	capacity := 0.0
	for i := range s.cfg.Workers {
		domain := i % evenDomains
		w := &evenWorker{
			domain: domain, speed: speeds[i/evenDomains%len(speeds)], calls: make(map[zinniayoke.AttemptID]*evenCall),
			queue: zyadmission.NewQueue(zyadmission.Config{Slots: s.cfg.Slots, FixedLimit: true, QueuePerSlot: evenQueuePerSlot, ByWaitDeadline: true}),
			upstream: zinniayoke.Upstream{
				Node: zinniayoke.NodeID(fmt.Sprint("w", i)), Locality: s.locality(domain), Service: evenService,
				Slots: s.cfg.Slots, State: zinniayoke.WorkerServing,
			},
		}
		speed := w.speed
		if s.cfg.Noise {
			s.addNoise(w)
			speed *= 1 - noiseShare + noiseShare/noiseFactor
		}
		capacity += float64(w.queue.Limit()) * speed
		s.workers = append(s.workers, w)
	}
	s.work = time.Duration(s.cfg.Utilization * capacity / s.cfg.Rate * float64(time.Second))
	for i := range s.cfg.Nodes {
		domain := i % evenDomains
		s.nodes = append(s.nodes, &evenNode{
			domain: domain, index: i, reports: make(map[int]evenReport), credit: s.firstTokens(),
			picker: zybalancer.New(zybalancer.Config{
				Locality: s.locality(domain), Resolver: s, CrossRegionPenalty: evenCrossRegion, Random: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i+2))),
			}),
		})
	}
}

// firstTokens returns the tokens of a node at the start, a random part of a call for each
// worker, so that the nodes do not take their turns in step.
func (s *evenSim) firstTokens() []float64 {
	credit := make([]float64, s.cfg.Workers)
	for i := range credit {
		credit[i] = s.random.Float64() * s.workers[i].speed
	}
	return credit
}

func (s *evenSim) addNoise(w *evenWorker) {
	gap := float64(noiseTime) * (1 - noiseShare) / noiseShare
	for at := time.Duration(s.random.ExpFloat64() * gap); at < s.cfg.Duration+time.Minute; at += time.Duration(s.random.ExpFloat64() * gap) {
		w.noise = append(w.noise, at, at+noiseTime)
		at += noiseTime
	}
}

// slowdown returns how many times slower the worker is, and until when.
func (w *evenWorker) slowdown(at time.Duration) (float64, time.Duration) {
	i, _ := slices.BinarySearch(w.noise, at+1)
	until := time.Duration(math.MaxInt64)
	if i < len(w.noise) {
		until = w.noise[i]
	}
	if i%2 == 1 {
		return noiseFactor, until
	}
	return 1, until
}

// serviceTime returns how long the work takes if it starts now.
func (w *evenWorker) serviceTime(at time.Duration, work float64) time.Duration {
	start := at
	for work > 0 {
		slow, until := w.slowdown(at)
		needed := work * slow / w.speed
		if needed <= float64(until-at) {
			return at + time.Duration(needed) - start
		}
		work -= float64(until-at) * w.speed / slow
		at = until
	}
	return at - start
}

// scheduleArrival schedules the next call of a failure domain, by thinning.
func (s *evenSim) scheduleArrival(domain int) {
	peak := s.cfg.Rate / evenDomains * (1 + s.cfg.Oscillation)
	gap := time.Duration(s.random.ExpFloat64() / peak * float64(time.Second))
	s.clock.after(gap, func() {
		phase := 2 * math.Pi * (s.clock.since().Seconds()/demandPeriod.Seconds() + float64(domain)/evenDomains)
		if s.random.Float64() < (1+s.cfg.Oscillation*math.Sin(phase))/(1+s.cfg.Oscillation) {
			s.sendCall(s.nodes[domain+evenDomains*s.random.IntN(s.nodesOf(domain))])
		}
		s.scheduleArrival(domain)
	})
}

func (s *evenSim) nodesOf(domain int) int {
	return (s.cfg.Nodes - domain + evenDomains - 1) / evenDomains
}

func (s *evenSim) takeSnapshots() bool {
	for _, w := range s.workers {
		w.snapshots = append(w.snapshots, s.report(w))
		if len(w.snapshots) > int(maxSnapshotAge/snapshotPeriod) {
			w.snapshots = w.snapshots[1:]
		}
	}
	return true
}

func (s *evenSim) report(w *evenWorker) zinniayoke.LoadReport {
	return w.queue.Report(w.estimate.Value(s.clock.now))
}

// sampleUse adds the use of the workers and, once per ratioPeriod, the ratios of it.
func (s *evenSim) sampleUse(end bool) {
	for _, w := range s.workers {
		w.useSum += float64(w.queue.Running()+w.queue.Waiting()) / float64(w.queue.Limit())
	}
	if !end {
		return
	}
	for domain := range evenDomains {
		highest, sum, count := 0.0, 0.0, 0.0
		for _, w := range s.workers {
			if w.domain == domain {
				highest, sum, count = max(highest, w.useSum), sum+w.useSum, count+1
			}
		}
		if sum > 0 {
			s.ratios += highest * count / sum
			s.ratioCount++
		}
	}
	for _, w := range s.workers {
		w.useSum = 0
	}
}

func (s *evenSim) delay(n *evenNode, w *evenWorker) time.Duration {
	switch {
	case n.domain == w.domain:
		return evenDomainDelay
	case n.domain/2 == w.domain/2:
		return evenRegionDelay
	}
	return evenFarDelay
}

// sendCall has the node choose a worker for a new call.
func (s *evenSim) sendCall(n *evenNode) {
	s.nextID++
	c := &evenCall{
		id: zinniayoke.AttemptID(fmt.Sprint(s.nextID)), node: n, created: s.clock.now, measured: s.clock.since() >= evenWarmup,
		usual: n.times.Of(evenRoute),
	}
	s.learn(n)
	w, redirectAfter := s.choose(n)
	s.sendAttempt(c, w, redirectAfter)
}

// learn gives the node the reports of ReportAge.
func (s *evenSim) learn(n *evenNode) {
	if s.cfg.ReportAge == 0 {
		return
	}
	for i, w := range s.workers {
		at := len(w.snapshots) - 1 - int(s.cfg.ReportAge/snapshotPeriod)
		if at < 0 {
			continue
		}
		s.observeReport(n, i, w.snapshots[at], s.cfg.ReportAge)
	}
}

// observeReport has the node take in a report.
func (s *evenSim) observeReport(n *evenNode, worker int, r zinniayoke.LoadReport, age time.Duration) {
	w := s.workers[worker]
	n.reports[worker] = evenReport{LoadReport: r, at: s.clock.now.Add(-age)}
	if s.cfg.Policy.usesPickEven() {
		n.picker.ObserveReport(s.clock.now.Add(-age), w.upstream, &zinniayoke.Reply{Report: &r})
		return
	}
	n.picker.Start(s.clock.now, w.upstream.Node)
	n.picker.Replied(s.clock.now, w.upstream.Node, 0, &zinniayoke.Reply{
		Outcome: zinniayoke.OutcomeNotRun, Reason: zinniayoke.ReasonShed, Load: (r.Running + r.Waiting) * percentOfLoad / r.Limit,
	})
}

func (s *evenSim) sendAttempt(c *evenCall, w *evenWorker, redirectAfter time.Duration) {
	n := c.node
	n.picker.Start(s.clock.now, w.upstream.Node)
	s.clock.after(s.delay(n, w), func() { s.receive(c, w, redirectAfter) })
}

// receive admits the call, or refuses it as busy.
func (s *evenSim) receive(c *evenCall, w *evenWorker, redirectAfter time.Duration) {
	now := s.clock.now
	item := zyadmission.Item{ID: c.id, Route: evenRoute, Deadline: now.Add(farCallTimeout), MaxWait: farCallTimeout, Depth: 1}
	if s.cfg.MaxWait > 0 {
		item.MaxWait, item.Depth = s.cfg.MaxWait, 0
	}
	if redirectAfter > 0 && w.queue.ExpectedWait(now, item) > redirectAfter {
		s.refuse(c, w)
		return
	}
	c.arrived = now
	c.home = c.node.domain == w.domain
	s.countPlace(c, w)
	if w.queue.ExpectedWait(now, item) > 0 && c.measured && s.domainHasRoom(c.node.domain) {
		s.avoidable++
	}
	w.calls[c.id] = c
	s.apply(w, w.queue.Arrive(now, item))
}

func (s *evenSim) countPlace(c *evenCall, w *evenWorker) {
	if !c.measured || c.home {
		return
	}
	if c.node.domain/2 == w.domain/2 {
		s.otherDomain++
	} else {
		s.otherRegion++
	}
}

func (s *evenSim) domainHasRoom(domain int) bool {
	return slices.ContainsFunc(s.workers, func(w *evenWorker) bool { return w.domain == domain && w.queue.Running() < w.queue.Limit() })
}

// refuse sends the refusal back, and the call to another worker.
func (s *evenSim) refuse(c *evenCall, w *evenWorker) {
	c.redirects++
	if c.measured {
		s.redirects++
	}
	r := s.report(w)
	n := c.node
	s.clock.after(s.delay(n, w), func() {
		now := s.clock.now
		n.picker.Replied(now, w.upstream.Node, 0, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeNotRun, Reason: zinniayoke.ReasonBusy})
		s.observeReport(n, s.indexOf(w.upstream.Node), r, 0)
		choice, _ := n.picker.PickEven(now, zybalancer.EvenRequest{Service: evenService, Tolerance: evenTolerance, MaxWait: s.cfg.MaxWait, Redirects: c.redirects})
		if s.cfg.Policy == EvenRedirectedOnce {
			choice.RedirectAfter = 0
		}
		s.sendAttempt(c, s.workers[s.indexOf(choice.Node)], choice.RedirectAfter)
	})
}

func (s *evenSim) indexOf(id zinniayoke.NodeID) int {
	return slices.IndexFunc(s.workers, func(w *evenWorker) bool { return w.upstream.Node == id })
}

// apply starts the calls that the queue has started.
func (s *evenSim) apply(w *evenWorker, res zyadmission.Result) {
	for _, refusal := range res.Refused {
		if w.calls[refusal.Item.ID].measured {
			s.lost++
		}
		delete(w.calls, refusal.Item.ID)
	}
	for _, item := range res.Started {
		c := w.calls[item.ID]
		delete(w.calls, item.ID)
		s.start(c, w)
	}
}

func (s *evenSim) start(c *evenCall, w *evenWorker) {
	c.started = s.clock.now
	work := float64(s.work) / (1 + longShare*(longFactor-1)) * (1 - workSpread + 2*workSpread*s.random.Float64())
	if s.random.Float64() < longShare {
		work *= longFactor
	}
	hold := w.serviceTime(s.clock.since(), work)
	if c.measured {
		s.times = append(s.times, float64(c.started.Sub(c.created)+hold)/float64(s.work))
		wait := c.started.Sub(c.arrived)
		s.waits = append(s.waits, wait)
		s.added = append(s.added, c.started.Sub(c.created)+s.delay(c.node, w))
		if wait > evenTolerance {
			s.late++
		}
	}
	s.clock.after(hold, func() {
		now := s.clock.now
		if slow, _ := w.slowdown(s.clock.since()); !s.cfg.NoFactor {
			w.estimate.ObserveSlowdown(now, slow)
		}
		w.estimate.ObserveCall(now, hold, c.usual)
		s.limitByFactor(w)
		s.apply(w, w.queue.Finish(now, c.id, hold))
		r := s.report(w)
		s.clock.after(s.delay(c.node, w), func() { s.reply(c, w, r, hold) })
	})
}

func (s *evenSim) limitByFactor(w *evenWorker) {
	if !s.cfg.LimitByFactor {
		return
	}
	if slow, _ := w.slowdown(s.clock.since()); slow > 1 {
		w.queue.SetSlots(int(float64(s.cfg.Slots) / slow))
	} else {
		w.queue.SetSlots(s.cfg.Slots)
	}
}

func (s *evenSim) reply(c *evenCall, w *evenWorker, r zinniayoke.LoadReport, hold time.Duration) {
	n := c.node
	n.picker.Replied(s.clock.now, w.upstream.Node, s.clock.now.Sub(c.created), &zinniayoke.Reply{
		Outcome: zinniayoke.OutcomeDone, Load: (r.Running + r.Waiting) * percentOfLoad / r.Limit,
	})
	n.times.Observe(evenRoute, hold)
	if s.cfg.ReportAge == 0 {
		s.observeReport(n, s.indexOf(w.upstream.Node), r, 0)
	}
}

func (s *evenSim) result() EvenLoadResult {
	slices.Sort(s.waits)
	slices.Sort(s.added)
	n := float64(max(len(s.waits), 1))
	at := func(list []time.Duration, q float64) time.Duration {
		if len(list) == 0 {
			return 0
		}
		return list[min(int(q*float64(len(list))), len(list)-1)]
	}
	sum := time.Duration(0)
	for _, w := range s.waits {
		sum += w
	}
	slices.Sort(s.times)
	meanTime, p99Time := 0.0, 0.0
	for _, t := range s.times {
		meanTime += t / n
	}
	if len(s.times) > 0 {
		p99Time = s.times[len(s.times)*99/100]
	}
	const p50, p99, p999 = 0.5, 0.99, 0.999
	return EvenLoadResult{
		BusiestToMean: s.ratios / max(s.ratioCount, 1),
		WaitP50:       at(s.waits, p50), WaitP99: at(s.waits, p99), WaitP999: at(s.waits, p999), AddedP99: at(s.added, p99),
		MeanWait: sum / time.Duration(n), AvoidableWaits: float64(s.avoidable) / n, LateCalls: float64(s.late) / n,
		OtherDomain: float64(s.otherDomain) / n, OtherRegion: float64(s.otherRegion) / n,
		MeanTime: meanTime, P99Time: p99Time,
		Redirected: float64(s.redirects) / n, Refused: float64(s.lost) / n,
	}
}
