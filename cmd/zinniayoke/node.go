package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"zinniayoke/core/zysettings"
	"zinniayoke/io/zynode"
	"zinniayoke/platform"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the node of this host until it is told to stop",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "file with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: runNode,
	}
}

const (
	percent = 100
	// heapShare leaves room for sockets' buffers, which count as the process's memory too.
	heapShare = 60
)

func runNode(ctx context.Context, c *cli.Command) error {
	settings, err := readSettings(c.String("settings"))
	if err != nil || c.Bool("check") {
		return err
	}
	cfg := zynode.Config{Settings: settings, Output: os.Stdout}
	if settings.Store != "" {
		cfg.Edges = platform.NewEdges(settings)
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(settings.Memory) * heapShare / percent)
	}
	app := zynode.App(cfg)
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

func readSettings(file string) (*zysettings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := zysettings.Parse(file, text)
	if err != nil {
		return nil, fmt.Errorf("settings:\n%w", err)
	}
	return settings, nil
}
