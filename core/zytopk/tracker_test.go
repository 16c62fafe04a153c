package zytopk_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke/core/zytopk"
)

var config = zytopk.Config{Size: 3, Capacity: 10, Period: time.Second, HalfLife: time.Minute}

// TestLargestAmongManySmall guards against a flood of names that occur once and displace those
// that occur often, and against more names than Size.
func TestLargestAmongManySmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := zytopk.New(config)
		now := time.Unix(0, 0)
		step := rapid.IntRange(1, 40).Draw(t, "step")
		largest := map[string]bool{}
		observe := func(name string) {
			now = now.Add(time.Duration(step) * time.Millisecond)
			isLargest, dropped := tracker.Observe(now, name)
			for _, d := range dropped {
				if !largest[d] {
					t.Fatalf("%s is dropped and was not one of the largest", d)
				}
				delete(largest, d)
			}
			if isLargest {
				largest[name] = true
			}
			if len(largest) > config.Size {
				t.Fatalf("%d names are the largest: %v", len(largest), largest)
			}
		}
		for i := range 4000 {
			observe(fmt.Sprint("small", rapid.IntRange(0, 1000).Draw(t, "small")+i*1000))
			for j := range 3 {
				observe(fmt.Sprint("large", j))
			}
		}
		for j := range 3 {
			if isLargest, _ := tracker.Observe(now, fmt.Sprint("large", j)); !isLargest {
				t.Errorf("large%d is not one of the largest: %v", j, largest)
			}
		}
	})
}

// TestNamesOfSimilarSizeDoNotTakeTurns has four names for three places, and then one that
// grows.
func TestNamesOfSimilarSizeDoNotTakeTurns(t *testing.T) {
	tracker := zytopk.New(config)
	now := time.Unix(0, 0)
	changes := 0
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		_, dropped := tracker.Observe(now, fmt.Sprint((i+i/1000)%4))
		changes += len(dropped)
	}
	if changes > 1 {
		t.Errorf("%d changes among names of the same size, want 1 at most", changes)
	}
}

// TestOldOccurrencesCountLess guards against names that stay the largest long after they have
// ended.
func TestOldOccurrencesCountLess(t *testing.T) {
	tracker := zytopk.New(config)
	now := time.Unix(0, 0)
	for i := range 30_000 {
		tracker.Observe(now, fmt.Sprint("old", i%3))
	}
	for range 1000 {
		now = now.Add(time.Second)
		tracker.Observe(now, "new")
	}
	if isLargest, _ := tracker.Observe(now, "new"); !isLargest {
		t.Error("a name is not one of the largest although no other one has occurred for 16 half-lives")
	}
}

// TestNewNamesGrowInAFullTable guards against two new names that take the place of each other
// before they can grow.
func TestNewNamesGrowInAFullTable(t *testing.T) {
	tracker := zytopk.New(config)
	now := time.Unix(0, 0)
	for i := range 100 * config.Capacity {
		tracker.Observe(now, fmt.Sprint("old", i%config.Capacity))
	}
	for range 1000 {
		tracker.Observe(now, "new")
		tracker.Observe(now, "other")
	}
	now = now.Add(config.Period)
	for _, name := range []string{"new", "other"} {
		if isLargest, _ := tracker.Observe(now, name); !isLargest {
			t.Errorf("%s has occurred ten times as often as the others and is not one of the largest", name)
		}
	}
}
