package zybalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybalancer"
)

// resolver is a fixed list of upstreams.
type resolver []zinniayoke.Upstream

func (r resolver) Upstreams(zinniayoke.Service) []zinniayoke.Upstream { return r }

var ownLocality = zinniayoke.Locality{Domain: "a", Region: "east"}

func upstream(id string, domain zinniayoke.Domain, region zinniayoke.Region) zinniayoke.Upstream {
	return zinniayoke.Upstream{
		Node: zinniayoke.NodeID(id), Locality: zinniayoke.Locality{Domain: domain, Region: region}, Slots: 10, State: zinniayoke.WorkerServing,
	}
}

func all() resolver {
	return resolver{
		upstream("near-1", "a", "east"), upstream("near-2", "a", "east"),
		upstream("region-1", "b", "east"), upstream("far-1", "c", "west"),
	}
}

func newPicker(r resolver, links *zybalancer.LinkBudget) *zybalancer.Picker {
	return zybalancer.New(zybalancer.Config{Locality: ownLocality, Resolver: r, Random: rand.New(rand.NewPCG(1, 1)), Links: links})
}

// countPicks picks n times without any reply and counts the picks by node.
func countPicks(p *zybalancer.Picker, n int) map[zinniayoke.NodeID]int {
	counts := make(map[zinniayoke.NodeID]int)
	now := time.Unix(0, 0)
	for range n {
		if u, ok := p.Pick(now, "s", 0, nil); ok {
			p.Start(now, u.Node)
			counts[u.Node]++
		}
	}
	return counts
}

// TestCallsSpillToFartherTiers checks that calls stay in the own failure domain while it
// has capacity and move to the region, then to other regions, as it fills up.
func TestCallsSpillToFartherTiers(t *testing.T) {
	for _, c := range []struct {
		calls                    int
		region, far              bool
		maxBeyondRegion, minNear int
	}{
		{calls: 2, minNear: 2},
		{calls: 20, region: true, minNear: 10},
		{calls: 60, region: true, far: true, minNear: 20},
	} {
		counts := countPicks(newPicker(all(), nil), c.calls)
		near := counts["near-1"] + counts["near-2"]
		if (counts["region-1"] > 0) != c.region || (counts["far-1"] > 0) != c.far || near < c.minNear {
			t.Errorf("%d calls: picks %v, want region %v, far %v and at least %d near", c.calls, counts, c.region, c.far, c.minNear)
		}
	}
}

// TestLinkWithoutCapacityIsNotUsed checks that no upstream behind a link is picked once
// the link's budget is spent, until the budget has recovered.
func TestLinkWithoutCapacityIsNotUsed(t *testing.T) {
	links := &zybalancer.LinkBudget{}
	now := time.Unix(0, 0)
	links.SetRate(now, "west", 1000)
	p := newPicker(resolver{upstream("far-1", "c", "west")}, links)
	sent := 0
	for range 10 {
		if _, ok := p.Pick(now, "s", 0, nil); ok && links.Allow(now, "west", 250) {
			sent++
		}
	}
	if sent != 4 {
		t.Errorf("%d messages of 250 bytes sent at once with a budget of 1000 bytes per second, want 4", sent)
	}
	if _, ok := p.Pick(now.Add(time.Second), "s", 0, nil); !ok {
		t.Error("the link has no capacity a second later")
	}
}

// TestFailingUpstreamIsEjected checks that three failures in a row eject an upstream, and
// that it is tried again later.
func TestFailingUpstreamIsEjected(t *testing.T) {
	p := newPicker(all(), nil)
	now := time.Unix(0, 0)
	for range 3 {
		p.Start(now, "near-1")
		p.Lost(now, "near-1")
	}
	for range 20 {
		if u, _ := p.Pick(now, "s", 0, nil); u.Node == "near-1" {
			t.Fatal("an upstream was picked after three failures")
		}
	}
	found := false
	for range 50 {
		u, _ := p.Pick(now.Add(time.Second), "s", 0, nil)
		found = found || u.Node == "near-1"
	}
	if !found {
		t.Error("the ejected upstream was not picked again a second later")
	}
}

// TestNotAllUpstreamsAreEjected guards against an outage made by the balancer itself: if
// all upstreams fail at once, ejecting all of them would leave none to pick.
func TestNotAllUpstreamsAreEjected(t *testing.T) {
	p := newPicker(all(), nil)
	now := time.Unix(0, 0)
	for _, u := range all() {
		for range 3 {
			p.Start(now, u.Node)
			p.Lost(now, u.Node)
		}
	}
	if _, ok := p.Pick(now, "s", 0, nil); !ok {
		t.Error("no upstream was picked after all of them failed")
	}
}

// TestDrainingGoneAndExcludedAreNotPicked leaves one upstream that may be picked.
func TestDrainingGoneAndExcludedAreNotPicked(t *testing.T) {
	list := all()
	list[0].State = zinniayoke.WorkerDraining
	list[1].State = zinniayoke.WorkerGone
	p := newPicker(list, nil)
	for i := range 50 {
		u, ok := p.Pick(time.Unix(int64(i), 0), "s", 0, []zinniayoke.NodeID{"far-1"})
		if !ok || u.Node != "region-1" {
			t.Fatalf("picked %q, want region-1", u.Node)
		}
	}
	if !p.HasUpstream(time.Unix(0, 0), "s", []zinniayoke.NodeID{"far-1"}) || p.HasUpstream(time.Unix(0, 0), "s", []zinniayoke.NodeID{"far-1", "region-1"}) {
		t.Error("HasUpstream disagrees with Pick")
	}
}

// TestUpstreamRefusingTheRankIsNotPicked checks that ranks below a reported threshold go
// to other upstreams, which saves an attempt that would be refused.
func TestUpstreamRefusingTheRankIsNotPicked(t *testing.T) {
	p := newPicker(all(), nil)
	now := time.Unix(0, 0)
	p.Start(now, "near-1")
	p.Replied(now, "near-1", time.Millisecond, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeNotRun, Threshold: 100})
	for _, c := range []struct {
		rank zinniayoke.Rank
		ok   bool
	}{{50, false}, {100, true}} {
		found := false
		for range 50 {
			u, _ := p.Pick(now, "s", c.rank, nil)
			found = found || u.Node == "near-1"
		}
		if found != c.ok {
			t.Errorf("rank %d with a threshold of 100: picked %v, want %v", c.rank, found, c.ok)
		}
	}
}

func ExampleLinkBudget() {
	var links zybalancer.LinkBudget
	now := time.Unix(0, 0)
	links.SetRate(now, "west", 1000)
	fmt.Println(links.Allow(now, "west", 800), links.Allow(now, "west", 800), links.Allow(now, "east", 800))
	// Output: true false true
}
