package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// extraBytes are the additional bytes of a faulty worker: they belong to no request.
const extraBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nOK\n"

// extraEvery is one answer in how many is followed by additional bytes while the worker is faulty.
const extraEvery = 40

// faultyWorker serves one request at a time on each connection. While faulty is true, some of its
// answers are followed by additional bytes, which arrive late: where the next answer on the
// connection is expected.
type faultyWorker struct {
	*worker
	faulty  atomic.Bool
	answers atomic.Int64
	sent    atomic.Int64
}

func (t *test) startFaultyWorker(m *machine, instance string) *faultyWorker {
	w := &faultyWorker{worker: t.newWorker(m, instance)}
	l, err := net.Listen("tcp", m.app)
	must(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serveConn(conn)
		}
	}()
	go w.sendHeartbeats()
	return w
}

func (w *faultyWorker) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	extra := false
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // Idle connections are closed.
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		n := w.running.Add(1)
		head, body := w.answer(req, n, func() {
			if extra {
				w.t.recordf("additional bytes instance=%s before the answer to id=%s", w.instance, req.Header.Get("X-Zinniayoke-Request-Id"))
				w.sent.Add(1)
				_, _ = io.WriteString(conn, extraBytes)
			}
			extra = false
		})
		w.running.Add(-1)
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
			return
		}
		extra = w.faulty.Load() && w.answers.Add(1)%extraEvery == 0
	}
}

// answer runs the request, or not, and returns the answer without its length. begun is called
// when the request has begun to run.
func (w *faultyWorker) answer(req *http.Request, running int64, begun func()) (head, body string) {
	id := req.Header.Get("X-Zinniayoke-Request-Id")
	common := fmt.Sprintf("X-Zinniayoke-Server-Load: %d,0,%d\r\n", running, workerSlots)
	if id != "" {
		common += "X-Zinniayoke-Request-Id: " + id + "\r\n"
	}
	expected := req.Header.Get("X-Zinniayoke-Expect-Instance")
	switch {
	case req.URL.Path == "/health":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Zinniayoke-Instance-Id: %s\r\nX-Zinniayoke-Server-Load: %d,0,%d\r\n", w.instance, running-1, workerSlots), ""
	case expected != "" && expected != w.instance:
		return "HTTP/1.1 421 Misdirected Request\r\nX-Zinniayoke-Instance-Id: " + w.instance + "\r\n" + common, ""
	case id == "":
		return "HTTP/1.1 400 Bad Request\r\nX-Zinniayoke-Not-Executed: 1\r\n" + common, ""
	case running > workerSlots:
		return "HTTP/1.1 503 Service Unavailable\r\nX-Zinniayoke-Not-Executed: 1\r\n" + common, ""
	}
	w.t.addExecution(execution{id: id, service: w.m.service, instance: w.instance, machine: w.m.name, at: time.Now()})
	begun()
	time.Sleep(workTime)
	return "HTTP/1.1 200 OK\r\nX-Zinniayoke-Response-Signature: sig." + id + "\r\n" + common, "answer to " + id
}
