package zyentry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// limits holds callers to their own rates. The zero value is ready for use.
type limits struct {
	mu      sync.Mutex
	callers map[zinniayoke.Caller]*rate.Limiter
}

// take returns 0 where the caller may call now, else when it may call again.
func (l *limits) take(now time.Time, c zybundle.Caller) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callers == nil {
		l.callers = make(map[zinniayoke.Caller]*rate.Limiter)
	}
	limiter, ok := l.callers[c.Name]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(c.Rate), burstOf(c.Rate))
		l.callers[c.Name] = limiter
	}
	if limiter.Limit() != rate.Limit(c.Rate) {
		limiter.SetLimitAt(now, rate.Limit(c.Rate))
		limiter.SetBurstAt(now, burstOf(c.Rate))
	}
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// burstOf lets a caller make the calls of one second at once.
func burstOf(perSecond float64) int {
	return max(int(perSecond), 1)
}
