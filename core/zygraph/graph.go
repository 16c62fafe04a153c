package zygraph

import (
	"sync"
	"time"

	"zinniayoke"
)

const (
	// fewestMatches is how many calls have to be matched with runs before matches
	// say which runs make the calls.
	fewestMatches = 10
	// chanceShare of the matches may be by chance.
	chanceShare = 0.25
	// forgetTime is how long a burden counts that no reply has repeated.
	forgetTime = 3 * time.Second
	costWeight = 0.1
	// mostBurdens bounds what a reply carries.
	mostBurdens = 12
)

// Graph knows the calls that the host's own worker makes. It may be used by
// several goroutines. A Graph must be made with New.
type Graph struct {
	mu     sync.Mutex
	calls  map[zinniayoke.RouteName]*calls
	runs   map[zinniayoke.RouteName]*runs
	halved time.Time
}

// tellPeriod is how often the burdens of a route are told at most. They change
// over hundreds of milliseconds, and a busy node answers a thousand calls a second.
const tellPeriod = 10 * time.Millisecond

// calls is what is known of a route that the worker calls.
type calls struct {
	// kin is what the nodes of the called workers say: that only workers call it.
	kin     bool
	count   float64
	matched map[zinniayoke.RouteName]float64
	burdens map[zinniayoke.Service]burden
}

type burden struct {
	zinniayoke.ServiceCost
	at time.Time
}

// runs is what is known of a route that the worker runs.
type runs struct {
	count float64
	cost  float64
	told  time.Time
}

// New returns a graph that has seen nothing.
func New() *Graph {
	return &Graph{calls: make(map[zinniayoke.RouteName]*calls), runs: make(map[zinniayoke.RouteName]*runs)}
}

func (g *Graph) age(now time.Time) {
	if now.Sub(g.halved) < halfLife {
		return
	}
	g.halved = now
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

func (g *Graph) call(r zinniayoke.RouteName) *calls {
	c, ok := g.calls[r]
	if !ok && len(g.calls) < mostRoutes {
		c = &calls{matched: make(map[zinniayoke.RouteName]float64), burdens: make(map[zinniayoke.Service]burden)}
		g.calls[r] = c
	}
	return c
}

// SoleParent reports whether workers call the route, as far as is known.
func (g *Graph) SoleParent(r zinniayoke.RouteName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.calls[r]
	return ok && c.kin
}

// ObserveCall counts a call that came in, and the route of the run that it was matched
// with, "" for none.
func (g *Graph) ObserveCall(now time.Time, r, parent zinniayoke.RouteName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.age(now)
	c := g.call(r)
	if c == nil {
		return
	}
	c.count++
	if parent != "" {
		c.matched[parent]++
	}
}

// ObserveReply notes what came with the reply to a call.
func (g *Graph) ObserveReply(now time.Time, r zinniayoke.RouteName, kin bool, burdens []zinniayoke.ServiceCost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.call(r)
	if c == nil {
		return
	}
	c.kin = kin
	for _, b := range burdens {
		if old, ok := c.burdens[b.Service]; ok && now.Sub(old.at) < forgetTime {
			const weight = 0.25
			b.ExcessShare = old.ExcessShare + weight*(b.ExcessShare-old.ExcessShare)
		}
		c.burdens[b.Service] = burden{ServiceCost: b, at: now}
	}
}

// ObserveRun notes a run of the worker that has held a slot for the given time.
func (g *Graph) ObserveRun(now time.Time, r zinniayoke.RouteName, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.age(now)
	known, ok := g.runs[r]
	if !ok {
		if len(g.runs) >= mostRoutes {
			return
		}
		known = &runs{cost: held.Seconds()}
		g.runs[r] = known
	}
	known.count++
	known.cost += costWeight * (held.Seconds() - known.cost)
}

// CostsIfDue returns what Burdens does, or nothing where that was told just before.
func (g *Graph) CostsIfDue(now time.Time, own zinniayoke.Service, r zinniayoke.RouteName, share float64) []zinniayoke.ServiceCost {
	g.mu.Lock()
	known, ok := g.runs[r]
	due := ok && now.Sub(known.told) >= tellPeriod
	if due {
		known.told = now
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	return g.Costs(now, own, r, share)
}

// Costs returns what a call of the route costs the own service, with the share
// that it has no room for, and each service that its run calls.
func (g *Graph) Costs(now time.Time, own zinniayoke.Service, r zinniayoke.RouteName, share float64) []zinniayoke.ServiceCost {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.runs[r]
	if !ok {
		return nil
	}
	list := []zinniayoke.ServiceCost{{Service: own, Cost: known.cost, ExcessShare: share}}
	for _, c := range g.calls {
		each := g.callsOf(c, r, known)
		if each <= 0 {
			continue
		}
		for _, b := range c.burdens {
			if now.Sub(b.at) < forgetTime {
				list = add(list, zinniayoke.ServiceCost{Service: b.Service, Cost: each * b.Cost, ExcessShare: b.ExcessShare})
			}
		}
	}
	return list
}

func add(list []zinniayoke.ServiceCost, b zinniayoke.ServiceCost) []zinniayoke.ServiceCost {
	for i := range list {
		if list[i].Service == b.Service {
			list[i].Cost += b.Cost
			list[i].ExcessShare = max(list[i].ExcessShare, b.ExcessShare)
			return list
		}
	}
	if len(list) >= mostBurdens {
		return list
	}
	return append(list, b)
}

// callsOf returns how many calls c a run of the route makes on average.
func (g *Graph) callsOf(c *calls, r zinniayoke.RouteName, known *runs) float64 {
	if !c.kin || known.count < 1 {
		return 0
	}
	sum, certain := 0.0, 0.0
	for _, n := range c.matched {
		sum += n
	}
	for _, n := range c.matched {
		if n >= chanceShare*sum {
			certain += n
		}
	}
	if sum < fewestMatches || certain == 0 {
		return c.count / g.runCount() // It is not known which of the runs make the calls.
	}
	if c.matched[r] < chanceShare*sum {
		return 0
	}
	return c.count * c.matched[r] / certain / known.count
}

func (g *Graph) runCount() float64 {
	sum := 0.0
	for _, r := range g.runs {
		sum += r.count
	}
	return max(sum, 1)
}
