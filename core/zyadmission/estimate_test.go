package zyadmission_test

import (
	"fmt"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
)

// TestRouteIsRefusedForeverAfterAStandstill has a node stand still while it runs calls, so
// that they seem to take much longer than the time that calls of the route ever have. The
// route must be served again at once, and a route with longer deadlines 2 s later.
func TestRouteIsRefusedForeverAfterAStandstill(t *testing.T) {
	const timeout, standstill = 700 * time.Millisecond, 3 * time.Second
	for _, c := range []struct {
		name string
		// before is the timeout of the calls that run during the standstill.
		before, wait time.Duration
	}{
		{"same deadlines", timeout, 0},
		{"longer deadlines before", 10 * time.Second, 2*time.Second + time.Millisecond},
	} {
		q := zyadmission.NewQueue(zyadmission.Config{Slots: 20, FixedLimit: true})
		now := time.Now()
		arrive := func(id string, timeout time.Duration) zyadmission.Result {
			return q.Arrive(now, zyadmission.Item{ID: zinniayoke.AttemptID(id), Route: "r", Deadline: now.Add(timeout)})
		}
		for i := range 10 {
			arrive(fmt.Sprint(i), c.before)
		}
		now = now.Add(standstill)
		for i := range 10 {
			q.Finish(now, zinniayoke.AttemptID(fmt.Sprint(i)), standstill)
		}
		now = now.Add(c.wait)
		if res := arrive("next", timeout); len(res.Started) != 1 {
			t.Errorf("%s: a call with %s left was refused: %+v", c.name, timeout, res.Refused)
		}
	}
}
