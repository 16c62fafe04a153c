package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	freezeFor  = 3500 * time.Millisecond // for_s of node_freeze
	uploadSize = 16 << 20
)

// frozenPeer freezes the node of one worker while a client elsewhere uploads a few large
// bodies, and watches small requests at that client's machine.
func frozenPeer(d *deployment, trouble bool) (verdict, error) {
	d.store.put("keyed.op", "config", config(7, "/health"))
	hosts, err := d.hostsOf("/health", 48, "stock", "stock", "sheets", "front")
	if err != nil {
		return verdict{}, err
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	observer, frozen := hosts[3], hosts[1]
	var n atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	late, unanswered, statuses := 0, 0, map[string]int{}
	send := func(r request, timeout time.Duration) {
		a := observer.send(r)
		took := a.got.Sub(a.sent)
		d.record.printf("client at %s sent %s %s %s at %.3f: status %d after %.3f s", observer.name, r.method, r.path, r.id, d.record.at(a.sent), a.status, took.Seconds())
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%s %d", r.path[:6], a.status)]++
		if took >= timeout {
			unanswered++
		}
		if took >= timeout+500*time.Millisecond {
			late++
			d.record.printf("CONFIG: %s has no answer %.3f s after it was sent; the timeoutMs of its route is %d", r.id, took.Seconds(), timeout.Milliseconds())
		}
	}
	for range 8 {
		clients.Go(func() {
			for {
				i := int(n.Add(1))
				send(request{id: fmt.Sprintf("s-%05d", i), method: http.MethodGet, host: shop, path: "/sheet/" + itoa(i), deadline: 5 * time.Second}, time.Second)
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	uploads := make(chan struct{})
	for range 2 {
		clients.Go(func() {
			<-uploads
			for {
				i := int(n.Add(1))
				send(request{id: fmt.Sprintf("u-%05d", i), method: http.MethodPost, host: shop, path: "/load/" + itoa(i), body: bytes.Repeat([]byte("x"), uploadSize), deadline: 5 * time.Second}, 3*time.Second)
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		d.record.printf("the process of %s is stopped", frozen.name)
	}
	time.Sleep(100 * time.Millisecond)
	close(uploads)
	time.Sleep(freezeFor)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		d.record.printf("the process of %s goes on", frozen.name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	text := fmt.Sprintf("%d requests at %s were unanswered at their route's timeoutMs, %d of them half a second later; by status %v", unanswered, observer.name, late, statuses)
	d.record.printf("%s", text)
	return verdict{unanswered > 0 && 2*late > unanswered, text}, nil
}
