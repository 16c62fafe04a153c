package zyadmission_test

import (
	"fmt"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
)

// TestShortReadsPassWorkersCalls replays a worker that is busy with workers'
// calls, which can wait, when callers' reads come, which cannot.
func TestShortReadsPassWorkersCalls(t *testing.T) {
	g := zyadmission.NewQueue(zyadmission.Config{Slots: 3, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
	now := time.Now()
	item := func(id string, depth int, patience time.Duration) zyadmission.Item {
		return zyadmission.Item{
			ID: zinniayoke.AttemptID(id), Depth: depth, MaxWait: patience, Deadline: now.Add(time.Second),
			Rank: zinniayoke.Rank(depth) << 31,
		}
	}
	for i := range 5 {
		g.Arrive(now, item(fmt.Sprintf("call%d", i), 1, 200*time.Millisecond))
	}
	if res := g.Arrive(now.Add(time.Millisecond), item("read", 0, 40*time.Millisecond)); len(res.Refused) > 0 {
		t.Fatalf("the read was refused: %v", res.Refused)
	}
	res := g.Finish(now.Add(20*time.Millisecond), "call0", 20*time.Millisecond)
	if len(res.Started) != 1 || res.Started[0].ID != "read" {
		t.Errorf("%v starts next, want the read", res.Started)
	}
	if res := g.Tick(now.Add(150 * time.Millisecond)); len(res.Refused) > 0 {
		t.Errorf("%v is refused before its patience has ended", res.Refused)
	}
	if res := g.Tick(now.Add(250 * time.Millisecond)); len(res.Refused) != 3 {
		t.Errorf("%d calls are refused after their patience, want 3", len(res.Refused))
	}
}

// TestHopelessRootIsRefusedAtOnce lets reads come faster than they are served;
// none that is refused may have waited.
func TestHopelessRootIsRefusedAtOnce(t *testing.T) {
	const service, patience = 50 * time.Millisecond, 30 * time.Millisecond
	g := zyadmission.NewQueue(zyadmission.Config{Slots: 1, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
	now := time.Now()
	arrive := func(i int) zyadmission.Result {
		return g.Arrive(now, zyadmission.Item{
			ID: zinniayoke.AttemptID(fmt.Sprint(i)), MaxWait: patience, Deadline: now.Add(time.Second),
		})
	}
	for i := range 40 {
		arrive(i)
		now = now.Add(service)
		g.Finish(now, zinniayoke.AttemptID(fmt.Sprint(i)), service)
	}
	arrive(100)
	if res := arrive(101); len(res.Refused) != 1 {
		t.Errorf("a read that has to wait %s for %s of patience was let wait: %+v", service, patience, res)
	}
}

// TestFixedLimitStaysBelowTheKnee replays a worker that takes a third longer for
// each call once more than 0.95 of its slots are in use, and counts what it
// serves with a queue that is never empty.
func TestFixedLimitStaysBelowTheKnee(t *testing.T) {
	const slots, service, step = 29, 15 * time.Millisecond, time.Millisecond
	for _, c := range []struct {
		limit int
		least float64
	}{
		{slots, 0},
		{zyadmission.NewQueue(zyadmission.Config{Slots: slots, FixedLimit: true}).Limit(), 1.15},
	} {
		served := serveFull(c.limit, slots, service, step)
		full := serveFull(slots, slots, service, step)
		if gain := float64(served) / float64(full); gain < c.least {
			t.Errorf("with a limit of %d the worker serves %.2f of what it does full, want %.2f", c.limit, gain, c.least)
		}
	}
}

func serveFull(limit, slots int, service, step time.Duration) int {
	const knee, slower = 0.95, 1.3
	served := 0
	left := make([]time.Duration, limit)
	for i := range left {
		left[i] = service * time.Duration(i) / time.Duration(limit)
	}
	for range 10 * time.Second / step {
		work := step
		if float64(limit) > knee*float64(slots) {
			work = time.Duration(float64(step) / slower)
		}
		for i := range left {
			if left[i] -= work; left[i] <= 0 {
				left[i] += service
				served++
			}
		}
	}
	return served
}
