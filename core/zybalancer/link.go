package zybalancer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"zinniayoke"
)

// LinkBudget bounds the bytes that this node sends to other regions to its share
// of the links. It may be used by several goroutines. The zero value is ready
// for use and allows everything until Set is called.
type LinkBudget struct {
	mu       sync.Mutex
	limiters map[zinniayoke.Region]*rate.Limiter
}

// burstTime is how much of a link's share may be used at once.
const burstTime = 1 * time.Second

// SetRate gives the node bytes a second towards a region.
func (b *LinkBudget) SetRate(now time.Time, to zinniayoke.Region, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiters == nil {
		b.limiters = make(map[zinniayoke.Region]*rate.Limiter)
	}
	burst := max(int(perSecond*burstTime.Seconds()), 1)
	l, ok := b.limiters[to]
	if !ok {
		b.limiters[to] = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst)
}

// Allow spends bytes towards a region and reports whether there were enough. A
// message that is larger than the whole burst is let through when nothing of it
// is spent, so that it is slow and not impossible.
func (b *LinkBudget) Allow(now time.Time, to zinniayoke.Region, size zinniayoke.Bytes) bool {
	l := b.limiter(to)
	if l == nil {
		return true
	}
	return l.AllowN(now, min(int(size), l.Burst()))
}

// HasCapacity reports whether a message could go to a region now.
func (b *LinkBudget) HasCapacity(now time.Time, to zinniayoke.Region) bool {
	l := b.limiter(to)
	return l == nil || l.TokensAt(now) >= 1
}

func (b *LinkBudget) limiter(to zinniayoke.Region) *rate.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiters[to]
}
