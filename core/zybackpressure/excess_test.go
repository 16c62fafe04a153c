package zybackpressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke/core/zybackpressure"
)

// TestLevelFollowsOverload replays a surge on a worker with 12 slots: calls of
// 40 ms arrive at twice of what it serves, less the share that it tells, which
// takes effect 200 ms later.
func TestLevelFollowsOverload(t *testing.T) {
	const (
		slots   = 12
		service = 40 * time.Millisecond
		lag     = 200 * time.Millisecond
		step    = time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	l := zybackpressure.NewExcessController()
	now := time.Now()
	var running []time.Time
	queue := 0
	var told []float64
	play := func(load float64, d time.Duration) (mean float64) {
		perStep := load * slots / float64(service/step)
		steps := int(d / step)
		for range steps {
			now = now.Add(step)
			kept := running[:0]
			for _, end := range running {
				if end.After(now) {
					kept = append(kept, end)
				}
			}
			running = kept
			share := 0.0
			if i := len(told) - int(lag/step); i >= 0 {
				share = told[i]
			}
			for range 3 {
				if random.Float64() < perStep*(1-share)/3 {
					l.CountArrival(now)
					queue++
				}
			}
			for queue > 0 && len(running) < slots {
				queue--
				running = append(running, now.Add(service))
				l.CountDelivery(now)
			}
			queue = min(queue, 3*slots)
			l.SetUtilization(now, float64(len(running))/slots)
			told = append(told, l.ExcessShare())
			mean += l.ExcessShare() / float64(steps)
		}
		return mean
	}
	if share := play(0.7, 5*time.Second); share > 0.02 {
		t.Errorf("at a load of 0.7, %.2f is refused on average", share)
	}
	play(2, 2*time.Second)
	if share := play(2, 5*time.Second); share < 0.4 || share > 0.65 {
		t.Errorf("at twice the load, %.2f is refused on average, want about half", share)
	}
	play(0.7, 2*time.Second)
	if share := play(0.7, time.Second); share > 0.02 {
		t.Errorf("2 s after the surge %.2f is still refused", share)
	}
}
