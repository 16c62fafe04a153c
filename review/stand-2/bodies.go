package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
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

// playBodies has eight clients of each of two machines send a large body at once, four times.
func playBodies(t *test) int {
	const rounds, endsThatCount, together, size = 4, 3, 8, 60 << 20
	clients := 1
	if t.trouble {
		clients = together
	}
	first, second := leavers(t)
	t.startWorker(second, "i-"+second.name)
	t.startAll()
	var ended atomic.Bool
	time.Sleep(2 * time.Second)
	t.watchMemory(&ended)
	for range rounds {
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() { t.upload(first, size) })
			wg.Go(func() { t.upload(t.machines[3], size) })
		}
		wg.Wait()
		time.Sleep(6 * time.Second)
	}
	ended.Store(true)
	t.clients.Wait()
	machines := 0
	for _, m := range t.machines {
		if m.ownEnds >= endsThatCount {
			machines++
		}
		t.recordf("the process of machine=%s ended %d times by itself", m.name, m.ownEnds)
	}
	if machines >= 2 {
		return machines
	}
	return 0
}
