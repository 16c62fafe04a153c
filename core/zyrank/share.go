package zyrank

import (
	"math"
	"sync"
	"time"

	"zinniayoke"
)

const (
	shareWindow = 200 * time.Millisecond
	rateWeight  = 0.3
	maxCallers  = 4096
	// fairMultiple is the multiple of the fair rate up to which a caller keeps the
	// highest share.
	fairMultiple = 2
	// exemptRate is the rate per window below which a caller always keeps the highest
	// share.
	exemptRate = 5
)

// Shares compares the request rates of the callers at one entry node, so that a
// caller that sends far more than its fair share gets a lower rank. It is safe for
// concurrent use. Shares must be created with NewShares.
type Shares struct {
	mu        sync.Mutex
	windowEnd time.Time
	callers   map[zinniayoke.Caller]*usage
	fairRate  float64
}

// usage holds the number of requests in the current window and the moving average
// per window.
type usage struct {
	count int
	rate  float64
}

// NewShares returns a Shares without any callers.
func NewShares() *Shares {
	return &Shares{callers: make(map[zinniayoke.Caller]*usage)}
}

// Observe counts a request of the caller and returns the caller's share, in the
// form that New takes.
func (s *Shares) Observe(now time.Time, name zinniayoke.Caller) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeWindow(now)
	u, ok := s.callers[name]
	if !ok {
		if len(s.callers) >= maxCallers {
			return maxShare
		}
		u = &usage{}
		s.callers[name] = u
	}
	u.count++
	rate := max(u.rate, float64(u.count))
	if s.fairRate == 0 || rate <= fairMultiple*s.fairRate || rate < exemptRate {
		return maxShare
	}
	return maxShare - int(math.Ceil(math.Log2(rate/(fairMultiple*s.fairRate))))
}

// closeWindow closes the window if it has ended and computes the fair rate: the
// power mean with exponent 1/2 of the rates of the active callers.
func (s *Shares) closeWindow(now time.Time) {
	if now.Before(s.windowEnd) {
		return
	}
	s.windowEnd = now.Add(shareWindow)
	sum, active := 0.0, 0
	for name, u := range s.callers {
		u.rate += rateWeight * (float64(u.count) - u.rate)
		u.count = 0
		if u.rate < 0.01 {
			delete(s.callers, name)
			continue
		}
		sum += math.Sqrt(u.rate)
		active++
	}
	s.fairRate = 0
	if active > 1 {
		s.fairRate = math.Pow(sum/float64(active), 2)
	}
}
