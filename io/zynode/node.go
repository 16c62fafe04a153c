// Package zynode assembles one node: it opens the ports, joins the membership,
// obtains the bundle (the configuration of services and routes that all nodes
// share) and connects the components that carry calls.
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
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zysettings"
	"zinniayoke/core/zytimer"
	"zinniayoke/core/zywhere"
	"zinniayoke/io/zygossip"
	"zinniayoke/io/zylistener"
	"zinniayoke/io/zylogger"
	"zinniayoke/io/zymetric"
	"zinniayoke/io/zypeer"
	"zinniayoke/io/zyweb"
)

// Config configures a node.
type Config struct {
	Settings *zysettings.Settings
	Output   io.Writer
	// ProbePeriod is the interval between membership probes; 0 means one second.
	ProbePeriod time.Duration
	// Adapters connect the node to external systems. Nil fields get the default
	// implementations.
	Adapters Adapters
}

const (
	defaultProbePeriod = 1 * time.Second
	deadRetention      = 1 * time.Hour
	logPollPeriod      = 500 * time.Millisecond
	memberSyncPeriod   = 10 * time.Second
	maintenancePeriod  = 1 * time.Second
	memberSyncTimeout  = 1 * time.Second
	discoveryTimeout   = 1 * time.Second
	maxAttempts        = 200_000
	maxKeys            = 200_000
	maxCrashRecords    = 4096
	maxResponseBytes   = 32 * zinniayoke.MiB
	attemptRetention   = 1 * time.Minute
	initialKeyWindow   = 10 * time.Minute
	minDrainDelay      = 300 * time.Millisecond
	readHeaderTimeout  = 10 * time.Second
)

// Node is one running node. It must be created with New.
type Node struct {
	cfg            Config
	id             zinniayoke.NodeID
	logger         *zylogger.Logger
	log            *zylogger.ComponentLogger
	logWriter      *zylogger.Writer
	recorder       *zylogger.EventLog
	timer          *zytimer.Service
	bundle         *bundleState
	view           *memberView
	client         *zypeer.Client
	server         *zypeer.Server
	gossip         *zygossip.Socket
	sharedLog      zinniayoke.Log
	discovery      zinniayoke.Discovery
	follower       *logFollower
	distributor    *bundleDistributor
	receiver       *zyingress.Receiver
	grants         *zyidempotency.GrantTable
	keyOwner       *zyidempotency.Owner
	fence          *zyfence.Table
	keyExecutor    *zykeyowner.Executor
	keyOwners      *keyOwnerClient
	customerLimits *customerLimits
	sender         *zyegress.Sender
	entry          *zyentry.Entry
	picker         *zybalancer.Picker
	where          *zywhere.Explainer
	linkBudget     *zybalancer.LinkBudget
	quarantine     *zyquarantine.Tracker
	meter          *zymetric.Meter
	registry       *prometheus.Registry
	httpServers    []*http.Server
	subscriptions  []*zytimer.Subscription
	listeners      listeners
	// joined is true once the node has exchanged member lists with another node or
	// knows of no other node.
	joined atomic.Bool
	joinMu sync.Mutex
	// rejoinSoon asks for the next join without waiting for nextJoin.
	rejoinSoon     atomic.Bool
	nextJoin       time.Time
	rejoinInterval time.Duration
	// reader is nil if the nodes agree on the bundle through the shared log.
	reader atomic.Pointer[bundleReader]
	// settings are the ones read most recently; cfg.Settings are those of the start.
	settings     atomic.Pointer[zysettings.Settings]
	retryBudgets *zyattempt.ServiceRetryBudgets
	leaving      atomic.Bool
	identity     workerIdentity
	departures   recordedDepartures
	// departureRecords are the departures of the workers of all hosts, as far as known.
	departureRecords departureRegistry
	// informed is true once this process knows all departures that were acknowledged lately:
	// none were before it, or the store or another node has told it.
	informed atomic.Bool
	// triedJoin is true once other nodes were asked for what they know.
	triedJoin atomic.Bool
	// recalled is true once the departures that earlier processes have recorded were read.
	recalled           atomic.Bool
	recallSubscription atomic.Pointer[zytimer.Subscription]
	started            time.Time
	// peerAddress is the address of the peer port, used for RPC over TCP and for
	// membership packets over UDP.
	peerAddress string
}

// listeners holds the open ports of a node.
type listeners struct {
	caller   net.Listener
	upstream net.Listener
	admin    net.Listener
	peer     net.Listener
	gossip   net.PacketConn
}

// App returns the node as an fx application. Its start hook starts the node and
// its stop hook stops it gracefully.
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

// New creates a node and opens its ports. Start makes it serve.
func New(cfg Config) (*Node, error) {
	if cfg.ProbePeriod == 0 {
		cfg.ProbePeriod = defaultProbePeriod
	}
	lines := zylogger.NewWriter(cfg.Output)
	logger, err := zylogger.New(zylogger.Config{
		Output: lines, Level: cfg.Settings.Logging.Level, Format: cfg.Settings.Logging.Format,
	})
	if err != nil {
		return nil, fmt.Errorf("create logger: %w", err)
	}
	n := &Node{cfg: cfg, logWriter: lines, recorder: zylogger.NewEventLog(lines, lines.Dropped), logger: logger, log: logger.ForComponent("node"), started: time.Now()}
	n.id = zinniayoke.NodeID(fmt.Sprintf("%s/%016x", cfg.Settings.Host, time.Now().UnixNano()))
	n.settings.Store(cfg.Settings)
	n.informed.Store(cfg.Settings.Bootstrap)
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.timer = zytimer.New()
	n.bundle = newBundleState(zyagreement.ApprovalPolicy{
		Approvals: cfg.Settings.Genesis.Approvals, Approvers: cfg.Settings.Genesis.Approvers,
	})
	n.cfg.Adapters.setDefaults(n)
	n.client = zypeer.NewClient(zypeer.ClientConfig{Key: cfg.Settings.PeerKey, Timer: n.timer})
	n.initMembership()
	n.initRequestPath()
	return n, n.initServers()
}

func (n *Node) listen() error {
	l := n.cfg.Settings.Listen
	var failures []error
	open := func(name, address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			failures = append(failures, fmt.Errorf("open %s port %q: %w", name, address, err))
		}
		return listener
	}
	n.listeners.caller = open("caller", l.Caller)
	n.listeners.upstream = open("upstream", l.Upstream)
	n.listeners.admin = open("admin", l.Admin)
	n.listeners.peer = open("peer", l.Peer)
	if err := errors.Join(failures...); err != nil {
		return err
	}
	n.peerAddress = n.listeners.peer.Addr().String()
	gossip, err := net.ListenPacket("udp", n.peerAddress)
	if err != nil {
		return fmt.Errorf("open membership port %q (UDP): %w", n.peerAddress, err)
	}
	n.listeners.gossip = gossip
	return nil
}

// initServers creates the distribution of bundles and the servers of all ports.
func (n *Node) initServers() error {
	s := n.cfg.Settings
	n.distributor = &bundleDistributor{
		decode: n.cfg.Adapters.decoder(), onFetched: n.onBundleFetched,
		self: n.id, domain: s.Locality.Domain, bundle: n.bundle, view: n.view, client: n.client, log: n.logger.ForComponent("bundle"),
	}
	n.follower = &logFollower{
		self: n.id, domain: s.Locality.Domain, sharedLog: n.sharedLog, bundle: n.bundle, view: n.view,
		distributor: n.distributor, logger: n.logger.ForComponent("log"),
	}
	n.bundle.changed = n.onBundleChange
	server, err := zypeer.NewServer(zypeer.ServerConfig{Listener: n.listeners.peer, Key: s.PeerKey, Service: &peerService{node: n}, Budget: n.cfg.Adapters.Budget})
	if err != nil {
		return fmt.Errorf("create peer server on %s: %w", n.peerAddress, err)
	}
	n.server = server
	n.httpServers = []*http.Server{
		newHTTPServer(n.cfg.Adapters.CallerHandler(CallerHandlerConfig{Entry: n.entry, Bundle: n.bundle.Current, Leaving: n.leaving.Load, Service: n.receiver.Service, Budget: n.cfg.Adapters.Budget})),
		newHTTPServer(n.cfg.Adapters.UpstreamHandler(n.handleAnnouncement)),
		newHTTPServer(zyweb.NewAdminHandler(zyweb.AdminConfig{
			Registry: n.registry, Ready: n.Ready, State: func() any { return n.State() }, Where: http.HandlerFunc(n.serveWhere), SetLevel: n.logger.SetLevel,
			ReadyPath: n.cfg.Adapters.ReadyPath,
		})),
	}
	n.registerGauges()
	return nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

// NotReadyError reports why a node does not serve calls.
type NotReadyError struct {
	Problem string
}

// Error returns the problem.
func (e *NotReadyError) Error() string {
	return e.Problem
}

// Ready returns nil if the node serves calls, else a *NotReadyError.
func (n *Node) Ready() error {
	switch {
	case n.bundle.Current() == nil:
		return &NotReadyError{Problem: "no bundle is in force here yet"}
	case n.leaving.Load():
		return &NotReadyError{Problem: "the node is stopping"}
	}
	return nil
}

// Start begins to serve on all ports and joins the membership. Without a bundle
// source it returns after the first attempt to join.
func (n *Node) Start(_ context.Context) error {
	go n.server.Serve()
	n.gossip = zygossip.New(zygossip.Config{
		Conn: n.listeners.gossip, Key: n.cfg.Settings.PeerKey, Table: n.view.table, TableLock: &n.view.mu,
		Timer: n.timer, Period: n.cfg.ProbePeriod,
		OnPacket: n.onPacket,
		OnChange: n.onMembershipChange,
	})
	n.startReader()
	limits := n.connectionLimits()
	for i, listener := range []net.Listener{n.listeners.caller, n.listeners.upstream, n.listeners.admin} {
		go n.serve(n.httpServers[i], zylistener.New(listener, limits[i]))
	}
	n.findWorker()
	n.recallSubscription.Store(n.timer.Every(recallPeriod, n.recallIfDue))
	if n.hasBundleSource() {
		go n.join() // Don't delay calls while discovery is unavailable.
	} else {
		n.join()
	}
	n.subscribe()
	n.log.With("id", n.id).With("settings", n.cfg.Settings.Summary()).Info("The node has started.")
	return nil
}

func (n *Node) serve(server *http.Server, listener *zylistener.Listener) {
	listener.Attach(server)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.With("error", err).Warn("A listener has failed.")
	}
}

func (n *Node) subscribe() {
	if !n.hasBundleSource() {
		n.subscriptions = append(n.subscriptions, n.timer.Every(logPollPeriod, n.follower.Poll))
	}
	n.subscriptions = append(n.subscriptions,
		n.timer.Every(memberSyncPeriod, func(time.Time) { n.syncRandom() }),
		n.timer.Every(maintenancePeriod, n.maintain),
	)
	// Limits are kept up to date until the node closes, because it serves calls in flight
	// while it stops.
	n.timer.Every(quotaTickPeriod, n.customerLimits.tick)
}

// startReader begins to follow the bundle source, if there is one.
func (n *Node) startReader() {
	if !n.hasBundleSource() {
		return
	}
	r := &bundleReader{
		self: n.id, domain: n.cfg.Settings.Locality.Domain, source: n.cfg.Adapters.BundleSource,
		bundle: n.bundle, view: n.view, gossip: n.gossip, distributor: n.distributor,
		log: n.logger.ForComponent("reader"), joined: n.joined.Load, rejoin: func() { n.rejoinSoon.Store(true) },
	}
	r.Start(n.timer)
	n.reader.Store(r)
}

// onBundleFetched passes beats on that had to wait for a bundle from a peer.
func (n *Node) onBundleFetched() {
	if r := n.reader.Load(); r != nil {
		r.confirmPending()
	}
}

// onPacket handles the version that a packet of another node carries.
func (n *Node) onPacket(p *zymember.Packet) {
	n.customerLimits.observePacket()
	if r := n.reader.Load(); r != nil {
		r.HandlePacket(p)
		return
	}
	n.distributor.FetchIfNewer(p.Version, p.FromAddress)
}

// onMembershipChange rebuilds the view and releases key slots that other nodes own now.
func (n *Node) onMembershipChange() {
	n.view.refresh()
	n.keyExecutor.ReleaseSlots()
}

// updateLinkRates sets this node's share of the budget of each link between
// regions: the rate of the link divided by the nodes of the local region.
func (n *Node) updateLinkRates(now time.Time) {
	bundle := n.bundle.Current()
	if bundle == nil {
		return
	}
	own := n.cfg.Settings.Locality.Region
	nodes := max(n.view.RegionNodeCount(own), 1)
	for pair, link := range bundle.Links {
		switch own {
		case pair.Low:
			n.linkBudget.SetRate(now, pair.High, float64(link.Rate)/float64(nodes))
		case pair.High:
			n.linkBudget.SetRate(now, pair.Low, float64(link.Rate)/float64(nodes))
		}
	}
}

func (n *Node) maintain(now time.Time) {
	n.updateLinkRates(now)
	n.updateRetryHosts(now)
	n.keyExecutor.Tick(now)
	n.keyOwner.Sweep(now)
	n.picker.Sweep(now)
	n.updateSelf()
	n.rejoinIfDue(now)
	n.departureRecords.expire(now)
	if now.Sub(n.started) > departureRetention {
		n.informed.Store(true) // All runs that left before this process have ended.
	}
}

// Addresses returns the addresses at which the ports of the node listen.
func (n *Node) Addresses() zysettings.Listen {
	return zysettings.Listen{
		Caller: n.listeners.caller.Addr().String(), Upstream: n.listeners.upstream.Addr().String(),
		Peer: n.peerAddress, Admin: n.listeners.admin.Addr().String(),
	}
}

// ID returns the id of the node: its host and the start time of this run.
func (n *Node) ID() zinniayoke.NodeID {
	return n.id
}
