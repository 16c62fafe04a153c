package zyresponse_test

import (
	"errors"
	"fmt"
	"testing"

	"zinniayoke"
	"zinniayoke/core/zyresponse"
)

func stampedReply(body string) *zinniayoke.Reply {
	resp := &zinniayoke.Response{Status: 200, Body: []byte(body)}
	zyresponse.Stamp(resp, "r", "a")
	return &zinniayoke.Reply{Attempt: "a", Request: "r", Outcome: zinniayoke.OutcomeDone, Response: resp}
}

// TestCheck guards against accepting a reply that belongs to another attempt, as when
// a connection mixes up two replies, or whose body was damaged on the way.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *zinniayoke.Reply)
		valid  bool
	}{
		{"complete", func(*zinniayoke.Reply) {}, true},
		{"refused", func(r *zinniayoke.Reply) { r.Response, r.Outcome = nil, zinniayoke.OutcomeNotRun }, true},
		{"done without a response", func(r *zinniayoke.Reply) { r.Response = nil }, false},
		{"another attempt", func(r *zinniayoke.Reply) { r.Attempt = "b" }, false},
		{"another request", func(r *zinniayoke.Reply) { r.Request = "s" }, false},
		{"response of another attempt", func(r *zinniayoke.Reply) { r.Response.Attempt = "b" }, false},
		{"response to another request", func(r *zinniayoke.Reply) { r.Response.Request = "s" }, false},
		{"truncated", func(r *zinniayoke.Reply) { r.Response.Body = r.Response.Body[:3] }, false},
		{"extended", func(r *zinniayoke.Reply) { r.Response.Body = append(r.Response.Body, 'x') }, false},
		{"altered", func(r *zinniayoke.Reply) { r.Response.Body[0] ^= 1 }, false},
	} {
		r := stampedReply("whole response")
		c.change(r)
		err := zyresponse.Check(r, "r", "a")
		var mismatch *zyresponse.MismatchError
		if c.valid != (err == nil) || err != nil && !errors.As(err, &mismatch) {
			t.Errorf("%s: %v, want valid %t", c.name, err, c.valid)
		}
	}
}

// BenchmarkHash measures stamping and checking a response.
func BenchmarkHash(b *testing.B) {
	for _, size := range []int{256, 4 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			resp := &zinniayoke.Response{Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for range b.N {
				zyresponse.Stamp(resp, "r", "a")
				if err := zyresponse.CheckBody(resp); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
