package zyexplain_test

import (
	"errors"
	"strings"
	"testing"

	"zinniayoke/core/zyexplain"
)

// TestCauses checks the sentence for each way in which a request can end, from the log
// lines that the nodes write in that case.
func TestCauses(t *testing.T) {
	for _, c := range []struct {
		name, log, want string
	}{
		{"shed at the entry node",
			`{"time":"2026-01-01T00:00:01Z","event":"callEnded","request":"r","outcome":"notRun","reason":"shed","detail":"40% of the route's calls are refused, since deep has no room for 20% of what is asked of it"}`,
			"Refused at its entry node, not run: 40% of the route's calls are refused, since deep has no room"},
		{"shed in the admission queue",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"notRun","reason":"shed"}
			 {"time":"2026-01-01T00:00:01Z","event":"attemptRefused","request":"r","instance":"i-1","reason":"shed","limit":12,"running":12,"waiting":7}`,
			"the admission queue of i-1 had 12 of 12 slots in use and 7 calls waiting"},
		{"shed for the rate limit of the worker",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"notRun","reason":"shed"}
			 {"time":"2026-01-01T00:00:01Z","event":"attemptRefused","request":"r","instance":"i-1","reason":"shed","limit":12,"running":3,"waiting":7,"rateLimit":12.8,"deliveryRate":13.1}`,
			"3 of 12 slots in use and 7 calls waiting; its worker accepts 12.8 calls per second and got 13.1."},
		{"worker lost",
			`   4.03 sidecar-a {"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"unknown","reason":"answerLost","detail":"the worker broke off"}
			 {"time":"2026-01-01T00:00:01Z","event":"attemptRun","request":"r","instance":"i-2","reason":"answerLost"}`,
			"The request was delivered to worker i-2, but"},
		{"no route",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"notRun","reason":"noRoute","version":7,"detail":"the host has no route for this path"}`,
			"in version 7"},
		{"unknown key",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","route":"look","outcome":"notRun","reason":"token","version":7,"detail":"the key belongs to no customer of the bundle"}`,
			"Refused with 401 by log (outcome notRun), on route look with version 7 of the bundle: the key belongs to no customer of the bundle."},
		{"customer over its limit",
			`4.03 sidecar-a {"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","route":"look","customer":"mill","outcome":"notRun","reason":"callerLimit","version":7,"detail":"over its limit"}`,
			"Refused with 429 by sidecar-a (outcome notRun), on route look with version 7 of the bundle; customer mill: over its limit."},
		{"shed request of a customer",
			`{"time":"2026-01-01T00:00:01Z","event":"callEnded","request":"r","customer":"mill","outcome":"notRun","reason":"shed","detail":"full"}`,
			"not run: full; customer mill."},
		{"child call refused",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"done","status":500,"tookUs":90000}
			 {"time":"2026-01-01T00:00:01Z","event":"callEnded","request":"c","parent":"r","service":"deep","outcome":"notRun","reason":"shed","detail":"full"}`,
			"after 90ms: its call c to deep ended notRun because of shed"},
		{"child call with an error status",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"done","status":500,"tookUs":90000}
			 {"time":"2026-01-01T00:00:01Z","event":"callEnded","request":"c","parent":"r","service":"deep","outcome":"done","status":504}`,
			"after 90ms: its call c to deep got a response with status 504"},
		{"only the line of the request itself",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"done","status":500,"tookUs":90000,"detail":"a call to mid was answered 500, since a call to deep was refused (shed): full"}`,
			"responded with status 500 after 90ms: a call to mid was answered 500, since a call to deep was refused (shed): full."},
		{"deadline in the queue",
			`{"time":"2026-01-01T00:00:02Z","event":"callEnded","request":"r","outcome":"notRun","reason":"deadline","tookUs":1200000}`,
			"before a worker had a free slot"},
		{"no line of the entry node",
			`{"time":"2026-01-01T00:00:02Z","event":"attemptRun","request":"r"}`,
			"No log line of the entry node says how the request ended"},
	} {
		collector := zyexplain.NewCollector("r")
		if err := collector.AddLog("log", strings.NewReader("not JSON\n{broken\n"+c.log)); err != nil {
			t.Fatal(err)
		}
		explanation, err := collector.Explain()
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if !strings.Contains(explanation.Cause, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, explanation.Cause, c.want)
		}
	}
}

// TestContextHasEventsShortlyBeforeTheEnd checks that the context leaves out events that
// are too old, later than the end, or of another request.
func TestContextHasEventsShortlyBeforeTheEnd(t *testing.T) {
	collector := zyexplain.NewCollector("r")
	log := `{"time":"2026-01-01T00:00:10Z","event":"callEnded","request":"r","outcome":"notRun","reason":"noUpstream"}
		{"time":"2026-01-01T00:00:09Z","event":"member","node":"n/1","detail":"dead"}
		{"time":"2026-01-01T00:00:01Z","event":"member","node":"old/1","detail":"dead"}
		{"time":"2026-01-01T00:00:11Z","event":"member","node":"later/1","detail":"dead"}
		{"time":"2026-01-01T00:00:09Z","event":"callEnded","request":"another"}`
	if err := collector.AddLog("log", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	explanation, err := collector.Explain()
	if err != nil {
		t.Fatal(err)
	}
	if len(explanation.Lines) != 1 || len(explanation.Context) != 1 || explanation.Context[0].Node != "n/1" {
		t.Errorf("got lines %+v and context %+v", explanation.Lines, explanation.Context)
	}
}

// TestUnknownRequest expects a *NotFoundError if no line names the request.
func TestUnknownRequest(t *testing.T) {
	_, err := zyexplain.NewCollector("r").Explain()
	var missing *zyexplain.NotFoundError
	if !errors.As(err, &missing) {
		t.Errorf("got %v, want a NotFoundError", err)
	}
}

// FuzzAddLog checks that no log makes AddLog or Explain panic and that each explanation
// has a cause.
func FuzzAddLog(f *testing.F) {
	f.Add([]byte(`{"time":"2026-01-01T00:00:01Z","event":"callEnded","request":"r"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		collector := zyexplain.NewCollector("r")
		if err := collector.AddLog("log", strings.NewReader(string(raw))); err != nil {
			return
		}
		if explanation, err := collector.Explain(); err == nil && explanation.Cause == "" {
			t.Error("got an explanation without a cause")
		}
	})
}
