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
	// heapPercent is the part of the memory limit that the Go heap may use. The rest is for socket
	// buffers and the program itself, which count as memory of the process too, and for what is
	// allocated while garbage is collected.
	heapPercent = 50
)

func runNode(ctx context.Context, c *cli.Command) error {
	// Before anything else, because the default action of SIGHUP ends the process.
	hangups := notifyHangups()
	file := c.String("settings")
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := parseSettings(file, text)
	if err != nil || c.Bool("check") {
		return err
	}
	cfg := zynode.Config{Settings: settings, Output: os.Stdout}
	if settings.StoreAddress != "" {
		cfg.Adapters = platform.NewAdapters(settings)
	}
	setProcessLimits(settings)
	var node *zynode.Node
	app := zynode.App(cfg, fx.Populate(&node))
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	stopped := make(chan struct{})
	reloader := settingsReloader{file: file, last: text, signals: hangups, node: node}
	go reloader.run(stopped)
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	err = app.Stop(stopCtx)
	close(stopped)
	if err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// notifyHangups returns a channel that receives SIGHUP until the process ends.
func notifyHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// setProcessLimits applies the limits that the settings set for the process.
func setProcessLimits(s *zysettings.Settings) {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimit) * heapPercent / percent)
	}
	if s.Threads > 0 {
		runtime.GOMAXPROCS(s.Threads)
	}
}

// settingsPollInterval is how often the settings file is checked for changes.
// SIGHUP reloads it at once.
const settingsPollInterval = 1 * time.Second

// reloadable is the node that gets changed settings.
type reloadable interface {
	Reload(s *zysettings.Settings)
	LogWarning(text string, err error)
}

// settingsReloader reloads the settings on SIGHUP and whenever the file changes. The signals are
// taken from the start of the process to its end.
type settingsReloader struct {
	file string
	// last is the text that was read most recently, at first that of the start.
	last    []byte
	lastErr error
	signals <-chan os.Signal
	node    reloadable
}

// run reloads until stopped is closed, also while the node stops and still serves calls.
func (r *settingsReloader) run(stopped <-chan struct{}) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	r.reload(false)
	for {
		select {
		case <-stopped:
			return
		case <-r.signals:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

// reload reads the file and applies it if it has changed or a signal asks for it.
func (r *settingsReloader) reload(signalled bool) {
	text, err := os.ReadFile(r.file)
	if !signalled && bytes.Equal(text, r.last) && (err == nil) == (r.lastErr == nil) {
		return
	}
	r.last, r.lastErr = text, err
	var settings *zysettings.Settings
	if err == nil {
		settings, err = parseSettings(r.file, text)
	}
	if err != nil {
		r.node.LogWarning("The settings file is invalid or unreadable; the previous settings stay in force.", err)
		return
	}
	setProcessLimits(settings)
	r.node.Reload(settings)
}

func readSettings(file string) (*zysettings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return parseSettings(file, text)
}

func parseSettings(file string, text []byte) (*zysettings.Settings, error) {
	settings, err := zysettings.Parse(file, text)
	if err != nil {
		return nil, fmt.Errorf("parse settings %s:\n%w", file, err)
	}
	return settings, nil
}
