package zylogger_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"zinniayoke"
	"zinniayoke/io/zylogger"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestStuckOutputBlocksNobody(t *testing.T) {
	out := &stuck{}
	out.mu.Lock()
	w := zylogger.NewWriter(out)
	const lines = 20_000
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped although nothing was written")
	}
	out.mu.Unlock()
	w.Close()
	if got := int64(strings.Count(out.out.String(), "\n")) + w.Dropped(); got != lines {
		t.Errorf("%d lines were written or counted, want %d", got, lines)
	}
}

func TestJournalSamplesWholeRequests(t *testing.T) {
	var out bytes.Buffer
	j := zylogger.NewEventLog(&out, func() int64 { return 0 })
	const requests = 2000
	for i := range requests {
		id := zinniayoke.RequestID(fmt.Sprintf("r%d", i))
		for _, kind := range []zinniayoke.EventKind{zinniayoke.EventCallEnded, zinniayoke.EventAttemptEnded, zinniayoke.EventAttemptRun} {
			j.Record(&zinniayoke.Event{Kind: kind, Request: id, Outcome: zinniayoke.OutcomeDone, Detail: `quoted "text"`})
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
			t.Errorf("%d of 3 lines of %s were kept", n, id)
		}
	}
}

func TestJournalBoundsFailures(t *testing.T) {
	var out bytes.Buffer
	j := zylogger.NewEventLog(&out, func() int64 { return 0 })
	for i := range 10_000 {
		j.Record(&zinniayoke.Event{Request: zinniayoke.RequestID(fmt.Sprint(i)), Reason: zinniayoke.ReasonShed})
	}
	j.Record(&zinniayoke.Event{Request: "other", Reason: zinniayoke.ReasonDeadline})
	if n := strings.Count(out.String(), `"reason":"shed"`); n > 1000 {
		t.Errorf("%d of 10000 refusals were written", n)
	}
	if !strings.Contains(out.String(), `"reason":"deadline"`) {
		t.Error("one kind of failure kept another one out")
	}
}

func BenchmarkJournalLine(b *testing.B) {
	j := zylogger.NewEventLog(zylogger.NewWriter(discard{}), func() int64 { return 0 })
	e := &zinniayoke.Event{Kind: zinniayoke.EventMember, Node: "n", Detail: "alive, worker serving"}
	b.ReportAllocs()
	for b.Loop() {
		j.Record(e)
	}
}

func BenchmarkJournalLeftOut(b *testing.B) {
	j := zylogger.NewEventLog(discard{}, func() int64 { return 0 })
	e := &zinniayoke.Event{Request: "r1", Outcome: zinniayoke.OutcomeDone}
	b.ReportAllocs()
	for b.Loop() {
		j.Record(e)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
