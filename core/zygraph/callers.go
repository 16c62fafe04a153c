// Package zygraph learns the call graph from what passes a node: which routes
// workers call, from which runs those calls come, and what a call costs each
// service in the end.
package zygraph

import (
	"sync"
	"time"

	"zinniayoke"
)

const (
	halfLife = 5 * time.Second
	// fewestCalls is how many calls it takes to judge a route.
	fewestCalls = 8
	// ownShare is the part of a route's calls that comes from the hosts of one
	// service where its workers make them. Callers are on the hosts of all services.
	ownShare   = 0.9
	mostRoutes = 8192
)

// Callers counts from the hosts of which service the calls of each route come.
// It may be used by several goroutines. Callers must be made with NewCallers.
type Callers struct {
	mu     sync.Mutex
	routes map[zinniayoke.RouteName]*origins
}

type origins struct {
	counts map[zinniayoke.Caller]float64
	sum    float64
	halved time.Time
}

// NewCallers returns Callers that have seen no calls.
func NewCallers() *Callers {
	return &Callers{routes: make(map[zinniayoke.RouteName]*origins)}
}

// Note counts a call and reports whether the route is one that the workers of
// the caller's service call.
func (c *Callers) Note(now time.Time, r zinniayoke.RouteName, from zinniayoke.Caller) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.routes[r]
	if !ok {
		if len(c.routes) >= mostRoutes {
			return false
		}
		o = &origins{counts: make(map[zinniayoke.Caller]float64), halved: now}
		c.routes[r] = o
	}
	if now.Sub(o.halved) >= halfLife {
		o.halve(now)
	}
	o.counts[from]++
	o.sum++
	return o.sum >= fewestCalls && o.counts[from] >= ownShare*o.sum
}

func (o *origins) halve(now time.Time) {
	o.halved = now
	o.sum /= 2
	for name, n := range o.counts {
		o.counts[name] = n / 2
		if n < 1 {
			o.sum -= n / 2
			delete(o.counts, name)
		}
	}
}
