package zyresponse_test

import (
	"errors"
	"fmt"
	"testing"

	"zinniayoke"
	"zinniayoke/core/zyresponse"
)

func stamped(body string) *zinniayoke.Reply {
	a := &zinniayoke.Response{Status: 200, Body: []byte(body)}
	zyresponse.Stamp(a, "r", "a")
	return &zinniayoke.Reply{Attempt: "a", Request: "r", Outcome: zinniayoke.OutcomeDone, Response: a}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *zinniayoke.Reply)
		good   bool
	}{
		{"whole", func(*zinniayoke.Reply) {}, true},
		{"refused", func(r *zinniayoke.Reply) { r.Response, r.Outcome = nil, zinniayoke.OutcomeNotRun }, true},
		{"done without an answer", func(r *zinniayoke.Reply) { r.Response = nil }, false},
		{"another attempt", func(r *zinniayoke.Reply) { r.Attempt = "b" }, false},
		{"another request", func(r *zinniayoke.Reply) { r.Request = "s" }, false},
		{"answer of another attempt", func(r *zinniayoke.Reply) { r.Response.Attempt = "b" }, false},
		{"answer to another request", func(r *zinniayoke.Reply) { r.Response.Request = "s" }, false},
		{"cut short", func(r *zinniayoke.Reply) { r.Response.Body = r.Response.Body[:3] }, false},
		{"longer", func(r *zinniayoke.Reply) { r.Response.Body = append(r.Response.Body, 'x') }, false},
		{"changed", func(r *zinniayoke.Reply) { r.Response.Body[0] ^= 1 }, false},
	} {
		r := stamped("whole answer")
		c.change(r)
		err := zyresponse.Check(r, "r", "a")
		var mismatch *zyresponse.MismatchError
		if c.good != (err == nil) || err != nil && !errors.As(err, &mismatch) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// BenchmarkHash measures stamping and checking an answer.
func BenchmarkHash(b *testing.B) {
	for _, size := range []int{256, 4 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			a := &zinniayoke.Response{Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for range b.N {
				zyresponse.Stamp(a, "r", "a")
				if err := zyresponse.CheckBody(a); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
