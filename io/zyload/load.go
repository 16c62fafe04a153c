// Package zyload generates open-loop load from many callers and checks the
// responses.
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

// Flow is a stream of calls of one caller to one path.
type Flow struct {
	Class   string
	Caller  string
	Token   string
	Method  string
	Service string
	Path    string
	// Rate is the mean number of calls per second.
	Rate float64
	// Keyed gives each call an idempotency key, the same for its retries.
	Keyed bool
	// MaxRetries is how often the caller retries a failed call.
	MaxRetries int
}

// Config configures a Generator.
type Config struct {
	// EntryAddresses are the caller addresses of the entry nodes.
	EntryAddresses []string
	Timeout        time.Duration
	// MaxInFlight bounds the calls in flight. Calls beyond it are dropped and not
	// counted.
	MaxInFlight int
}

const (
	intervalsPerSecond = 10
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	significantDigits  = 3
	unreachableBackoff = 2 * time.Second
)

// Generator sends the calls of flows and collects the results by class. It is safe
// for concurrent use. A Generator must be made with New.
type Generator struct {
	cfg      Config
	client   *http.Client
	inFlight chan struct{}
	start    time.Time

	mu            sync.Mutex
	classes       map[string]*classStats
	keyedOutcomes map[string]string
	// backoffUntil holds, for entry nodes that refused connections, the time until
	// which they are not used.
	backoffUntil map[string]time.Time
}

// classStats collects the results of the calls of one class.
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

// Result is the summary of one class of calls.
type Result struct {
	Class string `json:"class"`
	// Calls counts calls; a retry is not a call of its own.
	Calls     int `json:"sent"`
	Succeeded int `json:"whole"`
	// Sends counts all sends, including retries.
	Sends   int `json:"sends"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// Failed counts error responses of a worker.
	Failed         int `json:"failed"`
	WrongResponses int `json:"wrong"`
	MaxAttempts    int `json:"mostAttempts"`
	// Reasons counts the calls that did not succeed by the reason in the error
	// response; "" is a call that has none.
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

// Run sends the flows until ctx is done and waits for the calls in flight.
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

// runFlow starts calls as a Poisson process with the rate of the flow, whether or
// not earlier ones have ended.
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

// sendResult is the result of one send.
type sendResult struct {
	succeeded     bool
	wrongResponse bool
	outcome       string
	reason        string
	attempts      int
}

// sendWithRetries sends one call and retries it while it fails.
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
			// Without a key, each send is a separate request.
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
	result := sendResult{outcome: resp.Header.Get(zyweb.OutcomeHeader)}
	result.attempts, _ = strconv.Atoi(resp.Header.Get(zyweb.AttemptsHeader))
	if resp.StatusCode != http.StatusOK {
		result.reason = parseReason(raw)
		return result
	}
	var payload zystandin.Payload
	result.wrongResponse = json.Unmarshal(raw, &payload) != nil || payload.ID != id || payload.Caller != f.Caller
	result.succeeded = !result.wrongResponse
	return result
}

// sendToEntry sends a call to an entry node. A node that refuses the connection
// has received nothing, so it is safe to try another one; the node is not used for
// unreachableBackoff.
func (g *Generator) sendToEntry(f Flow, id string) (*http.Response, error) {
	for {
		entry, allUnreachable := g.pickEntry()
		req, err := g.newRequest(f, id, entry)
		if err != nil {
			return nil, err
		}
		resp, err := g.client.Do(req)
		var opErr *net.OpError
		if err == nil || allUnreachable || !errors.As(err, &opErr) || opErr.Op != "dial" {
			return resp, err //nolint:wrapcheck // Callers only count it.
		}
		g.mu.Lock()
		g.backoffUntil[entry] = time.Now().Add(unreachableBackoff)
		g.mu.Unlock()
	}
}

// pickEntry returns a random entry node that has not refused a connection recently.
// If all have, it returns any of them and true.
func (g *Generator) pickEntry() (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	reachable := make([]string, 0, len(g.cfg.EntryAddresses))
	for _, entry := range g.cfg.EntryAddresses {
		if now.After(g.backoffUntil[entry]) {
			reachable = append(reachable, entry)
		}
	}
	if len(reachable) == 0 {
		return g.cfg.EntryAddresses[rand.IntN(len(g.cfg.EntryAddresses))], true
	}
	return reachable[rand.IntN(len(reachable))], false
}

// parseReason returns the reason in an error response of a node, or "" for a
// response of a worker.
func parseReason(raw []byte) string {
	var response zyweb.ErrorResponse
	if json.Unmarshal(raw, &response) != nil || response.Error.Type == zinniayoke.ReasonNone {
		return ""
	}
	return response.Error.Type.String()
}

func (g *Generator) newRequest(f Flow, id, entry string) (*http.Request, error) {
	target := "http://" + entry + "/call/" + f.Service + f.Path
	var body []byte
	if f.Method == http.MethodGet {
		target += "?id=" + id + "&caller=" + f.Caller
	} else {
		encoded, err := json.Marshal(zystandin.Payload{ID: id, Caller: f.Caller})
		if err != nil {
			return nil, fmt.Errorf("encode body of call %s: %w", id, err)
		}
		body = encoded
	}
	req, err := http.NewRequest(f.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build call to %s: %w", target, err)
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

// record adds the result of the last send of a call, with the attempts of all its
// sends, to the results of its class.
func (g *Generator) record(f Flow, id string, start time.Time, sends int, last sendResult) {
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
	r.MaxAttempts = max(r.MaxAttempts, last.attempts)
	interval := int(start.Sub(g.start).Seconds() * intervalsPerSecond)
	for len(t.intervals) <= interval {
		t.intervals = append(t.intervals, Interval{})
	}
	t.intervals[interval].Sent++
	if f.Keyed {
		g.keyedOutcomes[id] = last.outcome
	}
	if !last.succeeded {
		r.Reasons[last.reason]++
	}
	switch {
	case last.wrongResponse:
		r.WrongResponses++
	case last.succeeded:
		r.Succeeded++
		t.intervals[interval].Done++
		_ = t.latency.RecordValue(time.Since(start).Microseconds())
	case last.outcome == "notRun":
		r.NotRun++
	case last.outcome == "done":
		r.Failed++
	default:
		r.Unknown++
	}
}

// Results returns the results so far by class.
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

// KeyedOutcomes returns the last outcome of each call with an idempotency key.
func (g *Generator) KeyedOutcomes() map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	outcomes := make(map[string]string, len(g.keyedOutcomes))
	for id, outcome := range g.keyedOutcomes {
		outcomes[id] = outcome
	}
	return outcomes
}

// ElapsedIntervals returns the number of tenths of a second since New.
func (g *Generator) ElapsedIntervals() int {
	return int(time.Since(g.start).Seconds() * intervalsPerSecond)
}

// RecoveryTime returns how long after the given interval the share of calls that
// succeed is back at the given share and stays there for half a second. It reports
// false if that does not happen.
func (g *Generator) RecoveryTime(from int, share float64) (time.Duration, bool) {
	const requiredIntervals = 5
	g.mu.Lock()
	defer g.mu.Unlock()
	consecutive := 0
	for interval := from; interval < g.intervalCount(); interval++ {
		sent, done := g.intervalTotals(interval)
		if sent > 0 && float64(done) < share*float64(sent) {
			consecutive = 0
			continue
		}
		consecutive++
		if consecutive == requiredIntervals {
			return time.Duration(interval-requiredIntervals+1-from) * time.Second / intervalsPerSecond, true
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

func (g *Generator) intervalTotals(interval int) (sent, done int) {
	for _, t := range g.classes {
		if interval < len(t.intervals) {
			sent += t.intervals[interval].Sent
			done += t.intervals[interval].Done
		}
	}
	return sent, done
}

// InFlight returns how many calls are in flight.
func (g *Generator) InFlight() int {
	return len(g.inFlight)
}

// Series returns how many calls began in each tenth of a second and how many of
// them succeeded.
func (g *Generator) Series() []Interval {
	g.mu.Lock()
	defer g.mu.Unlock()
	series := make([]Interval, g.intervalCount())
	for i := range series {
		series[i].Sent, series[i].Done = g.intervalTotals(i)
	}
	return series
}
