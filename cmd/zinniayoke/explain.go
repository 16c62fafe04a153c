package main

import (
	"bufio"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke/core/zyexplain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from node logs how a request was handled, and why",
		ArgsUsage: "REQUEST [FILE...]",
		Description: "Reads the logs of all given files, plain or gzip, or of standard input.\n" +
			"Example: zinniayoke explain 9c41d07be2a35f68 /var/log/zinniayoke/*.log.gz\n" +
			"It exits with 1 if no log line mentions the request.",
		Action: runExplain,
	}
}

// errMissingRequestID reports that no request id was given.
var errMissingRequestID = errors.New("explain: the id of a request is required")

func runExplain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errMissingRequestID
	}
	collector := zyexplain.NewCollector(c.Args().First())
	files := c.Args().Tail()
	if len(files) == 0 {
		if err := readLog(collector, "standard input", os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("explain: open log: %w", err)
		}
		err = readLog(collector, name, file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	explanation, err := collector.Explain()
	if err != nil {
		return err
	}
	printExplanation(c.Root().Writer, explanation)
	return nil
}

// readLog passes a log to collector and decompresses it if it begins with the gzip
// magic number.
func readLog(collector *zyexplain.Collector, name string, in io.Reader) error {
	buffered := bufio.NewReader(in)
	magic, err := buffered.Peek(2)
	if err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		decompressed, err := gzip.NewReader(buffered)
		if err != nil {
			return fmt.Errorf("explain: read gzip header of %s: %w", name, err)
		}
		return collector.AddLog(name, decompressed)
	}
	return collector.AddLog(name, buffered)
}

func printExplanation(w io.Writer, e *zyexplain.Explanation) {
	_, _ = fmt.Fprintf(w, "request %s\n", e.Request)
	for _, l := range e.Lines {
		_, _ = fmt.Fprintln(w, formatLine(l))
	}
	if len(e.Context) > 0 {
		_, _ = fmt.Fprintln(w, "believed shortly before:")
	}
	for _, l := range e.Context {
		_, _ = fmt.Fprintln(w, formatLine(l))
	}
	_, _ = fmt.Fprintln(w, e.Cause)
}

func formatTime(l zyexplain.Line) string {
	return l.Time.Format("15:04:05.000000")
}

// formatLine renders one log line; fields without a value are left out.
func formatLine(l zyexplain.Line) string {
	text := fmt.Sprintf("  %s %s: %s", formatTime(l), l.Source, l.Event)
	add := func(name string, value any, present bool) {
		if present {
			text += fmt.Sprintf(" %s=%v", name, value)
		}
	}
	add("call", l.Request, l.Parent != "")
	add("service", l.Service, l.Service != "")
	add("customer", l.Customer, l.Customer != "")
	add("node", l.Node, l.Node != "")
	add("instance", l.Instance, l.Instance != "")
	add("outcome", l.Outcome, l.Outcome != "")
	add("reason", l.Reason, l.Reason != "")
	add("status", l.Status, l.Status != 0)
	add("version", l.Version, l.Version != 0)
	add("waited", time.Duration(l.QueueTimeUs)*time.Microsecond, l.QueueTimeUs != 0)
	add("took", time.Duration(l.DurationUs)*time.Microsecond, l.DurationUs != 0)
	add("slots", fmt.Sprintf("%d/%d+%d", l.Running, l.Limit, l.Waiting), l.Limit != 0)
	if l.RateLimit != nil {
		add("rate", fmt.Sprintf("%.1f/%.1f", l.DeliveryRate, *l.RateLimit), true)
	}
	add("leaving", l.Leaving, l.Leaving)
	add("again", l.WillRetry, l.WillRetry)
	add("detail", fmt.Sprintf("%q", l.Detail), l.Detail != "")
	return text
}
