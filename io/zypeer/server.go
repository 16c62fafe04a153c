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
)

// Service is what a node does for its peers.
type Service interface {
	Run(ctx context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply
	Query(id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error)
	Cancel(id zinniayoke.AttemptID)
	RunAsOwner(ctx context.Context, c *zinniayoke.Call) *zinniayoke.Reply
	ConfirmNotRun(ctx context.Context, key zinniayoke.Key) bool
	ReleaseKey(ctx context.Context, key zinniayoke.Key) *zykeyowner.ReleaseReply
	Recall(slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) *zykeyowner.RecallReply
	ImportKeys(args *ImportKeysArgs)
	SyncMembers(args *SyncArgs) *SyncReply
	ExchangeBundle(args *BundleArgs) *BundleReply
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	Key      []byte
	Service  Service
}

const (
	handshakeTimeout = 2 * time.Second
	noteTimeout      = 1 * time.Second
	mostElements     = 1 << 20
	serviceName      = "Node"
	runMethod        = serviceName + ".Run"
)

// Server answers peers. A Server must be made with NewServer.
type Server struct {
	cfg    ServerConfig
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	active sync.WaitGroup
	// replies counts attempts whose reply has not been written yet, and idle is
	// closed once there are none, where somebody waits for that.
	replies int
	idle    chan struct{}
}

// replyCodec tells the server when the reply to an attempt has been written.
type replyCodec struct {
	rpc.ServerCodec
	server *Server
}

// ReadRequestHeader counts an attempt from the moment that it arrives.
func (c *replyCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.ServerCodec.ReadRequestHeader(r)
	if err == nil && r.ServiceMethod == runMethod {
		c.server.reply(1)
	}
	return err //nolint:wrapcheck // The rpc package compares it with io.EOF.
}

// WriteResponse writes a response.
func (c *replyCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.ServiceMethod == runMethod {
		defer c.server.reply(-1)
	}
	return c.ServerCodec.WriteResponse(r, body) //nolint:wrapcheck // The rpc package logs it.
}

func (s *Server) reply(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies += n
	if s.replies == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain waits until the replies to all attempts have been written or ctx is
// done.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	if s.replies == 0 {
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

// NewServer returns a server; Serve runs it.
func NewServer(cfg ServerConfig) (*Server, error) {
	s := &Server{cfg: cfg, rpc: rpc.NewServer(), conns: make(map[net.Conn]bool)}
	if err := s.rpc.RegisterName(serviceName, &methods{service: cfg.Service}); err != nil {
		return nil, fmt.Errorf("peer service: %w", err)
	}
	return s, nil
}

// Serve accepts connections until Close.
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
		s.active.Add(1)
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.active.Done()
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := welcome(conn, s.cfg.Key); err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	s.rpc.ServeCodec(&replyCodec{ServerCodec: codec.GoRpc.ServerCodec(newBuffered(conn), rpcHandle()), server: s})
}

func rpcHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxInitLen = mostElements
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

// Close ends the listener and all connections.
func (s *Server) Close() {
	_ = s.cfg.Listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.active.Wait()
}

// methods adapts a Service to the signatures that net/rpc wants.
type methods struct {
	service Service
}

// Run runs an attempt.
func (m *methods) Run(a *zinniayoke.Attempt, out *zinniayoke.Reply) error {
	*out = *m.service.Run(context.Background(), a)
	return nil
}

// Ask tells the fate of an attempt.
func (m *methods) Ask(args *QueryArgs, out *zinniayoke.QueryReply) error {
	told, err := m.service.Query(args.Attempt)
	if err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	*out = *told
	return nil
}

// Cancel ends an attempt.
func (m *methods) Cancel(args *CancelArgs, _ *Empty) error {
	m.service.Cancel(args.Attempt)
	return nil
}

// Ping is the heartbeat of a connection.
func (m *methods) Ping(_ *Empty, _ *Empty) error {
	return nil
}

// Book runs a request whose key this node keeps.
func (m *methods) Book(args *RunAsOwnerArgs, out *zinniayoke.Reply) error {
	call := args.Call
	call.Deadline = time.Now().Add(time.Duration(args.Timeout))
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	*out = *m.service.RunAsOwner(ctx, &call)
	return nil
}

// Note tells whether a key ran nowhere.
func (m *methods) Note(args *KeyArgs, out *ConfirmNotRunReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	out.NotRun = m.service.ConfirmNotRun(ctx, args.Key)
	return nil
}

// GiveUp hands a key to the caller's new home.
func (m *methods) GiveUp(args *KeyArgs, out *zykeyowner.ReleaseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	*out = *m.service.ReleaseKey(ctx, args.Key)
	return nil
}

// Recall answers a keeper that takes slots over.
func (m *methods) Recall(args *RecallArgs, out *zykeyowner.RecallReply) error {
	*out = *m.service.Recall(args.Slots, args.Epoch)
	return nil
}

// Inherit takes over what a leaving node remembers.
func (m *methods) Inherit(args *ImportKeysArgs, _ *Empty) error {
	m.service.ImportKeys(args)
	return nil
}

// Sync compares member lists.
func (m *methods) Sync(args *SyncArgs, out *SyncReply) error {
	*out = *m.service.SyncMembers(args)
	return nil
}

// Bundle takes a bundle in and returns the one in force.
func (m *methods) Bundle(args *BundleArgs, out *BundleReply) error {
	*out = *m.service.ExchangeBundle(args)
	return nil
}
