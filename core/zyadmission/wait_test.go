package zyadmission_test

import (
	"fmt"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
)

// TestExpectedWait guards against calls that are reported to wait although they would start at
// once, and against full workers that seem free because no call has ended there yet.
func TestExpectedWait(t *testing.T) {
	limit := zinniayoke.Rate(10)
	for _, c := range []struct {
		name      string
		running   int // of 10 slots
		ended     bool
		rateLimit *zinniayoke.Rate
		least     time.Duration
		most      time.Duration
		slots     int // the limit in the report
	}{
		{"idle", 0, true, nil, 0, 0, 10},
		{"one slot free", 9, true, nil, 0, 0, 10},
		{"full", 10, true, nil, 10 * time.Millisecond, 10 * time.Millisecond, 10},
		{"full, one waits", 11, true, nil, 20 * time.Millisecond, 20 * time.Millisecond, 10},
		{"full, no call has ended", 10, false, nil, time.Millisecond, 100 * time.Millisecond, 10},
		{"rate limit of a worker that has just named it, three wait", 3, true, &limit, 400 * time.Millisecond, 400 * time.Millisecond, 1},
	} {
		now := time.Unix(0, 0)
		q := zyadmission.NewQueue(zyadmission.Config{Slots: 11, FixedLimit: true, ByWaitDeadline: true})
		item := func(i int) zyadmission.Item {
			return zyadmission.Item{ID: zinniayoke.AttemptID(fmt.Sprint(i)), Deadline: now.Add(time.Hour), MaxWait: time.Hour}
		}
		if c.ended {
			for i := range 200 { // So that the average service time is 100 ms.
				q.Arrive(now, item(i))
				q.Finish(now, item(i).ID, 100*time.Millisecond)
			}
		}
		q.SetRateLimit(now, c.rateLimit)
		for i := range c.running {
			q.Arrive(now, item(1000+i))
		}
		if got := q.ExpectedWait(now, item(2000)).Round(time.Millisecond); got < c.least || got > c.most {
			t.Errorf("%s: expected wait %s, want %s to %s", c.name, got, c.least, c.most)
		}
		if r := q.Report(1); r.Limit != c.slots || r.Running+r.Waiting != c.running {
			t.Errorf("%s: the report is %+v, want limit %d and %d calls", c.name, r, c.slots, c.running)
		}
	}
}
