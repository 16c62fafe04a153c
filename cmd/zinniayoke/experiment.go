package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke/core/zybound"
	"zinniayoke/core/zyexperiment"
	"zinniayoke/io/zyplot"
)

func experimentCommand() *cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random number generator"}
	return &cli.Command{
		Name:  "experiment",
		Usage: "simulate the control algorithms in virtual time",
		Commands: []*cli.Command{
			{
				Name: "bound", Usage: "upper bound on the worth that any policy can serve of a load", ArgsUsage: "FILE", Action: runBound,
				Description: "FILE lists services with their slots, and kinds of calls with their rate, worth and uses (slot times).\n" +
					"Example: zinniayoke experiment bound docs/loads/hkw-scale.ini",
			},
			{
				Name: "overload", Usage: "compare the full overload policy with simpler ones", Action: runOverload,
				Flags: []cli.Flag{
					seed,
					&cli.StringFlag{Name: "only", Usage: "run only scenarios whose name contains this"},
					&cli.StringSliceFlag{Name: "policy", Value: []string{"passThrough", "fixedLimit", "full"}, Usage: "policies to compare"},
					&cli.IntFlag{Name: "depth", Usage: "run only chains of this depth"},
					&cli.BoolFlag{Name: "json", Usage: "print the results as JSON"},
					&cli.StringFlag{Name: "plots", Usage: "directory for one plot per scenario"},
				},
			},
			{
				Name: "even", Usage: "compare ways to choose among the workers of a service", Action: runEvenLoad,
				Flags: []cli.Flag{
					seed,
					&cli.StringFlag{Name: "only", Usage: "run only scenarios whose name contains this"},
					&cli.StringSliceFlag{Name: "policy", Value: zyexperiment.EvenPolicyStrings(), Usage: "policies to compare"},
				},
			},
			{
				Name: "members", Usage: "failure detection as the number of nodes grows", Action: runMembers,
				Flags: []cli.Flag{
					seed,
					&cli.IntSliceFlag{Name: "members", Value: []int{50, 100, 200, 400, 800}, Usage: "numbers of nodes"},
					&cli.FloatFlag{Name: "loss", Usage: "fraction of packets that are lost, from 0 to 1"},
					&cli.DurationFlag{Name: "quiet", Value: 20 * time.Second, Usage: "simulated time before the first change; after the change, the nodes run for half as long"},
					&cli.IntFlag{Name: "crash", Value: 1, Usage: "number of nodes that crash at once"},
				},
			},
		},
	}
}

func runBound(_ context.Context, c *cli.Command) error {
	name := c.Args().First()
	text, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read load file: %w", err)
	}
	load, err := zybound.Parse(name, text)
	if err != nil {
		return fmt.Errorf("parse load file %s:\n%w", name, err)
	}
	bound, err := zybound.UpperBound(load)
	if err != nil {
		return fmt.Errorf("compute upper bound for %s: %w", name, err)
	}
	w := c.Root().Writer
	_, _ = fmt.Fprintf(w, "%-16s %8s\n", "kind", "served")
	for _, k := range load.Kinds {
		_, _ = fmt.Fprintf(w, "%-16s %8.3f\n", k.Name, bound.ServedShares[k.Name])
	}
	_, _ = fmt.Fprintf(w, "%-16s %8s\n", "service", "in use")
	for _, s := range load.Services {
		_, _ = fmt.Fprintf(w, "%-16s %8.3f\n", s.Name, bound.Utilization[s.Name])
	}
	_, _ = fmt.Fprintf(w, "worth %.3f\n", bound.WorthShare)
	return nil
}

func runMembers(_ context.Context, c *cli.Command) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, n := range c.IntSlice("members") {
		result := zyexperiment.RunMembership(zyexperiment.MembershipConfig{
			Members: n, PacketLoss: c.Float("loss"), Seed: c.Uint64("seed"), IdleTime: c.Duration("quiet"), CrashCount: c.Int("crash"),
		})
		if err := encoder.Encode(result); err != nil {
			return fmt.Errorf("write result for %d members: %w", n, err)
		}
	}
	return nil
}

func runEvenLoad(_ context.Context, c *cli.Command) error {
	var policies []zyexperiment.EvenPolicy
	for _, name := range c.StringSlice("policy") {
		p, err := zyexperiment.EvenPolicyString(name)
		if err != nil {
			return fmt.Errorf("policy %q: accepted: %v: %w", name, zyexperiment.EvenPolicyStrings(), err)
		}
		policies = append(policies, p)
	}
	scenarios := slices.DeleteFunc(zyexperiment.EvenLoadScenarios(c.Uint64("seed")), func(s zyexperiment.EvenLoadScenario) bool {
		return !strings.Contains(s.Name, c.String("only"))
	})
	zyexperiment.RunEvenLoadTable(c.Root().Writer, scenarios, policies)
	return nil
}

func runOverload(_ context.Context, c *cli.Command) error {
	var policies []zyexperiment.Policy
	for _, name := range c.StringSlice("policy") {
		p, err := zyexperiment.PolicyString(name)
		if err != nil {
			return fmt.Errorf("policy %q: accepted: %v: %w", name, zyexperiment.PolicyStrings(), err)
		}
		policies = append(policies, p)
	}
	results := zyexperiment.RunAll(zyexperiment.Scenarios(c.Uint64("seed")), policies, func(s zyexperiment.Scenario) bool {
		return strings.Contains(s.Name, c.String("only")) && (c.Int("depth") == 0 || s.Depth == c.Int("depth"))
	})
	if dir := c.String("plots"); dir != "" {
		if err := plotResults(dir, results, len(policies)); err != nil {
			return err
		}
	}
	if !c.Bool("json") {
		zyexperiment.PrintTable(os.Stdout, results)
		return nil
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(results); err != nil {
		return fmt.Errorf("write overload results: %w", err)
	}
	return nil
}

// plotResults writes one goodput plot per scenario into dir. The results of one
// scenario are adjacent, one per policy.
func plotResults(dir string, results []zyexperiment.Result, policies int) error {
	for i := 0; i+policies <= len(results); i += policies {
		if _, err := zyplot.Goodput(dir, results[i:i+policies]); err != nil {
			return fmt.Errorf("plot %s into %s: %w", results[i].Scenario, dir, err)
		}
	}
	return nil
}
