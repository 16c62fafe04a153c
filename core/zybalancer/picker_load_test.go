package zybalancer_test

import (
	"testing"
	"time"

	"zinniayoke"
)

// TestSlowWorkerGetsFewerCalls has one of three equal workers respond twelve times
// slower. The others get most of its calls, but it is tried again after a while.
func TestSlowWorkerGetsFewerCalls(t *testing.T) {
	r := resolver{upstream("a", "a", "east"), upstream("b", "a", "east"), upstream("slow", "a", "east")}
	p := newPicker(r, nil)
	now := time.Unix(0, 0)
	picks := func(n int) int {
		slow := 0
		for range n {
			now = now.Add(5 * time.Millisecond)
			u, ok := p.Pick(now, "s", 0, nil)
			if !ok {
				t.Fatal("Pick found no upstream of the three")
			}
			took := 100 * time.Millisecond
			if u.Node == "slow" {
				slow++
				took *= 12
			}
			p.Start(now, u.Node)
			p.Replied(now, u.Node, took, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone})
		}
		return slow
	}
	picks(100)
	if slow := picks(100); slow > 25 {
		t.Errorf("the slow worker got %d of 100 calls, want at most 25", slow)
	}
	now = now.Add(5 * time.Second)
	if slow := picks(100); slow == 0 {
		t.Error("the slow worker got none of 100 calls 5 s later")
	}
}

// TestReportedLoadMovesCalls has replies report loads up to a queue beyond the
// concurrency limit.
func TestReportedLoadMovesCalls(t *testing.T) {
	r := resolver{upstream("near", "a", "east"), upstream("region", "b", "east"), upstream("far", "c", "west")}
	p := newPicker(r, nil)
	now := time.Unix(0, 0)
	report := func(node zinniayoke.NodeID, load int) {
		p.Start(now, node)
		p.Replied(now, node, time.Millisecond, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Load: load})
	}
	for _, c := range []struct {
		near, region, far int
		want              zinniayoke.NodeID
	}{
		{50, 0, 0, "near"},
		{110, 50, 0, "region"},
		{110, 105, 0, "near"},
		{250, 250, 50, "far"},
		{150, 150, 140, "near"},
	} {
		report("near", c.near)
		report("region", c.region)
		report("far", c.far)
		if u, _ := p.Pick(now, "s", 0, nil); u.Node != c.want {
			t.Errorf("loads near %d, region %d, far %d: picked %s, want %s", c.near, c.region, c.far, u.Node, c.want)
		}
	}
}
