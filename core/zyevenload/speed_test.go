package zyevenload_test

import (
	"math"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyevenload"
)

// TestNoise replays a neighbour that slows a worker 2.5 times for 0.6 s, every 4 s, on workers
// that report it and on others. It guards against a capacity that follows the noise: senders
// would believe each value for seconds.
func TestNoise(t *testing.T) {
	for _, reported := range []bool{true, false} {
		var s zyevenload.Speed
		now := time.Unix(0, 0)
		lowest, highest := math.Inf(1), 0.0
		for at := time.Duration(0); at < time.Minute; at += 5 * time.Millisecond {
			slowdown := 1.0
			if at%(4*time.Second) < 600*time.Millisecond {
				slowdown = 2.5
			}
			if reported {
				s.ObserveSlowdown(now.Add(at), slowdown)
			} else {
				s.ObserveCall(now.Add(at), time.Duration(slowdown*float64(40*time.Millisecond)), 40*time.Millisecond)
			}
			if speed := s.Value(now.Add(at)); at > 10*time.Second {
				lowest, highest = min(lowest, speed), max(highest, speed)
			}
		}
		if mean := 1 / (1 + 0.15*1.5); lowest < mean*0.85 || highest > mean*1.15 {
			t.Errorf("reported %t: the speed varies from %.2f to %.2f, want within 15%% of %.2f", reported, lowest, highest, mean)
		}
	}
}

// TestLastingSlowdown guards against a capacity that ignores a machine that stays slow, and
// against one that stays low after the worker has stopped to report it.
func TestLastingSlowdown(t *testing.T) {
	var s zyevenload.Speed
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		s.ObserveSlowdown(now, 2)
	}
	if speed := s.Value(now); speed > 0.55 {
		t.Errorf("the speed is %.2f after 10 s of half the speed", speed)
	}
	if speed := s.Value(now.Add(20 * time.Second)); speed < 0.95 {
		t.Errorf("the speed is %.2f 20 s after the last report", speed)
	}
}

// TestSpeed checks what is estimated from service times, whether the slowdown that the worker
// reports is part of its usual speed or not, and that no input makes the speed useless.
func TestSpeed(t *testing.T) {
	for _, c := range []struct {
		name        string
		hold, usual time.Duration
		slowdown    float64
		want        float64
	}{
		{"nothing known", 0, 0, 0, 1},
		{"usual", 100 * time.Millisecond, 100 * time.Millisecond, 0, 1},
		{"fast", 60 * time.Millisecond, 100 * time.Millisecond, 0, 1.67},
		{"slow for good", 143 * time.Millisecond, 100 * time.Millisecond, 0, 0.7},
		{"slow for good and reported", 143 * time.Millisecond, 100 * time.Millisecond, 1.43, 0.7},
		{"usual time unknown", 143 * time.Millisecond, 0, 1, 1},
		{"clock stands still", 0, 100 * time.Millisecond, 1, 1},
		{"extreme", time.Hour, time.Nanosecond, 1, 0.1},
		{"negative", -time.Second, -time.Second, -1, 1},
		{"not a number", 0, 0, math.NaN(), 1},
		{"infinite", 0, 0, math.Inf(1), 1},
	} {
		var s zyevenload.Speed
		now := time.Unix(0, 0)
		for range 200 {
			if c.name != "clock stands still" {
				now = now.Add(100 * time.Millisecond)
			}
			s.ObserveSlowdown(now, c.slowdown)
			s.ObserveCall(now, c.hold, c.usual)
		}
		if got := s.Value(now); math.Abs(got-c.want) > 0.05*c.want {
			t.Errorf("%s: speed %.2f, want %.2f", c.name, got, c.want)
		}
	}
}

// TestEstimateAges guards against reports that are believed for longer than the calls in them
// run, as by a sender that was paused, and against those of a node whose clock stands still:
// they name no hold time.
func TestEstimateAges(t *testing.T) {
	now := time.Unix(0, 0)
	report := zinniayoke.LoadReport{Limit: 10, Running: 0, Speed: 1, HoldTime: 200 * time.Millisecond}
	stopped := report
	stopped.HoldTime = 0
	for _, c := range []struct {
		name   string
		report zinniayoke.LoadReport
		age    time.Duration
		want   float64 // of a group of which 0.8 is in use on average
	}{
		{"new", report, 0, 0},
		{"as old as a call takes", report, 200 * time.Millisecond, 5.06},
		{"sender paused for 5 s", report, 5 * time.Second, 8},
		{"clock of the node stands still", stopped, time.Second, 8},
	} {
		var e zyevenload.Estimate
		e.Observe(now, c.report)
		got, spread := e.Occupied(now.Add(c.age), 0.8)
		if math.Abs(got-c.want) > 0.01 || math.IsNaN(spread) {
			t.Errorf("%s: %.2f calls with spread %.2f, want %.2f", c.name, got, spread, c.want)
		}
	}
}
