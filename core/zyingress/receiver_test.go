package zyingress_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zytimer"
)

var errConnReset = errors.New("connection reset")

// fakeWorker is a worker that takes serviceTime for each call and crashes on the
// body "killer".
type fakeWorker struct {
	mu            sync.Mutex
	down          bool
	runs          int
	maxConcurrent int
	concurrent    int
	serviceTime   time.Duration
	crash         chan struct{}
	// notice is what the worker says in its responses, times is when it got each call.
	notice zinniayoke.WorkerNotice
	// status is the status of its responses; 0 means 200.
	status int
	times  []time.Time
}

func (w *fakeWorker) Run(ctx context.Context, call *zinniayoke.WorkerCall) (*zinniayoke.Response, bool, error) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return nil, false, errConnReset
	}
	w.runs++
	w.times = append(w.times, time.Now())
	w.concurrent++
	w.maxConcurrent = max(w.maxConcurrent, w.concurrent)
	crash := w.crash
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.concurrent--
		w.mu.Unlock()
	}()
	if string(call.Attempt.Body) == "killer" {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.down = true
		close(w.crash)
		w.mu.Unlock()
		return nil, true, errConnReset
	}
	select {
	case <-time.After(w.serviceTime):
		w.mu.Lock()
		notice, status := w.notice, cmp.Or(w.status, 200)
		w.mu.Unlock()
		call.OnNotice(notice, nil)
		return &zinniayoke.Response{Status: status, Body: call.Attempt.Body}, true, nil
	case <-crash:
		return nil, true, errConnReset
	case <-ctx.Done():
		return nil, true, ctx.Err()
	}
}

func (w *fakeWorker) Probe(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return errConnReset
	}
	return nil
}

type nopMeter struct{}

func (nopMeter) ObserveCall(zinniayoke.CallSample)       {}
func (nopMeter) ObserveAttempt(zinniayoke.AttemptSample) {}
func (nopMeter) CountSent(zinniayoke.Service)            {}
func (nopMeter) CountMismatch()                          {}

// harness is a Receiver with a fake worker.
type harness struct {
	*zyingress.Receiver
	worker       *fakeWorker
	quarantine   *zyquarantine.Tracker
	timer        *zytimer.Service
	grants       *zyidempotency.GrantTable
	crashRecords []zyquarantine.CrashRecord
	incarnation  zinniayoke.Incarnation
	nextID       int
}

func newHarness(slots int, options ...func(*zyingress.Config)) *harness {
	h := newHarnessWithoutWorker(options...)
	h.restartWorker(slots)
	return h
}

// newHarnessWithoutWorker returns a harness whose worker has not announced itself yet.
func newHarnessWithoutWorker(options ...func(*zyingress.Config)) *harness {
	h := &harness{
		quarantine: zyquarantine.New(zyquarantine.Config{MaxRecords: 100}), timer: zytimer.New(),
		grants: zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: "n", MaxKeys: 100, Window: time.Minute}),
	}
	bundle := &zybundle.Bundle{QuarantineFor: time.Minute}
	cfg := zyingress.Config{
		Node: "n", Bundle: func() *zybundle.Bundle { return bundle }, Grants: h.grants, Quarantine: h.quarantine,
		Fence: zyfence.New(zyfence.Config{MaxAttempts: 100_000, MaxResponseBytes: 1000, Retention: time.Minute}), Parents: &zyparent.Table{},
		Timer: h.timer, Meter: nopMeter{}, OnCrash: func(c []zyquarantine.CrashRecord) { h.crashRecords = append(h.crashRecords, c...) },
	}
	for _, option := range options {
		option(&cfg)
	}
	h.Receiver = zyingress.New(cfg)
	h.worker = &fakeWorker{}
	return h
}

// restartWorker replaces the worker and announces a new incarnation.
func (h *harness) restartWorker(slots int) {
	h.incarnation++
	h.worker = &fakeWorker{serviceTime: 100 * time.Millisecond, crash: make(chan struct{})}
	h.announce(zinniayoke.WorkerServing, slots)
}

func (h *harness) announce(state zinniayoke.WorkerState, slots int) {
	_, err := h.HandleAnnouncement(zyingress.Announcement{
		Service: "s", Address: "10.0.0.1:80", Slots: slots, Connections: 100, State: state, Incarnation: h.incarnation,
	}, func(zyingress.Announcement) zinniayoke.Worker { return h.worker })
	if err != nil {
		panic(err)
	}
}

func (h *harness) stop() {
	h.Close()
	h.timer.Stop()
}

func (h *harness) attempt(body string) *zinniayoke.Attempt {
	h.nextID++
	return &zinniayoke.Attempt{
		ID: zinniayoke.AttemptID(fmt.Sprint(h.nextID)), Request: "r", Service: "s", Route: "s/r", Method: "GET",
		Body: []byte(body), Timeout: time.Second, Tokens: 2,
	}
}

func (h *harness) run(body string) *zinniayoke.Reply {
	return h.Run(context.Background(), h.attempt(body))
}

// runAll runs attempts with the given bodies concurrently and returns their replies
// in order.
func (h *harness) runAll(bodies ...string) []*zinniayoke.Reply {
	replies := make([]*zinniayoke.Reply, len(bodies))
	var active sync.WaitGroup
	for i, body := range bodies {
		a := h.attempt(body)
		active.Go(func() { replies[i] = h.Run(context.Background(), a) })
	}
	active.Wait()
	return replies
}

func checkReply(t *testing.T, what string, got *zinniayoke.Reply, outcome zinniayoke.Outcome, reason zinniayoke.Reason) {
	t.Helper()
	if got.Outcome != outcome || got.Reason != reason {
		t.Errorf("%s: outcome is %s with reason %s (%s), want %s with reason %s", what, got.Outcome, got.Reason, got.Detail, outcome, reason)
	}
}

// TestCrashingRequestIsQuarantined crashes a worker with three requests in flight. All
// become suspects; each then runs exclusively, which clears the innocent ones and
// quarantines the request that crashes the worker again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(10)
		defer h.stop()
		replies := h.runAll("innocent", "killer", "innocent too")
		for _, r := range replies {
			checkReply(t, "in flight at the crash", r, zinniayoke.OutcomeUnknown, zinniayoke.ReasonAnswerLost)
		}
		if len(h.crashRecords) != 3 {
			t.Errorf("%d requests are suspects, want 3", len(h.crashRecords))
		}
		checkReply(t, "after the crash", h.run("other"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream)
		h.restartWorker(10)
		checkReply(t, "an innocent suspect", h.run("innocent"), zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		checkReply(t, "the crashing request, run exclusively", h.run("killer"), zinniayoke.OutcomeUnknown, zinniayoke.ReasonAnswerLost)
		h.restartWorker(10)
		checkReply(t, "the crashing request in quarantine", h.run("killer"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonQuarantined)
		checkReply(t, "the other suspect", h.run("innocent too"), zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		if h.worker.runs != 1 {
			t.Errorf("the third worker ran %d calls, want 1", h.worker.runs)
		}
		time.Sleep(2 * time.Minute)
		h.announce(zinniayoke.WorkerServing, 10)
		checkReply(t, "the crashing request after its quarantine", h.run("killer"), zinniayoke.OutcomeUnknown, zinniayoke.ReasonAnswerLost)
	})
}

// TestSuspectRunsExclusively guards against a suspected request that takes other
// requests down with it. It must wait for the calls that are already running, and calls
// that arrive meanwhile are refused.
func TestSuspectRunsExclusively(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(10)
		defer h.stop()
		h.quarantine.RecordCrash(time.Now(), []zyquarantine.Fingerprint{zyquarantine.FingerprintOf("s", "GET", "", "", []byte("suspect")), 1})
		first := h.attempt("first")
		done := make(chan *zinniayoke.Reply)
		go func() { done <- h.Run(context.Background(), first) }()
		synctest.Wait()
		suspect := h.attempt("suspect")
		go func() { done <- h.Run(context.Background(), suspect) }()
		synctest.Wait()
		checkReply(t, "a call during the exclusive run", h.run("beside"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonNotReady)
		for range 2 {
			checkReply(t, "the earlier call and the suspect", <-done, zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		}
		if h.worker.maxConcurrent != 1 {
			t.Errorf("%d calls ran concurrently with the suspect, want none", h.worker.maxConcurrent-1)
		}
	})
}

// TestDrainWaitsForActiveCalls checks that Drain refuses new calls, but returns only
// after both the running and the waiting call have completed.
func TestDrainWaitsForActiveCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		defer h.stop()
		replies := make(chan *zinniayoke.Reply, 2)
		for range 2 {
			a := h.attempt("x")
			go func() { replies <- h.Run(context.Background(), a) }()
		}
		synctest.Wait()
		drained := make(chan error)
		go func() { drained <- h.Drain(context.Background()) }()
		synctest.Wait()
		checkReply(t, "a new call while draining", h.run("new"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonDraining)
		for range 2 {
			checkReply(t, "a call accepted before draining", <-replies, zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		}
		if err := <-drained; err != nil {
			t.Errorf("Drain: %v", err)
		}
	})
}

// TestRefusals checks outcome and reason of each way in which an attempt can fail. An
// attempt that did not run must return its whole attempt budget, or retries would find
// none left.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(h *harness, a *zinniayoke.Attempt)
		outcome zinniayoke.Outcome
		reason  zinniayoke.Reason
	}{
		{"call for another service", func(_ *harness, a *zinniayoke.Attempt) { a.Service = "other" }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream},
		{"worker draining", func(h *harness, _ *zinniayoke.Attempt) { h.announce(zinniayoke.WorkerDraining, 1) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonDraining},
		{"worker starting", func(h *harness, _ *zinniayoke.Attempt) { h.announce(zinniayoke.WorkerStarting, 1) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNotReady},
		{"announcement expired", func(*harness, *zinniayoke.Attempt) { time.Sleep(4 * time.Second) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream},
		{"worker refuses connections", func(h *harness, _ *zinniayoke.Attempt) { h.worker.down = true }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream},
		{"worker exceeds the timeout", func(h *harness, _ *zinniayoke.Attempt) { h.worker.serviceTime = 5 * time.Second }, zinniayoke.OutcomeUnknown, zinniayoke.ReasonDeadline},
		{"attempt queried before arrival", func(h *harness, a *zinniayoke.Attempt) { _, _ = h.Query("n", a.ID) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonFenced},
		{"duplicate attempt", func(h *harness, a *zinniayoke.Attempt) { h.Run(context.Background(), a) }, zinniayoke.OutcomeUnknown, zinniayoke.ReasonFenced},
		{"grant of a previous key owner", func(h *harness, a *zinniayoke.Attempt) {
			a.Key, a.Grant = "k", zinniayoke.Grant{Slot: zinniayoke.KeySlot{Domain: "d"}, Epoch: zinniayoke.Epoch{Major: 1}}
			if _, _, err := h.grants.Promise(time.Now(), []zinniayoke.KeySlot{a.Grant.Slot}, zinniayoke.Epoch{Major: 2}); err != nil {
				panic(err)
			}
		}, zinniayoke.OutcomeNotRun, zinniayoke.ReasonStaleEpoch},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1)
				defer h.stop()
				a := h.attempt("x")
				c.prepare(h, a)
				reply := h.Run(context.Background(), a)
				checkReply(t, c.name, reply, c.outcome, c.reason)
				if reply.Outcome == zinniayoke.OutcomeNotRun && reply.Unused != a.Tokens {
					t.Errorf("Unused is %d, want the whole attempt budget of %d", reply.Unused, a.Tokens)
				}
			})
		})
	}
}

// TestRestartedNodeDeniesEarlierAttempts queries a node that has started again for an attempt
// that its earlier run may have delivered. The sender would run it once more if told that it
// never arrived.
func TestRestartedNodeDeniesEarlierAttempts(t *testing.T) {
	h := newHarness(1)
	defer h.stop()
	for node, want := range map[zinniayoke.NodeID]zinniayoke.AttemptState{
		"n":           zinniayoke.AttemptNeverSeen,
		"n/earlier":   zinniayoke.AttemptLost,
		"" /* old */ : zinniayoke.AttemptLost,
	} {
		reply, err := h.Query(node, zinniayoke.AttemptID("sent to "+node))
		if err != nil || reply.State != want {
			t.Errorf("an attempt that was sent to %q: %+v, %v, want %s", node, reply, err, want)
		}
	}
}

// TestCallsThatNeverRanCountAsFast runs slow calls, then has the grants of others refused
// after their admission. A call that has too little time left for the worker must then still
// be refused.
func TestCallsThatNeverRanCountAsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		defer h.stop()
		for range 10 {
			h.run("x")
		}
		stale := zinniayoke.Grant{Slot: zinniayoke.KeySlot{Domain: "d"}, Epoch: zinniayoke.Epoch{Major: 1}}
		if _, _, err := h.grants.Promise(time.Now(), []zinniayoke.KeySlot{stale.Slot}, zinniayoke.Epoch{Major: 2}); err != nil {
			t.Fatal(err)
		}
		for i := range 40 {
			a := h.attempt("x")
			a.Key, a.Grant = zinniayoke.Key(fmt.Sprint(i)), stale
			checkReply(t, "a stale grant", h.Run(context.Background(), a), zinniayoke.OutcomeNotRun, zinniayoke.ReasonStaleEpoch)
		}
		late := h.attempt("x")
		late.Timeout = h.worker.serviceTime / 4
		checkReply(t, "a call with a quarter of the service time left", h.Run(context.Background(), late), zinniayoke.OutcomeNotRun, zinniayoke.ReasonDeadline)
	})
}

// TestQueueShedsLowRankFirst sends 20 calls of each of two ranks to a worker with one
// slot. The queue overflows, and the lower rank must be shed first.
func TestQueueShedsLowRankFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		defer h.stop()
		var active sync.WaitGroup
		var mu sync.Mutex
		shed := map[zinniayoke.Rank]int{}
		for i := range 40 {
			a := h.attempt(fmt.Sprint(i))
			a.Rank = zinniayoke.Rank(i%2+1) << 24
			active.Go(func() {
				if r := h.Run(context.Background(), a); r.Reason == zinniayoke.ReasonShed {
					mu.Lock()
					shed[a.Rank]++
					mu.Unlock()
				}
			})
			synctest.Wait()
		}
		active.Wait()
		if shed[1<<24] < 18 || shed[2<<24] > 20 {
			t.Errorf("attempts shed by rank: %v, want at least 18 of the lower rank and at most 20 of the higher", shed)
		}
	})
}

// TestErrorsOfWorkerRaiseItsLoad has a worker respond with errors while its health check is
// good. Its node must report them and a load at which senders prefer other workers, but only
// if the bundle asks for it.
func TestErrorsOfWorkerRaiseItsLoad(t *testing.T) {
	for _, c := range []struct {
		status      int
		retryErrors bool
	}{{500, false}, {500, true}, {503, false}, {503, true}} {
		synctest.Test(t, func(t *testing.T) {
			retryErrors := c.retryErrors
			bundle := &zybundle.Bundle{QuarantineFor: time.Minute, RetryErrors: retryErrors}
			h := newHarness(10, func(cfg *zyingress.Config) { cfg.Bundle = func() *zybundle.Bundle { return bundle } })
			defer h.stop()
			h.worker.status = c.status
			var reply *zinniayoke.Reply
			for range 10 {
				reply = h.run("x")
			}
			const full = 100
			if !reply.WorkerError || (reply.Load > full) != retryErrors {
				t.Errorf("status %d, retryErrors %t: error of the worker %t, load %d%%", c.status, retryErrors, reply.WorkerError, reply.Load)
			}
		})
	}
}
