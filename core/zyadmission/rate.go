package zyadmission

import (
	"math"
	"time"

	"zinniayoke"
)

// meterPeriod is the period over which a rateMeter averages.
const meterPeriod = 1 * time.Second

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
