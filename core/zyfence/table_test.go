package zyfence_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyfence"
)

const retention = time.Minute

// TestTable compares the table with a model that records which attempts have begun,
// were fenced and have ended. It guards against an attempt that runs twice, or that runs
// after a query reported it as never seen.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := zyfence.New(zyfence.Config{MaxAttempts: 5, MaxResponseBytes: 100, Retention: retention})
		now := time.Unix(0, 0)
		begun, fenced, ended := map[zinniayoke.AttemptID]bool{}, map[zinniayoke.AttemptID]bool{}, map[zinniayoke.AttemptID]bool{}
		anyID := func(t *rapid.T) zinniayoke.AttemptID {
			return zinniayoke.AttemptID(fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "id")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := anyID(t)
				err := table.Begin(now, id)
				if err == nil && (begun[id] || fenced[id]) {
					t.Fatalf("attempt %s may begin although it had begun or was fenced", id)
				}
				begun[id] = begun[id] || err == nil
			},
			"end": func(t *rapid.T) {
				id := anyID(t)
				body := make([]byte, rapid.IntRange(0, 80).Draw(t, "size"))
				table.End(now, id, &zinniayoke.Reply{Attempt: id, Response: &zinniayoke.Response{Body: body}})
				ended[id] = ended[id] || begun[id]
			},
			"query": func(t *rapid.T) {
				id := anyID(t)
				reply, err := table.Query(now, id)
				if err != nil {
					return
				}
				switch reply.State {
				case zinniayoke.AttemptNeverSeen:
					if begun[id] {
						t.Fatalf("query of attempt %s: never seen, although it had begun", id)
					}
					fenced[id] = true
				case zinniayoke.AttemptRunning:
					if !begun[id] || ended[id] {
						t.Fatalf("query of attempt %s: running, although it had not begun or had ended", id)
					}
				case zinniayoke.AttemptAnswered:
					if reply.Reply.Attempt != id {
						t.Fatalf("query of attempt %s: reply of attempt %s", id, reply.Reply.Attempt)
					}
				case zinniayoke.AttemptLost:
					if !ended[id] {
						t.Fatalf("query of attempt %s: lost, although it had not ended", id)
					}
				}
			},
			"advance time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				if now.Sub(time.Unix(0, 0)) > retention {
					t.Skip("attempts may have been removed after their retention")
				}
				if n := table.Len(); n > 5 {
					t.Fatalf("%d attempts in the table, want at most 5", n)
				}
			},
		})
	})
}

// TestFullTableExaminesOnlyResponses ends many attempts in a table that has room
// for ten responses. When dropResponses examined every attempt in the table, it
// took half of the processor time of a busy node.
func TestFullTableExaminesOnlyResponses(t *testing.T) {
	const maxResponses, maxAttempts, retention = 10, 5000, time.Second
	table := zyfence.New(zyfence.Config{MaxAttempts: maxAttempts, MaxResponseBytes: maxResponses, Retention: retention})
	now := time.Unix(0, 0)
	response := &zinniayoke.Response{Body: []byte("x")}
	end := func(a *zinniayoke.Response) {
		id := zinniayoke.AttemptID(fmt.Sprint(now.UnixNano(), table.Len()))
		if err := table.Begin(now, id); err != nil {
			t.Fatal(err)
		}
		table.End(now, id, &zinniayoke.Reply{Attempt: id, Response: a})
	}
	for range maxAttempts {
		end(response)
		if n := table.ResponseQueueLen(); n > maxResponses {
			t.Fatalf("%d entries to examine for responses, want at most %d", n, maxResponses)
		}
	}
	now = now.Add(2 * retention)
	end(nil)
	if n, kept := table.ResponseQueueLen(), table.Len(); n != 0 || kept != 1 {
		t.Errorf("%d entries to examine of %d in the table after the retention has passed, want 0 of 1", n, kept)
	}
}

// BenchmarkFullTable measures the end of an attempt in a table that is full of
// responses.
func BenchmarkFullTable(b *testing.B) {
	const maxAttempts = 20_000
	table := zyfence.New(zyfence.Config{MaxAttempts: maxAttempts, MaxResponseBytes: 2 * zinniayoke.MiB, Retention: retention})
	now := time.Unix(0, 0)
	reply := &zinniayoke.Reply{Response: &zinniayoke.Response{Body: make([]byte, zinniayoke.KiB)}}
	for i := range b.N {
		now = now.Add(2 * retention / maxAttempts)
		id := zinniayoke.AttemptID(fmt.Sprint(i))
		if err := table.Begin(now, id); err != nil {
			b.Fatal(err)
		}
		table.End(now, id, reply)
	}
}
