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

const (
	workerSlots     = 48
	heartbeatPeriod = 1500 * time.Millisecond
	ackTimeout      = time.Second
)

// execution is a request that a worker has begun to run.
type execution struct {
	id, service, instance, machine string
	// caller is the service from whose machine the request comes, as the worker is told.
	caller string
	at     time.Time
}

// worker is a stand-in of one incarnation of a worker.
type worker struct {
	t        *test
	m        *machine
	instance string
	born     int64
	server   *http.Server
	running  atomic.Int64
	leaving  atomic.Bool
	seq      atomic.Int64
	stop     context.CancelFunc
	ctx      context.Context

	mu    sync.Mutex
	state string // "ready", "draining", or "" if it sends no heartbeats.
}

// startWorker starts a worker at the machine's application address.
func (t *test) startWorker(m *machine, instance string) *worker {
	w := t.newWorker(m, instance)
	var l net.Listener
	var err error
	for range 50 { // The address may still be in use by the incarnation before.
		if l, err = net.Listen("tcp", m.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.sendHeartbeats()
	return w
}

func (t *test) newWorker(m *machine, instance string) *worker {
	w := &worker{t: t, m: m, instance: instance, born: time.Now().UnixMilli(), state: "ready"}
	w.ctx, w.stop = context.WithCancel(context.Background())
	t.recordf("worker start instance=%s machine=%s service=%s", instance, m.name, m.service)
	return w
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get("X-Zinniayoke-Request-Id")
	if id != "" {
		h.Set("X-Zinniayoke-Request-Id", id)
	}
	n := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set("X-Zinniayoke-Server-Load", fmt.Sprintf("%d,0,%d", n, workerSlots))
	if r.URL.Path == "/health" {
		h.Set("X-Zinniayoke-Instance-Id", w.instance)
		h.Set("X-Zinniayoke-Server-Load", fmt.Sprintf("%d,0,%d", n-1, workerSlots))
		if w.leaving.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("X-Zinniayoke-Expect-Instance"); expected != "" && expected != w.instance {
		h.Set("X-Zinniayoke-Instance-Id", w.instance)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || n > workerSlots {
		h.Set("X-Zinniayoke-Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if id == "" {
			status = http.StatusBadRequest
		}
		rw.WriteHeader(status)
		return
	}
	w.t.addExecution(execution{id: id, service: w.m.service, instance: w.instance, machine: w.m.name, caller: r.Header.Get("X-Zinniayoke-Caller-Service"), at: time.Now()})
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(w.t.workTime):
	case <-r.Context().Done():
		return
	}
	body := "answer to " + id
	h.Set("X-Zinniayoke-Response-Signature", "sig."+id)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(rw, body)
}

func (w *worker) sendHeartbeats() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		state := w.state
		w.mu.Unlock()
		if state != "" {
			w.call(http.MethodPut, w.heartbeat(state))
		}
		select {
		case <-time.After(heartbeatPeriod):
		case <-w.ctx.Done():
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat(state string) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldRemainingMs":0}}`,
		w.m.app, w.born, w.m.service, w.m.zone, workerSlots, state, w.seq.Add(1))
}

// call sends a call about this incarnation to the machine's node and reports whether it is
// acknowledged.
func (w *worker) call(method, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.m.control+"/-/instances/"+w.instance, strings.NewReader(body))
	must(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := freshClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// hold makes a heartbeat now, which says that the worker is ready, and delivers it after the
// delay.
func (w *worker) hold(delay time.Duration) {
	body := w.heartbeat("ready")
	w.t.recordf("heartbeat held up instance=%s delay=%s body=%s", w.instance, delay, body)
	time.AfterFunc(delay, func() {
		acked := w.call(http.MethodPut, body)
		w.t.recordf("heartbeat delivered late instance=%s acknowledged=%t body=%s", w.instance, acked, body)
	})
}

// setState changes what the heartbeats say; "" ends them.
func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// drain reports that the worker is draining until that is acknowledged, and returns when it was.
func (w *worker) drain() time.Time {
	w.leaving.Store(true)
	w.setState("draining")
	return w.untilAcked("draining", func() bool { return w.call(http.MethodPut, w.heartbeat("draining")) })
}

// delete sends DELETE until it is acknowledged, and returns when it was.
func (w *worker) delete() time.Time {
	w.leaving.Store(true)
	w.setState("")
	return w.untilAcked("DELETE", func() bool { return w.call(http.MethodDelete, "") })
}

func (w *worker) untilAcked(what string, call func() bool) time.Time {
	for w.ctx.Err() == nil {
		if call() {
			at := time.Now()
			w.t.recordf("acknowledged %s instance=%s", what, w.instance)
			return at
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}
}

// exit ends the worker.
func (w *worker) exit() {
	w.stop()
	_ = w.server.Close()
	w.t.recordf("worker exit instance=%s", w.instance)
}
