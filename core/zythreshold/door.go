// Package zythreshold sheds at the entry what a deeper hop would shed. It keeps the
// thresholds that came with answers, for each route and worker.
package zythreshold

import (
	"slices"
	"sync"
	"time"

	"zinniayoke"
)

const (
	holdTime    = 200 * time.Millisecond
	forgetTime  = 1 * time.Second
	mostWorkers = 64
)

// Tracker decides whether a request may enter. It may be used by several
// goroutines. A Tracker must be made with New.
type Tracker struct {
	mu     sync.Mutex
	routes map[zinniayoke.RouteName]map[zinniayoke.NodeID]told
}

type told struct {
	threshold zinniayoke.Rank
	at        time.Time
}

// New returns a door that admits everything.
func New() *Tracker {
	return &Tracker{routes: make(map[zinniayoke.RouteName]map[zinniayoke.NodeID]told)}
}

// Update notes the threshold that came with an answer of a worker's node.
func (d *Tracker) Update(now time.Time, route zinniayoke.RouteName, node zinniayoke.NodeID, threshold zinniayoke.Rank) {
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

// Threshold returns the lowest rank that half of the workers of the route admit,
// among those heard of lately. What was not confirmed falls to 0 within a second.
func (d *Tracker) Threshold(now time.Time, route zinniayoke.RouteName) zinniayoke.Rank {
	d.mu.Lock()
	defer d.mu.Unlock()
	var fresh, old []zinniayoke.Rank
	for _, t := range d.routes[route] {
		switch age := now.Sub(t.at); {
		case age <= holdTime:
			fresh = append(fresh, t.threshold)
		case age <= forgetTime:
			old = append(old, relax(t.threshold, age))
		}
	}
	if len(fresh) > 0 {
		return median(fresh)
	}
	return median(old)
}

// median returns the upper median, 0 of none.
func median(values []zinniayoke.Rank) zinniayoke.Rank {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Admit reports whether a request of the given rank may enter.
func (d *Tracker) Admit(now time.Time, route zinniayoke.RouteName, r zinniayoke.Rank) bool {
	return r >= d.Threshold(now, route)
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
