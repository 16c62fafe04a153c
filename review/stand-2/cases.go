package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// cases returns for each case how it is played; the result is the number of violations.
var cases = map[string]func(t *test) int{
	"readers":    playReaders,
	"departures": playDepartures,
	"copy":       playCopy,
	"bodies":     playBodies,
	"reuse":      playReuse,
}

// config is a configuration as the operator writes it. The service of the route "move" and the
// version are left open.
const config = `{"version":%d,"routes":{
"look":{"host":"hulo84.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1500,"targetLatencyMs":1000,"priority":1,"service":"stockroom","attempts":2},
"move":{"host":"hulo84.example","pathPrefix":"/move/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":1000,"priority":0,"service":%q,"attempts":2}},
"services":{"stockroom":{"healthPath":"/health","maxConns":388},"grindshop":{"healthPath":"/health","maxConns":388}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func (t *test) configure(version int, service string) time.Time {
	at := t.store.put("keyed.op", "config", fmt.Appendf(nil, config, version, service))
	t.recordf("configuration %d acknowledged: route move goes to %s", version, service)
	return at
}

// playReaders has the store turn four machines of each zone away for nine seconds, a third of
// all, and changes the configuration meanwhile.
func playReaders(t *test) int {
	const zones, perZone, awayPerZone, awayFor = 4, 12, 4, 9 * time.Second
	t.configure(3, "stockroom")
	for z := range zones {
		for i := range perZone {
			service := "stockroom"
			if i%2 == 1 {
				service = "grindshop"
			}
			m := t.newMachine(fmt.Sprintf("sidecar-z%d-%d", z, i), fmt.Sprintf("zone%d", z), fmt.Sprintf("region%d", z/2), service)
			t.startWorker(m, "i-"+m.name)
		}
	}
	t.startAll()
	var ended atomic.Bool
	t.traffic(ended.Load, 10*time.Millisecond, t.machines, "POST", "/move/1")
	time.Sleep(6 * time.Second)

	// The machines that are turned away: of each zone the first four that call.
	zoneOf := make(map[string]string)
	for _, m := range t.machines {
		zoneOf[m.name] = m.zone
	}
	away, awayInZone, lifted := make(map[string]bool), make(map[string]int), false
	if t.trouble {
		t.store.update(func() {
			t.store.reject = func(name string) bool {
				if lifted {
					return false
				}
				if zone := zoneOf[name]; !away[name] && awayInZone[zone] < awayPerZone {
					away[name] = true
					awayInZone[zone]++
					t.recordf("store turns machine=%s away (%d of %d)", name, len(away), len(t.machines))
				}
				return away[name]
			}
		})
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	acked := t.configure(8, "grindshop")
	time.Sleep(time.Until(began.Add(awayFor)))
	t.store.update(func() { lifted = true })
	until := time.Now()
	t.recordf("store serves all machines")
	time.Sleep(3 * time.Second)
	ended.Store(true)
	t.clients.Wait()

	// The core is unstable while machines are turned away: that stretches the bound by maxSkew.
	bound := configApply
	if t.trouble {
		bound += maxSkew
	}
	wrong, late := 0, 0
	ran := make(map[string]execution)
	for _, e := range t.executions {
		ran[e.id] = e
	}
	latest := time.Time{}
	for _, r := range t.results {
		e, ok := ran[r.id]
		if !ok || away[r.m.name] || r.sentAt.Sub(acked) <= bound || !inTouch(r.undisturbedSince, r.sentAt) || t.trouble && r.sentAt.After(until) {
			continue
		}
		late++
		if e.service == "stockroom" {
			wrong++
			latest = r.sentAt
			t.recordf("violation: request id=%s sent at machine=%s %.3f s after the acknowledgement ran at %s", r.id, r.m.name, r.sentAt.Sub(acked).Seconds(), e.service)
		}
	}
	t.recordf("%d of %d requests that were sent later than %s after the acknowledgement, at machines that were not turned away, ran at the old service; the last one was sent at %.3f",
		wrong, late, bound, t.since(latest))
	if late == 0 {
		panic("no request ran late enough")
	}
	return wrong
}

// leavers is a small deployment with a worker that leaves at the machine second.
func leavers(t *test) (first, second *machine) {
	t.configure(3, "grindshop")
	first = t.newMachine("sidecar-kurume-1", "kurume", "chikugo", "stockroom")
	second = t.newMachine("sidecar-kurume-2", "kurume", "chikugo", "grindshop")
	third := t.newMachine("sidecar-yame-1", "yame", "chikugo", "grindshop")
	fourth := t.newMachine("sidecar-yame-2", "yame", "chikugo", "stockroom")
	for _, m := range []*machine{first, third, fourth} {
		t.startWorker(m, "i-"+m.name)
	}
	return first, second
}

// leave has the worker leave without having reported that it drains, while two of its heartbeats
// are held up. disturb is the disruption, after the acknowledgement. The worker serves for serveFor
// after the acknowledgement. The result is the number of requests that reached the worker later
// than drainMs after it, through machines in touch.
func (t *test) leave(w *worker, serveFor time.Duration, disturb func()) int {
	const firstDelay, secondDelay = 7 * time.Second, 6 * time.Second
	w.setState("")
	w.hold(firstDelay)
	time.Sleep(heartbeatPeriod)
	w.hold(secondDelay)
	time.Sleep(100 * time.Millisecond)
	acked := w.delete()
	if t.trouble {
		disturb()
	}
	time.Sleep(time.Until(acked.Add(serveFor)))
	w.exit()
	t.clients.Wait()
	byID := make(map[string]result)
	for _, r := range t.results {
		byID[r.id] = r
	}
	wrong, any := 0, 0
	for _, e := range t.executions {
		r, ok := byID[e.id]
		if e.instance != w.instance || e.at.Sub(acked) <= drainMs || !ok {
			continue
		}
		any++
		// Taken from the client and sent on by machines in touch.
		if inTouch(r.undisturbedSince, r.sentAt) && inTouch(w.m.undisturbedSince(), e.at) {
			wrong++
			t.recordf("violation: request id=%s reached instance=%s %.3f s after its leaving was acknowledged", e.id, e.instance, e.at.Sub(acked).Seconds())
		}
	}
	t.recordf("%d requests reached the worker later than %s after the acknowledgement, %d of them through machines in touch", any, drainMs, wrong)
	return wrong
}

// playDepartures replaces the worker of a machine seventeen times as planned. The next one leaves
// too, and the node beside it is stopped and started again.
func playDepartures(t *test) int {
	const replacements = 17
	first, second := leavers(t)
	w := t.startWorker(second, "i-leaver-0")
	t.startAll()
	var ended atomic.Bool
	t.traffic(ended.Load, 40*time.Millisecond, []*machine{first}, "POST", "/move/1")
	for i := range replacements {
		time.Sleep(200 * time.Millisecond)
		acked := w.drain()
		time.Sleep(time.Until(acked.Add(drainMs + 100*time.Millisecond)))
		w.delete()
		w.exit()
		time.Sleep(200 * time.Millisecond)
		w = t.startWorker(second, fmt.Sprintf("i-leaver-%d", i+1))
	}
	time.Sleep(2 * time.Second)
	time.AfterFunc(17*time.Second, func() { ended.Store(true) })
	return t.leave(w, 14*time.Second, func() {
		time.Sleep(200 * time.Millisecond)
		second.restart(syscall.SIGTERM)
	})
}

// playCopy lets the store come back from a copy that is two seconds old right after a worker's
// leaving was acknowledged, and kills the node beside it.
func playCopy(t *test) int {
	const copyAge, awayFor = 2 * time.Second, time.Second
	first, second := leavers(t)
	w := t.startWorker(second, "i-leaver-0")
	t.startAll()
	var ended atomic.Bool
	t.traffic(ended.Load, 40*time.Millisecond, []*machine{first}, "POST", "/move/1")
	time.Sleep(6 * time.Second)
	content := t.store.snapshot()
	time.AfterFunc(20*time.Second, func() { ended.Store(true) })
	return t.leave(w, 16*time.Second, func() {
		time.Sleep(200 * time.Millisecond)
		t.store.update(func() { t.store.away = true })
		t.recordf("the store is away")
		time.Sleep(awayFor)
		t.store.restore(content)
		t.recordf("the store is back from a copy")
		time.Sleep(time.Second)
		second.restart(syscall.SIGKILL)
	})
}
