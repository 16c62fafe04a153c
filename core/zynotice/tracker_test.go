package zynotice_test

import (
	"errors"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zynotice"
)

// TestResponsesReadInAnyOrder checks which limit holds when responses are read in another
// order than the worker made them.
func TestResponsesReadInAnyOrder(t *testing.T) {
	limit := func(r zinniayoke.Rate) zinniayoke.WorkerNotice {
		return zinniayoke.WorkerNotice{Limited: true, Limit: r}
	}
	none := zinniayoke.WorkerNotice{}
	// The response to the call that was sent at the second sent is read at the second read.
	type response struct {
		sent, read int
		notice     zinniayoke.WorkerNotice
	}
	for _, c := range []struct {
		name      string
		responses []response
		want      zinniayoke.WorkerNotice
	}{
		{"named", []response{{0, 1, limit(10)}}, limit(10)},
		{"named and lifted", []response{{0, 1, limit(10)}, {1, 2, none}}, none},
		{"earlier response without a limit is read late", []response{{1, 2, limit(10)}, {0, 3, none}}, limit(10)},
		{"lowered by a call that was sent before", []response{{1, 2, limit(10)}, {0, 3, limit(5)}}, limit(5)},
		{"earlier and higher limit is read late", []response{{1, 2, limit(5)}, {0, 3, limit(10)}}, limit(5)},
		{"raised", []response{{0, 1, limit(5)}, {2, 3, limit(10)}}, limit(10)},
		{"raised while calls with the lower limit end", []response{{0, 3, limit(5)}, {2, 4, limit(10)}, {3, 5, limit(10)}}, limit(10)},
		{"no call at all", []response{{0, 1, limit(0)}}, limit(0)},
		{"leaving is not taken back", []response{{0, 1, zinniayoke.WorkerNotice{Leaving: true}}, {2, 3, none}}, zinniayoke.WorkerNotice{Leaving: true}},
	} {
		var tracker zynotice.Tracker
		at := func(s int) time.Time { return time.Unix(int64(s), 0) }
		for _, r := range c.responses {
			tracker.Observe(at(r.read), at(r.sent), r.notice)
		}
		if got := tracker.Notice(); got != c.want {
			t.Errorf("%s: the worker says %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestAdoptedLimit checks that what others say of a limit counts until the run has responded.
func TestAdoptedLimit(t *testing.T) {
	var tracker zynotice.Tracker
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	limited := zinniayoke.WorkerNotice{Limited: true, Limit: 5}
	if !tracker.Adopt(at(1), limited) || tracker.Notice() != limited {
		t.Errorf("a limit that another node has heard of is not adopted: %+v", tracker.Notice())
	}
	tracker.Observe(at(3), at(2), zinniayoke.WorkerNotice{})
	if tracker.Adopt(at(4), limited) || tracker.Notice().Limited {
		t.Error("a limit was adopted although the worker has responded without one")
	}
}

// TestNoticeInMemory checks what a node remembers of a worker after its replies, each read
// in its second.
func TestNoticeInMemory(t *testing.T) {
	heard := &zinniayoke.HeardNotice{Incarnation: 1, Notice: zinniayoke.WorkerNotice{Leaving: true}}
	done := zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone}
	notice := zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Heard: heard}
	for _, c := range []struct {
		name   string
		sent   []int
		reply  []zinniayoke.Reply
		forget bool
	}{
		{"heard", []int{0}, []zinniayoke.Reply{notice}, false},
		{"then a refusal", []int{0, 2}, []zinniayoke.Reply{notice, {Outcome: zinniayoke.OutcomeNotRun}}, false},
		{"then an earlier response", []int{0, 0}, []zinniayoke.Reply{notice, done}, false},
		{"then a later response", []int{0, 2}, []zinniayoke.Reply{notice, done}, true},
	} {
		m := zynotice.NewMemory()
		for i, r := range c.reply {
			m.Record(time.Unix(int64(i+1), 0), time.Unix(int64(c.sent[i]), 0), "host", &r)
		}
		if got := m.Of("host"); (got == nil) != c.forget {
			t.Errorf("%s: remembered is %+v, forgotten: want %t", c.name, got, c.forget)
		}
	}
}

func TestParseRate(t *testing.T) {
	for text, want := range map[string]zinniayoke.Rate{"13.2": 13.2, "0": 0, "9": 9, ".5": 0.5} {
		if got, err := zynotice.ParseRate(text); err != nil || got != want {
			t.Errorf("ParseRate(%q) = %g, %v, want %g", text, got, err, want)
		}
	}
	for _, text := range []string{"", ".", "-1", "+1", "NaN", "Inf", "1e3", "0x1p4", "12,5", "1_0", "fast"} {
		var problem *zynotice.RateError
		if rate, err := zynotice.ParseRate(text); !errors.As(err, &problem) {
			t.Errorf("ParseRate(%q) = %g, %v, want a *RateError", text, rate, err)
		}
	}
}
