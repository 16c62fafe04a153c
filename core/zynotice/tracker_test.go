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
