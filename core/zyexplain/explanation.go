// Package zyexplain reconstructs the course and the outcome of one request from the
// logs of several nodes.
package zyexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Line is one line of a node's log. Fields that the line does not have are zero.
type Line struct {
	Time        time.Time `json:"time"`
	Event       string    `json:"event"`
	Request     string    `json:"request"`
	Parent      string    `json:"parent"`
	Attempt     string    `json:"attempt"`
	Route       string    `json:"route"`
	Service     string    `json:"service"`
	Customer    string    `json:"customer"`
	Node        string    `json:"node"`
	Instance    string    `json:"instance"`
	Outcome     string    `json:"outcome"`
	Reason      string    `json:"reason"`
	Version     uint64    `json:"version"`
	Status      int       `json:"status"`
	TimeLeftMs  int64     `json:"leftMs"`
	QueueTimeUs int64     `json:"waitedUs"`
	DurationUs  int64     `json:"tookUs"`
	Limit       int       `json:"limit"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	// RateLimit is nil if the worker has named no rate.
	RateLimit    *float64 `json:"rateLimit"`
	DeliveryRate float64  `json:"deliveryRate"`
	Leaving      bool     `json:"leaving"`
	WillRetry    bool     `json:"again"`
	Detail       string   `json:"detail"`
	Message      string   `json:"msg"`
	// Source is the prefix that a log collector put before the line, or else the
	// name of the log.
	Source string `json:"-"`
}

// Explanation describes what happened to one request.
type Explanation struct {
	Request string
	// Lines holds the log lines of the request and of its worker's child calls, in
	// order of time.
	Lines []Line
	// Context holds the events without a request, such as membership changes, that
	// the entry node logged shortly before the request ended.
	Context []Line
	// Cause is a sentence that says how the request ended and why.
	Cause string
}

// NotFoundError is returned if no log line names the request.
type NotFoundError struct {
	Request   string
	LinesRead int
}

// Error names the request and the possible reasons.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d log lines names request %s: either it succeeded and was not sampled, or its kind of failure exceeded the log rate limit, or it entered at other nodes", e.LinesRead, e.Request)
}

const (
	maxLineSize = 1 << 20
	// contextWindow is how long before the end of a request an event may have occurred
	// to be part of its context.
	contextWindow   = 3 * time.Second
	maxContextLines = 8
)

// Collector gathers the log lines of one request. Use NewCollector to create one.
type Collector struct {
	request   string
	linesRead int
	lines     []Line
	// nodeEvents holds the events that belong to no request.
	nodeEvents []Line
}

// NewCollector returns a Collector for the request with the given ID.
func NewCollector(request string) *Collector {
	return &Collector{request: request}
}

// AddLog reads the log of one node. It ignores lines that are not JSON, and the
// truncated end of a compressed log. The last word before the first brace of a line, which a
// log collector may add, replaces source for that line.
func (c *Collector) AddLog(source string, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var line Line
		if json.Unmarshal(raw[start:], &line) != nil {
			continue
		}
		c.linesRead++
		line.Source = source
		if prefix := strings.Fields(string(raw[:start])); len(prefix) > 0 {
			line.Source = prefix[len(prefix)-1]
		}
		c.add(line)
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("read log %s: %w", source, err)
	}
	return nil
}

func (c *Collector) add(line Line) {
	switch {
	case line.Request == c.request || line.Parent == c.request:
		c.lines = append(c.lines, line)
	case line.Request == "" && line.Event != "":
		c.nodeEvents = append(c.nodeEvents, line)
	}
}

// Explain returns the explanation of the request. The error is a *NotFoundError.
func (c *Collector) Explain() (*Explanation, error) {
	if len(c.lines) == 0 {
		return nil, &NotFoundError{Request: c.request, LinesRead: c.linesRead}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(c.lines, byTime)
	slices.SortStableFunc(c.nodeEvents, byTime)
	e := &Explanation{Request: c.request, Lines: c.lines}
	last := c.lines[len(c.lines)-1]
	for _, l := range c.lines {
		if l.Event == "callEnded" && l.Request == c.request {
			last = l
		}
	}
	for _, event := range c.nodeEvents {
		if event.Source == last.Source && !event.Time.After(last.Time) && last.Time.Sub(event.Time) <= contextWindow {
			e.Context = append(e.Context, event)
		}
	}
	e.Context = e.Context[max(len(e.Context)-maxContextLines, 0):]
	e.Cause = e.describeCause()
	return e, nil
}

// describeCause returns the sentence for the end of the request.
func (e *Explanation) describeCause() string {
	var ended, refused, run, child *Line
	for i := range e.Lines {
		l := &e.Lines[i]
		switch {
		case l.Parent == e.Request && l.Request != e.Request:
			if l.Outcome != "done" || l.Status >= http.StatusInternalServerError {
				child = l
			}
		case l.Event == "callEnded":
			ended = l
		case l.Event == "attemptRefused":
			refused = l
		case l.Event == "attemptRun":
			run = l
		}
	}
	if ended == nil {
		return "No log line of the entry node says how the request ended; the last event is " + e.Lines[len(e.Lines)-1].Event + "."
	}
	return describeEnd(ended, refused, run, child)
}

func describeEnd(ended, refused, run, child *Line) string {
	duration := time.Duration(ended.DurationUs) * time.Microsecond
	if ended.Outcome == "done" {
		if ended.Status >= http.StatusInternalServerError {
			return describeFailure(ended, run, child)
		}
		return fmt.Sprintf("The request got a response with status %d after %s.", ended.Status, duration)
	}
	text := ended.Detail
	switch ended.Reason {
	case "token":
		return fmt.Sprintf("Refused with 401 by %s (outcome %s), on route %s with version %d of the bundle: %s.",
			ended.Source, ended.Outcome, ended.Route, ended.Version, text)
	case "callerLimit":
		return fmt.Sprintf("Refused with 429 by %s (outcome %s), on route %s with version %d of the bundle%s: %s.",
			ended.Source, ended.Outcome, ended.Route, ended.Version, describeCustomer(ended), text)
	case "noRoute":
		return fmt.Sprintf("Refused: %s, in version %d of the bundle.", text, ended.Version)
	case "notReady":
		return "Refused: " + text + "."
	case "shed":
		if refused != nil {
			return fmt.Sprintf("Refused, not run: the admission queue of %s had %d of %d slots in use and %d calls waiting%s%s.",
				instanceName(refused), refused.Running, refused.Limit, refused.Waiting, describeRateLimit(refused), describeCustomer(ended))
		}
		return fmt.Sprintf("Refused at its entry node, not run: %s%s.", text, describeCustomer(ended))
	case "deadline":
		if ended.Outcome == "notRun" {
			return fmt.Sprintf("The deadline passed after %s before a worker had a free slot; the request was not run.", duration)
		}
		return fmt.Sprintf("The deadline passed after %s at worker %s, which may have run the request.", duration, instanceName(run))
	case "cancelled":
		return fmt.Sprintf("The caller cancelled the request after %s.", duration)
	case "answerLost":
		return fmt.Sprintf("The request was delivered to worker %s, but the complete response did not come back: %s.", instanceName(run), text)
	}
	return fmt.Sprintf("The request ended %s because of %s: %s%s.", ended.Outcome, reasonOrResponse(ended.Reason), text, describeCustomer(ended))
}

// describeCustomer returns the customer of the line, and "" if it has none.
func describeCustomer(l *Line) string {
	if l.Customer == "" {
		return ""
	}
	return "; customer " + l.Customer
}

// describeRateLimit returns the rate that the worker of the line accepts, and "" if it
// accepts any.
func describeRateLimit(l *Line) string {
	if l.RateLimit == nil {
		return ""
	}
	return fmt.Sprintf("; its worker accepts %.1f calls per second and got %.1f", *l.RateLimit, l.DeliveryRate)
}

// describeFailure returns the sentence for a response with a server error status.
func describeFailure(ended, run, child *Line) string {
	duration := time.Duration(ended.DurationUs) * time.Microsecond
	switch {
	case ended.Detail != "":
		return fmt.Sprintf("Worker %s responded with status %d after %s: %s.", instanceName(run), ended.Status, duration, ended.Detail)
	case child != nil && child.Outcome == "done":
		return fmt.Sprintf("The worker responded with status %d after %s: its call %s to %s got a response with status %d.",
			ended.Status, duration, child.Request, child.Service, child.Status)
	case child != nil:
		return fmt.Sprintf("The worker responded with status %d after %s: its call %s to %s ended %s because of %s (%s).",
			ended.Status, duration, child.Request, child.Service, child.Outcome, reasonOrResponse(child.Reason), child.Detail)
	}
	return fmt.Sprintf("Worker %s responded with status %d after %s: it failed itself, or a call that it made failed.", instanceName(run), ended.Status, duration)
}

func reasonOrResponse(reason string) string {
	if reason == "" {
		return "its response"
	}
	return reason
}

func instanceName(l *Line) string {
	if l == nil || l.Instance == "" {
		return "(not logged)"
	}
	return l.Instance
}
