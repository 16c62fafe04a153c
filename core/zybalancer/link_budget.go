package zybalancer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"zinniayoke"
)

// LinkBudget limits the rate at which this node sends bytes to other regions to
// its share of the links' bandwidth. It is safe for concurrent use. The zero value
// is ready for use and does not limit a region until SetRate is called for it.
type LinkBudget struct {
	mu       sync.Mutex
	limiters map[zinniayoke.Region]*rate.Limiter
}

// burstTime is the time whose bytes may be sent in one burst.
const burstTime = 1 * time.Second

// SetRate sets the limit towards a region, in bytes per second.
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

// Allow reports whether a message of the given size may be sent to a region now
// and, if so, takes its bytes from the budget. A message larger than the burst
// takes the whole burst, so that it is delayed but not blocked forever.
func (b *LinkBudget) Allow(now time.Time, to zinniayoke.Region, size zinniayoke.Bytes) bool {
	l := b.limiter(to)
	if l == nil {
		return true
	}
	return l.AllowN(now, min(int(size), l.Burst()))
}

// HasCapacity reports whether any bytes may be sent to a region now.
func (b *LinkBudget) HasCapacity(now time.Time, to zinniayoke.Region) bool {
	l := b.limiter(to)
	return l == nil || l.TokensAt(now) >= 1
}

func (b *LinkBudget) limiter(to zinniayoke.Region) *rate.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiters[to]
}
