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

// ChildCall is a call that a worker makes while it runs one.
type ChildCall struct {
	Method  string
	Service zinniayoke.Service
	Path    string
}

// Action is what a worker does for one path.
type Action struct {
	// MeanServiceTime is the mean time that a slot is busy.
	MeanServiceTime time.Duration
	ChildCalls      []ChildCall
	// CountRuns is true for paths whose runs are counted by the item in the body.
	CountRuns bool
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	Service        zinniayoke.Service
	Slots          int
	MaxConnections int
	// Actions by method and path, such as "POST /orders".
	Actions map[string]Action
	// Node holds the addresses of the node on the same host.
	NodeCallerAddress   string
	NodeUpstreamAddress string
	// Address is where the worker listens.
	Address string
}

// Payload is the body of a request and of its answer.
type Payload struct {
	ID     string `json:"id"`
	Caller string `json:"caller"`
}

// Worker is a stand-in for one upstream. It has slots and a queue of its own,
// and counts what it runs. A Worker must be made with NewWorker.
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

// SetServiceTimePercent makes every run take percent of its usual time.
func (w *Worker) SetServiceTimePercent(percent int64) {
	w.serviceTimePercent.Store(percent)
}

// SetState changes what the worker announces.
func (w *Worker) SetState(s zinniayoke.WorkerState) {
	w.state.Store(int32(s))
}

// RunCounts returns how often each counted item has run.
func (w *Worker) RunCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runCounts))
	for id, n := range w.runCounts {
		runs[id] = n
	}
	return runs
}

// BusyTime returns for how long slots were busy in sum.
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
	var item Payload
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &item); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if item.ID == "" {
		item = Payload{ID: r.URL.Query().Get("id"), Caller: r.URL.Query().Get("caller")}
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	if action.CountRuns {
		w.countRun(item.ID)
	}
	if !w.occupySlot(r.Context(), action) {
		return
	}
	for _, child := range action.ChildCalls {
		if err := w.callChild(r, child, item); err != nil {
			http.Error(rw, err.Error(), http.StatusBadGateway)
			return
		}
	}
	writeJSON(rw, item)
}

// occupySlot takes the time of the action. It reports false where the caller left.
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

// serviceTime varies by a fifth around the mean.
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

// ChildCallError says that a child call had no whole answer.
type ChildCallError struct {
	Service zinniayoke.Service
	Status  int
}

// Error names the service and the status.
func (e *ChildCallError) Error() string {
	return fmt.Sprintf("child call to %s: status %d", e.Service, e.Status)
}

func (w *Worker) callChild(r *http.Request, child ChildCall, item Payload) error {
	target := "http://" + w.cfg.NodeCallerAddress + "/call/" + string(child.Service) + child.Path
	var body []byte
	if child.Method == http.MethodGet {
		target += "?id=" + item.ID + "&caller=" + item.Caller
	} else {
		encoded, err := json.Marshal(item)
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

// Announce tells the node about the worker once.
func (w *Worker) Announce(ctx context.Context) error {
	body, err := json.Marshal(zyingress.Announcement{
		Service: w.cfg.Service, Address: w.cfg.Address, Slots: w.cfg.Slots, Connections: w.cfg.MaxConnections,
		State: zinniayoke.WorkerState(w.state.Load()), Incarnation: w.incarnation,
	})
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.cfg.NodeUpstreamAddress+"/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
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
