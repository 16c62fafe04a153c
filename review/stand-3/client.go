package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	// leaveAfter is after which time the client leaves: it closes its side of the connection
	// and reads until the node closes the other one. 0 means that it stays.
	leaveAfter time.Duration
}

// answer is what the client has read.
type answer struct {
	// raw is all that was read, status the status of a whole answer in the protocol, 0 for none.
	raw       string
	status    int
	signature string
	body      string
	err       error
}

const host = "hulo84.example"

// send sends a request over a connection of its own and reads the answer.
func (q request) send(address string) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Zinniayoke-Request-Id: %s\r\nX-Zinniayoke-Deadline-Ms: %d\r\n",
		q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+q.body); err != nil {
		return answer{err: err}
	}
	if q.leaveAfter > 0 {
		timer := time.AfterFunc(q.leaveAfter, func() {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		})
		defer timer.Stop()
	}
	return readAnswer(conn)
}

func readAnswer(conn net.Conn) answer {
	var raw strings.Builder
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &raw)), nil)
	if err != nil {
		return answer{raw: raw.String(), err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{
		raw: raw.String(), status: resp.StatusCode, signature: resp.Header.Get("X-Zinniayoke-Response-Signature"), body: string(body), err: err,
	}
}
