package zyexperiment_test

import (
	"testing"
	"time"

	"zinniayoke/core/zyexperiment"
)

// TestEvenLoad has 71 nodes send to 39 workers of different speeds, which neighbours slow down,
// and learn of a worker only in replies. It guards against workers that are overloaded in turn
// while others in the same failure domain are idle, and against failure domains that keep
// what others have room for, or send away what they have room for.
func TestEvenLoad(t *testing.T) {
	run := func(p zyexperiment.EvenPolicy, oscillation float64) zyexperiment.EvenLoadResult {
		return zyexperiment.RunEvenLoad(zyexperiment.EvenLoadConfig{
			Policy: p, Nodes: 71, Workers: 39, Slots: 36, Rate: 490, Utilization: 0.8, Oscillation: oscillation, Noise: true,
			Duration: 45 * time.Second, Seed: 7,
		})
	}
	const goal = 0.01
	steady := run(zyexperiment.EvenRedirected, 0)
	if steady.AvoidableWaits >= goal {
		t.Errorf("%.2f%% of the calls wait while a slot in their failure domain is free, want under 1%%", 100*steady.AvoidableWaits)
	}
	if steady.OtherDomain+steady.OtherRegion >= goal {
		t.Errorf("%.2f%% of the calls leave a failure domain that has room", 100*(steady.OtherDomain+steady.OtherRegion))
	}
	// Of the calls, 6.8% exceed the capacity of their failure domain at the peaks of its demand.
	const excess = 0.068
	before, after := run(zyexperiment.EvenPowerOfTwo, 0.55), run(zyexperiment.EvenRedirected, 0.55)
	if after.LateCalls*3 > before.LateCalls || after.BusiestToMean >= before.BusiestToMean {
		t.Errorf("oscillating demand: %.1f%% late, busiest %.2f times the mean; by the power of two choices %.1f%%, %.2f",
			100*after.LateCalls, after.BusiestToMean, 100*before.LateCalls, before.BusiestToMean)
	}
	if left := after.OtherDomain + after.OtherRegion; left > 2*excess {
		t.Errorf("oscillating demand: %.1f%% of the calls leave their failure domain, %.1f%% exceed its capacity", 100*left, 100*excess)
	}
}
