package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke/io/zydemo"
	"zinniayoke/io/zyload"
)

func loadCommand() *cli.Command {
	const (
		usualDuration = 10 * time.Second
		usualTimeout  = 5 * time.Second
		usualOpen     = 1000
	)
	return &cli.Command{
		Name:  "load",
		Usage: "send the calls of a deployment and print the results as JSON",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "caller port of a node; may be repeated"},
			&cli.StringFlag{Name: "deployment", Value: "hollander", Usage: "hollander or tabighi"},
			&cli.DurationFlag{Name: "duration", Value: usualDuration, Usage: "how long to send"},
			&cli.DurationFlag{Name: "timeout", Value: usualTimeout, Usage: "how long to wait for an answer"},
			&cli.IntFlag{Name: "open", Value: usualOpen, Usage: "most calls under way"},
			&cli.BoolFlag{Name: "surge", Usage: "send the calls of the surge"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	deployment, ok := zydemo.Deployments()[c.String("deployment")]
	if !ok {
		return &zydemo.UnknownDeploymentError{Name: c.String("deployment")}
	}
	flows := deployment.SteadyFlows
	if c.Bool("surge") {
		flows = deployment.SurgeFlows
	}
	g := zyload.New(zyload.Config{EntryAddresses: c.StringSlice("entry"), Timeout: c.Duration("timeout"), MaxInFlight: c.Int("open")})
	ctx, cancel := context.WithTimeout(ctx, c.Duration("duration"))
	defer cancel()
	g.Run(ctx, flows)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(g.Results()); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}
