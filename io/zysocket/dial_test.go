package zysocket_test

import (
	"context"
	"net"
	"testing"
	"time"

	"zinniayoke/io/zysocket"
)

func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err = zysocket.Dial(context.Background(), l.Addr().String(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// until waits for the bytes or the end of a loopback connection to arrive.
func until(t *testing.T, done func() bool) {
	t.Helper()
	for range 6000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("not in a minute")
}

func TestQuiet(t *testing.T) {
	client, server := pair(t)
	if !zysocket.IsReusable(client) {
		t.Error("a fresh connection is not quiet")
	}
	if _, err := server.Write([]byte("unasked")); err != nil {
		t.Fatal(err)
	}
	until(t, func() bool { return !zysocket.IsReusable(client) })
	raw := make([]byte, 7)
	if _, err := client.Read(raw); err != nil || string(raw) != "unasked" {
		t.Errorf("looking has taken bytes: %q, %v", raw, err)
	}
	if !zysocket.IsReusable(client) {
		t.Error("a connection whose bytes were read is not quiet")
	}
	_ = server.Close()
	until(t, func() bool { return !zysocket.IsReusable(client) })
}
