package zyexchange

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniayoke/io/zysocket"
)

const (
	// DefaultIdleTimeout is how long an idle connection is kept if the server sends no Keep-Alive
	// timeout.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's Keep-Alive timeout, so that no request is sent
	// while the server closes the connection.
	idleMargin = 500 * time.Millisecond
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Conn Config
	// DialTimeout limits the opening of a connection.
	DialTimeout time.Duration
}

// Pool opens connections to one address and keeps those that are idle. It must be made with
// NewPool.
type Pool struct {
	cfg PoolConfig

	mu      sync.Mutex
	address string
	idle    []*Conn
}

// NewPool returns a pool that connects on demand.
func NewPool(address string, cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, address: address}
}

// SetAddress changes the address for later requests.
func (p *Pool) SetAddress(address string) {
	p.mu.Lock()
	same := p.address == address
	p.address = address
	p.mu.Unlock()
	if !same {
		p.Close()
	}
}

// Get returns the idle connection that was used last, of those that accept takes, or a new one.
// A nil accept takes any.
func (p *Pool) Get(ctx context.Context, accept func(c *Conn) bool) (*Conn, error) {
	for {
		c := p.takeIdle(accept)
		if c == nil {
			return p.Open(ctx)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
}

// Open returns a new connection.
func (p *Pool) Open(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	conn, err := zysocket.Dial(ctx, address, p.cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	return NewConn(conn, p.cfg.Conn), nil
}

func (p *Pool) takeIdle(accept func(c *Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; accept == nil || accept(c) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// Put keeps the connection until it expires, and closes the oldest ones that have.
func (p *Pool) Put(c *Conn, expires time.Time) {
	c.expires = expires
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for len(p.idle) > 0 && now.After(p.idle[0].expires) {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Close closes the connections that are not in use.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// usable reports whether the idle connection can carry a request.
func (c *Conn) usable(now time.Time) bool {
	return now.Before(c.expires) && c.Buffered() == 0 && zysocket.IsReusable(c.Conn)
}

// IdleTimeout returns how long the connection can be kept idle, from the timeout in the server's
// Keep-Alive field.
func IdleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return DefaultIdleTimeout
}

// Request is a request of a Client.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the request line and the fields.
func (r *Request) encode() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true}) // A Builder returns no error.
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Do sends a request on a connection of the pool and returns the whole response. sent is false if
// certainly nothing of the request was sent. A request is never repeated.
func (p *Pool) Do(ctx context.Context, r *Request) (resp *Response, sent bool, err error) {
	c, err := p.Get(ctx, nil)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, sent, err = c.roundTrip(r)
	switch {
	case !stop():
		_ = c.Close()
		if err != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
	case err != nil || resp.Close:
		_ = c.Close()
	default:
		p.Put(c, time.Now().Add(IdleTimeout(resp.Header)))
	}
	return resp, sent, err
}

func (c *Conn) roundTrip(r *Request) (*Response, bool, error) {
	sending, n, err := c.Send(r.encode(), r.Body)
	if err != nil {
		return nil, n > 0, err
	}
	resp, err := c.ReadResponse(r.Method, sending)
	if err != nil {
		return nil, true, err
	}
	resp.Close = resp.Close || !sending.Complete() || c.Buffered() > 0
	return resp, true, nil
}
