package zynode

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"zinniayoke"
)

// maxDepartureRecords limits a departureRegistry. The size to design for has 450 restarts a day.
const maxDepartureRecords = 16_384

// departureRegistry holds the departures of the workers of all hosts. Each node keeps one, so that
// a departure outlives the process that acknowledged it and the records of the store.
type departureRegistry struct {
	mu sync.Mutex
	// recorded is when each departure was recorded. The keys have no such time.
	recorded map[zinniayoke.Departure]time.Time
}

// add adds a departure and reports whether it is new. It leaves out incomplete ones.
func (r *departureRegistry) add(d zinniayoke.Departure) bool {
	if !d.IsComplete() {
		return false
	}
	now := time.Now()
	recorded := d.Recorded
	if recorded.After(now) {
		recorded = now // By a clock that is ahead.
	}
	if now.Sub(recorded) > departureRetention {
		return false
	}
	d.Recorded = time.Time{}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.recorded[d]; known {
		return false
	}
	if r.recorded == nil {
		r.recorded = make(map[zinniayoke.Departure]time.Time)
	}
	if len(r.recorded) >= maxDepartureRecords {
		delete(r.recorded, r.oldest())
	}
	r.recorded[d] = recorded
	return true
}

// oldest returns the departure that was recorded first. r.mu must be held.
func (r *departureRegistry) oldest() zinniayoke.Departure {
	var found zinniayoke.Departure
	var at time.Time
	for d, recorded := range r.recorded {
		if at.IsZero() || recorded.Before(at) {
			found, at = d, recorded
		}
	}
	return found
}

// expire removes the departures of runs that have certainly ended.
func (r *departureRegistry) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, recorded := range r.recorded {
		if now.Sub(recorded) > departureRetention {
			delete(r.recorded, d)
		}
	}
}

// list returns all departures, the oldest first.
func (r *departureRegistry) list() []zinniayoke.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]zinniayoke.Departure, 0, len(r.recorded))
	for d, recorded := range r.recorded {
		d.Recorded = recorded
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b zinniayoke.Departure) int {
		return cmp.Or(a.Recorded.Compare(b.Recorded), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}

// missingIn returns the departures that are not in the list. It leaves out those that are about to
// expire, which another node may have dropped already.
func (r *departureRegistry) missingIn(list []zinniayoke.Departure) []zinniayoke.Departure {
	found := make(map[zinniayoke.Departure]bool, len(list))
	for _, d := range list {
		d.Recorded = time.Time{}
		found[d] = true
	}
	return slices.DeleteFunc(r.list(), func(d zinniayoke.Departure) bool {
		late := time.Since(d.Recorded) > departureRetention*9/10
		d.Recorded = time.Time{}
		return late || found[d]
	})
}
