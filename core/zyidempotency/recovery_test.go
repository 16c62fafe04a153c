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

// tableWithPromises returns the table of a node that promised the slot to the given
// epochs. The arguments are pairs of a zinniayoke.Epoch and the time.Duration from
// start to its promise.
func tableWithPromises(epochsAndTimes ...any) *zyidempotency.GrantTable {
	g := zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: "w", MaxKeys: 10, Window: window})
	for i := 0; i+1 < len(epochsAndTimes); i += 2 {
		e, _ := epochsAndTimes[i].(zinniayoke.Epoch)
		at, _ := epochsAndTimes[i+1].(time.Duration)
		if _, _, err := g.Promise(start.Add(at), []zinniayoke.KeySlot{slot}, e); err != nil {
			panic(err)
		}
	}
	return g
}

var start = time.Unix(0, 0)

// TestRecoveryWithLostOwner checks when the keys of a slot can run again after its
// owner was lost: only if that node had been the only owner for as long as any node
// keeps records. Otherwise it may have records of keys granted by an earlier owner.
func TestRecoveryWithLostOwner(t *testing.T) {
	now := 10 * window
	a, b := epoch(1, "a/1"), epoch(2, "b/1")
	for _, c := range []struct {
		name  string
		nodes []*zyidempotency.GrantTable
		lost  zinniayoke.NodeID
		want  zyidempotency.Action
	}{
		{"the first owner", []*zyidempotency.GrantTable{tableWithPromises(a, now-time.Second), tableWithPromises(a, now-time.Second)}, "a/1", zyidempotency.ActionRun},
		{"the owner for more than three windows", []*zyidempotency.GrantTable{tableWithPromises(a, time.Duration(0), b, window), tableWithPromises(b, window)}, "b/1", zyidempotency.ActionRun},
		{"an owner that recently followed another one", []*zyidempotency.GrantTable{tableWithPromises(a, time.Duration(0), b, now-window), tableWithPromises(b, now-window)}, "b/1", zyidempotency.ActionRejectUncertain},
		{"an owner that is the first only for a new node", []*zyidempotency.GrantTable{tableWithPromises(b, now-window), tableWithPromises(a, time.Duration(0), b, now-window)}, "b/1", zyidempotency.ActionRejectUncertain},
		{"a node that is not the owner", []*zyidempotency.GrantTable{tableWithPromises(a, time.Duration(0))}, "c/1", zyidempotency.ActionRejectUncertain},
		{"an owner that one node knows to be replaced", []*zyidempotency.GrantTable{tableWithPromises(a, time.Duration(0)), tableWithPromises(b, window)}, "a/1", zyidempotency.ActionRejectUncertain},
		{"an owner that no node knows", []*zyidempotency.GrantTable{tableWithPromises()}, "a/1", zyidempotency.ActionRejectUncertain},
	} {
		o := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: "n/1", MaxKeys: 10, Window: window})
		r := o.StartRecovery([]zinniayoke.KeySlot{slot}, epoch(8, "x"))
		for _, g := range c.nodes {
			records, promises, err := g.Promise(start.Add(now), r.Slots, r.Epoch)
			if err != nil {
				t.Fatal(err)
			}
			r.AddRecords(records, promises)
		}
		r.MarkUnreachable(c.lost, start.Add(now))
		o.FinishRecovery(start.Add(now), r)
		if got := o.Claim(start.Add(now), slot, "key", 1, 3).Action; got != c.want {
			t.Errorf("lost node is %s: action %d, want %d", c.name, got, c.want)
		}
	}
}

// TestRecoveryWithTwoLostNodes checks that unknown keys are rejected when two nodes
// are lost, even if one of them was the first owner and the slot was released: the
// other one may have made a promise to an owner that no remaining node knows.
func TestRecoveryWithTwoLostNodes(t *testing.T) {
	o := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: "n/1", MaxKeys: 10, Window: window})
	r := o.StartRecovery([]zinniayoke.KeySlot{slot}, epoch(8, "x"))
	records, promises, err := tableWithPromises(epoch(1, "m/1"), time.Duration(0)).Promise(start, r.Slots, r.Epoch)
	if err != nil {
		t.Fatal(err)
	}
	r.AddRecords(records, promises)
	r.AddReleased([]zyidempotency.ReleasedSlot{{Slot: slot, Epoch: epoch(1, "m/1")}})
	r.MarkUnreachable("m/1", start)
	r.MarkUnreachable("z/1", start)
	o.FinishRecovery(start, r)
	if got := o.Claim(start, slot, "key", 1, 3).Action; got != zyidempotency.ActionRejectUncertain {
		t.Errorf("claim after the loss of two nodes: action %d, want %d", got, zyidempotency.ActionRejectUncertain)
	}
}

// TestSecondTryOfRecovery repeats a recovery after one node made its promise and
// another one refused. The first node then no longer reports its promise to the
// lost owner, so the second try depends on what the first one collected.
func TestSecondTryOfRecovery(t *testing.T) {
	lostOwner := epoch(1, "m/1")
	promising, refusing := tableWithPromises(lostOwner, time.Duration(0)), tableWithPromises(lostOwner, time.Duration(0))
	o := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: "n/1", MaxKeys: 10, Window: window})
	slots := []zinniayoke.KeySlot{slot}
	first := o.StartRecovery(slots, zinniayoke.Epoch{})
	records, promises, err := promising.Promise(start.Add(time.Second), slots, first.Epoch)
	if err != nil {
		t.Fatal(err)
	}
	first.AddRecords(records, promises)
	second := o.StartRecovery(slots, lostOwner)
	second.MergeEarlier(first)
	for _, g := range []*zyidempotency.GrantTable{promising, refusing} {
		records, promises, err := g.Promise(start.Add(2*time.Second), slots, second.Epoch)
		if err != nil {
			t.Fatal(err)
		}
		second.AddRecords(records, promises)
	}
	second.MarkUnreachable("m/1", start)
	o.FinishRecovery(start.Add(2*time.Second), second)
	if got := o.Claim(start.Add(2*time.Second), slot, "key", 1, 3).Action; got != zyidempotency.ActionRun {
		t.Errorf("claim after the loss of the first owner: action %d, want %d", got, zyidempotency.ActionRun)
	}
}

// TestSuccessorsOf guards against a leaving node that hands its records to itself, or
// to one node twice: a key could then be known only to its owner.
func TestSuccessorsOf(t *testing.T) {
	members := []zinniayoke.NodeID{"a/1", "b/1", "c/1", "d/1"}
	for _, c := range []struct {
		members []zinniayoke.NodeID
		want    int
	}{{members, 2}, {members[:3], 2}, {members[:2], 1}, {members[:1], 0}} {
		successors := zyidempotency.SuccessorsOf("a/1", c.members)
		if len(successors) != c.want || len(successors) == 2 && successors[0] == successors[1] {
			t.Errorf("successors of a/1 among %v: %v, want %d", c.members, successors, c.want)
		}
		for _, s := range successors {
			if s == "a/1" {
				t.Errorf("a/1 is its own successor: %v", successors)
			}
		}
	}
}
