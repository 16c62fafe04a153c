// Command zinniayoke runs a node of the overload control layer. It also has the
// operators' commands, a load generator, a demo, simulations and stand-ins for
// external systems.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "zinniayoke",
		Usage: "overload control for service call graphs",
		Commands: []*cli.Command{
			nodeCommand(), bundleCommand(), keyCommand(), loadCommand(), demoCommand(), standinCommand(), experimentCommand(), explainCommand(), whereCommand(), soakCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		return fmt.Errorf("zinniayoke: %w", err)
	}
	return nil
}
