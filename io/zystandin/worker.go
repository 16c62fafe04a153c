package zystandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyingress"
	"zinniayoke/io/zyworker"
)

// ChildCall is a call that a worker makes while it runs another.
type ChildCall struct {
	Method  string
	Service zinniayoke.Service
	Path    string
}

// Action describes how a worker runs the calls of one method and path.
type Action struct {
	// MeanServiceTime is the mean time that a call occupies a slot before its
	// child calls.
	MeanServiceTime time.Duration
	ChildCalls      []ChildCall
	// CountRuns counts the runs by the ID of the payload.
	CountRuns bool
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	Service        zinniayoke.Service
	Slots          int
	MaxConnections int
	// Actions by method and path, for example "POST /orders".
	Actions map[string]Action
	// NodeCallerAddress and NodeUpstreamAddress are ports of the node on the same
	// host: the one for child calls and the one for announcements.
	NodeCallerAddress   string
	NodeUpstreamAddress string
	// Address is where the worker listens.
	Address string
}

// Payload is the body of a request and of its response.
type Payload struct {
	ID     string `json:"id"`
	Caller string `json:"caller"`
}

// Worker is a stand-in for one worker of a service. It runs as many calls at once
// as it has slots, queues the others and counts its runs. A Worker must be made with
// NewWorker.
type Worker struct {
	cfg                WorkerConfig
	slots              chan struct{}
	client             *http.Client
	state              atomic.Int32
	serviceTimePercent atomic.Int64
	incarnation        zinniayoke.Incarnation

	mu        sync.Mutex
	runCounts map[string]int
	busyNanos atomic.Int64
}

const (
	announcePeriod = 1 * time.Second
	childTimeout   = 10 * time.Second
	normalPercent  = 100
)

// NewWorker returns a worker in the serving state.
func NewWorker(cfg WorkerConfig) *Worker {
	w := &Worker{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots), runCounts: make(map[string]int),
		incarnation: zinniayoke.Incarnation(time.Now().UnixNano()),
		client: &http.Client{Timeout: childTimeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: cfg.MaxConnections, MaxConnsPerHost: cfg.MaxConnections,
		}},
	}
	w.state.Store(int32(zinniayoke.WorkerServing))
	w.serviceTimePercent.Store(normalPercent)
	return w
}

// SetServiceTimePercent makes every run take percent of its normal time.
func (w *Worker) SetServiceTimePercent(percent int64) {
	w.serviceTimePercent.Store(percent)
}

// SetState changes the state that the worker announces.
func (w *Worker) SetState(s zinniayoke.WorkerState) {
	w.state.Store(int32(s))
}

// RunCounts returns how often each counted payload ID has run.
func (w *Worker) RunCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runCounts))
	for id, n := range w.runCounts {
		runs[id] = n
	}
	return runs
}

// BusyTime returns the total time that slots were busy, without child calls.
func (w *Worker) BusyTime() time.Duration {
	return time.Duration(w.busyNanos.Load())
}

// ServeHTTP runs one call.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	action, ok := w.cfg.Actions[r.Method+" "+r.URL.Path]
	if !ok {
		http.NotFound(rw, r)
		return
	}
	var payload Payload
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &payload); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if payload.ID == "" {
		payload = Payload{ID: r.URL.Query().Get("id"), Caller: r.URL.Query().Get("caller")}
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	if action.CountRuns {
		w.countRun(payload.ID)
	}
	if !w.occupySlot(r.Context(), action) {
		return
	}
	for _, child := range action.ChildCalls {
		if err := w.callChild(r, child, payload); err != nil {
			http.Error(rw, err.Error(), http.StatusBadGateway)
			return
		}
	}
	writeJSON(rw, payload)
}

// occupySlot waits for the service time of the action. It reports false if the
// caller cancelled the request.
func (w *Worker) occupySlot(ctx context.Context, action Action) bool {
	start := time.Now()
	defer func() { w.busyNanos.Add(int64(time.Since(start))) }()
	timer := time.NewTimer(w.serviceTime(action))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceTime returns a random time within 20 % of the mean.
func (w *Worker) serviceTime(action Action) time.Duration {
	const low, spread = 0.8, 0.4
	factor := (low + spread*rand.Float64()) * float64(w.serviceTimePercent.Load()) / normalPercent
	return time.Duration(float64(action.MeanServiceTime) * factor)
}

func (w *Worker) countRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runCounts[id]++
}

// ChildCallError reports a child call that did not return status 200, or an
// announcement that did not return status 204.
type ChildCallError struct {
	Service zinniayoke.Service
	Status  int
}

// Error names the service and the status.
func (e *ChildCallError) Error() string {
	return fmt.Sprintf("child call to %s: status %d", e.Service, e.Status)
}

func (w *Worker) callChild(r *http.Request, child ChildCall, payload Payload) error {
	target := "http://" + w.cfg.NodeCallerAddress + "/call/" + string(child.Service) + child.Path
	var body []byte
	if child.Method == http.MethodGet {
		target += "?id=" + payload.ID + "&caller=" + payload.Caller
	} else {
		encoded, err := json.Marshal(payload)
		if err != nil {
			return fmt.Errorf("child call: %w", err)
		}
		body = encoded
	}
	req, err := http.NewRequestWithContext(r.Context(), child.Method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("child call: %w", err)
	}
	req.Header.Set(zyworker.ContextHeader, r.Header.Get(zyworker.ContextHeader))
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return fmt.Errorf("child call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("child call: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return &ChildCallError{Service: child.Service, Status: resp.StatusCode}
	}
	return nil
}

// Announce announces the worker to the node once.
func (w *Worker) Announce(ctx context.Context) error {
	body, err := json.Marshal(zyingress.Announcement{
		Service: w.cfg.Service, Address: w.cfg.Address, Slots: w.cfg.Slots, Connections: w.cfg.MaxConnections,
		State: zinniayoke.WorkerState(w.state.Load()), Incarnation: w.incarnation,
	})
	if err != nil {
		return fmt.Errorf("encode announcement of %s: %w", w.cfg.Service, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.cfg.NodeUpstreamAddress+"/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build announcement to %s: %w", w.cfg.NodeUpstreamAddress, err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return fmt.Errorf("send announcement to %s: %w", w.cfg.NodeUpstreamAddress, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return &ChildCallError{Service: w.cfg.Service, Status: resp.StatusCode}
	}
	return nil
}

// KeepAnnouncing announces the worker each second until ctx is done.
func (w *Worker) KeepAnnouncing(ctx context.Context) {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		_ = w.Announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
