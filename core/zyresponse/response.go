// Package zyresponse checks that an answer is whole and belongs to its request.
package zyresponse

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// MismatchError says in what an answer differs from what was asked for.
type MismatchError struct {
	Field string
	Want  string
	Got   string
}

// Error names the field and both values.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer with wrong %s: want %s, got %s", e.Field, e.Want, e.Got)
}

// Stamp names the request and attempt in an answer and sums up its body.
func Stamp(a *zinniayoke.Response, request zinniayoke.RequestID, attempt zinniayoke.AttemptID) {
	a.Request = request
	a.Attempt = attempt
	a.Length = len(a.Body)
	a.Hash = xxhash.Sum64(a.Body)
}

// Check returns a *MismatchError where the reply is for another attempt, or its
// answer is for another request, cut short or changed. Of an answer that was
// shared by several sends of a key, only the request may differ; the caller of
// Check passes the answer's own request then.
func Check(r *zinniayoke.Reply, request zinniayoke.RequestID, attempt zinniayoke.AttemptID) error {
	if r.Attempt != attempt {
		return mismatch("attempt", attempt, r.Attempt)
	}
	if r.Request != request {
		return mismatch("request", request, r.Request)
	}
	if r.Response == nil {
		return checkEmpty(r)
	}
	if r.Response.Attempt != attempt {
		return mismatch("answer's attempt", attempt, r.Response.Attempt)
	}
	if r.Response.Request != request {
		return mismatch("answer's request", request, r.Response.Request)
	}
	return CheckBody(r.Response)
}

func checkEmpty(r *zinniayoke.Reply) error {
	if r.Outcome == zinniayoke.OutcomeDone {
		return mismatch("body", "an answer", "none")
	}
	return nil
}

// CheckBody returns a *MismatchError where the body is cut short or changed.
func CheckBody(a *zinniayoke.Response) error {
	if len(a.Body) != a.Length {
		return mismatch("length", a.Length, len(a.Body))
	}
	if sum := xxhash.Sum64(a.Body); sum != a.Hash {
		return mismatch("hash", a.Hash, sum)
	}
	return nil
}

func mismatch(field string, want, got any) error {
	return &MismatchError{Field: field, Want: fmt.Sprint(want), Got: fmt.Sprint(got)}
}
