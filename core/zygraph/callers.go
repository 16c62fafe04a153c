// Package zygraph learns the call graph from what passes a node: which routes
// workers call, from which runs those calls come, and what a call costs each
// service in the end.
package zygraph

import (
	"math"
	"sync"
	"time"

	"zinniayoke"
)

const (
	halfLife = 5 * time.Second
	// fewestCalls is how many calls it takes to judge a route.
	fewestCalls = 8
	// fewServices is the part of the services that as many calls of clients would
	// come from, below which workers make the calls. Of four services two may call a
	// route, as those that share the parent's route do.
	fewServices = 0.55
	// strayShare of the calls may come from anywhere.
	strayShare = 0.03
	mostRoutes = 8192
)

// CallerClassifier counts from the hosts of which services the calls of each route come.
// Clients are on the hosts of all services, workers on those of their own. It may
// be used by several goroutines. CallerClassifier must be made with NewCallers.
type CallerClassifier struct {
	services func() int
	mu       sync.Mutex
	routes   map[zinniayoke.RouteName]*origins
}

type origins struct {
	counts map[zinniayoke.Caller]float64
	sum    float64
	halved time.Time
}

// NewCallerClassifier returns Callers that have seen no calls. Services returns how many
// services have hosts.
func NewCallerClassifier(services func() int) *CallerClassifier {
	return &CallerClassifier{services: services, routes: make(map[zinniayoke.RouteName]*origins)}
}

// Observe counts a call and reports whether the route is one that workers call, those
// of the caller's service among them.
func (c *CallerClassifier) Observe(now time.Time, r zinniayoke.RouteName, from zinniayoke.Caller) bool {
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
	return o.sum >= fewestCalls && o.counts[from] >= strayShare*o.sum && o.few(c.services())
}

// few reports whether the calls come from fewer services than as many calls of
// clients would.
func (o *origins) few(services int) bool {
	seen := 0
	for _, n := range o.counts {
		if n >= strayShare*o.sum {
			seen++
		}
	}
	all := float64(services)
	expected := all * (1 - math.Pow(1-1/all, o.sum))
	return services > 0 && float64(seen) <= fewServices*expected
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
