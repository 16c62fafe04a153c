package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const shop = "shop.example"

// config is a configuration of two services; every route goes to the first one but sheet.
func config(version int, healthPath string) []byte {
	route := func(prefix, kind, service string, timeout, target, priority int) string {
		return fmt.Sprintf(`{"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":%d,"targetLatencyMs":%d,"priority":%d,"service":%q,"attempts":2}`,
			shop, prefix, kind, timeout, target, priority, service)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":{"look":%s,"book":%s,"load":%s,"sheet":%s},"services":{"stock":{"healthPath":%q,"maxConns":388,"protocol":"h1","tls":false},"sheets":{"healthPath":%q,"maxConns":388,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, route("/look/", "safe", "stock", 1200, 1500, 2), route("/book/", "unsafe", "stock", 1500, 1500, 0),
		route("/load/", "unsafe", "stock", 3000, 3000, 1), route("/sheet/", "safe", "sheets", 1000, 500, 1), healthPath, healthPath)
}

// hostsOf adds hosts in two zones of a region, one for each service named.
func (d *deployment) hostsOf(healthPath string, slots int, services ...string) ([]*host, error) {
	var hosts []*host
	for i, service := range services {
		w := &worker{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, slots: slots, healthPath: healthPath}
		h, err := d.addHost(fmt.Sprintf("sidecar-%d", i+1), "zone-"+itoa(i%2+1), "region-1", w)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

const (
	strayRequests = 3000
	strayClients  = 8
	// strayPart is the part of the faulty worker's answers that it spoils: garble, x = 0.02.
	strayPart = 50
	// strayFor is for_s of garble.
	strayFor = 5 * time.Second
)

// strayAnswer lets one of two workers send bytes that belong to no request behind some of its
// answers, at the point where the next answer on the connection is expected.
func strayAnswer(d *deployment, trouble bool) (verdict, error) {
	d.store.put("keyed.op", "config", config(7, "/health"))
	hosts, err := d.hostsOf("/health", 48, "stock", "stock", "sheets")
	if err != nil {
		return verdict{}, err
	}
	var answers, strays, until atomic.Int64 // until is in Unix milliseconds.
	faulty := hosts[0].worker
	if trouble {
		faulty.answered = func(conn *workerConn, id string) {
			if time.Now().UnixMilli() < until.Load() && answers.Add(1)%strayPart == 0 {
				conn.stray = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Zinniayoke-Instance-Id: %s\r\nX-Zinniayoke-Server-Load: 1,0,48\r\nContent-Length: 0\r\n\r\n", faulty.id)
				d.record.printf("worker %s answered %s; the answer to a health check follows it late", faulty.id, id)
			}
		}
		faulty.before = func(conn *workerConn, id string) []byte {
			stray := conn.stray
			conn.stray = nil
			if stray != nil {
				strays.Add(1)
				d.record.printf("worker %s sends the late bytes where the answer to %s is expected, then that answer", faulty.id, id)
			}
			return stray
		}
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	until.Store(time.Now().Add(strayFor).UnixMilli())
	var mu sync.Mutex
	broken, counts := []string{}, map[int]int{}
	var clients sync.WaitGroup
	for c := range strayClients {
		clients.Go(func() {
			for i := c; i < strayRequests; i += strayClients {
				r := request{id: fmt.Sprintf("r-%05d", i), method: http.MethodGet, host: shop, path: "/look/" + itoa(i), deadline: 5 * time.Second}
				if i%3 == 0 {
					r.method, r.path, r.body = http.MethodPost, "/book/"+itoa(i), []byte("one bedplate")
				}
				h := hosts[i%len(hosts)]
				a := h.send(r)
				d.record.printf("client at %s sent %s %s %s at %.3f: status %d, signature %q, %d bytes", h.name, r.method, r.path, r.id, d.record.at(a.sent), a.status, a.signature, len(a.body))
				mu.Lock()
				counts[a.status]++
				if a.status/100 == 2 && !hosts[0].worker.isAnswer(a, r.id) && !hosts[1].worker.isAnswer(a, r.id) {
					broken = append(broken, fmt.Sprintf("%s got %d with signature %q and body %q", r.id, a.status, a.signature, a.body))
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	d.record.printf("answers by status: %v; late bytes sent: %d", counts, strays.Load())
	if len(broken) > 0 {
		for _, b := range broken {
			d.record.printf("MIXED: %s", b)
		}
		return verdict{true, fmt.Sprintf("%d successes without the worker's signature and body, for example: %s", len(broken), broken[0])}, nil
	}
	return verdict{false, fmt.Sprintf("%d requests, by status %v, %d times late bytes", strayRequests, counts, strays.Load())}, nil
}

// isAnswer reports whether the answer is the worker's whole answer to the request.
func (w *worker) isAnswer(a answer, id string) bool {
	return a.signature == w.signature(id) && a.body == w.answerBody(id)
}
