package zynotice

import (
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
