package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// runGrey has one worker of eight fail a part of its requests with a 503 of its own, after it has
// begun to work on them. It does not say that it has not run them.
func runGrey(rec *record, dir string, trouble bool) (verdict, error) {
	machines := []machineConfig{{"kurume-1", "kurume", "stockroom"}}
	const grindshops, bookings, failedOf, failed = 8, 240, 5, 3
	for i := range grindshops {
		machines = append(machines, machineConfig{fmt.Sprintf("kurume-%d", i+2), "kurume", "grindshop"})
	}
	d, err := newDeployment(rec, dir, machines)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	if trouble {
		var taken atomic.Int64
		d.machines[1].w.handle = func(_ *http.Request, id string) (int, string) {
			if n := taken.Add(1) % failedOf; n == failed || n == 0 { // Two of each five, never more.
				return http.StatusServiceUnavailable, "the database of the worker is away"
			}
			return http.StatusOK, "answer to " + id
		}
	}
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, bookConfig, 3))
	if err := d.start(); err != nil {
		return notRun, err
	}
	time.Sleep(settleTime)
	wrong, served, twice := 0, 0, 0
	for i := range bookings {
		m := d.machines[i%len(d.machines)]
		a, runs := book(d, m, 2*i)
		if a.status == http.StatusServiceUnavailable {
			// The client takes the answer as the promise that it is, and books again.
			if runs > 0 {
				wrong++
			}
			var again int
			if a, again = book(d, m, 2*i+1); runs > 0 && again > 0 {
				twice++
			}
		}
		if a.status == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	rec.addf("%d bookings sent, %d served, %d refused with 503 that had run, %d of them run again for the client's next attempt", bookings, served, wrong, twice)
	if wrong > 0 {
		return broken, nil
	}
	if served < bookings/2 {
		return notRun, fmt.Errorf("only %d of %d bookings were served", served, bookings)
	}
	return held, nil
}

// book sends an attempt at a booking and returns the answer, and how often the attempt has run.
func book(d *deployment, m *machine, number int) (answer, int) {
	q := request{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+number), method: http.MethodPost, path: "/book/2f", body: "booking", deadline: 5 * time.Second}
	a := q.send(m.caller)
	runs := d.runs(q.id)
	d.rec.addf("attempt %s at booking %d sent to %s: answer %d, signature %q, body %q, error %v; it has run %d times",
		q.id, number/2, m.name, a.status, a.signature, a.body, a.err, runs)
	return a, runs
}
