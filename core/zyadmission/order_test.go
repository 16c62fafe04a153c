package zyadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
)

// TestRemoveWithMixedMaxWait queues calls with and without a maximum wait of their
// own and removes them in random order. Each must be found in the ordered queue,
// and none may start afterwards.
func TestRemoveWithMixedMaxWait(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 50 {
		q := zyadmission.NewQueue(zyadmission.Config{Slots: 1, FixedLimit: true, QueuePerSlot: 300, ByWaitDeadline: true})
		now := time.Now()
		q.Arrive(now, zyadmission.Item{ID: "runs", Deadline: now.Add(time.Hour)})
		var waiting []zinniayoke.AttemptID
		for i := range 100 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			id := zinniayoke.AttemptID(fmt.Sprint(i))
			res := q.Arrive(now, zyadmission.Item{
				ID: id, Rank: zinniayoke.Rank(random.Uint32()), Depth: 1 + random.IntN(2), Deadline: now.Add(time.Hour),
				MaxWait: time.Duration(random.IntN(2)*random.IntN(300)) * time.Millisecond,
			})
			if len(res.Refused) > 0 {
				t.Fatalf("round %d: Arrive refused %v", round, res.Refused)
			}
			waiting = append(waiting, id)
		}
		random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, id := range waiting {
			if !q.Remove(id) {
				t.Fatalf("round %d: Remove: attempt %s is not waiting", round, id)
			}
		}
		if res := q.Finish(now, "runs", time.Millisecond); len(res.Started) > 0 {
			t.Fatalf("round %d: attempt %s starts after it was removed", round, res.Started[0].ID)
		}
	}
}
