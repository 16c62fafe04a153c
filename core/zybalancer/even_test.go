package zybalancer_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zybalancer"
)

// report tells the picker that a worker of ten slots runs and queues that many calls, each of
// which takes 100 ms.
func report(p *zybalancer.Picker, now time.Time, r resolver, id zinniayoke.NodeID, occupied int, speed float64) {
	i := slices.IndexFunc(r, func(u zinniayoke.Upstream) bool { return u.Node == id })
	p.ObserveReport(now, r[i], &zinniayoke.Reply{Report: &zinniayoke.LoadReport{
		Limit: 10, Running: min(occupied, 10), Waiting: max(occupied-10, 0), Speed: speed, HoldTime: 100 * time.Millisecond,
	}})
}

// TestEvenShares checks how calls are shared among the workers of the own failure domain. It
// guards against slow workers that get as many calls as fast ones, against full workers that
// still get calls, and against a sender that was paused and floods the worker which was idle
// before.
func TestEvenShares(t *testing.T) {
	r := resolver{upstream("a", "a", "east"), upstream("b", "a", "east"), upstream("region", "b", "east")}
	for _, c := range []struct {
		name                 string
		occupiedA, occupiedB int
		speedA               float64
		age                  time.Duration
		least, most          int // of 100 calls, those to a
	}{
		{"equal", 5, 5, 1, 0, 49, 51},
		{"a has most room", 1, 9, 1, 0, 88, 95},
		{"a is full", 10, 5, 1, 0, 0, 10},
		{"a is overloaded, b is full", 30, 10, 1, 0, 0, 2},
		{"a is fast", 5, 5, 1.7, 0, 80, 85},
		{"a is fast but full", 10, 5, 1.7, 0, 0, 30},
		{"the sender was paused", 0, 10, 1, 5 * time.Second, 45, 55},
	} {
		p := newPicker(r, nil)
		now := time.Unix(0, 0)
		report(p, now, r, "a", c.occupiedA, c.speedA)
		report(p, now, r, "b", c.occupiedB, 1)
		now = now.Add(c.age)
		got := 0
		for range 100 {
			choice, _ := p.PickEven(now, zybalancer.EvenRequest{Service: "s", Tolerance: 100 * time.Millisecond})
			if choice.Node == "a" {
				got++
			}
			if choice.Node == "region" {
				t.Fatalf("%s: the first choice is in another failure domain", c.name)
			}
		}
		if got < c.least || got > c.most {
			t.Errorf("%s: a got %d of 100 calls, want %d to %d", c.name, got, c.least, c.most)
		}
	}
}

// TestOverflow checks where a call goes that its first worker has refused as busy, and from
// which wait on it would be refused. It guards against calls that leave the failure domain or
// the region for less than that costs, or that wait where others have room.
func TestOverflow(t *testing.T) {
	r := resolver{upstream("near", "a", "east"), upstream("busy", "a", "east"), upstream("region", "b", "east"), upstream("far", "c", "west")}
	const tolerance = 100 * time.Millisecond
	for _, c := range []struct {
		name              string
		near, region, far int
		want              zinniayoke.NodeID
		least, most       time.Duration // RedirectAfter of the first choice, between two such workers
	}{
		{"room in the domain", 5, 0, 0, "near", time.Millisecond, time.Millisecond},
		{"wait of 50 ms in the domain", 14, 0, 0, "near", 52 * time.Millisecond, 53 * time.Millisecond},
		{"wait of 80 ms in the domain", 17, 0, 0, "region", 52 * time.Millisecond, 53 * time.Millisecond},
		{"wait of 100 ms in the region", 19, 19, 0, "near", 110 * time.Millisecond, 111 * time.Millisecond},
		{"wait of 200 ms in the region", 29, 29, 0, "far", 110 * time.Millisecond, 111 * time.Millisecond},
		{"all are full", 25, 25, 25, "near", 370 * time.Millisecond, 371 * time.Millisecond},
	} {
		p := newPicker(r, nil)
		now := time.Unix(0, 0)
		report(p, now, r, "near", c.near, 1)
		report(p, now, r, "busy", 50, 1)
		report(p, now, r, "region", c.region, 1)
		report(p, now, r, "far", c.far, 1)
		second, _ := p.PickEven(now, zybalancer.EvenRequest{Service: "s", Tolerance: tolerance, Redirects: 1})
		if second.Node != c.want {
			t.Errorf("%s: the second choice is %s, want %s", c.name, second.Node, c.want)
		}
		report(p, now, r, "busy", c.near, 1)
		first, _ := p.PickEven(now, zybalancer.EvenRequest{Service: "s", Tolerance: tolerance})
		if first.Locality.Domain != "a" || first.RedirectAfter < c.least || first.RedirectAfter > c.most {
			t.Errorf("%s: the first choice is %s, refused after %s, want %s to %s", c.name, first.Node, first.RedirectAfter, c.least, c.most)
		}
		last, _ := p.PickEven(now, zybalancer.EvenRequest{Service: "s", Tolerance: tolerance, Redirects: 2})
		if last.RedirectAfter != 0 {
			t.Errorf("%s: the last choice may be refused after %s", c.name, last.RedirectAfter)
		}
	}
}

// TestOverflowBeforeRefusal has a region full for longer than calls with a short objective may
// wait. It guards against calls that are refused there, because another region is further away
// than they may wait, while that region has room.
func TestOverflowBeforeRefusal(t *testing.T) {
	r := resolver{upstream("near", "a", "east"), upstream("region", "b", "east"), upstream("far", "c", "west")}
	const maxWait = 30 * time.Millisecond
	for _, c := range []struct {
		occupied  int // of the ten slots of each worker of the region
		want      zinniayoke.NodeID
		least     time.Duration
		most      time.Duration
		redirects int
		refused   bool
	}{
		{15, "near", maxWait, maxWait, 0, false},
		{15, "far", 0, time.Hour, 1, false},
		{15, "far", 0, time.Hour, 0, true},
		{11, "near", 0, time.Hour, 1, false},
		{11, "near", 0, time.Hour, 0, true},
	} {
		p := newPicker(r, nil)
		now := time.Unix(0, 0)
		report(p, now, r, "near", c.occupied, 1)
		report(p, now, r, "region", c.occupied, 1)
		report(p, now, r, "far", 0, 1)
		got, _ := p.PickEven(now, zybalancer.EvenRequest{
			Service: "s", Tolerance: maxWait, MaxWait: maxWait, Redirects: c.redirects, Refused: c.refused,
		})
		if got.Node != c.want || got.RedirectAfter < c.least || got.RedirectAfter > c.most {
			t.Errorf("%+v: the choice is %s, refused after %s", c, got.Node, got.RedirectAfter)
		}
	}
}

// TestEvenAnyReports guards against reports that make the choice fail, block or go to a worker
// that takes no calls: of nodes that have just started, whose clock stands still, or whose
// numbers make no sense.
func TestEvenAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := resolver{upstream("a", "a", "east"), upstream("b", "a", "east"), upstream("c", "b", "east"), upstream("d", "c", "west")}
		r[rapid.IntRange(0, 3).Draw(t, "draining")].State = zinniayoke.WorkerDraining
		p := newPicker(r, nil)
		now := time.Unix(0, 0)
		counts := rapid.SampledFrom([]int{-1, 0, 1, 9, 10, 11, 1000, math.MaxInt32})
		speeds := rapid.SampledFrom([]float64{-1, 0, 1e-9, 1, 1e9, math.NaN(), math.Inf(1)})
		times := rapid.SampledFrom([]time.Duration{-time.Second, 0, 1, time.Millisecond, time.Hour, math.MaxInt64})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second, time.Hour}).Draw(t, "pause"))
			u := r[rapid.IntRange(0, 3).Draw(t, "worker")]
			p.Start(now, u.Node)
			p.ObserveReport(now, u, &zinniayoke.Reply{Report: &zinniayoke.LoadReport{
				Limit: counts.Draw(t, "limit"), Running: counts.Draw(t, "running"), Waiting: counts.Draw(t, "waiting"),
				Speed: speeds.Draw(t, "speed"), HoldTime: times.Draw(t, "hold"),
			}})
			c, ok := p.PickEven(now, zybalancer.EvenRequest{
				Service: "s", Tolerance: 50 * time.Millisecond, Redirects: rapid.IntRange(0, 3).Draw(t, "redirects"),
				MaxWait: times.Draw(t, "max wait"), Refused: rapid.Bool().Draw(t, "refused"),
			})
			if !ok || c.State == zinniayoke.WorkerDraining || c.RedirectAfter < 0 {
				t.Fatalf("the choice is %+v, found %t", c, ok)
			}
		}
	})
}

// TestSilentUpstreamIsAvoided has one of two workers stop replying while its last report shows
// room, as when its host loses power. It guards against calls that go there until they reach
// their deadlines, against a node that is never tried again, and against leaving out workers
// whose calls are only long.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	r := resolver{upstream("a", "a", "east"), upstream("b", "a", "east"), upstream("c", "a", "east")}
	const step = 10 * time.Millisecond
	for _, c := range []struct {
		name        string
		replyAfter  time.Duration // of a; 0 if it doesn't reply
		within      time.Duration
		least, most int // of the calls sent then, those to a
	}{
		{"replies", 100 * time.Millisecond, 3 * time.Second, 80, 120},
		{"long calls", 350 * time.Millisecond, 3 * time.Second, 80, 120},
		{"silent", 0, 3 * time.Second, 15, 40},
	} {
		p := newPicker(r, nil)
		now := time.Unix(0, 0)
		for _, id := range []zinniayoke.NodeID{"a", "b", "c"} {
			report(p, now, r, id, 2, 1)
		}
		due := make(map[time.Time][]zinniayoke.NodeID)
		sent := 0
		for range c.within / step {
			now = now.Add(step)
			for _, id := range due[now] {
				p.Replied(now, id, step, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone})
				report(p, now, r, id, 2, 1)
			}
			choice, _ := p.PickEven(now, zybalancer.EvenRequest{Service: "s", Tolerance: 100 * time.Millisecond})
			p.Start(now, choice.Node)
			after := 100 * time.Millisecond
			if choice.Node == "a" {
				sent++
				after = c.replyAfter
			}
			if after > 0 {
				due[now.Add(after)] = append(due[now.Add(after)], choice.Node)
			}
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%s: %d calls went to a, want %d to %d", c.name, sent, c.least, c.most)
		}
	}
}
