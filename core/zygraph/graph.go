package zygraph

import (
	"sync"
	"time"

	"zinniayoke"
)

const (
	// minMatches is how many of a route's calls must be matched with parent runs
	// before the matches decide which runs make the calls.
	minMatches = 10
	// minMatchShare is the share of a route's matches below which a parent route is
	// ignored: calls also match unrelated runs by chance.
	minMatchShare = 0.25
	// costTTL is how long a reported cost is valid unless a reply repeats it.
	costTTL = 3 * time.Second
	// costWeight is the weight of a new run in the average cost.
	costWeight = 0.1
	// maxCosts bounds the number of service costs in a reply.
	maxCosts = 12
)

// Graph holds the part of the call graph below the host's own worker: the calls
// that the worker's runs make and their costs. It is safe for concurrent use. A
// Graph must be created with New.
type Graph struct {
	mu       sync.Mutex
	calls    map[zinniayoke.RouteName]*callStats
	runs     map[zinniayoke.RouteName]*runStats
	halvedAt time.Time
}

// reportPeriod is the shortest interval between two reports of a route's costs.
// Costs change over hundreds of milliseconds, and a busy node sends a thousand
// replies a second.
const reportPeriod = 10 * time.Millisecond

// callStats describes a route that the worker may call.
type callStats struct {
	// calledByWorkers is Reply.CalledByWorkers of the last reply that knew.
	calledByWorkers bool
	// count and matched decay with halfLife; matched counts calls by parent route.
	count   float64
	matched map[zinniayoke.RouteName]float64
	costs   map[zinniayoke.Service]reportedCost
}

type reportedCost struct {
	zinniayoke.ServiceCost
	at time.Time
}

// runStats describes a route whose calls the worker runs.
type runStats struct {
	count float64
	// cost is the average time that a run occupies a slot, in seconds.
	cost       float64
	reportedAt time.Time
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{calls: make(map[zinniayoke.RouteName]*callStats), runs: make(map[zinniayoke.RouteName]*runStats)}
}

// decay halves all counts once per halfLife.
func (g *Graph) decay(now time.Time) {
	if now.Sub(g.halvedAt) < halfLife {
		return
	}
	g.halvedAt = now
	for _, c := range g.calls {
		c.count /= 2
		for r := range c.matched {
			c.matched[r] /= 2
		}
	}
	for _, r := range g.runs {
		r.count /= 2
	}
}

// statsOf returns the statistics of calls of a route, or nil for a new route if
// the table is full.
func (g *Graph) statsOf(r zinniayoke.RouteName) *callStats {
	c, ok := g.calls[r]
	if !ok && len(g.calls) < maxRoutes {
		c = &callStats{matched: make(map[zinniayoke.RouteName]float64), costs: make(map[zinniayoke.Service]reportedCost)}
		g.calls[r] = c
	}
	return c
}

// CalledByWorkers reports whether, according to the last reply, calls of the route
// from this host are made by its worker and not by clients.
func (g *Graph) CalledByWorkers(r zinniayoke.RouteName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.calls[r]
	return ok && c.calledByWorkers
}

// ObserveCall counts a call from this host. Parent is the route of the run that
// the call was matched with, or "" if there is none.
func (g *Graph) ObserveCall(now time.Time, r, parent zinniayoke.RouteName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decay(now)
	c := g.statsOf(r)
	if c == nil {
		return
	}
	c.count++
	if parent != "" {
		c.matched[parent]++
	}
}

// MakesCalls reports whether runs of the parent route are known to make calls of route
// r: a credible share of the matched calls belongs to them.
func (g *Graph) MakesCalls(parent, r zinniayoke.RouteName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.calls[r]
	if !ok {
		return false
	}
	total := 0.0
	for _, n := range c.matched {
		total += n
	}
	return total >= minMatches && c.matched[parent] >= minMatchShare*total
}

// ObserveReply records what the reply to a call of the route reports. A refusal may come
// from a node that does not know who calls the route, so that it does not change a known
// caller.
func (g *Graph) ObserveReply(now time.Time, r zinniayoke.RouteName, reply *zinniayoke.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.statsOf(r)
	if c == nil {
		return
	}
	if reply.Delivered || reply.CalledByWorkers {
		c.calledByWorkers = reply.CalledByWorkers
	}
	for _, cost := range reply.Costs {
		if old, ok := c.costs[cost.Service]; ok && now.Sub(old.at) < costTTL {
			const weight = 0.25
			cost.ExcessShare = old.ExcessShare + weight*(cost.ExcessShare-old.ExcessShare)
		}
		c.costs[cost.Service] = reportedCost{ServiceCost: cost, at: now}
	}
}

// ObserveRun records a run of the worker that occupied a slot for the given time.
func (g *Graph) ObserveRun(now time.Time, r zinniayoke.RouteName, occupied time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decay(now)
	run, ok := g.runs[r]
	if !ok {
		if len(g.runs) >= maxRoutes {
			return
		}
		run = &runStats{cost: occupied.Seconds()}
		g.runs[r] = run
	}
	run.count++
	run.cost += costWeight * (occupied.Seconds() - run.cost)
}

// CostsIfDue returns Costs, or nil if it returned them for the route within the
// last reportPeriod.
func (g *Graph) CostsIfDue(now time.Time, own zinniayoke.Service, r zinniayoke.RouteName, share float64) []zinniayoke.ServiceCost {
	g.mu.Lock()
	run, ok := g.runs[r]
	due := ok && now.Sub(run.reportedAt) >= reportPeriod
	if due {
		run.reportedAt = now
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	return g.Costs(now, own, r, share)
}

// Costs returns what a call of the route costs the host's own service, whose
// excess share is given, and each service that its runs call directly or
// indirectly. It returns nil if no run of the route was observed.
func (g *Graph) Costs(now time.Time, own zinniayoke.Service, r zinniayoke.RouteName, share float64) []zinniayoke.ServiceCost {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, ok := g.runs[r]
	if !ok {
		return nil
	}
	list := []zinniayoke.ServiceCost{{Service: own, Cost: run.cost, ExcessShare: share}}
	for _, c := range g.calls {
		perRun := g.callsPerRun(c, r, run)
		if perRun <= 0 {
			continue
		}
		for _, cost := range c.costs {
			if now.Sub(cost.at) < costTTL {
				list = addCost(list, zinniayoke.ServiceCost{Service: cost.Service, Cost: perRun * cost.Cost, ExcessShare: cost.ExcessShare})
			}
		}
	}
	return list
}

// addCost adds a cost to the entry of its service. It drops the cost of a service
// without an entry if the list is full.
func addCost(list []zinniayoke.ServiceCost, cost zinniayoke.ServiceCost) []zinniayoke.ServiceCost {
	for i := range list {
		if list[i].Service == cost.Service {
			list[i].Cost += cost.Cost
			list[i].ExcessShare = max(list[i].ExcessShare, cost.ExcessShare)
			return list
		}
	}
	if len(list) >= maxCosts {
		return list
	}
	return append(list, cost)
}

// callsPerRun returns how many of the calls c a run of route r makes on average.
func (g *Graph) callsPerRun(c *callStats, r zinniayoke.RouteName, run *runStats) float64 {
	if !c.calledByWorkers || run.count < 1 {
		return 0
	}
	total, credible := 0.0, 0.0
	for _, n := range c.matched {
		total += n
	}
	for _, n := range c.matched {
		if n >= minMatchShare*total {
			credible += n
		}
	}
	if total < minMatches || credible == 0 {
		return c.count / g.totalRuns() // The parents are unknown, so spread the calls over all runs.
	}
	if c.matched[r] < minMatchShare*total {
		return 0
	}
	return c.count * c.matched[r] / credible / run.count
}

func (g *Graph) totalRuns() float64 {
	sum := 0.0
	for _, r := range g.runs {
		sum += r.count
	}
	return max(sum, 1)
}
