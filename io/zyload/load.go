// Package zyload sends calls as many callers would and checks what comes back.
package zyload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"zinniayoke"
	"zinniayoke/io/zystandin"
	"zinniayoke/io/zyweb"
)

// Flow is a stream of equal calls.
type Flow struct {
	Class   string
	Caller  string
	Token   string
	Method  string
	Service string
	Path    string
	// Rate is calls a second.
	Rate float64
	// Keyed gives each call an idempotency key, the same for its re-sends.
	Keyed bool
	// MaxRetries is how often the caller sends a call again that has failed.
	MaxRetries int
}

// Config configures a Generator.
type Config struct {
	// EntryAddresses are the addresses of caller ports.
	EntryAddresses []string
	Timeout        time.Duration
	// MaxInFlight bounds the calls under way.
	MaxInFlight int
}

const (
	intervalsPerSecond = 10
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	significantDigits  = 3
	unreachableBackoff = 2 * time.Second
)

// Generator sends flows and keeps the results by class. It may be used by
// several goroutines. A Generator must be made with New.
type Generator struct {
	cfg      Config
	client   *http.Client
	inFlight chan struct{}
	start    time.Time

	mu            sync.Mutex
	classes       map[string]*classStats
	keyedOutcomes map[string]string
	// backoffUntil holds entries that took no connections, and until when they rest.
	backoffUntil map[string]time.Time
}

// classStats sums up the calls of one class.
type classStats struct {
	result    Result
	latency   *hdrhistogram.Histogram
	intervals []Interval
}

// Interval counts the calls that began within one tenth of a second.
type Interval struct {
	Sent int
	Done int
}

// Result sums up one class.
type Result struct {
	Class string `json:"class"`
	// Calls counts calls; re-sends of a call are not calls of their own.
	Calls     int `json:"sent"`
	Succeeded int `json:"whole"`
	// Sends counts all sends, the re-sends included.
	Sends   int `json:"sends"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// Failed counts whole answers of a worker that say that it failed.
	Failed         int `json:"failed"`
	WrongResponses int `json:"wrong"`
	MaxAttempts    int `json:"mostAttempts"`
	// Reasons counts the calls without an answer by the reason that was told.
	Reasons map[string]int `json:"reasons"`
	P50     float64        `json:"p50Ms"`
	P99     float64        `json:"p99Ms"`
}

// New returns a generator.
func New(cfg Config) *Generator {
	return &Generator{
		cfg: cfg, inFlight: make(chan struct{}, cfg.MaxInFlight), start: time.Now(),
		client:  &http.Client{Timeout: cfg.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight}},
		classes: make(map[string]*classStats), keyedOutcomes: make(map[string]string), backoffUntil: make(map[string]time.Time),
	}
}

// Run sends the flows until ctx is done and waits for the calls under way.
func (g *Generator) Run(ctx context.Context, flows []Flow) {
	var active sync.WaitGroup
	for _, f := range flows {
		active.Add(1)
		go func() {
			defer active.Done()
			g.runFlow(ctx, f, &active)
		}()
	}
	active.Wait()
}

// runFlow starts calls at random times with the mean rate, whether or not
// earlier ones have ended.
func (g *Generator) runFlow(ctx context.Context, f Flow, active *sync.WaitGroup) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / f.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		select {
		case g.inFlight <- struct{}{}:
		default:
			continue
		}
		active.Add(1)
		go func() {
			defer active.Done()
			defer func() { <-g.inFlight }()
			g.sendWithRetries(f)
		}()
	}
}

// sendResult is how one send ended.
type sendResult struct {
	succeeded     bool
	wrongResponse bool
	outcome       string
	reason        string
	attempts      int
}

// sendWithRetries sends one sendWithRetries and, where it fails, its re-sends.
func (g *Generator) sendWithRetries(f Flow) {
	id := uuid.NewString()
	start := time.Now()
	sends, attempts := 0, 0
	var last sendResult
	for range 1 + f.MaxRetries {
		sends++
		last = g.send(f, id)
		if f.Keyed {
			attempts += last.attempts
		} else {
			// Without a key, each send is a request of its own.
			attempts = max(attempts, last.attempts)
		}
		if last.succeeded || last.wrongResponse {
			break
		}
	}
	last.attempts = attempts
	g.record(f, id, start, sends, last)
}

func (g *Generator) send(f Flow, id string) sendResult {
	resp, err := g.sendToEntry(f, id)
	if err != nil {
		return sendResult{outcome: "unknown"}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return sendResult{outcome: "unknown"}
	}
	o := sendResult{outcome: resp.Header.Get(zyweb.OutcomeHeader)}
	o.attempts, _ = strconv.Atoi(resp.Header.Get(zyweb.AttemptsHeader))
	if resp.StatusCode != http.StatusOK {
		o.reason = parseReason(raw)
		return o
	}
	var item zystandin.Payload
	o.wrongResponse = json.Unmarshal(raw, &item) != nil || item.ID != id || item.Caller != f.Caller
	o.succeeded = !o.wrongResponse
	return o
}

// sendToEntry sends a call to an entry. One that takes no connections was sent
// nothing, so another is tried, and it is left alone for a while.
func (g *Generator) sendToEntry(f Flow, id string) (*http.Response, error) {
	for {
		entry, last := g.pickEntry()
		req, err := g.newRequest(f, id, entry)
		if err != nil {
			return nil, err
		}
		resp, err := g.client.Do(req)
		var failure *net.OpError
		if err == nil || last || !errors.As(err, &failure) || failure.Op != "dial" {
			return resp, err //nolint:wrapcheck // It is counted, not shown.
		}
		g.mu.Lock()
		g.backoffUntil[entry] = time.Now().Add(unreachableBackoff)
		g.mu.Unlock()
	}
}

// pickEntry returns a random entry that is not known to be down. It reports
// true where none is known to be up.
func (g *Generator) pickEntry() (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	up := make([]string, 0, len(g.cfg.EntryAddresses))
	for _, entry := range g.cfg.EntryAddresses {
		if now.After(g.backoffUntil[entry]) {
			up = append(up, entry)
		}
	}
	if len(up) == 0 {
		return g.cfg.EntryAddresses[rand.IntN(len(g.cfg.EntryAddresses))], true
	}
	return up[rand.IntN(len(up))], false
}

// parseReason returns the type of a failure, "" for an answer of a worker.
func parseReason(raw []byte) string {
	var failure zyweb.ErrorResponse
	if json.Unmarshal(raw, &failure) != nil || failure.Error.Type == zinniayoke.ReasonNone {
		return ""
	}
	return failure.Error.Type.String()
}

func (g *Generator) newRequest(f Flow, id, entry string) (*http.Request, error) {
	target := "http://" + entry + "/call/" + f.Service + f.Path
	var body []byte
	if f.Method == http.MethodGet {
		target += "?id=" + id + "&caller=" + f.Caller
	} else {
		encoded, err := json.Marshal(zystandin.Payload{ID: id, Caller: f.Caller})
		if err != nil {
			return nil, fmt.Errorf("call: %w", err)
		}
		body = encoded
	}
	req, err := http.NewRequest(f.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	if f.Token != "" {
		req.Header.Set("Authorization", "Bearer "+f.Token)
	} else {
		req.Header.Set(zyweb.CallerHeader, f.Caller)
	}
	if f.Keyed {
		req.Header.Set(zyweb.KeyHeader, id)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (g *Generator) record(f Flow, id string, start time.Time, sends int, o sendResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.classes[f.Class]
	if !ok {
		t = &classStats{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
		t.result.Class = f.Class
		t.result.Reasons = make(map[string]int)
		g.classes[f.Class] = t
	}
	r := &t.result
	r.Calls++
	r.Sends += sends
	r.MaxAttempts = max(r.MaxAttempts, o.attempts)
	slot := int(start.Sub(g.start).Seconds() * intervalsPerSecond)
	for len(t.intervals) <= slot {
		t.intervals = append(t.intervals, Interval{})
	}
	t.intervals[slot].Sent++
	if f.Keyed {
		g.keyedOutcomes[id] = o.outcome
	}
	if !o.succeeded {
		r.Reasons[o.reason]++
	}
	switch {
	case o.wrongResponse:
		r.WrongResponses++
	case o.succeeded:
		r.Succeeded++
		t.intervals[slot].Done++
		_ = t.latency.RecordValue(time.Since(start).Microseconds())
	case o.outcome == "notRun":
		r.NotRun++
	case o.outcome == "done":
		r.Failed++
	default:
		r.Unknown++
	}
}

// Results returns what each class has come to.
func (g *Generator) Results() map[string]Result {
	const perMillisecond, median, tail = 1000, 50, 99
	g.mu.Lock()
	defer g.mu.Unlock()
	results := make(map[string]Result, len(g.classes))
	for class, t := range g.classes {
		r := t.result
		r.P50 = float64(t.latency.ValueAtQuantile(median)) / perMillisecond
		r.P99 = float64(t.latency.ValueAtQuantile(tail)) / perMillisecond
		results[class] = r
	}
	return results
}

// KeyedOutcomes returns the last outcome of each call with a key.
func (g *Generator) KeyedOutcomes() map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	booked := make(map[string]string, len(g.keyedOutcomes))
	for id, text := range g.keyedOutcomes {
		booked[id] = text
	}
	return booked
}

// ElapsedIntervals returns the tenths of a second since the generator was made.
func (g *Generator) ElapsedIntervals() int {
	return int(time.Since(g.start).Seconds() * intervalsPerSecond)
}

// RecoveryTime returns how long after the given slot the share of whole answers
// came back to the given share for half a second. It returns false where it did
// not.
func (g *Generator) RecoveryTime(from int, share float64) (time.Duration, bool) {
	const lasting = 5
	g.mu.Lock()
	defer g.mu.Unlock()
	good := 0
	for slot := from; slot < g.intervalCount(); slot++ {
		sent, done := g.intervalTotals(slot)
		if sent > 0 && float64(done) < share*float64(sent) {
			good = 0
			continue
		}
		good++
		if good == lasting {
			return time.Duration(slot-lasting+1-from) * time.Second / intervalsPerSecond, true
		}
	}
	return 0, false
}

func (g *Generator) intervalCount() int {
	longest := 0
	for _, t := range g.classes {
		longest = max(longest, len(t.intervals))
	}
	return longest
}

func (g *Generator) intervalTotals(slot int) (sent, done int) {
	for _, t := range g.classes {
		if slot < len(t.intervals) {
			sent += t.intervals[slot].Sent
			done += t.intervals[slot].Done
		}
	}
	return sent, done
}

// InFlight returns how many calls are under way.
func (g *Generator) InFlight() int {
	return len(g.inFlight)
}

// Series returns the calls that began in each tenth of a second and how many of
// them had a whole answer.
func (g *Generator) Series() []Interval {
	g.mu.Lock()
	defer g.mu.Unlock()
	series := make([]Interval, g.intervalCount())
	for i := range series {
		series[i].Sent, series[i].Done = g.intervalTotals(i)
	}
	return series
}
