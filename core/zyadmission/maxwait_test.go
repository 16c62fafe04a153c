package zyadmission_test

import (
	"fmt"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
)

// TestShortWaitOvertakesLongWait has a caller's read with a short maximum wait
// arrive behind waiting calls of workers, which may wait longer. The read must
// start first, and no call may be refused before its maximum wait.
func TestShortWaitOvertakesLongWait(t *testing.T) {
	q := zyadmission.NewQueue(zyadmission.Config{Slots: 3, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
	now := time.Now()
	item := func(id string, depth int, maxWait time.Duration) zyadmission.Item {
		return zyadmission.Item{
			ID: zinniayoke.AttemptID(id), Depth: depth, MaxWait: maxWait, Deadline: now.Add(time.Second),
			Rank: zinniayoke.Rank(depth) << 31,
		}
	}
	for i := range 5 {
		q.Arrive(now, item(fmt.Sprintf("call%d", i), 1, 200*time.Millisecond))
	}
	if res := q.Arrive(now.Add(time.Millisecond), item("read", 0, 40*time.Millisecond)); len(res.Refused) > 0 {
		t.Fatalf("Arrive refused the read: %v", res.Refused)
	}
	res := q.Finish(now.Add(20*time.Millisecond), "call0", 20*time.Millisecond)
	if len(res.Started) != 1 || res.Started[0].ID != "read" {
		t.Errorf("Finish started %v, want the read", res.Started)
	}
	if res := q.Tick(now.Add(150 * time.Millisecond)); len(res.Refused) > 0 {
		t.Errorf("Tick refused %v before its maximum wait", res.Refused)
	}
	if res := q.Tick(now.Add(250 * time.Millisecond)); len(res.Refused) != 3 {
		t.Errorf("Tick refused %d calls after their maximum wait, want 3", len(res.Refused))
	}
}

// TestRootCallExceedingMaxWaitIsRefusedOnArrival checks that a root call whose
// expected wait exceeds its maximum wait is refused without queueing.
func TestRootCallExceedingMaxWaitIsRefusedOnArrival(t *testing.T) {
	const serviceTime, maxWait = 50 * time.Millisecond, 30 * time.Millisecond
	q := zyadmission.NewQueue(zyadmission.Config{Slots: 1, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
	now := time.Now()
	arrive := func(i int) zyadmission.Result {
		return q.Arrive(now, zyadmission.Item{
			ID: zinniayoke.AttemptID(fmt.Sprint(i)), MaxWait: maxWait, Deadline: now.Add(time.Second),
		})
	}
	for i := range 40 {
		arrive(i)
		now = now.Add(serviceTime)
		q.Finish(now, zinniayoke.AttemptID(fmt.Sprint(i)), serviceTime)
	}
	arrive(100)
	if res := arrive(101); len(res.Refused) != 1 {
		t.Errorf("a read with an expected wait of %s and a maximum wait of %s was not refused: %+v", serviceTime, maxWait, res)
	}
}

// TestFixedLimitAvoidsSaturationSlowdown simulates a worker whose calls take a third
// longer while more than 0.95 of its slots are in use, and a queue that is never
// empty. The fixed limit must yield more throughput than using all slots.
func TestFixedLimitAvoidsSaturationSlowdown(t *testing.T) {
	const slots, serviceTime, step = 29, 15 * time.Millisecond, time.Millisecond
	for _, c := range []struct {
		limit int
		least float64
	}{
		{slots, 0},
		{zyadmission.NewQueue(zyadmission.Config{Slots: slots, FixedLimit: true}).Limit(), 1.15},
	} {
		served := servedUnderLoad(c.limit, slots, serviceTime, step)
		full := servedUnderLoad(slots, slots, serviceTime, step)
		if gain := float64(served) / float64(full); gain < c.least {
			t.Errorf("limit %d: throughput is %.2f of that with all slots in use, want at least %.2f", c.limit, gain, c.least)
		}
	}
}

// servedUnderLoad returns the number of calls served in 10 s if limit calls are
// always running.
func servedUnderLoad(limit, slots int, serviceTime, step time.Duration) int {
	const slowdownShare, slowdown = 0.95, 1.3
	served := 0
	remaining := make([]time.Duration, limit)
	for i := range remaining {
		remaining[i] = serviceTime * time.Duration(i) / time.Duration(limit)
	}
	for range 10 * time.Second / step {
		progress := step
		if float64(limit) > slowdownShare*float64(slots) {
			progress = time.Duration(float64(step) / slowdown)
		}
		for i := range remaining {
			if remaining[i] -= progress; remaining[i] <= 0 {
				remaining[i] += serviceTime
				served++
			}
		}
	}
	return served
}
