// Package zyresponse checks that a response is complete and belongs to its request.
package zyresponse

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// MismatchError reports a field of a reply or response that does not have the
// expected value.
type MismatchError struct {
	Field string
	Want  string
	Got   string
}

// Error returns the field and both values.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("reply has wrong %s: want %s, got %s", e.Field, e.Want, e.Got)
}

// Stamp sets the request and attempt of a response, and the length and hash of its
// body.
func Stamp(resp *zinniayoke.Response, request zinniayoke.RequestID, attempt zinniayoke.AttemptID) {
	resp.Request = request
	resp.Attempt = attempt
	resp.Length = len(resp.Body)
	resp.Hash = xxhash.Sum64(resp.Body)
}

// Check returns a *MismatchError if the reply or its response belongs to another
// attempt or request, if the body is truncated or altered, or if a reply with
// OutcomeDone has no response. A response that is shared by several sends of a key
// carries the request of the send that ran; then the caller passes that request.
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
		return mismatch("attempt of the response", attempt, r.Response.Attempt)
	}
	if r.Response.Request != request {
		return mismatch("request of the response", request, r.Response.Request)
	}
	return CheckBody(r.Response)
}

func checkEmpty(r *zinniayoke.Reply) error {
	if r.Outcome == zinniayoke.OutcomeDone {
		return mismatch("body", "a response", "none")
	}
	return nil
}

// CheckBody returns a *MismatchError if the body is truncated or altered.
func CheckBody(resp *zinniayoke.Response) error {
	if len(resp.Body) != resp.Length {
		return mismatch("length", resp.Length, len(resp.Body))
	}
	if sum := xxhash.Sum64(resp.Body); sum != resp.Hash {
		return mismatch("hash", resp.Hash, sum)
	}
	return nil
}

func mismatch(field string, want, got any) error {
	return &MismatchError{Field: field, Want: fmt.Sprint(want), Got: fmt.Sprint(got)}
}
