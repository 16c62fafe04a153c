package zyquota_test

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyexperiment"
	"zinniayoke/core/zyquota"
)

// TestServedUpToLimit sends the customers of the largest deployment to all nodes at their
// usual demand, just below their limits, and far above them, 10 s after all nodes have
// started. At most 3% of what one token bucket for all nodes would grant may be refused.
func TestServedUpToLimit(t *testing.T) {
	for _, factor := range []float64{1 / 1.6, 0.95, 5} {
		limits := zyexperiment.LargeQuotaLimits()
		s := zyexperiment.NewQuotaSim(zyexperiment.QuotaConfig{Hosts: 79, Limits: limits, Seed: 1})
		s.Run(10 * time.Second)
		const period = 20 * time.Second
		for _, l := range limits {
			s.Load(l.Customer, factor*float64(l.Rate), period, zyexperiment.AnyHost)
		}
		s.Run(period + time.Second)
		for _, l := range limits {
			c := s.Counts(l.Customer)
			if float64(c.Granted) < 0.97*float64(c.Ideal)-1 {
				t.Errorf("at %.2f of its rate %.1f, %d of %d requests of customer %s were granted; one bucket would grant %d", factor, l.Rate, c.Granted, c.Sent, l.Customer, c.Ideal)
			}
		}
		if violation := s.Violation(); violation != "" {
			t.Errorf("at %.2f of the rates: %s", factor, violation)
		}
	}
}

// TestOwnerChange ends the node of each host and starts it again later, at the usual demand.
// In the 10 s after each of both, at most 3% may be refused: the host that owns the customer
// hands it over when it is replaced, and the nodes share the rate while it is gone.
func TestOwnerChange(t *testing.T) {
	const hosts = 10
	for h := range hosts {
		l := limit("c", 576, 576)
		s := zyexperiment.NewQuotaSim(zyexperiment.QuotaConfig{Hosts: hosts, Limits: []zinniayoke.CustomerLimit{l}, Seed: 1})
		s.Run(10 * time.Second)
		s.Load(l.Customer, float64(l.Rate)/1.6, time.Minute, zyexperiment.AnyHost)
		s.Run(2 * time.Second)
		for i, change := range []func(int){s.Crash, s.Start} {
			s.ResetCounts()
			change(h)
			s.Run(10 * time.Second)
			if c := s.Counts(l.Customer); float64(c.Refused) > 0.03*float64(c.Sent) {
				t.Errorf("%d of %d requests were refused after change %d of host %d", c.Refused, c.Sent, i, h)
			}
		}
	}
}

// fakeClient passes requests for tokens to an owner. It loses them while silent is true.
type fakeClient struct {
	owner    *zyquota.Limiter
	silent   atomic.Bool
	messages atomic.Int64
}

func (c *fakeClient) RequestQuota(ctx context.Context, _ zinniayoke.NodeID, r *zinniayoke.QuotaRequest) (*zinniayoke.QuotaReply, error) {
	c.messages.Add(1)
	if c.silent.Load() {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	time.Sleep(time.Millisecond)
	return c.owner.Handle(time.Now(), r), nil
}

func (c *fakeClient) ReleaseQuota(context.Context, zinniayoke.NodeID, *zinniayoke.QuotaRelease) (*zinniayoke.QuotaHandover, error) {
	return &zinniayoke.QuotaHandover{}, nil
}

// pair returns the limiter of an entry node and its client, whose owner grants tokens from now
// on. The nodes are called e and o; the limit's customer must be owned by o.
func pair(limits ...zinniayoke.CustomerLimit) (*zyquota.Limiter, *fakeClient, func()) {
	owner := zyquota.NewLimiter(zyquota.LimiterConfig{Self: "o/1"})
	client := &fakeClient{owner: owner}
	entry := zyquota.NewLimiter(zyquota.LimiterConfig{Self: "e/1", Client: client})
	view := zyquota.NewView([]zinniayoke.NodeID{"o/1"}, 2, []string{"e", "o"})
	situation := zyquota.Situation{View: view, Connected: true, Limits: zyquota.NewLimits(limits)}
	tick := func() {
		owner.Tick(time.Now(), situation)
		entry.Tick(time.Now(), situation)
	}
	return entry, client, tick
}

func run(tick func(), d time.Duration) {
	for range d / (250 * time.Millisecond) {
		tick()
		time.Sleep(250 * time.Millisecond)
	}
}

// TestRetryAfterIsAccurate uses up a burst. The refusal must name the time after which a
// request is granted, and until then no message may be sent.
func TestRetryAfterIsAccurate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit("c", 2, 2)
		entry, client, tick := pair(l)
		defer time.Sleep(2 * time.Second) // Messages in the background end.
		run(tick, 5*time.Second)
		ctx := context.Background()
		for i := range 2 {
			if err := entry.Take(ctx, l); err != nil {
				t.Fatalf("request %d of a burst of 2: %v", i, err)
			}
		}
		var refusal *zinniayoke.CallError
		if err := entry.Take(ctx, l); !errors.As(err, &refusal) || refusal.Reason != zinniayoke.ReasonCallerLimit || refusal.Outcome != zinniayoke.OutcomeNotRun {
			t.Fatalf("a request beyond the burst: %v", err)
		}
		if refusal.RetryAfter < 400*time.Millisecond || refusal.RetryAfter > 510*time.Millisecond {
			t.Errorf("RetryAfter is %s at 2 requests a second, want about 500ms", refusal.RetryAfter)
		}
		before := client.messages.Load()
		time.Sleep(refusal.RetryAfter - 2*time.Millisecond)
		if err := entry.Take(ctx, l); err == nil || client.messages.Load() != before {
			t.Errorf("before RetryAfter: error %v, %d messages", err, client.messages.Load()-before)
		}
		time.Sleep(2 * time.Millisecond)
		if err := entry.Take(ctx, l); err != nil {
			t.Errorf("after RetryAfter: %v", err)
		}
	})
}

// TestSilentOwner loses all messages to the owner. A request must wait for 300 ms at most, and
// later the node grants its equal share: half of the rate, without a burst.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit("c", 20, 20)
		entry, client, tick := pair(l)
		defer time.Sleep(2 * time.Second) // Messages in the background end.
		run(tick, 5*time.Second)
		client.silent.Store(true)
		ctx := context.Background()
		start := time.Now()
		if err := entry.Take(ctx, l); err == nil || time.Since(start) > 300*time.Millisecond {
			t.Errorf("a request got error %v after %s, want a refusal within 300ms", err, time.Since(start))
		}
		granted := func(d time.Duration) int {
			n := 0
			for range d / time.Millisecond {
				if entry.Take(ctx, l) == nil {
					n++
				}
				time.Sleep(time.Millisecond)
			}
			return n
		}
		granted(4 * time.Second)
		if n := granted(10 * time.Second); n < 95 || n > 101 {
			t.Errorf("%d requests granted in 10 s, want 100", n)
		}
		client.silent.Store(false)
		time.Sleep(time.Second)
		if err := entry.Take(ctx, l); err != nil {
			t.Errorf("the owner replies again, but a request got %v", err)
		}
	})
}

// TestOwnerIsLostForAMoment removes the owner from the view of the entry node and adds it
// again. Later requests must reach it: the link to it had been dropped, and all were refused.
func TestOwnerIsLostForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit("c", 20, 20)
		entry, _, tick := pair(l)
		defer time.Sleep(2 * time.Second)
		run(tick, 5*time.Second)
		if err := entry.Take(context.Background(), l); err != nil {
			t.Fatal(err)
		}
		entry.Tick(time.Now(), zyquota.Situation{View: zyquota.NewView(nil, 1, []string{"e", "o"}), Connected: true, Limits: zyquota.NewLimits([]zinniayoke.CustomerLimit{l})})
		run(tick, 2*time.Second)
		if err := entry.Take(context.Background(), l); err != nil {
			t.Errorf("the owner is known again, but a request got %v", err)
		}
	})
}

// BenchmarkTake measures the decision on a request with a lease and one that is refused.
func BenchmarkTake(b *testing.B) {
	now := time.Now()
	ctx := context.Background()
	l := limit("c", 1e9, 1e9)
	for _, c := range []struct {
		name  string
		lease int
		wait  int
	}{{"granted", 1 << 40, 0}, {"refused", 0, 60_000}} {
		b.Run(c.name, func(b *testing.B) {
			limiter := zyquota.NewLimiter(zyquota.LimiterConfig{Self: "e/1", Client: constant{
				State: zinniayoke.QuotaActive, Lease: c.lease, WaitMs: c.wait,
			}})
			limiter.Tick(now, zyquota.Situation{View: zyquota.NewView([]zinniayoke.NodeID{"o/1"}, 2, []string{"e", "o"}), Connected: true, Limits: zyquota.NewLimits(nil)})
			_ = limiter.Take(ctx, l)
			b.ReportAllocs()
			for b.Loop() {
				_ = limiter.Take(ctx, l)
			}
		})
	}
}

func (c constant) ReleaseQuota(context.Context, zinniayoke.NodeID, *zinniayoke.QuotaRelease) (*zinniayoke.QuotaHandover, error) {
	return &zinniayoke.QuotaHandover{}, nil
}

// constant is a client that gets the same grant for each request.
type constant zinniayoke.QuotaGrant

func (c constant) RequestQuota(_ context.Context, _ zinniayoke.NodeID, r *zinniayoke.QuotaRequest) (*zinniayoke.QuotaReply, error) {
	return &zinniayoke.QuotaReply{Grants: slices.Repeat([]zinniayoke.QuotaGrant{zinniayoke.QuotaGrant(c)}, len(r.Asks))}, nil
}
