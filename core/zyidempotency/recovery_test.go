package zyidempotency_test

import (
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

const window = time.Minute

var slot = zinniayoke.KeySlot{Domain: "d", Number: 7}

func epoch(major uint64, node zinniayoke.NodeID) zinniayoke.Epoch {
	return zinniayoke.Epoch{Major: major, Node: node}
}

// obeys returns the memory of a node that has obeyed keepers at given times.
func obeys(keepers ...any) *zyidempotency.GrantTable {
	g := zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: "w", MaxKeys: 10, Window: window})
	for i := 0; i+1 < len(keepers); i += 2 {
		e, _ := keepers[i].(zinniayoke.Epoch)
		at, _ := keepers[i+1].(time.Duration)
		if _, _, err := g.Promise(start.Add(at), []zinniayoke.KeySlot{slot}, e); err != nil {
			panic(err)
		}
	}
	return g
}

var start = time.Unix(0, 0)

// TestLostKeeperIsExcused shows when the loss of a keeper's host leaves its keys
// certain: when it was the only keeper for as long as anybody remembers.
func TestLostKeeperIsExcused(t *testing.T) {
	now := 10 * window
	a, b := epoch(1, "a/1"), epoch(2, "b/1")
	for _, c := range []struct {
		name  string
		nodes []*zyidempotency.GrantTable
		lost  zinniayoke.NodeID
		step  zyidempotency.Action
	}{
		{"the first keeper of all", []*zyidempotency.GrantTable{obeys(a, now-time.Second), obeys(a, now-time.Second)}, "a/1", zyidempotency.ActionRun},
		{"the keeper for long", []*zyidempotency.GrantTable{obeys(a, time.Duration(0), b, window), obeys(b, window)}, "b/1", zyidempotency.ActionRun},
		{"a keeper that another went before", []*zyidempotency.GrantTable{obeys(a, time.Duration(0), b, now-window), obeys(b, now-window)}, "b/1", zyidempotency.ActionRejectUncertain},
		{"a keeper that only a new node calls the first", []*zyidempotency.GrantTable{obeys(b, now-window), obeys(a, time.Duration(0), b, now-window)}, "b/1", zyidempotency.ActionRejectUncertain},
		{"a node that is not the keeper", []*zyidempotency.GrantTable{obeys(a, time.Duration(0))}, "c/1", zyidempotency.ActionRejectUncertain},
		{"a keeper that somebody left for another", []*zyidempotency.GrantTable{obeys(a, time.Duration(0)), obeys(b, window)}, "a/1", zyidempotency.ActionRejectUncertain},
		{"a keeper that nobody knows", []*zyidempotency.GrantTable{obeys()}, "a/1", zyidempotency.ActionRejectUncertain},
	} {
		k := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: "n/1", MaxKeys: 10, Window: window})
		r := k.StartRecovery([]zinniayoke.KeySlot{slot}, epoch(8, "x"))
		for _, g := range c.nodes {
			held, witnesses, err := g.Promise(start.Add(now), r.Slots, r.Epoch)
			if err != nil {
				t.Fatal(err)
			}
			r.AddRecords(held, witnesses)
		}
		r.MarkUnreachable(c.lost, start.Add(now))
		k.FinishRecovery(start.Add(now), r)
		if got := k.Claim(start.Add(now), slot, "key", 1, 3).Action; got != c.step {
			t.Errorf("%s: step %d, want %d", c.name, got, c.step)
		}
	}
}

// TestTwoLostNodesAreNotExcused shows that an excuse does not count where another
// node is lost, which may have obeyed a keeper that nobody else knows.
func TestTwoLostNodesAreNotExcused(t *testing.T) {
	k := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: "n/1", MaxKeys: 10, Window: window})
	r := k.StartRecovery([]zinniayoke.KeySlot{slot}, epoch(8, "x"))
	held, witnesses, err := obeys(epoch(1, "m/1"), time.Duration(0)).Promise(start, r.Slots, r.Epoch)
	if err != nil {
		t.Fatal(err)
	}
	r.AddRecords(held, witnesses)
	r.AddReleased([]zyidempotency.ReleasedSlot{{Slot: slot, Epoch: epoch(1, "m/1")}})
	r.MarkUnreachable("m/1", start)
	r.MarkUnreachable("z/1", start)
	k.FinishRecovery(start, r)
	if got := k.Claim(start, slot, "key", 1, 3).Action; got != zyidempotency.ActionRejectUncertain {
		t.Errorf("step %d with two lost nodes, want %d", got, zyidempotency.ActionRejectUncertain)
	}
}

// TestSecondTryKeepsWhatTheFirstWasTold lets one node obey the first try of a
// recovery that another one refuses.
func TestSecondTryKeepsWhatTheFirstWasTold(t *testing.T) {
	lost := epoch(1, "m/1")
	obeying, refusing := obeys(lost, time.Duration(0)), obeys(lost, time.Duration(0))
	k := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: "n/1", MaxKeys: 10, Window: window})
	slots := []zinniayoke.KeySlot{slot}
	first := k.StartRecovery(slots, zinniayoke.Epoch{})
	held, witnesses, err := obeying.Promise(start.Add(time.Second), slots, first.Epoch)
	if err != nil {
		t.Fatal(err)
	}
	first.AddRecords(held, witnesses)
	second := k.StartRecovery(slots, lost)
	second.MergeEarlier(first)
	for _, g := range []*zyidempotency.GrantTable{obeying, refusing} {
		held, witnesses, err := g.Promise(start.Add(2*time.Second), slots, second.Epoch)
		if err != nil {
			t.Fatal(err)
		}
		second.AddRecords(held, witnesses)
	}
	second.MarkUnreachable("m/1", start)
	k.FinishRecovery(start.Add(2*time.Second), second)
	if got := k.Claim(start.Add(2*time.Second), slot, "key", 1, 3).Action; got != zyidempotency.ActionRun {
		t.Errorf("step %d after the loss of the first keeper, want %d", got, zyidempotency.ActionRun)
	}
}

func TestHeirsAreTwo(t *testing.T) {
	members := []zinniayoke.NodeID{"a/1", "b/1", "c/1", "d/1"}
	for _, c := range []struct {
		members []zinniayoke.NodeID
		want    int
	}{{members, 2}, {members[:3], 2}, {members[:2], 1}, {members[:1], 0}} {
		heirs := zyidempotency.SuccessorsOf("a/1", c.members)
		if len(heirs) != c.want || len(heirs) == 2 && heirs[0] == heirs[1] {
			t.Errorf("of %v: %v", c.members, heirs)
		}
		for _, h := range heirs {
			if h == "a/1" {
				t.Errorf("a node is its own heir: %v", heirs)
			}
		}
	}
}
