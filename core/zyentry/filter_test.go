package zyentry_test

import (
	"fmt"
	"testing"

	"zinniayoke"
	"zinniayoke/core/zyentry"
)

// TestFailureDescriptions checks the description that a parent call gets for each way
// in which a child call can end.
func TestFailureDescriptions(t *testing.T) {
	done := func(status int, detail string) *zinniayoke.Reply {
		return &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Response: &zinniayoke.Response{Status: status}, Detail: detail}
	}
	for _, c := range []struct {
		reply *zinniayoke.Reply
		err   error
		want  string
	}{
		{done(200, ""), nil, ""},
		{done(404, ""), nil, ""},
		{done(500, ""), nil, "a call to deep was answered 500"},
		{done(500, "a call to deeper was refused (shed): full"), nil,
			"a call to deep was answered 500, since a call to deeper was refused (shed): full"},
		{nil, fmt.Errorf("find route: %w", zinniayoke.NewRefusedError(zinniayoke.ReasonShed, "full")), "a call to deep was refused (shed): full"},
		{&zinniayoke.Reply{Outcome: zinniayoke.OutcomeUnknown, Reason: zinniayoke.ReasonDeadline, Detail: "nobody waits"}, nil,
			"a call to deep got no answer (deadline): nobody waits"},
	} {
		if got := zyentry.FailureOf("deep", c.reply, c.err); got != c.want {
			t.Errorf("%+v, %v: got %q, want %q", c.reply, c.err, got, c.want)
		}
	}
}
