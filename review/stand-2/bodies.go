package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryLimit is memoryMb of the machines of the users' first sites.
const memoryLimit = 284 << 20

// resident returns the resident memory of the node's process.
func (m *machine) resident() int64 {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	var pages int64
	_, _ = fmt.Sscan(fields[1], &pages)
	return pages * int64(os.Getpagesize())
}

// watchMemory kills processes over the memory limit and starts them again, as the platform does.
func (t *test) watchMemory(until *atomic.Bool) {
	for _, m := range t.machines {
		t.clients.Go(func() {
			peak := int64(0)
			for !until.Load() {
				time.Sleep(5 * time.Millisecond)
				n := m.resident()
				peak = max(peak, n)
				if n <= memoryLimit {
					continue
				}
				t.recordf("platform ends the process of machine=%s, which uses %d MiB of %d", m.name, n>>20, memoryLimit>>20)
				m.mu.Lock()
				m.ownEnds++
				m.expected = true
				exited := m.exited
				_ = m.cmd.Process.Signal(syscall.SIGKILL)
				m.mu.Unlock()
				<-exited
				time.Sleep(restartDelay)
				m.start()
			}
			t.recordf("peak memory of machine=%s: %d MiB", m.name, peak>>20)
		})
	}
}

// upload sends a request with a body of the size and returns the status of the answer.
func (t *test) upload(m *machine, size int) int {
	t.mu.Lock()
	t.sent++
	id := fmt.Sprintf("%08x", t.sent)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "PUT", "http://"+m.caller+"/move/1", io.NopCloser(bytes.NewReader(make([]byte, size))))
	must(err)
	req.ContentLength = int64(size)
	req.Host = host
	req.Header.Set("X-Zinniayoke-Request-Id", id)
	req.Header.Set("X-Zinniayoke-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	t.recordf("sent id=%s machine=%s PUT of %d bytes", id, m.name, size)
	resp, err := freshClient.Do(req)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	t.recordf("answered id=%s status=%d", id, status)
	return status
}

// keptClient sends requests on one connection, one after the other, until ended. It returns how
// many of them ran at a worker and ended without an answer, on a connection that had served
// requests before.
func (t *test) keptClient(m *machine, number int, ended *atomic.Bool) (lost int) {
	var conn net.Conn
	var r *bufio.Reader
	served := 0
	for i := 0; !ended.Load(); i++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", m.caller, time.Second); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			r, served = bufio.NewReader(conn), 0
		}
		id := fmt.Sprintf("kept-%d-%d", number, i)
		t.recordf("sent id=%s machine=%s", id, m.name)
		_, _ = fmt.Fprintf(conn, "POST /move/1 HTTP/1.1\r\nHost: %s\r\nX-Zinniayoke-Request-Id: %s\r\nX-Zinniayoke-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\norder",
			host, id, deadline.Milliseconds())
		_ = conn.SetReadDeadline(time.Now().Add(deadline))
		resp, err := http.ReadResponse(r, nil)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
		}
		t.recordf("answered id=%s status=%d error=%v", id, status, err)
		if err != nil && served > 0 && t.hasRun(id) {
			lost++
			t.recordf("violation: request id=%s ran, and its connection ended without an answer", id)
		}
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
		served++
	}
	return lost
}

// hasRun reports whether a worker has begun to run the request.
func (t *test) hasRun(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.executions, func(e execution) bool { return e.id == id })
}

// playBodies has nine clients of a machine, instead of five, send a large body at once, three times, while others send small
// requests on kept connections.
func playBodies(t *test) int {
	const bursts, usual, burst, kept, size, allowed = 3, 5, 9, 6, 36 << 20, 3 // A burst is 1.8 times the usual.
	t.workTime = 300 * time.Millisecond
	uploads := usual
	if t.trouble {
		uploads = burst
	}
	first, second := leavers(t)
	t.startWorker(second, "i-"+second.name)
	t.startAll()
	var ended atomic.Bool
	var lost atomic.Int64
	t.watchMemory(&ended)
	for i := range kept {
		t.clients.Go(func() { lost.Add(int64(t.keptClient(first, i, &ended))) })
	}
	for range bursts {
		time.Sleep(6 * time.Second)
		var wg sync.WaitGroup
		for range uploads {
			wg.Go(func() { t.upload(first, size) })
		}
		wg.Wait()
	}
	time.Sleep(2 * time.Second)
	ended.Store(true)
	t.clients.Wait()
	t.recordf("%d requests from kept connections ran and ended without an answer; %d may", lost.Load(), allowed)
	if lost.Load() > allowed {
		return int(lost.Load())
	}
	return 0
}
