package zykeyowner_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zythreshold"
)

const (
	self   zinniayoke.NodeID  = "self/1"
	worker zinniayoke.NodeID  = "worker/1"
	gone   zinniayoke.NodeID  = "gone/1"
	key    zinniayoke.Key     = "k"
	domain zinniayoke.Domain  = "d"
	svc    zinniayoke.Service = "s"
)

var route = &zybundle.Route{Name: "s/r", Service: svc, NeverRepeat: true, Attempts: 3}

// system stands for all other nodes.
type system struct {
	held   []zyidempotency.KeyRecord
	fate   zinniayoke.AttemptState
	lost   map[zinniayoke.NodeID]time.Time
	runs   int
	parted bool
	// lostFor is for how long a node has been lost; 0 means that none is.
	lostFor time.Duration
	// movedFrom is the caller's old home, whose keeper says gaveUp.
	movedFrom zinniayoke.Domain
	gaveUp    *zykeyowner.ReleaseReply
	answer    func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error)
}

func (s *system) Recall(context.Context, zinniayoke.NodeID, []zinniayoke.KeySlot, zinniayoke.Epoch) (*zykeyowner.RecallReply, error) {
	return &zykeyowner.RecallReply{Held: s.held}, nil
}

func (s *system) ReplicateKey(context.Context, zinniayoke.NodeID, zyidempotency.KeyRecord) error {
	return nil
}

func (s *system) KeyOwners(zinniayoke.Domain) []zinniayoke.NodeID { return []zinniayoke.NodeID{self} }

func (s *system) RecoveryNodes() ([]zinniayoke.NodeID, map[zinniayoke.NodeID]time.Time) {
	if s.lostFor > 0 {
		return []zinniayoke.NodeID{worker}, map[zinniayoke.NodeID]time.Time{gone: time.Now().Add(-s.lostFor)}
	}
	return []zinniayoke.NodeID{worker}, s.lost
}

func (s *system) ReleaseKey(context.Context, zinniayoke.Domain, zinniayoke.Key) (*zykeyowner.ReleaseReply, error) {
	if s.gaveUp == nil {
		return nil, context.DeadlineExceeded
	}
	return s.gaveUp, nil
}

func (s *system) HasQuorum(zinniayoke.Domain) bool { return !s.parted }

func (s *system) Upstreams(zinniayoke.Service) []zinniayoke.Upstream {
	return []zinniayoke.Upstream{{Node: worker, Service: svc, State: zinniayoke.WorkerServing}}
}

// wires carries messages to the system.
type wires struct{ *system }

func (w wires) Run(_ context.Context, _ zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	w.runs++
	return w.answer(a)
}

func (w wires) Query(context.Context, zinniayoke.Upstream, zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{State: w.fate}, nil
}

func (w wires) Cancel(zinniayoke.Upstream, zinniayoke.AttemptID) {}

// elders asks the system.
type elders struct{ *system }

func (e elders) Query(context.Context, zinniayoke.NodeID, zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{State: e.fate}, nil
}

type nopMeter struct{}

func (nopMeter) ObserveCall(zinniayoke.CallSample)       {}
func (nopMeter) ObserveAttempt(zinniayoke.AttemptSample) {}
func (nopMeter) CountSent(zinniayoke.Service)            {}
func (nopMeter) CountMismatch()                          {}

func newHome(s *system) *zykeyowner.Executor {
	rules := func() *zybundle.Bundle { return &zybundle.Bundle{DefaultHome: domain, DefaultMovedFrom: s.movedFrom} }
	sender := zyegress.New(zyegress.Config{
		Peers: wires{s}, Resolver: s, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(),
		Suspects: zyquarantine.New(zyquarantine.Config{MaxRecords: 10}), Meter: nopMeter{}, Rules: rules,
		Picker: zybalancer.New(zybalancer.Config{Resolver: s, Random: rand.New(rand.NewPCG(1, 1))}),
	})
	return zykeyowner.New(zykeyowner.Config{
		Node: self, Domain: domain, Sender: sender, Rules: rules, Peers: elders{s}, Membership: s, OldHome: s,
		OwnedKeys: zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: self, MaxKeys: 100, Window: time.Minute}),
	})
}

func call(body uint64) *zinniayoke.Call {
	return &zinniayoke.Call{
		Request: "r", Service: svc, Route: route.Name, Key: key, KeyFromCaller: true, BodyHash: body, Tokens: 3,
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func run(h *zykeyowner.Executor, body uint64) *zinniayoke.Reply {
	c := call(body)
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	return h.Run(ctx, c, route)
}

func held(fate zinniayoke.AttemptState) []zyidempotency.KeyRecord {
	return []zyidempotency.KeyRecord{{Key: key, Slot: zyidempotency.SlotOf(domain, key), BodyHash: 1, Attempt: "a", Node: worker, State: fate}}
}

func done(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	answer := &zinniayoke.Response{Status: 200, Attempt: a.ID, Request: a.Request, Hash: 0xef46db3751d8e999}
	return &zinniayoke.Reply{Attempt: a.ID, Request: a.Request, Outcome: zinniayoke.OutcomeDone, Response: answer}, nil
}

func TestKeeperDecisions(t *testing.T) {
	for _, c := range []struct {
		name    string
		system  system
		body    uint64
		outcome zinniayoke.Outcome
		reason  zinniayoke.Reason
		runs    int
	}{
		{"a new key runs", system{answer: done}, 1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a key that still runs at its deadline", system{held: held(zinniayoke.AttemptRunning), fate: zinniayoke.AttemptRunning},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonDeadline, 0},
		{"a key whose answer is lost", system{held: held(zinniayoke.AttemptLost), fate: zinniayoke.AttemptLost},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a key that never reached its worker runs now", system{held: held(zinniayoke.AttemptRunning), fate: zinniayoke.AttemptNeverSeen, answer: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a key with another body", system{held: held(zinniayoke.AttemptRunning), fate: zinniayoke.AttemptRunning},
			2, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyReused, 0},
		{"an unknown key while a node is lost", system{lost: map[zinniayoke.NodeID]time.Time{gone: time.Now().Add(time.Hour)}, answer: done},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a key that the old home gave up", system{movedFrom: "old", gaveUp: &zykeyowner.ReleaseReply{Released: true}, answer: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a key that may have run in the old home", system{movedFrom: "old", gaveUp: &zykeyowner.ReleaseReply{}},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a key while the old home is out of reach", system{movedFrom: "old"},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a node that may have run a late message", system{lostFor: 90 * time.Second, answer: done},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a node that was lost for two windows", system{lostFor: 121 * time.Second, answer: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a new key without a quorum", system{parted: true, answer: done}, 1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a node that was lost before the window", system{lost: map[zinniayoke.NodeID]time.Time{gone: {}}, answer: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reply := run(newHome(&c.system), c.body)
				if reply.Outcome != c.outcome || reply.Reason != c.reason || c.system.runs != c.runs {
					t.Errorf("outcome %s, reason %s, %d runs; want %s, %s, %d: %s",
						reply.Outcome, reply.Reason, c.system.runs, c.outcome, c.reason, c.runs, reply.Detail)
				}
			})
		})
	}
}

func TestSendsOfOneKeyShareTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{answer: func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
			time.Sleep(time.Second)
			return done(a)
		}}
		h := newHome(s)
		replies := make(chan *zinniayoke.Reply, 3)
		for range cap(replies) {
			go func() { replies <- run(h, 1) }()
		}
		first := <-replies
		for range cap(replies) - 1 {
			if next := <-replies; next.Outcome != zinniayoke.OutcomeDone || next.Attempt != first.Attempt {
				t.Errorf("another send got %s of attempt %s, want %s", next.Outcome, next.Attempt, first.Attempt)
			}
		}
		if s.runs != 1 {
			t.Errorf("%d runs", s.runs)
		}
	})
}

func TestPausedKeeperSaysNothingOfKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{}
		s.answer = func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
			time.Sleep(time.Minute) // The node is paused here: its upkeep does not run.
			return &zinniayoke.Reply{Attempt: a.ID, Request: a.Request, Reason: zinniayoke.ReasonStaleEpoch, Outcome: zinniayoke.OutcomeNotRun}, nil
		}
		h := newHome(s)
		c := call(1)
		c.Deadline = time.Now().Add(2 * time.Minute)
		reply := h.Run(context.Background(), c, route)
		if reply.Outcome != zinniayoke.OutcomeUnknown {
			t.Errorf("outcome %s after a pause, want unknown", reply.Outcome)
		}
		s.answer = done
		if reply := run(h, 1); reply.Outcome != zinniayoke.OutcomeUnknown {
			t.Errorf("outcome %s before the upkeep, want unknown", reply.Outcome)
		}
		h.Tick(time.Now())
		if reply := run(h, 1); reply.Outcome != zinniayoke.OutcomeDone {
			t.Errorf("outcome %s after the upkeep, want done: %s", reply.Outcome, reply.Detail)
		}
	})
}

func TestOldHomeGivesKeysUpForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{answer: done}
		h := newHome(s)
		if told := h.ReleaseKey(context.Background(), key); !told.Released {
			t.Fatal("a key that never ran was not given up")
		}
		if told := h.ReleaseKey(context.Background(), key); !told.Released {
			t.Error("a key was not given up again")
		}
		if reply := run(h, 1); reply.Outcome != zinniayoke.OutcomeUnknown || s.runs != 0 {
			t.Errorf("a key that was given up: outcome %s, %d runs", reply.Outcome, s.runs)
		}
		other := newHome(s)
		run(other, 1)
		if told := other.ReleaseKey(context.Background(), key); told.Released || told.Reply == nil {
			t.Errorf("a key that ran: %+v", told)
		}
	})
}
