// Package zydoor sheds at the entry what a deeper hop would shed. It keeps the
// thresholds that came with answers, for each route and worker.
package zydoor

import (
	"math/rand/v2"
	"sync"
	"time"

	"zinniayoke"
)

// Config configures a Door.
type Config struct {
	// ProbeShare is the share of shed requests that are let through, so that a
	// threshold that has fallen is noticed. 0 means none.
	ProbeShare float64
	// Random returns numbers from 0 to below 1.
	Random func() float64
}

const (
	holdTime    = 200 * time.Millisecond
	forgetTime  = 1 * time.Second
	mostWorkers = 64
)

// Door decides whether a request may enter. It may be used by several
// goroutines. A Door must be made with New.
type Door struct {
	cfg    Config
	mu     sync.Mutex
	routes map[zinniayoke.RouteName]map[zinniayoke.NodeID]told
}

type told struct {
	threshold zinniayoke.Rank
	at        time.Time
}

// New returns a door that admits everything.
func New(cfg Config) *Door {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Door{cfg: cfg, routes: make(map[zinniayoke.RouteName]map[zinniayoke.NodeID]told)}
}

// Learn notes the threshold that came with an answer of a worker's node.
func (d *Door) Learn(now time.Time, route zinniayoke.RouteName, node zinniayoke.NodeID, threshold zinniayoke.Rank) {
	d.mu.Lock()
	defer d.mu.Unlock()
	workers, ok := d.routes[route]
	if !ok {
		workers = make(map[zinniayoke.NodeID]told)
		d.routes[route] = workers
	}
	if len(workers) >= mostWorkers {
		forget(now, workers)
	}
	workers[node] = told{threshold: threshold, at: now}
}

// Threshold returns the lowest rank that some worker of the route admits.
// What was not confirmed lately falls to 0 within a second.
func (d *Door) Threshold(now time.Time, route zinniayoke.RouteName) zinniayoke.Rank {
	d.mu.Lock()
	defer d.mu.Unlock()
	lowest, known := zinniayoke.Rank(0), false
	for _, t := range d.routes[route] {
		if now.Sub(t.at) > forgetTime {
			continue
		}
		value := relax(t.threshold, now.Sub(t.at))
		if !known || value < lowest {
			lowest, known = value, true
		}
	}
	return lowest
}

// Admit reports whether a request of the given rank may enter.
func (d *Door) Admit(now time.Time, route zinniayoke.RouteName, r zinniayoke.Rank) bool {
	if r >= d.Threshold(now, route) {
		return true
	}
	return d.cfg.ProbeShare > 0 && d.cfg.Random() < d.cfg.ProbeShare
}

// relax lowers a threshold that is older than the hold time.
func relax(threshold zinniayoke.Rank, age time.Duration) zinniayoke.Rank {
	if age <= holdTime {
		return threshold
	}
	left := float64(forgetTime-age) / float64(forgetTime-holdTime)
	return zinniayoke.Rank(float64(threshold) * max(left, 0))
}

func forget(now time.Time, workers map[zinniayoke.NodeID]told) {
	for node, t := range workers {
		if now.Sub(t.at) > forgetTime {
			delete(workers, node)
		}
	}
}
