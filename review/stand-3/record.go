// Command stand-3 runs the cases of the third review: nodes as separate processes, and stand-ins
// of the platform's store, its workers and their clients.
package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	w       io.Writer
	started time.Time
}

func newRecord(w io.Writer) *record {
	return &record{w: w, started: time.Now()}
}

// addf adds a line with the time.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
