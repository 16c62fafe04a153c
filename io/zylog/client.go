// Package zylog reaches the platform's log over HTTP.
package zylog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"zinniayoke"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the IP number and port of the log.
	Address string
	HTTP    *http.Client
}

const (
	usualTimeout = 3 * time.Second
	largestBody  = 64 << 20
)

// Client is a zinniayoke.Log. A Client must be made with NewClient.
type Client struct {
	cfg ClientConfig
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: usualTimeout}
	}
	return &Client{cfg: cfg}
}

// StatusError says that the log answered with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	ID   string `json:"id"`
	Body []byte `json:"body"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	Offset zinniayoke.Offset `json:"offset"`
}

// ReadResponse is the answer to a read.
type ReadResponse struct {
	First   zinniayoke.Offset   `json:"first"`
	Records []zinniayoke.Record `json:"records"`
}

// Append adds a record. The error is a *zinniayoke.LogError; its Lost field
// tells whether the record may have been added all the same.
func (c *Client) Append(ctx context.Context, s zinniayoke.Stream, id string, body []byte) (zinniayoke.Offset, error) {
	raw, err := json.Marshal(AppendRequest{ID: id, Body: body})
	if err != nil {
		return 0, &zinniayoke.LogError{Op: "append", Err: err}
	}
	var answer AppendResponse
	status, err := c.exchange(ctx, http.MethodPost, c.path(s), raw, &answer)
	if err != nil {
		const clientFault = 400
		refused := status >= clientFault && status < http.StatusInternalServerError
		return 0, &zinniayoke.LogError{Op: "append", Indeterminate: !refused, Err: err}
	}
	return answer.Offset, nil
}

// Read returns records from an offset on. The error is a *zinniayoke.LogError
// or a *zinniayoke.ExpiredError.
func (c *Client) Read(ctx context.Context, s zinniayoke.Stream, from zinniayoke.Offset, limit int) ([]zinniayoke.Record, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	var answer ReadResponse
	if _, err := c.exchange(ctx, http.MethodGet, c.path(s)+"?"+query.Encode(), nil, &answer); err != nil {
		return nil, &zinniayoke.LogError{Op: "read", Err: err}
	}
	if from < answer.First {
		return nil, &zinniayoke.ExpiredError{Stream: s, First: answer.First}
	}
	return answer.Records, nil
}

// First returns the first offset that is kept.
func (c *Client) First(ctx context.Context, s zinniayoke.Stream) (zinniayoke.Offset, error) {
	var answer ReadResponse
	if _, err := c.exchange(ctx, http.MethodGet, c.path(s)+"?from=0&limit=0", nil, &answer); err != nil {
		return 0, &zinniayoke.LogError{Op: "first", Err: err}
	}
	return answer.First, nil
}

func (c *Client) path(s zinniayoke.Stream) string {
	return "http://" + c.cfg.Address + "/streams/" + url.PathEscape(string(s)) + "/records"
}

// exchange returns the status, 0 where none arrived.
func (c *Client) exchange(ctx context.Context, method, target string, body []byte, answer any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return 0, fmt.Errorf("exchange: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, largestBody))
	if err != nil {
		return resp.StatusCode, fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, &StatusError{Status: resp.StatusCode, Body: string(raw)}
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return resp.StatusCode, fmt.Errorf("answer: %w", err)
	}
	return resp.StatusCode, nil
}

// AppendOnce adds a record exactly once, also where the answer of an append is
// lost: it looks for the record by its id before it repeats the append. The
// error is that of the last try; with Lost set, the record may be there.
func AppendOnce(ctx context.Context, l zinniayoke.Log, s zinniayoke.Stream, from zinniayoke.Offset, id string, body []byte) (zinniayoke.Offset, error) {
	for {
		offset, err := l.Append(ctx, s, id, body)
		var failure *zinniayoke.LogError
		if err == nil || !errors.As(err, &failure) || !failure.Indeterminate {
			return offset, err
		}
		offset, found, findErr := findSettled(ctx, l, s, from, id)
		if findErr != nil {
			return 0, &zinniayoke.LogError{Op: "append", Indeterminate: true, Err: errors.Join(err, findErr)}
		}
		if found {
			return offset, nil
		}
	}
}

const (
	settleTries = 5
	settlePause = 200 * time.Millisecond
	readLimit   = 256
)

// findSettled looks for a record for a while, since an append whose answer was
// lost may still be on its way.
func findSettled(ctx context.Context, l zinniayoke.Log, s zinniayoke.Stream, from zinniayoke.Offset, id string) (zinniayoke.Offset, bool, error) {
	var last error
	for range settleTries {
		offset, found, err := find(ctx, l, s, from, id)
		if found {
			return offset, true, nil
		}
		last = err
		select {
		case <-ctx.Done():
			return 0, false, context.Cause(ctx)
		case <-time.After(settlePause):
		}
	}
	return 0, false, last
}

func find(ctx context.Context, l zinniayoke.Log, s zinniayoke.Stream, from zinniayoke.Offset, id string) (zinniayoke.Offset, bool, error) {
	for {
		records, err := l.Read(ctx, s, from, readLimit)
		var expired *zinniayoke.ExpiredError
		if errors.As(err, &expired) {
			from = expired.First
			continue
		}
		if err != nil || len(records) == 0 {
			return 0, false, err
		}
		for _, r := range records {
			if r.ID == id {
				return r.Offset, true, nil
			}
		}
		from = records[len(records)-1].Offset + 1
	}
}
