package zyquota

import (
	"slices"
	"strings"
	"time"

	"zinniayoke"
)

// State describes the limits of customers at one node, for operators.
type State struct {
	// Share is the part of each limit that this node grants for the customers that it owns.
	Share float64 `json:"share"`
	// Owned lists the customers that this node owns.
	Owned []OwnedState `json:"owned"`
	// Used lists the customers that have sent requests to this node.
	Used []LeaseState `json:"used"`
	// MessagesSent counts the requests for tokens sent to other nodes.
	MessagesSent int64 `json:"messagesSent"`
}

// OwnedState describes the token bucket of a customer at its owner.
type OwnedState struct {
	Customer zinniayoke.Customer `json:"customer"`
	Rate     zinniayoke.Rate     `json:"rate"`
	Burst    float64             `json:"burst"`
	// Tokens is the number of tokens in the bucket; negative if more are reserved.
	Tokens float64 `json:"tokens"`
	// Granted is the number of tokens in leases, and MaxGranted their bound.
	Granted    int     `json:"granted"`
	MaxGranted float64 `json:"maxGranted"`
	// Leases counts the nodes with a lease, and Reserved the tokens reserved for nodes that
	// were refused.
	Leases   int `json:"leases"`
	Reserved int `json:"reserved"`
	// SettlingMs is the time until a new owner begins to grant.
	SettlingMs int `json:"settlingMs,omitempty"`
}

// LeaseState describes what a node may use for one customer.
type LeaseState struct {
	Customer zinniayoke.Customer `json:"customer"`
	Owner    zinniayoke.NodeID   `json:"owner"`
	Rate     zinniayoke.Rate     `json:"rate"`
	Tokens   int                 `json:"tokens"`
	// Demand is the estimated number of requests per second at this node.
	Demand float64 `json:"demandPerS"`
	// RetryMs is the time until the owner expects the next token, 0 if there may be one now.
	RetryMs int `json:"retryMs,omitempty"`
	// OutageMs is how long no owner has granted tokens. Fallback is true while the node
	// grants itself its equal share.
	OutageMs int  `json:"outageMs,omitempty"`
	Fallback bool `json:"fallback,omitempty"`
	// Granted and Refused count the decisions on requests since the node has started.
	Granted int64 `json:"granted"`
	Refused int64 `json:"refused"`
}

// State returns a snapshot, sorted by customer.
func (l *Limiter) State(now time.Time) State {
	s := State{}
	l.owner.describe(now, &s)
	l.leases.describe(now, &s)
	return s
}

// Fallbacks returns the number of customers for which this node grants itself its equal share.
func (l *Limiter) Fallbacks(now time.Time) int {
	l.leases.mu.Lock()
	defer l.leases.mu.Unlock()
	n := 0
	for _, lease := range l.leases.leases {
		if lease.inFallback(now) {
			n++
		}
	}
	return n
}

func (o *Owner) describe(now time.Time, s *State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.Share = o.share
	for c, b := range o.buckets {
		owned := OwnedState{
			Customer: c, Rate: b.limit.Rate, Burst: b.limit.Burst, Tokens: b.level,
			MaxGranted: o.cfg.Bounds.maxHeld(b.limit) * o.share, SettlingMs: milliseconds(max(b.filledFrom.Sub(now), 0)),
		}
		for _, g := range b.leases {
			if g.tokens > 0 && now.Before(g.expires) {
				owned.Leases++
				owned.Granted += g.tokens
			}
			owned.Reserved += g.reserved
		}
		s.Owned = append(s.Owned, owned)
	}
	slices.SortFunc(s.Owned, func(a, b OwnedState) int { return strings.Compare(string(a.Customer), string(b.Customer)) })
}

func (l *Leases) describe(now time.Time, s *State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.MessagesSent = l.messages
	for c, lease := range l.leases {
		lease.demand.decay(now)
		used := LeaseState{
			Customer: c, Rate: lease.limit.Rate, Demand: lease.demand.perS, RetryMs: milliseconds(max(lease.retryAt.Sub(now), 0)),
			Fallback: lease.inFallback(now), Granted: lease.granted, Refused: lease.refused,
		}
		if lease.owner != nil {
			used.Owner = lease.owner.node
		}
		if now.Before(lease.expires) {
			used.Tokens = lease.tokens
		}
		if !lease.outage.IsZero() {
			used.OutageMs = milliseconds(now.Sub(lease.outage))
		}
		s.Used = append(s.Used, used)
	}
	slices.SortFunc(s.Used, func(a, b LeaseState) int { return strings.Compare(string(a.Customer), string(b.Customer)) })
}
