package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a worker has read.
type arrival struct {
	id      string
	at      time.Time
	bodyLen int
	ran     bool
	caller  string
}

// worker is a stand-in of an application worker.
type worker struct {
	id, service, address, zone string
	slots                      int
	born                       int64
	healthPath                 string
	// control is where the node beside the worker takes heartbeats.
	control string
	// work is how long a request takes.
	work func(r *http.Request) time.Duration
	// before returns bytes that are written before the answer to a request; nil means none.
	before func(conn *workerConn, id string) []byte
	// answered is called after an answer was written; it may be nil.
	answered func(conn *workerConn, id string)

	seq      atomic.Int64
	leaving  atomic.Bool
	silent   atomic.Bool // sends no more heartbeats
	crashed  atomic.Bool
	running  atomic.Int64
	listener net.Listener
	done     chan struct{}

	mu       sync.Mutex
	arrivals []arrival
	// ended is when the answer to a request was written.
	ended map[string]time.Time
	conns map[net.Conn]bool
}

// workerConn is a connection of a worker.
type workerConn struct {
	net.Conn
	// stray holds bytes that belong to no request and are still to be sent.
	stray []byte
}

// start listens at the address of the worker, which may be left open.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = freeAddress()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener, w.address, w.born = l, l.Addr().String(), time.Now().UnixMilli()
	w.done, w.conns, w.ended = make(chan struct{}), make(map[net.Conn]bool), make(map[string]time.Time)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
	return nil
}

// exit ends the worker and its connections.
func (w *worker) exit() {
	w.silent.Store(true)
	close(w.done)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// signature is the value of X-Zinniayoke-Response-Signature in the answer to a request.
func (w *worker) signature(id string) string { return w.id + "." + id }

// answerBody is the whole body of the answer to a request.
func (w *worker) answerBody(id string) string { return "answer of " + w.id + " to " + id }

func (w *worker) serve(raw net.Conn) {
	conn := &workerConn{Conn: raw}
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, raw)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		if !w.respond(conn, req, int(n)) {
			return
		}
	}
}

// respond answers a request and reports whether the connection stays open.
func (w *worker) respond(conn *workerConn, req *http.Request, bodyLen int) bool {
	id := req.Header.Get("X-Zinniayoke-Request-Id")
	load := func() string { return fmt.Sprintf("X-Zinniayoke-Server-Load: %d,0,%d\r\n", w.running.Load(), w.slots) }
	switch {
	case req.Method == http.MethodGet && req.URL.Path == w.healthPath:
		status := "200 OK"
		if w.leaving.Load() {
			status = "503 Service Unavailable"
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Zinniayoke-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, w.id, load())
		return err == nil
	case id == "":
		_, err := fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nX-Zinniayoke-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", load())
		return err == nil
	}
	expected := req.Header.Get("X-Zinniayoke-Expect-Instance")
	a := arrival{id: id, at: time.Now(), bodyLen: bodyLen, ran: expected == "" || expected == w.id, caller: req.Header.Get("X-Zinniayoke-Caller-Service")}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	if !a.ran {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Zinniayoke-Request-Id: %s\r\nX-Zinniayoke-Instance-Id: %s\r\nX-Zinniayoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, w.id)
		return err == nil
	}
	w.running.Add(1)
	work := 20 * time.Millisecond
	if w.work != nil {
		work = w.work(req)
	}
	select {
	case <-time.After(work):
	case <-w.done:
		w.running.Add(-1)
		return false
	}
	w.running.Add(-1)
	var out []byte
	if w.before != nil {
		out = w.before(conn, id)
	}
	body := w.answerBody(id)
	closing := ""
	if w.leaving.Load() {
		closing = "Connection: close\r\n"
	}
	out = append(out, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Zinniayoke-Request-Id: %s\r\nX-Zinniayoke-Response-Signature: %s\r\n%s%sContent-Length: %d\r\n\r\n%s",
		id, w.signature(id), load(), closing, len(body), body)...)
	if _, err := conn.Write(out); err != nil {
		return false
	}
	w.mu.Lock()
	w.ended[id] = time.Now()
	w.mu.Unlock()
	if w.answered != nil {
		w.answered(conn, id)
	}
	return closing == ""
}

// received returns the requests that the worker has read.
func (w *worker) received() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// endOf returns when the worker had written its answer to a request.
func (w *worker) endOf(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.ended[id]
	return at, ok
}

var platformClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// heartbeat returns the next heartbeat as a request.
func (w *worker) heartbeat(state string) *http.Request {
	body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldRemainingMs":0},"born":%d}`,
		w.address, w.service, w.zone, w.slots, state, w.seq.Add(1), w.born)
	req, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/-/instances/"+w.id, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	return req
}

// call sends a heartbeat or a DELETE and returns the status, 0 for no answer.
func call(req *http.Request) int {
	resp, err := platformClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// announce sends heartbeats until the worker is silent.
func (w *worker) announce() {
	for !w.silent.Load() {
		state := "ready"
		if w.leaving.Load() {
			state = "draining"
		}
		call(w.heartbeat(state))
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-w.done:
			return
		}
	}
}

func (w *worker) leaveRequest() *http.Request {
	req, _ := http.NewRequest(http.MethodDelete, "http://"+w.control+"/-/instances/"+w.id, nil)
	return req
}

func itoa(n int) string { return strconv.Itoa(n) }
