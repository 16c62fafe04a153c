package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	poisonPath = "/book/poison"
	// poisonAfter is how long a worker runs the request until it crashes, workerDown until it
	// is back.
	poisonAfter = 50 * time.Millisecond
	workerDown  = 3 * time.Second
	// poisonPeriod is when the request comes again.
	poisonPeriod = 5 * time.Second
	// allDown is how long all nodes are down: for_s of herd_kill.
	allDown = 2 * time.Second
	// allowedRetries is how many retries may reach workers later than stableWindow after the
	// third crash.
	allowedRetries = 3
)

// crashingRequest sends a request that crashes each worker that begins to run it until no
// worker gets it any more, kills the processes of all nodes, and sends it again.
func crashingRequest(d *deployment, trouble bool) (verdict, error) {
	d.store.put("keyed.op", "config", config(7, "/health"))
	var hosts []*host
	for i, service := range []string{"stock", "stock", "stock", "stock", "sheets"} {
		w := &worker{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, slots: 48, healthPath: "/health"}
		h, err := d.addHost(fmt.Sprintf("sidecar-%d", i+1), "zone-"+itoa(i%4+1), "region-1", w)
		if err != nil {
			return verdict{}, err
		}
		hosts = append(hosts, h)
	}
	machines := hosts[:4]
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	var watch func(h *host, w *worker)
	watch = func(h *host, w *worker) {
		w.work = func(r *http.Request) time.Duration {
			if r.URL.Path != poisonPath {
				return 20 * time.Millisecond
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			d.record.printf("worker %s begins to run %s, from %s", w.id, r.Header.Get("X-Zinniayoke-Request-Id"), r.Header.Get("X-Zinniayoke-Caller-Service"))
			time.AfterFunc(poisonAfter, func() {
				if !w.crashed.CompareAndSwap(false, true) {
					return
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				w.exit()
				d.record.printf("worker %s crashes", w.id)
				time.AfterFunc(workerDown, func() {
					next := &worker{id: fmt.Sprintf("%s-%d", strings.TrimSuffix(w.id, "-again"), time.Now().UnixMilli()), service: w.service, address: w.address, zone: w.zone, slots: w.slots, healthPath: w.healthPath, control: w.control}
					watch(h, next)
					if err := next.start(); err != nil {
						d.record.printf("worker %s does not start: %v", next.id, err)
						return
					}
					go next.announce()
				})
			})
			return time.Minute
		}
	}
	for _, h := range hosts {
		watch(h, h.worker)
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	var n atomic.Int64
	send := func(h *host) {
		r := request{id: fmt.Sprintf("poison-%02d", n.Add(1)), method: http.MethodPost, host: shop, path: poisonPath, body: []byte("one bedplate"), deadline: 5 * time.Second}
		a := h.send(r)
		d.record.printf("client at %s sent POST %s %s at %.3f: status %d %s", h.name, r.path, r.id, d.record.at(a.sent), a.status, a.body)
	}
	for i := range 6 {
		send(machines[i%len(machines)])
		time.Sleep(poisonPeriod)
	}
	if trouble {
		for _, h := range hosts {
			h.signal(syscall.SIGKILL)
		}
		d.record.printf("the processes of all nodes are killed")
		for _, h := range hosts {
			h.kill()
		}
		time.Sleep(allDown)
		for _, h := range hosts {
			if err := h.run(d.root); err != nil {
				return verdict{}, err
			}
		}
		d.record.printf("the processes of all nodes are started again")
	}
	time.Sleep(2 * stableWindow)
	for range 2 {
		var clients sync.WaitGroup
		for _, h := range machines {
			clients.Go(func() { send(h) })
		}
		clients.Wait()
		time.Sleep(poisonPeriod)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return verdict{false, fmt.Sprintf("%d crashes", len(crashes))}, nil
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[2]) > stableWindow {
			late++
			d.record.printf("BUDGET: a worker got the request at %.3f, %.1f s after it had crashed the third worker", d.record.at(at), at.Sub(crashes[2]).Seconds())
		}
	}
	text := fmt.Sprintf("%d crashes; %d of the requests reached workers later than stableWindowMs after the third crash", len(crashes), late)
	d.record.printf("%s", text)
	return verdict{late > allowedRetries, text}, nil
}
