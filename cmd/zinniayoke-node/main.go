// Command zinniayoke-node runs a node and nothing else. It does what "zinniayoke node" does
// in less memory, since it lacks the operators' commands, the simulations and the plots.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"zinniayoke/io/zyprocess"
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
	if err := zyprocess.Command("zinniayoke-node").Run(ctx, os.Args); err != nil {
		return fmt.Errorf("zinniayoke-node: %w", err)
	}
	return nil
}
