package zyingress_test

import (
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

var errBroken = errors.New("connection reset")

// worker is a fake that crashes at one body and takes its time for all.
type worker struct {
	mu    sync.Mutex
	down  bool
	runs  int
	most  int
	now   int
	took  time.Duration
	crash chan struct{}
}

func (w *worker) Run(ctx context.Context, call *zinniayoke.WorkerCall) (*zinniayoke.Response, bool, error) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return nil, false, errBroken
	}
	w.runs++
	w.now++
	w.most = max(w.most, w.now)
	crash := w.crash
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.now--
		w.mu.Unlock()
	}()
	if string(call.Attempt.Body) == "killer" {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.down = true
		close(w.crash)
		w.mu.Unlock()
		return nil, true, errBroken
	}
	select {
	case <-time.After(w.took):
		return &zinniayoke.Response{Status: 200, Body: call.Attempt.Body}, true, nil
	case <-crash:
		return nil, true, errBroken
	case <-ctx.Done():
		return nil, true, ctx.Err()
	}
}

func (w *worker) Probe(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return errBroken
	}
	return nil
}

type nopMeter struct{}

func (nopMeter) ObserveCall(zinniayoke.CallSample)       {}
func (nopMeter) ObserveAttempt(zinniayoke.AttemptSample) {}
func (nopMeter) CountSent(zinniayoke.Service)            {}
func (nopMeter) CountMismatch()                          {}

// bench is a receiver with a fake worker.
type bench struct {
	*zyingress.Receiver
	worker   *worker
	suspects *zyquarantine.Tracker
	timer    *zytimer.Service
	grants   *zyidempotency.GrantTable
	cases    []zyquarantine.CrashRecord
	started  zinniayoke.Incarnation
	serial   int
}

func newBench(slots int) *bench {
	b := &bench{
		suspects: zyquarantine.New(zyquarantine.Config{MaxRecords: 100}), timer: zytimer.New(),
		grants: zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: "n", MaxKeys: 100, Window: time.Minute}),
	}
	rules := &zybundle.Bundle{QuarantineFor: time.Minute}
	b.Receiver = zyingress.New(zyingress.Config{
		Node: "n", Rules: func() *zybundle.Bundle { return rules }, Grants: b.grants, Suspects: b.suspects,
		Fence: zyfence.New(zyfence.Config{MaxAttempts: 1000, MaxResponseBytes: 1000, Retention: time.Minute}), Parents: &zyparent.Table{},
		Timer: b.timer, Meter: nopMeter{}, OnSuspects: func(c []zyquarantine.CrashRecord) { b.cases = append(b.cases, c...) },
	})
	b.restart(slots)
	return b
}

// restart announces a fresh worker, and goes on doing so each second.
func (b *bench) restart(slots int) {
	b.started++
	b.worker = &worker{took: 100 * time.Millisecond, crash: make(chan struct{})}
	b.announce(zinniayoke.WorkerServing, slots)
}

func (b *bench) announce(state zinniayoke.WorkerState, slots int) {
	_, err := b.HandleAnnouncement(zyingress.Announcement{
		Service: "s", Address: "a", Slots: slots, Connections: 100, State: state, Incarnation: b.started,
	}, func(zyingress.Announcement) zinniayoke.Worker { return b.worker })
	if err != nil {
		panic(err)
	}
}

func (b *bench) end() {
	b.Close()
	b.timer.Stop()
}

func (b *bench) attempt(body string) *zinniayoke.Attempt {
	b.serial++
	return &zinniayoke.Attempt{
		ID: zinniayoke.AttemptID(fmt.Sprint(b.serial)), Request: "r", Service: "s", Route: "s/r", Method: "GET",
		Body: []byte(body), Timeout: time.Second, Tokens: 2,
	}
}

func (b *bench) run(body string) *zinniayoke.Reply {
	return b.Run(context.Background(), b.attempt(body))
}

// all runs several bodies at once.
func (b *bench) all(bodies ...string) []*zinniayoke.Reply {
	replies := make([]*zinniayoke.Reply, len(bodies))
	var active sync.WaitGroup
	for i, body := range bodies {
		a := b.attempt(body)
		active.Go(func() { replies[i] = b.Run(context.Background(), a) })
	}
	active.Wait()
	return replies
}

func want(t *testing.T, what string, got *zinniayoke.Reply, outcome zinniayoke.Outcome, reason zinniayoke.Reason) {
	t.Helper()
	if got.Outcome != outcome || got.Reason != reason {
		t.Errorf("%s: %s because of %s (%s), want %s because of %s", what, got.Outcome, got.Reason, got.Detail, outcome, reason)
	}
}

func TestCrashingRequestIsFoundAndQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(10)
		defer b.end()
		replies := b.all("innocent", "killer", "innocent too")
		for _, r := range replies {
			want(t, "in flight at the crash", r, zinniayoke.OutcomeUnknown, zinniayoke.ReasonAnswerLost)
		}
		if len(b.cases) != 3 {
			t.Errorf("%d requests are suspected, want 3", len(b.cases))
		}
		want(t, "after the crash", b.run("other"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream)
		b.restart(10)
		want(t, "a suspect that is innocent", b.run("innocent"), zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		want(t, "the killer alone", b.run("killer"), zinniayoke.OutcomeUnknown, zinniayoke.ReasonAnswerLost)
		b.restart(10)
		want(t, "the killer again", b.run("killer"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonQuarantined)
		want(t, "the other suspect", b.run("innocent too"), zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		if b.worker.runs != 1 {
			t.Errorf("the third worker ran %d calls, want 1", b.worker.runs)
		}
		time.Sleep(2 * time.Minute)
		b.announce(zinniayoke.WorkerServing, 10)
		want(t, "the killer after its quarantine", b.run("killer"), zinniayoke.OutcomeUnknown, zinniayoke.ReasonAnswerLost)
	})
}

func TestSuspectRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(10)
		defer b.end()
		b.suspects.RecordCrash(time.Now(), []zyquarantine.Fingerprint{zyquarantine.FingerprintOf("s", "GET", "", "", []byte("suspect")), 1})
		first := b.attempt("first")
		done := make(chan *zinniayoke.Reply)
		go func() { done <- b.Run(context.Background(), first) }()
		synctest.Wait()
		suspect := b.attempt("suspect")
		go func() { done <- b.Run(context.Background(), suspect) }()
		synctest.Wait()
		want(t, "a call beside a suspect", b.run("beside"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonNotReady)
		for range 2 {
			want(t, "the call before and the suspect", <-done, zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		}
		if b.worker.most != 1 {
			t.Errorf("%d calls ran beside the suspect", b.worker.most-1)
		}
	})
}

func TestDrainFinishesWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.end()
		replies := make(chan *zinniayoke.Reply, 2)
		for range 2 {
			a := b.attempt("x")
			go func() { replies <- b.Run(context.Background(), a) }()
		}
		synctest.Wait()
		drained := make(chan error)
		go func() { drained <- b.Drain(context.Background()) }()
		synctest.Wait()
		want(t, "new work while draining", b.run("new"), zinniayoke.OutcomeNotRun, zinniayoke.ReasonDraining)
		for range 2 {
			want(t, "work at hand", <-replies, zinniayoke.OutcomeDone, zinniayoke.ReasonNone)
		}
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(b *bench, a *zinniayoke.Attempt)
		outcome zinniayoke.Outcome
		reason  zinniayoke.Reason
	}{
		{"another service", func(_ *bench, a *zinniayoke.Attempt) { a.Service = "other" }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream},
		{"worker draining", func(b *bench, _ *zinniayoke.Attempt) { b.announce(zinniayoke.WorkerDraining, 1) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonDraining},
		{"worker starting", func(b *bench, _ *zinniayoke.Attempt) { b.announce(zinniayoke.WorkerStarting, 1) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNotReady},
		{"worker silent", func(*bench, *zinniayoke.Attempt) { time.Sleep(4 * time.Second) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream},
		{"worker without connections", func(b *bench, _ *zinniayoke.Attempt) { b.worker.down = true }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonNoUpstream},
		{"worker too slow", func(b *bench, _ *zinniayoke.Attempt) { b.worker.took = 5 * time.Second }, zinniayoke.OutcomeUnknown, zinniayoke.ReasonDeadline},
		{"attempt that was asked about before", func(b *bench, a *zinniayoke.Attempt) { _, _ = b.Query(a.ID) }, zinniayoke.OutcomeNotRun, zinniayoke.ReasonFenced},
		{"attempt that came before", func(b *bench, a *zinniayoke.Attempt) { b.Run(context.Background(), a) }, zinniayoke.OutcomeUnknown, zinniayoke.ReasonFenced},
		{"grant of an old keeper", func(b *bench, a *zinniayoke.Attempt) {
			a.Key, a.Grant = "k", zinniayoke.Grant{Slot: zinniayoke.KeySlot{Domain: "d"}, Epoch: zinniayoke.Epoch{Major: 1}}
			if _, _, err := b.grants.Promise(time.Now(), []zinniayoke.KeySlot{a.Grant.Slot}, zinniayoke.Epoch{Major: 2}); err != nil {
				panic(err)
			}
		}, zinniayoke.OutcomeNotRun, zinniayoke.ReasonStaleEpoch},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(1)
				defer b.end()
				a := b.attempt("x")
				c.prepare(b, a)
				reply := b.Run(context.Background(), a)
				want(t, c.name, reply, c.outcome, c.reason)
				if reply.Outcome == zinniayoke.OutcomeNotRun && reply.Unused != a.Tokens {
					t.Errorf("%d of %d tokens came back", reply.Unused, a.Tokens)
				}
			})
		})
	}
}

func TestQueueKeepsTheImportant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.end()
		var active sync.WaitGroup
		var mu sync.Mutex
		shed := map[zinniayoke.Rank]int{}
		for i := range 40 {
			a := b.attempt(fmt.Sprint(i))
			a.Rank = zinniayoke.Rank(i%2+1) << 24
			active.Go(func() {
				if r := b.Run(context.Background(), a); r.Reason == zinniayoke.ReasonShed {
					mu.Lock()
					shed[a.Rank]++
					mu.Unlock()
				}
			})
			synctest.Wait()
		}
		active.Wait()
		if shed[1<<24] < 18 || shed[2<<24] > 20 {
			t.Errorf("shed by rank: %v", shed)
		}
	})
}
