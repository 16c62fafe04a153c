// Package zygraph infers the call graph from the calls that pass a node, for
// workers that do not pass on the handle of the parent call: which routes are
// called by workers, which runs make those calls, and what a call costs each
// service, including all calls that it causes.
package zygraph

import (
	"math"
	"sync"
	"time"

	"zinniayoke"
)

const (
	// halfLife is how often the counts of this package are halved.
	halfLife = 5 * time.Second
	// minCalls is how many calls of a route are needed to classify it.
	minCalls = 8
	// A route counts as called by workers if its calls come from at most this fraction
	// of the number of services that the same number of calls by clients would come
	// from. Two of four services may call such a route, because services that share
	// the parent's route both call it.
	maxServiceFraction = 0.55
	// minCallerShare is the share of a route's calls below which a caller is ignored:
	// a few stray calls may come from any host.
	minCallerShare = 0.03
	maxRoutes      = 8192
)

// CallerClassifier distinguishes routes called by workers from routes called by
// clients by the services from whose hosts the calls come: clients run on the hosts of
// all services, workers only on the hosts of their own. It is safe for concurrent
// use. A CallerClassifier must be created with NewCallerClassifier.
type CallerClassifier struct {
	services func() int
	mu       sync.Mutex
	routes   map[zinniayoke.RouteName]*callerCounts
}

// callerCounts holds the decaying call counts of one route by caller.
type callerCounts struct {
	byCaller map[zinniayoke.Caller]float64
	total    float64
	halvedAt time.Time
}

// NewCallerClassifier returns a classifier that has seen no calls. Services
// returns the number of services that have hosts.
func NewCallerClassifier(services func() int) *CallerClassifier {
	return &CallerClassifier{services: services, routes: make(map[zinniayoke.RouteName]*callerCounts)}
}

// Observe counts a call and reports whether the route is called by workers, and by
// those of the caller's service.
func (c *CallerClassifier) Observe(now time.Time, r zinniayoke.RouteName, from zinniayoke.Caller) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok := c.routes[r]
	if !ok {
		if len(c.routes) >= maxRoutes {
			return false
		}
		counts = &callerCounts{byCaller: make(map[zinniayoke.Caller]float64), halvedAt: now}
		c.routes[r] = counts
	}
	if now.Sub(counts.halvedAt) >= halfLife {
		counts.halve(now)
	}
	counts.byCaller[from]++
	counts.total++
	return counts.total >= minCalls && counts.byCaller[from] >= minCallerShare*counts.total && counts.fromFewServices(c.services())
}

// fromFewServices reports whether the calls come from clearly fewer services than
// as many calls by clients, spread evenly over all services, would.
func (c *callerCounts) fromFewServices(services int) bool {
	seen := 0
	for _, n := range c.byCaller {
		if n >= minCallerShare*c.total {
			seen++
		}
	}
	all := float64(services)
	expected := all * (1 - math.Pow(1-1/all, c.total))
	return services > 0 && float64(seen) <= maxServiceFraction*expected
}

// halve halves all counts and removes callers whose count was below 1.
func (c *callerCounts) halve(now time.Time) {
	c.halvedAt = now
	c.total /= 2
	for name, n := range c.byCaller {
		c.byCaller[name] = n / 2
		if n < 1 {
			c.total -= n / 2
			delete(c.byCaller, name)
		}
	}
}
