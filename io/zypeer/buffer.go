package zypeer

import (
	"bufio"
	"fmt"
	"net"
)

// writeBuffer holds a usual message, so that its header and body go out with one
// system call and arrive together.
const writeBuffer = 8 << 10

// buffered is a connection whose writes go out with Flush, which the codec calls
// after each message. Only one message is written at a time.
type buffered struct {
	net.Conn
	w *bufio.Writer
}

func newBuffered(conn net.Conn) *buffered {
	return &buffered{Conn: conn, w: bufio.NewWriterSize(conn, writeBuffer)}
}

// Write keeps p until Flush.
func (b *buffered) Write(p []byte) (int, error) {
	n, err := b.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("peer connection: %w", err)
	}
	return n, nil
}

// Flush sends what was written.
func (b *buffered) Flush() error {
	if err := b.w.Flush(); err != nil {
		return fmt.Errorf("peer connection: %w", err)
	}
	return nil
}
