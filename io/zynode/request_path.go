package zynode

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zygraph"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zynotice"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zysplit"
	"zinniayoke/core/zythreshold"
	"zinniayoke/core/zywhere"
	"zinniayoke/io/zymetric"
)

// initMembership creates the member table and the tracker of requests that are
// suspected of crashing workers.
func (n *Node) initMembership() {
	n.view = newMemberView(n.id, n.cfg.Settings.Locality.Domain, n.bundle.Current)
	n.view.recorder = n.recorder
	seed := uint64(time.Now().UnixNano())
	n.quarantine = zyquarantine.New(zyquarantine.Config{MaxRecords: maxCrashRecords, CrashThreshold: n.crashThreshold()})
	n.view.table = zymember.NewTable(time.Now(), zymember.Config{
		Self:          n.localUpstream(),
		ProbePeriod:   n.cfg.ProbePeriod,
		DeadRetention: deadRetention,
		Random:        rand.New(rand.NewPCG(seed, uint64(len(n.id)))),
		OnDeparture:   n.onDeparture,
		OnSuspectRequest: func(now time.Time, c zymember.Change) {
			record := zyquarantine.CrashRecord{Fingerprint: zyquarantine.Fingerprint(c.Fingerprint), Crashes: c.Crashes, CrashesAlone: c.CrashesAlone}
			if n.quarantine.Merge(now, record) {
				n.view.table.BroadcastSuspectRequest(c)
			}
		},
	})
	n.view.refresh()
}

// localUpstream returns the entry of this node in the member list, with what its
// worker has announced.
func (n *Node) localUpstream() zinniayoke.Upstream {
	u := zinniayoke.Upstream{Node: n.id, Locality: n.cfg.Settings.Locality, PeerAddress: n.peerAddress, Leaving: n.leaving.Load()}
	if n.receiver == nil {
		return u
	}
	announced, state := n.receiver.Worker()
	u.Service, u.Slots, u.Connections = announced.Service, announced.Slots, announced.Connections
	u.State, u.Incarnation = state, announced.Incarnation
	return u
}

// initRequestPath creates the components that a call passes through, and connects
// them.
func (n *Node) initRequestPath() {
	n.registry = prometheus.NewRegistry()
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.meter = zymetric.New(zymetric.Config{Registry: n.registry, Bundle: n.bundle.Current})
	n.grants = zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: n.id, MaxKeys: maxKeys, Window: initialKeyWindow})
	n.keyOwner = zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: n.id, MaxKeys: maxKeys, Window: initialKeyWindow})
	n.fence = zyfence.New(n.fenceConfig())
	parents := &zyparent.Table{}
	thresholds := zythreshold.New()
	var (
		graph   *zygraph.Graph
		callers *zygraph.CallerClassifier
		shedder *zybackpressure.Shedder
		onReply func(now time.Time, route zinniayoke.RouteName, r *zinniayoke.Reply)
	)
	if n.hasBundleSource() {
		// Workers of the platform do not pass on which call caused a child call, so the
		// call graph is inferred.
		graph, callers, shedder = zygraph.New(), zygraph.NewCallerClassifier(n.view.ServiceCount), zybackpressure.NewShedder()
		onReply = func(now time.Time, route zinniayoke.RouteName, r *zinniayoke.Reply) {
			graph.ObserveReply(now, route, r)
			shedder.UpdateCosts(now, route, r.Costs)
		}
	}
	n.linkBudget = &zybalancer.LinkBudget{}
	n.picker = zybalancer.New(zybalancer.Config{
		Locality: n.cfg.Settings.Locality, Resolver: n.view, Links: n.linkBudget, CrossRegionPenalty: n.crossRegionPenalty(), Random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	})
	n.retryBudgets = n.newRetryBudgets()
	var identify func(zinniayoke.Service) (zinniayoke.Instance, error)
	if n.cfg.Adapters.FindWorker != nil {
		identify = n.identifyWorker
	}
	n.receiver = zyingress.New(zyingress.Config{
		Node: n.id, Bundle: n.bundle.Current, Fence: n.fence, Grants: n.grants, Quarantine: n.quarantine,
		Parents: parents, Timer: n.timer, Meter: n.meter, OnCrash: n.broadcastCrashRecords, OnLeaving: n.updateSelf,
		Service: n.cfg.Settings.Worker.Service, WorkerAddress: n.cfg.Settings.Worker.Address, Identify: identify, AnnouncementTTL: n.cfg.Settings.Worker.Heartbeat * maxMissedHeartbeats, FixedLimit: n.hasBundleSource(), AwaitRecall: !n.cfg.Settings.Bootstrap,
		Recorder: n.recorder, Graph: graph, Callers: callers, RetryBudgets: n.retryBudgets, LoadMeter: n.meter,
	})
	n.sender = zyegress.New(zyegress.Config{
		Peers: &loopbackClient{self: n.id, receiver: n.receiver, remote: n.client}, Picker: n.picker, Resolver: n.view, Thresholds: thresholds,
		RetryBudgets: zyattempt.NewCallerRetryBudgets(), Quarantine: n.quarantine, Meter: n.meter, Bundle: n.bundle.Current,
		Locality: n.cfg.Settings.Locality, LinkBudget: n.linkBudget, WorkersLimitRetries: n.retryBudgets != nil, OnReply: onReply, LoadMeter: n.meter, Notices: zynotice.NewMemory(), Recorder: n.recorder,
	})
	n.keyOwners = &keyOwnerClient{
		self: n.id, view: n.view, client: n.client, bundle: n.bundle.Current, queryLocal: n.receiver.Query,
		promiseHandler: zykeyowner.PromiseHandler{Grants: n.grants, OwnedKeys: n.keyOwner},
	}
	n.keyExecutor = zykeyowner.New(zykeyowner.Config{
		Node: n.id, Domain: n.cfg.Settings.Locality.Domain, OwnedKeys: n.keyOwner, Sender: n.sender,
		Bundle: n.bundle.Current, Peers: n.keyOwners, OldHome: n.keyOwners, Membership: n.view,
	})
	n.keyOwners.executor = n.keyExecutor
	n.initCustomerLimits()
	n.where = zywhere.New(zywhere.Config{
		Node: n.id, Bundle: n.bundle.Current, Picker: n.picker, Limits: n.customerLimits.limiter.State, Thresholds: thresholds, Shedder: shedder,
	})
	n.entry = zyentry.New(zyentry.Config{
		Bundle: n.bundle.Current, Parents: parents, Thresholds: thresholds, Sender: n.sender, KeyOwners: n.keyOwners.router(),
		Quarantine: n.quarantine, Shares: zyrank.NewShares(), Meter: n.meter,
		Recorder: n.recorder, Graph: graph, Shedder: shedder, CustomerLimits: n.customerLimits.limiter,
		PromisesNotRun: n.cfg.Adapters.PromisesNotRun,
		Splits:         zysplit.New(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), splitSeed))),
	})
}

const (
	// maxMissedHeartbeats is how many heartbeat periods may pass without an
	// announcement of the worker. Announcements come from the same host, and the end
	// of a worker is noticed earlier by its connections.
	maxMissedHeartbeats = 8
	// platformCrashThreshold is after how many crashes in a row a request is
	// quarantined if no worker can be reserved to run it exclusively.
	platformCrashThreshold = 3
	splitSeed              = 2
	// Without keys, a sender stops after three queries of one second each, so only
	// recent responses are queried.
	unkeyedAttemptRetention = 10 * time.Second
	maxUnkeyedResponseBytes = 2 * zinniayoke.MiB
)

// fenceConfig limits the table of attempts. Without keys it keeps less,
// because no key owner queries old responses.
func (n *Node) fenceConfig() zyfence.Config {
	if n.hasBundleSource() {
		return zyfence.Config{MaxAttempts: maxAttempts, MaxResponseBytes: maxUnkeyedResponseBytes, Retention: unkeyedAttemptRetention}
	}
	return zyfence.Config{MaxAttempts: maxAttempts, MaxResponseBytes: maxResponseBytes, Retention: attemptRetention}
}

// platformCrossRegionPenalty keeps calls in their region until the workers there have
// queues about as long as their concurrency limit while others have free capacity. At
// 2.0 one region refused two fifths of its lookups beside another that had free
// capacity (tbf-mesh scale-2).
const platformCrossRegionPenalty = 0.8

// crossRegionPenalty returns how much more loaded the local region may be than another
// before calls leave it; 0 selects the default of zybalancer.
func (n *Node) crossRegionPenalty() float64 {
	if n.hasBundleSource() {
		return platformCrossRegionPenalty
	}
	return 0
}

// crashThreshold returns after how many crashes in a row a request is quarantined; 0
// lets a worker run suspected requests exclusively instead.
func (n *Node) crashThreshold() int {
	if n.hasBundleSource() {
		return platformCrashThreshold
	}
	return 0
}

// newRetryBudgets returns the service retry budgets, nil if the settings define none.
func (n *Node) newRetryBudgets() *zyattempt.ServiceRetryBudgets {
	r := n.cfg.Settings.ServiceRetryBudget
	if r.Window == 0 {
		return nil
	}
	return zyattempt.NewServiceRetryBudgets(zyattempt.ServiceRetryConfig{
		Ratio: r.Ratio, Window: r.Window, Slack: r.Slack, Bootstrap: n.cfg.Settings.Bootstrap, Recorder: n.recorder,
	})
}

// updateRetryHosts sets the number of hosts among which the slack of the retry budget is divided,
// those of the local service. A node that has not joined does not know them.
func (n *Node) updateRetryHosts(now time.Time) {
	if n.retryBudgets != nil && n.joined.Load() {
		n.retryBudgets.SetHosts(now, n.view.ServiceHosts(n.receiver.Service()))
	}
}

// handleAnnouncement applies an announcement of the worker of this host.
func (n *Node) handleAnnouncement(a zyingress.Announcement) error {
	changed, err := n.receiver.HandleAnnouncement(a, n.cfg.Adapters.NewWorker)
	if err != nil {
		n.log.With("error", err).With("instance", a.Instance).Info("An announcement was refused.")
		return fmt.Errorf("worker: %w", err)
	}
	if changed {
		n.updateSelf()
	}
	return n.recordDeparture(a)
}

// updateSelf updates the entry of this node in the member list and notifies the
// other nodes if it has changed.
func (n *Node) updateSelf() {
	u := n.localUpstream()
	n.view.mu.Lock()
	before := n.view.table.Revision()
	n.view.table.UpdateSelf(time.Now(), u)
	changed := n.view.table.Revision() != before
	n.view.mu.Unlock()
	if !changed {
		return
	}
	n.view.refresh()
	if n.gossip != nil {
		n.gossip.Gossip()
	}
}

// broadcastCrashRecords sends the other nodes the requests that were running when the
// worker crashed.
func (n *Node) broadcastCrashRecords(records []zyquarantine.CrashRecord) {
	n.log.With("requests", len(records)).Warn("The worker has crashed. The requests that were running are suspected as the cause.")
	n.view.mu.Lock()
	for _, c := range records {
		n.view.table.BroadcastSuspectRequest(zymember.Change{Fingerprint: uint64(c.Fingerprint), Crashes: c.Crashes, CrashesAlone: c.CrashesAlone})
	}
	n.view.mu.Unlock()
	n.gossip.Gossip()
}

// onBundleChange applies the limits of a new bundle on this node.
func (n *Node) onBundleChange() {
	bundle := n.bundle.Current()
	n.grants.SetWindow(bundle.KeyWindow)
	n.keyOwner.SetWindow(bundle.KeyWindow)
	n.view.mu.Lock()
	n.view.table.SetVersion(bundle.Version)
	n.view.mu.Unlock()
	n.log.With("version", bundle.Version).Info("A bundle is in force.")
}
