package zyingress_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zygraph"
	"zinniayoke/core/zyingress"
)

// say changes what the worker says in its responses.
func (w *fakeWorker) say(n zinniayoke.WorkerNotice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice = n
}

// mostWithin returns the largest number of calls that the worker got in a window of this
// length, between from and until.
func (w *fakeWorker) mostWithin(window time.Duration, from, until time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most, first := 0, 0
	for last, at := range w.times {
		if at.Before(from) || at.After(until) {
			first = last + 1
			continue
		}
		for at.Sub(w.times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// offer sends calls in pairs at the rate for some time, without waiting for their replies.
func (h *harness) offer(rate float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(2 / rate * float64(time.Second))) {
		for range 2 {
			go h.Run(context.Background(), h.attempt("x"))
		}
		h.announce(zinniayoke.WorkerServing, 45)
	}
}

// TestWorkerGetsMoreCallsThanTheRateItNames offers a worker more than the rate that it
// names, while most of its slots are free. It must get no more than that rate, but nearly
// all of it, and as much as before once it names none any more.
func TestWorkerGetsMoreCallsThanTheRateItNames(t *testing.T) {
	const window, limited = 4 * time.Second, 12 * time.Second
	for _, c := range []struct {
		limit, offered float64
	}{{13.2, 30}, {9, 30}, {2.5, 30}, {0.2, 30}, {0, 30}, {150, 300}} {
		t.Run(fmt.Sprint(c.limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(45)
				defer h.stop()
				h.offer(c.offered, 2*time.Second)
				h.worker.say(zinniayoke.WorkerNotice{Limited: true, Limit: zinniayoke.Rate(c.limit)})
				from, until := time.Now(), time.Now().Add(limited)
				h.offer(c.offered, limited)
				h.worker.say(zinniayoke.WorkerNotice{})
				allowed := int(1.5*c.limit*window.Seconds()) + 5
				if got := h.worker.mostWithin(window, from.Add(time.Second), until); got > allowed {
					t.Errorf("limit %.1f/s: the worker got %d calls in 4 s, want at most %d", c.limit, got, allowed)
				}
				if got, want := h.worker.mostWithin(window, from.Add(time.Second), until), int(0.9*c.limit*window.Seconds()); got < want {
					t.Errorf("limit %.1f/s: the worker got %d calls in 4 s, want at least %d", c.limit, got, want)
				}
				h.offer(c.offered, window)
				from = time.Now()
				h.offer(c.offered, window)
				time.Sleep(time.Second) // Until the last calls have ended.
				if got, want := h.worker.mostWithin(window, from, time.Now()), int(0.9*c.offered*window.Seconds()); got < want {
					t.Errorf("limit %.1f/s has ended: the worker got %d calls in 4 s, want at least %d", c.limit, got, want)
				}
			})
		})
	}
}

// TestRateLimitIsNotSeenByTheSenders offers a worker more than its rate limit, with most of
// its slots free. Its replies must report that it is full, so that senders choose others. Its
// service has more demand than capacity only if the calls can go to no other worker.
func TestRateLimitIsNotSeenByTheSenders(t *testing.T) {
	const limit, offered = 10, 30
	for _, c := range []struct {
		lastChoice         bool
		minShare, maxShare float64
	}{
		{false, 0, 0.05},
		{true, 1 - 1.2*limit/offered, 0.98},
	} {
		t.Run(fmt.Sprint(c.lastChoice), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(45, func(cfg *zyingress.Config) {
					cfg.Graph, cfg.Callers = zygraph.New(), zygraph.NewCallerClassifier(func() int { return 1 })
				})
				defer h.stop()
				h.worker.say(zinniayoke.WorkerNotice{Limited: true, Limit: limit})
				var share float64
				lowest := math.MaxInt // Of the loads that refusals report.
				var mu sync.Mutex
				for range 10 * offered {
					a := h.attempt("x")
					a.LastChoice, a.MaxWait = c.lastChoice, 200*time.Millisecond
					go func() {
						r := h.Run(context.Background(), a)
						mu.Lock()
						defer mu.Unlock()
						if r.Reason == zinniayoke.ReasonShed {
							lowest = min(lowest, r.Load)
						}
						if len(r.Costs) > 0 {
							share = r.Costs[0].ExcessShare
						}
					}()
					time.Sleep(time.Second / offered)
					h.announce(zinniayoke.WorkerServing, 45)
				}
				time.Sleep(time.Second) // Until the last calls have ended.
				synctest.Wait()
				if lowest < 100 {
					t.Errorf("a refusal reports a load of %d%%, want at least 100%%", lowest)
				}
				if share < c.minShare || share > c.maxShare {
					t.Errorf("the excess share is %.2f, want %.2f to %.2f", share, c.minShare, c.maxShare)
				}
			})
		})
	}
}

// TestRestartedNodeForgetsWhatItsWorkerSaid sends calls of nodes that have heard of a
// worker's limit or leave to a node that has not, since it has just started, and whose worker
// takes longer to respond than the test lasts.
func TestRestartedNodeForgetsWhatItsWorkerSaid(t *testing.T) {
	leaving := zinniayoke.WorkerNotice{Leaving: true}
	limited := zinniayoke.WorkerNotice{Limited: true, Limit: 5}
	for _, c := range []struct {
		name  string
		heard zinniayoke.HeardNotice
		known zinniayoke.Incarnation
		// most is how many of 100 calls within 4 s the worker may get.
		most, least int
	}{
		{"limit", zinniayoke.HeardNotice{Incarnation: 1, Notice: limited}, 1, 35, 18},
		{"limit of an earlier run", zinniayoke.HeardNotice{Incarnation: 1, Notice: limited}, 2, 100, 100},
		{"leave", zinniayoke.HeardNotice{Incarnation: 1, Notice: leaving}, 1, 0, 0},
		{"leave of an earlier run", zinniayoke.HeardNotice{Incarnation: 1, Notice: leaving}, 2, 100, 100},
		{"leave while the run is unknown", zinniayoke.HeardNotice{Incarnation: 1, Notice: leaving}, 0, 0, 0},
		{"leave of another instance", zinniayoke.HeardNotice{Instance: "i", Incarnation: 1, Notice: leaving}, 1, 100, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarnessWithoutWorker()
				defer h.stop()
				h.incarnation = c.known
				h.worker = &fakeWorker{serviceTime: time.Hour}
				for range 100 {
					h.announce(zinniayoke.WorkerServing, 200)
					a := h.attempt("x")
					a.Heard, a.Timeout = &c.heard, time.Minute
					go h.Run(context.Background(), a)
					time.Sleep(40 * time.Millisecond)
				}
				synctest.Wait()
				if h.worker.runs > c.most || h.worker.runs < c.least {
					t.Errorf("the worker got %d calls, want %d to %d", h.worker.runs, c.least, c.most)
				}
				time.Sleep(time.Minute) // Until the calls have ended.
			})
		})
	}
}
