package zyexperiment

import "time"

// deployment holds the slots of each worker in a production deployment.
type deployment struct {
	name            string
	slots           int
	bottleneckSlots int
}

func deployments() []deployment {
	return []deployment{{"hollander", 40, 10}, {"tabighi", 220, 25}}
}

// Scenarios returns all scenarios, for each deployment at chain depths 3 and 9.
func Scenarios(seed uint64) []Scenario {
	depths := []int{3, 9}
	var list []Scenario
	for _, d := range deployments() {
		for _, depth := range depths {
			list = append(list, scenariosFor(d, depth, seed)...)
		}
	}
	return list
}

func scenariosFor(d deployment, depth int, seed uint64) []Scenario {
	capacity := float64(d.bottleneckSlots*domainCount) / bottleneckServiceTime.Seconds()
	base := Scenario{
		Depth: depth, Slots: d.slots, BottleneckSlots: d.bottleneckSlots, Seed: seed,
		Baseline: 10 * time.Second, Stress: 20 * time.Second, Recovery: 20 * time.Second,
	}
	workloads := func(utilization, surgeFactor float64, callerRetries int) []Workload {
		return []Workload{
			{Class: "lookup", Importance: 50, Rate: 0.7 * utilization * capacity, SurgeFactor: surgeFactor, Callers: 10, CallerRetries: callerRetries},
			{Class: "booking", Importance: 200, Rate: 0.3 * utilization * capacity, Callers: 10, CallerRetries: callerRetries},
		}
	}
	scenario := func(name string, w []Workload, change func(*Scenario)) Scenario {
		s := base
		s.Name = d.name + " " + name
		s.Workloads = w
		if change != nil {
			change(&s)
		}
		return s
	}
	const baselineLoad, highLoad = 0.6, 0.8
	greedy := workloads(baselineLoad, 1, 0)
	greedy[0].GreedyFactor = 10
	return []Scenario{
		scenario("load 80%", workloads(highLoad, 1, 0), nil),
		scenario("surge 2x", workloads(baselineLoad, 2.4, 0), nil),
		scenario("surge 5x", workloads(baselineLoad, 6.7, 0), nil),
		scenario("surge 10x", workloads(baselineLoad, 13.9, 0), nil),
		scenario("surge 5x, 3 re-sends", workloads(baselineLoad, 6.7, 3), nil),
		scenario("deep service 10x slower", workloads(baselineLoad, 1, 0), func(s *Scenario) { s.BottleneckSlowdown = 10 }),
		scenario("deep 10x slower, surge 5x, 3 re-sends", workloads(baselineLoad, 6.7, 3), func(s *Scenario) { s.BottleneckSlowdown = 10 }),
		scenario("domain lost", workloads(baselineLoad, 1, 0), func(s *Scenario) { s.DomainOutage = true }),
		scenario("cold restart", workloads(baselineLoad, 1, 1), func(s *Scenario) { s.RestartBottleneck = true; s.Stress = warmupTime }),
		scenario("announces 10x slots, surge 5x", workloads(baselineLoad, 6.7, 0), func(s *Scenario) { s.AnnouncedFactor = 10 }),
		scenario("announces a tenth, surge 5x", workloads(baselineLoad, 6.7, 0), func(s *Scenario) { s.AnnouncedFactor = 0.1 }),
		scenario("one caller 10x", greedy, nil),
	}
}
