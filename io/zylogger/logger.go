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

// Part returns the logger of a part. Its messages begin with the part's name.
func (l *Logger) Part(name string) *Part {
	return &Part{entry: logrus.NewEntry(l.base), prefix: name + ": "}
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

// Part logs for one part of a node.
type Part struct {
	entry  *logrus.Entry
	prefix string
}

// With returns a logger that adds a field to each message.
func (p *Part) With(key string, value any) *Part {
	return &Part{entry: p.entry.WithField(key, value), prefix: p.prefix}
}

// Info logs a change that operators expect.
func (p *Part) Info(text string) {
	p.entry.Info(p.prefix + text)
}

// Warn logs what operators may have to look at.
func (p *Part) Warn(text string) {
	p.entry.Warn(p.prefix + text)
}

// Debug logs what helps to find a fault.
func (p *Part) Debug(text string) {
	p.entry.Debug(p.prefix + text)
}
