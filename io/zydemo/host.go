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

// host is one host of the demo: a node, and one worker for each time that the
// worker was started. Only the last worker runs.
type host struct {
	locality zinniayoke.Locality
	service  Service
	app      *fx.App
	node     *zynode.Node
	workers  []*zystandin.Worker
	server   *http.Server
	cancel   context.CancelFunc
}

func (d *demo) startHost(ctx context.Context, locality zinniayoke.Locality, s Service) (*host, error) {
	h := &host{locality: locality, service: s}
	h.app = zynode.App(zynode.Config{Settings: d.settings(locality, s), Output: d.cfg.LogOutput}, fx.Populate(&h.node))
	if err := h.app.Start(ctx); err != nil {
		return nil, fmt.Errorf("start node of %s in %s: %w", s.Name, locality.Domain, err)
	}
	return h, h.startWorker(ctx)
}

func (h *host) startWorker(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for worker of %s: %w", h.service.Name, err)
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

// stopWorker simulates a crash of the worker: open connections are closed.
func (h *host) stopWorker() {
	h.cancel()
	_ = h.server.Close()
}

// crash stops the node and the worker without a graceful shutdown.
func (h *host) crash() {
	h.node.Abort()
	h.stopWorker()
}

// settings returns the settings of a node that listens on ephemeral ports.
func (d *demo) settings(locality zinniayoke.Locality, s Service) *zysettings.Settings {
	const anyPort = "127.0.0.1:0"
	var seeds []string
	if len(d.hosts) > 0 {
		seeds = append(seeds, d.hosts[0].node.Addresses().Peer)
	}
	key := sha256.Sum256([]byte("demo peers"))
	return &zysettings.Settings{
		Host:     string(locality.Domain) + "-" + string(s.Name),
		Locality: locality,
		Listen:   zysettings.Listen{Caller: anyPort, Upstream: anyPort, Peer: anyPort, Admin: anyPort},
		Seeds:    seeds, PeerKey: key[:], LogAddress: d.logAddress,
		Logging:  zysettings.Logging{Level: "warn", Format: "text"},
		Genesis:  zysettings.Genesis{Approvals: 1, Approvers: genesisPolicy().Approvers},
		Shutdown: zysettings.Shutdown{Grace: callTimeout},
	}
}

// injectFaults injects failures during a phase: the log is down for the first
// three fifths, a host crashes after one fifth and is replaced after three, and a
// worker of the bottleneck restarts after two.
func (d *demo) injectFaults(ctx context.Context, phase time.Duration) {
	const fifths = 5
	bottleneck := len(d.deployment.Services) - 1
	crashedIndex, restartedIndex := 1*len(d.deployment.Services), 2*len(d.deployment.Services)+bottleneck
	d.progressf("The log is down.")
	d.log.SetFaults(zystandin.LogFaults{Down: true})
	sleep(ctx, phase/fifths)
	crashed := d.hosts[crashedIndex]
	d.progressf("A host of %s in %s crashes.", crashed.service.Name, crashed.locality.Domain)
	crashed.crash()
	sleep(ctx, phase/fifths)
	h := d.hosts[restartedIndex]
	d.progressf("A worker of %s in %s restarts.", h.service.Name, h.locality.Domain)
	h.stopWorker()
	if err := h.startWorker(ctx); err != nil {
		d.progressf("The worker did not restart: %v", err)
	}
	sleep(ctx, phase/fifths)
	d.log.SetFaults(zystandin.LogFaults{})
	d.progressf("The log is back, and the crashed host is replaced.")
	replacement, err := d.startHost(ctx, crashed.locality, crashed.service)
	if err != nil {
		d.progressf("The replacement host did not start: %v", err)
		return
	}
	d.lostHosts = append(d.lostHosts, crashed)
	d.hosts[crashedIndex] = replacement
}
