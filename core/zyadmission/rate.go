package zyadmission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"zinniayoke"
)

const (
	// meterPeriod is the period over which a rateMeter averages.
	meterPeriod = 1 * time.Second
	// limitBurst is how long a worker can be idle and then get at once the calls that its
	// rate limit allows for that time.
	limitBurst = 100 * time.Millisecond
	// minLimitedRate is what a worker gets even if it accepts less, because its responses
	// tell when its limit ends.
	minLimitedRate zinniayoke.Rate = 0.5
	// maxBurst keeps the burst of very high rates within an int.
	maxBurst = 1 << 20
	// Calls that have to wait waitPerLoad for a rate limit add 1 to the load of the worker.
	waitPerLoad = 200 * time.Millisecond
)

// rateMeter measures how many calls per second start, as an exponential average. The zero
// value is ready for use.
type rateMeter struct {
	// count is the number of calls, each weighted by its age.
	count     float64
	updatedAt time.Time
}

// Add counts a call that starts now.
func (m *rateMeter) Add(now time.Time) {
	m.count = m.weightedCount(now) + 1
	m.updatedAt = now
}

// Rate returns the average rate up to now.
func (m *rateMeter) Rate(now time.Time) zinniayoke.Rate {
	return zinniayoke.Rate(m.weightedCount(now) / meterPeriod.Seconds())
}

func (m *rateMeter) weightedCount(now time.Time) float64 {
	return m.count * math.Exp(-now.Sub(m.updatedAt).Seconds()/meterPeriod.Seconds())
}

// rateLimit limits the calls that start to the rate that the worker accepts. A nil
// rateLimit allows all.
type rateLimit struct {
	bucket *rate.Limiter
}

// newRateLimit returns a limit that allows no burst at first, because a worker that names
// a limit has too many calls already.
func newRateLimit(now time.Time, accepted zinniayoke.Rate) *rateLimit {
	l := &rateLimit{bucket: rate.NewLimiter(0, 0)}
	l.Set(now, accepted)
	return l
}

// Set changes the rate.
func (l *rateLimit) Set(now time.Time, accepted zinniayoke.Rate) {
	accepted = max(accepted, minLimitedRate)
	l.bucket.SetLimitAt(now, rate.Limit(accepted))
	l.bucket.SetBurstAt(now, int(min(max(float64(accepted)*limitBurst.Seconds(), 1), maxBurst)))
}

// Allows reports whether a call may start now.
func (l *rateLimit) Allows(now time.Time) bool {
	return l == nil || l.bucket.TokensAt(now) >= 1
}

// Take counts a call that starts now.
func (l *rateLimit) Take(now time.Time) {
	if l != nil {
		l.bucket.AllowN(now, 1)
	}
}

// Wait returns how long it takes until the given number of calls may have started.
func (l *rateLimit) Wait(now time.Time, calls int) time.Duration {
	if l == nil {
		return 0
	}
	missing := float64(calls) - l.bucket.TokensAt(now)
	return time.Duration(max(missing, 0) / float64(l.bucket.Limit()) * float64(time.Second))
}

// Utilization returns the share of the allowed rate that has been used lately.
func (l *rateLimit) Utilization(measured zinniayoke.Rate) float64 {
	if l == nil {
		return 0
	}
	return min(float64(measured)/float64(l.bucket.Limit()), 1)
}
