package zyquarantine_test

import (
	"testing"
	"time"

	"zinniayoke/core/zyquarantine"
)

// TestCrashThreshold checks the quarantine by crashes in a row, which applies if no
// worker can be spared to run a suspect exclusively.
func TestCrashThreshold(t *testing.T) {
	const duration = time.Minute
	for _, c := range []struct {
		name  string
		steps string // c: crash, o: completed run, m: crash reported by another node
		want  zyquarantine.Decision
	}{
		{"two crashes", "cc", zyquarantine.RunShared},
		{"three crashes", "ccc", zyquarantine.Quarantined},
		{"a popular request that also completes", "ccoccocc", zyquarantine.RunShared},
		{"a completed run does not lift a quarantine", "ccco", zyquarantine.Quarantined},
		{"a crash reported by another node", "mcc", zyquarantine.Quarantined},
	} {
		tracker := zyquarantine.New(zyquarantine.Config{MaxRecords: 10, CrashThreshold: 3})
		now := time.Now()
		for _, step := range c.steps {
			now = now.Add(time.Second)
			switch step {
			case 'c':
				tracker.RecordCrash(now, []zyquarantine.Fingerprint{7, 8})
			case 'o':
				tracker.RecordSuccess(7)
			case 'm':
				tracker.Merge(now, zyquarantine.CrashRecord{Fingerprint: 7, Crashes: 1})
			}
		}
		if got := tracker.Decide(now, 7, duration); got != c.want {
			t.Errorf("%s: decision %d, want %d", c.name, got, c.want)
		}
		if got := tracker.Decide(now.Add(2*duration), 7, duration); got != zyquarantine.RunShared {
			t.Errorf("%s: decision %d after the end of the quarantine, want RunShared", c.name, got)
		}
	}
}
