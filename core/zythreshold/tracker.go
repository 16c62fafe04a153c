// Package zythreshold lets an entry node shed calls that a downstream node would
// shed. It tracks the admission thresholds that arrive with replies, for each route
// and node.
package zythreshold

import (
	"slices"
	"sync"
	"time"

	"zinniayoke"
)

const (
	// holdTime is how long a threshold is used unchanged.
	holdTime = 200 * time.Millisecond
	// expiryTime is the age at which a threshold has decayed to 0.
	expiryTime = 1 * time.Second
	// maxNodes is the number of nodes of a route from which on expired observations
	// are removed.
	maxNodes = 64
)

// Tracker tracks the thresholds of the nodes that run a route. It is safe for
// concurrent use. Use New to create one.
type Tracker struct {
	mu     sync.Mutex
	routes map[zinniayoke.RouteName]map[zinniayoke.NodeID]observation
}

// observation is the last threshold reported by a node.
type observation struct {
	threshold zinniayoke.Rank
	at        time.Time
}

// New returns a Tracker that admits all requests.
func New() *Tracker {
	return &Tracker{routes: make(map[zinniayoke.RouteName]map[zinniayoke.NodeID]observation)}
}

// Update records the threshold that arrived with a reply of a node.
func (t *Tracker) Update(now time.Time, route zinniayoke.RouteName, node zinniayoke.NodeID, threshold zinniayoke.Rank) {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes, ok := t.routes[route]
	if !ok {
		nodes = make(map[zinniayoke.NodeID]observation)
		t.routes[route] = nodes
	}
	if len(nodes) >= maxNodes {
		dropExpired(now, nodes)
	}
	nodes[node] = observation{threshold: threshold, at: now}
}

// Threshold returns the lowest rank that half of the nodes with a recent threshold
// admit. A threshold that is not reported again decays to 0 within a second.
func (t *Tracker) Threshold(now time.Time, route zinniayoke.RouteName) zinniayoke.Rank {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh, stale []zinniayoke.Rank
	for _, o := range t.routes[route] {
		switch age := now.Sub(o.at); {
		case age <= holdTime:
			fresh = append(fresh, o.threshold)
		case age <= expiryTime:
			stale = append(stale, decayed(o.threshold, age))
		}
	}
	if len(fresh) > 0 {
		return median(fresh)
	}
	return median(stale)
}

// median returns the upper median, 0 if there are no values.
func median(values []zinniayoke.Rank) zinniayoke.Rank {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Admit reports whether a request of the given rank is admitted.
func (t *Tracker) Admit(now time.Time, route zinniayoke.RouteName, r zinniayoke.Rank) bool {
	return r >= t.Threshold(now, route)
}

// decayed lowers a threshold that is older than the hold time.
func decayed(threshold zinniayoke.Rank, age time.Duration) zinniayoke.Rank {
	if age <= holdTime {
		return threshold
	}
	factor := float64(expiryTime-age) / float64(expiryTime-holdTime)
	return zinniayoke.Rank(float64(threshold) * max(factor, 0))
}

// dropExpired removes the observations that are older than expiryTime.
func dropExpired(now time.Time, nodes map[zinniayoke.NodeID]observation) {
	for node, o := range nodes {
		if now.Sub(o.at) > expiryTime {
			delete(nodes, node)
		}
	}
}
