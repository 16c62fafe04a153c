package zynotice

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"zinniayoke"
)

// RateError reports a text that is not a rate.
type RateError struct {
	Text string
}

// Error returns the text and what is accepted.
func (e *RateError) Error() string {
	return fmt.Sprintf("%.40q is not a rate: accepted: calls per second as a decimal number, such as 12.5", e.Text)
}

// ParseRate parses a rate in calls per second, a decimal number without sign or exponent.
// The error is a *RateError.
func ParseRate(text string) (zinniayoke.Rate, error) {
	const digits, bits = "0123456789.", 64
	rate, err := strconv.ParseFloat(text, bits)
	if err != nil || strings.Trim(text, digits) != "" {
		return 0, &RateError{Text: text}
	}
	return zinniayoke.Rate(rate), nil
}

// LeavingError reports a text that does not say whether a worker leaves.
type LeavingError struct {
	Text string
}

// Error returns the text and what is accepted.
func (e *LeavingError) Error() string {
	return fmt.Sprintf("%.40q does not say whether the worker leaves: accepted: 1 or 0", e.Text)
}

// Parse returns the notice in two headers of a worker's response, "" for a header that is
// absent: the rate limit, and "1" for a worker that leaves. The notice holds what can be
// read; the error is a *RateError or a *LeavingError for each header that cannot.
func Parse(limit, leaving string) (zinniayoke.WorkerNotice, error) {
	var n zinniayoke.WorkerNotice
	var limitErr, leavingErr error
	if limit != "" {
		n.Limit, limitErr = ParseRate(limit)
		n.Limited = limitErr == nil
	}
	switch leaving {
	case "", "0":
	case "1":
		n.Leaving = true
	default:
		leavingErr = &LeavingError{Text: leaving}
	}
	return n, errors.Join(limitErr, leavingErr)
}
