// Package zyworker sends calls over HTTP to the worker on the node's own host.
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
	"zinniayoke/core/zynotice"
)

// Config configures a Worker.
type Config struct {
	// Address is the IP address and port of the worker.
	Address string
	// MaxConnections is the maximum number of connections to the worker.
	MaxConnections int
}

const (
	dialTimeout     = 300 * time.Millisecond
	idleTimeout     = 5 * time.Second
	maxResponseSize = 16 << 20
)

// Headers of requests to the worker.
const (
	ContextHeader = "Zinniayoke-Context"
	TimeoutHeader = "Zinniayoke-Timeout"
	KeyHeader     = "Zinniayoke-Key"
	// CustomerHeader names the customer whose key the request carried. It is absent if
	// there is none.
	CustomerHeader = "Zinniayoke-Customer"
)

// Headers by which a worker says something about itself in its responses.
const (
	// RateLimitHeader names the calls per second, a decimal number, that the worker accepts
	// from all nodes together. A response without it ends the limit.
	RateLimitHeader = "Zinniayoke-Rate-Limit"
	// LeavingHeader is "1" if the worker is about to end.
	LeavingHeader = "Zinniayoke-Leaving"
)

// Worker implements zinniayoke.Worker over HTTP. A Worker must be created with New.
type Worker struct {
	cfg       Config
	transport *http.Transport
}

// New returns a Worker that connects on the first call.
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

// ResponseTooLargeError means that the body of a response exceeds Limit bytes.
type ResponseTooLargeError struct {
	Limit int
}

// Error returns a message with the limit.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the answer of the worker is larger than %d bytes", e.Limit)
}

// Run sends the call to the worker and returns its complete response. The second result
// reports whether the call was delivered: a connection was available, so that the worker
// may have received it even if an error is returned.
//
// The text of the error becomes the detail of a reply and so reaches callers: the
// messages of Run, newRequest and ResponseTooLargeError must not change.
func (w *Worker) Run(ctx context.Context, call *zinniayoke.WorkerCall) (*zinniayoke.Response, bool, error) {
	var delivered atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { delivered.Store(true) }}
	req, err := w.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, false, err
	}
	resp, err := w.transport.RoundTrip(req)
	if err != nil {
		return nil, delivered.Load(), fmt.Errorf("worker: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if call.OnNotice != nil {
		call.OnNotice(zynotice.Parse(resp.Header.Get(RateLimitHeader), resp.Header.Get(LeavingHeader)))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err != nil {
		return nil, true, fmt.Errorf("answer of the worker: %w", err)
	}
	if len(body) > maxResponseSize {
		return nil, true, &ResponseTooLargeError{Limit: maxResponseSize}
	}
	return &zinniayoke.Response{Status: resp.StatusCode, Headers: ForwardedHeaders(resp.Header), Body: body}, true, nil
}

func (w *Worker) newRequest(ctx context.Context, call *zinniayoke.WorkerCall) (*http.Request, error) {
	a := call.Attempt
	target := &url.URL{Scheme: "http", Host: w.cfg.Address, Path: a.Path, RawQuery: a.Query}
	req, err := http.NewRequestWithContext(ctx, a.Method, target.String(), singleUseBody{bytes.NewReader(a.Body)})
	if err != nil {
		return nil, fmt.Errorf("call for the worker: %w", err)
	}
	req.ContentLength = int64(len(a.Body))
	for _, h := range a.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(ContextHeader, call.Context)
	req.Header.Set(TimeoutHeader, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	if a.Customer != "" {
		req.Header.Set(CustomerHeader, string(a.Customer))
	}
	if a.Key != "" {
		req.Header.Set(KeyHeader, fmt.Sprintf("%x", string(a.Key)))
	}
	return req, nil
}

// singleUseBody is a request body that the HTTP transport cannot rewind, so that it
// never resends a request on its own.
type singleUseBody struct {
	io.Reader
}

// Close implements io.Closer and does nothing.
func (singleUseBody) Close() error {
	return nil
}

// Probe returns an error if the worker accepts no connections.
func (w *Worker) Probe(ctx context.Context) error {
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", w.cfg.Address)
	if err != nil {
		return fmt.Errorf("probe worker %s: %w", w.cfg.Address, err)
	}
	_ = conn.Close()
	return nil
}

// Close closes the idle connections.
func (w *Worker) Close() {
	w.transport.CloseIdleConnections()
}

// ForwardedHeaders returns the headers that are forwarded between callers and workers:
// all except hop-by-hop headers, the caller's token, the idempotency key and those that
// the node itself sets.
func ForwardedHeaders(h http.Header) []zinniayoke.Header {
	var list []zinniayoke.Header
	for name, values := range h {
		if !isForwarded(name) {
			continue
		}
		for _, v := range values {
			list = append(list, zinniayoke.Header{Name: name, Value: v})
		}
	}
	return list
}

func isForwarded(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Idempotency-Key", "Host", "Expect":
		return false
	}
	return !strings.HasPrefix(name, "Zinniayoke-")
}
