package zykeyowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
)

// TestAttemptsAreReportedOnce sends a key three times. Its run takes longer than the
// first request waits. Together, the replies must report each attempt exactly once,
// whichever request caused it.
func TestAttemptsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{}
		s.respond = func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
			time.Sleep(3 * time.Second)
			reply, err := done(a)
			reply.Unused = a.Tokens // The worker makes no calls.
			return reply, err
		}
		e := newExecutor(s)
		reported := zinniayoke.Tokens(0)
		for range 3 {
			reported += run(e, 1).Spent
		}
		time.Sleep(time.Minute)
		reported += run(e, 1).Spent
		if reported != zinniayoke.Tokens(s.runs) || s.runs != 1 {
			t.Errorf("the replies report %d attempts, %d were made; want one", reported, s.runs)
		}
	})
}
