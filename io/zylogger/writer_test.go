package zylogger_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/io/zylogger"
)

// blockableOutput is an output whose Write blocks while mu is held.
type blockableOutput struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockableOutput) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	out := &blockableOutput{}
	out.mu.Lock()
	w := zylogger.NewWriter(out)
	const lines = 20_000
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped although the output was blocked")
	}
	out.mu.Unlock()
	w.Close()
	if got := int64(strings.Count(out.out.String(), "\n")) + w.Dropped(); got != lines {
		t.Errorf("%d lines were written or counted as dropped, want %d", got, lines)
	}
}

func TestEventLogSamplesWholeRequests(t *testing.T) {
	var out bytes.Buffer
	events := zylogger.NewEventLog(&out, func() int64 { return 0 })
	const requests = 2000
	for i := range requests {
		id := zinniayoke.RequestID(fmt.Sprintf("r%d", i))
		for _, kind := range []zinniayoke.EventKind{zinniayoke.EventCallEnded, zinniayoke.EventAttemptEnded, zinniayoke.EventAttemptRun} {
			events.Record(&zinniayoke.Event{Kind: kind, Request: id, Outcome: zinniayoke.OutcomeDone, Detail: `quoted "text"`})
		}
	}
	lines := map[string]int{}
	for line := range strings.Lines(out.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		id, _ := fields["request"].(string)
		lines[id]++
	}
	if n := len(lines); n < requests/128 || n > requests/32 {
		t.Errorf("%d of %d requests were sampled, want about one in 64", n, requests)
	}
	for id, n := range lines {
		if n != 3 {
			t.Errorf("%d of 3 lines of request %s were written", n, id)
		}
	}
}

func TestEventLogLimitsFailures(t *testing.T) {
	var out bytes.Buffer
	events := zylogger.NewEventLog(&out, func() int64 { return 0 })
	for i := range 10_000 {
		events.Record(&zinniayoke.Event{Request: zinniayoke.RequestID(fmt.Sprint(i)), Reason: zinniayoke.ReasonShed})
	}
	events.Record(&zinniayoke.Event{Request: "other", Reason: zinniayoke.ReasonDeadline})
	if n := strings.Count(out.String(), `"reason":"shed"`); n > 1000 {
		t.Errorf("%d of 10000 refusals were written, want at most 1000", n)
	}
	if !strings.Contains(out.String(), `"reason":"deadline"`) {
		t.Error("the limit of one reason suppressed an event with another reason")
	}
}

// TestLinePerResponseOfAWorker has a worker name another limit in each of its responses.
func TestLinePerResponseOfAWorker(t *testing.T) {
	var out bytes.Buffer
	events := zylogger.NewEventLog(&out, func() int64 { return 0 })
	for range 10_000 {
		events.Record(&zinniayoke.Event{Kind: zinniayoke.EventWorkerNotice})
	}
	if n := strings.Count(out.String(), "workerNotice"); n == 0 || n > 1000 {
		t.Errorf("%d of 10000 notices were written, want 1 to 1000", n)
	}
}

func BenchmarkEventLogWritten(b *testing.B) {
	events := zylogger.NewEventLog(zylogger.NewWriter(discard{}), func() int64 { return 0 })
	e := &zinniayoke.Event{Kind: zinniayoke.EventMember, Node: "n", Detail: "alive, worker serving"}
	b.ReportAllocs()
	for b.Loop() {
		events.Record(e)
	}
}

func BenchmarkEventLogSampledOut(b *testing.B) {
	events := zylogger.NewEventLog(discard{}, func() int64 { return 0 })
	e := &zinniayoke.Event{Request: "r1", Outcome: zinniayoke.OutcomeDone}
	b.ReportAllocs()
	for b.Loop() {
		events.Record(e)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// TestDroppedLinesAreReportedOnce drops one line. It is reported at the next chance and
// not again as long as no other line is left out.
func TestDroppedLinesAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockableOutput{}
		l := zylogger.NewEventLog(out, func() int64 { return 1 })
		for range 60 {
			time.Sleep(time.Second)
			l.Record(&zinniayoke.Event{Kind: zinniayoke.EventMember})
		}
		if n := strings.Count(out.out.String(), "linesLeftOut"); n != 1 {
			t.Errorf("%d reports of one dropped line, want one", n)
		}
	})
}
