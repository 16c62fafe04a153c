// Package zyquota enforces rate limits of customers that hold over all nodes together.
// Each customer is owned by one node, which keeps its token bucket. Entry nodes get tokens
// from the owner in leases. Owner and Leases are state machines that get the time as an
// argument; Limiter connects them to waiting requests and to other nodes.
package zyquota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
	"zinniayoke/core/zymember"
)

// Bounds defines how far the requests of a customer may exceed its limit: in any Window,
// (rate x Window + burst) x (1 + Overage) + Slack requests may run.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultBounds apply if the settings have none.
func DefaultBounds() Bounds {
	return Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
}

// excess returns how many requests beyond its limit a customer may have in a window.
func (b Bounds) excess(l zinniayoke.CustomerLimit) float64 {
	return b.Overage*(float64(l.Rate)*b.Window.Seconds()+l.Burst) + b.Slack
}

const (
	// heldPeriod and heldSlack bound the tokens in all leases of a customer together: rate x
	// heldPeriod + heldSlack.
	heldPeriod = 500 * time.Millisecond
	heldSlack  = 10
	// heldExcessShare bounds them by a share of the excess that the rule allows, too. The rest
	// covers changes of owners. At a share of 0.5, a node sends a quarter more messages.
	heldExcessShare = 0.8
)

// maxHeld returns how many tokens of a customer may be in leases at all nodes together.
func (b Bounds) maxHeld(l zinniayoke.CustomerLimit) float64 {
	return math.Min(float64(l.Rate)*heldPeriod.Seconds()+heldSlack, b.excess(l)*heldExcessShare)
}

// View is what a node knows of the other nodes. It is immutable.
type View struct {
	candidates []candidate
	// knownHosts holds the hashes of all hosts, including lost ones.
	knownHosts []uint64
	present    int
}

type candidate struct {
	node zinniayoke.NodeID
	hash uint64
}

// NewView returns a view. The candidates may own customers; present is the number of hosts
// that are not lost, and knownHosts are these and the lost ones.
func NewView(candidates []zinniayoke.NodeID, present int, knownHosts []string) *View {
	v := &View{present: present}
	for _, id := range candidates {
		v.candidates = append(v.candidates, candidate{node: id, hash: hashOf(zymember.HostOf(id))})
	}
	for _, host := range knownHosts {
		v.knownHosts = append(v.knownHosts, hashOf(host))
	}
	return v
}

// equal reports whether both views hold the same. The order of nodes and hosts counts.
func (v *View) equal(w *View) bool {
	return w != nil && v.present == w.present && slices.Equal(v.candidates, w.candidates) && slices.Equal(v.knownHosts, w.knownHosts)
}

func hashOf[T ~string](s T) uint64 {
	return xxhash.Sum64String(string(s))
}

// weight combines two hashes (the finalizer of SplitMix64).
func weight(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ownerOf returns the node that owns the customer, chosen by rendezvous hashing over the
// hosts, so that the loss of a host moves only its own customers.
func (v *View) ownerOf(c zinniayoke.Customer) zinniayoke.NodeID {
	var owner zinniayoke.NodeID
	var highest uint64
	h := hashOf(c)
	for _, candidate := range v.candidates {
		if w := weight(candidate.hash, h); w >= highest {
			owner, highest = candidate.node, w
		}
	}
	return owner
}

// without returns the view without a node as a candidate.
func (v *View) without(node zinniayoke.NodeID) *View {
	w := *v
	w.candidates = slices.DeleteFunc(slices.Clone(v.candidates), func(c candidate) bool { return c.node == node })
	return &w
}

// fallback returns the token bucket of this host if the owner of the customer cannot be
// reached: an equal share of the rate among all known hosts, without the burst. The buckets of
// all hosts hold as many tokens together as the leases would, but each at least one. If that
// is too much, only the first hosts in the rendezvous order of the customer have a share.
func (v *View) fallback(b Bounds, l zinniayoke.CustomerLimit, host string) (rate, capacity float64) {
	sharing := min(len(v.knownHosts), int(l.Burst+b.excess(l)*heldExcessShare))
	if sharing == 0 {
		return 0, 0
	}
	h := hashOf(l.Customer)
	own, earlier := weight(hashOf(host), h), 0
	for _, known := range v.knownHosts {
		if weight(known, h) > own {
			earlier++
		}
	}
	if earlier >= sharing {
		return 0, 0
	}
	return float64(l.Rate) / float64(sharing), max(b.maxHeld(l)/float64(sharing), 1)
}

// share returns which part of the hosts is present.
func (v *View) share() float64 {
	if len(v.knownHosts) == 0 {
		return 0
	}
	return float64(v.present) / float64(len(v.knownHosts))
}
