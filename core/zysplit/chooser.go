// Package zysplit chooses the service for a call whose route splits its traffic
// between several services by weight.
package zysplit

import (
	"math"
	"math/rand/v2"
	"sync"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// phaseStep is the fractional part of the golden ratio. Its multiples modulo 1
// cover the unit interval more evenly than random numbers, so that short series of
// calls are split by the weights too.
const phaseStep = 0.6180339887498949

// Chooser chooses services in proportion to the weights of a split route. It is
// safe for concurrent use. A Chooser must be created with New.
type Chooser struct {
	mu     sync.Mutex
	random *rand.Rand
	phases map[zinniayoke.RouteName]float64
}

// New returns a chooser. Random determines the start of each route's sequence, so
// that not all nodes start with the same service.
func New(random *rand.Rand) *Chooser {
	return &Chooser{random: random, phases: make(map[zinniayoke.RouteName]float64)}
}

// Choose returns the service for the next call of the route.
func (c *Chooser) Choose(r *zybundle.Route) zinniayoke.Service {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	point := c.nextPhase(r.Name) * total
	for _, part := range r.Split {
		if point < part.Weight {
			return part.Service
		}
		point -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// nextPhase returns the next number of a route's sequence in the unit interval.
func (c *Chooser) nextPhase(name zinniayoke.RouteName) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase, ok := c.phases[name]
	if !ok {
		phase = c.random.Float64()
	}
	_, phase = math.Modf(phase + phaseStep)
	c.phases[name] = phase
	return phase
}
