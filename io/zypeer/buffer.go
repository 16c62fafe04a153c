package zypeer

import (
	"bufio"
	"fmt"
	"net"
)

// writeBufferSize is large enough for a typical message, so that its header and body
// are sent with one system call and arrive together.
const writeBufferSize = 8 << 10

// bufferedConn is a connection that buffers writes until Flush, which the RPC codec
// calls after each message. It must not be written to concurrently.
type bufferedConn struct {
	net.Conn
	w *bufio.Writer
}

func newBufferedConn(conn net.Conn) *bufferedConn {
	return &bufferedConn{Conn: conn, w: bufio.NewWriterSize(conn, writeBufferSize)}
}

// Write buffers p. It sends data early only if the buffer is full.
func (b *bufferedConn) Write(p []byte) (int, error) {
	n, err := b.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("write to peer %s: %w", b.RemoteAddr(), err)
	}
	return n, nil
}

// Flush sends the buffered data.
func (b *bufferedConn) Flush() error {
	if err := b.w.Flush(); err != nil {
		return fmt.Errorf("flush to peer %s: %w", b.RemoteAddr(), err)
	}
	return nil
}
