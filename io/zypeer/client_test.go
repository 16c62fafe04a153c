package zypeer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zytimer"
	"zinniayoke/io/zypeer"
)

var key = bytes.Repeat([]byte{7}, 32)

// service is a peer that answers attempts after a second.
type service struct {
	zypeer.Service
	runs atomic.Int32
}

func (s *service) Run(_ context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	s.runs.Add(1)
	time.Sleep(time.Second)
	return &zinniayoke.Reply{Attempt: a.ID, Outcome: zinniayoke.OutcomeDone}
}

func (s *service) Query(id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{State: zinniayoke.AttemptRunning, Reply: &zinniayoke.Reply{Attempt: id}}, nil
}

func (s *service) Recall([]zinniayoke.KeySlot, zinniayoke.Epoch) *zykeyowner.RecallReply {
	return &zykeyowner.RecallReply{}
}

// wire is a network in memory whose open connections can go silent.
type wire struct {
	listener chan net.Conn
	silent   chan struct{}
	dials    atomic.Int32
	closed   chan struct{}
}

func newWire() *wire {
	return &wire{listener: make(chan net.Conn), silent: make(chan struct{}), closed: make(chan struct{})}
}

func (w *wire) Accept() (net.Conn, error) {
	select {
	case conn := <-w.listener:
		return conn, nil
	case <-w.closed:
		return nil, net.ErrClosed
	}
}

func (w *wire) Close() error   { close(w.closed); return nil }
func (w *wire) Addr() net.Addr { return &net.TCPAddr{} }

// dial joins two pipes; what goes into the first comes out of the second until
// the connection goes silent.
func (w *wire) dial(context.Context, string) (net.Conn, error) {
	w.dials.Add(1)
	client, near := net.Pipe()
	far, server := net.Pipe()
	silent := w.silent
	pump := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		raw := make([]byte, 4096)
		for {
			n, err := from.Read(raw)
			if err != nil {
				return
			}
			select {
			case <-silent:
				continue
			default:
			}
			if _, err := to.Write(raw[:n]); err != nil {
				return
			}
		}
	}
	go pump(far, near)
	go pump(near, far)
	w.listener <- server
	return client, nil
}

// bench is a client and a server over a wire.
type bench struct {
	wire    *wire
	client  *zypeer.Client
	service *service
	server  *zypeer.Server
	end     func()
}

func newBench(t *testing.T, clientKey []byte) *bench {
	b := &bench{wire: newWire(), service: &service{}}
	server, err := zypeer.NewServer(zypeer.ServerConfig{Listener: b.wire, Key: key, Service: b.service})
	if err != nil {
		t.Fatal(err)
	}
	b.server = server
	go server.Serve()
	timer := zytimer.New()
	b.client = zypeer.NewClient(zypeer.ClientConfig{Key: clientKey, Timer: timer, Dial: b.wire.dial})
	b.end = func() {
		b.client.Close()
		timer.Stop()
		server.Close()
	}
	return b
}

var peer = zinniayoke.Upstream{PeerAddress: "peer"}

func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, key)
		defer b.end()
		if _, err := b.client.Run(context.Background(), peer, &zinniayoke.Attempt{ID: "a"}); err != nil {
			t.Fatal(err)
		}
		close(b.wire.silent)
		start := time.Now()
		_, err := b.client.Run(context.Background(), peer, &zinniayoke.Attempt{ID: "b"})
		if !errors.Is(err, zypeer.ErrConnectionLost) {
			t.Errorf("a call over a silent connection: %v", err)
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("the silent connection was believed for %s", took)
		}
		b.wire.silent = make(chan struct{})
		told, err := b.client.Query(context.Background(), peer, "b")
		if err != nil || told.Reply.Attempt != "b" {
			t.Errorf("asking over a fresh connection: %+v, %v", told, err)
		}
		if _, err := b.client.Run(context.Background(), peer, &zinniayoke.Attempt{ID: "c"}); err != nil {
			t.Errorf("a call over the next connection: %v", err)
		}
		if dials := b.wire.dials.Load(); dials != 3 {
			t.Errorf("%d connections, want 3", dials)
		}
	})
}

func TestSlowPeerIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, key)
		defer b.end()
		for range 20 {
			if _, err := b.client.Run(context.Background(), peer, &zinniayoke.Attempt{ID: "a"}); err != nil {
				t.Fatal(err)
			}
		}
		if dials := b.wire.dials.Load(); dials != 1 {
			t.Errorf("%d connections for a peer that answers after a second", dials)
		}
	})
}

func TestWrongKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, make([]byte, 32))
		defer b.end()
		_, err := b.client.Run(context.Background(), peer, &zinniayoke.Attempt{ID: "a"})
		var failure *zypeer.PeerError
		if !errors.As(err, &failure) || !errors.Is(err, zypeer.ErrWrongKey) || b.service.runs.Load() != 0 {
			t.Errorf("a client with another key: %v, %d runs", err, b.service.runs.Load())
		}
	})
}

func TestCallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, key)
		defer b.end()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		if _, err := b.client.Run(ctx, peer, &zinniayoke.Attempt{ID: "a"}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a call past its deadline: %v", err)
		}
		time.Sleep(2 * time.Second)
	})
}

// FuzzServer feeds bytes to a server after a right handshake was started.
func FuzzServer(f *testing.F) {
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0x93}, 100))
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := newWire()
		s := &service{}
		server, err := zypeer.NewServer(zypeer.ServerConfig{Listener: w, Key: key, Service: s})
		if err != nil {
			t.Fatal(err)
		}
		go server.Serve()
		near, far := net.Pipe()
		w.listener <- far
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_ = near.SetDeadline(time.Now().Add(time.Second))
		_, _ = near.Write(raw)
		_ = near.Close()
		server.Close()
		if s.runs.Load() != 0 {
			t.Fatal("bytes without a handshake ran an attempt")
		}
	})
}

// TestDrainWaitsForReplies lets a server drain while an attempt is at the worker.
// Its reply has to be out when Drain returns, as the connections close then.
func TestDrainWaitsForReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, key)
		defer b.end()
		replied := make(chan error, 1)
		go func() {
			_, err := b.client.Run(context.Background(), peer, &zinniayoke.Attempt{ID: "a"})
			replied <- err
		}()
		time.Sleep(100 * time.Millisecond)
		b.server.Drain(context.Background())
		synctest.Wait()
		select {
		case err := <-replied:
			if err != nil {
				t.Errorf("the reply did not come: %v", err)
			}
		default:
			t.Error("the server has drained before its reply was out")
		}
		b.server.Drain(context.Background()) // With nothing at hand it returns at once.
	})
}
