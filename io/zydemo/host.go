package zydemo

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"zinniayoke"
	"zinniayoke/core/zysettings"
	"zinniayoke/io/zynode"
	"zinniayoke/io/zystandin"
)

// host is one host of the demo: a node, and its worker of each run.
type host struct {
	locality zinniayoke.Locality
	service  Service
	app      *fx.App
	node     *zynode.Node
	workers  []*zystandin.Worker
	server   *http.Server
	cancel   context.CancelFunc
}

// startHost brings one node and its worker up.
func (d *demo) startHost(ctx context.Context, place zinniayoke.Locality, s Service) (*host, error) {
	h := &host{locality: place, service: s}
	h.app = zynode.App(zynode.Config{Settings: d.settings(place, s), Output: d.cfg.Logs}, fx.Populate(&h.node))
	if err := h.app.Start(ctx); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return h, h.startWorker(ctx)
}

// startWorker brings a fresh worker up on the host.
func (h *host) startWorker(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	ports := h.node.Addresses()
	worker := zystandin.NewWorker(zystandin.WorkerConfig{
		Service: h.service.Name, Slots: h.service.Slots, MaxConnections: h.service.MaxConnections, Actions: h.service.Actions,
		NodeCallerAddress: ports.Caller, NodeUpstreamAddress: ports.Upstream, Address: listener.Addr().String(),
	})
	h.workers = append(h.workers, worker)
	h.server = &http.Server{Handler: worker, ReadHeaderTimeout: callTimeout}
	go func() { _ = h.server.Serve(listener) }()
	ctx, h.cancel = context.WithCancel(ctx)
	go worker.KeepAnnouncing(ctx)
	return nil
}

// stopWorker ends the worker as a crash does: its connections break off.
func (h *host) stopWorker() {
	h.cancel()
	_ = h.server.Close()
}

// crash ends the host without warning.
func (h *host) crash() {
	h.node.Abort()
	h.stopWorker()
}

// settings returns the settings of one node, with ports that the system picks.
func (d *demo) settings(place zinniayoke.Locality, s Service) *zysettings.Settings {
	const anyPort = "127.0.0.1:0"
	var seeds []string
	if len(d.hosts) > 0 {
		seeds = append(seeds, d.hosts[0].node.Addresses().Peer)
	}
	key := sha256.Sum256([]byte("demo peers"))
	return &zysettings.Settings{
		Host:     string(place.Domain) + "-" + string(s.Name),
		Locality: place,
		Listen:   zysettings.Listen{Caller: anyPort, Upstream: anyPort, Peer: anyPort, Admin: anyPort},
		Seeds:    seeds, PeerKey: key[:], LogAddress: d.logAddress,
		Logging:  zysettings.Logging{Level: "warn", Format: "text"},
		Genesis:  zysettings.Genesis{Approvals: 1, Approvers: genesisPolicy().Approvers},
		Shutdown: zysettings.Shutdown{Grace: callTimeout},
	}
}

// injectFaults makes the surge worse: the log is down for its first half, a host
// is lost at a fifth and replaced at three fifths, and a worker of the bottleneck
// restarts at two fifths.
func (d *demo) injectFaults(ctx context.Context, phase time.Duration) {
	const fifths = 5
	last := len(d.deployment.Services) - 1
	lost, restarted := 1*len(d.deployment.Services), 2*len(d.deployment.Services)+last
	d.progressf("The log is down.")
	d.log.SetFaults(zystandin.LogFaults{Down: true})
	sleep(ctx, phase/fifths)
	old := d.hosts[lost]
	d.progressf("A host of %s in %s is lost.", old.service.Name, old.locality.Domain)
	old.crash()
	sleep(ctx, phase/fifths)
	h := d.hosts[restarted]
	d.progressf("A worker of %s in %s restarts.", h.service.Name, h.locality.Domain)
	h.stopWorker()
	if err := h.startWorker(ctx); err != nil {
		d.progressf("It did not come back: %v", err)
	}
	sleep(ctx, phase/fifths)
	d.log.SetFaults(zystandin.LogFaults{})
	d.progressf("The log is back, and the lost host is replaced.")
	fresh, err := d.startHost(ctx, old.locality, old.service)
	if err != nil {
		d.progressf("It did not come up: %v", err)
		return
	}
	d.lostHosts = append(d.lostHosts, old)
	d.hosts[lost] = fresh
}
