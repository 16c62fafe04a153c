package zybackpressure

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

const (
	// holdTime is how long a told share counts in full, forgetTime how long at all.
	holdTime   = 500 * time.Millisecond
	forgetTime = 2 * time.Second
	// offeredSpan is the span over which what is offered is averaged.
	offeredSpan = 1 * time.Second
	// slowSpan is the span over which a share is averaged before it refuses any but
	// the least important routes. Shares swing by a third around their mean, as what
	// they change takes half a second to reach the last service of a chain.
	slowSpan   = 2 * time.Second
	mostRoutes = 8192
)

// Shedder decides which root calls an entry lets in. It knows from the replies to
// each route's calls which services they burden and what share those have no
// room for, and refuses that share of the burden: the least important routes
// first and, among equals, those that cost most. It may be used by several
// goroutines. A Shedder must be made with NewDoor.
type Shedder struct {
	mu     sync.Mutex
	routes map[zinniayoke.RouteName]*offer
	shares map[zinniayoke.Service]told
	// refused holds what was refused lately, so that it goes first when it comes back.
	refused *returns
}

// offer is what an entry knows of a route.
type offer struct {
	importance int
	rate       float64
	count      int
	since      time.Time
	costs      map[zinniayoke.Service]float64
	// judged is when verdict was found.
	judged  time.Time
	verdict Decision
}

type told struct {
	share float64
	// slow is the share averaged over slowSpan.
	slow float64
	at   time.Time
}

// NewShedder returns a door that lets everything in.
func NewShedder() *Shedder {
	return &Shedder{routes: make(map[zinniayoke.RouteName]*offer), shares: make(map[zinniayoke.Service]told), refused: newReturns()}
}

// UpdateCosts notes what came with a reply to a call of the route.
func (d *Shedder) UpdateCosts(now time.Time, route zinniayoke.RouteName, burdens []zinniayoke.ServiceCost) {
	if len(burdens) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.routes[route]
	if !ok {
		return
	}
	for _, b := range burdens {
		if o.costs == nil {
			o.costs = make(map[zinniayoke.Service]float64)
		}
		o.costs[b.Service] = b.Cost
		old, known := d.shares[b.Service]
		share := b.ExcessShare
		if known && now.Sub(old.at) < holdTime {
			// Several workers of a service tell their own shares.
			const weight = 0.25
			share = old.share + weight*(b.ExcessShare-old.share)
		}
		d.shares[b.Service] = told{share: share, slow: old.slower(now, share), at: now}
	}
}

// slower returns the average share after another one was told.
func (t told) slower(now time.Time, share float64) float64 {
	passed := now.Sub(t.at)
	if passed >= forgetTime {
		return share
	}
	weight := 1 - math.Exp(-passed.Seconds()/slowSpan.Seconds())
	return t.slow + weight*(share-t.slow)
}

// Decision is what the door says to a call.
type Decision struct {
	Admitted bool
	// Retry is true for a call that was refused lately and has come back.
	Retry bool
	// RefusedShare of the route's calls is refused since Service has no room for Lacking of
	// what is asked of it.
	RefusedShare float64
	Service      zinniayoke.Service
	ExcessShare  float64
}

// Admit counts a call of the route and says whether it may enter. Content tells
// equal calls: one that was refused and comes back goes before those that come
// first.
func (d *Shedder) Admit(now time.Time, r *zybundle.Route, id zinniayoke.RequestID, content uint64) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.routes[r.Name]
	if !ok {
		if len(d.routes) >= mostRoutes {
			return Decision{Admitted: true}
		}
		o = &offer{since: now}
		d.routes[r.Name] = o
	}
	o.importance = r.Class.Importance
	o.arrive(now)
	if now.Sub(o.judged) >= judgePeriod {
		o.judged, o.verdict = now, d.judge(now, o)
	}
	v := o.verdict
	v.Retry = d.refused.take(now, content)
	const scale = 1 << 20
	at := float64(xxhash.Sum64String(string(id))%scale) / scale
	v.Admitted = at >= v.RefusedShare || v.Retry && v.RefusedShare < returnShare
	if !v.Admitted {
		d.refused.add(now, content)
	}
	return v
}

// RecordRefusal notes a call that was let in and found no room, so that it goes first
// when it comes back.
func (d *Shedder) RecordRefusal(now time.Time, content uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused.add(now, content)
}

// judgePeriod is how long a route's verdict stands. Shares move each 100 ms.
const judgePeriod = 20 * time.Millisecond

// judge finds the service that lacks most for a route.
func (d *Shedder) judge(now time.Time, o *offer) Decision {
	var v Decision
	for service := range o.costs {
		if share := d.refusedBy(now, service, o); share > v.RefusedShare {
			v.RefusedShare, v.Service, v.ExcessShare = share, service, d.share(now, service)
		}
	}
	return v
}

// returnShare is the share of refused calls from which on calls that come back
// could fill the room alone, so that they are treated like all.
const returnShare = 0.8

func (o *offer) arrive(now time.Time) {
	o.count++
	if passed := now.Sub(o.since); passed >= offeredSpan {
		o.rate = float64(o.count) / passed.Seconds()
		o.count, o.since = 0, now
	} else {
		o.rate = max(o.rate, float64(o.count)/offeredSpan.Seconds())
	}
}

// share returns the share that a service has no room for, less where it was not
// told lately.
func (d *Shedder) share(now time.Time, s zinniayoke.Service) float64 {
	t := d.shares[s]
	return t.share * t.belief(now)
}

// belief returns how much a share counts that was told some time ago.
func (t told) belief(now time.Time) float64 {
	switch age := now.Sub(t.at); {
	case age <= holdTime:
		return 1
	case age < forgetTime:
		return float64(forgetTime-age) / float64(forgetTime-holdTime)
	}
	return 0
}

// refusedBy returns the part of a route's calls that a service's share refuses.
func (d *Shedder) refusedBy(now time.Time, s zinniayoke.Service, o *offer) float64 {
	share := d.share(now, s)
	if share <= 0 {
		return 0
	}
	var all []*offer
	sum := 0.0
	for _, other := range d.routes {
		if other.costs[s] > 0 && now.Sub(other.since) < 2*offeredSpan {
			all = append(all, other)
			sum += other.rate * other.costs[s]
		}
	}
	slices.SortFunc(all, func(a, b *offer) int {
		return cmp.Or(cmp.Compare(a.importance, b.importance), cmp.Compare(b.costs[s], a.costs[s]))
	})
	if len(all) > 0 && o.importance > all[0].importance {
		t := d.shares[s]
		share = min(share, t.slow*t.belief(now))
	}
	left := share * sum
	for _, other := range all {
		burden := other.rate * other.costs[s]
		if other == o {
			if burden <= 0 {
				return 0
			}
			return min(max(left/burden, 0), 1)
		}
		left -= burden
		if left <= 0 {
			return 0
		}
	}
	return 0
}
