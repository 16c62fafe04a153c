package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// relay forwards TCP connections to the store. Open connections can be made silent for good,
// while new ones work.
type relay struct {
	address, target string

	mu    sync.Mutex
	muted chan struct{}
}

func startRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	r := &relay{address: l.Addr().String(), target: target, muted: make(chan struct{})}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(in)
		}
	}()
	return r, nil
}

// mute makes all open connections silent.
func (r *relay) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.muted)
	r.muted = make(chan struct{})
}

func (r *relay) forward(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	r.mu.Lock()
	muted := r.muted
	r.mu.Unlock()
	one := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			select {
			case <-muted: // What comes is lost, and so is the end of the connection.
				if err != nil {
					return
				}
				continue
			default:
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil {
				_ = to.(*net.TCPConn).SetLinger(0) // A reset stays a reset.
				_ = to.Close()
				return
			}
		}
	}
	go one(out, in)
	one(in, out)
}

const (
	configApply = 2500 * time.Millisecond // configApplyMs
	// settled is how long the polls of the store that follow a version have to begin.
	settled      = 300 * time.Millisecond
	silentRounds = 3
)

// silentStore makes the open connections between all nodes and the store silent, and moves a
// route to another service right after that.
func silentStore(d *deployment, trouble bool) (verdict, error) {
	version := 7
	put := func(service string) time.Time {
		version += 2
		text := strings.ReplaceAll(string(config(version, "/health")), `"pathPrefix":"/look/","kind":"safe","timeoutMs":1200,"targetLatencyMs":1500,"priority":2,"service":"stock"`,
			`"pathPrefix":"/look/","kind":"safe","timeoutMs":1200,"targetLatencyMs":1500,"priority":2,"service":"`+service+`"`)
		d.store.put("keyed.op", "config", []byte(text))
		return time.Now()
	}
	put("stock")
	direct := d.store.address
	var relays []*relay
	var hosts []*host
	for i, service := range []string{"stock", "stock", "sheets", "sheets"} {
		r, err := startRelay(direct)
		if err != nil {
			return verdict{}, err
		}
		relays = append(relays, r)
		d.store.address = r.address // Each node reaches the store through a relay of its own.
		w := &worker{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, slots: 48, healthPath: "/health"}
		h, err := d.addHost(fmt.Sprintf("sidecar-%d", i+1), "zone-"+itoa(i%2+1), "region-1", w)
		if err != nil {
			return verdict{}, err
		}
		hosts = append(hosts, h)
	}
	if err := d.start(shop, "/look/x", "/sheet/x"); err != nil {
		return verdict{}, err
	}
	var n atomic.Int64
	var mu sync.Mutex
	sent := map[string]answer{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for {
				r := request{id: fmt.Sprintf("r-%05d", n.Add(1)), method: http.MethodGet, host: shop, path: "/look/1", deadline: 5 * time.Second}
				h := hosts[i%len(hosts)]
				a := h.send(r)
				d.record.printf("client at %s sent %s %s %s at %.3f: status %d", h.name, r.method, r.path, r.id, d.record.at(a.sent), a.status)
				mu.Lock()
				sent[r.id] = a
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	type change struct {
		from, to time.Time
		old      string
		version  int
	}
	var changes []change
	services := []string{"stock", "sheets"}
	for round := range silentRounds {
		old, next := services[round%2], services[(round+1)%2]
		put(old)
		d.record.printf("version %d is acknowledged", version)
		time.Sleep(settled)
		silent := time.Now()
		if trouble {
			for _, r := range relays {
				r.mute()
			}
			d.record.printf("the open connections to the store are silent from now on")
		}
		time.Sleep(200 * time.Millisecond)
		acked := put(next)
		d.record.printf("version %d is acknowledged: /look/ goes to %s", version, next)
		from := acked.Add(configApply)
		if trouble && silent.Add(stableWindow).After(from) {
			from = silent.Add(stableWindow)
		}
		time.Sleep(12 * time.Second)
		changes = append(changes, change{from: from, to: time.Now(), old: old, version: version})
	}
	close(stop)
	clients.Wait()
	stale := 0
	for _, h := range hosts {
		for _, a := range h.worker.received() {
			s, ok := sent[a.id]
			if !ok || !a.ran {
				continue
			}
			for _, c := range changes {
				if s.sent.After(c.from) && s.sent.Before(c.to) && h.worker.service == c.old {
					stale++
					d.record.printf("CONFIG: %s, sent at %.3f, was run by the old service %s; all machines are in touch and have to apply version %d from %.3f on", a.id, d.record.at(s.sent), c.old, c.version, d.record.at(c.from))
				}
			}
		}
	}
	text := fmt.Sprintf("%d of %d requests were run by the service of an older version, in touch and later than configApplyMs after the acknowledgement", stale, len(sent))
	d.record.printf("%s", text)
	return verdict{stale > 0, text}, nil
}
