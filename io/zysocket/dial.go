// Package zysocket opens the TCP connections of a node, so that one that has
// gone silent for good is noticed.
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
	// userTimeout is how long sent bytes may stay unacknowledged. Three round trips
	// between regions with a lost packet take under half of it.
	userTimeout = 1500 * time.Millisecond
	// A connection that only waits is probed.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	dialTimeout       = 500 * time.Millisecond
)

// DialContext opens a connection as net.Dialer does.
func DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return Dial(ctx, address, dialTimeout)
}

// Dial opens a connection within the timeout.
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
				return fmt.Errorf("socket: %w", err)
			}
			if failure != nil {
				return fmt.Errorf("socket: %w", failure)
			}
			return nil
		},
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// IsReusable reports whether an idle connection is open and has no bytes to read. A
// connection that is not quiet must not be used again: it was closed by the
// other side, or bytes came that nobody has asked for.
func IsReusable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
