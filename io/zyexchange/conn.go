// Package zyexchange sends HTTP/1.1 requests and reads their responses strictly: bytes that are
// no response, or the part of one, are never returned as one. All clients of the program that read
// responses for others go through it.
package zyexchange

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"zinniayoke/core/zybudget"
)

// Config configures a Conn.
type Config struct {
	// Budget counts the bodies that are being read; nil sets no limit.
	Budget *zybudget.Budget
	// MaxHead limits the bytes of a head; 0 means 64 KiB.
	MaxHead int
	// MaxBody limits the bytes of a body; 0 means what a frame between nodes can carry.
	MaxBody int64
	// Received, if set, counts the bytes that are read.
	Received *atomic.Int64
}

const (
	defaultMaxHead = 64 << 10
	defaultMaxBody = 120 << 20
	bufferSize     = 8 << 10
	// A body above maxInlineBody is written while the response is read, because the server may
	// respond before it has read the whole body.
	maxInlineBody = 4 << 10
	// sendTimeout is how long the server may take to read the rest of a body after it has
	// responded.
	sendTimeout = 200 * time.Millisecond
)

var errBufferFull = bufio.ErrBufferFull

// Conn is a connection that carries one request at a time. It must be made with NewConn.
type Conn struct {
	net.Conn
	cfg    Config
	r      *bufio.Reader
	holder *zybudget.Holder
	// User is for the owner of the connection.
	User any
	// expires is when the server may close the idle connection.
	expires time.Time
	// headLeft is how many bytes of the head may still be read.
	headLeft int
}

// NewConn returns a Conn on an open connection.
func NewConn(conn net.Conn, cfg Config) *Conn {
	if cfg.MaxHead == 0 {
		cfg.MaxHead = defaultMaxHead
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	c := &Conn{Conn: conn, cfg: cfg}
	c.r = bufio.NewReaderSize((*countingReader)(c), bufferSize)
	return c
}

// countingReader reads from the connection of a Conn.
type countingReader Conn

// Read reads from the connection and counts the bytes.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.cfg.Received != nil {
		c.cfg.Received.Add(int64(n))
	}
	return n, err //nolint:wrapcheck // The readers above compare it with io.EOF.
}

// Buffered returns how many bytes have arrived that belong to no response yet.
func (c *Conn) Buffered() int {
	return c.r.Buffered()
}

// Sending is a request whose body may still be written.
type Sending struct {
	done chan struct{}
	err  error // Set before done is closed.
}

// Complete waits up to sendTimeout and reports whether the whole request was written.
func (s *Sending) Complete() bool {
	if s == nil {
		return true
	}
	timer := time.NewTimer(sendTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
		return s.err == nil
	case <-timer.C:
		return false
	}
}

// Send writes a request, of which head is the request line and the fields with the empty line. It
// returns how many bytes were written. A long body is written in the background; the Sending is nil
// if nothing is left to write.
func (c *Conn) Send(head, body []byte) (*Sending, int, error) {
	if len(body) <= maxInlineBody {
		n, err := c.Write(append(head, body...))
		if err != nil {
			return nil, n, fmt.Errorf("write: %w", err)
		}
		return nil, n, nil
	}
	n, err := c.Write(head)
	if err != nil {
		return nil, n, fmt.Errorf("write: %w", err)
	}
	s := &Sending{done: make(chan struct{})}
	go func() {
		_, s.err = c.Write(body)
		close(s.done)
	}()
	return s, n, nil
}
