package main

import (
	"fmt"
	"net/http"
	"time"
)

// runWriter has one heartbeat come from another writer. It names a service that is not in the
// configuration, so it names no worker to use, and the worker of the machine must stay what it is.
func runWriter(rec *record, dir string, trouble bool) (verdict, error) {
	d, err := newDeployment(rec, dir, []machineConfig{
		{"kurume-1", "kurume", "stockroom"}, {"yame-1", "yame", "stockroom"}, {"kurume-2", "kurume", "grindshop"}, {"yame-2", "yame", "grindshop"},
	})
	if err != nil {
		return notRun, err
	}
	defer d.close()
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, bookConfig, 3))
	if err := d.start(); err != nil {
		return notRun, err
	}
	time.Sleep(settleTime)
	if trouble {
		m := d.machines[0]
		body := fmt.Sprintf(`{"address":"%s:8310","info":{"service":"nosuch","version":"v1","zone":"z","slots":%d},"status":{"state":"draining","seq":4,"coldRemainingMs":0},"born":%d}`,
			m.ip, slots, time.Now().UnixMilli())
		rec.addf("another writer sends a heartbeat of i-other to %s: %s", m.name, body)
		rec.addf("it is answered %d", putHeartbeat(m.control, "i-other", body))
	}
	const rounds, pause = 100, 60 * time.Millisecond
	sent, served, wrong := 0, 0, 0
	for range rounds {
		for _, m := range d.machines {
			sent++
			q := request{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+sent), method: http.MethodPost, path: "/book/2f", body: "booking", deadline: 5 * time.Second}
			a := q.send(m.caller)
			for _, other := range d.machines {
				caller, ran := other.w.callerOf(q.id)
				if !ran {
					continue
				}
				rec.addf("booking %s sent to %s (%s): answer %d, run by %s, which was told that the caller is %q", q.id, m.name, m.service, a.status, other.w.instance, caller)
				if caller != m.service {
					wrong++
				}
			}
			if a.status == http.StatusOK {
				served++
			}
		}
		time.Sleep(pause)
	}
	for _, m := range d.machines {
		rec.addf("the last heartbeat of the worker of %s was answered %d", m.name, m.w.lastStatus())
	}
	rec.addf("%d bookings sent, %d served, %d run with another caller than the service of the machine", sent, served, wrong)
	if wrong > 0 {
		return broken, nil
	}
	if served < sent/2 {
		return notRun, fmt.Errorf("only %d of %d bookings were served", served, sent)
	}
	return held, nil
}
