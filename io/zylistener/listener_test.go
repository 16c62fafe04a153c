package zylistener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"zinniayoke/io/zylistener"
)

// startServer starts a server whose handler waits for a value of proceed if the path is /wait.
func startServer(t *testing.T, conns int, proceed <-chan bool) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := zylistener.New(raw, zylistener.Config{MaxConns: conns, MaxHead: func() int { return 1 << 10 }})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-proceed
		}
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "%d %v", n, err)
	})}
	l.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return raw.Addr().String()
}

// dial opens a connection and sends the text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestHeadOverLimitGetsOneAnswer guards against a client that gets anything but one 431, or a
// request within the limit that is refused since its body counts for its head.
func TestHeadOverLimitGetsOneAnswer(t *testing.T) {
	address := startServer(t, 10, nil)
	for _, c := range []struct {
		name, text, want string
	}{
		{"a long field", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 10<<10), "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		{"a long body", "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000), "100000 <nil>"},
	} {
		conn := dial(t, address, c.text)
		got, _ := io.ReadAll(conn) // What is left unread makes the end of a refused connection a reset.
		if !strings.HasSuffix(string(got), c.want) || strings.Count(string(got), "HTTP/1.1") != 1 {
			t.Errorf("%s: got %q, want one answer that ends in %q", c.name, got, c.want)
		}
	}
	conn := dial(t, address, "")
	r := bufio.NewReader(conn)
	for range 20 { // All heads together exceed the limit.
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 900)+"\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		readAnswer(t, r)
	}
}

// TestConnectionsThatGiveWay guards against connections without a request that keep others out, and
// against a request that is cut off for another one.
func TestConnectionsThatGiveWay(t *testing.T) {
	proceed := make(chan bool)
	address := startServer(t, 3, proceed)
	served := dial(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	halves := []net.Conn{dial(t, address, "GET / HTTP/1.1\r\n"), dial(t, address, "GET / HTTP/1.1\r\n")}
	time.Sleep(50 * time.Millisecond) // The server has accepted them in this order.
	for range 10 {
		conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		if got, err := io.ReadAll(conn); err != nil || !strings.HasSuffix(string(got), "0 <nil>") {
			t.Errorf("got %q, %v", got, err)
		}
	}
	if _, err := halves[0].Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection without a whole head got an answer")
	}
	proceed <- true
	readAnswer(t, bufio.NewReader(served))
}

// readAnswer reads the answer to a request that must be served.
func readAnswer(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a request got %s, %v", resp.Status, err)
	}
}
