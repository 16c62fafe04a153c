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

// system simulates all other nodes.
type system struct {
	records     []zyidempotency.KeyRecord
	state       zinniayoke.AttemptState
	lost        map[zinniayoke.NodeID]time.Time
	runs        int
	partitioned bool
	// lostFor is how long ago a node was lost; 0 means that none is lost.
	lostFor time.Duration
	// movedFrom is the caller's old home, whose key owner replies with released.
	movedFrom zinniayoke.Domain
	released  *zykeyowner.ReleaseReply
	respond   func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error)
}

func (s *system) PromiseEpoch(context.Context, zinniayoke.NodeID, []zinniayoke.KeySlot, zinniayoke.Epoch) (*zykeyowner.PromiseReply, error) {
	return &zykeyowner.PromiseReply{Records: s.records}, nil
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
	if s.released == nil {
		return nil, context.DeadlineExceeded
	}
	return s.released, nil
}

func (s *system) HasQuorum(zinniayoke.Domain) bool { return !s.partitioned }

func (s *system) Upstreams(zinniayoke.Service) []zinniayoke.Upstream {
	return []zinniayoke.Upstream{{Node: worker, Service: svc, State: zinniayoke.WorkerServing}}
}

// network implements zinniayoke.PeerClient on a system.
type network struct{ *system }

func (n network) Run(_ context.Context, _ zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	n.runs++
	return n.respond(a)
}

func (n network) Query(context.Context, zinniayoke.Upstream, zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{State: n.state}, nil
}

func (n network) Cancel(zinniayoke.Upstream, zinniayoke.AttemptID) {}

func (n network) Withdraw(zinniayoke.Upstream, zinniayoke.AttemptID) {}

// keyStates implements zykeyowner.KeyStateClient on a system.
type keyStates struct{ *system }

func (e keyStates) Query(context.Context, zinniayoke.NodeID, zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{State: e.state}, nil
}

type nopMeter struct{}

func (nopMeter) ObserveCall(zinniayoke.CallSample)       {}
func (nopMeter) ObserveAttempt(zinniayoke.AttemptSample) {}
func (nopMeter) CountSent(zinniayoke.Service)            {}
func (nopMeter) CountMismatch()                          {}

func newExecutor(s *system) *zykeyowner.Executor {
	bundle := func() *zybundle.Bundle { return &zybundle.Bundle{DefaultHome: domain, DefaultMovedFrom: s.movedFrom} }
	sender := zyegress.New(zyegress.Config{
		Peers: network{s}, Resolver: s, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(),
		Quarantine: zyquarantine.New(zyquarantine.Config{MaxRecords: 10}), Meter: nopMeter{}, Bundle: bundle,
		Picker: zybalancer.New(zybalancer.Config{Resolver: s, Random: rand.New(rand.NewPCG(1, 1))}),
	})
	return zykeyowner.New(zykeyowner.Config{
		Node: self, Domain: domain, Sender: sender, Bundle: bundle, Peers: keyStates{s}, Membership: s, OldHome: s,
		OwnedKeys: zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: self, MaxKeys: 100, Window: time.Minute}),
	})
}

func call(body uint64) *zinniayoke.Call {
	return &zinniayoke.Call{
		Request: "r", Service: svc, Route: route.Name, Key: key, KeyFromCaller: true, BodyHash: body, Tokens: 3,
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func run(e *zykeyowner.Executor, body uint64) *zinniayoke.Reply {
	c := call(body)
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	return e.Run(ctx, c, route)
}

func records(state zinniayoke.AttemptState) []zyidempotency.KeyRecord {
	return []zyidempotency.KeyRecord{{Key: key, Slot: zyidempotency.SlotOf(domain, key), BodyHash: 1, Attempt: "a", Node: worker, State: state}}
}

func done(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	response := &zinniayoke.Response{Status: 200, Attempt: a.ID, Request: a.Request, Hash: 0xef46db3751d8e999}
	return &zinniayoke.Reply{Attempt: a.ID, Request: a.Request, Outcome: zinniayoke.OutcomeDone, Response: response}, nil
}

// TestKeyOwnerDecisions checks the reply to a keyed request for each state of its key
// on the other nodes.
func TestKeyOwnerDecisions(t *testing.T) {
	for _, c := range []struct {
		name    string
		system  system
		body    uint64
		outcome zinniayoke.Outcome
		reason  zinniayoke.Reason
		runs    int
	}{
		{"a new key runs", system{respond: done}, 1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a key that still runs at its deadline", system{records: records(zinniayoke.AttemptRunning), state: zinniayoke.AttemptRunning},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonDeadline, 0},
		{"a key whose response is lost", system{records: records(zinniayoke.AttemptLost), state: zinniayoke.AttemptLost},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a key that never reached its worker runs now", system{records: records(zinniayoke.AttemptRunning), state: zinniayoke.AttemptNeverSeen, respond: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a key whose worker's node has answered without the response", system{records: records(zinniayoke.AttemptRunning), state: zinniayoke.AttemptAnswered},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a key with another body", system{records: records(zinniayoke.AttemptRunning), state: zinniayoke.AttemptRunning},
			2, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyReused, 0},
		{"an unknown key while a node is lost", system{lost: map[zinniayoke.NodeID]time.Time{gone: time.Now().Add(time.Hour)}, respond: done},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a key that the old home released", system{movedFrom: "old", released: &zykeyowner.ReleaseReply{Released: true}, respond: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a key that may have run in the old home", system{movedFrom: "old", released: &zykeyowner.ReleaseReply{}},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a key while the old home is unreachable", system{movedFrom: "old"},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a lost node that may still run a delayed attempt", system{lostFor: 90 * time.Second, respond: done},
			1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a node that was lost more than two windows ago", system{lostFor: 121 * time.Second, respond: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
		{"a new key without a quorum", system{partitioned: true, respond: done}, 1, zinniayoke.OutcomeUnknown, zinniayoke.ReasonKeyUncertain, 0},
		{"a node that was lost before the window", system{lost: map[zinniayoke.NodeID]time.Time{gone: {}}, respond: done},
			1, zinniayoke.OutcomeDone, zinniayoke.ReasonNone, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reply := run(newExecutor(&c.system), c.body)
				if reply.Outcome != c.outcome || reply.Reason != c.reason || c.system.runs != c.runs {
					t.Errorf("outcome %s, reason %s, %d runs; want %s, %s, %d: %s",
						reply.Outcome, reply.Reason, c.system.runs, c.outcome, c.reason, c.runs, reply.Detail)
				}
			})
		})
	}
}

// TestRequestsWithOneKeyShareTheRun sends requests with the same key at the same
// time: they must get the reply of a single run.
func TestRequestsWithOneKeyShareTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{respond: func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
			time.Sleep(time.Second)
			return done(a)
		}}
		e := newExecutor(s)
		replies := make(chan *zinniayoke.Reply, 3)
		for range cap(replies) {
			go func() { replies <- run(e, 1) }()
		}
		first := <-replies
		for range cap(replies) - 1 {
			if next := <-replies; next.Outcome != zinniayoke.OutcomeDone || next.Attempt != first.Attempt {
				t.Errorf("a concurrent request got outcome %s of attempt %s, want done of %s", next.Outcome, next.Attempt, first.Attempt)
			}
		}
		if s.runs != 1 {
			t.Errorf("the key ran %d times, want once", s.runs)
		}
	})
}

// TestPausedOwnerDoesNotDecide pauses the key owner while a request runs. Another
// node may have taken over meanwhile, so the owner must not report the key as not
// run, nor run it again, before Tick has closed its slots.
func TestPausedOwnerDoesNotDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{}
		s.respond = func(a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
			time.Sleep(time.Minute) // The node is paused here: Tick is not called.
			return &zinniayoke.Reply{Attempt: a.ID, Request: a.Request, Reason: zinniayoke.ReasonStaleEpoch, Outcome: zinniayoke.OutcomeNotRun}, nil
		}
		e := newExecutor(s)
		c := call(1)
		c.Deadline = time.Now().Add(2 * time.Minute)
		reply := e.Run(context.Background(), c, route)
		if reply.Outcome != zinniayoke.OutcomeUnknown {
			t.Errorf("outcome %s after a pause, want unknown", reply.Outcome)
		}
		s.respond = done
		if reply := run(e, 1); reply.Outcome != zinniayoke.OutcomeUnknown {
			t.Errorf("outcome %s before Tick, want unknown", reply.Outcome)
		}
		e.Tick(time.Now())
		if reply := run(e, 1); reply.Outcome != zinniayoke.OutcomeDone {
			t.Errorf("outcome %s after Tick, want done: %s", reply.Outcome, reply.Detail)
		}
	})
}

// TestReleasedKeyNeverRuns releases a key to the caller's new home: the old home must
// not run it afterwards, and must not release a key that has run.
func TestReleasedKeyNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{respond: done}
		e := newExecutor(s)
		if reply := e.ReleaseKey(context.Background(), key); !reply.Released {
			t.Fatal("a key that never ran was not released")
		}
		if reply := e.ReleaseKey(context.Background(), key); !reply.Released {
			t.Error("a released key was not released again")
		}
		if reply := run(e, 1); reply.Outcome != zinniayoke.OutcomeUnknown || s.runs != 0 {
			t.Errorf("a released key: outcome %s, %d runs", reply.Outcome, s.runs)
		}
		other := newExecutor(s)
		run(other, 1)
		if reply := other.ReleaseKey(context.Background(), key); reply.Released || reply.Reply == nil {
			t.Errorf("releasing a key that ran: %+v", reply)
		}
	})
}
