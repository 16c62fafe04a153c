package zyadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyrank"
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

// TestCallsOfImportantRequestsGoFirst offers a worker of 24 slots twice the calls that it
// can run, half of them made for bookings and half for lookups, all with a limit of
// 700 ms of their own. A booking makes eight such calls, so that it fails if one is
// refused: none of its calls may be, as long as they alone fit.
func TestCallsOfImportantRequestsGoFirst(t *testing.T) {
	const (
		serviceTime = 40 * time.Millisecond
		maxWait     = 280 * time.Millisecond
		step        = time.Millisecond
	)
	q := zyadmission.NewQueue(zyadmission.Config{Slots: 24, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
	booking := zyrank.WithImportance(zyrank.MaxRootImportance|zyrank.ChildImportance, 0)
	lookup := zyrank.WithImportance((zyrank.MaxRootImportance-2)|zyrank.ChildImportance, 0)
	now := time.Unix(0, 0)
	ends := make(map[time.Time][]zinniayoke.AttemptID)
	offered, refused := make(map[zinniayoke.Rank]int), make(map[zinniayoke.Rank]int)
	apply := func(res zyadmission.Result) {
		for _, item := range res.Started {
			ends[now.Add(serviceTime)] = append(ends[now.Add(serviceTime)], item.ID)
		}
		for _, r := range res.Refused {
			refused[r.Item.Rank]++
		}
	}
	for i := range 5000 {
		now = now.Add(step)
		for _, id := range ends[now] {
			apply(q.Finish(now, id, serviceTime))
		}
		delete(ends, now)
		rank := lookup
		if i%2 == 0 {
			rank = booking
		}
		offered[rank]++
		apply(q.Arrive(now, zyadmission.Item{
			ID: zinniayoke.AttemptID(fmt.Sprint(i)), Depth: 3, Rank: rank, MaxWait: maxWait, Deadline: now.Add(700 * time.Millisecond),
		}))
		apply(q.Tick(now))
	}
	if refused[booking] > 0 {
		t.Errorf("%d of %d calls for bookings were refused, and %d of %d for lookups", refused[booking], offered[booking], refused[lookup], offered[lookup])
	}
	if refused[lookup] == offered[lookup] {
		t.Errorf("all calls for lookups were refused")
	}
}
