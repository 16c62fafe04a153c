package zinniayoke_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zythreshold"
	"zinniayoke/core/zytimer"
)

const pathBundle = `
[bundle]
version = 1
approvals = 1
defaultHome = d0
anonymous = true
keyWindow = 10m
[domain d0]
region = r
[domain d1]
region = r
[approver a]
publicKey = 3515fcee906e67a1451b29a21d7dff3b0c6ddc7370c14161bb0f3ce8c4ac0354
[approver b]
publicKey = f9e1b5947ee20739aff51bc569ecae4a0435f8479693967322cc67273bd9aa60
[class low]
importance = 10
[class high]
importance = 20
[service front]
[service back]
[route front/order]
service = front
method = POST
path = /order
class = high
attempts = 3
calls = 1
retryBudget = 100%
neverRepeat = true
timeout = 8s
[route front/look]
service = front
method = GET
path = /look
class = low
attempts = 3
calls = 1
retryBudget = 100%
timeout = 8s
[route back/book]
service = back
method = POST
path = /book
class = high
attempts = 3
retryBudget = 100%
neverRepeat = true
timeout = 6s
`

// mutation disables one safeguard; the checks must detect the resulting violation.
type mutation int

const (
	noMutation mutation = iota
	// disableFence reports an attempt as never seen without fencing it.
	disableFence
	// disableEpochCheck gives every grant an epoch that passes as the newest.
	disableEpochCheck
	// disableTokenSplit gives each attempt the full attempt budget.
	disableTokenSplit
	// disableReplyCheck rewrites the IDs of a swapped reply so that it passes the check.
	disableReplyCheck
)

// faults holds the probabilities of network and worker faults.
type faults struct {
	loseRequest float64
	loseReply   float64
	late        float64
	duplicate   float64
	swapReply   float64
	crashWorker float64
	// slow is the probability that an attempt is delayed before it is sent.
	slow float64
}

var (
	errNoReply     = errors.New("no reply on the connection")
	errUnreachable = errors.New("the host is unreachable")
	errCrashed     = errors.New("the worker crashed")
)

const (
	// keyWindow is twice the default timeout, the minimum that a bundle allows.
	keyWindow      = 4 * time.Second
	defaultTimeout = keyWindow / 2
	// longTimeout lets a paused key owner resume after the key window has passed
	// with a request that has not timed out.
	longTimeout = 2 * keyWindow
	maxSends    = 3

	silentDelay = 1 * time.Second
	lateDelay   = 3 * time.Second
	slowDelay   = 200 * time.Millisecond
)

// cluster is a small set of hosts that run the real node code over a simulated
// network with fake workers.
type cluster struct {
	bundle   *zybundle.Bundle
	timer    *zytimer.Service
	mutation mutation

	mu        sync.Mutex
	rng       *rand.Rand
	faults    faults
	hosts     []*host
	crashedAt map[zinniayoke.NodeID]time.Time
	serial    int
	oracle    oracle
	lastReply *zinniayoke.Reply
	active    sync.WaitGroup
}

// host is a host with its node and worker.
type host struct {
	cluster  *cluster
	id       zinniayoke.NodeID
	service  zinniayoke.Service
	locality zinniayoke.Locality
	// partition is the network partition that the host is in.
	partition int
	// partitionSince is when it entered that partition.
	partitionSince time.Time
	dead           bool
	leaving        bool
	paused         chan struct{}
	receiver       *zyingress.Receiver
	executor       *zykeyowner.Executor
	entry          *zyentry.Entry
	promiseHandler zykeyowner.PromiseHandler
}

// oracle records what actually ran, for comparison with the results that callers got.
type oracle struct {
	runs map[string]int
	// lastRun is when each key last ran.
	lastRun        map[string]time.Time
	duplicateRuns  []string
	runsByRequest  map[zinniayoke.RequestID]int
	sendsByRequest map[zinniayoke.RequestID]int
	problems       []string
	faults         int
}

// recordRun records that a worker runs a key. A key may run again only after the window
// in which it is remembered.
func (o *oracle) recordRun(key string) {
	last, again := o.lastRun[key]
	if again && time.Since(last) < keyWindow {
		o.duplicateRuns = append(o.duplicateRuns, fmt.Sprintf("key %q ran again after %s", key, time.Since(last)))
	}
	o.runs[key]++
	o.lastRun[key] = time.Now()
}

func newCluster(seed uint64, m mutation, timeout time.Duration) *cluster {
	bundle, err := zybundle.Parse("path", []byte(pathBundle))
	if err != nil {
		panic(err)
	}
	bundle.KeyWindow = keyWindow
	for _, route := range bundle.Routes {
		route.Timeout = timeout
	}
	w := &cluster{
		bundle: bundle, timer: zytimer.New(), mutation: m, rng: rand.New(rand.NewPCG(seed, 1)),
		crashedAt: make(map[zinniayoke.NodeID]time.Time),
		oracle: oracle{
			runs: make(map[string]int), lastRun: make(map[string]time.Time), runsByRequest: make(map[zinniayoke.RequestID]int), sendsByRequest: make(map[zinniayoke.RequestID]int),
		},
	}
	for i, service := range []zinniayoke.Service{"front", "front", "back", "back", "front", "back"} {
		w.add(service, zinniayoke.Domain(fmt.Sprintf("d%d", i%2)))
	}
	return w
}

func (w *cluster) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	hit := w.rng.Float64() < p
	if hit {
		w.oracle.faults++
	}
	return hit
}

func (w *cluster) add(service zinniayoke.Service, domain zinniayoke.Domain) *host {
	w.mu.Lock()
	w.serial++
	h := &host{
		cluster: w, service: service, locality: zinniayoke.Locality{Domain: domain, Region: "r"},
		id: zinniayoke.NodeID(fmt.Sprintf("%s-%s/%04d", domain, service, w.serial)),
	}
	w.mu.Unlock()
	h.build()
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return h
}

type nopMeter struct{}

func (nopMeter) ObserveCall(zinniayoke.CallSample)       {}
func (nopMeter) ObserveAttempt(zinniayoke.AttemptSample) {}
func (nopMeter) CountSent(zinniayoke.Service)            {}
func (nopMeter) CountMismatch()                          {}

func (h *host) build() {
	w := h.cluster
	bundle := func() *zybundle.Bundle { return w.bundle }
	grants := zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: h.id, MaxKeys: 10000, Window: w.bundle.KeyWindow})
	keyOwner := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: h.id, MaxKeys: 10000, Window: w.bundle.KeyWindow})
	quarantine := zyquarantine.New(zyquarantine.Config{MaxRecords: 100})
	parents := &zyparent.Table{}
	thresholds := zythreshold.New()
	h.receiver = zyingress.New(zyingress.Config{
		Node: h.id, Bundle: bundle, Grants: grants, Quarantine: quarantine, Parents: parents, Timer: w.timer, Meter: nopMeter{},
		Fence: zyfence.New(zyfence.Config{MaxAttempts: 10000, MaxResponseBytes: zinniayoke.MiB, Retention: time.Minute}),
	})
	h.announce()
	sender := zyegress.New(zyegress.Config{
		Peers: h, Resolver: h, Thresholds: thresholds, RetryBudgets: zyattempt.NewCallerRetryBudgets(), Quarantine: quarantine, Meter: nopMeter{}, Bundle: bundle,
		Picker: zybalancer.New(zybalancer.Config{Locality: h.locality, Resolver: h, Random: rand.New(rand.NewPCG(uint64(len(w.hosts)), 2))}),
	})
	h.promiseHandler = zykeyowner.PromiseHandler{Grants: grants, OwnedKeys: keyOwner}
	h.executor = zykeyowner.New(zykeyowner.Config{
		Node: h.id, Domain: h.locality.Domain, OwnedKeys: keyOwner, Sender: sender, Bundle: bundle, Peers: keyStates{h}, Membership: h,
	})
	h.entry = zyentry.New(zyentry.Config{
		Bundle: bundle, Parents: parents, Thresholds: thresholds, Sender: sender, KeyOwners: h.newRouter(), Quarantine: quarantine,
		Shares: zyrank.NewShares(), Meter: nopMeter{},
	})
}

func (h *host) announce() {
	_, err := h.receiver.HandleAnnouncement(zyingress.Announcement{
		Service: h.service, Address: "10.0.0.1:80", Slots: 4, Connections: 10, State: zinniayoke.WorkerServing, Incarnation: 1,
	}, func(zyingress.Announcement) zinniayoke.Worker { return worker{h} })
	if err != nil {
		panic(err)
	}
}

// announceAll simulates the announcements that workers repeat every second, and
// runs the periodic upkeep of nodes that are not paused.
func (w *cluster) announceAll(time.Time) {
	for _, h := range w.hostList() {
		h.announce()
		w.mu.Lock()
		paused := h.paused != nil
		w.mu.Unlock()
		if !paused {
			h.executor.Tick(time.Now())
		}
	}
}

func (w *cluster) hostList() []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

func (w *cluster) find(id zinniayoke.NodeID) *host {
	for _, h := range w.hostList() {
		if h.id == id {
			return h
		}
	}
	return nil
}

// seesAlive reports whether h considers other alive. The fake membership
// detects crashes and partitions immediately and never forgets a lost node.
func (h *host) seesAlive(other *host) bool {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return !other.dead && other.partition == h.partition
}

// Upstreams implements zinniayoke.Resolver.
func (h *host) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	var list []zinniayoke.Upstream
	for _, other := range h.cluster.hostList() {
		if other.service == s && h.seesAlive(other) && !other.isLeaving() {
			list = append(list, other.upstream())
		}
	}
	return list
}

func (h *host) isLeaving() bool {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.leaving
}

func (h *host) upstream() zinniayoke.Upstream {
	return zinniayoke.Upstream{Node: h.id, Locality: h.locality, Service: h.service, Slots: 4, State: zinniayoke.WorkerServing}
}

// KeyOwners implements zykeyowner.Membership.
func (h *host) KeyOwners(d zinniayoke.Domain) []zinniayoke.NodeID {
	var list []zinniayoke.NodeID
	for _, other := range h.cluster.hostList() {
		if other.locality.Domain == d && h.seesAlive(other) && !other.isLeaving() {
			list = append(list, other.id)
		}
	}
	return list
}

// HasQuorum implements zykeyowner.Membership.
func (h *host) HasQuorum(d zinniayoke.Domain) bool {
	reachable, total := 0, 0
	for _, other := range h.cluster.hostList() {
		if other.locality.Domain != d {
			continue
		}
		total++
		if h.seesAlive(other) {
			reachable++
		}
	}
	return 2*reachable > total
}

// RecoveryNodes implements zykeyowner.Membership.
func (h *host) RecoveryNodes() ([]zinniayoke.NodeID, map[zinniayoke.NodeID]time.Time) {
	var reachable []zinniayoke.NodeID
	lost := make(map[zinniayoke.NodeID]time.Time)
	for _, other := range h.cluster.hostList() {
		if h.seesAlive(other) {
			reachable = append(reachable, other.id)
		} else {
			lost[other.id] = h.lostSince(other)
		}
	}
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	for id, at := range h.cluster.crashedAt {
		lost[id] = at
	}
	return reachable, lost
}

// lostSince returns when two hosts were separated by a partition.
func (h *host) lostSince(other *host) time.Time {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.partitionSince.After(other.partitionSince) {
		return h.partitionSince
	}
	return other.partitionSince
}

// setPartition moves a host to a partition. The caller holds the cluster's lock.
func (h *host) setPartition(partition int) {
	if h.partition != partition {
		h.partition = partition
		h.partitionSince = time.Now()
	}
}

// waitReachable waits until neither host is paused and returns an error if a message
// cannot be delivered.
func (h *host) waitReachable(ctx context.Context, to *host) error {
	if to == nil {
		return errUnreachable
	}
	for _, end := range []*host{h, to} {
		h.cluster.mu.Lock()
		paused := end.paused
		h.cluster.mu.Unlock()
		if paused == nil {
			continue
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if to.dead || h.dead || to.partition != h.partition {
		return errUnreachable
	}
	return nil
}

func sleepOrDone(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Run implements zinniayoke.PeerClient over a network with faults.
func (h *host) Run(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	w := h.cluster
	w.mu.Lock()
	w.oracle.sendsByRequest[a.Request]++
	f := w.faults
	w.mu.Unlock()
	target := w.find(to.Node)
	if w.chance(f.slow) {
		time.Sleep(slowDelay)
	}
	if err := h.waitReachable(ctx, target); err != nil {
		return nil, err
	}
	sent := *a
	if w.mutation == disableEpochCheck {
		sent.Grant.Epoch.Major = 1 << 40
	}
	if w.mutation == disableTokenSplit {
		sent.Tokens = maxSends
	}
	if w.chance(f.loseRequest) {
		sleepOrDone(ctx, silentDelay)
		return nil, errNoReply
	}
	if target != h && w.chance(f.late) {
		w.deliverLate(target, &sent)
		sleepOrDone(ctx, silentDelay)
		return nil, errNoReply
	}
	if target != h && w.chance(f.duplicate) {
		w.deliverLate(target, &sent)
	}
	return h.deliver(ctx, target, &sent, f)
}

// deliverLate delivers an attempt after its sender has given up on it.
func (w *cluster) deliverLate(target *host, a *zinniayoke.Attempt) {
	w.active.Add(1)
	go func() {
		defer w.active.Done()
		time.Sleep(lateDelay)
		if w.alive(target) {
			target.receiver.Run(context.Background(), a)
		}
	}()
}

func (w *cluster) alive(h *host) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !h.dead
}

func (h *host) deliver(ctx context.Context, target *host, a *zinniayoke.Attempt, f faults) (*zinniayoke.Reply, error) {
	w := h.cluster
	replies := make(chan *zinniayoke.Reply, 1)
	w.active.Add(1)
	go func() {
		defer w.active.Done()
		replies <- target.receiver.Run(context.Background(), a)
	}()
	select {
	case reply := <-replies:
		if err := h.waitReachable(ctx, target); err != nil || w.chance(f.loseReply) {
			sleepOrDone(ctx, silentDelay)
			return nil, errNoReply
		}
		return w.maybeSwapReply(reply, a, f), nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// maybeSwapReply replaces a reply by that of another attempt with probability
// f.swapReply.
func (w *cluster) maybeSwapReply(reply *zinniayoke.Reply, a *zinniayoke.Attempt, f faults) *zinniayoke.Reply {
	swap := w.chance(f.swapReply)
	w.mu.Lock()
	defer w.mu.Unlock()
	other := w.lastReply
	w.lastReply = reply
	if !swap || other == nil {
		return reply
	}
	swapped := *other
	if w.mutation == disableReplyCheck {
		swapped.Attempt, swapped.Request = a.ID, a.Request
		if swapped.Response != nil {
			resp := *swapped.Response
			resp.Attempt, resp.Request = a.ID, a.Request
			swapped.Response = &resp
		}
	}
	return &swapped
}

// Query implements zinniayoke.PeerClient.
func (h *host) Query(ctx context.Context, to zinniayoke.Upstream, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return keyStates{h}.Query(ctx, to.Node, id)
}

// Withdraw implements zinniayoke.PeerClient.
func (h *host) Withdraw(zinniayoke.Upstream, zinniayoke.AttemptID) {}

// Cancel implements zinniayoke.PeerClient.
func (h *host) Cancel(to zinniayoke.Upstream, id zinniayoke.AttemptID) {
	if target := h.cluster.find(to.Node); target != nil && h.seesAlive(target) {
		target.receiver.Cancel(id)
	}
}

// keyStates implements zykeyowner.KeyStateClient by calling the other hosts directly.
type keyStates struct{ h *host }

func (e keyStates) PromiseEpoch(ctx context.Context, node zinniayoke.NodeID, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) (*zykeyowner.PromiseReply, error) {
	target := e.h.cluster.find(node)
	if err := e.h.waitReachable(ctx, target); err != nil {
		return nil, err
	}
	return target.promiseHandler.PromiseEpoch(slots, epoch), nil
}

func (e keyStates) ReplicateKey(ctx context.Context, node zinniayoke.NodeID, key zyidempotency.KeyRecord) error {
	target := e.h.cluster.find(node)
	if err := e.h.waitReachable(ctx, target); err != nil {
		return err
	}
	target.promiseHandler.Grants.Import(time.Now(), []zyidempotency.KeyRecord{key}, nil)
	return e.h.waitReachable(ctx, target)
}

func (e keyStates) Query(ctx context.Context, node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	target := e.h.cluster.find(node)
	if err := e.h.waitReachable(ctx, target); err != nil {
		return nil, err
	}
	if e.h.cluster.mutation == disableFence {
		reply, err := target.receiver.Query(node, zinniayoke.AttemptID("probe "+string(id)))
		return reply, err
	}
	return target.receiver.Query(node, id)
}

// newRouter returns a Router that sends requests to their key owners over the
// simulated network.
func (h *host) newRouter() *zykeyowner.Router {
	w := h.cluster
	return zykeyowner.NewRouter(zykeyowner.RouterConfig{
		KeyOwners:      h.KeyOwners,
		AttemptsPerRun: func(r zinniayoke.RouteName) zinniayoke.Tokens { return 1 + w.bundle.Routes[r].ChildCalls },
		RunAt: func(ctx context.Context, node zinniayoke.NodeID, c *zinniayoke.Call) (*zinniayoke.Reply, error) {
			target := w.find(node)
			if err := h.waitReachable(ctx, target); err != nil {
				return nil, err
			}
			call := *c
			reply := target.executor.Run(ctx, &call, w.bundle.Routes[c.Route])
			return reply, h.waitReachable(ctx, target)
		},
		ConfirmNotRunAt: func(ctx context.Context, node zinniayoke.NodeID, key zinniayoke.Key) (bool, error) {
			target := w.find(node)
			if err := h.waitReachable(ctx, target); err != nil {
				return false, err
			}
			return target.executor.ConfirmNotRun(ctx, key), nil
		},
	})
}

// worker implements zinniayoke.Worker.
type worker struct{ h *host }

func (k worker) Probe(context.Context) error { return nil }

func (k worker) Run(_ context.Context, call *zinniayoke.WorkerCall) (*zinniayoke.Response, bool, error) {
	a, w := call.Attempt, k.h.cluster
	w.mu.Lock()
	if a.Key != "" {
		w.oracle.recordRun(string(a.Key))
	}
	w.oracle.runsByRequest[a.Request]++
	f := w.faults
	w.mu.Unlock()
	if w.chance(f.crashWorker) {
		return nil, true, errCrashed
	}
	time.Sleep(20 * time.Millisecond)
	if a.Service == "front" {
		result := k.h.entry.Handle(context.Background(), &zyentry.Inbound{
			Context: call.Context, Service: "back", HTTP: request("POST", "/book"), Body: a.Body,
		})
		if result.Reply.Outcome != zinniayoke.OutcomeDone {
			return &zinniayoke.Response{Status: http.StatusBadGateway, Body: a.Body}, true, nil
		}
	}
	return &zinniayoke.Response{Status: http.StatusOK, Body: a.Body}, true, nil
}

func request(method, path string) *http.Request {
	return &http.Request{Method: method, URL: &url.URL{Path: path}, Host: "x"}
}
