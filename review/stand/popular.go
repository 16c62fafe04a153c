package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	recovery  = 15 * time.Second // recoveryS
	lookTime  = 160 * time.Millisecond
	usualFor  = 8 * time.Second
	closeDown = 1500 * time.Millisecond // down_s of the final fault
	// crashAfter is how long after the nodes are back one worker crashes, crashFor is for_s of
	// srv_crash.
	crashAfter  = 5 * time.Second
	crashFor    = 4 * time.Second
	judgedFor   = 20 * time.Second
	popularPart = 10 // all but one request in so many are the same lookup
)

// popularRequest kills the processes of all nodes once. When they are back, one of seven workers
// crashes, while most requests are the same lookup.
func popularRequest(d *deployment, trouble bool) (verdict, error) {
	d.store.put("keyed.op", "config", config(7, "/health"))
	hosts, err := d.hostsOf("/health", 48, "stock", "stock", "stock", "stock", "stock", "stock", "stock", "sheets")
	if err != nil {
		return verdict{}, err
	}
	for _, h := range hosts {
		h.worker.work = func(*http.Request) time.Duration { return lookTime }
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for c := range 96 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				h := hosts[c%len(hosts)]
				r := request{id: fmt.Sprintf("p-%02d-%05d", c, i), method: http.MethodGet, host: shop, path: "/look/top", deadline: 5 * time.Second}
				if i%popularPart == 0 {
					r.path = "/look/" + r.id
				}
				a := h.send(r)
				d.record.printf("client at %s sent GET %s %s at %.3f: status %d %v", h.name, r.path, r.id, d.record.at(a.sent), a.status, a.err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				pause := rand.N(40 * time.Millisecond)
				if a.status != http.StatusOK {
					pause += 300 * time.Millisecond
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(usualFor)
	fault := time.Now()
	if trouble {
		for _, h := range hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range hosts {
			h.kill()
		}
		d.record.printf("the processes of all nodes are killed")
		time.Sleep(closeDown)
		for _, h := range hosts {
			if err := h.run(d.root); err != nil {
				return verdict{}, err
			}
		}
		d.record.printf("the processes of all nodes are started again")
	}
	back := time.Now()
	time.Sleep(crashAfter)
	if trouble {
		w := hosts[0].worker
		d.record.printf("worker %s crashes while it runs %d requests", w.id, w.running.Load())
		w.exit()
		time.AfterFunc(crashFor, func() {
			next := &worker{id: w.id + "-again", service: w.service, address: w.address, zone: w.zone, slots: w.slots, healthPath: w.healthPath, control: w.control, work: w.work}
			if next.start() == nil {
				d.record.printf("worker %s is back", w.id)
				next.announce()
			}
		})
	}
	time.Sleep(time.Until(back.Add(recovery + judgedFor)))
	close(stop)
	clients.Wait()
	part := func(from, to time.Time) (served, all int, statuses map[int]int) {
		statuses = map[int]int{}
		for _, a := range answers {
			if a.sent.Before(from) || !a.sent.Before(to) {
				continue
			}
			all++
			statuses[a.status]++
			if a.status == http.StatusOK {
				served++
			}
		}
		return served, all, statuses
	}
	servedBefore, allBefore, _ := part(fault.Add(-usualFor), fault.Add(-time.Second))
	served, all, statuses := part(back.Add(recovery), time.Now())
	text := fmt.Sprintf("before: %d of %d requests served; of those sent later than recoveryS after the nodes were back: %d of %d, by status %v", servedBefore, allBefore, served, all, statuses)
	d.record.printf("%s", text)
	return verdict{4*servedBefore >= allBefore && 4*served < all, text}, nil
}
