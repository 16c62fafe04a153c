package zynode

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zyquota"
	"zinniayoke/io/zylogger"
	"zinniayoke/io/zypeer"
)

const (
	quotaTickPeriod = 250 * time.Millisecond
	// silencePeriod is how long a node that knows others must have received no membership
	// packet to consider itself cut off. It gets at least one in each probe period.
	silencePeriod = 2 * time.Second
)

// customerLimits keeps the limiter of customers up to date with the member list and the
// bundle. It implements zinniayoke.QuotaClient.
type customerLimits struct {
	limiter *zyquota.Limiter
	view    *memberView
	client  *zypeer.Client
	bundle  func() *zybundle.Bundle
	joined  func() bool
	started time.Time
	// heard is when the latest membership packet was received, as the time since started.
	heard atomic.Int64

	// The fields below are used only by tick.
	snapshot  *snapshot
	hasJoined bool
	hosts     *zyquota.View
	current   *zybundle.Bundle
	limits    *zyquota.Limits
	fallbacks int
	log       *zylogger.ComponentLogger
}

// initCustomerLimits creates the limiter of customers.
func (n *Node) initCustomerLimits() {
	c := n.cfg.Settings.CustomerLimits
	n.customerLimits = &customerLimits{
		view: n.view, client: n.client, bundle: n.bundle.Current, joined: n.joined.Load, started: time.Now(), limits: zyquota.NewLimits(nil),
		log: n.logger.ForComponent("limits"),
	}
	n.customerLimits.limiter = zyquota.NewLimiter(zyquota.LimiterConfig{
		Self: n.id, Client: n.customerLimits, Bounds: zyquota.Bounds{Window: c.Window, Overage: c.Overage, Slack: c.Slack},
	})
}

// observePacket records that a membership packet was received.
func (c *customerLimits) observePacket() {
	c.heard.Store(int64(time.Since(c.started)))
}

// tick passes the member list and the limits of the bundle to the limiter.
func (c *customerLimits) tick(now time.Time) {
	if bundle := c.bundle(); bundle != c.current {
		c.current, c.limits = bundle, limitsOf(bundle)
	}
	if c.current == nil || len(c.current.Customers) == 0 && c.hosts == nil {
		return
	}
	if s, joined := c.view.current.Load(), c.joined(); s != c.snapshot || joined != c.hasJoined || c.hosts == nil {
		c.snapshot, c.hasJoined, c.hosts = s, joined, s.hosts(joined)
	}
	silence := time.Since(c.started) - time.Duration(c.heard.Load())
	alone := len(c.snapshot.members) <= 1
	c.limiter.Tick(now, zyquota.Situation{View: c.hosts, Connected: alone || silence < silencePeriod, Limits: c.limits})
	c.logFallbacks(now)
}

// logFallbacks logs when this node begins and ceases to grant itself equal shares.
func (c *customerLimits) logFallbacks(now time.Time) {
	fallbacks := c.limiter.Fallbacks(now)
	switch {
	case fallbacks > 0 && c.fallbacks == 0:
		c.log.With("customers", fallbacks).Warn("The owners of customers cannot be reached. This node grants itself an equal share of their rates.")
	case fallbacks == 0 && c.fallbacks > 0:
		c.log.Info("The owners of all customers can be reached again.")
	}
	c.fallbacks = fallbacks
}

func limitsOf(bundle *zybundle.Bundle) *zyquota.Limits {
	if bundle == nil {
		return zyquota.NewLimits(nil)
	}
	limits := make([]zinniayoke.CustomerLimit, 0, len(bundle.Customers))
	for _, customer := range bundle.Customers {
		limits = append(limits, customer.Limit)
	}
	return zyquota.NewLimits(limits)
}

// hosts returns the nodes that may own customers, and the hosts. A node that has not joined
// knows too few of them to own or to share anything.
func (s *snapshot) hosts(joined bool) *zyquota.View {
	if !joined {
		return zyquota.NewView(nil, 0, nil)
	}
	latest := make(map[string]zymember.Member)
	var candidates []zinniayoke.NodeID
	for _, m := range s.members {
		latest[zymember.HostOf(m.Upstream.Node)] = m // Members are sorted, so later runs come last.
		if isPresent(m) && !m.Upstream.Leaving {
			candidates = append(candidates, m.Upstream.Node)
		}
	}
	var known []string
	present := 0
	for host, m := range latest {
		if isPresent(m) {
			present++
		}
		if isPresent(m) || m.Status == zinniayoke.MemberDead {
			known = append(known, host)
		}
	}
	slices.Sort(known)
	return zyquota.NewView(candidates, present, known)
}

// RequestQuota sends a request for tokens to the owner of customers.
func (c *customerLimits) RequestQuota(ctx context.Context, owner zinniayoke.NodeID, r *zinniayoke.QuotaRequest) (*zinniayoke.QuotaReply, error) {
	u, ok := c.view.Find(owner)
	if !ok {
		return nil, &UnknownNodeError{Node: owner}
	}
	reply, err := c.client.RequestQuota(ctx, u.PeerAddress, r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w", zinniayoke.ErrNotRunning, err)
	}
	return reply, err
}

// ReleaseQuota asks the former owner of customers to hand them over.
func (c *customerLimits) ReleaseQuota(ctx context.Context, owner zinniayoke.NodeID, r *zinniayoke.QuotaRelease) (*zinniayoke.QuotaHandover, error) {
	u, ok := c.view.Find(owner)
	if !ok {
		return nil, &UnknownNodeError{Node: owner}
	}
	return c.client.ReleaseQuota(ctx, u.PeerAddress, r)
}

// ReleaseQuota hands customers that this node has owned over to their new owner.
func (p *peerService) ReleaseQuota(r *zinniayoke.QuotaRelease) *zinniayoke.QuotaHandover {
	return p.node.customerLimits.limiter.Release(time.Now(), r)
}

// GrantQuota grants tokens of the customers that this node owns.
func (p *peerService) GrantQuota(r *zinniayoke.QuotaRequest) *zinniayoke.QuotaReply {
	return p.node.customerLimits.limiter.Handle(time.Now(), r)
}
