package zypeer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"

	"github.com/ugorji/go/codec"

	"zinniayoke"
)

const (
	frameHeadSize = 4
	// maxFrameSize is more than a body of the largest size that a node accepts takes, 64 MiB.
	maxFrameSize = 128 << 20
	// A frame of up to reuseSize is read into the same buffer each time. The body of a larger
	// one is used where it was read.
	reuseSize = 32 << 10
	// growSize is the largest buffer that is allocated before its data has arrived.
	growSize = 1 << 20
)

var (
	errFrameTooLarge = errors.New("the frame is too large")
	errFrameEnds     = errors.New("the frame ends early")
)

// WireTypeError means that a field of a message has another type than its number says.
type WireTypeError struct {
	Type int
}

// Error returns the type.
func (e *WireTypeError) Error() string {
	return fmt.Sprintf("field with unexpected wire type %d", e.Type)
}

// frameConn exchanges RPC messages as frames, protocolFrames of the handshake: a length, the
// header and the argument or reply. An Attempt or a Reply is encoded by its list of fields,
// with the body after them; others are MessagePack. It implements rpc.ClientCodec and the
// methods of rpc.ServerCodec. Reads must not be concurrent with each other, nor writes.
type frameConn struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	// in is the part of the current frame that has not been decoded, buffer the buffer that
	// is used again. owned is true if in is in a buffer of its own.
	in     []byte
	buffer []byte
	owned  bool
	head   [frameHeadSize]byte
	// decoder is used again for each frame.
	decoder decoder
	// out is the frame that is being written, up to the body.
	out []byte
	// handle encodes other values than attempts and their replies.
	handle *codec.MsgpackHandle
}

func newFrameConn(conn net.Conn) *frameConn {
	return &frameConn{
		conn: conn, r: bufio.NewReaderSize(conn, writeBufferSize), w: bufio.NewWriterSize(conn, writeBufferSize), handle: rpcHandle(),
	}
}

// Close closes the connection.
func (f *frameConn) Close() error {
	return f.conn.Close() //nolint:wrapcheck // net/rpc ignores or returns it.
}

// readFrame reads the next frame.
func (f *frameConn) readFrame() error {
	if _, err := io.ReadFull(f.r, f.head[:]); err != nil {
		return err //nolint:wrapcheck // net/rpc compares the error with io.EOF.
	}
	size := int(binary.BigEndian.Uint32(f.head[:]))
	if size > maxFrameSize {
		return errFrameTooLarge
	}
	f.owned = size > reuseSize
	if f.owned {
		raw, err := readGrowing(f.r, size)
		f.in = raw
		return err
	}
	if cap(f.buffer) < size {
		f.buffer = make([]byte, max(size, writeBufferSize))
	}
	f.in = f.buffer[:size]
	_, err := io.ReadFull(f.r, f.in)
	return noEOF(err)
}

// readGrowing reads size bytes into a buffer that grows with the data that arrives.
func readGrowing(r io.Reader, size int) ([]byte, error) {
	raw := make([]byte, min(size, growSize))
	for n := 0; ; {
		if _, err := io.ReadFull(r, raw[n:]); err != nil {
			return nil, noEOF(err)
		}
		if n = len(raw); n == size {
			return raw, nil
		}
		larger := make([]byte, min(size, 2*n))
		copy(larger, raw)
		raw = larger
	}
}

// noEOF turns the end of a stream within a frame into another error than its regular end.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// takeNumber removes a number from the current frame.
func (f *frameConn) takeNumber() (uint64, error) {
	v, n := binary.Uvarint(f.in)
	if n <= 0 {
		return 0, errFrameEnds
	}
	f.in = f.in[n:]
	return v, nil
}

// takeBytes removes a number of bytes, with their length before them, from the current
// frame.
func (f *frameConn) takeBytes() ([]byte, error) {
	size, err := f.takeNumber()
	if err != nil {
		return nil, err
	}
	if size > uint64(len(f.in)) {
		return nil, errFrameEnds
	}
	raw := f.in[:size]
	f.in = f.in[size:]
	return raw, nil
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// ReadRequestHeader reads the next frame and its header.
func (f *frameConn) ReadRequestHeader(r *rpc.Request) error {
	if err := f.readFrame(); err != nil {
		return err
	}
	var err error
	if r.Seq, err = f.takeNumber(); err != nil {
		return err
	}
	r.ServiceMethod, err = f.takeMethod()
	return err
}

// takeMethod removes the name of a method from the current frame.
func (f *frameConn) takeMethod() (string, error) {
	raw, err := f.takeBytes()
	if string(raw) == runMethod {
		return runMethod, err
	}
	return string(raw), err
}

// ReadResponseHeader reads the next frame and its header.
func (f *frameConn) ReadResponseHeader(r *rpc.Response) error {
	if err := f.readFrame(); err != nil {
		return err
	}
	var err error
	if r.Seq, err = f.takeNumber(); err != nil {
		return err
	}
	if r.ServiceMethod, err = f.takeMethod(); err != nil {
		return err
	}
	raw, err := f.takeBytes()
	r.Error = string(raw)
	return err
}

// ReadRequestBody decodes the rest of the frame, or discards it if body is nil.
func (f *frameConn) ReadRequestBody(body any) error {
	return f.readBody(body)
}

// ReadResponseBody decodes the rest of the frame, or discards it if body is nil.
func (f *frameConn) ReadResponseBody(body any) error {
	return f.readBody(body)
}

func (f *frameConn) readBody(body any) error {
	switch v := body.(type) {
	case nil:
		return nil
	case *zinniayoke.Attempt:
		err := takeFields(f, attemptFields, v)
		v.Body = f.takeRest()
		// The tables of attempts and keys keep these for longer than the rest of the text.
		v.ID, v.Request, v.Key = cloneText(v.ID), cloneText(v.Request), cloneText(v.Key)
		return err
	case *zinniayoke.Reply:
		err := takeFields(f, replyFields, v)
		if v.Response != nil {
			v.Response.Body = f.takeRest()
		}
		return err
	}
	if err := codec.NewDecoderBytes(f.in, f.handle).Decode(body); err != nil {
		return fmt.Errorf("decode %T: %w", body, err)
	}
	return nil
}

func cloneText[S ~string](s S) S {
	return S(strings.Clone(string(s)))
}

// takeFields decodes the fields of an Attempt or a Reply.
func takeFields[T any](f *frameConn, fields []field[T], v *T) error {
	raw, err := f.takeBytes()
	if err == nil {
		err = decodeFields(&f.decoder, raw, fields, v)
	}
	if err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// takeRest returns what is left of the current frame, nil if nothing is.
func (f *frameConn) takeRest() []byte {
	if f.owned {
		return f.in
	}
	return append([]byte(nil), f.in...)
}

// WriteRequest writes a frame.
func (f *frameConn) WriteRequest(r *rpc.Request, body any) error {
	f.begin(r.Seq, r.ServiceMethod)
	return f.finish(body)
}

// WriteResponse writes a frame.
func (f *frameConn) WriteResponse(r *rpc.Response, body any) error {
	f.begin(r.Seq, r.ServiceMethod)
	f.out = appendText(f.out, r.Error)
	if r.Error != "" {
		body = nil
	}
	return f.finish(body)
}

// begin starts a frame with the common part of the header.
func (f *frameConn) begin(seq uint64, method string) {
	f.out = append(f.out[:0], make([]byte, frameHeadSize)...) // finish sets the length.
	f.out = appendText(binary.AppendUvarint(f.out, seq), method)
}

// finish encodes the argument or reply and writes the frame.
func (f *frameConn) finish(body any) error {
	var rest []byte
	switch v := body.(type) {
	case nil:
	case *zinniayoke.Attempt:
		f.out = appendSized(f.out, attemptFields, v)
		rest = v.Body
	case *zinniayoke.Reply:
		if v == nil {
			break
		}
		f.out = appendSized(f.out, replyFields, v)
		if v.Response != nil {
			rest = v.Response.Body
		}
	default:
		var raw []byte
		if err := codec.NewEncoderBytes(&raw, f.handle).Encode(body); err != nil {
			return fmt.Errorf("encode %T: %w", body, err)
		}
		rest = raw
	}
	size := len(f.out) - frameHeadSize + len(rest)
	if size > maxFrameSize {
		return errFrameTooLarge
	}
	binary.BigEndian.PutUint32(f.out, uint32(size))
	_, _ = f.w.Write(f.out) // Flush returns the error.
	_, _ = f.w.Write(rest)
	if cap(f.out) > reuseSize {
		f.out = nil
	}
	if err := f.w.Flush(); err != nil {
		return fmt.Errorf("write to peer %s: %w", f.conn.RemoteAddr(), err)
	}
	return nil
}

// appendSized appends the fields of an Attempt or a Reply with their length before them.
func appendSized[T any](b []byte, fields []field[T], v *T) []byte {
	const lengthSize = 2 // Enough for the usual length, so that the fields need not be moved.
	start := len(b)
	b = appendFields(append(b, make([]byte, lengthSize)...), fields, v)
	size := len(b) - start - lengthSize
	if size >= 1<<14 {
		head := binary.AppendUvarint(nil, uint64(size))
		b = append(b, head[lengthSize:]...)
		copy(b[start+len(head):], b[start+lengthSize:start+lengthSize+size])
		copy(b[start:], head)
		return b
	}
	b[start], b[start+1] = byte(size)|0x80, byte(size>>7)
	return b
}
