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
	// sampleInterval is the number of requests of which one is sampled: all nodes write
	// all lines of a sampled request.
	sampleInterval = 64
	// maxLinesPerSecond limits the lines with the same kind, reason and status. A line
	// takes 1.5 us (BenchmarkEventLogWritten), so the cost of a surge of refusals is
	// negligible.
	maxLinesPerSecond = 40
	lineBurst         = 80
	reportPeriod      = 5 * time.Second
)

// EventLog implements zinniayoke.EventRecorder and writes events as JSON lines. Events of
// successful requests are written only if the request is sampled; the sample depends on
// the request ID, so it is the same on all nodes. Events of failed requests that are not
// sampled are limited by rate for each kind, reason and status, and so are the notices of
// a worker, which may come with each response. Other events without a request are always
// written. An EventLog must be created with NewEventLog.
type EventLog struct {
	out io.Writer

	mu         sync.Mutex
	limiters   map[limiterKey]*lineLimiter
	suppressed int64
	dropped    func() int64
	lastReport time.Time
	// droppedReported is what dropped returned at the last report.
	droppedReported int64
}

type limiterKey struct {
	kind   zinniayoke.EventKind
	reason zinniayoke.Reason
	status int
}

type lineLimiter struct {
	*rate.Limiter
}

// NewEventLog returns an EventLog that writes to out. The function dropped returns how
// many lines out has dropped so far.
func NewEventLog(out io.Writer, dropped func() int64) *EventLog {
	return &EventLog{out: out, limiters: make(map[limiterKey]*lineLimiter), dropped: dropped, lastReport: time.Now()}
}

// Record writes the event unless sampling or the rate limit excludes it.
func (l *EventLog) Record(e *zinniayoke.Event) {
	now := time.Now()
	if e.Request != "" && !isFailure(e) && !Sampled(e.Request) {
		return
	}
	if !l.allow(now, e) {
		return
	}
	_, _ = l.out.Write(appendEvent(nil, now, e)) // The writer counts the lines that it drops.
}

// Sampled reports whether all events of a request are written.
func Sampled(id zinniayoke.RequestID) bool {
	return xxhash.Sum64String(string(id))%sampleInterval == 0
}

// isFailure reports whether the event is of a failure. A call that a busy worker's node sends
// back goes to another worker.
func isFailure(e *zinniayoke.Event) bool {
	const serverFault = 500
	refused := e.Reason != zinniayoke.ReasonNone && e.Reason != zinniayoke.ReasonBusy
	return refused || e.Status >= serverFault
}

// allow reports whether the event is sampled or within its rate limit. At most once
// per reportPeriod it also writes how many lines were suppressed or dropped.
func (l *EventLog) allow(now time.Time, e *zinniayoke.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if dropped := l.dropped(); now.Sub(l.lastReport) >= reportPeriod && (l.suppressed > 0 || dropped > l.droppedReported) {
		l.lastReport, l.droppedReported = now, dropped
		line := `{"time":"` + now.UTC().Format(time.RFC3339Nano) + `","event":"linesLeftOut","overLimit":` +
			strconv.FormatInt(l.suppressed, 10) + `,"droppedInAll":` + strconv.FormatInt(dropped, 10) + "}\n"
		l.suppressed = 0
		_, _ = l.out.Write([]byte(line))
	}
	if e.Request == "" && e.Kind != zinniayoke.EventWorkerNotice || e.Request != "" && Sampled(e.Request) {
		return true
	}
	key := limiterKey{kind: e.Kind, reason: e.Reason, status: e.Status}
	limiter, ok := l.limiters[key]
	if !ok {
		limiter = &lineLimiter{rate.NewLimiter(maxLinesPerSecond, lineBurst)}
		l.limiters[key] = limiter
	}
	if !limiter.AllowN(now, 1) {
		l.suppressed++
		return false
	}
	return true
}

// appendEvent appends an event as one JSON line. The fields are documented in
// docs/OPERATIONS.md.
func appendEvent(b []byte, now time.Time, e *zinniayoke.Event) []byte {
	b = append(b, `{"time":"`...)
	b = now.UTC().AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","event":"`...)
	b = append(b, e.Kind.String()...)
	b = append(b, '"')
	b = appendString(b, "request", string(e.Request))
	b = appendString(b, "parent", string(e.Parent))
	b = appendString(b, "attempt", string(e.Attempt))
	b = appendString(b, "route", string(e.Route))
	b = appendString(b, "service", string(e.Service))
	b = appendString(b, "customer", string(e.Customer))
	b = appendString(b, "node", string(e.Node))
	b = appendString(b, "instance", string(e.Instance))
	if e.Request != "" {
		b = appendString(b, "outcome", e.Outcome.String())
	}
	if e.Reason != zinniayoke.ReasonNone {
		b = appendString(b, "reason", e.Reason.String())
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
	if e.RateLimit != nil {
		b = append(b, `,"rateLimit":`...)
		b = appendRate(b, *e.RateLimit)
	}
	if e.DeliveryRate > 0 {
		b = append(b, `,"deliveryRate":`...)
		b = appendRate(b, e.DeliveryRate)
	}
	if e.Leaving {
		b = append(b, `,"leaving":true`...)
	}
	if e.WillRetry {
		b = append(b, `,"again":true`...)
	}
	if e.Resent {
		b = append(b, `,"resent":true`...)
	}
	if e.InRepeatedRun {
		b = append(b, `,"inRepeatedRun":true`...)
	}
	if e.Kind == zinniayoke.EventRetryBudget {
		b = appendNumber(b, "firstSends", int64(e.FirstSends))
		b = appendNumber(b, "retries", int64(e.Retries))
		b = append(b, `,"retriesAllowed":`...)
		b = appendRate(b, zinniayoke.Rate(e.RetriesAllowed))
		b = appendNumber(b, "hosts", int64(e.Hosts))
	}
	b = appendString(b, "detail", e.Detail)
	return append(b, "}\n"...)
}

func appendString(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, `,"`...)
	b = append(b, name...)
	b = append(b, `":`...)
	raw, err := json.Marshal(value)
	if err != nil {
		return append(b, `""`...) // Unreachable: a string always encodes.
	}
	return append(b, raw...)
}

// appendRate appends a rate with two decimal places.
func appendRate(b []byte, rate zinniayoke.Rate) []byte {
	const decimals, bits = 2, 64
	return strconv.AppendFloat(b, float64(rate), 'f', decimals, bits)
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
