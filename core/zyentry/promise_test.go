package zyentry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyparent"
)

// TestWorkersStatusBecomesPromise guards against a response of a worker that has run a request
// and whose status promises clients that it has not.
func TestWorkersStatusBecomesPromise(t *testing.T) {
	promises := func(cfg *zyentry.Config) {
		cfg.PromisesNotRun = func(status int) bool { return status == http.StatusServiceUnavailable }
	}
	goByOutcome := func(*zyentry.Config) {}
	for _, c := range []struct {
		name        string
		status      int
		neverRepeat bool
		key         string
		child       bool
		option      func(*zyentry.Config)
		dropped     bool
	}{
		{"promise", http.StatusServiceUnavailable, true, "", false, promises, true},
		{"promise for a key", http.StatusServiceUnavailable, true, "1", false, promises, true},
		{"promise to a worker", http.StatusServiceUnavailable, true, "", true, promises, true},
		{"promise, may be repeated", http.StatusServiceUnavailable, false, "", false, promises, false},
		{"no promise", http.StatusInternalServerError, true, "", false, promises, false},
		{"success", http.StatusOK, true, "", false, promises, false},
		{"clients go by the outcome", http.StatusServiceUnavailable, true, "", false, goByOutcome, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := customerBundle(t)
			b.Routes["public"].NeverRepeat = c.neverRepeat
			n, parents := &fakeNode{status: c.status}, &zyparent.Table{}
			in := &zyentry.Inbound{Key: c.key, Host: "h"}
			if c.child {
				in.Context = parents.Add(&zyparent.Parent{Request: "r", Deadline: time.Now().Add(time.Second), Budget: zyattempt.NewBudget(2, 1)})
			}
			in.HTTP, _ = http.NewRequestWithContext(context.Background(), http.MethodPost, "/public/", http.NoBody)
			reply := newEntry(n, b, parents, c.option).Handle(context.Background(), in).Reply
			switch {
			case !c.dropped && (reply.Outcome != zinniayoke.OutcomeDone || reply.Response == nil || reply.Response.Status != c.status):
				t.Errorf("got %+v, want the response of the worker", reply)
			case c.dropped && (reply.Outcome != zinniayoke.OutcomeUnknown || reply.Response != nil || reply.Reason != zinniayoke.ReasonAnswerLost):
				t.Errorf("got %+v, want an unknown outcome without a response", reply)
			case n.event.Outcome != reply.Outcome:
				t.Errorf("the event has outcome %s, want %s", n.event.Outcome, reply.Outcome)
			}
		})
	}
}
