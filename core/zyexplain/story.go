// Package zyexplain tells from the log lines of many nodes what became of one
// request, and why.
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

// Line is one line of a node's log. Fields that a line lacks are zero.
type Line struct {
	Time        time.Time `json:"time"`
	Event       string    `json:"event"`
	Request     string    `json:"request"`
	Parent      string    `json:"parent"`
	Attempt     string    `json:"attempt"`
	Route       string    `json:"route"`
	Service     string    `json:"service"`
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
	WillRetry   bool      `json:"again"`
	Detail      string    `json:"detail"`
	Message     string    `json:"msg"`
	// Source is the file that the line comes from.
	Source string `json:"-"`
}

// Explanation is what the logs tell of one request.
type Explanation struct {
	Request string
	// Lines are those of the request, and of calls that its worker made, by time.
	Lines []Line
	// Context holds what the entry came to believe shortly before the request ended.
	Context []Line
	// Cause says in a sentence how the request ended and why.
	Cause string
}

// NotFoundError says that no line names a request.
type NotFoundError struct {
	Request   string
	LinesRead int
}

// Error names the request.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d lines names request %s: it went well and was not sampled, its kind of failure was over the limit of lines, or it came to other nodes", e.LinesRead, e.Request)
}

const (
	longestLine = 1 << 20
	// contextTime is how long before the end of a request changes of belief count.
	contextTime = 3 * time.Second
	mostContext = 8
)

// Collector gathers the lines of one request. A Collector must be made with NewReader.
type Collector struct {
	request string
	read    int
	lines   []Line
	beliefs []Line
}

// NewCollector returns a reader for a request.
func NewCollector(request string) *Collector {
	return &Collector{request: request}
}

// AddLog takes in a log. Text before the first brace of a line, such as the prefix
// of a collector, is left out; lines that are no JSON are passed over.
func (r *Collector) AddLog(source string, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, longestLine)
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
		r.read++
		line.Source = source
		if prefix := strings.Fields(string(raw[:start])); len(prefix) > 0 {
			line.Source = prefix[len(prefix)-1]
		}
		r.take(line)
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%s: %w", source, err)
	}
	return nil
}

func (r *Collector) take(line Line) {
	switch {
	case line.Request == r.request || line.Parent == r.request:
		r.lines = append(r.lines, line)
	case line.Request == "" && line.Event != "":
		r.beliefs = append(r.beliefs, line)
	}
}

// Explain returns what was found. The error is a *NotFoundError.
func (r *Collector) Explain() (*Explanation, error) {
	if len(r.lines) == 0 {
		return nil, &NotFoundError{Request: r.request, LinesRead: r.read}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(r.lines, byTime)
	slices.SortStableFunc(r.beliefs, byTime)
	s := &Explanation{Request: r.request, Lines: r.lines}
	last := r.lines[len(r.lines)-1]
	for _, l := range r.lines {
		if l.Event == "callEnded" && l.Request == r.request {
			last = l
		}
	}
	for _, b := range r.beliefs {
		if b.Source == last.Source && !b.Time.After(last.Time) && last.Time.Sub(b.Time) <= contextTime {
			s.Context = append(s.Context, b)
		}
	}
	s.Context = s.Context[max(len(s.Context)-mostContext, 0):]
	s.Cause = s.cause()
	return s, nil
}

// cause finds the sentence for the request's end.
func (s *Explanation) cause() string {
	var ended, refused, run, child *Line
	for i := range s.Lines {
		l := &s.Lines[i]
		switch {
		case l.Parent == s.Request && l.Request != s.Request:
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
		return "The entry has not told how the request ended; the last that is known: " + s.Lines[len(s.Lines)-1].Event + "."
	}
	return sentence(ended, refused, run, child)
}

func sentence(ended, refused, run, child *Line) string {
	took := time.Duration(ended.DurationUs) * time.Microsecond
	if ended.Outcome == "done" {
		if ended.Status >= http.StatusInternalServerError {
			return failed(ended, run, child)
		}
		return fmt.Sprintf("The request was answered with %d after %s.", ended.Status, took)
	}
	text := ended.Detail
	switch ended.Reason {
	case "noRoute":
		return fmt.Sprintf("Refused: %s, in version %d of the bundle.", text, ended.Version)
	case "notReady":
		return "Refused: " + text + "."
	case "shed":
		if refused != nil {
			return fmt.Sprintf("Refused, not run: the gate of %s had %d of %d slots in use and %d calls waiting.",
				instanceOf(refused), refused.Running, refused.Limit, refused.Waiting)
		}
		return fmt.Sprintf("Refused at its entry, not run: %s.", text)
	case "deadline":
		if ended.Outcome == "notRun" {
			return fmt.Sprintf("Its time ran out after %s before a worker had room; it has not run.", took)
		}
		return fmt.Sprintf("Its time ran out after %s at the worker %s, which may have run it.", took, instanceOf(run))
	case "cancelled":
		return fmt.Sprintf("Its caller left after %s.", took)
	case "answerLost":
		return fmt.Sprintf("Worker %s was handed the request and its whole answer did not come back: %s.", instanceOf(run), text)
	}
	return fmt.Sprintf("It ended %s because of %s: %s.", ended.Outcome, orNone(ended.Reason), text)
}

// failed finds the sentence for an answer that tells of a failure.
func failed(ended, run, child *Line) string {
	took := time.Duration(ended.DurationUs) * time.Microsecond
	switch {
	case ended.Detail != "":
		return fmt.Sprintf("The worker %s answered %d after %s, since %s.", instanceOf(run), ended.Status, took, ended.Detail)
	case child != nil && child.Outcome == "done":
		return fmt.Sprintf("The worker answered %d after %s since its call %s to %s was answered %d.",
			ended.Status, took, child.Request, child.Service, child.Status)
	case child != nil:
		return fmt.Sprintf("The worker answered %d after %s since its call %s to %s ended %s because of %s (%s).",
			ended.Status, took, child.Request, child.Service, child.Outcome, orNone(child.Reason), child.Detail)
	}
	return fmt.Sprintf("The worker %s answered %d after %s: its own failure, or that of a call it made.", instanceOf(run), ended.Status, took)
}

func orNone(reason string) string {
	if reason == "" {
		return "its answer"
	}
	return reason
}

func instanceOf(l *Line) string {
	if l == nil || l.Instance == "" {
		return "(not logged)"
	}
	return l.Instance
}
