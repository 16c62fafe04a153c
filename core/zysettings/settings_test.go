package zysettings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"zinniayoke/core/zyini"
	"zinniayoke/core/zysettings"
	"zinniayoke/examples"
)

// TestExamplesAreValid checks that all example settings parse.
func TestExamplesAreValid(t *testing.T) {
	entries, err := examples.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	parsed := 0
	for _, e := range entries {
		if strings.Contains(e.Name(), ".bundle.") {
			continue
		}
		text, err := examples.Files.ReadFile(e.Name())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := zysettings.Parse(e.Name(), text); err != nil {
			t.Errorf("%s: %v", e.Name(), err)
		}
		parsed++
	}
	if parsed == 0 {
		t.Error("there is no example of settings")
	}
}

// TestParseRejects changes one line of valid settings and expects that problem.
func TestParseRejects(t *testing.T) {
	raw, err := examples.Files.ReadFile("hollander.kurume-settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	valid := string(raw)
	for _, c := range []struct {
		old, new, want string
	}{
		{"[node]", "[nodes]", "found an unknown section"},
		{"host = kurume-settings", "host = kurume settings", "accepted: 1 to 64 letters, digits"},
		{"caller = 127.0.0.1:7100", "caller = localhost:7100", "accepted: an IP address and a port"},
		{"caller = 127.0.0.1:7100", "caller = 127.0.0.1", "accepted: an IP address and a port"},
		{"caller = 127.0.0.1:7100", "caller = 127.0.0.1:65536", "accepted: an IP address and a port"},
		{"level = info", "level = loud", "accepted: one of debug, info, warn, error"},
		{"grace = 15s", "grace = 15", "accepted: a duration with its unit"},
		{"[logging]", "[processor]\nthreads = 0\n[logging]", "accepted: a whole number from 1 to 1024"},
		{"needed = 1", "needed = 0", "accepted: a whole number from 1 to 16"},
		{"[log]\naddress = 127.0.0.1:7000", "", "[log]: found no such section"},
		{"[log]", "[customerLimits]\noverage = NaN\n[log]", "accepted: a number from 0 to 10"},
		{"[log]", "[customerLimits]\nwindow = 5\n[log]", "accepted: a duration with its unit"},
		{"key = 7a7a", "key = 7a", "accepted: 32 bytes as hexadecimal digits"},
	} {
		_, err := zysettings.Parse("s.ini", []byte(strings.Replace(valid, c.old, c.new, 1)))
		var problems *zyini.ProblemsError
		if !errors.As(err, &problems) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: got error %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

// TestCustomerLimits checks the bounds with and without the section, and with one setting.
func TestCustomerLimits(t *testing.T) {
	raw, err := examples.Files.ReadFile("hollander.kurume-settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	for section, want := range map[string]zysettings.CustomerLimits{
		"":                                {Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		"[customerLimits]\noverage = 0\n": {Window: 5 * time.Second, Overage: 0, Slack: 20},
		"[customerLimits]\nwindow = 4s\noverage = 0.2\nslack = 7\n": {Window: 4 * time.Second, Overage: 0.2, Slack: 7},
	} {
		s, err := zysettings.Parse("s.ini", []byte(section+string(raw)))
		if err != nil || s.CustomerLimits != want {
			t.Errorf("with %q: got %+v, %v, want %+v", section, s, err, want)
		}
	}
}

// TestThreads checks that the number of threads is read, and that without its section the
// default of the Go runtime stays.
func TestThreads(t *testing.T) {
	raw, err := examples.Files.ReadFile("hollander.kurume-settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]int{string(raw): 0, string(raw) + "\n[processor]\nthreads = 1\n": 1} {
		s, err := zysettings.Parse("s.ini", []byte(text))
		if err != nil || s.Threads != want {
			t.Errorf("got %+v, %v, want %d threads", s, err, want)
		}
	}
}

// FuzzParse checks that Parse does not panic and accepts no settings without a host or
// peer key.
func FuzzParse(f *testing.F) {
	raw, _ := examples.Files.ReadFile("hollander.kurume-settings.ini")
	f.Add(string(raw))
	f.Fuzz(func(t *testing.T, text string) {
		s, err := zysettings.Parse("fuzz", []byte(text))
		if err == nil && (s.Host == "" || len(s.PeerKey) == 0) {
			t.Fatal("Parse accepted settings without a host or peer key")
		}
	})
}
