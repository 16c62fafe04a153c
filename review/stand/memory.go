package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimit = 284 << 20 // memoryMb
	drawingSize = 10 << 20
	drawingTime = 3 * time.Second
	// usualRate is how many drawings arrive per second at one machine, burstFactor what a
	// burst makes of it.
	usualRate   = 5.5
	burstFactor = 1.8
	burstFor    = 18 * time.Second
)

// resident returns the resident memory of the node's process in bytes.
func (h *host) resident() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.Atoi(fields[0])
	return kib << 10
}

// heldBodies sends large uploads through one node, as many more as a burst brings, and ends the
// node as the platform does if it exceeds its memory.
func heldBodies(d *deployment, trouble bool) (verdict, error) {
	d.store.put("keyed.op", "config", longConfig())
	zones := []string{"zone-1", "zone-1", "zone-1", "zone-2"}
	var hosts []*host
	for i, service := range []string{"reports", "bookings", "bookings", "bookings"} {
		w := &worker{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, slots: 48, healthPath: "/health"}
		w.work = func(r *http.Request) time.Duration {
			if r.Method == http.MethodGet {
				return 20 * time.Millisecond
			}
			return drawingTime
		}
		h, err := d.addHost(fmt.Sprintf("sidecar-%d", i+1), zones[i], "region-1", w)
		if err != nil {
			return verdict{}, err
		}
		hosts = append(hosts, h)
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	node := hosts[0]
	var killed atomic.Bool
	peak := make([]int, len(hosts))
	done, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			for i, h := range hosts {
				n := h.resident()
				peak[i] = max(peak[i], n)
				if n > memoryLimit {
					h.signal(syscall.SIGKILL)
					d.record.printf("the process of %s has %d MiB, more than its limit of %d MiB, and is killed", h.name, n>>20, memoryLimit>>20)
					killed.Store(true)
				}
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if killed.Load() {
				return
			}
		}
	}()
	var mu sync.Mutex
	answers, body := map[string]answer{}, bytes.Repeat([]byte("x"), drawingSize)
	var clients sync.WaitGroup
	send := func(i int) {
		r := request{id: fmt.Sprintf("d-%04d", i), method: http.MethodPost, host: shop, path: "/book/" + itoa(i), body: body, deadline: longTimeout}
		a := node.send(r)
		d.record.printf("client at %s sent %s %s %s (%d bytes, kept connection %t) at %.3f: status %d, %v, after %.3f s", node.name, r.method, r.path, r.id, len(body), a.kept, d.record.at(a.sent), a.status, a.err, a.got.Sub(a.sent).Seconds())
		mu.Lock()
		answers[r.id] = a
		mu.Unlock()
	}
	start := time.Now()
	for i := 0; time.Since(start) < burstFor+10*time.Second && !killed.Load(); i++ {
		rate := usualRate
		if trouble && time.Since(start) > 10*time.Second {
			rate *= burstFactor
		}
		clients.Go(func() { send(i) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	clients.Wait()
	close(done)
	<-watched
	ran := map[string]bool{}
	for _, h := range hosts {
		for _, a := range h.worker.received() {
			ran[a.id] = true
			if strings.HasPrefix(a.id, "d-") {
				d.record.printf("worker %s began to run %s at %.3f", h.worker.id, a.id, d.record.at(a.at))
			}
		}
	}
	lost, counts := 0, map[int]int{}
	for id, a := range answers {
		counts[a.status]++
		if a.status == 0 && a.kept && ran[id] {
			lost++
			d.record.printf("LOST: %s came on a kept connection and was passed on; the connection ended without an answer: %v", id, a.err)
		}
	}
	text := fmt.Sprintf("killed %t; highest memory of the nodes %d, %d, %d and %d MiB of %d; %d requests from kept connections ran and got no answer; by status %v", killed.Load(), peak[0]>>20, peak[1]>>20, peak[2]>>20, peak[3]>>20, memoryLimit>>20, lost, counts)
	d.record.printf("%s", text)
	return verdict{lost > 3, text}, nil
}
