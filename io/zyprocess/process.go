// Package zyprocess runs a node as a process: it reads the settings, limits the memory,
// reloads the settings when they change and stops the node at the end.
package zyprocess

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"

	"zinniayoke/core/zysettings"
	"zinniayoke/io/zynode"
	"zinniayoke/platform"
)

const (
	percent = 100
	// heapPercent is the part of the memory limit that the Go heap may use. The rest
	// is for socket buffers, which count as memory of the process too.
	heapPercent = 60
)

// Run runs a node with the settings in a file until ctx is done, and then stops it
// gracefully. It reloads the settings on SIGHUP and whenever the file changes.
func Run(ctx context.Context, file string) error {
	settings, err := ReadSettings(file)
	if err != nil {
		return err
	}
	cfg := zynode.Config{Settings: settings, Output: os.Stdout}
	if settings.StoreAddress != "" {
		cfg.Adapters = platform.NewAdapters(settings)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryLimit) * heapPercent / percent)
	}
	var node *zynode.Node
	app := zynode.App(cfg, fx.Populate(&node))
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	reloadOnChange(ctx, file, node)
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
		settings, err := ReadSettings(file)
		if err != nil {
			node.LogWarning("The settings file is invalid or unreadable; the previous settings stay in force.", err)
			continue
		}
		node.Reload(settings)
	}
}

// ReadSettings reads and checks a settings file.
func ReadSettings(file string) (*zysettings.Settings, error) {
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
