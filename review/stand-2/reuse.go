package main

import (
	"sync/atomic"
	"syscall"
	"time"
)

// playReuse has the worker of a machine leave. Its address goes to a worker of another service, and
// the settings of the machine's node change accordingly.
func playReuse(t *test) int {
	first, second := leavers(t)
	w := t.startWorker(second, "i-"+second.name)
	t.startAll()
	var ended atomic.Bool
	t.traffic(ended.Load, 20*time.Millisecond, []*machine{second}, "POST", "/move/1")
	time.Sleep(5 * time.Second)
	changed := time.Now()
	if t.trouble {
		acked := w.drain()
		time.Sleep(time.Until(acked.Add(drainMs + 100*time.Millisecond)))
		w.delete()
		w.exit()
		time.Sleep(addrReuse + 500*time.Millisecond)
		second.service = first.service
		second.writeSettings(false)
		t.startWorker(second, "i-"+second.name+"-other")
		second.signal(syscall.SIGHUP)
		changed = time.Now()
		t.recordf("machine=%s has a worker of service=%s now", second.name, second.service)
	}
	time.Sleep(8 * time.Second)
	ended.Store(true)
	t.clients.Wait()
	sentAt := make(map[string]time.Time)
	for _, r := range t.results {
		sentAt[r.id] = r.sentAt
	}
	wrong, judged := 0, 0
	for _, e := range t.executions {
		if sentAt[e.id].Sub(changed) <= stableWindow {
			continue
		}
		judged++
		if e.caller != second.service {
			wrong++
			t.recordf("violation: request id=%s from machine=%s, where service=%s runs, has the caller's service %s", e.id, second.name, second.service, e.caller)
		}
	}
	t.recordf("%d of %d requests that were sent later than %s after the change bear another service", wrong, judged, stableWindow)
	if judged == 0 {
		panic("no request ran late enough")
	}
	return wrong
}
