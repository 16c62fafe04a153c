// Package zysocket opens TCP connections with short timeouts for unacknowledged data, so
// that a dead connection is detected soon.
package zysocket

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT). Three
	// round trips between regions with one lost packet take less than half of it.
	userTimeout = 1500 * time.Millisecond
	// A connection without data in flight, such as one that waits for a response, is
	// probed by TCP keep-alive.
	keepAliveIdle      = 1 * time.Second
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveCount     = 3
	defaultDialTimeout = 500 * time.Millisecond
)

// DialContext is Dial with the default timeout and the signature that http.Transport
// requires.
func DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return Dial(ctx, address, defaultDialTimeout)
}

// Dial opens a TCP connection within the timeout.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return fmt.Errorf("access socket: %w", err)
			}
			if failure != nil {
				return fmt.Errorf("set TCP_USER_TIMEOUT: %w", failure)
			}
			return nil
		},
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open connection to %s: %w", address, err)
	}
	return conn, nil
}

// IsReusable reports whether an idle connection is open and has no data to read. A
// connection that is not reusable was closed by the other side or has received
// unsolicited data, and must not be used for another request.
func IsReusable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
