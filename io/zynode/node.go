// Package zynode wires the parts of one node together.
package zynode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zysettings"
	"zinniayoke/core/zytimer"
	"zinniayoke/io/zygossip"
	"zinniayoke/io/zylogger"
	"zinniayoke/io/zymetric"
	"zinniayoke/io/zypeer"
	"zinniayoke/io/zyweb"
)

// Config configures a node.
type Config struct {
	Settings *zysettings.Settings
	Output   io.Writer
	// ProbePeriod is the probe period of the membership; 0 means one second.
	ProbePeriod time.Duration
	// Adapters are where the node meets what is outside of it. Nil fields get those of
	// the product itself.
	Adapters Adapters
}

const (
	usualPeriod     = 1 * time.Second
	rememberDead    = 1 * time.Hour
	followPeriod    = 500 * time.Millisecond
	syncPeriod      = 10 * time.Second
	upkeepPeriod    = 1 * time.Second
	joinTimeout     = 1 * time.Second
	meetingTimeout  = 1 * time.Second
	mostAttempts    = 200_000
	mostKeys        = 200_000
	mostSuspects    = 4096
	mostAnswerBytes = 32 * zinniayoke.MiB
	keepAttempts    = 1 * time.Minute
	firstKeyWindow  = 10 * time.Minute
	drainNotice     = 300 * time.Millisecond
	headerTimeout   = 10 * time.Second
)

// Node is one running node. A Node must be made with New.
type Node struct {
	cfg      Config
	id       zinniayoke.NodeID
	logger   *zylogger.Logger
	log      *zylogger.ComponentLogger
	lines    *zylogger.Writer
	journal  *zylogger.EventLog
	timer    *zytimer.Service
	book     *ruleBook
	view     *view
	client   *zypeer.Client
	server   *zypeer.Server
	gossip   *zygossip.Socket
	platform zinniayoke.Log
	meeting  zinniayoke.Discovery
	follower *follower
	spread   *spreader
	receiver *zyingress.Receiver
	grants   *zyidempotency.GrantTable
	keeper   *zyidempotency.Owner
	fence    *zyfence.Table
	home     *zykeyowner.Executor
	keepers  *keepers
	entry    *zyentry.Entry
	picker   *zybalancer.Picker
	links    *zybalancer.LinkBudget
	suspects *zyquarantine.Tracker
	meter    *zymetric.Meter
	registry *prometheus.Registry
	https    []*http.Server
	subs     []*zytimer.Subscription
	ports    ports
	// joined is true once another node has answered, or none is known.
	joined  atomic.Bool
	joining sync.Mutex
	// announced is true once the node's address is at the meeting place.
	announced   atomic.Bool
	rejoinAt    time.Time
	rejoinPause time.Duration
	stopWatch   context.CancelFunc
	storeLost   atomic.Bool
	// settings are the ones that were read last.
	settings atomic.Pointer[zysettings.Settings]
	retries  *zyattempt.ServiceRetryBudgets
	leaving  atomic.Bool
	since    time.Time
	// peer is the address of the peer port, also for membership packets.
	peer string
}

// ports holds the listeners of a node.
type ports struct {
	caller   net.Listener
	upstream net.Listener
	admin    net.Listener
	peer     net.Listener
	gossip   net.PacketConn
}

// App returns the node as an fx application: its start hook brings the node up,
// its stop hook ends it gracefully.
func App(cfg Config, extra ...fx.Option) *fx.App {
	options := append([]fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(time.Minute),
		fx.StopTimeout(cfg.Settings.Shutdown.Grace + time.Minute),
		fx.Supply(cfg),
		fx.Provide(New),
		fx.Invoke(func(lc fx.Lifecycle, n *Node) {
			lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
		}),
	}, extra...)
	return fx.New(options...)
}

// New makes a node and opens its ports.
func New(cfg Config) (*Node, error) {
	if cfg.ProbePeriod == 0 {
		cfg.ProbePeriod = usualPeriod
	}
	lines := zylogger.NewWriter(cfg.Output)
	logger, err := zylogger.New(zylogger.Config{
		Output: lines, Level: cfg.Settings.Logging.Level, Format: cfg.Settings.Logging.Format,
	})
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{cfg: cfg, lines: lines, journal: zylogger.NewEventLog(lines, lines.Dropped), logger: logger, log: logger.ForComponent("node"), since: time.Now()}
	n.id = zinniayoke.NodeID(fmt.Sprintf("%s/%016x", cfg.Settings.Host, time.Now().UnixNano()))
	n.settings.Store(cfg.Settings)
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.timer = zytimer.New()
	n.book = newRuleBook(zyagreement.ApprovalPolicy{
		Approvals: cfg.Settings.Genesis.Approvals, Approvers: cfg.Settings.Genesis.Approvers,
	})
	n.cfg.Adapters.fill(n)
	n.client = zypeer.NewClient(zypeer.ClientConfig{Key: cfg.Settings.PeerKey, Timer: n.timer})
	n.makeView()
	n.makeRequestPath()
	return n, n.makeServers()
}

func (n *Node) listen() error {
	l := n.cfg.Settings.Listen
	var failures []error
	open := func(name, address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			failures = append(failures, fmt.Errorf("%s port: %w", name, err))
		}
		return listener
	}
	n.ports.caller = open("caller", l.Caller)
	n.ports.upstream = open("upstream", l.Upstream)
	n.ports.admin = open("admin", l.Admin)
	n.ports.peer = open("peer", l.Peer)
	if err := errors.Join(failures...); err != nil {
		return err
	}
	n.peer = n.ports.peer.Addr().String()
	gossip, err := net.ListenPacket("udp", n.peer)
	if err != nil {
		return fmt.Errorf("membership port: %w", err)
	}
	n.ports.gossip = gossip
	return nil
}

func (n *Node) makeServers() error {
	s := n.cfg.Settings
	n.spread = &spreader{
		decode: n.cfg.Adapters.decoder(),
		self:   n.id, domain: s.Locality.Domain, book: n.book, view: n.view, client: n.client, log: n.logger.ForComponent("bundle"),
	}
	n.follower = &follower{
		self: n.id, domain: s.Locality.Domain, log: n.platform, book: n.book, view: n.view,
		spread: n.spread, out: n.logger.ForComponent("log"),
	}
	n.book.changed = n.onBundle
	server, err := zypeer.NewServer(zypeer.ServerConfig{Listener: n.ports.peer, Key: s.PeerKey, Service: &peerService{node: n}})
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	n.server = server
	n.https = []*http.Server{
		newHTTP(n.cfg.Adapters.CallerHandler(CallerHandlerConfig{Entry: n.entry, Rules: n.book.Rules, Leaving: n.leaving.Load})),
		newHTTP(n.cfg.Adapters.UpstreamHandler(n.announce)),
		newHTTP(zyweb.NewAdminHandler(zyweb.AdminConfig{
			Registry: n.registry, Ready: n.Ready, State: func() any { return n.State() }, SetLevel: n.logger.SetLevel,
			ReadyPath: n.cfg.Adapters.ReadyPath,
		})),
	}
	n.registerGauges()
	return nil
}

func newHTTP(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// NotReadyError says why a node does not serve yet.
type NotReadyError struct {
	Problem string
}

// Error returns the problem.
func (e *NotReadyError) Error() string {
	return e.Problem
}

// Ready returns a *NotReadyError where the node cannot serve.
func (n *Node) Ready() error {
	switch {
	case n.book.Rules() == nil:
		return &NotReadyError{Problem: "no bundle is in force here yet"}
	case n.leaving.Load():
		return &NotReadyError{Problem: "the node is stopping"}
	}
	return nil
}

// Start brings the node up.
func (n *Node) Start(_ context.Context) error {
	go n.server.Serve()
	n.gossip = zygossip.New(zygossip.Config{
		Conn: n.ports.gossip, Key: n.cfg.Settings.PeerKey, Table: n.view.table, TableLock: &n.view.mu,
		Timer: n.timer, Period: n.cfg.ProbePeriod,
		OnPacket: func(p *zymember.Packet) { n.spread.Notice(p.Version, p.FromAddress) },
		OnChange: n.onMembers,
	})
	n.watch()
	for i, listener := range []net.Listener{n.ports.caller, n.ports.upstream, n.ports.admin} {
		go n.serve(n.https[i], listener)
	}
	n.findWorker()
	if n.decided() {
		go n.join() // The store may be down while calls can be served.
	} else {
		n.join()
	}
	n.subscribe()
	n.log.With("id", n.id).With("settings", n.cfg.Settings.Summary()).Info("The node has started.")
	return nil
}

func (n *Node) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.With("error", err).Warn("A port has failed.")
	}
}

func (n *Node) subscribe() {
	if !n.decided() {
		n.subs = append(n.subs, n.timer.Every(followPeriod, n.follower.Follow))
	}
	n.subs = append(n.subs,
		n.timer.Every(syncPeriod, func(time.Time) { n.syncRandom() }),
		n.timer.Every(upkeepPeriod, n.upkeep),
	)
}

func (n *Node) onMembers() {
	n.view.refresh()
	n.home.ReleaseSlots()
}

// shareLinks gives the node its part of each link: the link's rate divided by
// the nodes of its own region, which share it.
func (n *Node) shareLinks(now time.Time) {
	rules := n.book.Rules()
	if rules == nil {
		return
	}
	own := n.cfg.Settings.Locality.Region
	nodes := max(n.view.InRegion(own), 1)
	for pair, link := range rules.Links {
		switch own {
		case pair.Low:
			n.links.SetRate(now, pair.High, float64(link.Rate)/float64(nodes))
		case pair.High:
			n.links.SetRate(now, pair.Low, float64(link.Rate)/float64(nodes))
		}
	}
}

func (n *Node) upkeep(now time.Time) {
	n.shareLinks(now)
	n.home.Tick(now)
	n.keeper.Sweep(now)
	n.picker.Sweep(now)
	n.updateSelf()
	n.rejoin(now)
}

// Addresses returns the addresses of the node's ports.
func (n *Node) Addresses() zysettings.Listen {
	return zysettings.Listen{
		Caller: n.ports.caller.Addr().String(), Upstream: n.ports.upstream.Addr().String(),
		Peer: n.peer, Admin: n.ports.admin.Addr().String(),
	}
}

// ID returns the node's id.
func (n *Node) ID() zinniayoke.NodeID {
	return n.id
}
