package zypeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	"github.com/ugorji/go/codec"

	"zinniayoke"
)

// fill sets all fields below v to values other than zero, each a different one.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n) * -1000)
	case reflect.Uint32:
		v.SetUint(math.MaxUint32 - uint64(*n))
	case reflect.Uint64:
		v.SetUint(math.MaxUint64 - uint64(*n))
	case reflect.Uint8:
		v.SetUint(uint64(*n) % 256)
	case reflect.Float64:
		v.SetFloat(float64(*n) / 3)
	case reflect.String:
		v.SetString("text " + string(rune('a'+*n%20)))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	default:
		panic("fill: " + v.Type().String())
	}
}

// bufferConn is a connection that returns what was written to it.
type bufferConn struct {
	net.Conn
	bytes.Buffer
}

func (c *bufferConn) Read(p []byte) (int, error)  { return c.Buffer.Read(p) }
func (c *bufferConn) Write(p []byte) (int, error) { return c.Buffer.Write(p) }
func (c *bufferConn) Close() error                { return nil }
func (c *bufferConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }

// pass sends body in a request to got.
func pass(t *testing.T, f *frameConn, body, got any) {
	t.Helper()
	if err := f.WriteRequest(&rpc.Request{ServiceMethod: runMethod, Seq: 1 << 40}, body); err != nil {
		t.Fatal(err)
	}
	var r rpc.Request
	if err := f.ReadRequestHeader(&r); err != nil {
		t.Fatal(err)
	}
	if r.ServiceMethod != runMethod || r.Seq != 1<<40 {
		t.Errorf("header %+v", r)
	}
	if err := f.ReadRequestBody(got); err != nil {
		t.Fatal(err)
	}
}

// TestEveryFieldIsSent guards against a field of Attempt, Reply or the types in them that is
// missing in the lists of fields: it would be lost on the way to another node.
func TestEveryFieldIsSent(t *testing.T) {
	f := newFrameConn(&bufferConn{})
	n := 0
	for range 2 { // The second time with used buffers.
		attempt, reply := &zinniayoke.Attempt{}, &zinniayoke.Reply{}
		fill(reflect.ValueOf(attempt).Elem(), &n)
		fill(reflect.ValueOf(reply).Elem(), &n)
		gotAttempt, gotReply := &zinniayoke.Attempt{}, &zinniayoke.Reply{}
		pass(t, f, attempt, gotAttempt)
		pass(t, f, reply, gotReply)
		if !reflect.DeepEqual(attempt, gotAttempt) {
			t.Errorf("attempt %+v arrived as %+v", attempt, gotAttempt)
		}
		if !reflect.DeepEqual(reply, gotReply) {
			t.Errorf("reply %+v arrived as %+v", reply, gotReply)
		}
	}
	got := &zinniayoke.Reply{}
	pass(t, f, &zinniayoke.Reply{Response: &zinniayoke.Response{}}, got)
	if got.Response == nil {
		t.Error("an empty response was lost")
	}
	pass(t, f, &KeyArgs{Key: "k"}, &KeyArgs{})
}

// TestLargeMessages guards the lengths at which a message is encoded or read in another way.
func TestLargeMessages(t *testing.T) {
	f := newFrameConn(&bufferConn{})
	for _, size := range []int{0, 1, 8 << 10, reuseSize - 100, reuseSize, reuseSize + 1, growSize, 5 << 20} {
		for _, path := range []int{0, 100, 127, 128, 16 << 10, 100 << 10} {
			a := &zinniayoke.Attempt{ID: "a", Path: string(bytes.Repeat([]byte{'p'}, path)), Body: bytes.Repeat([]byte{'b'}, size)}
			a.Headers = []zinniayoke.Header{{Name: "n", Value: a.Path}, {Name: "m", Value: "v"}}
			got := &zinniayoke.Attempt{}
			pass(t, f, a, got)
			if !bytes.Equal(got.Body, a.Body) || got.Path != a.Path || !reflect.DeepEqual(got.Headers, a.Headers) {
				t.Errorf("body of %d bytes, path of %d bytes: arrived as %d and %d bytes", size, path, len(got.Body), len(got.Path))
			}
		}
	}
}

// TestUnknownFieldsAreSkipped has a later version send fields that this one does not know.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	var a zinniayoke.Attempt
	n := 0
	fill(reflect.ValueOf(&a).Elem(), &n)
	const known = 5
	var got zinniayoke.Attempt
	if err := decodeFields(&decoder{}, appendFields(nil, attemptFields, &a), attemptFields[:known], &got); err != nil {
		t.Fatal(err)
	}
	want := zinniayoke.Attempt{ID: a.ID, Request: a.Request, Caller: a.Caller, Customer: a.Customer, Service: a.Service}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
}

// TestBrokenFrames guards against frames that end early or claim a length that they do not
// have: they must end the connection with an error and allocate little.
func TestBrokenFrames(t *testing.T) {
	conn := &bufferConn{}
	if err := newFrameConn(conn).WriteRequest(&rpc.Request{ServiceMethod: runMethod}, &zinniayoke.Attempt{ID: "a", Path: "/x"}); err != nil {
		t.Fatal(err)
	}
	whole := bytes.Clone(conn.Bytes())
	for size := range whole {
		f := newFrameConn(&bufferConn{Buffer: *bytes.NewBuffer(whole[:size])})
		if err := f.ReadRequestHeader(&rpc.Request{}); err == nil || size > 0 && errors.Is(err, io.EOF) {
			t.Errorf("%d of %d bytes: error %v", size, len(whole), err)
		}
	}
	for _, head := range []string{"\xff\xff\xff\xff", "\x07\xff\xff\xff"} {
		f := newFrameConn(&bufferConn{Buffer: *bytes.NewBufferString(head)})
		if err := f.ReadRequestHeader(&rpc.Request{}); err == nil || cap(f.buffer) > growSize {
			t.Errorf("length %x: error %v, buffer of %d bytes", head, err, cap(f.buffer))
		}
	}
}

// FuzzFrame reads arbitrary frames, which must not panic.
func FuzzFrame(f *testing.F) {
	conn := &bufferConn{}
	_ = newFrameConn(conn).WriteRequest(&rpc.Request{ServiceMethod: runMethod}, &zinniayoke.Attempt{ID: "a", Headers: []zinniayoke.Header{{Name: "n"}}})
	f.Add(conn.Bytes())
	f.Fuzz(func(_ *testing.T, raw []byte) {
		for _, body := range []any{&zinniayoke.Attempt{}, &zinniayoke.Reply{}, &KeyArgs{}} {
			c := newFrameConn(&bufferConn{Buffer: *bytes.NewBuffer(raw)})
			if c.ReadRequestHeader(&rpc.Request{}) == nil {
				_ = c.ReadRequestBody(body)
			}
		}
	})
}

// versionService replies to attempts with what it got.
type versionService struct{ Service }

func (versionService) Run(_ context.Context, a *zinniayoke.Attempt) *zinniayoke.Reply {
	return &zinniayoke.Reply{Attempt: a.ID, Detail: string(a.Service) + " " + string(a.Customer)}
}

// earlierAttempt has the fields of an attempt at the positions that the version before
// protocolFrames gives them.
type earlierAttempt struct {
	ID                                      zinniayoke.AttemptID
	Request, Caller, Service, Route         string
	Method, Host, Path, Query               string
	Headers                                 []zinniayoke.Header
	Body                                    []byte
	BodyHash                                uint64
	Key                                     string
	Grant                                   zinniayoke.Grant
	Rank                                    uint32
	Timeout                                 time.Duration
	Tokens, Depth                           int
	Version                                 uint64
	MaxWait                                 time.Duration
	RefusedElsewhere, Resent, InRepeatedRun bool
	EarlierCalls                            int
	LastChoice                              bool
	Heard                                   *zinniayoke.HeardNotice
}

// earlierClientHandshake is clientHandshake as it was before protocolFrames.
func earlierClientHandshake(conn net.Conn, key []byte) error {
	nonce := newNonce()
	if err := writeMessage(conn, "", nonce); err != nil {
		return err
	}
	server, _ := readMessage(conn, "")
	proof, err := readMessage(conn, "")
	if err != nil {
		return err
	}
	if err := verifyProof(proof, computeProof(key, "server", nonce, server)); err != nil {
		return err
	}
	return writeMessage(conn, "", computeProof(key, "client", nonce, server))
}

// earlierServerHandshake is serverHandshake as it was before protocolFrames.
func earlierServerHandshake(conn net.Conn, key []byte) error {
	client, err := readMessage(conn, "")
	if err != nil {
		return err
	}
	nonce := newNonce()
	if err := writeMessage(conn, "", append(nonce, computeProof(key, "server", client, nonce)...)); err != nil {
		return err
	}
	proof, err := readMessage(conn, "")
	if err != nil {
		return err
	}
	return verifyProof(proof, computeProof(key, "client", client, nonce))
}

// TestEarlierVersions connects a node of the version before protocolFrames with one of this
// version, in both directions, as while nodes are upgraded one after the other.
func TestEarlierVersions(t *testing.T) {
	key := bytes.Repeat([]byte{1}, messageSize)
	server, err := NewServer(ServerConfig{Key: key, Service: versionService{}})
	if err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	server.handlers.Add(1)
	go server.serveConn(far)
	if err := earlierClientHandshake(near, key); err != nil {
		t.Fatalf("an earlier client at this server: %v", err)
	}
	client := rpc.NewClientWithCodec(codec.GoRpc.ClientCodec(newBufferedConn(near), rpcHandle()))
	reply := &zinniayoke.Reply{}
	if err := client.Call(runMethod, &earlierAttempt{ID: "a", Service: "s", Path: "/x"}, reply); err != nil || reply.Attempt != "a" || reply.Detail != "s " {
		t.Errorf("an earlier client got %+v, %v", reply, err)
	}
	_ = client.Close()

	near, far = net.Pipe()
	received := make(chan earlierAttempt, 1)
	go func() {
		if err := earlierServerHandshake(far, key); err != nil {
			t.Errorf("this client at an earlier server: %v", err)
			return
		}
		c := codec.GoRpc.ServerCodec(newBufferedConn(far), rpcHandle())
		var r rpc.Request
		var a earlierAttempt
		if err := errors.Join(c.ReadRequestHeader(&r), c.ReadRequestBody(&a)); err != nil {
			t.Error(err)
		}
		received <- a
		_ = c.WriteResponse(&rpc.Response{ServiceMethod: r.ServiceMethod, Seq: r.Seq}, &zinniayoke.Reply{Attempt: a.ID})
	}()
	c := &Client{cfg: ClientConfig{Key: key, Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}}
	_, client, err = c.open(context.Background(), "earlier")
	if err != nil {
		t.Fatal(err)
	}
	reply = &zinniayoke.Reply{}
	err = client.Call(runMethod, &zinniayoke.Attempt{ID: "b", Service: "s", Customer: "c", Path: "/x", LastChoice: true}, reply)
	if got := <-received; err != nil || reply.Attempt != "b" || got.ID != "b" || got.Service != "s" || got.Path != "/x" || !got.LastChoice {
		t.Errorf("an earlier server received %+v, the client %+v, %v", got, reply, err)
	}
	_ = client.Close()
}

// TestProtocolIsProved has somebody between two nodes of this version remove the offer of
// the newer protocol. The handshake must fail and not fall back.
func TestProtocolIsProved(t *testing.T) {
	key := bytes.Repeat([]byte{1}, messageSize)
	near, middleNear := net.Pipe()
	middleFar, far := net.Pipe()
	go func() {
		nonce, _ := readMessage(middleNear, "")
		nonce[messageSize-1] = 0
		_, _ = middleFar.Write(nonce)
		go func() { _, _ = io.Copy(middleFar, middleNear) }()
		_, _ = io.Copy(middleNear, middleFar)
	}()
	go func() { _, _ = serverHandshake(far, key) }()
	if p, err := clientHandshake(near, key); !errors.Is(err, ErrWrongKey) {
		t.Errorf("the client accepted protocol %d, error %v", p, err)
	}
	for _, c := range []net.Conn{near, far, middleNear, middleFar} {
		_ = c.Close()
	}
}

func BenchmarkAttempt(b *testing.B) {
	a := &zinniayoke.Attempt{
		ID: "0b1c7f0e-31f5-4c.2a", Request: "request-123456", Caller: "front", Service: "deep", Route: "lookup", Method: "GET",
		Host: "h.example", Path: "/look/x", BodyHash: math.MaxUint64, Rank: 1 << 28, Timeout: time.Second, Tokens: 2, Version: 7, MaxWait: time.Second,
		Headers: []zinniayoke.Header{{Name: "User-Agent", Value: "client/1.0"}, {Name: "Accept-Encoding", Value: "gzip"}, {Name: "X-Zinniayoke-Request-Id", Value: "request-123456"}},
	}
	for _, c := range []struct {
		name  string
		codec func(conn net.Conn) (rpc.ClientCodec, rpc.ServerCodec)
	}{
		{"msgpack", func(conn net.Conn) (rpc.ClientCodec, rpc.ServerCodec) {
			return codec.GoRpc.ClientCodec(newBufferedConn(conn), rpcHandle()), codec.GoRpc.ServerCodec(newBufferedConn(conn), rpcHandle())
		}},
		{"frames", func(conn net.Conn) (rpc.ClientCodec, rpc.ServerCodec) { return newFrameConn(conn), newFrameConn(conn) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			conn := &bufferConn{}
			client, server := c.codec(conn)
			b.ReportAllocs()
			for b.Loop() {
				var r rpc.Request
				_ = client.WriteRequest(&rpc.Request{ServiceMethod: runMethod, Seq: 1}, a)
				b.SetBytes(int64(conn.Len()))
				_ = server.ReadRequestHeader(&r)
				if err := server.ReadRequestBody(&zinniayoke.Attempt{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestManyRequestsOnOneConnection has more attempts in flight than goroutines are kept for,
// between other requests and some that cannot be decoded. Each must get its own reply.
func TestManyRequestsOnOneConnection(t *testing.T) {
	key := bytes.Repeat([]byte{1}, messageSize)
	server, err := NewServer(ServerConfig{Key: key, Service: versionService{}})
	if err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	server.handlers.Add(1)
	go server.serveConn(far)
	c := &Client{cfg: ClientConfig{Key: key, Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}}
	_, client, err := c.open(context.Background(), "server")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		var calls []*rpc.Call
		for i := range 2 * maxIdleRunners {
			id := fmt.Sprint(i)
			calls = append(calls,
				client.Go(runMethod, &zinniayoke.Attempt{ID: zinniayoke.AttemptID(id), Service: zinniayoke.Service(id)}, &zinniayoke.Reply{}, nil),
				client.Go(serviceName+".Ping", &Empty{}, &Empty{}, nil),
				client.Go(serviceName+".Unknown", &Empty{}, &Empty{}, nil),
				client.Go(runMethod, &KeyArgs{Key: "no attempt"}, &zinniayoke.Reply{}, nil))
		}
		for i, call := range calls {
			<-call.Done
			id := fmt.Sprint(i / 4)
			reply, _ := call.Reply.(*zinniayoke.Reply)
			switch valid := i%4 < 2; {
			case valid != (call.Error == nil):
				t.Fatalf("%s: error %v", call.ServiceMethod, call.Error)
			case i%4 == 0 && (reply.Attempt != zinniayoke.AttemptID(id) || reply.Detail != id+" "):
				t.Fatalf("attempt %s got the reply %+v", id, reply)
			}
		}
	}
	_ = client.Close()
	server.handlers.Wait()
	if server.pendingReplies != 0 {
		t.Errorf("%d replies are pending at the end", server.pendingReplies)
	}
}
