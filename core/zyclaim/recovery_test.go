package zyclaim_test

import (
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyclaim"
)

const window = time.Minute

var slot = zinniayoke.Slot{Domain: "d", Number: 7}

func epoch(major uint64, node zinniayoke.NodeID) zinniayoke.Epoch {
	return zinniayoke.Epoch{Major: major, Node: node}
}

// obeys returns the memory of a node that has obeyed keepers at given times.
func obeys(keepers ...any) *zyclaim.Grants {
	g := zyclaim.NewGrants(zyclaim.GrantsConfig{Node: "w", Most: 10, Window: window})
	for i := 0; i+1 < len(keepers); i += 2 {
		e, _ := keepers[i].(zinniayoke.Epoch)
		at, _ := keepers[i+1].(time.Duration)
		if _, _, err := g.Promise(start.Add(at), []zinniayoke.Slot{slot}, e); err != nil {
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
		nodes []*zyclaim.Grants
		lost  zinniayoke.NodeID
		step  zyclaim.Step
	}{
		{"the first keeper of all", []*zyclaim.Grants{obeys(a, now-time.Second), obeys(a, now-time.Second)}, "a/1", zyclaim.StepRun},
		{"the keeper for long", []*zyclaim.Grants{obeys(a, time.Duration(0), b, window), obeys(b, window)}, "b/1", zyclaim.StepRun},
		{"a keeper that another went before", []*zyclaim.Grants{obeys(a, time.Duration(0), b, now-window), obeys(b, now-window)}, "b/1", zyclaim.StepUncertain},
		{"a keeper that only a new node calls the first", []*zyclaim.Grants{obeys(b, now-window), obeys(a, time.Duration(0), b, now-window)}, "b/1", zyclaim.StepUncertain},
		{"a node that is not the keeper", []*zyclaim.Grants{obeys(a, time.Duration(0))}, "c/1", zyclaim.StepUncertain},
		{"a keeper that somebody left for another", []*zyclaim.Grants{obeys(a, time.Duration(0)), obeys(b, window)}, "a/1", zyclaim.StepUncertain},
		{"a keeper that nobody knows", []*zyclaim.Grants{obeys()}, "a/1", zyclaim.StepUncertain},
	} {
		k := zyclaim.NewKeeper(zyclaim.KeeperConfig{Node: "n/1", Most: 10, Window: window})
		r := k.StartRecovery([]zinniayoke.Slot{slot}, epoch(8, "x"))
		for _, g := range c.nodes {
			held, witnesses, err := g.Promise(start.Add(now), r.Slots, r.Epoch)
			if err != nil {
				t.Fatal(err)
			}
			r.Told(held, witnesses)
		}
		r.Missing(c.lost, start.Add(now))
		k.FinishRecovery(start.Add(now), r)
		if got := k.Claim(start.Add(now), slot, "key", 1, 3).Step; got != c.step {
			t.Errorf("%s: step %d, want %d", c.name, got, c.step)
		}
	}
}

func TestHeirsAreTwo(t *testing.T) {
	members := []zinniayoke.NodeID{"a/1", "b/1", "c/1", "d/1"}
	for _, c := range []struct {
		members []zinniayoke.NodeID
		want    int
	}{{members, 2}, {members[:3], 2}, {members[:2], 1}, {members[:1], 0}} {
		heirs := zyclaim.HeirsOf("a/1", c.members)
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
