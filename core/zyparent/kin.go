package zyparent

import (
	"sync"

	"zinniayoke"
)

// Kin tells the routes that workers call from those that callers call, by how
// often their calls share a deadline with a running call. A caller's deadline
// does so by chance at times, a worker's call always. It may be used by several
// goroutines. Kin must be made with NewKin.
type Kin struct {
	mu     sync.Mutex
	shares map[zinniayoke.RouteName]float64
}

const (
	// kinWeight follows a change of the calls within about twenty of them.
	kinWeight = 0.05
	// kinShare lies between chance, with 100 running calls and deadlines spread
	// over a second a third, and certainty.
	kinShare = 0.6
	// kinStart lets the first matches count.
	kinStart = 0.5
	// mostRoutes bounds the table; the largest bundle seen has 700 routes.
	mostRoutes = 8192
)

// NewKin returns a Kin that has seen no calls.
func NewKin() *Kin {
	return &Kin{shares: make(map[zinniayoke.RouteName]float64)}
}

// Judge notes whether a call of the route shared its deadline with a running
// call, and reports whether the route is one that workers call.
func (k *Kin) Judge(r zinniayoke.RouteName, matched bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	share, ok := k.shares[r]
	if !ok {
		if len(k.shares) >= mostRoutes {
			return false
		}
		share = kinStart
	}
	hit := 0.0
	if matched {
		hit = 1
	}
	share += kinWeight * (hit - share)
	k.shares[r] = share
	if matched {
		return share > kinStart
	}
	return share > kinShare
}
