package zyentry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// callerLimits holds the rate limiters of the callers. The zero value is ready to use.
type callerLimits struct {
	mu      sync.Mutex
	callers map[zinniayoke.Caller]*rate.Limiter
}

// reserve returns 0 and counts the call if the caller may call now, else the time
// until it may call.
func (l *callerLimits) reserve(now time.Time, c zybundle.Caller) time.Duration {
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

// burstOf returns the burst of a rate limit: the calls of one second, at least 1.
func burstOf(perSecond float64) int {
	return max(int(perSecond), 1)
}
