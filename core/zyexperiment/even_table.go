package zyexperiment

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// EvenLoadScenario is a line of the comparison of policies for even load.
type EvenLoadScenario struct {
	Name   string
	Config EvenLoadConfig
}

// EvenLoadScenarios returns the scenarios of the comparison: numbers of nodes, ages of reports
// and utilizations, with steady demand and with demand that oscillates.
func EvenLoadScenarios(seed uint64) []EvenLoadScenario {
	const (
		workers, slots         = 39, 36
		rate                   = 490
		duration               = 70 * time.Second
		amplitude              = 0.55
		fewNodes, nodes, many  = 30, 71, 300
		otherNodes             = 79
		half, high, nearlyFull = 0.5, 0.8, 0.95
		newReports, oldReports = 5 * time.Millisecond, 500 * time.Millisecond
		middleReports          = 50 * time.Millisecond
	)
	base := EvenLoadConfig{Nodes: nodes, Workers: workers, Slots: slots, Rate: rate, Utilization: high, Noise: true, Duration: duration, Seed: seed}
	var list []EvenLoadScenario
	add := func(name string, change func(*EvenLoadConfig)) {
		c := base
		change(&c)
		list = append(list, EvenLoadScenario{Name: name, Config: c})
	}
	for _, u := range []float64{half, high, nearlyFull} {
		add(fmt.Sprintf("steady %.2f", u), func(c *EvenLoadConfig) { c.Utilization = u })
		add(fmt.Sprintf("oscillating %.2f", u), func(c *EvenLoadConfig) { c.Utilization, c.Oscillation = u, amplitude })
	}
	for _, n := range []int{fewNodes, otherNodes, many} {
		add(fmt.Sprintf("oscillating 0.80, %d nodes", n), func(c *EvenLoadConfig) { c.Nodes, c.Oscillation = n, amplitude })
	}
	for _, age := range []time.Duration{newReports, middleReports, oldReports} {
		add(fmt.Sprintf("oscillating 0.80, reports %s old", age), func(c *EvenLoadConfig) { c.ReportAge, c.Oscillation = age, amplitude })
	}
	add("steady 0.80, no slowdown reported", func(c *EvenLoadConfig) { c.NoFactor = true })
	add("steady 0.80, limit by slowdown", func(c *EvenLoadConfig) { c.LimitByFactor = true })
	add("oscillating 0.95, refused beyond 100ms", func(c *EvenLoadConfig) {
		c.Utilization, c.Oscillation, c.MaxWait = nearlyFull, amplitude, evenTolerance
	})
	return list
}

// RunEvenLoadTable simulates each scenario under each policy, as many at a time as there are
// CPUs for the process, and writes the results as a Markdown table.
func RunEvenLoadTable(w io.Writer, scenarios []EvenLoadScenario, policies []EvenPolicy) {
	results := make([]EvenLoadResult, len(scenarios)*len(policies))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var active sync.WaitGroup
	for i := range results {
		active.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			cfg := scenarios[i/len(policies)].Config
			cfg.Policy = policies[i%len(policies)]
			results[i] = RunEvenLoad(cfg)
		})
	}
	active.Wait()
	const percent = 100
	_, _ = fmt.Fprintln(w, "| scenario | policy | busiest/mean | wait p50 ms | p99 | p99.9 | mean | avoidable | over tolerance | other domain | other region | redirected | refused | time mean | p99 |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i, r := range results {
		_, _ = fmt.Fprintf(w, "| %s | %s | %.2f | %d | %d | %d | %.1f | %.2f%% | %.2f%% | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.2f | %.2f |\n",
			scenarios[i/len(policies)].Name, policies[i%len(policies)], r.BusiestToMean,
			r.WaitP50.Milliseconds(), r.WaitP99.Milliseconds(), r.WaitP999.Milliseconds(), float64(r.MeanWait)/float64(time.Millisecond),
			percent*r.AvoidableWaits, percent*r.LateCalls, percent*r.OtherDomain, percent*r.OtherRegion, percent*r.Redirected, percent*r.Refused, r.MeanTime, r.P99Time)
	}
}
