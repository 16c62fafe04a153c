package main

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestSIGHUPDuringShutdown sends SIGHUP after the node was told to stop. Where the
// signal had its default action again, it would end this process.
func TestSIGHUPDuringShutdown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reloadOnChange(ctx, filepath.Join(t.TempDir(), "node.ini"), nil)
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // A deadly signal would be here by now.
}
