package zylogger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// mostPending bounds the lines that wait for a slow output: 1 MiB at the usual
// 250 bytes a line.
const mostPending = 4096

// Writer hands whole lines to an output in the background. Where the output is
// too slow, it drops lines and counts them; Write never blocks. A Writer must be
// made with NewWriter.
type Writer struct {
	mu      sync.Mutex
	pending [][]byte
	closed  bool
	wake    chan struct{}
	quit    chan struct{}
	once    sync.Once
	done    chan struct{}
	out     io.Writer
	dropped atomic.Int64
}

// NewWriter returns a running writer. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a copy of a line. It always returns its length.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := len(w.pending) >= mostPending || w.closed
	if !full {
		w.pending = append(w.pending, append([]byte(nil), line...))
	}
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were not written.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.flush()
		case <-w.quit:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = nil
	w.mu.Unlock()
	size := 0
	for _, line := range lines {
		size += len(line)
	}
	batch := make([]byte, 0, size)
	for _, line := range lines {
		batch = append(batch, line...)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := w.out.Write(batch); err != nil {
		w.dropped.Add(int64(len(lines)))
	}
}

// Close writes what is pending, for at most closeTime where the output is stuck.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.once.Do(func() { close(w.quit) })
	timer := time.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// closeTime bounds the wait for a stuck output at a stop.
const closeTime = 200 * time.Millisecond
