package zyweb_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/io/zyweb"
)

// TestEncodeErrorResponse compares the response with that of encoding/json. Details contain
// texts of workers and clients, such as paths, so that each character may occur.
func TestEncodeErrorResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reply := &zinniayoke.Reply{
			Reason:  rapid.SampledFrom(zinniayoke.ReasonValues()).Draw(t, "reason"),
			Outcome: rapid.SampledFrom(zinniayoke.OutcomeValues()).Draw(t, "outcome"),
			Detail: rapid.OneOf(
				rapid.String(), rapid.StringMatching(`[ -~]*`), rapid.SampledFrom([]string{"", "a\\b", `"`, "<", ">", "&", "\x7f", "\u2028", "\xff", "\n"}),
			).Draw(t, "detail"),
		}
		want, err := json.Marshal(zyweb.ErrorResponse{Error: zyweb.ErrorDetail{Type: reply.Reason, Message: reply.Detail, Outcome: reply.Outcome}})
		if err != nil {
			t.Fatal(err)
		}
		if got := zyweb.EncodeErrorResponse(reply); string(got) != string(want) {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

func BenchmarkEncodeErrorResponse(b *testing.B) {
	reply := &zinniayoke.Reply{Reason: zinniayoke.ReasonShed, Outcome: zinniayoke.OutcomeNotRun, Detail: "60% of the route's calls are refused, since deep has no room for 30% of what is asked of it"}
	b.ReportAllocs()
	for b.Loop() {
		zyweb.EncodeErrorResponse(reply)
	}
}
