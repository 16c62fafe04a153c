package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke/io/zydemo"
	"zinniayoke/platform/zysmoketest"
)

// errGuaranteeViolated makes the demo exit with 1 when its report lists a
// violated guarantee.
var errGuaranteeViolated = errors.New("demo: a guarantee was violated")

func demoCommand() *cli.Command {
	const defaultDuration = 15 * time.Second
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete deployment in this process, under steady load and a load surge",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "hollander", Usage: "hollander or tabighi"},
			&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "total time of the three phases (steady, surge, steady), or of the load with --platform"},
			&cli.BoolFlag{Name: "faults", Usage: "inject failures during the surge: log outage, host crash, worker restart"},
			&cli.BoolFlag{Name: "platform", Usage: "run steady load on a stand-in for the users' platform instead"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.BoolFlag{Name: "logs", Usage: "write the logs of the nodes to standard error"},
		},
		Action: runDemo,
	}
}

// runPlatformDemo runs steady load on a stand-in for the users' platform.
func runPlatformDemo(ctx context.Context, c *cli.Command) error {
	const requestRate = 200
	cfg := zysmoketest.Config{Duration: c.Duration("duration"), RequestRate: requestRate, LogOutput: io.Discard}
	if c.Bool("logs") {
		cfg.LogOutput = os.Stderr
	}
	report, err := zysmoketest.Run(ctx, cfg)
	if err != nil {
		return fmt.Errorf("platform demo: %w", err)
	}
	report.Print(os.Stdout)
	if len(report.Violations) > 0 {
		return errGuaranteeViolated
	}
	return nil
}

func runDemo(ctx context.Context, c *cli.Command) error {
	if c.Bool("platform") {
		return runPlatformDemo(ctx, c)
	}
	cfg := zydemo.Config{Deployment: c.String("deployment"), Duration: c.Duration("duration"), LogOutput: io.Discard, ProgressOutput: os.Stderr, Faults: c.Bool("faults")}
	if c.Bool("logs") {
		cfg.LogOutput = os.Stderr
	}
	report, err := zydemo.Run(ctx, cfg)
	if err != nil {
		return fmt.Errorf("demo of %s: %w", cfg.Deployment, err)
	}
	if c.Bool("json") {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return fmt.Errorf("write demo report: %w", err)
		}
	} else {
		report.Print(os.Stdout)
	}
	if len(report.Violations()) > 0 {
		return errGuaranteeViolated
	}
	return nil
}
