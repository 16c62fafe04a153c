package zyentry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyparent"
)

// TestStoppingNodeTakesCallsItCannotFinish guards against calls that a stopping node passes on
// although it may have ended when the answer comes. The route allows a second.
func TestStoppingNodeTakesCallsItCannotFinish(t *testing.T) {
	const acceptAll, end = time.Second, 3 * time.Second
	route := func(name string, neverRepeat bool) zybundle.PrefixRoute {
		return zybundle.PrefixRoute{Route: zybundle.Route{
			Name: zinniayoke.RouteName(name), Host: "h", Prefix: "/" + name + "/", Service: "s", Attempts: 3, Timeout: time.Second,
			Objective: 300 * time.Millisecond, NeverRepeat: neverRepeat,
		}}
	}
	bundle, err := zybundle.Compose(zybundle.Composition{
		Version: 1, Services: []zybundle.Service{{Name: "s"}}, Routes: []zybundle.PrefixRoute{route("lookup", false), route("booking", true)},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		after time.Duration
		path  string
		child bool
		// wait is the time that the caller allows; 0 stands for that of the route.
		wait    time.Duration
		outcome zinniayoke.Outcome
		// timeout is what the attempt gets.
		timeout time.Duration
	}{
		{"during the notice", 900 * time.Millisecond, "/booking/", false, 0, zinniayoke.OutcomeDone, time.Second},
		{"enough time left", 1900 * time.Millisecond, "/booking/", false, 0, zinniayoke.OutcomeDone, time.Second},
		{"too little time left", 2000 * time.Millisecond, "/booking/", false, 0, zinniayoke.OutcomeNotRun, 0},
		{"too little time left for a lookup", 2000 * time.Millisecond, "/lookup/", false, 0, zinniayoke.OutcomeNotRun, 0},
		{"a caller that waits for less", 2000 * time.Millisecond, "/booking/", false, 500 * time.Millisecond, zinniayoke.OutcomeDone, 500 * time.Millisecond},
		{"a lookup of a worker", 2500 * time.Millisecond, "/lookup/", true, 0, zinniayoke.OutcomeDone, 500 * time.Millisecond},
		{"a lookup of a worker, which usually takes longer", 2800 * time.Millisecond, "/lookup/", true, 0, zinniayoke.OutcomeNotRun, 0},
		{"a booking of a worker", 2500 * time.Millisecond, "/booking/", true, 0, zinniayoke.OutcomeNotRun, 0},
		{"a lookup of a worker after the end", 3000 * time.Millisecond, "/lookup/", true, 0, zinniayoke.OutcomeNotRun, 0},
		{"after the end", 3100 * time.Millisecond, "/lookup/", false, time.Millisecond, zinniayoke.OutcomeNotRun, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			n, parents := &fakeNode{}, &zyparent.Table{}
			e := newEntry(n, bundle, parents)
			handle := ""
			if c.child {
				handle = parents.Add(&zyparent.Parent{Deadline: time.Now().Add(time.Minute), Budget: zyattempt.NewBudget(5, 5)})
			}
			now := time.Now()
			e.BeginShutdown(zyentry.Shutdown{AcceptAll: now.Add(acceptAll), End: now.Add(end)})
			time.Sleep(c.after)
			r, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, c.path, http.NoBody)
			reply := e.Handle(t.Context(), &zyentry.Inbound{Host: "h", HTTP: r, Context: handle, Timeout: c.wait}).Reply
			if reply.Outcome != c.outcome {
				t.Fatalf("%s: the reply is %+v, want the outcome %s", c.name, reply, c.outcome)
			}
			if reply.Outcome == zinniayoke.OutcomeNotRun {
				if len(n.attempts) != 0 || reply.RetryAfter <= 0 {
					t.Errorf("%s: refused with Retry-After %s after %d attempts", c.name, reply.RetryAfter, len(n.attempts))
				}
				return
			}
			if got := n.attempts[0].Timeout; got != c.timeout {
				t.Errorf("%s: the attempt gets %s, want %s", c.name, got, c.timeout)
			}
		})
	}
}
