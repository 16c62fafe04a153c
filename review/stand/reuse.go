package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	addrReuse    = 2 * time.Second // addrReuseS
	settlingTime = 2 * stableWindow
)

// reusedAddress lets the worker of one machine leave and gives its address to a worker of
// another service. The settings file of the node there names the new service from then on, and
// SIGHUP says so.
func reusedAddress(d *deployment, trouble bool) (verdict, error) {
	d.store.put("keyed.op", "config", config(7, "/health"))
	hosts, err := d.hostsOf("/health", 48, "stock", "stock", "sheets", "sheets")
	if err != nil {
		return verdict{}, err
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	h, old := hosts[3], hosts[3].worker
	service := old.service
	if trouble {
		old.leaving.Store(true)
		if status := call(old.heartbeat("draining")); status != http.StatusOK {
			return verdict{}, fmt.Errorf("the draining heartbeat got status %d", status)
		}
		d.record.printf("worker %s, service %s, says that it is draining: acknowledged", old.id, old.service)
		time.Sleep(drain + time.Second)
		d.record.printf("DELETE of %s: status %d", old.id, call(old.leaveRequest()))
		old.exit()
		time.Sleep(addrReuse + time.Second)
		service = "stock"
		w := &worker{id: "i-stock-9", service: service, address: old.address, slots: 48, healthPath: "/health", control: h.control, zone: h.zone}
		if err := w.start(); err != nil {
			return verdict{}, err
		}
		h.worker = w
		text, err := os.ReadFile(h.settings)
		if err != nil {
			return verdict{}, err
		}
		if err := os.WriteFile(h.settings, []byte(strings.Replace(string(text), "service = "+old.service, "service = "+service, 1)), 0o600); err != nil {
			return verdict{}, err
		}
		h.signal(syscall.SIGHUP)
		go w.announce()
		d.record.printf("worker %s, service %s, has the address; the settings of %s name it, and SIGHUP was sent", w.id, w.service, h.name)
		time.Sleep(settlingTime)
	}
	var n atomic.Int64
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for range 50 {
				i := int(n.Add(1))
				r := request{id: fmt.Sprintf("c-%05d", i), method: http.MethodGet, host: shop, path: "/sheet/" + itoa(i), deadline: 2 * time.Second}
				if i%2 == 0 {
					r.path = "/look/" + itoa(i)
				}
				a := h.send(r)
				d.record.printf("client at %s, where a worker of %s runs, sent %s %s %s at %.3f: status %d", h.name, service, r.method, r.path, r.id, d.record.at(a.sent), a.status)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	wrong, seen := 0, map[string]int{}
	for _, w := range []*worker{hosts[0].worker, hosts[1].worker, hosts[2].worker, h.worker} {
		for _, a := range w.received() {
			if !a.ran || !strings.HasPrefix(a.id, "c-") {
				continue
			}
			seen[a.caller]++
			if a.caller != service {
				wrong++
				d.record.printf("UNASKED: worker %s ran %s at %.3f with X-Zinniayoke-Caller-Service %q", w.id, a.id, d.record.at(a.at), a.caller)
			}
		}
	}
	text := fmt.Sprintf("requests from %s, where a worker of %s runs, by the caller service that workers saw: %v; the worker there ran %d requests", h.name, service, seen, len(h.worker.received()))
	d.record.printf("%s", text)
	return verdict{wrong > 0, text}, nil
}
