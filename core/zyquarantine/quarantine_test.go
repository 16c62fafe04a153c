package zyquarantine_test

import (
	"testing"
	"time"

	"zinniayoke/core/zyquarantine"
)

// TestCrashesInARow plays workers that crash while they run requests, where none
// can be spared to run a suspect alone.
func TestCrashesInARow(t *testing.T) {
	const keep = time.Minute
	for _, c := range []struct {
		name  string
		steps string // c: a crash, o: a whole run, m: a crash that another node tells of
		want  zyquarantine.Decision
	}{
		{"two crashes", "cc", zyquarantine.RunShared},
		{"three crashes", "ccc", zyquarantine.Quarantined},
		{"a popular request beside crashes", "ccoccocc", zyquarantine.RunShared},
		{"a whole run does not lift a quarantine", "ccco", zyquarantine.Quarantined},
		{"crashes told by others", "mcc", zyquarantine.Quarantined},
	} {
		b := zyquarantine.New(zyquarantine.Config{MaxRecords: 10, CrashThreshold: 3})
		now := time.Now()
		for _, step := range c.steps {
			now = now.Add(time.Second)
			switch step {
			case 'c':
				b.RecordCrash(now, []zyquarantine.Fingerprint{7, 8})
			case 'o':
				b.RecordSuccess(7)
			case 'm':
				b.Merge(now, zyquarantine.CrashRecord{Fingerprint: 7, Crashes: 1})
			}
		}
		if got := b.Decide(now, 7, keep); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
		if got := b.Decide(now.Add(2*keep), 7, keep); got != zyquarantine.RunShared {
			t.Errorf("%s: verdict %d after the quarantine's time", c.name, got)
		}
	}
}
