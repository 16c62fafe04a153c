// Package zylog is a client of the platform's append-only log over HTTP.
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
	// Address is the IP address and port of the log.
	Address string
	// HTTP is the client to use. The default has a timeout of 3 s.
	HTTP *http.Client
}

const (
	defaultTimeout = 3 * time.Second
	maxBodySize    = 64 << 20
)

// Client implements zinniayoke.Log. A Client must be created with NewClient.
type Client struct {
	cfg ClientConfig
}

// NewClient returns a client for the log at the configured address.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: defaultTimeout}
	}
	return &Client{cfg: cfg}
}

// StatusError means that the log responded with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// AppendRequest is the body of an append request.
type AppendRequest struct {
	ID   string `json:"id"`
	Body []byte `json:"body"`
}

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	Offset zinniayoke.Offset `json:"offset"`
}

// ReadResponse is the body of the response to a read.
type ReadResponse struct {
	First   zinniayoke.Offset   `json:"first"`
	Records []zinniayoke.Record `json:"records"`
}

// Append appends a record. The error is a *zinniayoke.LogError. Its Indeterminate field
// is true if the record may have been appended despite the error.
func (c *Client) Append(ctx context.Context, s zinniayoke.Stream, id string, body []byte) (zinniayoke.Offset, error) {
	raw, err := json.Marshal(AppendRequest{ID: id, Body: body})
	if err != nil {
		return 0, &zinniayoke.LogError{Op: "append", Err: err}
	}
	var response AppendResponse
	status, err := c.roundTrip(ctx, http.MethodPost, c.recordsURL(s), raw, &response)
	if err != nil {
		const clientFault = 400
		refused := status >= clientFault && status < http.StatusInternalServerError
		return 0, &zinniayoke.LogError{Op: "append", Indeterminate: !refused, Err: err}
	}
	return response.Offset, nil
}

// Read returns up to limit records, starting at an offset. The error is a
// *zinniayoke.LogError or, if the record at the offset is no longer retained, a
// *zinniayoke.ExpiredError.
func (c *Client) Read(ctx context.Context, s zinniayoke.Stream, from zinniayoke.Offset, limit int) ([]zinniayoke.Record, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	var response ReadResponse
	if _, err := c.roundTrip(ctx, http.MethodGet, c.recordsURL(s)+"?"+query.Encode(), nil, &response); err != nil {
		return nil, &zinniayoke.LogError{Op: "read", Err: err}
	}
	if from < response.First {
		return nil, &zinniayoke.ExpiredError{Stream: s, First: response.First}
	}
	return response.Records, nil
}

// First returns the offset of the oldest record that is retained.
func (c *Client) First(ctx context.Context, s zinniayoke.Stream) (zinniayoke.Offset, error) {
	var response ReadResponse
	if _, err := c.roundTrip(ctx, http.MethodGet, c.recordsURL(s)+"?from=0&limit=0", nil, &response); err != nil {
		return 0, &zinniayoke.LogError{Op: "first", Err: err}
	}
	return response.First, nil
}

func (c *Client) recordsURL(s zinniayoke.Stream) string {
	return "http://" + c.cfg.Address + "/streams/" + url.PathEscape(string(s)) + "/records"
}

// roundTrip sends a request and decodes the JSON body of the response. It returns the
// HTTP status, or 0 if no response arrived.
func (c *Client) roundTrip(ctx context.Context, method, target string, body []byte, response any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("create request %s %s: %w", method, target, err)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send request %s %s: %w", method, target, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	if err != nil {
		return resp.StatusCode, fmt.Errorf("read response to %s %s: %w", method, target, err)
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, &StatusError{Status: resp.StatusCode, Body: string(data)}
	}
	if err := json.Unmarshal(data, response); err != nil {
		return resp.StatusCode, fmt.Errorf("decode response to %s %s: %w", method, target, err)
	}
	return resp.StatusCode, nil
}

// AppendOnce appends a record exactly once. If the response to an append is lost, it
// first looks for the record by its ID, starting at the offset from, and repeats the
// append only if the record is not found. The error is that of the last append; if it is
// Indeterminate, the record may have been appended.
func AppendOnce(ctx context.Context, l zinniayoke.Log, s zinniayoke.Stream, from zinniayoke.Offset, id string, body []byte) (zinniayoke.Offset, error) {
	for {
		offset, err := l.Append(ctx, s, id, body)
		var logErr *zinniayoke.LogError
		if err == nil || !errors.As(err, &logErr) || !logErr.Indeterminate {
			return offset, err
		}
		offset, found, findErr := findWithRetries(ctx, l, s, from, id)
		if findErr != nil {
			return 0, &zinniayoke.LogError{Op: "append", Indeterminate: true, Err: errors.Join(err, findErr)}
		}
		if found {
			return offset, nil
		}
	}
}

const (
	findTries = 5
	findPause = 200 * time.Millisecond
	readLimit = 256
)

// findWithRetries looks for a record several times, because an append whose response was
// lost may still be in progress.
func findWithRetries(ctx context.Context, l zinniayoke.Log, s zinniayoke.Stream, from zinniayoke.Offset, id string) (zinniayoke.Offset, bool, error) {
	var lastErr error
	for range findTries {
		offset, found, err := find(ctx, l, s, from, id)
		if found {
			return offset, true, nil
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return 0, false, context.Cause(ctx)
		case <-time.After(findPause):
		}
	}
	return 0, false, lastErr
}

// find reads the stream from an offset to its end and looks for the record with an ID.
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
