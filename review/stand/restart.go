package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drain        = 2500 * time.Millisecond // drainMs
	stableWindow = 4 * time.Second         // stableWindowMs
	// stay is how long the leaving worker serves after its acknowledgement; scale_in with
	// how = "stay" has up to 16 s.
	stay = 12 * time.Second
	// lateness is by how much the last heartbeats before the DELETE are late.
	lateness        = 4 * time.Second
	heartbeatPeriod = 1500 * time.Millisecond // heartbeatMs
	orderTime       = 600 * time.Millisecond
)

// leftWorker lets a worker leave with a DELETE, which its node acknowledges, and kills the
// process of that node a second later. The worker's last two heartbeats before the DELETE are
// late.
func leftWorker(d *deployment, trouble bool) (verdict, error) {
	const healthPath = "/health"
	d.store.put("keyed.op", "config", config(7, healthPath))
	hosts, err := d.hostsOf(healthPath, 48, "stock", "stock", "stock", "sheets", "sheets")
	if err != nil {
		return verdict{}, err
	}
	for _, h := range hosts {
		h.worker.work = func(r *http.Request) time.Duration {
			if r.Method == http.MethodPost {
				return orderTime
			}
			return 20 * time.Millisecond
		}
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	var n atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent, statuses := map[string]answer{}, map[int]int{}
	for range 30 {
		clients.Go(func() {
			for {
				i := int(n.Add(1))
				r := request{id: fmt.Sprintf("r-%05d", i), method: http.MethodGet, host: shop, path: "/look/" + itoa(i), deadline: 5 * time.Second}
				if i%2 == 0 {
					r.method, r.path, r.body = http.MethodPost, "/book/"+itoa(i), []byte("one bedplate")
				}
				// The clients are on the machines that nothing happens to.
				h := hosts[2]
				if i%5 == 0 {
					h = hosts[3]
				}
				a := h.send(r)
				d.record.printf("client at %s sent %s %s %s at %.3f: status %d, signature %q", h.name, r.method, r.path, r.id, d.record.at(a.sent), a.status, a.signature)
				mu.Lock()
				sent[r.id] = a
				statuses[a.status]++
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	leaver, node := hosts[0].worker, hosts[0]
	leaver.silent.Store(true)
	for i := range 2 {
		if i > 0 {
			time.Sleep(heartbeatPeriod)
		}
		late, seq := leaver.heartbeat("ready"), leaver.seq.Load()
		d.record.printf("worker %s sends a heartbeat, ready, seq %d, which arrives %s late", leaver.id, seq, lateness)
		time.AfterFunc(lateness, func() {
			d.record.printf("the late heartbeat of %s, seq %d, arrives: status %d", leaver.id, seq, call(late))
		})
	}
	time.Sleep(100 * time.Millisecond)
	leaver.leaving.Store(true)
	status := call(leaver.leaveRequest())
	acked := time.Now()
	d.record.printf("DELETE of %s: status %d", leaver.id, status)
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("the DELETE got status %d", status)
	}
	restarted := acked
	if trouble {
		time.Sleep(time.Second)
		node.kill()
		d.record.printf("the process of %s is killed", node.name)
		time.Sleep(500 * time.Millisecond)
		if err := node.run(d.root); err != nil {
			return verdict{}, err
		}
		restarted = time.Now()
		d.record.printf("the process of %s is started again", node.name)
	}
	time.Sleep(time.Until(acked.Add(stay)))
	lost := leaver.running.Load()
	leaver.exit()
	d.record.printf("worker %s exits while it runs %d requests", leaver.id, lost)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	inTouch := restarted.Add(stableWindow)
	if !trouble {
		inTouch = acked
	}
	late1, lateAll := 0, 0
	for _, a := range leaver.received() {
		s, ok := sent[a.id]
		if !ok || !a.ran || !a.at.After(acked.Add(drain)) {
			continue
		}
		lateAll++
		if s.sent.After(inTouch) {
			late1++
			d.record.printf("DRAIN: worker %s got %s at %.3f, %.1f s after its DELETE was acknowledged", leaver.id, a.id, d.record.at(a.at), a.at.Sub(acked).Seconds())
		}
	}
	cut := 0
	for id, a := range sent {
		if a.status != http.StatusOK {
			d.record.printf("not served: %s, status %d", id, a.status)
			cut++
		}
	}
	text := fmt.Sprintf("%d requests reached the leaving worker later than drainMs after the acknowledgement of its DELETE, %d of them sent when all machines were in touch again; it exited while it ran %d; answers by status %v, %d not served", lateAll, late1, lost, statuses, cut)
	d.record.printf("%s", text)
	return verdict{late1 > 0, text}, nil
}
