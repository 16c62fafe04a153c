package zylogger

import (
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"zinniayoke"
)

const (
	// sampleOf is the number of calls of which one is followed on all nodes.
	sampleOf = 64
	// linesPerSecond bounds the lines of one kind, reason and status. A line takes
	// 1.5 us (BenchmarkJournalLine), so that a surge of refusals costs next to nothing.
	linesPerSecond = 40
	lineBurst      = 80
	reportPeriod   = 5 * time.Second
)

// EventLog is a zinniayoke.EventRecorder that writes JSON lines. Calls that went well
// are sampled by their id, the same ones on all nodes; of each other kind and
// reason, a bounded number a second is written. A EventLog must be made with
// NewJournal.
type EventLog struct {
	out io.Writer

	mu      sync.Mutex
	limits  map[limitKey]*limit
	left    int64
	dropped func() int64
	report  time.Time
}

type limitKey struct {
	kind   zinniayoke.EventKind
	reason zinniayoke.Reason
	status int
}

type limit struct {
	*rate.Limiter
}

// NewEventLog returns a journal. Dropped tells how many lines the output lost.
func NewEventLog(out io.Writer, dropped func() int64) *EventLog {
	return &EventLog{out: out, limits: make(map[limitKey]*limit), dropped: dropped, report: time.Now()}
}

// Record writes the event if it is sampled or its kind is within its limit.
func (j *EventLog) Record(e *zinniayoke.Event) {
	now := time.Now()
	if e.Request != "" && !failed(e) && !Sampled(e.Request) {
		return
	}
	if !j.allow(now, e) {
		return
	}
	_, _ = j.out.Write(appendEvent(nil, now, e)) // The writer counts what it drops.
}

// Sampled reports whether all lines of a request are kept.
func Sampled(id zinniayoke.RequestID) bool {
	return xxhash.Sum64String(string(id))%sampleOf == 0
}

func failed(e *zinniayoke.Event) bool {
	const serverFault = 500
	return e.Reason != zinniayoke.ReasonNone || e.Status >= serverFault
}

// allow takes a line from the limit of its kind, and now and then reports how
// many lines were left out.
func (j *EventLog) allow(now time.Time, e *zinniayoke.Event) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Sub(j.report) >= reportPeriod && (j.left > 0 || j.dropped() > 0) {
		j.report = now
		line := `{"time":"` + now.UTC().Format(time.RFC3339Nano) + `","event":"linesLeftOut","overLimit":` +
			strconv.FormatInt(j.left, 10) + `,"droppedInAll":` + strconv.FormatInt(j.dropped(), 10) + "}\n"
		j.left = 0
		_, _ = j.out.Write([]byte(line))
	}
	if e.Request == "" || Sampled(e.Request) {
		return true
	}
	key := limitKey{kind: e.Kind, reason: e.Reason, status: e.Status}
	l, ok := j.limits[key]
	if !ok {
		l = &limit{rate.NewLimiter(linesPerSecond, lineBurst)}
		j.limits[key] = l
	}
	if !l.AllowN(now, 1) {
		j.left++
		return false
	}
	return true
}

// appendEvent writes an event as one line. Its field names are listed in
// docs/OPERATORS.md.
func appendEvent(b []byte, now time.Time, e *zinniayoke.Event) []byte {
	b = append(b, `{"time":"`...)
	b = now.UTC().AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","event":"`...)
	b = append(b, e.Kind.String()...)
	b = append(b, '"')
	b = appendText(b, "request", string(e.Request))
	b = appendText(b, "parent", string(e.Parent))
	b = appendText(b, "attempt", string(e.Attempt))
	b = appendText(b, "route", string(e.Route))
	b = appendText(b, "service", string(e.Service))
	b = appendText(b, "node", string(e.Node))
	b = appendText(b, "instance", string(e.Instance))
	if e.Request != "" {
		b = appendText(b, "outcome", e.Outcome.String())
	}
	if e.Reason != zinniayoke.ReasonNone {
		b = appendText(b, "reason", e.Reason.String())
	}
	b = appendNumber(b, "version", int64(e.Version))
	b = appendNumber(b, "rank", int64(e.Rank))
	b = appendNumber(b, "threshold", int64(e.Threshold))
	b = appendNumber(b, "depth", int64(e.Depth))
	b = appendNumber(b, "status", int64(e.Status))
	b = appendNumber(b, "leftMs", e.TimeLeft.Milliseconds())
	b = appendNumber(b, "waitedUs", e.QueueTime.Microseconds())
	b = appendNumber(b, "tookUs", e.Duration.Microseconds())
	b = appendNumber(b, "limit", int64(e.Limit))
	b = appendNumber(b, "running", int64(e.Running))
	b = appendNumber(b, "waiting", int64(e.Waiting))
	if e.WillRetry {
		b = append(b, `,"again":true`...)
	}
	b = appendText(b, "detail", e.Detail)
	return append(b, "}\n"...)
}

func appendText(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, `,"`...)
	b = append(b, name...)
	b = append(b, `":`...)
	raw, err := json.Marshal(value)
	if err != nil {
		return append(b, `""`...) // A string always encodes.
	}
	return append(b, raw...)
}

func appendNumber(b []byte, name string, value int64) []byte {
	if value == 0 {
		return b
	}
	b = append(b, `,"`...)
	b = append(b, name...)
	b = append(b, `":`...)
	return strconv.AppendInt(b, value, 10)
}
