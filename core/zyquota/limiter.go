package zyquota

import (
	"context"
	"time"

	"zinniayoke"
)

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	Self   zinniayoke.NodeID
	Bounds Bounds
	Client zinniayoke.QuotaClient
}

// Limiter implements zinniayoke.CustomerLimiter. It is safe for concurrent use. Use
// NewLimiter to create one.
type Limiter struct {
	cfg    LimiterConfig
	owner  *Owner
	leases *Leases
	// limits are those of the latest tick.
	limits *Limits
}

// NewLimiter returns a Limiter, which refuses all requests before Tick is called.
func NewLimiter(cfg LimiterConfig) *Limiter {
	if cfg.Bounds == (Bounds{}) {
		cfg.Bounds = DefaultBounds()
	}
	return &Limiter{
		cfg:    cfg,
		owner:  NewOwner(OwnerConfig{Self: cfg.Self, Bounds: cfg.Bounds}),
		leases: NewLeases(LeasesConfig{Self: cfg.Self, Bounds: cfg.Bounds}),
	}
}

// Tick updates what the limiter knows of other nodes and of the limits. It must be called
// several times a second, by one goroutine at a time.
func (l *Limiter) Tick(now time.Time, s Situation) {
	l.owner.Tick(now, s)
	l.leases.SetView(s.View)
	if s.Limits != l.limits {
		l.limits = s.Limits
		l.leases.Prune(s.Limits)
	}
	for former, r := range l.owner.Takeovers(now) {
		go l.takeOver(former, r)
	}
}

// takeOver asks the former owner of customers to hand them over. If it does not, their buckets
// start empty.
func (l *Limiter) takeOver(former zinniayoke.NodeID, r *zinniayoke.QuotaRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTime)
	defer cancel()
	if h, err := l.cfg.Client.ReleaseQuota(ctx, former, r); err == nil {
		l.owner.Adopt(time.Now(), r, h)
	}
}

// Release hands customers that this node has owned over to their new owner.
func (l *Limiter) Release(now time.Time, r *zinniayoke.QuotaRelease) *zinniayoke.QuotaHandover {
	return l.owner.Release(now, r)
}

// Handle grants tokens of the customers that this node owns to another node.
func (l *Limiter) Handle(now time.Time, r *zinniayoke.QuotaRequest) *zinniayoke.QuotaReply {
	return l.owner.Handle(now, r)
}

// Take takes a token of the customer. It waits for the customer's owner for maxWait at most.
func (l *Limiter) Take(ctx context.Context, limit zinniayoke.CustomerLimit) error {
	if limit.Rate <= 0 {
		return nil
	}
	d := l.leases.Take(time.Now(), limit, false)
	if d.Granted || d.Wait == nil {
		l.send(d.Send)
		return d.err()
	}
	return l.wait(ctx, limit, d)
}

// wait waits until the owner has replied, and repeats Take until a token is granted or
// refused.
func (l *Limiter) wait(ctx context.Context, limit zinniayoke.CustomerLimit, d Decision) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for d.Wait != nil {
		l.send(d.Send)
		select {
		case <-d.Wait:
		case <-ctx.Done():
			l.leases.EndWait(limit.Customer)
			return (&Decision{RetryAfter: retryPeriod, Detail: "the node that grants the customer's requests does not reply"}).err()
		}
		l.leases.EndWait(limit.Customer)
		d = l.leases.Take(time.Now(), limit, true)
	}
	l.send(d.Send)
	return d.err()
}

// err returns nil if the request may run, else a *zinniayoke.CallError.
func (d *Decision) err() error {
	if d.Granted {
		return nil
	}
	refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonCallerLimit, d.Detail)
	refusal.RetryAfter = d.RetryAfter
	return refusal
}

// Return gives back the token of a request that no worker has run.
func (l *Limiter) Return(c zinniayoke.Customer) {
	l.leases.Return(time.Now(), c)
}

// send sends the messages that are due to an owner, one after the other. Messages to other
// nodes are sent in the background.
func (l *Limiter) send(owner zinniayoke.NodeID) {
	if owner == "" {
		return
	}
	r := l.leases.Next(time.Now(), owner)
	if r == nil {
		return
	}
	if owner == l.cfg.Self {
		now := time.Now()
		l.leases.Finish(now, owner, r, l.owner.Handle(now, r), nil)
		return
	}
	go l.exchange(owner, r)
}

// exchange sends a message to an owner, and those that become due until its reply arrives.
func (l *Limiter) exchange(owner zinniayoke.NodeID, r *zinniayoke.QuotaRequest) {
	for r != nil {
		ctx, cancel := context.WithTimeout(context.Background(), leaseTime)
		reply, err := l.cfg.Client.RequestQuota(ctx, owner, r)
		cancel()
		if !l.leases.Finish(time.Now(), owner, r, reply, err) {
			return
		}
		r = l.leases.Next(time.Now(), owner)
	}
}
