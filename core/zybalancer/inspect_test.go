package zybalancer_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zybalancer"
)

// TestInspectChangesNothing makes the same choices at two pickers with the same seed, one of
// which is inspected in between. It guards against queries that change turns, statistics,
// buffers or random numbers, and against an answer that is not the next choice.
func TestInspectChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := all()
		inspected, other := newPicker(r, nil), newPicker(r, nil)
		now := time.Unix(100, 0)
		used := make(map[zinniayoke.NodeID]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			even := rapid.Bool().Draw(t, "even")
			request := zybalancer.EvenRequest{Service: "s", Rank: 5, Tolerance: 50 * time.Millisecond}
			in := inspected.Inspect(now, request, even)
			inspected.Inspect(now, request, !even)
			occupied, threshold := rapid.IntRange(0, 20).Draw(t, "occupied"), zinniayoke.Rank(rapid.IntRange(0, 10).Draw(t, "threshold"))
			outcome := rapid.SampledFrom([]zinniayoke.Outcome{zinniayoke.OutcomeDone, zinniayoke.OutcomeUnknown}).Draw(t, "outcome")
			var chosen [2]zinniayoke.NodeID
			for n, p := range []*zybalancer.Picker{inspected, other} {
				if even {
					c, _ := p.PickEven(now, request)
					chosen[n] = c.Node
				} else {
					u, _ := p.Pick(now, "s", request.Rank, nil)
					chosen[n] = u.Node
				}
				p.Start(now, chosen[n])
				p.Replied(now, chosen[n], time.Millisecond, &zinniayoke.Reply{Outcome: outcome, Threshold: threshold, Load: 10 * occupied})
				report(p, now, r, chosen[n], occupied, 1)
			}
			if chosen[0] != chosen[1] {
				t.Fatalf("the picker chooses %s after queries, %s without", chosen[0], chosen[1])
			}
			if even && len(used) == len(r) && chosen[0] != in.Choice {
				t.Fatalf("the query names %s, the choice is %s", in.Choice, chosen[0])
			}
			used[chosen[0]] = true
		}
	})
}

// TestInspectChances compares the chances with the shares of 20,000 choices of Pick. It guards
// against chances that leave out the distances or equal scores.
func TestInspectChances(t *testing.T) {
	r := resolver{upstream("a", "a", "east"), upstream("b", "a", "east"), upstream("c", "a", "east"), upstream("region", "b", "east"), upstream("far", "c", "west")}
	p := newPicker(r, nil)
	now := time.Unix(100, 0)
	for id, load := range map[zinniayoke.NodeID]int{"a": 50, "b": 90, "c": 90, "region": 65} {
		p.Start(now, id)
		p.Replied(now, id, time.Millisecond, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Load: load})
	}
	in := p.Inspect(now, zybalancer.EvenRequest{Service: "s"}, false)
	counts := make(map[zinniayoke.NodeID]float64)
	const calls = 20_000
	for range calls {
		u, _ := p.Pick(now, "s", 0, nil)
		counts[u.Node]++
	}
	for _, u := range in.Upstreams {
		if got := counts[u.Node] / calls; math.Abs(got-u.Chance) > 0.02 {
			t.Errorf("%s got %.3f of the calls, the query says %.3f", u.Node, got, u.Chance)
		}
	}
}

// TestInspectExclusions guards against upstreams without calls for which no cause, or the
// wrong one, is named.
func TestInspectExclusions(t *testing.T) {
	r := resolver{
		upstream("ok", "a", "east"), upstream("draining", "a", "east"), upstream("gone", "a", "east"), upstream("ejected", "a", "east"),
		upstream("threshold", "b", "east"), upstream("link", "c", "west"), upstream("ok2", "b", "east"),
	}
	r[1].State, r[2].State = zinniayoke.WorkerDraining, zinniayoke.WorkerGone
	links := &zybalancer.LinkBudget{}
	now := time.Unix(100, 0)
	links.SetRate(now, "west", 1)
	links.Allow(now, "west", 1)
	p := newPicker(r, links)
	for range 3 {
		p.Start(now, "ejected")
		p.Lost(now, "ejected")
	}
	p.Start(now, "threshold")
	p.Replied(now, "threshold", time.Millisecond, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Threshold: 9})
	want := map[zinniayoke.NodeID]zybalancer.Exclusion{
		"ok": zybalancer.ExcludedNo, "ok2": zybalancer.ExcludedNo, "draining": zybalancer.ExcludedDraining, "gone": zybalancer.ExcludedGone,
		"ejected": zybalancer.ExcludedEjected, "threshold": zybalancer.ExcludedThreshold, "link": zybalancer.ExcludedLinkCapacity,
	}
	for _, even := range []bool{false, true} {
		in := p.Inspect(now, zybalancer.EvenRequest{Service: "s", Rank: 5}, even)
		if in.Choice != "ok" {
			t.Errorf("even %t: the choice is %s, want ok", even, in.Choice)
		}
		for _, u := range in.Upstreams {
			if u.Excluded != want[u.Node] || (u.EjectedUntil != nil) != (u.Node == "ejected") {
				t.Errorf("even %t: %s is excluded as %s, ejected until %v, want %s", even, u.Node, u.Excluded, u.EjectedUntil, want[u.Node])
			}
		}
	}
}
