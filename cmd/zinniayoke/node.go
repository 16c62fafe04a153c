package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"zinniayoke/core/zysettings"
	"zinniayoke/io/zynode"
	"zinniayoke/platform"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the node of this host until SIGINT or SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings file"},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: runNode,
	}
}

const (
	percent = 100
	// heapPercent is the part of the memory limit that the Go heap may use. The rest
	// is for socket buffers, which count as memory of the process too.
	heapPercent = 60
)

func runNode(ctx context.Context, c *cli.Command) error {
	settings, err := readSettings(c.String("settings"))
	if err != nil || c.Bool("check") {
		return err
	}
	cfg := zynode.Config{Settings: settings, Output: os.Stdout}
	if settings.StoreAddress != "" {
		cfg.Adapters = platform.NewAdapters(settings)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryLimit) * heapPercent / percent)
	}
	if settings.Threads > 0 {
		runtime.GOMAXPROCS(settings.Threads)
	}
	var node *zynode.Node
	app := zynode.App(cfg, fx.Populate(&node))
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	reloadOnChange(ctx, c.String("settings"), node)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// settingsPollInterval is how often the settings file is checked for changes.
// SIGHUP reloads it at once.
const settingsPollInterval = 2 * time.Second

// reloadOnChange reloads the settings on SIGHUP and whenever the file changes,
// until ctx is done.
func reloadOnChange(ctx context.Context, file string, node *zynode.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	// Ignored rather than reset: the default action would let a SIGHUP during the
	// shutdown kill the process.
	defer signal.Ignore(syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, lastErr := os.ReadFile(file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(file)
		if !signalled && bytes.Equal(text, last) && (err == nil) == (lastErr == nil) {
			continue
		}
		last, lastErr = text, err
		settings, err := readSettings(file)
		if err != nil {
			node.LogWarning("The settings file is invalid or unreadable; the previous settings stay in force.", err)
			continue
		}
		node.Reload(settings)
	}
}

func readSettings(file string) (*zysettings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := zysettings.Parse(file, text)
	if err != nil {
		return nil, fmt.Errorf("parse settings %s:\n%w", file, err)
	}
	return settings, nil
}
