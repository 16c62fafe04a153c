//go:build !race

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniayoke/platform/zyfake"
)

// The race detector multiplies the memory of a process, so these tests of its bounds run without.

const (
	// hostileMemory is the memory of the machine, and descriptorLimit the number of descriptors that
	// the process may open.
	hostileMemory   = 128 << 20
	descriptorLimit = 512
	hostileBody     = 8 << 20
	hostileConfig   = `{"version":1,"routes":{
"book":{"host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":20000,"targetLatencyMs":10000,"priority":0,"service":"s","attempts":1}},
"services":{"s":{"healthPath":"/health","maxConns":100}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

// hostileNode is a node in a process of its own, with few descriptors and little memory, and the
// fakes beside it.
type hostileNode struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan error
	memory  int // in bytes
	caller  string
	control string
	worker  *zyfake.Worker
	seq     int
}

// freeAddress returns an address that no other process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startHostileNode starts a node with the limits of its memory and of a body in MiB.
func startHostileNode(t *testing.T, memory, body int) *hostileNode {
	t.Helper()
	store := &zyfake.Store{}
	store.Put("keyed.op", "config", fmt.Appendf(nil, hostileConfig, body<<20))
	server := httptest.NewServer(store)
	worker, err := zyfake.NewWorker("i-1")
	if err != nil {
		t.Fatal(err)
	}
	n := &hostileNode{t: t, memory: memory << 20, exited: make(chan error, 1), caller: freeAddress(t), control: freeAddress(t), worker: worker}
	text := nodeSettings + fmt.Sprintf("s\nheartbeat = 10s\n[memory]\nlimit = %dMiB\n", memory) + "[processor]\nthreads = 2\n[logging]\nlevel = error\n"
	text = strings.Replace(text, "host = h\n", "host = h\nbootstrap = true\n", 1)
	for pattern, address := range map[string]string{
		`caller = .*`: "caller = " + n.caller, `upstream = .*`: "upstream = " + n.control, `(peer|admin) = .*`: "$1 = 127.0.0.1:0",
		`127.0.0.1:5`: strings.TrimPrefix(server.URL, "http://"), `127.0.0.1:6`: worker.Address(),
	} {
		text = regexp.MustCompile(pattern).ReplaceAllString(text, address)
	}
	file := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptorLimit), os.Args[0], "node", "--settings", file)
	n.cmd.Env = append(os.Environ(), runAsProgram+"=1")
	n.cmd.Stdout, n.cmd.Stderr = os.Stderr, os.Stderr
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { n.exited <- n.cmd.Wait() }()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		worker.Close()
		server.CloseClientConnections()
		server.Close()
	})
	n.awaitAnswer()
	return n
}

// awaitAnswer sends ordinary requests until one is answered by the worker.
func (n *hostileNode) awaitAnswer() {
	n.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for range 40 {
		n.seq++
		hb := fmt.Sprintf(`{"address":%q,"info":{"service":"s","version":"v1","zone":"d","slots":200},"status":{"state":"ready","seq":%d,"coldRemainingMs":0},"born":%d}`,
			n.worker.Address(), n.seq, time.Now().UnixMilli())
		if req, err := http.NewRequest(http.MethodPut, "http://"+n.control+"/-/instances/i-1", strings.NewReader(hb)); err == nil {
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+n.caller+"/book/", strings.NewReader("an order"))
		if err != nil {
			n.t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("X-Zinniayoke-Request-Id", fmt.Sprintf("ordinary%d", n.seq))
		req.Header.Set("X-Zinniayoke-Deadline-Ms", "5000")
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if last = resp.Status; resp.StatusCode == http.StatusOK {
				return
			}
		} else {
			last = err.Error()
		}
		time.Sleep(250 * time.Millisecond)
	}
	n.t.Errorf("no ordinary request was answered, the last one got %s", last)
}

// check checks the bounds of the process.
func (n *hostileNode) check() {
	n.t.Helper()
	select {
	case err := <-n.exited:
		n.t.Fatalf("the process has ended: %v", err)
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		n.t.Fatal(err)
	}
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	peak, err := strconv.Atoi(string(match[1]))
	if err != nil {
		n.t.Fatal(err)
	}
	if peak<<10 > n.memory {
		n.t.Errorf("the process took up to %d KiB, the machine has %d", peak, n.memory>>10)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		n.t.Fatal(err)
	}
	if len(open) >= descriptorLimit {
		n.t.Errorf("the process has %d open descriptors of %d", len(open), descriptorLimit)
	}
	n.t.Logf("peak %d KiB, %d descriptors", peak, len(open))
}

// TestLargestBodyIsRefused guards against limits that a single request inside of those of the bundle
// meets, on the smallest hosts of the platform.
func TestLargestBodyIsRefused(t *testing.T) {
	const memory, body = 184, 64
	for _, chunked := range []bool{false, true} {
		n := startHostileNode(t, memory, body)
		var r io.Reader = bytes.NewReader(make([]byte, body<<20))
		if chunked {
			r = io.MultiReader(r)
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+n.caller+"/book/", r)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("X-Zinniayoke-Request-Id", "largest")
		req.Header.Set("X-Zinniayoke-Deadline-Ms", "20000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || string(text) != "whole answer to largest" {
			t.Errorf("chunked %t: got %s %q, %v", chunked, resp.Status, text, err)
		}
		n.check()
	}
}

// hostileHead begins a request.
func hostileHead(i int, fields string) string {
	return fmt.Sprintf("POST /book/ HTTP/1.1\r\nHost: h.example\r\nX-Zinniayoke-Request-Id: hostile%d\r\nX-Zinniayoke-Deadline-Ms: 60000\r\n%s", i, fields)
}

// TestHostileClientsEndNode guards against clients that end the process, or take its memory or its
// descriptors from others: heads over the limit or without end, empty lines without end, and many
// bodies of legal size at once that stop short of their end and stay open.
func TestHostileClientsEndNode(t *testing.T) {
	filler := []byte(strings.Repeat("x", 64<<10))
	repeat := func(conn net.Conn, raw []byte, size int) {
		for sent := 0; sent < size; sent += len(raw) {
			if _, err := conn.Write(raw[:min(len(raw), size-sent)]); err != nil {
				return
			}
		}
	}
	chunk := func(size int) []byte {
		return fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
	}
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name  string
		crowd int
		send  func(conn net.Conn, i int)
	}{
		{"fields without end", 300, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, "")))
			repeat(conn, []byte("X-Filler: "+strings.Repeat("x", 1000)+"\r\n"), 4<<20)
		}},
		{"a line without end", 300, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, "X-Filler: ")))
			repeat(conn, filler, 4<<20)
		}},
		{"a head just short of a mebibyte", 300, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, "X-Filler: ")))
			repeat(conn, filler, 1<<20-1<<10)
		}},
		{"empty lines without end", 300, func(conn net.Conn, _ int) { repeat(conn, bytes.Repeat([]byte("\r\n"), 2<<10), 4<<20) }},
		{"half a head", 600, func(conn net.Conn, i int) { _, _ = conn.Write([]byte(hostileHead(i, ""))) }},
		{"large bodies", 60, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", hostileBody))))
			repeat(conn, filler, hostileBody-1)
		}},
		{"large bodies, piece by piece", 60, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", hostileBody))))
			for range 40 {
				repeat(conn, filler, hostileBody/40-1)
				time.Sleep(50 * time.Millisecond)
			}
		}},
		{"large bodies, some of them whole", 60, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", hostileBody))))
			repeat(conn, filler, hostileBody-1+i%4/3)
		}},
		{"large chunks", 60, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, chunked)))
			for range hostileBody/(64<<10) - 1 {
				if _, err := conn.Write(chunk(64 << 10)); err != nil {
					return
				}
			}
		}},
		{"small chunks", 100, func(conn net.Conn, i int) {
			_, _ = conn.Write([]byte(hostileHead(i, chunked)))
			repeat(conn, bytes.Repeat(chunk(16), 64), 4<<20)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startHostileNode(t, hostileMemory>>20, hostileBody>>20)
			var crowd sync.WaitGroup
			var conns []net.Conn
			for i := range c.crowd {
				conn, err := net.DialTimeout("tcp", n.caller, 5*time.Second)
				if err != nil {
					continue // Refused.
				}
				conns = append(conns, conn)
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				crowd.Go(func() { c.send(conn, i) })
			}
			crowd.Wait()
			n.check()
			n.awaitAnswer() // The crowd stays open.
			n.check()
			for _, conn := range conns {
				_ = conn.Close()
			}
			n.awaitAnswer()
		})
	}
}

// TestEndlessAnswersEndNode guards against a worker that sends many answers without end at once:
// its node must neither run out of memory nor lose the answers to others.
func TestEndlessAnswersEndNode(t *testing.T) {
	for _, fault := range []zyfake.WorkerFault{zyfake.WorkerEndlessBody, zyfake.WorkerEndlessHead, zyfake.WorkerEndlessIdle} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			n := startHostileNode(t, hostileMemory>>20, hostileBody>>20)
			n.worker.Fault = func(r *zyfake.Request) zyfake.WorkerFault {
				if strings.HasPrefix(r.ID, "hostile") {
					return fault
				}
				return zyfake.WorkerHealthy
			}
			var crowd sync.WaitGroup
			for i := range 150 {
				crowd.Go(func() {
					conn, err := net.DialTimeout("tcp", n.caller, 5*time.Second)
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
					_, _ = conn.Write([]byte(hostileHead(i, "Content-Length: 0\r\n\r\n")))
					_, _ = conn.Read(make([]byte, 1<<10))
				})
			}
			n.awaitAnswer()
			crowd.Wait()
			n.check()
			n.awaitAnswer()
		})
	}
}
