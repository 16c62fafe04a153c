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
		table := zyfence.New(zyfence.Config{Most: 5, MostBytes: 100, Keep: keep})
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
				table.End(now, id, &zinniayoke.Reply{Attempt: id, Answer: &zinniayoke.Answer{Body: body}})
				ended[id] = ended[id] || began[id]
			},
			"ask": func(t *rapid.T) {
				id := anyID(t)
				told, err := table.Ask(now, id)
				if err != nil {
					return
				}
				switch told.Fate {
				case zinniayoke.FateNeverSeen:
					if began[id] {
						t.Fatalf("%s began and is told never seen", id)
					}
					fenced[id] = true
				case zinniayoke.FateRunning:
					if !began[id] || ended[id] {
						t.Fatalf("%s is told running", id)
					}
				case zinniayoke.FateAnswered:
					if told.Reply.Attempt != id {
						t.Fatalf("%s got the reply of %s", id, told.Reply.Attempt)
					}
				case zinniayoke.FateLost:
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
