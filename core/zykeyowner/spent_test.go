package zykeyowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
)

// TestSendsTellEachAttemptOnce sends a key three times while its first run takes
// longer than the first two sends wait. Together their replies tell of the
// attempts that were made, whichever send they belong to.
func TestSendsTellEachAttemptOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{}
		s.answer = func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
			time.Sleep(3 * time.Second)
			reply, err := done(a)
			reply.Unused = a.Tokens // The worker makes no calls.
			return reply, err
		}
		h := newHome(s)
		told := zinniayoke.Tokens(0)
		for range 3 {
			told += run(h, 1).Spent
		}
		time.Sleep(time.Minute)
		told += run(h, 1).Spent
		if told != zinniayoke.Tokens(s.runs) || s.runs != 1 {
			t.Errorf("the sends told of %d attempts, %d were made; want one", told, s.runs)
		}
	})
}
