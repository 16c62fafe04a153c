package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const moveConfig = `{"version":%d,"routes":{
"look":{"host":"hulo84.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1200,"targetLatencyMs":1500,"priority":2,"service":"stockroom","attempts":2},
"move":{"host":"hulo84.example","pathPrefix":"/move/","kind":"safe","timeoutMs":%d,"targetLatencyMs":1500,"priority":0,"service":%q,"attempts":2}},
"services":{"stockroom":{"healthPath":"/health","maxConns":388},"grindshop":{"healthPath":"/health","maxConns":388}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// runSilent writes two versions of the configuration, one shortly after the other, and lets the
// store give no answer to a third of the machines for less than half a second around the second
// one. Once all machines have been in touch again, requests must go to the service of the second.
func runSilent(rec *record, dir string, trouble bool) (verdict, error) {
	var machines []machineConfig
	for _, zone := range []string{"kurume", "kagoshima"} {
		for i := range 6 {
			service := "stockroom"
			if i%2 == 1 {
				service = "grindshop"
			}
			machines = append(machines, machineConfig{fmt.Sprintf("%s-%d", zone, i+1), zone, service})
		}
	}
	d, err := newDeployment(rec, dir, machines)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, moveConfig, 3, 1200, "stockroom"))
	if err := d.start(); err != nil {
		return notRun, err
	}
	const joinTime = 12 * time.Second
	time.Sleep(joinTime)
	acked, inTouch, err := changeInSilence(d, trouble)
	if err != nil {
		return notRun, err
	}
	// The bound is configApply after the acknowledgement, and holds for machines in touch.
	const margin = 100 * time.Millisecond
	from := inTouch.Add(margin)
	if bound := acked.Add(configApply); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from))
	rec.addf("all machines are in touch, version 7 was acknowledged %s ago", time.Since(acked).Round(time.Millisecond))
	sent, served, old := sendMoved(d, acked)
	rec.addf("%d requests sent by machines in touch later than %s after the acknowledgement, %d served, %d run by the old service", sent, configApply, served, old)
	if old > 0 {
		return broken, nil
	}
	if served < sent/2 {
		return notRun, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return held, nil
}

// changeInSilence writes the two versions, the second one while the store gives no answer to the
// machines that read it. It returns when the second one was acknowledged, and from when on all
// machines are in touch.
func changeInSilence(d *deployment, trouble bool) (acked, inTouch time.Time, err error) {
	const gap, silenceFrom, silenceUntil = 330 * time.Millisecond, 100 * time.Millisecond, 450 * time.Millisecond
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, moveConfig, 5, 1300, "stockroom"))
	first := time.Now()
	d.rec.addf("version 5 is acknowledged: /move/ goes to stockroom")
	time.Sleep(time.Until(first.Add(silenceFrom)))
	var silent []*machine
	for _, m := range d.machines {
		if m.store.isPolling() {
			silent = append(silent, m)
		}
	}
	const largestShare = 0.35
	if len(silent) == 0 || float64(len(silent)) > largestShare*float64(len(d.machines)) {
		return acked, inTouch, fmt.Errorf("%d of %d machines read the store", len(silent), len(d.machines))
	}
	setSilent := func(to bool) {
		for _, m := range silent {
			if trouble {
				d.rec.addf("the store gives no answers to %s: %t", m.name, to)
				m.store.setSilent(to)
			}
		}
	}
	setSilent(true)
	time.Sleep(time.Until(first.Add(gap)))
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, moveConfig, 7, 1300, "grindshop"))
	acked = time.Now()
	d.rec.addf("version 7 is acknowledged: /move/ goes to grindshop")
	time.Sleep(time.Until(first.Add(silenceUntil)))
	setSilent(false)
	return acked, time.Now().Add(stableWindow), nil
}

// sendMoved sends requests of the moved route to all machines, and returns how many were sent,
// served, and run by the old service.
func sendMoved(d *deployment, acked time.Time) (sent, served, old int) {
	const round, length = 100 * time.Millisecond, 5 * time.Second
	var mu sync.Mutex
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < length; time.Sleep(round) {
		for _, m := range d.machines {
			sent++
			q := request{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+sent), method: http.MethodGet, path: "/move/2f", deadline: 5 * time.Second}
			at := time.Now()
			wg.Go(func() {
				a := q.send(m.caller)
				by := ""
				for _, other := range d.machines {
					if other.w.runCount(q.id) > 0 {
						by = other.service
					}
				}
				mu.Lock()
				defer mu.Unlock()
				d.rec.addf("request %s sent to %s %s after the acknowledgement: answer %d, run by %q",
					q.id, m.name, at.Sub(acked).Round(time.Millisecond), a.status, by)
				if by == "stockroom" {
					old++
				}
				if a.status == http.StatusOK {
					served++
				}
			})
		}
	}
	wg.Wait()
	return sent, served, old
}
