// Package zyevenload estimates the load of the workers of a service, so that calls can be
// distributed evenly: the speed of a worker at its node, and the load of other workers from
// reports that are some seconds old.
package zyevenload

import (
	"math"
	"time"
)

const (
	// slowdownTime is the time constant of the averages. A neighbour's noise of 0.6 s
	// and 2.5 times then lowers the capacity by a fifth at most, while senders, which learn
	// of a worker every few seconds, would believe an unsmoothed value for longer than the
	// noise lasts.
	slowdownTime = 3 * time.Second
	// slowdownTTL is how long a reported slowdown is valid.
	slowdownTTL = 2 * time.Second
	// callWeight is the weight of one call in the averages, once that many have been observed.
	callWeight = 0.02
	// maxSpeedFactor bounds the speed and its inverse.
	maxSpeedFactor = 10
)

// Speed estimates how fast a worker is in relation to the other workers of its service. The
// zero value is ready for use and estimates 1. It is not safe for concurrent use.
type Speed struct {
	// slowness is the average of hold time by usual time, the reported slowdown left out, as of
	// slownessAt.
	slowness   average
	slownessAt time.Time
	// slowdown is the average of the reported slowdown, up to updatedAt; 0 means none yet.
	slowdown, reported float64
	reportedAt         time.Time
	updatedAt          time.Time
}

// average is the mean of the first values and an exponential average of later ones.
type average struct {
	mean  float64
	count int
}

func (a *average) add(value, weight float64) {
	a.count++
	a.mean += max(weight, 1/float64(a.count)) * (value - a.mean)
}

// ObserveSlowdown takes in how many times longer than usual work takes now, by the worker. A
// value that is not positive is ignored.
func (s *Speed) ObserveSlowdown(now time.Time, slowdown float64) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return
	}
	slowdown = min(max(slowdown, 1.0/maxSpeedFactor), maxSpeedFactor)
	if s.slowdown == 0 {
		s.slowdown, s.updatedAt = 1, now
	}
	s.advance(now)
	s.reported, s.reportedAt = slowdown, now
}

// ObserveCall takes in for how long a call has occupied a slot of the worker, and how long
// calls of its route usually occupy a slot of any worker, by its sender.
func (s *Speed) ObserveCall(now time.Time, hold, usual time.Duration) {
	if hold <= 0 || usual <= 0 {
		return
	}
	s.advance(now)
	slowness := float64(hold) / float64(usual) / s.averageSlowdown()
	// A busy worker ends 50 calls in less time than a neighbour's noise lasts.
	weight := min(callWeight, weightOf(now.Sub(s.slownessAt)))
	s.slowness.add(min(max(slowness, 1.0/maxSpeedFactor), maxSpeedFactor), weight)
	s.slownessAt = now
}

// Value returns the speed; 1 is that of an average worker.
func (s *Speed) Value(now time.Time) float64 {
	s.advance(now)
	speed := 1 / s.averageSlowdown()
	if s.slowness.count > 0 {
		speed /= s.slowness.mean
	}
	return min(max(speed, 1.0/maxSpeedFactor), maxSpeedFactor)
}

func (s *Speed) averageSlowdown() float64 {
	if s.slowdown == 0 {
		return 1
	}
	return s.slowdown
}

// advance moves the average slowdown to now.
func (s *Speed) advance(now time.Time) {
	passed := now.Sub(s.updatedAt)
	if s.slowdown == 0 || passed <= 0 {
		return
	}
	s.updatedAt = now
	current := s.reported
	if current == 0 || now.Sub(s.reportedAt) > slowdownTTL {
		current = 1
	}
	s.slowdown += (current - s.slowdown) * weightOf(passed)
}

// weightOf returns the weight of a value that holds for that time.
func weightOf(passed time.Duration) float64 {
	return 1 - math.Exp(-float64(max(passed, 0))/float64(slowdownTime))
}
