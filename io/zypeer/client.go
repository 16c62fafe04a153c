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
	// Key is the secret that all nodes share.
	Key   []byte
	Timer *zytimer.Service
	// Dial opens a connection. The default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	heartbeatPeriod  = 500 * time.Millisecond
	heartbeatTimeout = 1 * time.Second
	dialTimeout      = 500 * time.Millisecond
	idleTimeout      = 30 * time.Second
)

// ErrConnectionLost means that the connection broke while a call was waiting, or was
// closed because a heartbeat got no reply.
var ErrConnectionLost = errors.New("connection lost while waiting for the reply")

// PeerError is the error of a call to a peer. Method is the RPC method name.
type PeerError struct {
	Address string
	Method  string
	Err     error
}

// Error returns the address, the method and the cause.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Method, e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error {
	return e.Err
}

// Client calls peers and keeps one open connection to each of them. It is safe for
// concurrent use. A Client must be created with NewClient.
type Client struct {
	cfg            ClientConfig
	mu             sync.Mutex
	conns          map[string]*peerConn
	heartbeatTimer *zytimer.Subscription
}

// peerConn is the connection to one peer and the state of its heartbeat. The fields
// conn, rpc and err are set before ready is closed.
type peerConn struct {
	address     string
	ready       chan struct{}
	err         error
	conn        net.Conn
	rpc         *rpc.Client
	lastUsed    time.Time
	pendingPing *rpc.Call
	pingSent    time.Time
	// activeCalls is the number of calls that wait for a reply. lastReply is when the
	// latest reply arrived, or when the first of the waiting calls started.
	activeCalls int
	lastReply   time.Time
}

// NewClient returns a client that connects to a peer on the first call to it.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	c := &Client{cfg: cfg, conns: make(map[string]*peerConn)}
	c.heartbeatTimer = cfg.Timer.Every(heartbeatPeriod/2, c.heartbeat)
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return zysocket.Dial(ctx, address, dialTimeout)
}

// open connects to a peer and performs the handshake.
func (c *Client) open(ctx context.Context, address string) (net.Conn, *rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(heartbeatTimeout))
	protocol, err := clientHandshake(conn, c.cfg.Key)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	if protocol == protocolMsgpack {
		return conn, rpc.NewClientWithCodec(codec.GoRpc.ClientCodec(newBufferedConn(conn), rpcHandle())), nil
	}
	return conn, rpc.NewClientWithCodec(newFrameConn(conn)), nil
}

// connect returns the connection to a peer. The first caller starts to open it in the
// background; callers wait until it is open or ctx is done.
func (c *Client) connect(ctx context.Context, address string) (*peerConn, error) {
	c.mu.Lock()
	pc, ok := c.conns[address]
	if !ok {
		pc = &peerConn{address: address, ready: make(chan struct{})}
		c.conns[address] = pc
		go c.establish(pc)
	}
	pc.lastUsed = time.Now()
	c.mu.Unlock()
	select {
	case <-pc.ready:
		return pc, pc.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (c *Client) establish(pc *peerConn) {
	conn, client, err := c.open(context.Background(), pc.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.conn, pc.rpc, pc.err = conn, client, err
	if err != nil && c.conns[pc.address] == pc {
		delete(c.conns, pc.address)
	}
	close(pc.ready)
}

// drop closes and removes a connection, so that the next call opens a new one.
func (c *Client) drop(pc *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(pc)
}

func (c *Client) dropLocked(pc *peerConn) {
	if c.conns[pc.address] == pc {
		delete(c.conns, pc.address)
	}
	if pc.rpc != nil {
		_ = pc.rpc.Close()
	}
}

// heartbeat checks all open connections. It closes those that are idle or whose ping
// got no reply; calls that wait on a closed connection fail immediately.
func (c *Client) heartbeat(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.conns {
		select {
		case <-pc.ready:
			c.checkConn(now, pc)
		default:
		}
	}
}

func (c *Client) checkConn(now time.Time, pc *peerConn) {
	if pc.rpc == nil {
		return
	}
	if pc.pendingPing != nil {
		select {
		case <-pc.pendingPing.Done:
			if pc.pendingPing.Error != nil {
				c.dropLocked(pc)
				return
			}
			pc.pendingPing = nil
		default:
			if now.Sub(pc.pingSent) >= heartbeatTimeout {
				c.dropLocked(pc)
			}
			return
		}
	}
	if now.Sub(pc.lastUsed) > idleTimeout {
		c.dropLocked(pc)
		return
	}
	// Ping only if calls are waiting and no reply has arrived recently: otherwise the
	// connection is unused or known to work.
	if pc.activeCalls > 0 && now.Sub(pc.lastReply) >= heartbeatPeriod && now.Sub(pc.pingSent) >= heartbeatPeriod {
		pc.pingSent = now
		pc.pendingPing = pc.rpc.Go(serviceName+".Ping", &Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	}
}

// call calls a method over the connection that is kept to the peer.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	pc, err := c.connect(ctx, address)
	if err != nil {
		return &PeerError{Address: address, Method: method, Err: errors.Join(zinniayoke.ErrNotSent, err)}
	}
	c.callStarted(pc)
	name := method
	if method != quotaMethod {
		name = serviceName + "." + method
	}
	call := pc.rpc.Go(name, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.callEnded(pc, call.Error == nil)
	case <-ctx.Done():
		c.callEnded(pc, false)
		return &PeerError{Address: address, Method: method, Err: context.Cause(ctx)}
	}
	if call.Error == nil {
		return nil
	}
	if errors.As(call.Error, new(rpc.ServerError)) {
		return &PeerError{Address: address, Method: method, Err: call.Error}
	}
	c.drop(pc)
	return &PeerError{Address: address, Method: method, Err: errors.Join(ErrConnectionLost, call.Error)}
}

// callStarted records that a call waits for its reply.
func (c *Client) callStarted(pc *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pc.activeCalls == 0 {
		pc.lastReply = time.Now() // No reply was expected until now.
	}
	pc.activeCalls++
}

// callEnded records that a call no longer waits. A call that ended without a reply, for
// example because ctx was done, says nothing about the state of the connection.
func (c *Client) callEnded(pc *peerConn, replied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.activeCalls--
	if replied {
		pc.lastReply = time.Now()
	}
}

// callFresh calls a method over a new connection that is closed afterwards.
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

// Run sends an attempt to a node and returns its reply.
func (c *Client) Run(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	reply := &zinniayoke.Reply{}
	if err := c.call(ctx, to.PeerAddress, "Run", a, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Query asks a node for the state of an attempt. It uses a new connection, so that it
// does not depend on the one over which the attempt was sent.
func (c *Client) Query(ctx context.Context, to zinniayoke.Upstream, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	reply := &zinniayoke.QueryReply{}
	if err := c.callFresh(ctx, to.PeerAddress, "Ask", &QueryArgs{Attempt: id, Node: to.Node}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Cancel tells a node that an attempt is no longer needed. It returns immediately and
// ignores errors.
func (c *Client) Cancel(to zinniayoke.Upstream, id zinniayoke.AttemptID) {
	go c.notify(to, "Cancel", id)
}

// Withdraw tells a node to refuse an attempt that still waits for its worker. It returns
// immediately and ignores errors: nodes of earlier versions do not have the method.
func (c *Client) Withdraw(to zinniayoke.Upstream, id zinniayoke.AttemptID) {
	go c.notify(to, "Withdraw", id)
}

// notify calls a method that names an attempt and has no reply.
func (c *Client) notify(to zinniayoke.Upstream, method string, id zinniayoke.AttemptID) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	_ = c.call(ctx, to.PeerAddress, method, &CancelArgs{Attempt: id}, &Empty{})
}

// RunAtOwner sends a call with an idempotency key to the key owner at the address,
// which runs it.
func (c *Client) RunAtOwner(ctx context.Context, address string, call *zinniayoke.Call) (*zinniayoke.Reply, error) {
	reply := &zinniayoke.Reply{}
	args := &RunAsOwnerArgs{Call: *call, Timeout: int64(time.Until(call.Deadline))}
	if err := c.call(ctx, address, "Book", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ConfirmNotRun asks the key owner at the address whether no attempt with the key has
// run.
func (c *Client) ConfirmNotRun(ctx context.Context, address string, key zinniayoke.Key) (bool, error) {
	reply := &ConfirmNotRunReply{}
	if err := c.call(ctx, address, "Note", &KeyArgs{Key: key}, reply); err != nil {
		return false, err
	}
	return reply.NotRun, nil
}

// ReleaseKey asks the key owner at the address to hand over the state of a key.
func (c *Client) ReleaseKey(ctx context.Context, address string, key zinniayoke.Key) (*zykeyowner.ReleaseReply, error) {
	reply := &zykeyowner.ReleaseReply{}
	if err := c.call(ctx, address, "GiveUp", &KeyArgs{Key: key}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// PromiseEpoch asks the node at the address to promise an epoch for key slots and to return
// the key records that it holds for them. It uses a new connection, because a key owner
// asks each of many nodes only once.
func (c *Client) PromiseEpoch(ctx context.Context, address string, args *PromiseArgs) (*zykeyowner.PromiseReply, error) {
	reply := &zykeyowner.PromiseReply{}
	if err := c.callFresh(ctx, address, "Recall", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ImportKeys sends key records and promised epochs of this node to the node at the
// address.
func (c *Client) ImportKeys(ctx context.Context, address string, args *ImportKeysArgs) error {
	return c.call(ctx, address, "Inherit", args, &Empty{})
}

// SyncMembers sends hashes of the member list to the node at the address and returns
// the members that differ there.
func (c *Client) SyncMembers(ctx context.Context, address string, args *SyncArgs) (*SyncReply, error) {
	reply := &SyncReply{}
	if err := c.call(ctx, address, "Sync", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ExchangeBundle offers or sends a bundle to the node at the address, or fetches the
// one in force there.
func (c *Client) ExchangeBundle(ctx context.Context, address string, args *BundleArgs) (*BundleReply, error) {
	reply := &BundleReply{}
	if err := c.call(ctx, address, "Bundle", args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// RequestQuota asks the node at the address for tokens of customers that it owns.
func (c *Client) RequestQuota(ctx context.Context, address string, r *zinniayoke.QuotaRequest) (*zinniayoke.QuotaReply, error) {
	reply := &zinniayoke.QuotaReply{}
	if err := c.call(ctx, address, quotaMethod, r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ReleaseQuota asks the node at the address to hand customers over to this node.
func (c *Client) ReleaseQuota(ctx context.Context, address string, r *zinniayoke.QuotaRelease) (*zinniayoke.QuotaHandover, error) {
	reply := &zinniayoke.QuotaHandover{}
	if err := c.call(ctx, address, "Release", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Close closes all open connections.
func (c *Client) Close() {
	c.heartbeatTimer.Cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.conns {
		select {
		case <-pc.ready:
			c.dropLocked(pc)
		default:
		}
	}
}
