package zytimer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke/core/zytimer"
)

// TestSetPeriod checks that a shorter period takes effect at once instead of after the
// longer one, and that a cancelled subscriber is not revived by a new period.
func TestSetPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := zytimer.New()
		defer s.Stop()
		calls := make(chan time.Time, 1000)
		sub := s.Every(100*time.Millisecond, func(now time.Time) { calls <- now })
		time.Sleep(time.Second + time.Millisecond)
		if n := len(calls); n != 10 {
			t.Errorf("%d calls in the first second, want 10", n)
		}
		sub.SetPeriod(10 * time.Millisecond)
		time.Sleep(time.Second)
		if n := len(calls); n < 105 || n > 111 {
			t.Errorf("%d calls after another second with a tenth of the period, want about 110", n)
		}
		sub.SetPeriod(time.Hour)
		time.Sleep(time.Second)
		if n := len(calls); n > 112 {
			t.Errorf("%d calls after another second with a period of one hour, want at most 112", n)
		}
		sub.Cancel()
		sub.SetPeriod(time.Millisecond)
		before := len(calls)
		time.Sleep(time.Second)
		if len(calls) != before {
			t.Error("a cancelled subscriber was called")
		}
	})
}

// TestSubscribersShareWakeUps subscribes at different times with the same period. Separate
// due times would wake an idle process once for each of them.
func TestSubscribersShareWakeUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := zytimer.New()
		defer s.Stop()
		times := make(chan time.Time, 1000)
		begin := time.Now()
		for range 3 {
			time.Sleep(37 * time.Millisecond)
			s.Every(100*time.Millisecond, func(now time.Time) { times <- now })
		}
		busy := s.Every(100*time.Millisecond, func(time.Time) {})
		busy.SetPeriod(10 * time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		busy.SetPeriod(100 * time.Millisecond)
		time.Sleep(time.Second)
		if len(times) < 30 {
			t.Errorf("%d calls of three subscribers in more than a second, want 30", len(times))
		}
		for range len(times) {
			if at := (<-times).Sub(begin); at%(100*time.Millisecond) != 0 {
				t.Errorf("a call came %s after the start, want a multiple of 100 ms", at)
			}
		}
	})
}
