package zyadmission_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyrank"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// model is the test oracle. It records which attempts wait and which run.
type model struct {
	queue   *zyadmission.Queue
	now     time.Time
	nextID  int
	waiting map[zinniayoke.AttemptID]zyadmission.Item
	running map[zinniayoke.AttemptID]zyadmission.Item
	problem string
}

func (m *model) apply(res zyadmission.Result) {
	for _, refusal := range res.Refused {
		item := refusal.Item
		if _, ok := m.waiting[item.ID]; !ok {
			m.problem = fmt.Sprintf("attempt %s was refused but was not waiting", item.ID)
		}
		delete(m.waiting, item.ID)
	}
	for _, item := range res.Started {
		if _, ok := m.waiting[item.ID]; !ok {
			m.problem = fmt.Sprintf("attempt %s was started but was not waiting", item.ID)
		}
		delete(m.waiting, item.ID)
		m.running[item.ID] = item
	}
	for _, refusal := range res.Refused {
		for _, other := range m.waiting {
			inverted := zyrank.ImportanceOf(other.Rank) < zyrank.ImportanceOf(refusal.Item.Rank)
			if refusal.Reason == zinniayoke.ReasonShed && inverted {
				m.problem = fmt.Sprintf("attempt %s was shed while the less important attempt %s is waiting", refusal.Item.ID, other.ID)
			}
		}
	}
}

func (m *model) check() string {
	switch {
	case m.problem != "":
		return m.problem
	case m.queue.Running() != len(m.running):
		return fmt.Sprintf("%d attempts are running, want %d", m.queue.Running(), len(m.running))
	case m.queue.Waiting() != len(m.waiting):
		return fmt.Sprintf("%d attempts are waiting, want %d", m.queue.Waiting(), len(m.waiting))
	case len(m.waiting) > 0 && m.queue.Running() < m.queue.Limit():
		return "attempts are waiting although the limit is not reached"
	case m.queue.Limit() < 1:
		return "the concurrency limit is below 1"
	}
	return ""
}

// TestQueueAgainstModel compares the queue with the model after random operations.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			queue: zyadmission.NewQueue(zyadmission.Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots")}), now: time.Unix(0, 0),
			waiting: make(map[zinniayoke.AttemptID]zyadmission.Item), running: make(map[zinniayoke.AttemptID]zyadmission.Item),
		}
		firstOf := func(t *rapid.T, from map[zinniayoke.AttemptID]zyadmission.Item) zinniayoke.AttemptID {
			if len(from) == 0 {
				t.Skip("no attempt in this state")
			}
			first := zinniayoke.AttemptID("")
			for id := range from {
				if first == "" || id < first {
					first = id
				}
			}
			return first
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				m.nextID++
				item := zyadmission.Item{
					ID: zinniayoke.AttemptID(fmt.Sprintf("%06d", m.nextID)), Route: "r", Depth: rapid.IntRange(0, 3).Draw(t, "depth"),
					Rank:     zyrank.New(rapid.IntRange(0, 3).Draw(t, "importance"), 0, 15, zinniayoke.RequestID(fmt.Sprint(m.nextID))),
					Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond),
				}
				m.waiting[item.ID] = item
				m.apply(m.queue.Arrive(m.now, item))
			},
			"finish": func(t *rapid.T) {
				id := firstOf(t, m.running)
				delete(m.running, id)
				m.apply(m.queue.Finish(m.now, id, time.Duration(rapid.IntRange(1, 100).Draw(t, "took"))*time.Millisecond))
			},
			"leave": func(t *rapid.T) {
				id := firstOf(t, m.waiting)
				if !m.queue.Remove(id) {
					t.Fatalf("Remove: attempt %s was not waiting", id)
				}
				delete(m.waiting, id)
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				m.apply(m.queue.Tick(m.now))
			},
			"announce": func(t *rapid.T) {
				m.queue.SetSlots(rapid.IntRange(1, 8).Draw(t, "slots"))
				m.apply(m.queue.Tick(m.now))
			},
			"": func(t *rapid.T) {
				if problem := m.check(); problem != "" {
					t.Fatal(problem)
				}
			},
		})
	})
}

// simulateWorker reports to l the calls of a worker with the given number of slots.
// If more calls than that run concurrently, the service time grows in proportion.
func simulateWorker(l *zyadmission.Limit, slots int, base time.Duration, load float64, seconds int) {
	now := time.Unix(0, 0)
	for range seconds * 1000 {
		running := min(l.Value(), max(int(load*float64(slots)), 1))
		serviceTime := base
		if running > slots {
			serviceTime = base * time.Duration(running) / time.Duration(slots)
		}
		now = now.Add(serviceTime / time.Duration(running))
		l.Observe(now, now.Add(-serviceTime), serviceTime, running, running == l.Value())
		if now.Sub(time.Unix(0, 0)) > time.Duration(seconds)*time.Second {
			return
		}
	}
}

// TestLimitConvergesToSlots guards against trusting wrong announcements: under load the
// limit must approach the real 40 slots, also if a tenth or ten times as many were
// announced.
func TestLimitConvergesToSlots(t *testing.T) {
	for _, c := range []struct {
		name             string
		announced, slots int
		low, high        int
	}{
		{"announced correctly", 40, 40, 36, 56},
		{"announced one tenth", 4, 40, 30, 56},
		{"announced tenfold", 400, 40, 26, 80},
	} {
		l := zyadmission.NewLimit(c.announced)
		simulateWorker(l, c.slots, 20*time.Millisecond, 0.5, 20)
		simulateWorker(l, c.slots, 20*time.Millisecond, 100, 60)
		if got := l.Value(); got < c.low || got > c.high {
			t.Errorf("%s: limit is %d for %d slots, want %d to %d", c.name, got, c.slots, c.low, c.high)
		}
	}
}

// TestLimitKeepsSlotsOfSlowService guards against taking a slow service for an
// overloaded worker: if each call becomes ten times slower for another reason than
// concurrency, the limit must stay near the slots.
func TestLimitKeepsSlotsOfSlowService(t *testing.T) {
	l := zyadmission.NewLimit(10)
	simulateWorker(l, 10, 60*time.Millisecond, 0.8, 20)
	simulateWorker(l, 10, 600*time.Millisecond, 100, 60)
	if got := l.Value(); got < 7 {
		t.Errorf("limit is %d for 10 slots of a service that is merely slow, want at least 7", got)
	}
}

// TestThresholdDropsAfterSurge guards against a threshold that stays up after a surge.
// It has to return to 0 within a second, although few calls arrive by then.
func TestThresholdDropsAfterSurge(t *testing.T) {
	queue := zyadmission.NewQueue(zyadmission.Config{Slots: 4, FixedLimit: true})
	now := time.Unix(0, 0)
	ends := make(map[zinniayoke.AttemptID]time.Time)
	nextID := 0
	step := func(rate float64) {
		now = now.Add(time.Millisecond)
		for id, end := range ends {
			if !now.Before(end) {
				delete(ends, id)
				for _, item := range queue.Finish(now, id, 40*time.Millisecond).Started {
					ends[item.ID] = now.Add(40 * time.Millisecond)
				}
			}
		}
		for n := 0.0; n < rate; n++ {
			nextID++
			id := zinniayoke.AttemptID(fmt.Sprint(nextID))
			rank := zyrank.New(50, 0, 15, zinniayoke.RequestID(id))
			if rank < queue.Threshold() {
				continue
			}
			for _, item := range queue.Arrive(now, zyadmission.Item{ID: id, Rank: rank, Deadline: now.Add(time.Second)}).Started {
				ends[item.ID] = now.Add(40 * time.Millisecond)
			}
		}
		queue.Tick(now)
	}
	for range 5000 {
		step(1)
	}
	if queue.Threshold() == 0 {
		t.Error("threshold is 0 after a surge of ten times the capacity")
	}
	for i := range 1000 {
		rate := 0.0
		if i%20 == 0 {
			rate = 1
		}
		step(rate)
	}
	if queue.Threshold() != 0 {
		t.Errorf("threshold is %d one second after the surge, want 0", queue.Threshold())
	}
}
