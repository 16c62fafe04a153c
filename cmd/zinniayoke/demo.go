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

// errGuaranteeViolated says that a demo saw a broken promise.
var errGuaranteeViolated = errors.New("a promise was broken")

func demoCommand() *cli.Command {
	const usualDuration = 15 * time.Second
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment in this process through a surge",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "hollander", Usage: "hollander or tabighi"},
			&cli.DurationFlag{Name: "duration", Value: usualDuration, Usage: "time of the three phases together"},
			&cli.BoolFlag{Name: "faults", Usage: "add failures to the surge: log down, host lost, worker restarted"},
			&cli.BoolFlag{Name: "platform", Usage: "play a calm day on a stand-in of the users' platform instead"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.BoolFlag{Name: "logs", Usage: "show the logs of the nodes"},
		},
		Action: runDemo,
	}
}

// runPlatformDemo plays a calm day on the platform's stand-in.
func runPlatformDemo(ctx context.Context, c *cli.Command) error {
	const perSecond = 200
	cfg := zysmoketest.Config{Duration: c.Duration("duration"), RequestRate: perSecond, LogOutput: io.Discard}
	if c.Bool("logs") {
		cfg.LogOutput = os.Stderr
	}
	report, err := zysmoketest.Run(ctx, cfg)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
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
	cfg := zydemo.Config{Deployment: c.String("deployment"), Duration: c.Duration("duration"), Logs: io.Discard, Progress: os.Stderr, Faults: c.Bool("faults")}
	if c.Bool("logs") {
		cfg.Logs = os.Stderr
	}
	report, err := zydemo.Run(ctx, cfg)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if c.Bool("json") {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	} else {
		report.Print(os.Stdout)
	}
	if len(report.Violations()) > 0 {
		return errGuaranteeViolated
	}
	return nil
}
