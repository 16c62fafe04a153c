package zinniayoke

import (
	"errors"
	"fmt"
	"time"
)

// CallError reports why a call got no response from a worker.
// Outcome is what the caller may assume about its execution.
type CallError struct {
	Reason     Reason
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// Error returns the reason, the detail and the cause.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Reason, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
}

// Unwrap returns the cause, which may be nil.
func (e *CallError) Unwrap() error {
	return e.Err
}

// NewRefusedError returns a CallError for a request that was not delivered to any
// worker; its outcome is OutcomeNotRun.
func NewRefusedError(reason Reason, detail string) *CallError {
	return &CallError{Reason: reason, Outcome: OutcomeNotRun, Detail: detail}
}

// NewLostError returns a CallError for a request that a worker may have run; its
// outcome is OutcomeUnknown.
func NewLostError(reason Reason, detail string) *CallError {
	return &CallError{Reason: reason, Outcome: OutcomeUnknown, Detail: detail}
}

// ErrMisdirected reports that the address of a worker is now used by a different
// worker. The call has not run.
var ErrMisdirected = errors.New("another worker has this address")

// ErrNotRunning reports that the process of a node does not run: its host has refused the
// connection.
var ErrNotRunning = errors.New("the node does not run")

// ErrNotSent reports that a message to a node has not left this one, because there was no
// connection to it.
var ErrNotSent = errors.New("no connection to the node")

// ExpiredError reports that the log no longer holds the records before First.
type ExpiredError struct {
	Stream Stream
	First  Offset
}

// Error returns the stream and its first retained offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: records before offset %d have expired", e.Stream, e.First)
}

// EraError reports that the store responded in another era than expected: either it has
// come back from a copy since the offset of the request was obtained, or the response is
// a late one from before that.
type EraError struct {
	Expected, Found StoreEra
}

// Error returns both eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("the response is of store era %d, expected era %d", e.Found, e.Expected)
}

// LogError reports that an operation on the log failed. Indeterminate is true if
// an append may have taken effect although its response was not received.
type LogError struct {
	Op            string
	Indeterminate bool
	Err           error
}

// Error returns the operation and the cause.
func (e *LogError) Error() string {
	return fmt.Sprintf("log %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *LogError) Unwrap() error {
	return e.Err
}

// DepartureError reports that the announcement of a worker that it leaves could not be
// recorded. The worker gets no calls, but the announcement must not be acknowledged.
type DepartureError struct {
	Instance Instance
	Err      error
}

// Error returns the instance and the cause.
func (e *DepartureError) Error() string {
	return fmt.Sprintf("record that worker %q leaves: %v", e.Instance, e.Err)
}

// Unwrap returns the cause.
func (e *DepartureError) Unwrap() error {
	return e.Err
}
