package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// headTime is how long the head of a request may take.
const headTime = 10 * time.Second

// worker is a worker that does what the pages say.
type worker struct {
	rec      *record
	instance string
	service  string
	address  string
	born     int64
	server   *http.Server
	running  atomic.Int64

	// handle returns the status and the body of the answer to a request that it runs; nil
	// answers 200.
	handle func(r *http.Request, id string) (int, string)

	mu    sync.Mutex
	state string
	seq   uint64
	runs  map[string]int
	// callers holds the service that is named as the caller of each request.
	callers map[string]string
	// beatStatus is the status of the answer to the last heartbeat.
	beatStatus int
}

// newWorker starts a worker.
func newWorker(rec *record, instance, service, address string) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("worker: %w", err)
	}
	w := &worker{
		rec: rec, instance: instance, service: service, address: address, born: time.Now().UnixMilli(), state: "ready",
		runs: make(map[string]int), callers: make(map[string]string),
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: headTime}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

func (w *worker) close() {
	_ = w.server.Close()
}

// ServeHTTP runs a request, or answers a health check.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Zinniayoke-Instance-Id", w.instance)
		h.Set("X-Zinniayoke-Server-Load", w.load())
		if w.currentState() != "ready" {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Zinniayoke-Request-Id")
	h.Set("X-Zinniayoke-Request-Id", id)
	if expected := r.Header.Get("X-Zinniayoke-Expect-Instance"); expected != "" && expected != w.instance {
		h.Set("X-Zinniayoke-Instance-Id", w.instance)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.runs[id]++
	caller := r.Header.Get("X-Zinniayoke-Caller-Service")
	w.callers[id] = caller
	w.mu.Unlock()
	w.running.Add(1)
	defer w.running.Add(-1)
	w.rec.addf("worker %s (%s) runs %s %s %s of %q (%d bytes)", w.instance, w.service, id, r.Method, r.RequestURI, caller, len(body))
	status, text := http.StatusOK, "answer to "+id
	if w.handle != nil {
		status, text = w.handle(r, id)
	}
	if r.Context().Err() != nil {
		w.rec.addf("worker %s drops %s, whose connection has closed", w.instance, id)
		return
	}
	w.rec.addf("worker %s answers %s with %d", w.instance, id, status)
	h.Set("X-Zinniayoke-Response-Signature", "sig."+id)
	h.Set("X-Zinniayoke-Server-Load", w.load())
	h.Set("Content-Length", fmt.Sprint(len(text)))
	out.WriteHeader(status)
	_, _ = io.WriteString(out, text) //nolint:gosec // The client is part of the test.
}

func (w *worker) load() string {
	return fmt.Sprintf("%d,0,%d", min(w.running.Load(), slots), slots)
}

func (w *worker) currentState() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// runCount returns how often the worker began to work on the request.
func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// callerOf returns the service that was named as the caller of a request that the worker has run.
func (w *worker) callerOf(id string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	caller, ok := w.callers[id]
	return caller, ok
}

// announce sends heartbeats until stop is closed.
func (w *worker) announce(control string, stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		w.sendHeartbeat(control)
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// sendHeartbeat sends the next heartbeat and reports whether it was acknowledged.
func (w *worker) sendHeartbeat(control string) bool {
	w.mu.Lock()
	w.seq++
	body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":"z","slots":%d},"status":{"state":%q,"seq":%d,"coldRemainingMs":0},"born":%d}`,
		w.address, w.service, slots, w.state, w.seq, w.born)
	w.mu.Unlock()
	status := putHeartbeat(control, w.instance, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beatStatus = status
	return status == http.StatusOK
}

// lastStatus returns the status of the answer to the last heartbeat.
func (w *worker) lastStatus() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.beatStatus
}

// putHeartbeat sends a heartbeat and returns the status of the answer, 0 if there is none.
func putHeartbeat(control, instance, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/-/instances/"+instance, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
