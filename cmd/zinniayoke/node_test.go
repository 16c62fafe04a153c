package main

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestSIGHUPDuringShutdown sends SIGHUP after reloadOnChange has returned. If that
// restored the default action of the signal, SIGHUP would kill the process while
// the node shuts down.
func TestSIGHUPDuringShutdown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reloadOnChange(ctx, filepath.Join(t.TempDir(), "node.ini"), nil)
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // Leave time for the signal to be delivered.
}
