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
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zysplit"
	"zinniayoke/core/zythreshold"
	"zinniayoke/io/zymetric"
)

func (n *Node) makeView() {
	n.view = newView(n.id, n.book.Rules)
	n.view.journal = n.journal
	seed := uint64(time.Now().UnixNano())
	n.suspects = zyquarantine.New(zyquarantine.Config{MaxRecords: mostSuspects, CrashThreshold: n.crashes()})
	n.view.table = zymember.NewTable(time.Now(), zymember.Config{
		Self:          n.self(),
		ProbePeriod:   n.cfg.ProbePeriod,
		DeadRetention: rememberDead,
		Random:        rand.New(rand.NewPCG(seed, uint64(len(n.id)))),
		OnSuspectRequest: func(now time.Time, c zymember.Change) {
			news := zyquarantine.CrashRecord{Fingerprint: zyquarantine.Fingerprint(c.Fingerprint), Crashes: c.Crashes, CrashesAlone: c.CrashesAlone}
			if n.suspects.Merge(now, news) {
				n.view.table.BroadcastSuspectRequest(c)
			}
		},
	})
	n.view.refresh()
}

// self is what the node says about itself.
func (n *Node) self() zinniayoke.Upstream {
	u := zinniayoke.Upstream{Node: n.id, Locality: n.cfg.Settings.Locality, PeerAddress: n.peer, Leaving: n.leaving.Load()}
	if n.receiver == nil {
		return u
	}
	told, state := n.receiver.Worker()
	u.Service, u.Slots, u.Connections = told.Service, told.Slots, told.Connections
	u.State, u.Incarnation = state, told.Incarnation
	return u
}

func (n *Node) makeRequestPath() {
	n.registry = prometheus.NewRegistry()
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.meter = zymetric.New(zymetric.Config{Registry: n.registry, Rules: n.book.Rules})
	n.grants = zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: n.id, MaxKeys: mostKeys, Window: firstKeyWindow})
	n.keeper = zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: n.id, MaxKeys: mostKeys, Window: firstKeyWindow})
	n.fence = zyfence.New(n.fenceConfig())
	parents := &zyparent.Table{}
	door := zythreshold.New()
	var (
		graph    *zygraph.Graph
		callers  *zygraph.CallerClassifier
		pressure *zybackpressure.Shedder
		learn    func(now time.Time, route zinniayoke.RouteName, r *zinniayoke.Reply)
	)
	if n.decided() {
		// Workers of the platform return no handles, so the graph has to be learned.
		graph, callers, pressure = zygraph.New(), zygraph.NewCallerClassifier(n.view.Services), zybackpressure.NewShedder()
		learn = func(now time.Time, route zinniayoke.RouteName, r *zinniayoke.Reply) {
			graph.ObserveReply(now, route, r.SoleParent, r.Costs)
			pressure.UpdateCosts(now, route, r.Costs)
		}
	}
	n.links = &zybalancer.LinkBudget{}
	n.picker = zybalancer.New(zybalancer.Config{
		Locality: n.cfg.Settings.Locality, Resolver: n.view, Links: n.links, CrossRegionPenalty: n.beyond(), Random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	})
	n.receiver = zyingress.New(zyingress.Config{
		Node: n.id, Rules: n.book.Rules, Fence: n.fence, Grants: n.grants, Suspects: n.suspects,
		Parents: parents, Timer: n.timer, Meter: n.meter, OnSuspects: n.spreadSuspects,
		AnnouncementTTL: n.cfg.Settings.Worker.Heartbeat * missedHeartbeats, FixedLimit: n.decided(),
		Recorder: n.journal, Graph: graph, Callers: callers,
	})
	n.retries = n.repeats()
	sender := zyegress.New(zyegress.Config{
		Peers: &localPeers{self: n.id, receiver: n.receiver, remote: n.client}, Picker: n.picker, Resolver: n.view, Thresholds: door,
		RetryBudgets: zyattempt.NewCallerRetryBudgets(), Suspects: n.suspects, Meter: n.meter, Rules: n.book.Rules,
		Locality: n.cfg.Settings.Locality, LinkBudget: n.links, ServiceRetryBudget: n.retries, OnReply: learn, Recorder: n.journal,
	})
	n.keepers = &keepers{
		node: n.id, view: n.view, client: n.client, rules: n.book.Rules, ask: n.receiver.Query,
		memory: zykeyowner.RecallHandler{Grants: n.grants, OwnedKeys: n.keeper},
	}
	n.home = zykeyowner.New(zykeyowner.Config{
		Node: n.id, Domain: n.cfg.Settings.Locality.Domain, OwnedKeys: n.keeper, Sender: sender,
		Rules: n.book.Rules, Peers: n.keepers, OldHome: n.keepers, Membership: n.view,
	})
	n.keepers.home = n.home
	n.entry = zyentry.New(zyentry.Config{
		Rules: n.book.Rules, Parents: parents, Thresholds: door, Sender: sender, KeyOwners: n.keepers.booker(),
		Suspects: n.suspects, Shares: zyrank.NewShares(), Meter: n.meter,
		Recorder: n.journal, Graph: graph, Pressure: pressure,
		Splits: zysplit.New(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), splitSeed))),
	})
}

const (
	// missedHeartbeats is how many announcements in a row may be late. They come
	// from the same host, and a worker that has ended is noticed by its
	// connections.
	missedHeartbeats = 8
	// crashesInRow is after how many crashes a request counts as their cause where
	// workers cannot be spared to run it alone.
	crashesInRow = 3
	splitSeed    = 2
	// A sender gives up after three questions of a second each; answers that are
	// asked for are those of the last moments.
	keepUnkeyed        = 10 * time.Second
	unkeyedAnswerBytes = 2 * zinniayoke.MiB
)

// fenceConfig keeps less where there are no keys, whose keepers may ask late: a
// sender asks within askTimeout what became of an attempt.
func (n *Node) fenceConfig() zyfence.Config {
	if n.decided() {
		return zyfence.Config{MaxAttempts: mostAttempts, MaxResponseBytes: unkeyedAnswerBytes, Retention: keepUnkeyed}
	}
	return zyfence.Config{MaxAttempts: mostAttempts, MaxResponseBytes: mostAnswerBytes, Retention: keepAttempts}
}

// farDistance keeps calls in their region until its workers have queues about as
// long as their limit while others have room. At 2.0 one region refused two fifths
// of its lookups beside another that had room (tbf-mesh scale-2).
const farDistance = 0.8

// beyond returns how much more loaded the own region may be than another.
func (n *Node) beyond() float64 {
	if n.decided() {
		return farDistance
	}
	return 0
}

// crashes returns how many crashes in a row quarantine a request, 0 to let
// suspects run alone instead.
func (n *Node) crashes() int {
	if n.decided() {
		return crashesInRow
	}
	return 0
}

// repeats returns the budget that all nodes share, nil where the settings set
// none.
func (n *Node) repeats() *zyattempt.ServiceRetryBudgets {
	r := n.cfg.Settings.ServiceRetryBudget
	if r.Window == 0 {
		return nil
	}
	return zyattempt.NewServiceRetryBudgets(zyattempt.ServiceRetryConfig{
		Ratio: r.Ratio, Window: r.Window, Slack: r.Slack,
		NodeCount: func() int { return len(n.view.Others()) + 1 },
	})
}

// announce takes in what the host's worker says.
func (n *Node) announce(a zyingress.Announcement) error {
	changed, err := n.receiver.HandleAnnouncement(a, n.cfg.Adapters.NewWorker)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	if changed {
		n.updateSelf()
	}
	return nil
}

// updateSelf tells the others what has changed here.
func (n *Node) updateSelf() {
	u := n.self()
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

func (n *Node) spreadSuspects(cases []zyquarantine.CrashRecord) {
	n.log.With("requests", len(cases)).Warn("The worker has crashed. The requests that it ran are suspected.")
	n.view.mu.Lock()
	for _, c := range cases {
		n.view.table.BroadcastSuspectRequest(zymember.Change{Fingerprint: uint64(c.Fingerprint), Crashes: c.Crashes, CrashesAlone: c.CrashesAlone})
	}
	n.view.mu.Unlock()
	n.gossip.Gossip()
}

// onBundle puts the limits of a new bundle into force here.
func (n *Node) onBundle() {
	rules := n.book.Rules()
	n.grants.SetWindow(rules.KeyWindow)
	n.keeper.SetWindow(rules.KeyWindow)
	n.view.mu.Lock()
	n.view.table.SetVersion(rules.Version)
	n.view.mu.Unlock()
	n.log.With("version", rules.Version).Info("A bundle is in force.")
}
