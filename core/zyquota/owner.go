package zyquota

import (
	"math"
	"slices"
	"sync"
	"time"

	"zinniayoke"
)

// leaseTime is how long a lease is valid, from the time when it was requested.
const leaseTime = 1 * time.Second

const (
	// settleTime is how long a new owner waits before its buckets fill, and how long an owner
	// waits before it grants more because hosts have returned. The former owner, or that of
	// another part of the network, learns of the change within this time.
	// Without it, one of about 3,000 random sequences of faults broke the rule, even if only
	// successors of lost owners began to grant at once.
	settleTime = 2500 * time.Millisecond
	// startSettleTime is settleTime for a node that has never granted tokens. Nodes that start
	// at once find each other within 0.3 s. Until it has passed all requests are refused, and
	// with 1.5 s clients were served again only 3 s after a restart of all nodes.
	startSettleTime = 500 * time.Millisecond
	// handoverDelay is how long after it became the owner of a customer a node asks the former
	// owner to hand it over. Until then, the other nodes have learned of the change.
	handoverDelay = 1 * time.Second
	// lingerTime is how long the former owner goes on granting tokens if it is not asked. It
	// ends before the new owner's bucket fills, because news takes less than 1 s to spread.
	lingerTime = 1500 * time.Millisecond
	// maxTickGap is the longest time between two ticks after which a node may still own what
	// it did: no node that responds again within it has been declared lost.
	maxTickGap = 2 * time.Second
	// maxReservation is how far ahead tokens are reserved for a node that was refused, and
	// reservationGrace how long they are kept for it.
	maxReservation   = 2 * time.Second
	reservationGrace = 250 * time.Millisecond
	// reservationPeriod is the period of demand that the reservations of all nodes cover.
	reservationPeriod = 500 * time.Millisecond
	// minReservation is the number of tokens that a node must want for a reservation. With
	// reservations for nodes that want fewer, customers with 6 requests a second got 70% of
	// their limit at 79 nodes.
	minReservation = 4
	notOwnerWait   = 200 * time.Millisecond
	// minAheadLevel is the fill level of a bucket above which tokens are granted ahead of
	// need. The rest is kept for requests that wait.
	minAheadLevel = 0.5
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Self   zinniayoke.NodeID
	Bounds Bounds
}

// Limits holds the limits of all customers that have one. It is immutable.
type Limits struct {
	byCustomer map[zinniayoke.Customer]zinniayoke.CustomerLimit
}

// NewLimits returns the given limits, without those that have no rate.
func NewLimits(limits []zinniayoke.CustomerLimit) *Limits {
	l := &Limits{byCustomer: make(map[zinniayoke.Customer]zinniayoke.CustomerLimit, len(limits))}
	for _, limit := range limits {
		if limit.Rate > 0 {
			l.byCustomer[limit.Customer] = limit
		}
	}
	return l
}

// Of returns the limit of a customer and whether it has one.
func (l *Limits) Of(c zinniayoke.Customer) (zinniayoke.CustomerLimit, bool) {
	limit, ok := l.byCustomer[c]
	return limit, ok
}

// Situation is what a node knows at a tick.
type Situation struct {
	View *View
	// Connected is false if the node has received nothing from other nodes lately, although
	// it knows of some.
	Connected bool
	Limits    *Limits
}

// Owner keeps the token buckets of the customers that this node owns. It is safe for
// concurrent use. Use NewOwner to create one.
type Owner struct {
	cfg  OwnerConfig
	mu   sync.Mutex
	view *View
	// viewSince is when the view changed last.
	viewSince time.Time
	limits    *Limits
	lastTick  time.Time
	// share is the part of each limit that this node grants, according to the part of the
	// hosts that it can reach.
	share float64
	// higherSince is when the hosts began to allow a higher share, lowestHigher the lowest
	// such share since then.
	higherSince  time.Time
	lowestHigher float64
	buckets      map[zinniayoke.Customer]*bucket
}

// NewOwner returns an Owner, which grants nothing before Tick is called.
func NewOwner(cfg OwnerConfig) *Owner {
	return &Owner{cfg: cfg, limits: NewLimits(nil), buckets: make(map[zinniayoke.Customer]*bucket)}
}

// Tick updates the customers that this node owns and the share that it grants. It must be
// called several times a second.
func (o *Owner) Tick(now time.Time, s Situation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkPause(now)
	o.lastTick = now
	changed, former := s.Limits != o.limits, o.view
	if s.View != o.view && !s.View.equal(o.view) {
		changed = true
		o.viewSince = now
	}
	o.view, o.limits = s.View, s.Limits
	if changed {
		o.updateOwned(now, former)
	}
	o.updateShare(now, s)
	for c, b := range o.buckets {
		if !b.endsAt.IsZero() && !now.Before(b.endsAt) {
			delete(o.buckets, c)
			continue
		}
		b.refill(now, o.share)
		b.expire(now)
	}
}

// Takeovers returns the customers that this node has owned for handoverDelay, by their former
// owners, which are to hand them over. It returns each customer once.
func (o *Owner) Takeovers(now time.Time) map[zinniayoke.NodeID]*zinniayoke.QuotaRelease {
	o.mu.Lock()
	defer o.mu.Unlock()
	var due map[zinniayoke.NodeID]*zinniayoke.QuotaRelease
	for c, b := range o.buckets {
		if b.former == "" || !b.formerLost && now.Sub(b.since) < handoverDelay {
			continue
		}
		if now.Before(b.filledFrom) {
			if due == nil {
				due = make(map[zinniayoke.NodeID]*zinniayoke.QuotaRelease)
			}
			if due[b.former] == nil {
				due[b.former] = &zinniayoke.QuotaRelease{}
			}
			due[b.former].Customers = append(due[b.former].Customers, c)
		}
		b.former = ""
	}
	return due
}

// Release hands customers over to their new owner.
func (o *Owner) Release(now time.Time, r *zinniayoke.QuotaRelease) *zinniayoke.QuotaHandover {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkPause(now)
	h := &zinniayoke.QuotaHandover{Share: o.share}
	for _, c := range r.Customers {
		level := zinniayoke.QuotaLevel{}
		if b, ok := o.buckets[c]; ok && !now.Before(b.filledFrom) {
			b.refill(now, o.share)
			level = zinniayoke.QuotaLevel{Owned: true, Tokens: b.level}
			delete(o.buckets, c)
			// If the new owner is lost before this node learns of it, this node owns the
			// customer again without a change of its view.
			o.view = nil
		}
		h.Buckets = append(h.Buckets, level)
	}
	return h
}

// Adopt continues the buckets that the former owner has handed over.
func (o *Owner) Adopt(now time.Time, r *zinniayoke.QuotaRelease, h *zinniayoke.QuotaHandover) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.view == nil || len(h.Buckets) != len(r.Customers) || now.Sub(o.lastTick) > maxTickGap {
		return
	}
	for i, c := range r.Customers {
		b, ok := o.buckets[c]
		switch {
		case !ok || !now.Before(b.filledFrom):
			continue
		case !h.Buckets[i].Owned:
			continue
		}
		o.setShare(now, max(o.share, min(h.Share, o.view.share())))
		b.level = min(h.Buckets[i].Tokens, b.capacity(o.share))
		b.filledFrom = now
		// The leases that the former owner has granted are not known here.
		b.aheadFrom = now.Add(leaseTime)
	}
}

// checkPause empties all buckets if the process was paused for so long that other nodes may
// have become the owners meanwhile.
func (o *Owner) checkPause(now time.Time) {
	if o.lastTick.IsZero() || now.Sub(o.lastTick) <= maxTickGap {
		return
	}
	o.lastTick = now
	for _, b := range o.buckets {
		b.restart(now, settleTime)
	}
}

// updateOwned adds a bucket for each customer that this node owns now and removes those of
// customers that it no longer owns. A new bucket is empty if the owners have just changed.
// That of a customer that is new in the bundle holds what has accrued since they did.
func (o *Owner) updateOwned(now time.Time, former *View) {
	for c, limit := range o.limits.byCustomer {
		owned := o.view.ownerOf(c) == o.cfg.Self
		b, ok := o.buckets[c]
		switch {
		case owned && !ok:
			b = &bucket{limit: limit, leases: make(map[uint32]granted)}
			b.former, b.formerLost = o.formerOwner(c, former)
			b.restart(o.viewSince, o.settleTime())
			o.buckets[c] = b
		case owned && b.limit != limit:
			b.refill(now, o.share)
			b.setLimit(limit, o.share)
		case owned:
			b.endsAt = time.Time{}
		case ok && b.endsAt.IsZero():
			b.endsAt = now.Add(lingerTime)
		}
	}
	for c := range o.buckets {
		if _, ok := o.limits.Of(c); !ok {
			delete(o.buckets, c)
		}
	}
}

// settleTime returns how long new buckets and a higher share wait.
func (o *Owner) settleTime() time.Duration {
	if o.share == 0 {
		return startSettleTime
	}
	return settleTime
}

// formerOwner returns the node that owned a customer in the former view, and whether it is no
// candidate any more. A node that has just joined had no view.
func (o *Owner) formerOwner(c zinniayoke.Customer, former *View) (node zinniayoke.NodeID, lost bool) {
	if former != nil {
		node = former.ownerOf(c)
	}
	if node == "" || node == o.cfg.Self {
		return o.view.without(o.cfg.Self).ownerOf(c), false
	}
	return node, !slices.ContainsFunc(o.view.candidates, func(other candidate) bool { return other.node == node })
}

// updateShare lowers the share at once when hosts are lost, and raises it only after
// settleTime, because hosts that return may still use tokens of another owner.
func (o *Owner) updateShare(now time.Time, s Situation) {
	target := s.View.share()
	if !s.Connected {
		target = min(target, 1/float64(max(len(s.View.knownHosts), 1)))
	}
	switch {
	case target <= o.share:
		o.higherSince = time.Time{}
		o.setShare(now, target)
	case o.higherSince.IsZero():
		o.higherSince, o.lowestHigher = now, target
	default:
		o.lowestHigher = min(o.lowestHigher, target)
		if now.Sub(o.higherSince) >= o.settleTime() {
			o.higherSince = time.Time{}
			o.setShare(now, o.lowestHigher)
		}
	}
}

func (o *Owner) setShare(now time.Time, share float64) {
	if share == o.share {
		return
	}
	for _, b := range o.buckets {
		b.refill(now, o.share)
	}
	o.share = share
	for _, b := range o.buckets {
		b.level = min(b.level, b.capacity(share))
	}
}

// Handle grants tokens to an entry node. They are deducted before the reply is sent.
func (o *Owner) Handle(now time.Time, r *zinniayoke.QuotaRequest) *zinniayoke.QuotaReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkPause(now)
	reply := &zinniayoke.QuotaReply{Grants: make([]zinniayoke.QuotaGrant, 0, len(r.Asks))}
	for i := range r.Asks {
		reply.Grants = append(reply.Grants, o.grant(now, r.Node, &r.Asks[i]))
	}
	return reply
}

func (o *Owner) grant(now time.Time, node uint32, a *zinniayoke.QuotaAsk) zinniayoke.QuotaGrant {
	b, ok := o.buckets[a.Customer]
	if !ok {
		return zinniayoke.QuotaGrant{State: zinniayoke.QuotaNotOwner, WaitMs: milliseconds(notOwnerWait)}
	}
	wait, share := max(b.filledFrom.Sub(now), 0), o.share
	if share == 0 && !o.higherSince.IsZero() {
		share, wait = o.lowestHigher, max(wait, o.higherSince.Add(o.settleTime()).Sub(now))
	}
	if wait > 0 || o.share == 0 {
		return zinniayoke.QuotaGrant{State: zinniayoke.QuotaSettling, WaitMs: milliseconds(wait + b.timeFor(1, max(share, minShare)))}
	}
	b.refill(now, o.share)
	b.expire(now)
	return b.grant(now, node, a, terms{share: o.share, maxHeld: o.cfg.Bounds.maxHeld(b.limit) * o.share})
}

// minShare limits the wait that an owner names while it grants nothing.
const minShare = 0.01

func milliseconds(d time.Duration) int {
	const longest = time.Minute
	return int((min(d, longest) + time.Millisecond - 1) / time.Millisecond)
}

// bucket is the token bucket of one customer with the leases granted from it.
type bucket struct {
	limit zinniayoke.CustomerLimit
	// level is the number of tokens, without those that are reserved. It is negative if
	// tokens that have not accrued yet are reserved.
	level float64
	// filledFrom is the time up to which the bucket has been filled. It is in the future
	// while the owner settles.
	filledFrom time.Time
	leases     map[uint32]granted
	// former is the owner that is to hand the customer over, "" if it was asked or there is
	// none.
	former zinniayoke.NodeID
	// formerLost is true if the former owner has been declared lost or leaves. It is asked at
	// once then: it may end soon.
	formerLost bool
	// since is when the bucket was empty and began to settle.
	since time.Time
	// endsAt is when a node that is not the owner any more stops to grant; zero for the owner.
	endsAt time.Time
	// aheadFrom is from when on tokens are granted ahead of need.
	aheadFrom time.Time
}

// granted is what a node got from a bucket.
type granted struct {
	// tokens is the number of tokens in the node's lease, and expires when it is certain
	// that the lease has expired.
	tokens  int
	expires time.Time
	// reserved is the number of tokens that the node can have from ready on.
	reserved int
	ready    time.Time
}

// terms limits what a bucket grants.
type terms struct {
	share   float64
	maxHeld float64
}

// restart empties the bucket, which begins to fill after the given time.
func (b *bucket) restart(now time.Time, settle time.Duration) {
	b.level = 0
	b.since = now
	b.filledFrom = now.Add(settle)
	for node, g := range b.leases {
		g.reserved = 0
		b.leases[node] = g
	}
}

func (b *bucket) setLimit(l zinniayoke.CustomerLimit, share float64) {
	b.limit = l
	b.level = min(b.level, b.capacity(share))
}

// capacity returns how many tokens the bucket holds. Without a burst it holds one, so that
// there are whole tokens to grant.
func (b *bucket) capacity(share float64) float64 {
	return max(b.limit.Burst, 1) * share
}

func (b *bucket) refill(now time.Time, share float64) {
	elapsed := now.Sub(b.filledFrom)
	if elapsed <= 0 {
		return
	}
	b.filledFrom = now
	b.level = min(b.level+float64(b.limit.Rate)*share*elapsed.Seconds(), b.capacity(share))
}

// expire removes leases that have expired and reservations that were not used.
func (b *bucket) expire(now time.Time) {
	for node, g := range b.leases {
		if g.reserved > 0 && now.Sub(g.ready) > reservationGrace {
			b.level += float64(g.reserved)
			g.reserved = 0
		}
		if !now.Before(g.expires) {
			g.tokens = 0
			if g.reserved == 0 {
				delete(b.leases, node)
				continue
			}
		}
		b.leases[node] = g
	}
}

// timeFor returns the time until the bucket has n tokens.
func (b *bucket) timeFor(n int, share float64) time.Duration {
	missing := float64(n) - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / (float64(b.limit.Rate) * share) * float64(time.Second))
}

// grant replaces the lease of a node. Requests that wait are served first. Tokens ahead of
// need are granted only while the bucket is nearly full and all leases stay within the
// bound. If there are too few tokens, some of the next are reserved for the node, which
// gets the time when they are ready.
func (b *bucket) grant(now time.Time, node uint32, a *zinniayoke.QuotaAsk, t terms) zinniayoke.QuotaGrant {
	g := b.leases[node]
	room := max(int(t.maxHeld)-b.heldByOthers(node), 0)
	held := min(max(a.Held, 0), room)
	// Tokens that expired unused, and those that no longer fit the bound, go back.
	b.level = min(b.level+float64(max(a.Unused, 0)+max(a.Held, 0)-held), b.capacity(t.share))
	needed, wanted := max(a.Needed, 0), min(max(a.Wanted, 0), room)
	fresh := 0
	if g.reserved > 0 && !now.Before(g.ready) {
		fresh = min(g.reserved, needed+room-held)
		b.level += float64(g.reserved - fresh)
		g.reserved = 0
	}
	waiting := max(needed-held-fresh, 0)
	served := min(waiting, b.whole())
	b.level -= float64(served)
	fresh += served
	ahead := min(wanted-(held+fresh-needed), int(b.level-minAheadLevel*b.capacity(t.share)))
	if waiting == served && ahead > 0 && !now.Before(b.aheadFrom) {
		b.level -= float64(ahead)
		fresh += ahead
	}
	reply := zinniayoke.QuotaGrant{Lease: held + fresh}
	if waiting > served {
		reply.WaitMs = milliseconds(b.reserve(now, &g, max(a.Wanted, 0), t.share))
	}
	// The requests that wait use their tokens at once, so these are not outstanding.
	g.tokens, g.expires = max(reply.Lease-needed, 0), now.Add(leaseTime)
	if node != 0 {
		b.leases[node] = g
	}
	return reply
}

// whole returns the number of whole tokens.
func (b *bucket) whole() int {
	return max(int(b.level), 0)
}

func (b *bucket) heldByOthers(node uint32) int {
	held := 0
	for other, g := range b.leases {
		if other != node {
			held += g.tokens
		}
	}
	return held
}

// reserve reserves up to n tokens, those that the node wants, for a node and returns the time until they are ready. It
// reserves none if that is too far away, or if the node's demand is so low that its next
// request would come too late: then the first node that asks gets the next token.
func (b *bucket) reserve(now time.Time, g *granted, n int, share float64) time.Duration {
	if g.reserved > 0 {
		return g.ready.Sub(now)
	}
	if n < minReservation {
		return b.timeFor(1, share)
	}
	fair := float64(b.limit.Rate) * share * reservationPeriod.Seconds() / float64(len(b.leases)+1)
	n = max(min(n, int(math.Floor(fair))), 1)
	wait := b.timeFor(n, share)
	if wait > maxReservation {
		return wait
	}
	g.reserved, g.ready = n, now.Add(wait)
	b.level -= float64(n)
	return wait
}
