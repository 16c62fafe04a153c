// Package zylogger makes the loggers of a node's parts.
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

// Logger makes a logger with a fixed prefix for each part.
type Logger struct {
	base *logrus.Logger
}

// New returns a Logger. The error wraps that of an unknown level.
func New(cfg Config) (*Logger, error) {
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
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

// ForComponent returns the logger of a part. Its messages begin with the part's name.
func (l *Logger) ForComponent(name string) *ComponentLogger {
	return &ComponentLogger{entry: logrus.NewEntry(l.base), prefix: name + ": "}
}

// SetLevel changes the level of all parts.
func (l *Logger) SetLevel(name string) error {
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	l.base.SetLevel(level)
	return nil
}

// ComponentLogger logs for one part of a node.
type ComponentLogger struct {
	entry  *logrus.Entry
	prefix string
}

// With returns a logger that adds a field to each message.
func (p *ComponentLogger) With(key string, value any) *ComponentLogger {
	return &ComponentLogger{entry: p.entry.WithField(key, value), prefix: p.prefix}
}

// Info logs a change that operators expect.
func (p *ComponentLogger) Info(text string) {
	p.entry.Info(p.prefix + text)
}

// Warn logs what operators may have to look at.
func (p *ComponentLogger) Warn(text string) {
	p.entry.Warn(p.prefix + text)
}

// Debug logs what helps to find a fault.
func (p *ComponentLogger) Debug(text string) {
	p.entry.Debug(p.prefix + text)
}
