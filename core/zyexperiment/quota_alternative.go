package zyexperiment

import (
	"time"

	"zinniayoke"
	"zinniayoke/core/zyquota"
)

// noOwner is the QuotaOwner of policies without owners.
type noOwner struct{}

// Tick does nothing.
func (noOwner) Tick(time.Time, zyquota.Situation) {}

// Handle grants nothing.
func (noOwner) Handle(time.Time, *zinniayoke.QuotaRequest) *zinniayoke.QuotaReply {
	return &zinniayoke.QuotaReply{}
}

// Takeovers returns nothing.
func (noOwner) Takeovers(time.Time) map[zinniayoke.NodeID]*zinniayoke.QuotaRelease { return nil }

// Release hands nothing over.
func (noOwner) Release(time.Time, *zinniayoke.QuotaRelease) *zinniayoke.QuotaHandover {
	return &zinniayoke.QuotaHandover{}
}

// Adopt does nothing.
func (noOwner) Adopt(time.Time, *zinniayoke.QuotaRelease, *zinniayoke.QuotaHandover) {}

// withoutMessages has the methods of a QuotaLeases that sends no messages.
type withoutMessages struct{}

func (withoutMessages) SetView(*zyquota.View)                 {}
func (withoutMessages) EndWait(zinniayoke.Customer)           {}
func (withoutMessages) Return(time.Time, zinniayoke.Customer) {}
func (withoutMessages) Next(time.Time, zinniayoke.NodeID) *zinniayoke.QuotaRequest {
	return nil
}

func (withoutMessages) Finish(time.Time, zinniayoke.NodeID, *zinniayoke.QuotaRequest, *zinniayoke.QuotaReply, error) bool {
	return false
}

// equalShares grants each node the limit divided by the number of nodes.
type equalShares struct {
	withoutMessages
	nodes   float64
	buckets map[zinniayoke.Customer]*idealBucket
}

// Take takes a token from the node's own bucket.
func (e *equalShares) Take(now time.Time, l zinniayoke.CustomerLimit, _ bool) zyquota.Decision {
	l.Rate /= zinniayoke.Rate(e.nodes)
	l.Burst /= e.nodes
	if e.buckets[l.Customer] == nil {
		e.buckets[l.Customer] = &idealBucket{}
	}
	return zyquota.Decision{Granted: e.buckets[l.Customer].take(now, l)}
}

// UseEqualShares replaces the limits by equal shares of all nodes, which send no messages. It
// also stands for counting at the nodes of workers, with as many nodes as there are workers.
func (cfg *QuotaConfig) UseEqualShares() {
	nodes := float64(cfg.Hosts)
	cfg.NewOwner = func(zyquota.OwnerConfig) QuotaOwner { return noOwner{} }
	cfg.NewLeases = func(zyquota.LeasesConfig) QuotaLeases {
		return &equalShares{nodes: nodes, buckets: make(map[zinniayoke.Customer]*idealBucket)}
	}
}

// gossipedCounts lets each node keep a bucket for all nodes, from which it takes its own
// requests at once and those of other nodes when it learns of them.
type gossipedCounts struct {
	withoutMessages
	self    zinniayoke.NodeID
	delay   time.Duration
	sent    map[zinniayoke.Customer][]gossipedRequest
	buckets map[zinniayoke.Customer]*gossipedBucket
}

type gossipedRequest struct {
	at   time.Time
	node zinniayoke.NodeID
}

type gossipedBucket struct {
	idealBucket
	// learned is the number of requests of all nodes that are in the bucket.
	learned int
}

// Take takes a token from the node's copy of the customer's bucket.
func (g *gossipedCounts) Take(now time.Time, l zinniayoke.CustomerLimit, _ bool) zyquota.Decision {
	b := g.buckets[l.Customer]
	if b == nil {
		b = &gossipedBucket{learned: len(g.sent[l.Customer])}
		g.buckets[l.Customer] = b
	}
	for _, r := range g.sent[l.Customer][b.learned:] {
		if now.Sub(r.at) < g.delay {
			break
		}
		b.learned++
		if r.node != g.self {
			b.level--
		}
	}
	granted := b.take(now, l)
	if granted {
		g.sent[l.Customer] = append(g.sent[l.Customer], gossipedRequest{at: now, node: g.self})
	}
	return zyquota.Decision{Granted: granted}
}

// UseGossip replaces the limits by counts that reach all other nodes after the delay. The
// messages are not counted.
func (cfg *QuotaConfig) UseGossip(delay time.Duration) {
	sent := make(map[zinniayoke.Customer][]gossipedRequest)
	cfg.NewOwner = func(zyquota.OwnerConfig) QuotaOwner { return noOwner{} }
	cfg.NewLeases = func(c zyquota.LeasesConfig) QuotaLeases {
		return &gossipedCounts{self: c.Self, delay: delay, sent: sent, buckets: make(map[zinniayoke.Customer]*gossipedBucket)}
	}
}
