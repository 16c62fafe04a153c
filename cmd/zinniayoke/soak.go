package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke/platform/zysoak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run nodes as separate processes on this machine, inject faults and check the promises",
		Description: "Each seed starts a deployment on a fake of the users' platform. Settings, logs and faults are\n" +
			"kept in the folder of the seed. It exits with 1 if a promise was broken.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "hosts", Value: 6, Usage: "hosts, 4 to 60", Validator: func(n int) error { return checkRange("hosts", n, 4, 60) }},
			&cli.IntFlag{Name: "rate", Value: 150, Usage: "requests per second, 1 to 2000", Validator: func(n int) error { return checkRange("rate", n, 1, 2000) }},
			&cli.BoolFlag{Name: "limits", Usage: "give each tenant a rate limit and check it over all nodes"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "time with faults"},
			&cli.StringFlag{Name: "program", Usage: "program of the nodes, such as an earlier version; this one by default"},
			&cli.StringFlag{Name: "dir", Value: "soak", Usage: "folder for settings and logs"},
		},
		Action: runSoak,
	}
}

// RangeError reports a flag whose value is out of range.
type RangeError struct {
	Flag      string
	Low, High int
}

// Error names the flag and the accepted values.
func (e *RangeError) Error() string {
	return fmt.Sprintf("--%s: accepted: %d to %d", e.Flag, e.Low, e.High)
}

func checkRange(flag string, n, low, high int) error {
	if n < low || n > high {
		return &RangeError{Flag: flag, Low: low, High: high}
	}
	return nil
}

// errSoakFailed reports that a promise was broken.
var errSoakFailed = errors.New("soak: promises were broken")

func runSoak(ctx context.Context, c *cli.Command) error {
	program := c.String("program")
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
	}
	failed := false
	for seed := c.Uint64("seed"); seed < c.Uint64("seed")+c.Uint64("seeds") && ctx.Err() == nil; seed++ {
		report, err := soakSeed(ctx, c, program, seed)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(c.Root().Writer, "seed %d: %d faults, responses by status %v, %d changes of keys, the slowest revocation took %s, %d violations\n",
			seed, report.Faults, report.Statuses, report.KeyVersions, report.SlowestRevocation.Round(time.Millisecond), len(report.Violations))
		for _, v := range report.Violations {
			_, _ = fmt.Fprintln(c.Root().Writer, "BROKEN:", v)
		}
		failed = failed || len(report.Violations) > 0
	}
	if failed {
		return errSoakFailed
	}
	return nil
}

func soakSeed(ctx context.Context, c *cli.Command, program string, seed uint64) (*zysoak.Report, error) {
	const ownerOnly = 0o700
	dir := filepath.Join(c.String("dir"), fmt.Sprint(seed))
	if err := os.MkdirAll(dir, ownerOnly); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	log, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer func() { _ = log.Close() }()
	report, err := zysoak.Run(ctx, zysoak.Config{
		Program: []string{program}, Dir: dir, Hosts: c.Int("hosts"), Rate: c.Int("rate"), Duration: c.Duration("duration"), Seed: seed, Log: log, CustomerLimits: c.Bool("limits"),
	})
	if err != nil {
		return nil, fmt.Errorf("soak with seed %d: %w", seed, err)
	}
	return report, nil
}
