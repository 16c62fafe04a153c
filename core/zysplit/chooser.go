// Package zysplit chooses the service of a call whose route is split between
// several.
package zysplit

import (
	"math"
	"math/rand/v2"
	"sync"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// step is the golden ratio's fraction. Its multiples fill the unit interval more
// evenly than random numbers, so that short spans keep the weights as well.
const step = 0.6180339887498949

// Chooser keeps the weights of split routes. It may be used by several
// goroutines. A Chooser must be made with New.
type Chooser struct {
	mu     sync.Mutex
	random *rand.Rand
	phases map[zinniayoke.RouteName]float64
}

// New returns a chooser. Random sets where each route's sequence begins, so that
// nodes do not all begin with the same service.
func New(random *rand.Rand) *Chooser {
	return &Chooser{random: random, phases: make(map[zinniayoke.RouteName]float64)}
}

// Choose returns the service for the next call of the route.
func (c *Chooser) Choose(r *zybundle.Route) zinniayoke.Service {
	if len(r.Split) == 0 {
		return r.Service
	}
	sum := 0.0
	for _, part := range r.Split {
		sum += part.Weight
	}
	at := c.next(r.Name) * sum
	for _, part := range r.Split {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

func (c *Chooser) next(name zinniayoke.RouteName) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase, ok := c.phases[name]
	if !ok {
		phase = c.random.Float64()
	}
	_, phase = math.Modf(phase + step)
	c.phases[name] = phase
	return phase
}
