package zyexperiment

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// RunAll simulates the selected scenarios under each policy, as many at a time as
// there are CPUs, and returns the results in the order of scenarios, then policies.
func RunAll(scenarios []Scenario, policies []Policy, selected func(Scenario) bool) []Result {
	var results []*Result
	semaphore := make(chan struct{}, runtime.NumCPU())
	var active sync.WaitGroup
	for _, s := range scenarios {
		if !selected(s) {
			continue
		}
		for _, p := range policies {
			result := &Result{}
			results = append(results, result)
			active.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				*result = Run(s, p)
			})
		}
	}
	active.Wait()
	list := make([]Result, len(results))
	for i, r := range results {
		list[i] = *r
	}
	return list
}

// PrintTable writes the results as a Markdown table.
func PrintTable(w io.Writer, results []Result) {
	_, _ = fmt.Fprintln(w, "| scenario | depth | policy | goodput | by class | others | wasted | recovery s | calm shed | calm p99 ms | attempts | inversions |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "| %s | %d | %s | %.1f%% | %s | %.1f%% | %.1f%% | %s | %.2f%% | %.0f | %d | %d |\n",
			r.Scenario, r.Depth, r.Policy, 100*r.Goodput, formatClasses(r), 100*r.NonGreedySuccess, 100*r.WastedShare, formatRecovery(r),
			100*r.BaselineFailures, r.BaselineP99Ms, r.MaxAttempts, r.PriorityInversions)
	}
}

func formatRecovery(r Result) string {
	if r.RecoverySeconds < 0 {
		return "not in 20 s"
	}
	return fmt.Sprintf("%.1f", r.RecoverySeconds)
}

func formatClasses(r Result) string {
	names := make([]string, 0, len(r.SuccessByClass))
	for name := range r.SuccessByClass {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s %.1f%%", name, 100*r.SuccessByClass[name])
	}
	return strings.Join(parts, ", ")
}
