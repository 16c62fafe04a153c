package zypeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ugorji/go/codec"

	"zinniayoke"
	"zinniayoke/core/zybudget"
	"zinniayoke/core/zykeyowner"
)

// Service handles the calls of peers. Its methods must be safe for concurrent use.
type Service interface {
	Run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply
	Query(node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error)
	Cancel(id zinniayoke.AttemptID)
	Withdraw(id zinniayoke.AttemptID)
	RunAsOwner(ctx context.Context, c *zinniayoke.Call) *zinniayoke.Reply
	ConfirmNotRun(ctx context.Context, key zinniayoke.Key) bool
	ReleaseKey(ctx context.Context, key zinniayoke.Key) *zykeyowner.ReleaseReply
	PromiseEpoch(slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) *zykeyowner.PromiseReply
	ImportKeys(args *ImportKeysArgs)
	SyncMembers(args *SyncArgs) *SyncReply
	ExchangeBundle(args *BundleArgs) *BundleReply
	GrantQuota(r *zinniayoke.QuotaRequest) *zinniayoke.QuotaReply
	ReleaseQuota(r *zinniayoke.QuotaRelease) *zinniayoke.QuotaHandover
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// Key is the secret that all nodes share.
	Key     []byte
	Service Service
	// Budget counts the attempts that have arrived and their replies; nil sets no limit.
	Budget *zybudget.Budget
}

const (
	handshakeTimeout  = 2 * time.Second
	keyRequestTimeout = 1 * time.Second
	maxInitLen        = 1 << 20
	serviceName       = "Node"
	runMethod         = serviceName + ".Run"
	// Requests for tokens have a service of their own with a short name, because net/rpc sends
	// the name in both directions and these messages are frequent and small.
	quotaServiceName = "Q"
	quotaMethod      = quotaServiceName + ".T"
)

// Server serves RPC calls of peers. A Server must be created with NewServer.
type Server struct {
	cfg      ServerConfig
	rpc      *rpc.Server
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	handlers sync.WaitGroup
	// runs passes attempts to goroutines that have run one before; idleRunners is how many
	// wait there.
	runs        chan *run
	idleRunners atomic.Int32
	// pendingReplies is the number of attempts whose reply has not been written yet.
	// idle is nil unless Drain waits; it is closed when no reply is pending.
	pendingReplies int
	idle           chan struct{}
}

// replyCodec counts the attempts whose reply has not been written yet.
type replyCodec struct {
	rpc.ServerCodec
	server *Server
}

// ReadRequestHeader reads the header of a call and counts the reply to an attempt as
// pending.
func (c *replyCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.ServerCodec.ReadRequestHeader(r)
	if err == nil && r.ServiceMethod == runMethod {
		c.server.addPendingReplies(1)
	}
	return err //nolint:wrapcheck // net/rpc compares the error with io.EOF.
}

// WriteResponse writes a reply, which is then no longer pending.
func (c *replyCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.ServiceMethod == runMethod {
		defer c.server.addPendingReplies(-1)
	}
	return c.ServerCodec.WriteResponse(r, body) //nolint:wrapcheck // net/rpc logs the error.
}

func (s *Server) addPendingReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingReplies += n
	if s.pendingReplies == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain waits until the replies to all attempts have been written, or until ctx is
// done.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	if s.pendingReplies == 0 {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// NewServer returns a server that does not accept connections until Serve is called.
func NewServer(cfg ServerConfig) (*Server, error) {
	s := &Server{cfg: cfg, rpc: rpc.NewServer(), conns: make(map[net.Conn]bool), runs: make(chan *run)}
	if err := s.rpc.RegisterName(serviceName, &methods{service: cfg.Service}); err != nil {
		return nil, fmt.Errorf("register RPC service %q: %w", serviceName, err)
	}
	if err := s.rpc.RegisterName(quotaServiceName, &quotaMethods{service: cfg.Service}); err != nil {
		return nil, fmt.Errorf("register RPC service %q: %w", quotaServiceName, err)
	}
	return s, nil
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() {
	for {
		conn, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.handlers.Add(1)
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.handlers.Done()
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	protocol, err := serverHandshake(conn, s.cfg.Key)
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if protocol != protocolMsgpack {
		s.serveFrames(conn)
		return
	}
	s.rpc.ServeCodec(&replyCodec{ServerCodec: codec.GoRpc.ServerCodec(newBufferedConn(conn), rpcHandle()), server: s})
}

func rpcHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxInitLen = maxInitLen
	h.StructToArray = true
	h.ReaderBufferSize = 4096
	h.WriterBufferSize = 4096
	return h
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes the listener and all connections and waits until their handlers have
// returned.
func (s *Server) Close() {
	_ = s.cfg.Listener.Close()
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
	if first {
		close(s.runs) // No connection is left that could send to it.
	}
}

// methods adapts a Service to the signatures that net/rpc requires. The names of its
// methods are the RPC method names.
type methods struct {
	service Service
}

// Run executes an attempt.
func (m *methods) Run(a *zinniayoke.Attempt, out *zinniayoke.Reply) error {
	*out = *m.service.Run(context.Background(), a)
	return nil
}

// Ask returns the state of an attempt.
func (m *methods) Ask(args *QueryArgs, out *zinniayoke.QueryReply) error {
	reply, err := m.service.Query(args.Node, args.Attempt)
	if err != nil {
		return fmt.Errorf("query attempt %s: %w", args.Attempt, err)
	}
	*out = *reply
	return nil
}

// Cancel cancels an attempt.
func (m *methods) Cancel(args *CancelArgs, _ *Empty) error {
	m.service.Cancel(args.Attempt)
	return nil
}

// Withdraw refuses an attempt that still waits for the worker.
func (m *methods) Withdraw(args *CancelArgs, _ *Empty) error {
	m.service.Withdraw(args.Attempt)
	return nil
}

// Ping replies to the heartbeat of a connection.
func (m *methods) Ping(_ *Empty, _ *Empty) error {
	return nil
}

// Book runs a call whose idempotency key this node owns.
func (m *methods) Book(args *RunAsOwnerArgs, out *zinniayoke.Reply) error {
	call := args.Call
	call.Deadline = time.Now().Add(time.Duration(args.Timeout))
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	*out = *m.service.RunAsOwner(ctx, &call)
	return nil
}

// Note reports whether no attempt with the key has run.
func (m *methods) Note(args *KeyArgs, out *ConfirmNotRunReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), keyRequestTimeout)
	defer cancel()
	out.NotRun = m.service.ConfirmNotRun(ctx, args.Key)
	return nil
}

// GiveUp hands over the state of a key to the key owner in the caller's new home.
func (m *methods) GiveUp(args *KeyArgs, out *zykeyowner.ReleaseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), keyRequestTimeout)
	defer cancel()
	*out = *m.service.ReleaseKey(ctx, args.Key)
	return nil
}

// Recall promises an epoch for key slots and returns the key records in them to a node
// that takes over the slots.
func (m *methods) Recall(args *PromiseArgs, out *zykeyowner.PromiseReply) error {
	*out = *m.service.PromiseEpoch(args.Slots, args.Epoch)
	return nil
}

// Inherit stores key records and promised epochs of another node.
func (m *methods) Inherit(args *ImportKeysArgs, _ *Empty) error {
	m.service.ImportKeys(args)
	return nil
}

// Sync compares the member lists of the peer and of this node and returns the members
// that differ.
func (m *methods) Sync(args *SyncArgs, out *SyncReply) error {
	*out = *m.service.SyncMembers(args)
	return nil
}

// Bundle accepts a newer bundle and returns the version in force.
func (m *methods) Bundle(args *BundleArgs, out *BundleReply) error {
	*out = *m.service.ExchangeBundle(args)
	return nil
}

// Release hands customers over to their new owner.
func (m *methods) Release(args *zinniayoke.QuotaRelease, out *zinniayoke.QuotaHandover) error {
	*out = *m.service.ReleaseQuota(args)
	return nil
}

// quotaMethods is the service of requests for tokens.
type quotaMethods struct {
	service Service
}

// T grants tokens of the customers that this node owns.
func (m *quotaMethods) T(args *zinniayoke.QuotaRequest, out *zinniayoke.QuotaReply) error {
	*out = *m.service.GrantQuota(args)
	return nil
}
