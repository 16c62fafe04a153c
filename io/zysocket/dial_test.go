package zysocket_test

import (
	"context"
	"net"
	"testing"
	"time"

	"zinniayoke/io/zysocket"
)

func newConnPair(t *testing.T) (client, server net.Conn) {
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

// waitUntil polls until data or the end of a loopback connection has arrived.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for range 6000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("condition not met within a minute")
}

func TestIsReusable(t *testing.T) {
	client, server := newConnPair(t)
	if !zysocket.IsReusable(client) {
		t.Error("a new connection is not reusable")
	}
	if _, err := server.Write([]byte("unasked")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return !zysocket.IsReusable(client) })
	raw := make([]byte, 7)
	if _, err := client.Read(raw); err != nil || string(raw) != "unasked" {
		t.Errorf("IsReusable consumed data: read %q, %v", raw, err)
	}
	if !zysocket.IsReusable(client) {
		t.Error("a connection whose data was read is not reusable")
	}
	_ = server.Close()
	waitUntil(t, func() bool { return !zysocket.IsReusable(client) })
}
