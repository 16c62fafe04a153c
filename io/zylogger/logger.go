// Package zylogger writes the logs of a node: messages of its components and events of
// requests.
package zylogger

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Config configures a Logger.
type Config struct {
	Output io.Writer
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
}

// Logger creates the loggers of components. They share one output and level.
type Logger struct {
	base *logrus.Logger
}

// New returns a Logger. It fails if the level is unknown.
func New(cfg Config) (*Logger, error) {
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("create logger with level %q: %w", cfg.Level, err)
	}
	base := logrus.New()
	base.SetOutput(cfg.Output)
	base.SetLevel(level)
	if cfg.Format == "json" {
		base.SetFormatter(&logrus.JSONFormatter{})
	} else {
		base.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	}
	return &Logger{base: base}, nil
}

// ForComponent returns a logger that prefixes messages with the component's name.
func (l *Logger) ForComponent(name string) *ComponentLogger {
	return &ComponentLogger{entry: logrus.NewEntry(l.base), prefix: name + ": "}
}

// SetLevel changes the level for all components.
func (l *Logger) SetLevel(name string) error {
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	l.base.SetLevel(level)
	return nil
}

// ComponentLogger logs the messages of one component of a node.
type ComponentLogger struct {
	entry  *logrus.Entry
	prefix string
}

// With returns a logger that adds a field to each message.
func (p *ComponentLogger) With(key string, value any) *ComponentLogger {
	return &ComponentLogger{entry: p.entry.WithField(key, value), prefix: p.prefix}
}

// Info logs an expected event, such as a change of state.
func (p *ComponentLogger) Info(text string) {
	p.entry.Info(p.prefix + text)
}

// Warn logs a problem that operators may have to investigate.
func (p *ComponentLogger) Warn(text string) {
	p.entry.Warn(p.prefix + text)
}

// Debug logs details for troubleshooting.
func (p *ComponentLogger) Debug(text string) {
	p.entry.Debug(p.prefix + text)
}
