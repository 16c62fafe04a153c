package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runFreeze freezes one machine of ten three times, while clients at another machine send bookings
// with bodies of a legal size to the service of the frozen one. Requests to other services, at
// machines that nothing disturbs, must be answered by the time-out of their route, or soon after it.
func runFreeze(rec *record, dir string, trouble bool) (verdict, error) {
	const (
		stockrooms, uploads, size = 9, 4, 8 << 20
		freezes                   = 3
		frozenTime, awakeTime     = 1150 * time.Millisecond, 15 * time.Millisecond
	)
	var machines []machineConfig
	for i := range stockrooms {
		machines = append(machines, machineConfig{fmt.Sprintf("kurume-%d", i+1), "kurume", "stockroom"})
	}
	machines = append(machines, machineConfig{"kurume-10", "kurume", "grindshop"})
	d, err := newDeployment(rec, dir, machines)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, strings.Replace(bookConfig, "1048576", "67108864", 1), 3))
	if err := d.start(); err != nil {
		return notRun, err
	}
	time.Sleep(settleTime)
	calm, frozen := d.machines[:stockrooms], d.machines[stockrooms]
	const usual = 20
	for i := range usual {
		q := request{id: fmt.Sprintf("%016x", 0x3c41d07be2a30000+i), method: http.MethodPost, path: "/book/2f", body: "booking", deadline: 5 * time.Second}
		rec.addf("booking %s sent to %s: answer %d", q.id, calm[0].name, q.send(calm[0].caller).status)
	}

	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			for range freezes {
				rec.addf("%s freezes", frozen.name)
				frozen.signal(syscall.SIGSTOP)
				time.Sleep(frozenTime)
				rec.addf("%s wakes", frozen.name)
				frozen.signal(syscall.SIGCONT)
				time.Sleep(awakeTime)
			}
		})
	}
	body := strings.Repeat("x", size)
	for i := range uploads {
		q := request{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+i), method: http.MethodPost, path: "/book/2f", body: body, deadline: 5 * time.Second}
		wg.Go(func() {
			at := time.Now()
			a := q.send(calm[0].caller)
			rec.addf("booking %s with a body of %d MiB sent to %s: answer %d, error %v, after %s", q.id, size>>20, calm[0].name, a.status, a.err, time.Since(at).Round(time.Millisecond))
		})
	}
	sent, served, unanswered, late := sendLooks(d, calm)
	wg.Wait()
	rec.addf("%d requests sent at machines in touch, %d served; %d had no answer after timeoutMs, %d of these none half a second later", sent, served, unanswered, late)
	const few = 8
	if unanswered >= few && late > unanswered/2 {
		return broken, nil
	}
	if served < sent/2 {
		return notRun, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return held, nil
}

// sendLooks sends requests to all machines for some time. It returns how many were sent and served,
// how many had no answer at the time-out of their route, and how many of these had none half a second
// later.
func sendLooks(d *deployment, machines []*machine) (sent, served, unanswered, late int) {
	const (
		routeTimeout   = 1200 * time.Millisecond // That of the route look.
		extraTime      = 500 * time.Millisecond
		period, length = 50 * time.Millisecond, 6 * time.Second
	)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < length; time.Sleep(period) {
		for _, m := range machines {
			sent++
			q := request{id: fmt.Sprintf("%016x", 0x2c41d07be2a30000+sent), method: http.MethodGet, path: "/look/2f", deadline: 5 * time.Second}
			at := time.Now()
			wg.Go(func() {
				a := q.send(m.caller)
				took := time.Since(at)
				d.rec.addf("request %s sent to %s: answer %d, error %v, after %s", q.id, m.name, a.status, a.err, took.Round(time.Millisecond))
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK {
					served++
				}
				if took > routeTimeout {
					unanswered++
				}
				if took > routeTimeout+extraTime {
					late++
				}
			})
		}
	}
	wg.Wait()
	return sent, served, unanswered, late
}
