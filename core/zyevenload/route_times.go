package zyevenload

import (
	"sync"
	"time"

	"zinniayoke"
)

// maxRoutes bounds the routes that RouteTimes keeps.
const maxRoutes = 4096

// RouteTimes keeps the average time for which the calls of each route occupy a slot, over
// all workers. It is safe for concurrent use. The zero value is ready for use.
type RouteTimes struct {
	mu     sync.Mutex
	routes map[zinniayoke.RouteName]*average
}

// Observe takes in for how long a call has occupied a slot.
func (t *RouteTimes) Observe(route zinniayoke.RouteName, hold time.Duration) {
	if hold <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.routes[route]
	if !ok {
		if t.routes == nil || len(t.routes) >= maxRoutes {
			t.routes = make(map[zinniayoke.RouteName]*average)
		}
		a = &average{}
		t.routes[route] = a
	}
	a.add(float64(hold), callWeight)
}

// Of returns the average of the route, 0 if it is unknown.
func (t *RouteTimes) Of(route zinniayoke.RouteName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.routes[route]; ok {
		return time.Duration(a.mean)
	}
	return 0
}
