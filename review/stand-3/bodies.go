package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is memoryMb of the settings.
	memoryLimit = 284
	// restartDelay is how long the platform takes to start a process that has ended.
	restartDelay = 300 * time.Millisecond
)

// memory returns the anonymous resident memory of the process of the node in MiB, without the
// pages of the program file.
func (m *machine) memory() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib >> 10
		}
	}
	return 0
}

// memoryWatch is the platform as far as it watches the memory of one process: it kills the process
// above the limit, and starts it again.
type memoryWatch struct {
	mu   sync.Mutex
	most int
	ends int
}

func (w *memoryWatch) run(rec *record, m *machine, stop <-chan struct{}) {
	const period = 2 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
		used := m.memory()
		w.mu.Lock()
		w.most = max(w.most, used)
		w.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		m.kill()
		rec.addf("the platform has killed the node of %s: it had %d MiB, the limit is %d MiB", m.name, used, memoryLimit)
		w.mu.Lock()
		w.ends++
		w.mu.Unlock()
		time.Sleep(restartDelay)
		if err := m.start(false); err != nil {
			rec.addf("the node of %s did not start again: %v", m.name, err)
			return
		}
	}
}

// runBodies has two clients send bookings with large bodies of a legal size, each one after the other.
// Without the disruption the bodies have the usual size. No node may need more memory than it has:
// on a tenth of the machines, two at least, processes must not end three times.
func runBodies(rec *record, dir string, trouble bool) (verdict, error) {
	const entries, clients, bookings, large, usual, minEnds, minMachines = 4, 2, 120, 60 << 20, 24 << 10, 3, 2
	var machines []machineConfig
	for i := range entries {
		machines = append(machines, machineConfig{fmt.Sprintf("kurume-%d", i+1), "kurume", "stockroom"})
	}
	machines = append(machines, machineConfig{"kurume-5", "kurume", "grindshop"}, machineConfig{"kurume-6", "kurume", "grindshop"})
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
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watches := make([]memoryWatch, len(d.machines))
	for i, m := range d.machines {
		watching.Go(func() { watches[i].run(rec, m, stop) })
	}
	size := usual
	if trouble {
		size = large
	}
	body := strings.Repeat("x", size)
	rec.addf("%d clients send %d bookings with a body of %d KiB each, one after the other; maxBodyBytes is 65536 KiB", clients, bookings, size>>10)
	var served atomic.Int64
	var sending sync.WaitGroup
	for c := range clients {
		sending.Go(func() {
			for i := c; i < bookings; i += clients {
				m := d.machines[i%entries]
				q := request{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+i), method: http.MethodPost, path: "/book/2f", body: body, deadline: 5 * time.Second}
				a := q.send(m.caller)
				rec.addf("booking %s sent to %s: answer %d, body %q, error %v; it has run %d times", q.id, m.name, a.status, a.body, a.err, d.runs(q.id))
				if a.status == http.StatusOK {
					served.Add(1)
				}
				const pause = 300 * time.Millisecond
				time.Sleep(pause)
			}
		})
	}
	sending.Wait()
	close(stop)
	watching.Wait()
	often := 0
	for i, m := range d.machines {
		rec.addf("node of %s: %d MiB at its most, ended %d times over its memory", m.name, watches[i].most, watches[i].ends)
		if watches[i].ends >= minEnds {
			often++
		}
	}
	rec.addf("%d bookings sent, %d served; on %d machines the process has ended %d times or more", bookings, served.Load(), often, minEnds)
	if often >= minMachines {
		return broken, nil
	}
	if !trouble && served.Load() < bookings/2 {
		return notRun, fmt.Errorf("only %d of %d bookings were served", served.Load(), bookings)
	}
	return held, nil
}
