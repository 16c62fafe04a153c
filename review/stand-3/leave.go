package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const bookConfig = `{"version":%d,"routes":{
"look":{"host":"hulo84.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1200,"targetLatencyMs":1500,"priority":2,"service":"stockroom","attempts":2},
"book":{"host":"hulo84.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":1500,"priority":0,"service":"grindshop","attempts":2}},
"services":{"stockroom":{"healthPath":"/health","maxConns":388},"grindshop":{"healthPath":"/health","maxConns":388}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// settleTime is how long nodes that have just started get to find each other.
const settleTime = 6 * time.Second

// runLeave has one client in five leave before the answer: it closes its side of the connection
// and reads to the end of the other. No client may read a success that is not the worker's.
func runLeave(rec *record, dir string, trouble bool) (verdict, error) {
	d, err := newDeployment(rec, dir, []machineConfig{
		{"kurume-1", "kurume", "stockroom"}, {"yame-1", "yame", "stockroom"}, {"kurume-2", "kurume", "grindshop"}, {"yame-2", "yame", "grindshop"},
	})
	if err != nil {
		return notRun, err
	}
	defer d.close()
	const workTime, leaveAfter, clients, leavers = 300 * time.Millisecond, 100 * time.Millisecond, 50, 5
	for _, m := range d.machines {
		m.w.handle = func(_ *http.Request, id string) (int, string) {
			time.Sleep(workTime)
			return http.StatusOK, "answer to " + id
		}
	}
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, bookConfig, 3))
	if err := d.start(); err != nil {
		return notRun, err
	}
	time.Sleep(settleTime)
	var mu sync.Mutex
	wrong, served := 0, 0
	var wg sync.WaitGroup
	for i := range clients {
		m := d.machines[i%len(d.machines)]
		q := request{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+i), method: http.MethodPost, path: "/book/2f", body: "booking", deadline: 5 * time.Second}
		if trouble && i%leavers == 0 {
			q.leaveAfter = leaveAfter
		}
		wg.Go(func() {
			success, whole := sendBooking(d, m, q)
			mu.Lock()
			defer mu.Unlock()
			if success && !whole {
				wrong++
			}
			if success && whole {
				served++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	rec.addf("%d bookings sent, %d served whole, %d answered with a success that is not the worker's", clients, served, wrong)
	if wrong > 0 {
		return broken, nil
	}
	if served < clients/2 {
		return notRun, fmt.Errorf("only %d of %d bookings were served", served, clients)
	}
	return held, nil
}

// sendBooking sends a booking and reports whether the client reads a success, and whether that is
// the worker's whole answer.
func sendBooking(d *deployment, m *machine, q request) (success, whole bool) {
	a := q.send(m.caller)
	d.rec.addf("booking %s sent to %s, leaves after %s: answer %d, signature %q, body %q, error %v; it has run %d times; all bytes read: %q",
		q.id, m.name, q.leaveAfter, a.status, a.signature, a.body, a.err, d.runs(q.id), a.raw)
	success = a.status >= http.StatusOK && a.status < http.StatusMultipleChoices && a.err == nil
	return success, a.signature == "sig."+q.id && a.body == "answer to "+q.id
}
