// Package zylistener bounds what the clients of an HTTP server can take from it before their
// requests are read: connections, and the bytes of heads.
package zylistener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Config configures a Listener.
type Config struct {
	// MaxConns limits the open connections.
	MaxConns int
	// MaxHead returns the limit for the bytes of a head.
	MaxHead func() int
}

const (
	// headSlack is for what a server reads beyond the head.
	headSlack = 8 << 10
	// slowHead is after which time a connection whose head is not complete is closed sooner than
	// an idle one, if there are too many.
	slowHead         = 1 * time.Second
	headTooLarge     = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalWriteTime = 100 * time.Millisecond
)

// ErrHeadTooLarge means that a client has sent more than the limit before its request was read.
var ErrHeadTooLarge = errors.New("the head of the request is larger than the limit")

// phase is what a connection is used for. The zero value is phaseHead.
type phase int

const (
	// phaseHead is the time in which a head is read.
	phaseHead phase = iota
	phaseServing
	phaseIdle
)

// Listener limits the connections that it accepts. If there are too many, the one that is slowest
// to send a head, or idle for the longest time, is closed for a new one. Connections whose
// requests are being served stay.
type Listener struct {
	net.Listener
	cfg Config

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn is a connection of a Listener. Its fields are protected by the mutex of the listener.
type conn struct {
	net.Conn
	l     *Listener
	phase phase
	since time.Time
	// head counts the bytes since the last request was served.
	head int
}

// New returns a listener that accepts the connections of another one.
func New(l net.Listener, cfg Config) *Listener {
	return &Listener{Listener: l, cfg: cfg, conns: make(map[*conn]struct{})}
}

// Attach makes the server report what its connections are used for. It must be called before the
// server serves.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle:
			l.setPhase(c, phaseIdle)
		case http.StateActive:
			l.setPhase(c, phaseHead)
		default: // The others change nothing.
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			l.setPhase(c, phaseServing)
		}
		handler.ServeHTTP(w, r)
	})
}

type connKey struct{}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // The server compares it.
		}
		c := &conn{Conn: raw, l: l, since: time.Now()}
		victim, ok := l.add(c)
		if victim != nil {
			_ = victim.Close()
		}
		if ok {
			return c, nil
		}
		_ = raw.Close()
	}
}

// add adds the connection, and returns one to close for it. It reports false if there is no room.
func (l *Listener) add(c *conn) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *conn
	if len(l.conns) >= l.cfg.MaxConns {
		if victim = l.victim(c.since); victim == nil {
			return nil, false
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	return victim, true
}

// victim returns the connection to close for a new one: the oldest one with a slow head, else the
// one that is idle for the longest time, else the oldest one without a whole head. l.mu must be
// held.
func (l *Listener) victim(now time.Time) *conn {
	var head, idle *conn
	for c := range l.conns {
		switch {
		case c.phase == phaseHead && (head == nil || c.since.Before(head.since)):
			head = c
		case c.phase == phaseIdle && (idle == nil || c.since.Before(idle.since)):
			idle = c
		}
	}
	if head != nil && (idle == nil || now.Sub(head.since) > slowHead) {
		return head
	}
	return idle
}

func (l *Listener) setPhase(nc net.Conn, p phase) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseIdle && p == phaseHead || p == phaseIdle {
		c.since = time.Now()
	}
	if p == phaseIdle {
		c.head = 0
	}
	c.phase = p
}

// Read reads from the connection. The error is ErrHeadTooLarge if the client has sent too much
// before its request was read; it is told so.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.exceeds(n) {
		_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
		_, _ = c.Write([]byte(headTooLarge))
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrHeadTooLarge} // net/http adds no response to it.
	}
	return n, err //nolint:wrapcheck // The server compares it with io.EOF.
}

// exceeds counts n bytes and reports whether the head has too many.
func (c *conn) exceeds(n int) bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.phase == phaseServing {
		return false
	}
	c.head += n
	return c.head > c.l.cfg.MaxHead()+headSlack
}

// Close closes the connection.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // The server ignores it.
}

// CloseWrite closes the sending side, so that a response arrives although the rest of the request
// is not read.
func (c *conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.CloseWrite(); err != nil {
		return fmt.Errorf("close the sending side: %w", err)
	}
	return nil
}
