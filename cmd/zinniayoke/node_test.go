package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zysettings"
)

// TestSIGHUPDuringShutdown guards against a SIGHUP that kills the process while the node shuts
// down, because the reloader has restored the default action of the signal.
func TestSIGHUPDuringShutdown(t *testing.T) {
	stopped := make(chan struct{})
	close(stopped)
	r := settingsReloader{file: filepath.Join(t.TempDir(), "node.ini"), signals: notifyHangups(), node: &fakeReloadable{}}
	r.run(stopped)
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // Leave time for the signal to be delivered.
}

// fakeReloadable keeps what a node would apply.
type fakeReloadable struct {
	services []zinniayoke.Service
	warnings []error
}

func (f *fakeReloadable) Reload(s *zysettings.Settings) {
	f.services = append(f.services, s.Worker.Service)
}

func (f *fakeReloadable) LogWarning(_ string, err error) {
	f.warnings = append(f.warnings, err)
}

const nodeSettings = `[node]
host = h
domain = d
region = r
[listen]
caller = 127.0.0.1:1
upstream = 127.0.0.1:2
peer = 127.0.0.1:3
admin = 127.0.0.1:4
[peers]
key = 7a696e6e6961796f6b652d6f6e2d7468652d75736572732d706c6174666f726d
[store]
address = 127.0.0.1:5
[worker]
address = 127.0.0.1:6
service = `

// TestSettingsChangeUnnoticed guards against a process that keeps to old settings: the file
// changes while the process starts, with or without a signal, while it is half written, or while
// the node stops.
func TestSettingsChangeUnnoticed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.ini")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	node := &fakeReloadable{}
	r := settingsReloader{file: file, last: []byte(nodeSettings + "first\n"), node: node}
	for _, c := range []struct {
		name, text string
		signalled  bool
		want       zinniayoke.Service
	}{
		{"not changed", nodeSettings + "first\n", false, ""},
		{"during the start", nodeSettings + "second\n", false, "second"},
		{"half written", nodeSettings[:100], false, ""},
		{"then complete", nodeSettings + "third\n", false, "third"},
		{"not changed, signalled", nodeSettings + "third\n", true, "third"},
		{"signalled while half written", nodeSettings, true, ""},
		{"and without a signal", nodeSettings + "first\n", false, "first"},
	} {
		node.services = nil
		write(c.text)
		r.reload(c.signalled)
		if got := node.services; (len(got) > 0) != (c.want != "") || c.want != "" && got[0] != c.want {
			t.Errorf("%s: the node got %q, want %q", c.name, got, c.want)
		}
	}
	var problems *os.PathError
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if r.reload(false); !errors.As(node.warnings[len(node.warnings)-1], &problems) {
		t.Errorf("without a file, the warnings are %v", node.warnings)
	}
}

// TestSIGHUPDuringStart guards against a SIGHUP that ends the process before the Go runtime or the
// node has taken the signal over.
func TestSIGHUPDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.ini")
	text := regexp.MustCompile(`(caller|upstream|peer|admin) = .*`).ReplaceAllString(nodeSettings+"s\n", "$1 = 127.0.0.1:0")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		cmd := exec.Command(os.Args[0], "node", "--settings", file)
		cmd.Env = append(os.Environ(), runAsProgram+"=1")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		exited := make(chan error, 1)
		go func() { exited <- cmd.Wait() }()
		for !handlesHangup(t, cmd.Process.Pid) {
			runtime.Gosched() // The default action still applies to a process that is being loaded.
		}
		for range 200 {
			_ = cmd.Process.Signal(syscall.SIGHUP) // It fails if the process has ended, which is checked below.
			time.Sleep(time.Millisecond)
		}
		select {
		case err := <-exited:
			t.Errorf("SIGHUP ended the process: %v", err)
		default:
			_ = cmd.Process.Kill()
			if err := <-exited; err == nil {
				t.Error("a killed process has ended without an error")
			}
		}
	}
}

// handlesHangup reports whether the process ignores or catches SIGHUP.
func handlesHangup(t *testing.T, pid int) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"SigIgn", "SigCgt"} {
		_, rest, _ := strings.Cut(string(status), name+":\t")
		mask, _, _ := strings.Cut(rest, "\n")
		if bits, err := strconv.ParseUint(mask, 16, 64); err == nil && bits&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}
