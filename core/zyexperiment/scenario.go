package zyexperiment

import "time"

// Sizes of the users' deployments.
type size struct {
	name      string
	slots     int
	deepSlots int
}

func sizes() []size {
	return []size{{"hollander", 40, 10}, {"tabighi", 220, 25}}
}

// Scenarios returns the scenarios for both deployments and both depths.
func Scenarios(seed uint64) []Scenario {
	depths := []int{3, 9}
	var list []Scenario
	for _, s := range sizes() {
		for _, depth := range depths {
			list = append(list, scenariosOf(s, depth, seed)...)
		}
	}
	return list
}

func scenariosOf(z size, depth int, seed uint64) []Scenario {
	capacity := float64(z.deepSlots*domains) / deepTime.Seconds()
	base := Scenario{
		Depth: depth, Slots: z.slots, BottleneckSlots: z.deepSlots, Seed: seed,
		Baseline: 10 * time.Second, Stress: 20 * time.Second, Recovery: 20 * time.Second,
	}
	loads := func(total, surge float64, resends int) []Workload {
		return []Workload{
			{Class: "lookup", Importance: 50, Rate: 0.7 * total * capacity, SurgeFactor: surge, Callers: 10, CallerRetries: resends},
			{Class: "booking", Importance: 200, Rate: 0.3 * total * capacity, Callers: 10, CallerRetries: resends},
		}
	}
	named := func(name string, l []Workload, change func(*Scenario)) Scenario {
		s := base
		s.Name = z.name + " " + name
		s.Workloads = l
		if change != nil {
			change(&s)
		}
		return s
	}
	const calm, busy = 0.6, 0.8
	greedy := loads(calm, 1, 0)
	greedy[0].GreedyFactor = 10
	return []Scenario{
		named("load 80%", loads(busy, 1, 0), nil),
		named("surge 2x", loads(calm, 2.4, 0), nil),
		named("surge 5x", loads(calm, 6.7, 0), nil),
		named("surge 10x", loads(calm, 13.9, 0), nil),
		named("surge 5x, 3 re-sends", loads(calm, 6.7, 3), nil),
		named("deep service 10x slower", loads(calm, 1, 0), func(s *Scenario) { s.BottleneckSlowdown = 10 }),
		named("deep 10x slower, surge 5x, 3 re-sends", loads(calm, 6.7, 3), func(s *Scenario) { s.BottleneckSlowdown = 10 }),
		named("domain lost", loads(calm, 1, 0), func(s *Scenario) { s.DomainOutage = true }),
		named("cold restart", loads(calm, 1, 1), func(s *Scenario) { s.RestartBottleneck = true; s.Stress = coldTime }),
		named("announces 10x slots, surge 5x", loads(calm, 6.7, 0), func(s *Scenario) { s.AnnouncedFactor = 10 }),
		named("announces a tenth, surge 5x", loads(calm, 6.7, 0), func(s *Scenario) { s.AnnouncedFactor = 0.1 }),
		named("one caller 10x", greedy, nil),
	}
}
