// Package zyworker hands calls to the worker on the node's own host over HTTP.
package zyworker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"zinniayoke"
)

// Config configures a Worker.
type Config struct {
	// Address is the IP number and port of the worker.
	Address string
	// MaxConnections is the largest number of connections to the worker.
	MaxConnections int
}

const (
	dialTimeout   = 300 * time.Millisecond
	idleTimeout   = 5 * time.Second
	largestAnswer = 16 << 20
)

// Headers between the node and its worker.
const (
	ContextHeader = "Zinniayoke-Context"
	TimeoutHeader = "Zinniayoke-Timeout"
	KeyHeader     = "Zinniayoke-Key"
)

// Worker is a zinniayoke.Worker. A Worker must be made with New.
type Worker struct {
	cfg       Config
	transport *http.Transport
}

// New returns a worker without connections.
func New(cfg Config) *Worker {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Worker{cfg: cfg, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     cfg.MaxConnections,
		MaxIdleConnsPerHost: cfg.MaxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// ResponseTooLargeError says that an answer was larger than is taken.
type ResponseTooLargeError struct {
	Limit int
}

// Error returns the limit.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the answer of the worker is larger than %d bytes", e.Limit)
}

// Run hands the call to the worker and reads its whole answer.
func (w *Worker) Run(ctx context.Context, call *zinniayoke.WorkerCall) (*zinniayoke.Response, bool, error) {
	var handed atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed.Store(true) }}
	req, err := w.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, false, err
	}
	resp, err := w.transport.RoundTrip(req)
	if err != nil {
		return nil, handed.Load(), fmt.Errorf("worker: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, largestAnswer+1))
	if err != nil {
		return nil, true, fmt.Errorf("answer of the worker: %w", err)
	}
	if len(body) > largestAnswer {
		return nil, true, &ResponseTooLargeError{Limit: largestAnswer}
	}
	return &zinniayoke.Response{Status: resp.StatusCode, Headers: ForwardedHeaders(resp.Header), Body: body}, true, nil
}

func (w *Worker) request(ctx context.Context, call *zinniayoke.WorkerCall) (*http.Request, error) {
	a := call.Attempt
	target := &url.URL{Scheme: "http", Host: w.cfg.Address, Path: a.Path, RawQuery: a.Query}
	req, err := http.NewRequestWithContext(ctx, a.Method, target.String(), once{bytes.NewReader(a.Body)})
	if err != nil {
		return nil, fmt.Errorf("call for the worker: %w", err)
	}
	req.ContentLength = int64(len(a.Body))
	for _, h := range a.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(ContextHeader, call.Context)
	req.Header.Set(TimeoutHeader, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	if a.Key != "" {
		req.Header.Set(KeyHeader, fmt.Sprintf("%x", string(a.Key)))
	}
	return req, nil
}

// once is a body that the transport cannot rewind, so that it never sends a
// request twice by itself.
type once struct {
	io.Reader
}

// Close does nothing.
func (once) Close() error {
	return nil
}

// Probe returns an error where the worker takes no connections.
func (w *Worker) Probe(ctx context.Context) error {
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", w.cfg.Address)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	_ = conn.Close()
	return nil
}

// Close ends the idle connections.
func (w *Worker) Close() {
	w.transport.CloseIdleConnections()
}

// ForwardedHeaders returns the headers that pass between a caller and a worker: all but
// those of one connection, the caller's token and the system's own.
func ForwardedHeaders(h http.Header) []zinniayoke.Header {
	var list []zinniayoke.Header
	for name, values := range h {
		if !passes(name) {
			continue
		}
		for _, v := range values {
			list = append(list, zinniayoke.Header{Name: name, Value: v})
		}
	}
	return list
}

func passes(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Idempotency-Key", "Host", "Expect":
		return false
	}
	return !strings.HasPrefix(name, "Zinniayoke-")
}
