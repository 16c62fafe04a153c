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

// world is the oracle: where each attempt is.
type world struct {
	gate    *zyadmission.Queue
	now     time.Time
	serial  int
	waiting map[zinniayoke.AttemptID]zyadmission.Item
	running map[zinniayoke.AttemptID]zyadmission.Item
	problem string
}

func (w *world) take(res zyadmission.Result) {
	for _, refusal := range res.Refused {
		item := refusal.Item
		if _, ok := w.waiting[item.ID]; !ok {
			w.problem = fmt.Sprintf("%s was refused and did not wait", item.ID)
		}
		delete(w.waiting, item.ID)
	}
	for _, item := range res.Started {
		if _, ok := w.waiting[item.ID]; !ok {
			w.problem = fmt.Sprintf("%s was started and did not wait", item.ID)
		}
		delete(w.waiting, item.ID)
		w.running[item.ID] = item
	}
	for _, refusal := range res.Refused {
		for _, other := range w.waiting {
			inverted := zyrank.ImportanceOf(other.Rank) < zyrank.ImportanceOf(refusal.Item.Rank)
			if refusal.Reason == zinniayoke.ReasonShed && inverted {
				w.problem = fmt.Sprintf("%s was shed while the less important %s waits", refusal.Item.ID, other.ID)
			}
		}
	}
}

func (w *world) check() string {
	switch {
	case w.problem != "":
		return w.problem
	case w.gate.Running() != len(w.running):
		return fmt.Sprintf("%d run, want %d", w.gate.Running(), len(w.running))
	case w.gate.Waiting() != len(w.waiting):
		return fmt.Sprintf("%d wait, want %d", w.gate.Waiting(), len(w.waiting))
	case len(w.waiting) > 0 && w.gate.Running() < w.gate.Limit():
		return "calls wait while the worker has room"
	case w.gate.Limit() < 1:
		return "the limit is below 1"
	}
	return ""
}

// TestGate compares the gate with a list of where each attempt is.
func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			gate: zyadmission.NewQueue(zyadmission.Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots")}), now: time.Unix(0, 0),
			waiting: make(map[zinniayoke.AttemptID]zyadmission.Item), running: make(map[zinniayoke.AttemptID]zyadmission.Item),
		}
		pick := func(t *rapid.T, from map[zinniayoke.AttemptID]zyadmission.Item) zinniayoke.AttemptID {
			if len(from) == 0 {
				t.Skip("there is none")
			}
			lowest := zinniayoke.AttemptID("")
			for id := range from {
				if lowest == "" || id < lowest {
					lowest = id
				}
			}
			return lowest
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				w.serial++
				item := zyadmission.Item{
					ID: zinniayoke.AttemptID(fmt.Sprintf("%06d", w.serial)), Route: "r", Depth: rapid.IntRange(0, 3).Draw(t, "depth"),
					Rank:     zyrank.New(rapid.IntRange(0, 3).Draw(t, "importance"), 0, 15, zinniayoke.RequestID(fmt.Sprint(w.serial))),
					Deadline: w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond),
				}
				w.waiting[item.ID] = item
				w.take(w.gate.Arrive(w.now, item))
			},
			"finish": func(t *rapid.T) {
				id := pick(t, w.running)
				delete(w.running, id)
				w.take(w.gate.Finish(w.now, id, time.Duration(rapid.IntRange(1, 100).Draw(t, "took"))*time.Millisecond))
			},
			"leave": func(t *rapid.T) {
				id := pick(t, w.waiting)
				if !w.gate.Remove(id) {
					t.Fatalf("%s did not wait", id)
				}
				delete(w.waiting, id)
			},
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				w.take(w.gate.Tick(w.now))
			},
			"announce": func(t *rapid.T) {
				w.gate.SetSlots(rapid.IntRange(1, 8).Draw(t, "slots"))
				w.take(w.gate.Tick(w.now))
			},
			"": func(t *rapid.T) {
				if problem := w.check(); problem != "" {
					t.Fatal(problem)
				}
			},
		})
	})
}

// drive feeds a limit with calls of a worker that has the given slots: a call
// takes longer in proportion once more run at once.
func drive(l *zyadmission.Limit, slots int, base time.Duration, load float64, seconds int) {
	now := time.Unix(0, 0)
	for range seconds * 1000 {
		running := min(l.Value(), max(int(load*float64(slots)), 1))
		took := base
		if running > slots {
			took = base * time.Duration(running) / time.Duration(slots)
		}
		now = now.Add(took / time.Duration(running))
		l.Observe(now, now.Add(-took), took, running, running == l.Value())
		if now.Sub(time.Unix(0, 0)) > time.Duration(seconds)*time.Second {
			return
		}
	}
}

func TestLimitFindsTheSlots(t *testing.T) {
	for _, c := range []struct {
		name             string
		announced, slots int
		low, high        int
	}{
		{"announced truly", 40, 40, 36, 56},
		{"announced a tenth", 4, 40, 30, 56},
		{"announced ten times", 400, 40, 26, 80},
	} {
		l := zyadmission.NewLimit(c.announced)
		drive(l, c.slots, 20*time.Millisecond, 0.5, 20)
		drive(l, c.slots, 20*time.Millisecond, 100, 60)
		if got := l.Value(); got < c.low || got > c.high {
			t.Errorf("%s: limit %d for %d slots, want %d to %d", c.name, got, c.slots, c.low, c.high)
		}
	}
}

func TestLimitBelievesASlowService(t *testing.T) {
	l := zyadmission.NewLimit(10)
	drive(l, 10, 60*time.Millisecond, 0.8, 20)
	drive(l, 10, 600*time.Millisecond, 100, 60)
	if got := l.Value(); got < 7 {
		t.Errorf("limit %d of 10 slots for a service that is only slow", got)
	}
}

func TestThresholdOpensAfterASurge(t *testing.T) {
	gate := zyadmission.NewQueue(zyadmission.Config{Slots: 4, FixedLimit: true})
	now := time.Unix(0, 0)
	ends := make(map[zinniayoke.AttemptID]time.Time)
	serial := 0
	step := func(rate float64) {
		now = now.Add(time.Millisecond)
		for id, end := range ends {
			if !now.Before(end) {
				delete(ends, id)
				for _, item := range gate.Finish(now, id, 40*time.Millisecond).Started {
					ends[item.ID] = now.Add(40 * time.Millisecond)
				}
			}
		}
		for n := 0.0; n < rate; n++ {
			serial++
			id := zinniayoke.AttemptID(fmt.Sprint(serial))
			rank := zyrank.New(50, 0, 15, zinniayoke.RequestID(id))
			if rank < gate.Threshold() {
				continue
			}
			for _, item := range gate.Arrive(now, zyadmission.Item{ID: id, Rank: rank, Deadline: now.Add(time.Second)}).Started {
				ends[item.ID] = now.Add(40 * time.Millisecond)
			}
		}
		gate.Tick(now)
	}
	for range 5000 {
		step(1)
	}
	if gate.Threshold() == 0 {
		t.Error("a surge of ten times the capacity raised no threshold")
	}
	for i := range 1000 {
		rate := 0.0
		if i%20 == 0 {
			rate = 1
		}
		step(rate)
	}
	if gate.Threshold() != 0 {
		t.Errorf("threshold %d one second after the surge", gate.Threshold())
	}
}
