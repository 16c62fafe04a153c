package zyadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyfairshare"
	"zinniayoke/core/zyrank"
)

// TestQueueWithCustomers compares the queue with the model after random operations on calls
// of customers. It guards against calls that are lost, counted twice or shed before less
// important ones when they change places.
func TestQueueWithCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byDeadline := rapid.Bool().Draw(t, "by wait deadline")
		m := &model{
			queue: zyadmission.NewQueue(zyadmission.Config{
				Slots: rapid.IntRange(1, 8).Draw(t, "slots"), FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: byDeadline,
			}), now: time.Unix(0, 0),
			waiting: make(map[zinniayoke.AttemptID]zyadmission.Item), running: make(map[zinniayoke.AttemptID]zyadmission.Item),
		}
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			default:
				m.nextID++
				name := rapid.IntRange(0, 4).Draw(t, "customer")
				importance := 100
				if !byDeadline {
					importance = rapid.IntRange(0, 3).Draw(t, "importance")
				}
				item := zyadmission.Item{
					ID: zinniayoke.AttemptID(fmt.Sprintf("%06d", m.nextID)), Route: "r", Depth: rapid.IntRange(0, 2).Draw(t, "depth"),
					Rank:     zyrank.New(importance, 0, 15, zinniayoke.RequestID(fmt.Sprint(m.nextID))),
					Deadline: m.now.Add(time.Second), Customer: zyfairshare.Customer{Name: zinniayoke.Customer(fmt.Sprint(name)), Weight: float64(1 + name)},
				}
				m.waiting[item.ID] = item
				m.apply(m.queue.Arrive(m.now, item))
			case 0, 1:
				if id, ok := lowest(m.running); ok {
					delete(m.running, id)
					m.apply(m.queue.Finish(m.now, id, 10*time.Millisecond))
				}
			case 2:
				if id, ok := lowest(m.waiting); ok {
					if !m.queue.Remove(id) {
						t.Fatalf("Remove: attempt %s was not waiting", id)
					}
					delete(m.waiting, id)
				}
			case 3:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
				m.apply(m.queue.Tick(m.now))
			}
			if problem := m.check(); problem != "" {
				t.Fatal(problem)
			}
		}
	})
}

// lowest returns the lowest id.
func lowest(items map[zinniayoke.AttemptID]zyadmission.Item) (id zinniayoke.AttemptID, ok bool) {
	for other := range items {
		if !ok || other < id {
			id, ok = other, true
		}
	}
	return id, ok
}

// TestOneCustomerFillsTheQueue offers a worker of 24 slots calls of ten customers that use
// 0.9 of it, while one of them sends 8 times as many. The calls are made by workers, so that
// no entry node refuses them. The others must be served as often as without it, and a call
// with a short wait must not wait longer.
func TestOneCustomerFillsTheQueue(t *testing.T) {
	const (
		serviceTime = 40 * time.Millisecond
		perSecond   = 50
		heavy       = 0
	)
	replay := func(multiple int, shared bool) (served float64, shortWait time.Duration) {
		q := zyadmission.NewQueue(zyadmission.Config{Slots: 24, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(0, 0)
		type call struct {
			customer int
			arrived  time.Time
			short    bool
		}
		calls := make(map[zinniayoke.AttemptID]call)
		ends := make(map[time.Time][]zinniayoke.AttemptID)
		offered, started, shorts := 0, 0, 0
		apply := func(res zyadmission.Result) {
			for _, item := range res.Started {
				c := calls[item.ID]
				ends[now.Add(serviceTime)] = append(ends[now.Add(serviceTime)], item.ID)
				if c.customer != heavy {
					started++
				}
				if c.short {
					shorts++
					shortWait += now.Sub(c.arrived)
				}
			}
		}
		for step := range 10_000 {
			now = now.Add(time.Millisecond)
			for _, id := range ends[now] {
				apply(q.Finish(now, id, serviceTime))
			}
			delete(ends, now)
			for customer := range 10 {
				rate := perSecond
				if customer == heavy {
					rate *= multiple
				}
				if random.IntN(1000) >= rate {
					continue
				}
				item := zyadmission.Item{
					ID: zinniayoke.AttemptID(fmt.Sprint(step, "-", customer)), Route: "r", Depth: 1, MaxWait: 280 * time.Millisecond,
					Rank: zyrank.WithImportance(zyrank.MaxRootImportance|zyrank.ChildImportance, zinniayoke.Rank(random.Uint32())), Deadline: now.Add(time.Second),
				}
				c := call{customer: customer, arrived: now, short: random.IntN(10) == 0}
				if c.short {
					item.Depth, item.MaxWait = 0, 31*time.Millisecond
				}
				if shared {
					item.Customer = zyfairshare.Customer{Name: zinniayoke.Customer(fmt.Sprint(customer)), Weight: perSecond}
				}
				if customer != heavy {
					offered++
				}
				calls[item.ID] = c
				apply(q.Arrive(now, item))
			}
			if step%10 == 0 {
				apply(q.Tick(now))
			}
		}
		return float64(started) / float64(offered), shortWait / time.Duration(max(shorts, 1))
	}
	usually, _ := replay(1, true)
	served, wait := replay(8, true)
	without, waitWithout := replay(8, false)
	t.Logf("others served %.3f beside the heavy customer, usually %.3f, without sharing %.3f; short calls wait %v, without sharing %v",
		served, usually, without, wait, waitWithout)
	if served < 0.97*usually {
		t.Errorf("the others were served %.3f, want at least 0.97 of %.3f", served, usually)
	}
	if wait > waitWithout+2*time.Millisecond {
		t.Errorf("short calls wait %v, want no longer than the %v without sharing", wait, waitWithout)
	}
	if without >= 0.97*usually {
		t.Errorf("the others were served %.3f without sharing, so that this load shows nothing", without)
	}
}

// BenchmarkArriveAndFinish measures calls of 82 customers that start at once.
func BenchmarkArriveAndFinish(b *testing.B) {
	q := zyadmission.NewQueue(zyadmission.Config{Slots: 100, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
	now := time.Unix(0, 0)
	var items []zyadmission.Item
	for i := range 82 {
		name := fmt.Sprint(i)
		items = append(items, zyadmission.Item{
			ID: zinniayoke.AttemptID(name), Deadline: now.Add(time.Hour), Customer: zyfairshare.Customer{Name: zinniayoke.Customer(name), Weight: 10},
		})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Arrive(now, items[i%len(items)])
		q.Finish(now, items[i%len(items)].ID, time.Millisecond)
	}
}
