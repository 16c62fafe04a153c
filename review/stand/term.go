package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	grace = 6 * time.Second // graceS
	// excused is until when after the SIGTERM a request may be sent whose worker is still at
	// work in the last sixth of graceS.
	excused       = 3 * time.Second
	reportTime    = 4500 * time.Millisecond
	reportEarlier = 500 * time.Millisecond
	bookingTime   = 1900 * time.Millisecond
	longTimeout   = 6 * time.Second
)

// cutBooking sends SIGTERM to the node of the only machine of a zone while the worker beside it
// runs a long request. The clients there go on sending bookings as long as they can connect.
func cutBooking(d *deployment, trouble bool) (verdict, error) {
	d.store.put("keyed.op", "config", longConfig())
	zones := []string{"zone-1", "zone-2", "zone-2"}
	var hosts []*host
	for i, service := range []string{"reports", "bookings", "bookings"} {
		w := &worker{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, slots: 48, healthPath: "/health"}
		w.work = func(r *http.Request) time.Duration {
			switch {
			case r.Method == http.MethodGet:
				return 20 * time.Millisecond
			case service == "reports":
				return reportTime
			}
			return bookingTime
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
	var clients sync.WaitGroup
	clients.Go(func() {
		r := request{id: "report", method: http.MethodPost, host: shop, path: "/report/1", body: []byte("all mills"), deadline: longTimeout}
		a := hosts[1].send(r)
		d.record.printf("client at %s sent %s %s %s at %.3f: status %d, %v, after %.3f s", hosts[1].name, r.method, r.path, r.id, d.record.at(a.sent), a.status, a.err, a.got.Sub(a.sent).Seconds())
	})
	var mu sync.Mutex
	var n atomic.Int64
	answers := map[string]answer{}
	stop := make(chan struct{})
	const count = 24
	for i := range count {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * bookingTime / count) // They send at any time.
			for {
				r := request{id: fmt.Sprintf("b-%04d", n.Add(1)), method: http.MethodPost, host: shop, path: "/book/1", body: []byte("a regrind"), deadline: longTimeout}
				a := node.send(r)
				d.record.printf("client at %s sent %s %s %s at %.3f: status %d, %v, after %.3f s", node.name, r.method, r.path, r.id, d.record.at(a.sent), a.status, a.err, a.got.Sub(a.sent).Seconds())
				mu.Lock()
				answers[r.id] = a
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(reportEarlier)
	stopped := time.Now()
	if trouble {
		node.signal(syscall.SIGTERM)
		d.record.printf("SIGTERM for the process of %s", node.name)
	}
	time.Sleep(time.Until(stopped.Add(grace)))
	if trouble {
		node.kill() // What the platform does to a process that still runs.
		d.record.printf("graceS is over")
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	ran, whole := map[string]bool{}, map[string]bool{}
	for _, h := range hosts[1:] {
		for _, a := range h.worker.received() {
			ran[a.id] = true
			d.record.printf("worker %s began to run %s at %.3f", h.worker.id, a.id, d.record.at(a.at))
			if end, ok := h.worker.endOf(a.id); ok {
				whole[a.id] = true
				d.record.printf("worker %s had run %s to a good end at %.3f", h.worker.id, a.id, d.record.at(end))
			}
		}
	}
	lost, lostWhole, cut, counts := 0, 0, 0, map[int]int{}
	for id, a := range answers {
		counts[a.status]++
		if a.status != 0 || !ran[id] || a.got.Sub(a.sent) >= longTimeout {
			continue
		}
		cut++
		if late := a.sent.Sub(stopped); late > excused {
			lost++
			if whole[id] {
				lostWhole++
			}
			d.record.printf("LOST: %s was sent %.3f s after the SIGTERM and ran; its connection ended without an answer %.3f s after the SIGTERM: %v", id, late.Seconds(), a.got.Sub(stopped).Seconds(), a.err)
		}
	}
	text := fmt.Sprintf("%d bookings that ran were cut, %d of them sent later than 3 s after the SIGTERM (%d of these were run to a good end); by status %v", cut, lost, lostWhole, counts)
	d.record.printf("%s", text)
	return verdict{lost > 0, text}, nil
}

// longConfig is a configuration with requests that may take seconds.
func longConfig() []byte {
	route := func(prefix, kind, service string, timeout time.Duration) string {
		return fmt.Sprintf(`{"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":%d,"targetLatencyMs":3000,"priority":1,"service":%q,"attempts":2}`,
			shop, prefix, kind, timeout.Milliseconds(), service)
	}
	return fmt.Appendf(nil, `{"version":7,"routes":{"look":%s,"sheet":%s,"report":%s,"book":%s},"services":{"reports":{"healthPath":"/health","maxConns":388,"protocol":"h1","tls":false},"bookings":{"healthPath":"/health","maxConns":388,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		route("/look/", "safe", "bookings", time.Second), route("/sheet/", "safe", "reports", time.Second),
		route("/report/", "unsafe", "reports", longTimeout), route("/book/", "unsafe", "bookings", longTimeout))
}
