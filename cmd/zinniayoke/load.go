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
		defaultDuration    = 10 * time.Second
		defaultTimeout     = 5 * time.Second
		defaultMaxInFlight = 1000
	)
	return &cli.Command{
		Name:  "load",
		Usage: "generate the load of an example deployment and print the results as JSON",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "caller address of an entry node; may be repeated"},
			&cli.StringFlag{Name: "deployment", Value: "hollander", Usage: "hollander or tabighi"},
			&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "how long to generate load"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "how long a caller waits for the response to one send"},
			&cli.IntFlag{Name: "open", Value: defaultMaxInFlight, Usage: "maximum number of calls in flight; calls beyond it are dropped and not counted"},
			&cli.BoolFlag{Name: "surge", Usage: "generate the surge load instead of the steady load"},
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
		return fmt.Errorf("write load results: %w", err)
	}
	return nil
}
