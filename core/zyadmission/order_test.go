package zyadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
)

// TestQueueOfMixedPatienceStaysWhole has calls with and without a patience of
// their own wait together and leave in any order. None may stay behind.
func TestQueueOfMixedPatienceStaysWhole(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 50 {
		g := zyadmission.NewQueue(zyadmission.Config{Slots: 1, FixedLimit: true, QueuePerSlot: 300, ByWaitDeadline: true})
		now := time.Now()
		g.Arrive(now, zyadmission.Item{ID: "runs", Deadline: now.Add(time.Hour)})
		var waiting []zinniayoke.AttemptID
		for i := range 100 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			id := zinniayoke.AttemptID(fmt.Sprint(i))
			res := g.Arrive(now, zyadmission.Item{
				ID: id, Rank: zinniayoke.Rank(random.Uint32()), Depth: 1 + random.IntN(2), Deadline: now.Add(time.Hour),
				MaxWait: time.Duration(random.IntN(2)*random.IntN(300)) * time.Millisecond,
			})
			if len(res.Refused) > 0 {
				t.Fatalf("round %d: %v was refused", round, res.Refused)
			}
			waiting = append(waiting, id)
		}
		random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, id := range waiting {
			if !g.Remove(id) {
				t.Fatalf("round %d: %s does not wait", round, id)
			}
		}
		if res := g.Finish(now, "runs", time.Millisecond); len(res.Started) > 0 {
			t.Fatalf("round %d: %s starts after it has left", round, res.Started[0].ID)
		}
	}
}
