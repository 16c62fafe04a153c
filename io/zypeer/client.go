package zypeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ugorji/go/codec"

	"zinniayoke"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zytimer"
	"zinniayoke/io/zysocket"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Key   []byte
	Timer *zytimer.Service
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	heartbeatPeriod  = 500 * time.Millisecond
	heartbeatTimeout = 1 * time.Second
	dialTimeout      = 500 * time.Millisecond
	idleTime         = 30 * time.Second
)

// ErrConnectionLost says that a connection was given up because its heartbeat did not
// return.
var ErrConnectionLost = errors.New("the connection went silent")

// PeerError says what could not be done with a peer.
type PeerError struct {
	Address string
	Method  string
	Err     error
}

// Error names the method, the address and the cause.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Method, e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error {
	return e.Err
}

// Client keeps one connection to each peer that is called. It may be used by
// several goroutines. A Client must be made with NewClient.
type Client struct {
	cfg   ClientConfig
	mu    sync.Mutex
	links map[string]*link
	beat  *zytimer.Subscription
}

// link is one connection with its heartbeat.
type link struct {
	address string
	ready   chan struct{}
	err     error
	conn    net.Conn
	rpc     *rpc.Client
	used    time.Time
	pending *rpc.Call
	sent    time.Time
	// active counts the calls that wait for an answer, and answered is when the
	// last one came.
	active   int
	answered time.Time
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	c := &Client{cfg: cfg, links: make(map[string]*link)}
	c.beat = cfg.Timer.Every(heartbeatPeriod/2, c.heartbeat)
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return zysocket.Dial(ctx, address, dialTimeout)
}

// open dials and greets a peer.
func (c *Client) open(ctx context.Context, address string) (net.Conn, *rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(heartbeatTimeout))
	if err := greet(conn, c.cfg.Key); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, rpc.NewClientWithCodec(codec.GoRpc.ClientCodec(newBuffered(conn), rpcHandle())), nil
}

// connect returns the link to a peer, which is opened by its first user.
func (c *Client) connect(ctx context.Context, address string) (*link, error) {
	c.mu.Lock()
	l, ok := c.links[address]
	if !ok {
		l = &link{address: address, ready: make(chan struct{})}
		c.links[address] = l
		go c.establish(l)
	}
	l.used = time.Now()
	c.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (c *Client) establish(l *link) {
	conn, client, err := c.open(context.Background(), l.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	l.conn, l.rpc, l.err = conn, client, err
	if err != nil && c.links[l.address] == l {
		delete(c.links, l.address)
	}
	close(l.ready)
}

// drop removes a link, so that the next call opens a fresh connection.
func (c *Client) drop(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(l)
}

func (c *Client) dropLocked(l *link) {
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	if l.rpc != nil {
		_ = l.rpc.Close()
	}
}

// heartbeat pings each link and drops the silent and the idle ones. Calls on a
// link that is dropped fail at once.
func (c *Client) heartbeat(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		select {
		case <-l.ready:
			c.beatLink(now, l)
		default:
		}
	}
}

func (c *Client) beatLink(now time.Time, l *link) {
	if l.rpc == nil {
		return
	}
	if l.pending != nil {
		select {
		case <-l.pending.Done:
			if l.pending.Error != nil {
				c.dropLocked(l)
				return
			}
			l.pending = nil
		default:
			if now.Sub(l.sent) >= heartbeatTimeout {
				c.dropLocked(l)
			}
			return
		}
	}
	if now.Sub(l.used) > idleTime {
		c.dropLocked(l)
		return
	}
	// Where nobody waits, or answers come, a heartbeat tells nothing.
	if l.active > 0 && now.Sub(l.answered) >= heartbeatPeriod && now.Sub(l.sent) >= heartbeatPeriod {
		l.sent = now
		l.pending = l.rpc.Go(serviceName+".Ping", &Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	}
}

// call runs one method over the kept connection.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	l, err := c.connect(ctx, address)
	if err != nil {
		return &PeerError{Address: address, Method: method, Err: err}
	}
	c.begin(l)
	call := l.rpc.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.end(l, call.Error == nil)
	case <-ctx.Done():
		c.end(l, false)
		return &PeerError{Address: address, Method: method, Err: context.Cause(ctx)}
	}
	if call.Error == nil {
		return nil
	}
	if errors.As(call.Error, new(rpc.ServerError)) {
		return &PeerError{Address: address, Method: method, Err: call.Error}
	}
	c.drop(l)
	return &PeerError{Address: address, Method: method, Err: errors.Join(ErrConnectionLost, call.Error)}
}

// begin counts a call that waits for an answer on a link.
func (c *Client) begin(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.active == 0 {
		l.answered = time.Now() // Nothing that came before is late.
	}
	l.active++
}

// end counts a call that waits no more. One that was given up says nothing about
// the link.
func (c *Client) end(l *link, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.active--
	if answered {
		l.answered = time.Now()
	}
}

// callFresh runs one method over a connection of its own.
func (c *Client) callFresh(ctx context.Context, address, method string, args, reply any) error {
	_, client, err := c.open(ctx, address)
	if err != nil {
		return &PeerError{Address: address, Method: method, Err: err}
	}
	defer func() { _ = client.Close() }()
	call := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return &PeerError{Address: address, Method: method, Err: call.Error}
		}
		return nil
	case <-ctx.Done():
		return &PeerError{Address: address, Method: method, Err: context.Cause(ctx)}
	}
}

// Run sends an attempt.
func (c *Client) Run(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	reply := &zinniayoke.Reply{}
	if err := c.call(ctx, to.PeerAddress, "Run", a, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Query asks over a fresh connection what became of an attempt.
func (c *Client) Query(ctx context.Context, to zinniayoke.Upstream, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	reply := &zinniayoke.QueryReply{}
	if err := c.callFresh(ctx, to.PeerAddress, "Ask", &QueryArgs{Attempt: id}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Cancel tells a node that nobody waits for an attempt. It does not wait.
func (c *Client) Cancel(to zinniayoke.Upstream, id zinniayoke.AttemptID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
		defer cancel()
		_ = c.call(ctx, to.PeerAddress, "Cancel", &CancelArgs{Attempt: id}, &Empty{})
	}()
}

// RunAtOwner lets the keeper at the address run a request.
func (c *Client) RunAtOwner(ctx context.Context, address string, call *zinniayoke.Call) (*zinniayoke.Reply, error) {
	reply := &zinniayoke.Reply{}
	args := &RunAsOwnerArgs{Call: *call, Timeout: int64(time.Until(call.Deadline))}
	if err := c.call(ctx, address, "Book", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ConfirmNotRun asks the keeper at the address whether a key ran nowhere.
func (c *Client) ConfirmNotRun(ctx context.Context, address string, key zinniayoke.Key) (bool, error) {
	reply := &ConfirmNotRunReply{}
	if err := c.call(ctx, address, "Note", &KeyArgs{Key: key}, reply); err != nil {
		return false, err
	}
	return reply.NotRun, nil
}

// ReleaseKey asks the keeper at the address to give a key up.
func (c *Client) ReleaseKey(ctx context.Context, address string, key zinniayoke.Key) (*zykeyowner.ReleaseReply, error) {
	reply := &zykeyowner.ReleaseReply{}
	if err := c.call(ctx, address, "GiveUp", &KeyArgs{Key: key}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Recall asks the node at the address for a promise. It uses a connection of its
// own, since a keeper asks many nodes once.
func (c *Client) Recall(ctx context.Context, address string, args *RecallArgs) (*zykeyowner.RecallReply, error) {
	reply := &zykeyowner.RecallReply{}
	if err := c.callFresh(ctx, address, "Recall", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ImportKeys gives what this node remembers to the node at the address.
func (c *Client) ImportKeys(ctx context.Context, address string, args *ImportKeysArgs) error {
	return c.call(ctx, address, "Inherit", args, &Empty{})
}

// SyncMembers compares member lists with the node at the address.
func (c *Client) SyncMembers(ctx context.Context, address string, args *SyncArgs) (*SyncReply, error) {
	reply := &SyncReply{}
	if err := c.call(ctx, address, "Sync", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ExchangeBundle passes a bundle on, or fetches the one in force.
func (c *Client) ExchangeBundle(ctx context.Context, address string, args *BundleArgs) (*BundleReply, error) {
	reply := &BundleReply{}
	if err := c.call(ctx, address, "Bundle", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Close ends all connections.
func (c *Client) Close() {
	c.beat.Cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		select {
		case <-l.ready:
			c.dropLocked(l)
		default:
		}
	}
}
