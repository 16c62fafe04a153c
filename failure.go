package zinniayoke

import (
	"errors"
	"fmt"
	"time"
)

// CallError says why a call has no answer from its worker.
// Outcome is what the caller may believe about its execution.
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

// NewRefusedError returns a CallError for a request that no worker was handed.
func NewRefusedError(reason Reason, detail string) *CallError {
	return &CallError{Reason: reason, Outcome: OutcomeNotRun, Detail: detail}
}

// NewLostError returns a CallError for a request that a worker may have run.
func NewLostError(reason Reason, detail string) *CallError {
	return &CallError{Reason: reason, Outcome: OutcomeUnknown, Detail: detail}
}

// ErrMisdirected says that another worker than the one that was meant answers at
// an address. The call has not run.
var ErrMisdirected = errors.New("another worker has this address")

// ExpiredError says that records before First are no longer in the log.
type ExpiredError struct {
	Stream Stream
	First  Offset
}

// Error names the stream and the first offset that is kept.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: records before offset %d have expired", e.Stream, e.First)
}

// LogError says that the log did not do what was asked. Lost is true where an
// append may have taken effect although its answer did not arrive.
type LogError struct {
	Op            string
	Indeterminate bool
	Err           error
}

// Error names the operation and the cause.
func (e *LogError) Error() string {
	return fmt.Sprintf("log %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *LogError) Unwrap() error {
	return e.Err
}
