package zylogger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxPendingLines limits the lines that wait for a slow output. At 250 bytes, the usual
// length of a line, they take 1 MiB.
const maxPendingLines = 4096

// Writer writes lines to an output in the background. If the output is too slow, it
// drops and counts lines, so that Write never blocks. A Writer must be created with
// NewWriter.
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

// NewWriter starts a writer. Call Close to stop it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line, or drops the line if too many are pending. It always
// returns the length of the line and no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := len(w.pending) >= maxPendingLines || w.closed
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

// Dropped returns the number of lines that were dropped so far.
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

// Close writes the pending lines. It waits for at most closeTimeout if the output
// blocks.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.once.Do(func() { close(w.quit) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// closeTimeout limits how long Close waits for an output that blocks.
const closeTimeout = 200 * time.Millisecond
