package zybackpressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke/core/zybackpressure"
)

// TestExcessFollowsOverload simulates a surge on a worker with 12 slots. Calls of
// 40 ms arrive at twice the worker's capacity, less the reported excess share, which
// takes effect 200 ms later.
func TestExcessFollowsOverload(t *testing.T) {
	const (
		slots   = 12
		service = 40 * time.Millisecond
		lag     = 200 * time.Millisecond
		step    = time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	c := zybackpressure.NewExcessController()
	now := time.Now()
	var running []time.Time
	queue := 0
	var reported []float64
	simulate := func(load float64, d time.Duration) (mean float64) {
		perStep := load * slots / float64(service/step)
		steps := int(d / step)
		for range steps {
			now = now.Add(step)
			unfinished := running[:0]
			for _, end := range running {
				if end.After(now) {
					unfinished = append(unfinished, end)
				}
			}
			running = unfinished
			share := 0.0
			if i := len(reported) - int(lag/step); i >= 0 {
				share = reported[i]
			}
			for range 3 {
				if random.Float64() < perStep*(1-share)/3 {
					c.CountArrival(now)
					queue++
				}
			}
			for queue > 0 && len(running) < slots {
				queue--
				running = append(running, now.Add(service))
				c.CountDelivery(now)
			}
			queue = min(queue, 3*slots)
			c.SetUtilization(now, float64(len(running))/slots)
			reported = append(reported, c.ExcessShare())
			mean += c.ExcessShare() / float64(steps)
		}
		return mean
	}
	if share := simulate(0.7, 5*time.Second); share > 0.02 {
		t.Errorf("mean excess share at a load of 0.7 is %.2f, want at most 0.02", share)
	}
	simulate(2, 2*time.Second)
	if share := simulate(2, 5*time.Second); share < 0.4 || share > 0.65 {
		t.Errorf("mean excess share at a load of 2 is %.2f, want 0.4 to 0.65", share)
	}
	simulate(0.7, 2*time.Second)
	if share := simulate(0.7, time.Second); share > 0.02 {
		t.Errorf("mean excess share from 2 s after the surge is %.2f, want at most 0.02", share)
	}
}
