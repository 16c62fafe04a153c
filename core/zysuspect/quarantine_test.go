package zysuspect_test

import (
	"testing"
	"time"

	"zinniayoke/core/zysuspect"
)

// TestCrashesInARow plays workers that crash while they run requests, where none
// can be spared to run a suspect alone.
func TestCrashesInARow(t *testing.T) {
	const keep = time.Minute
	for _, c := range []struct {
		name  string
		steps string // c: a crash, o: a whole run, m: a crash that another node tells of
		want  zysuspect.Verdict
	}{
		{"two crashes", "cc", zysuspect.RunFreely},
		{"three crashes", "ccc", zysuspect.RunNever},
		{"a popular request beside crashes", "ccoccocc", zysuspect.RunFreely},
		{"a whole run does not lift a quarantine", "ccco", zysuspect.RunNever},
		{"crashes told by others", "mcc", zysuspect.RunNever},
	} {
		b := zysuspect.New(zysuspect.Config{Most: 10, Crashes: 3})
		now := time.Now()
		for _, step := range c.steps {
			now = now.Add(time.Second)
			switch step {
			case 'c':
				b.Crash(now, []zysuspect.Print{7, 8})
			case 'o':
				b.Clear(7)
			case 'm':
				b.Merge(now, zysuspect.Case{Print: 7, Crashes: 1})
			}
		}
		if got := b.Judge(now, 7, keep); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
		if got := b.Judge(now.Add(2*keep), 7, keep); got != zysuspect.RunFreely {
			t.Errorf("%s: verdict %d after the quarantine's time", c.name, got)
		}
	}
}
