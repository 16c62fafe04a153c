package zyparent_test

import (
	"strings"
	"testing"
	"time"

	"zinniayoke/core/zyparent"
)

// TestMatchByDeadline guards against a child call being attributed to the wrong parent,
// or to one that has ended, if several runs have similar deadlines.
func TestMatchByDeadline(t *testing.T) {
	table := &zyparent.Table{}
	at := time.Now().Add(time.Second)
	near, far := &zyparent.Parent{Deadline: at}, &zyparent.Parent{Deadline: at.Add(10 * time.Millisecond)}
	handle := table.Add(near)
	table.Add(far)
	for _, c := range []struct {
		name string
		off  time.Duration
		want *zyparent.Parent
	}{
		{"equal", 0, near},
		{"rounded down twice", -2 * time.Millisecond, near},
		{"after the parent's deadline", time.Millisecond, nil},
		{"between the two", 8 * time.Millisecond, far},
		{"too early", -4 * time.Millisecond, nil},
	} {
		got, ok := table.MatchDeadline(at.Add(c.off))
		if got != c.want || ok != (c.want != nil) {
			t.Errorf("%s: matched %p, want %p", c.name, got, c.want)
		}
	}
	table.Remove(handle)
	if _, ok := table.MatchDeadline(at); ok {
		t.Error("a call was matched after its removal")
	}
}

// TestOnlyFirstChildFailureIsKept checks that a later failure does not hide the first
// one, and that long descriptions are cut so that they do not grow with each hop.
func TestOnlyFirstChildFailureIsKept(t *testing.T) {
	p := &zyparent.Parent{}
	if why := p.FirstFailure(); why != "" {
		t.Errorf("a parent without failed child calls reports %q", why)
	}
	p.RecordFailure("a call to deep was refused" + strings.Repeat("x", 1000))
	p.RecordFailure("another")
	if why := p.FirstFailure(); !strings.HasPrefix(why, "a call to deep was refused") || len(why) > 300 {
		t.Errorf("FirstFailure returned %d bytes: %q, want the first failure in at most 300", len(why), why)
	}
}

// TestUnmatchedFailureIsReportedAsProbable guards against blaming the failed call of an
// unknown parent for a run that failed much later or because of its own child call.
func TestUnmatchedFailureIsReportedAsProbable(t *testing.T) {
	table, p := &zyparent.Table{}, &zyparent.Parent{}
	now := time.Now()
	for _, c := range []struct {
		name string
		do   func()
		want string
	}{
		{"no failure", func() {}, ""},
		{"a child call of an unknown parent failed", func() { table.RecordUnmatchedFailure(now, "a call to deep was refused") }, "probably a call to deep was refused"},
		{"that failure was long ago", func() { now = now.Add(time.Second) }, ""},
		{"a child call of the run failed too", func() {
			table.RecordUnmatchedFailure(now, "a call to deep was refused")
			p.RecordFailure("a call to mid was refused")
		}, "a call to mid was refused"},
	} {
		c.do()
		if got := table.FailureCause(now, p); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
