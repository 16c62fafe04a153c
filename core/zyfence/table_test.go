package zyfence_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyfence"
)

const keep = time.Minute

// TestTable compares the table with a map of what each attempt has been through.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := zyfence.New(zyfence.Config{MaxAttempts: 5, MaxResponseBytes: 100, Retention: keep})
		now := time.Unix(0, 0)
		began, fenced, ended := map[zinniayoke.AttemptID]bool{}, map[zinniayoke.AttemptID]bool{}, map[zinniayoke.AttemptID]bool{}
		anyID := func(t *rapid.T) zinniayoke.AttemptID {
			return zinniayoke.AttemptID(fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "id")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := anyID(t)
				err := table.Begin(now, id)
				if err == nil && (began[id] || fenced[id]) {
					t.Fatalf("%s may run although it began or was fenced", id)
				}
				began[id] = began[id] || err == nil
			},
			"end": func(t *rapid.T) {
				id := anyID(t)
				body := make([]byte, rapid.IntRange(0, 80).Draw(t, "size"))
				table.End(now, id, &zinniayoke.Reply{Attempt: id, Response: &zinniayoke.Response{Body: body}})
				ended[id] = ended[id] || began[id]
			},
			"ask": func(t *rapid.T) {
				id := anyID(t)
				told, err := table.Query(now, id)
				if err != nil {
					return
				}
				switch told.State {
				case zinniayoke.AttemptNeverSeen:
					if began[id] {
						t.Fatalf("%s began and is told never seen", id)
					}
					fenced[id] = true
				case zinniayoke.AttemptRunning:
					if !began[id] || ended[id] {
						t.Fatalf("%s is told running", id)
					}
				case zinniayoke.AttemptAnswered:
					if told.Reply.Attempt != id {
						t.Fatalf("%s got the reply of %s", id, told.Reply.Attempt)
					}
				case zinniayoke.AttemptLost:
					if !ended[id] {
						t.Fatalf("%s is told lost before it ended", id)
					}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				if now.Sub(time.Unix(0, 0)) > keep {
					t.Skip("what is older may be forgotten")
				}
				if n := table.Len(); n > 5 {
					t.Fatalf("%d attempts are remembered", n)
				}
			},
		})
	})
}

// TestFullTableLooksAtWhatItHolds ends many attempts in a table that holds the
// answers of ten. Walking over all that are remembered took half of a busy node's
// processor time.
func TestFullTableLooksAtWhatItHolds(t *testing.T) {
	const held, all, age = 10, 5000, time.Second
	table := zyfence.New(zyfence.Config{MaxAttempts: all, MaxResponseBytes: held, Retention: age})
	now := time.Unix(0, 0)
	answer := &zinniayoke.Response{Body: []byte("x")}
	end := func(a *zinniayoke.Response) {
		id := zinniayoke.AttemptID(fmt.Sprint(now.UnixNano(), table.Len()))
		if err := table.Begin(now, id); err != nil {
			t.Fatal(err)
		}
		table.End(now, id, &zinniayoke.Reply{Attempt: id, Response: a})
	}
	for range all {
		end(answer)
		if n := table.Holding(); n > held {
			t.Fatalf("%d entries are looked at, want at most %d", n, held)
		}
	}
	now = now.Add(2 * age)
	end(nil)
	if n, kept := table.Holding(), table.Len(); n != 0 || kept != 1 {
		t.Errorf("%d of %d entries are looked at after all have aged, want 0 of 1", n, kept)
	}
}

// BenchmarkFullTable is the end of an attempt in a table that is full of answers.
func BenchmarkFullTable(b *testing.B) {
	const most = 20_000
	table := zyfence.New(zyfence.Config{MaxAttempts: most, MaxResponseBytes: 2 * zinniayoke.MiB, Retention: keep})
	now := time.Unix(0, 0)
	reply := &zinniayoke.Reply{Response: &zinniayoke.Response{Body: make([]byte, zinniayoke.KiB)}}
	for i := range b.N {
		now = now.Add(2 * keep / most)
		id := zinniayoke.AttemptID(fmt.Sprint(i))
		if err := table.Begin(now, id); err != nil {
			b.Fatal(err)
		}
		table.End(now, id, reply)
	}
}
