// Package zyworker sends calls over HTTP to the worker on the node's own host.
package zyworker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybudget"
	"zinniayoke/core/zynotice"
	"zinniayoke/io/zyexchange"
)

// Config configures a Worker.
type Config struct {
	// Address is the IP address and port of the worker.
	Address string
	// MaxConnections is the maximum number of connections to the worker.
	MaxConnections int
	// Budget counts the bodies that are being read; nil sets no limit.
	Budget *zybudget.Budget
}

const (
	dialTimeout     = 300 * time.Millisecond
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
	cfg  Config
	pool *zyexchange.Pool
	// open has an element for each connection in use.
	open chan struct{}
}

// New returns a Worker that connects on the first call.
func New(cfg Config) *Worker {
	return &Worker{
		cfg: cfg, open: make(chan struct{}, max(cfg.MaxConnections, 1)),
		pool: zyexchange.NewPool(cfg.Address, zyexchange.PoolConfig{
			Conn: zyexchange.Config{Budget: cfg.Budget, MaxBody: maxResponseSize}, DialTimeout: dialTimeout,
		}),
	}
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
// reports whether the call was delivered: the worker may have received it even if an error is
// returned.
//
// The text of the error becomes the detail of a reply and so reaches callers: the
// messages of Run and ResponseTooLargeError must not change.
func (w *Worker) Run(ctx context.Context, call *zinniayoke.WorkerCall) (*zinniayoke.Response, bool, error) {
	select {
	case w.open <- struct{}{}:
		defer func() { <-w.open }()
	case <-ctx.Done():
		return nil, false, fmt.Errorf("worker: %w", context.Cause(ctx))
	}
	resp, delivered, err := w.pool.Do(ctx, w.request(call))
	switch {
	case errors.Is(err, zybudget.ErrTooLarge):
		return nil, true, &ResponseTooLargeError{Limit: maxResponseSize}
	case err != nil:
		return nil, delivered, fmt.Errorf("worker: %w", err)
	}
	if call.OnNotice != nil {
		call.OnNotice(zynotice.Parse(resp.Header.Get(RateLimitHeader), resp.Header.Get(LeavingHeader)))
	}
	return &zinniayoke.Response{Status: resp.Status, Headers: ForwardedHeaders(resp.Header), Body: resp.Body}, true, nil
}

func (w *Worker) request(call *zinniayoke.WorkerCall) *zyexchange.Request {
	a := call.Attempt
	target := url.URL{Path: a.Path, RawQuery: a.Query}
	h := make(http.Header, len(a.Headers))
	for _, field := range a.Headers {
		h.Add(field.Name, field.Value)
	}
	h.Set(ContextHeader, call.Context)
	h.Set(TimeoutHeader, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	if a.Customer != "" {
		h.Set(CustomerHeader, string(a.Customer))
	}
	if a.Key != "" {
		h.Set(KeyHeader, fmt.Sprintf("%x", string(a.Key)))
	}
	return &zyexchange.Request{Method: a.Method, Target: target.RequestURI(), Host: w.cfg.Address, Header: h, Body: a.Body}
}

// Probe returns an error if the worker accepts no connections.
func (w *Worker) Probe(ctx context.Context) error {
	conn, err := w.pool.Open(ctx)
	if err != nil {
		return fmt.Errorf("probe worker %s: %w", w.cfg.Address, err)
	}
	_ = conn.Close()
	return nil
}

// Close closes the idle connections.
func (w *Worker) Close() {
	w.pool.Close()
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
