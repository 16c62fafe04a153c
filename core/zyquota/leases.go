package zyquota

import (
	"errors"
	"math"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zymember"
)

const (
	// fallbackDelay is how long the owner of a customer must have been unreachable before
	// entry nodes grant themselves an equal share. By then the owner has noticed that it is
	// cut off, or other nodes have declared it lost.
	fallbackDelay = 4 * time.Second
	// retryPeriod is the time between requests to an owner that cannot be reached.
	retryPeriod = 250 * time.Millisecond
	// failureMemory is how long after its latest message failed an owner counts as unreachable.
	// It is longer than the time between two messages if requests arrive.
	failureMemory = 3 * time.Second
	// maxWait is how long a request waits for a token. The first message to an owner in another
	// region connects, does the handshake and asks, which takes four round trips of 60 ms. With
	// 100 ms, 677 requests were refused in 14 s on 26 nodes.
	maxWait = 300 * time.Millisecond
	// demandPeriod is the time constant of the demand estimate.
	demandPeriod = 2 * time.Second
	// leaseCover is the part of the lease time whose demand a lease covers.
	leaseCover = 0.9
	// aheadDemand is the demand in requests per second from which a node requests tokens
	// ahead of need. Below it, most of these tokens would expire unused.
	aheadDemand = 2
	// switchTime is how long a node goes on asking the former owner of a customer, which
	// refuses once it has handed the customer over.
	switchTime = 1500 * time.Millisecond
	// refundPeriod is how long after their expiry unused tokens may be given back.
	refundPeriod = 1 * time.Second
)

// LeasesConfig configures Leases.
type LeasesConfig struct {
	Self   zinniayoke.NodeID
	Bounds Bounds
}

// Leases holds the tokens that an entry node may use. It is safe for concurrent use. Use
// NewLeases to create one.
type Leases struct {
	cfg      LeasesConfig
	host     string
	nodeHash uint32
	mu       sync.Mutex
	view     *View
	leases   map[zinniayoke.Customer]*lease
	owners   map[zinniayoke.NodeID]*ownerLink
	// messages counts the messages to other nodes.
	messages int64
}

// ownerLink is the state of the messages to one owner, of which one at a time waits for its
// reply.
type ownerLink struct {
	node zinniayoke.NodeID
	// sent is when the waiting message was sent; zero if there is none.
	sent time.Time
	// done is closed when the reply to the waiting or the next message has been handled.
	done chan struct{}
	// due holds the leases to include in the next message.
	due []*lease
	// failingSince is when the first message was sent since the owner cannot be reached;
	// zero if it can. failedAt is when the latest one failed. Nothing is sent before retryAt.
	failingSince time.Time
	failedAt     time.Time
	retryAt      time.Time
	// gone is true if the process of the owner certainly does not run.
	gone bool
}

// lease is what an entry node may use for one customer.
type lease struct {
	limit zinniayoke.CustomerLimit
	view  *View
	owner *ownerLink
	// next is the new owner, which is asked from switchAt on or when the former one refuses;
	// nil if the owner has not changed lately.
	next     *ownerLink
	switchAt time.Time
	// formerAsked is true if the former owner was asked because the new one settles.
	formerAsked bool
	tokens      int
	// expires is when tokens expire.
	expires time.Time
	// unused counts the tokens that expired at unusedAt.
	unused   int
	unusedAt time.Time
	// sent is true while a message that asks for this customer waits for its reply, and
	// taken is the number of tokens that were taken since it was sent.
	sent  bool
	taken int
	// waiting is the number of requests that wait for a token.
	waiting int
	due     bool
	// retryAt is when the owner expects the next token, and aheadAt when tokens are requested
	// ahead of need again.
	retryAt time.Time
	aheadAt time.Time
	demand  estimate
	// outage is since when no owner grants tokens because none can be reached or the one
	// that was reached does not grant yet. It is zero if one does. outageSeen is when that
	// was noticed last.
	outage     time.Time
	outageSeen time.Time
	// ownerGone is true if the process of the owner did certainly not run in the outage.
	ownerGone bool
	local     localBucket
	// granted and refused count the decisions on requests.
	granted int64
	refused int64
}

// estimate is an exponentially weighted estimate of a rate.
type estimate struct {
	perS    float64
	updated time.Time
}

func (e *estimate) decay(now time.Time) {
	if elapsed := now.Sub(e.updated); elapsed > 0 {
		e.perS *= math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
		e.updated = now
	}
}

func (e *estimate) observe(now time.Time) {
	e.decay(now)
	e.perS += 1 / demandPeriod.Seconds()
}

// localBucket is the token bucket of a node's equal share.
type localBucket struct {
	level   float64
	updated time.Time
}

// NewLeases returns Leases without tokens.
func NewLeases(cfg LeasesConfig) *Leases {
	return &Leases{
		cfg: cfg, host: zymember.HostOf(cfg.Self), nodeHash: uint32(hashOf(cfg.Self)), view: NewView(nil, 0, nil),
		leases: make(map[zinniayoke.Customer]*lease), owners: make(map[zinniayoke.NodeID]*ownerLink),
	}
}

// SetView sets the nodes from which the owners are chosen.
func (l *Leases) SetView(v *View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v == l.view || v.equal(l.view) {
		return
	}
	l.view = v
	used := make(map[*ownerLink]bool)
	for _, s := range l.leases {
		used[s.owner], used[s.next] = true, true
	}
	for node, link := range l.owners {
		if !used[link] && link.sent.IsZero() && len(link.due) == 0 {
			delete(l.owners, node)
		}
	}
}

// Prune removes the leases of customers that have no limit any more.
func (l *Leases) Prune(limits *Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, s := range l.leases {
		if _, ok := limits.Of(c); !ok && !s.sent && !s.due && s.waiting == 0 {
			delete(l.leases, c)
		}
	}
}

// Decision is the result of Take.
type Decision struct {
	// Granted is true if the request may run.
	Granted bool
	// Wait is closed when Take should be tried again; nil if the request need not wait.
	// Each Take that returned a Wait must be followed by EndWait.
	Wait <-chan struct{}
	// RetryAfter is the time until the next token is expected, if the request is refused.
	RetryAfter time.Duration
	// Detail says why the request is refused.
	Detail string
	// Send is the owner to which a message is due; "" for none.
	Send zinniayoke.NodeID
}

// Take takes a token for a request. repeated is true if the request has waited before.
func (l *Leases) Take(now time.Time, limit zinniayoke.CustomerLimit, repeated bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.leaseOf(now, limit)
	if !repeated {
		s.demand.observe(now)
	}
	d := l.decide(now, s)
	switch {
	case d.Granted:
		s.granted++
	case d.Wait == nil:
		s.refused++
	}
	return d
}

func (l *Leases) decide(now time.Time, s *lease) Decision {
	if s.valid(now) {
		s.tokens--
		s.taken++
		return Decision{Granted: true, Send: l.requestAhead(now, s)}
	}
	if s.owner == nil {
		return Decision{RetryAfter: retryPeriod, Detail: "no node is known that could own the customer"}
	}
	if wait := s.owner.blockedFor(now); wait > 0 {
		s.failed(now, s.owner)
		return l.takeFallback(now, s, wait)
	}
	if wait := s.retryAt.Sub(now); wait > 0 {
		if s.outage.IsZero() {
			return Decision{RetryAfter: wait, Detail: "the customer is over its rate"}
		}
		return l.takeFallback(now, s, wait)
	}
	if s.inFallback(now) {
		d := l.takeFallback(now, s, retryPeriod)
		d.Send = s.request()
		return d
	}
	s.waiting++
	return Decision{Wait: s.owner.done, Send: s.request()}
}

// EndWait ends the wait of a request.
func (l *Leases) EndWait(c zinniayoke.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.leases[c]; ok {
		s.waiting--
	}
}

// Return gives back the token of a request that no worker has run.
func (l *Leases) Return(now time.Time, c zinniayoke.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.leases[c]
	switch {
	case !ok:
	case s.inFallback(now):
		s.local.level++
	case now.Before(s.expires):
		s.tokens++
		s.taken--
	default:
		s.addUnused(now, 1)
	}
}

// leaseOf returns the lease of a customer with its current owner.
func (l *Leases) leaseOf(now time.Time, limit zinniayoke.CustomerLimit) *lease {
	s, ok := l.leases[limit.Customer]
	if !ok {
		s = &lease{}
		l.leases[limit.Customer] = s
	}
	s.limit = limit
	if s.view != l.view {
		s.view = l.view
		l.updateOwner(now, s)
	}
	if s.next != nil && (!now.Before(s.switchAt) || s.owner.blockedFor(now) > 0) {
		s.switchOwner()
	}
	return s
}

// updateOwner chooses the owner of a customer after the view has changed.
func (l *Leases) updateOwner(now time.Time, s *lease) {
	node := l.view.ownerOf(s.limit.Customer)
	s.formerAsked = false
	switch {
	case node == "":
		s.owner, s.next = nil, nil
	case s.owner == nil:
		s.owner = l.linkTo(node)
	case s.owner.node == node:
		s.next = nil
	case s.next == nil || s.next.node != node:
		s.next, s.switchAt = l.linkTo(node), now.Add(switchTime)
	}
}

// switchOwner replaces the owner of a customer by the new one.
func (s *lease) switchOwner() {
	s.owner, s.next = s.next, nil
	s.retryAt = time.Time{}
	s.unused = 0
	s.due = false
}

func (l *Leases) linkTo(node zinniayoke.NodeID) *ownerLink {
	link, ok := l.owners[node]
	if !ok {
		link = &ownerLink{node: node, done: make(chan struct{})}
		l.owners[node] = link
	}
	return link
}

// valid reports whether the lease has a token. Tokens that have expired are removed.
func (s *lease) valid(now time.Time) bool {
	if s.tokens > 0 && !now.Before(s.expires) {
		if !s.sent { // The owner counts the tokens in a message that it gets as held.
			s.addUnused(s.expires, s.tokens)
		}
		s.tokens = 0
	}
	return s.tokens > 0
}

func (s *lease) addUnused(at time.Time, n int) {
	if at.Sub(s.unusedAt) > refundPeriod {
		s.unused = 0
	}
	s.unused += n
	s.unusedAt = at
}

// failed records that the owner cannot be reached.
func (s *lease) failed(now time.Time, o *ownerLink) {
	s.observeOutage(now, o.failingSince)
	s.ownerGone = s.ownerGone || o.gone
}

// observeOutage records that no owner has granted tokens since the given time.
func (s *lease) observeOutage(now, since time.Time) {
	if s.outage.IsZero() || now.Sub(s.outageSeen) > failureMemory {
		s.outage, s.ownerGone = since, false
	}
	s.outageSeen = now
}

// fail records that a message to the owner that was sent at the given time has failed.
func (o *ownerLink) fail(now, sent time.Time) {
	if o.failingSince.IsZero() || now.Sub(o.failedAt) > failureMemory {
		o.failingSince = sent
	}
	o.failedAt = now
}

// blockedFor returns how long nothing is sent to the owner because it cannot be reached, or
// because it has not replied to a message for longer than a request may wait.
func (o *ownerLink) blockedFor(now time.Time) time.Duration {
	if !o.sent.IsZero() && now.Sub(o.sent) > maxWait {
		o.fail(now, o.sent)
		return retryPeriod
	}
	return o.retryAt.Sub(now)
}

// requestAhead requests the next tokens when the last one is taken, if the demand is high
// enough to need them before they expire. It returns the owner if a message is due.
func (l *Leases) requestAhead(now time.Time, s *lease) zinniayoke.NodeID {
	if s.tokens > 0 || s.demand.perS < aheadDemand || s.owner == nil || s.sent ||
		now.Before(s.retryAt) || now.Before(s.aheadAt) || s.owner.blockedFor(now) > 0 {
		return ""
	}
	return s.request()
}

// request includes the lease in the next message to the owner, and returns the owner if no
// message waits for its reply.
func (s *lease) request() zinniayoke.NodeID {
	if !s.due && !s.sent {
		s.due = true
		s.owner.due = append(s.owner.due, s)
	}
	if !s.owner.sent.IsZero() {
		return ""
	}
	return s.owner.node
}

// inFallback reports whether this node grants itself its equal share.
func (s *lease) inFallback(now time.Time) bool {
	return !s.outage.IsZero() && now.Sub(s.outageSeen) <= failureMemory && (s.ownerGone || now.Sub(s.outage) >= fallbackDelay)
}

// takeFallback takes a token of this node's equal share if it may use that yet. wait is the
// time until the owner is tried again.
func (l *Leases) takeFallback(now time.Time, s *lease, wait time.Duration) Decision {
	if !s.inFallback(now) {
		return Decision{RetryAfter: wait, Detail: "the node that grants the customer's requests cannot be reached"}
	}
	const detail = "the customer is over this node's share of its rate"
	rate, capacity := l.view.fallback(l.cfg.Bounds, s.limit, l.host)
	if rate <= 0 {
		return Decision{RetryAfter: max(wait, time.Second), Detail: detail}
	}
	b := &s.local
	if b.updated.Before(s.outage) {
		*b = localBucket{updated: now}
	}
	b.level = min(b.level+rate*now.Sub(b.updated).Seconds(), capacity)
	b.updated = now
	if b.level < 1 {
		return Decision{RetryAfter: time.Duration((1 - b.level) / rate * float64(time.Second)), Detail: detail}
	}
	b.level--
	return Decision{Granted: true}
}

// Next returns the next message to an owner, or nil if none is due or one waits for its
// reply. Finish must be called with its result.
func (l *Leases) Next(now time.Time, owner zinniayoke.NodeID) *zinniayoke.QuotaRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, ok := l.owners[owner]
	if !ok || !link.sent.IsZero() || len(link.due) == 0 || now.Before(link.retryAt) {
		return nil
	}
	r := &zinniayoke.QuotaRequest{}
	for _, s := range link.due {
		if s.owner != link {
			continue // The customer has another owner now.
		}
		s.due = false
		a := s.ask(now)
		if a.Held > 0 || a.Wanted > 0 {
			r.Node = l.nodeHash
		}
		r.Asks = append(r.Asks, a)
	}
	link.due = link.due[:0]
	if len(r.Asks) == 0 {
		return nil
	}
	link.sent = now
	if owner != l.cfg.Self {
		l.messages++
	}
	return r
}

// ask returns the part of a message for one customer.
func (s *lease) ask(now time.Time) zinniayoke.QuotaAsk {
	s.demand.decay(now)
	a := zinniayoke.QuotaAsk{
		Customer: s.limit.Customer, Needed: s.waiting,
		Wanted: int(math.Round(s.demand.perS * leaseTime.Seconds() * leaseCover)),
	}
	if s.valid(now) {
		a.Held = s.tokens
	}
	if now.Sub(s.unusedAt) <= refundPeriod {
		a.Unused = s.unused
	}
	// Tokens are given back at most once: if the message is lost, they are lost with it.
	s.unused = 0
	s.sent, s.taken = true, 0
	return a
}

// Finish handles the result of the message that waits for its reply. It wakes the requests
// that wait for it, and reports whether another message to the owner is due.
func (l *Leases) Finish(now time.Time, owner zinniayoke.NodeID, r *zinniayoke.QuotaRequest, reply *zinniayoke.QuotaReply, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.linkTo(owner)
	sent := link.sent
	if err == nil && len(reply.Grants) != len(r.Asks) {
		err = errMalformed
	}
	if err != nil {
		link.fail(now, sent)
		link.retryAt = now.Add(retryPeriod)
		link.gone = errors.Is(err, zinniayoke.ErrNotRunning)
	} else {
		link.failingSince, link.gone = time.Time{}, false
	}
	for i := range r.Asks {
		s := l.leases[r.Asks[i].Customer]
		s.sent = false
		current := s.owner == link
		switch {
		case err == nil && current && reply.Grants[i].State == zinniayoke.QuotaSettling && !s.formerAsked:
			l.askFormer(now, s)
		case err == nil:
			s.apply(now, sent, reply.Grants[i], current)
		case current:
			s.failed(now, link)
		}
	}
	link.sent = time.Time{}
	close(link.done)
	link.done = make(chan struct{})
	return len(link.due) > 0 && !now.Before(link.retryAt)
}

// askFormer lets the node ask the former owner of a customer while the new one settles. A
// node that has just joined others knows no former owner: it is the next in the order.
func (l *Leases) askFormer(now time.Time, s *lease) {
	s.formerAsked = true
	node := l.view.without(s.owner.node).ownerOf(s.limit.Customer)
	if node == "" || s.next != nil {
		return
	}
	s.next, s.switchAt = s.owner, now.Add(switchTime)
	s.owner = l.linkTo(node)
	s.retryAt = time.Time{}
	s.due = false
}

// errMalformed means that a reply does not match its request.
var errMalformed = errors.New("the reply has another number of grants than the request has asks")

// apply replaces the lease by one that was requested at the given time. current is false if
// the customer has got another owner since.
func (s *lease) apply(now, sent time.Time, g zinniayoke.QuotaGrant, current bool) {
	if !current {
		if g.State == zinniayoke.QuotaActive {
			s.tokens, s.expires = max(g.Lease-s.taken, 0), sent.Add(leaseTime)
		}
		return
	}
	s.retryAt = now.Add(time.Duration(g.WaitMs) * time.Millisecond)
	if g.State != zinniayoke.QuotaActive {
		if s.next != nil {
			s.switchOwner()
			return
		}
		s.observeOutage(now, now)
		return
	}
	s.outage, s.ownerGone = time.Time{}, false
	s.tokens, s.expires = max(g.Lease-s.taken, 0), sent.Add(leaseTime)
	if g.Lease == 0 {
		// The bucket is too low for tokens ahead of need.
		s.aheadAt = now.Add(leaseTime)
	}
}
