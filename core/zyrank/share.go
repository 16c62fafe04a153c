package zyrank

import (
	"math"
	"sync"
	"time"

	"zinniayoke"
)

const (
	shareWindow  = 200 * time.Millisecond
	shareWeight  = 0.3
	mostCallers  = 4096
	fairMultiple = 2
	busyRate     = 5
)

// Shares compares each caller's rate at this entry with the others', so that a
// caller that sends far more than its share ranks below them. It may be used by
// several goroutines. Shares must be made with NewShares.
type Shares struct {
	mu      sync.Mutex
	end     time.Time
	callers map[zinniayoke.Caller]*usage
	fair    float64
}

type usage struct {
	count int
	rate  float64
}

// NewShares returns shares without any usage.
func NewShares() *Shares {
	return &Shares{callers: make(map[zinniayoke.Caller]*usage)}
}

// Observe counts a request of the caller and returns its share, as Observe takes it.
func (s *Shares) Observe(now time.Time, name zinniayoke.Caller) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roll(now)
	u, ok := s.callers[name]
	if !ok {
		if len(s.callers) >= mostCallers {
			return highestShare
		}
		u = &usage{}
		s.callers[name] = u
	}
	u.count++
	rate := max(u.rate, float64(u.count))
	if s.fair == 0 || rate <= fairMultiple*s.fair || rate < busyRate {
		return highestShare
	}
	return highestShare - int(math.Ceil(math.Log2(rate/(fairMultiple*s.fair))))
}

// roll closes the window and computes the mean rate of the callers that are
// active.
func (s *Shares) roll(now time.Time) {
	if now.Before(s.end) {
		return
	}
	s.end = now.Add(shareWindow)
	sum, active := 0.0, 0
	for name, u := range s.callers {
		u.rate += shareWeight * (float64(u.count) - u.rate)
		u.count = 0
		if u.rate < 0.01 {
			delete(s.callers, name)
			continue
		}
		sum += math.Sqrt(u.rate)
		active++
	}
	s.fair = 0
	if active > 1 {
		s.fair = math.Pow(sum/float64(active), 2)
	}
}
