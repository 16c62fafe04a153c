// Command zinniayoke is the one program of the system: node, operator's tool,
// load generator, demo and stand-ins.
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
			nodeCommand(), bundleCommand(), keyCommand(), loadCommand(), demoCommand(), standinCommand(), experimentCommand(), explainCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		return fmt.Errorf("zinniayoke: %w", err)
	}
	return nil
}
