package zypeer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"github.com/ugorji/go/codec"

	"zinniayoke"
	"zinniayoke/core/zybudget"
)

// maxIdleRunners is how many goroutines wait for the next attempt. A new goroutine begins with
// a small stack, which is copied once or twice on the way to the worker: 4% of the processor
// time of a call.
const maxIdleRunners = 256

// largeAttempt is from which size of its body an attempt is refused while the budget is exhausted.
const largeAttempt = 64 << 10

// frameServer serves the requests on a connection with protocolFrames. Attempts are run
// directly; the other methods, which are rare, go through net/rpc.
type frameServer struct {
	server *Server
	frames *frameConn
	// calls are the requests without a reply yet.
	calls sync.WaitGroup
	// writing protects the writing half of frames.
	writing sync.Mutex
}

// run is an attempt that has arrived.
type run struct {
	conn    *frameServer
	seq     uint64
	attempt zinniayoke.Attempt
	// held has the bytes of the attempt and of its reply.
	held *zybudget.Holder
}

// serveFrames handles requests until the connection fails. It returns when all replies have been
// written.
func (s *Server) serveFrames(conn net.Conn) {
	c := &frameServer{server: s, frames: newFrameConn(conn)}
	for {
		var r rpc.Request
		if err := c.frames.ReadRequestHeader(&r); err != nil {
			break
		}
		c.calls.Add(1)
		if r.ServiceMethod == runMethod {
			c.startRun(r.Seq)
			continue
		}
		single := &singleRequest{conn: c, method: r.ServiceMethod, seq: r.Seq, body: bytes.Clone(c.frames.in)}
		go func() {
			defer c.calls.Done()
			_ = s.rpc.ServeRequest(single) // An error is part of the reply.
		}()
	}
	c.calls.Wait()
	_ = c.frames.Close()
}

// startRun decodes the attempt of the current frame and runs it in another goroutine.
func (c *frameServer) startRun(seq uint64) {
	c.server.addPendingReplies(1)
	r := &run{conn: c, seq: seq, held: c.server.cfg.Budget.Hold(nil)}
	if err := c.frames.ReadRequestBody(&r.attempt); err != nil {
		r.reply(err.Error(), nil)
		return
	}
	_ = r.held.Pin(int64(len(r.attempt.Body))) // A holder that has never been listed is not evicted.
	if len(r.attempt.Body) > largeAttempt && c.server.cfg.Budget.Exhausted() {
		r.reply("", &zinniayoke.Reply{
			Attempt: r.attempt.ID, Request: r.attempt.Request, Reason: zinniayoke.ReasonShed, Outcome: zinniayoke.OutcomeNotRun,
			Detail: "the node of the worker has no memory left for the body",
		})
		return
	}
	select {
	case c.server.runs <- r:
	default:
		go c.server.execute(r)
	}
}

// execute executes the run, and then those that arrive until enough other goroutines wait for
// them.
func (s *Server) execute(r *run) {
	for r != nil {
		r.reply("", s.cfg.Service.Run(context.Background(), &r.attempt))
		if s.idleRunners.Add(1) > maxIdleRunners {
			s.idleRunners.Add(-1)
			return
		}
		r = <-s.runs // nil after Close.
		s.idleRunners.Add(-1)
	}
}

// reply writes the reply to the attempt, which is then no longer pending. An error of the
// connection is seen by its reader.
func (r *run) reply(problem string, reply *zinniayoke.Reply) {
	defer r.held.Release()
	if reply != nil && reply.Response != nil {
		_ = r.held.Pin(int64(len(reply.Response.Body)))
	}
	_ = r.conn.write(&rpc.Response{ServiceMethod: runMethod, Seq: r.seq, Error: problem}, reply)
	r.conn.server.addPendingReplies(-1)
	r.conn.calls.Done()
}

func (c *frameServer) write(r *rpc.Response, body any) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.frames.WriteResponse(r, body)
}

// singleRequest is the rpc.ServerCodec of one request.
type singleRequest struct {
	conn   *frameServer
	method string
	seq    uint64
	body   []byte
}

// ReadRequestHeader returns the header of the request.
func (r *singleRequest) ReadRequestHeader(header *rpc.Request) error {
	header.ServiceMethod, header.Seq = r.method, r.seq
	return nil
}

// ReadRequestBody decodes the argument, unless body is nil.
func (r *singleRequest) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	if err := codec.NewDecoderBytes(r.body, r.conn.frames.handle).Decode(body); err != nil {
		return fmt.Errorf("decode %T: %w", body, err)
	}
	return nil
}

// WriteResponse writes the reply to the connection.
func (r *singleRequest) WriteResponse(header *rpc.Response, body any) error {
	return r.conn.write(header, body)
}

// Close does nothing: the connection serves other requests.
func (r *singleRequest) Close() error {
	return nil
}
