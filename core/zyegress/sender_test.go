package zyegress_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zynotice"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zythreshold"
)

// reply is how a node replies to one attempt.
type reply int

const (
	done reply = iota
	// rejected means that the worker rejected the call without running it.
	rejected
	// refused means that the node did not deliver the call to its worker.
	refused
	// limited means that the node refused the call for the rate limit of its worker.
	limited
	// noRetry means that the node refused the call for the retry budget of its service.
	noRetry
	// unsent means that there is no connection to the node. A query says that the call is lost.
	unsent
	// lost means that the worker may have run the call.
	lost
	// failed means that the worker responded with an error of its own.
	failed
	// failedBelow means that a call that the worker's run made has failed.
	failedBelow
)

var errConnReset = errors.New("connection reset")

// fakePeers replies to the attempts in the order of replies, and to all others with the
// last one.
type fakePeers struct {
	replies  []reply
	sentTo   []zinniayoke.NodeID
	attempts []*zinniayoke.Attempt
	// heard is what the replies say of the worker.
	heard *zinniayoke.HeardNotice
}

func (p *fakePeers) Run(_ context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	kind := p.replies[min(len(p.sentTo), len(p.replies)-1)]
	p.sentTo = append(p.sentTo, to.Node)
	p.attempts = append(p.attempts, a)
	r := &zinniayoke.Reply{Attempt: a.ID, Request: a.Request, Unused: a.Tokens, Heard: p.heard}
	switch kind {
	case done:
		r.Outcome, r.Delivered = zinniayoke.OutcomeDone, true
		r.Response = &zinniayoke.Response{Status: 200, Attempt: a.ID, Request: a.Request, Hash: 0xef46db3751d8e999}
	case failed, failedBelow:
		r.Outcome, r.Delivered, r.WorkerError = zinniayoke.OutcomeDone, true, kind == failed
		r.Response = &zinniayoke.Response{Status: 500, Attempt: a.ID, Request: a.Request, Hash: 0xef46db3751d8e999}
	case rejected:
		r.Outcome, r.Reason, r.Delivered = zinniayoke.OutcomeNotRun, zinniayoke.ReasonShed, true
	case limited:
		r.Outcome, r.Reason = zinniayoke.OutcomeNotRun, zinniayoke.ReasonShed
		r.Heard = &zinniayoke.HeardNotice{Notice: zinniayoke.WorkerNotice{Limited: true, Limit: 1}}
	case refused:
		r.Outcome, r.Reason = zinniayoke.OutcomeNotRun, zinniayoke.ReasonShed
	case noRetry:
		r.Outcome, r.Reason = zinniayoke.OutcomeNotRun, zinniayoke.ReasonRetryBudget
	case unsent:
		return nil, fmt.Errorf("peer: %w", zinniayoke.ErrNotSent)
	case lost:
		return nil, errConnReset // Query then says that the worker may have run the call.
	}
	return r, nil
}

func (p *fakePeers) Query(context.Context, zinniayoke.Upstream, zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{State: zinniayoke.AttemptLost}, nil
}

func (p *fakePeers) Cancel(zinniayoke.Upstream, zinniayoke.AttemptID) {}

func (p *fakePeers) Withdraw(zinniayoke.Upstream, zinniayoke.AttemptID) {}

// upstreams is a service of some workers.
type upstreams int

func (n upstreams) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	var list []zinniayoke.Upstream
	for i := range n {
		list = append(list, zinniayoke.Upstream{Node: zinniayoke.NodeID(fmt.Sprint("n", i)), Service: s, State: zinniayoke.WorkerServing, Slots: 10})
	}
	return list
}

type nopMeter struct{}

func (nopMeter) ObserveCall(zinniayoke.CallSample)       {}
func (nopMeter) ObserveAttempt(zinniayoke.AttemptSample) {}
func (nopMeter) CountSent(zinniayoke.Service)            {}
func (nopMeter) CountMismatch()                          {}

// TestRetries checks, for nodes of workers that limit the retries, how often a call is
// sent, to how many workers, and what its outcome is. The route allows two workers.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		name        string
		neverRepeat bool
		workers     upstreams
		replies     []reply
		sends       int
		nodes       int
		outcome     zinniayoke.Outcome
	}{
		{"done at once", false, 5, []reply{done}, 1, 1, zinniayoke.OutcomeDone},
		{"rejected once", true, 5, []reply{rejected, done}, 2, 2, zinniayoke.OutcomeDone},
		{"rejected by both workers, then again by one", true, 5, []reply{rejected, rejected, rejected, done}, 4, 2, zinniayoke.OutcomeDone},
		{"rejected by the only worker", true, 1, []reply{rejected, done}, 2, 1, zinniayoke.OutcomeDone},
		{"always rejected", true, 5, []reply{rejected}, 8, 2, zinniayoke.OutcomeNotRun},
		{"no retry left", true, 5, []reply{rejected, noRetry}, 2, 2, zinniayoke.OutcomeNotRun},
		{"refused by nodes, which costs no attempt", true, 5, []reply{refused, refused, refused, done}, 4, 4, zinniayoke.OutcomeDone},
		{"refused by all nodes that are asked", true, 9, []reply{refused}, 4, 4, zinniayoke.OutcomeNotRun},
		{"refused for the limits of five workers of nine", true, 9, []reply{limited, limited, limited, limited, limited, done}, 6, 6, zinniayoke.OutcomeDone},
		{"refused for the limits of all workers", true, 20, []reply{limited}, 8, 8, zinniayoke.OutcomeNotRun},
		{"no connection, and must not be repeated", true, 5, []reply{unsent, done}, 2, 2, zinniayoke.OutcomeDone},
		{"lost and may be repeated", false, 5, []reply{lost, done}, 2, 2, zinniayoke.OutcomeDone},
		{"lost twice", false, 5, []reply{lost, lost}, 2, 2, zinniayoke.OutcomeUnknown},
		{"lost and must not be repeated", true, 5, []reply{lost}, 1, 1, zinniayoke.OutcomeUnknown},
		{"rejected, then lost, and must not be repeated", true, 5, []reply{rejected, lost}, 2, 2, zinniayoke.OutcomeUnknown},
		{"lost, then rejected", false, 5, []reply{lost, rejected}, 2, 2, zinniayoke.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			peers := &fakePeers{replies: c.replies}
			s := zyegress.New(zyegress.Config{
				Peers: peers, Resolver: c.workers, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(),
				Quarantine: zyquarantine.New(zyquarantine.Config{MaxRecords: 10}), Meter: nopMeter{}, WorkersLimitRetries: true,
				Bundle: func() *zybundle.Bundle { return &zybundle.Bundle{} },
				Picker: zybalancer.New(zybalancer.Config{Resolver: c.workers, Random: rand.New(rand.NewPCG(1, 1))}),
			})
			const attempts = 2
			got := s.Send(context.Background(), zyegress.SendParams{
				Call:   &zinniayoke.Call{Request: "r", Service: "s", Deadline: time.Now().Add(time.Minute)},
				Route:  &zybundle.Route{NeverRepeat: c.neverRepeat, Attempts: attempts},
				Budget: zyattempt.NewBudget(attempts, 1),
			})
			nodes := make(map[zinniayoke.NodeID]bool)
			for _, n := range peers.sentTo {
				nodes[n] = true
			}
			if len(peers.sentTo) != c.sends || len(nodes) != c.nodes || got.Outcome != c.outcome {
				t.Errorf("sent %d times to %d nodes, outcome %s; want %d, %d, %s", len(peers.sentTo), len(nodes), got.Outcome, c.sends, c.nodes, c.outcome)
			}
			delivered := false
			for i, a := range peers.attempts {
				if a.Resent != delivered {
					t.Errorf("attempt %d is marked as sent again: %t, want %t", i, a.Resent, delivered)
				}
				kind := c.replies[min(i, len(c.replies)-1)]
				delivered = delivered || kind == rejected || kind == lost
			}
		})
	}
}

// TestNodeHearsAgainWhatItsWorkerSaid has a node start again after its reply said that its
// worker leaves. The next attempt must tell it.
func TestNodeHearsAgainWhatItsWorkerSaid(t *testing.T) {
	heard := &zinniayoke.HeardNotice{Incarnation: 1, Notice: zinniayoke.WorkerNotice{Leaving: true}}
	peers := &fakePeers{replies: []reply{refused}, heard: heard}
	r := &restartedNode{run: 1}
	s := zyegress.New(zyegress.Config{
		Peers: peers, Resolver: r, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(),
		Quarantine: zyquarantine.New(zyquarantine.Config{MaxRecords: 10}), Meter: nopMeter{}, WorkersLimitRetries: true,
		Bundle: func() *zybundle.Bundle { return &zybundle.Bundle{} }, Notices: zynotice.NewMemory(),
		Picker: zybalancer.New(zybalancer.Config{Resolver: r, Random: rand.New(rand.NewPCG(1, 1))}),
	})
	for ; r.run <= 2; r.run++ {
		s.Send(context.Background(), zyegress.SendParams{
			Call:   &zinniayoke.Call{Request: "r", Service: "s", Deadline: time.Now().Add(time.Minute)},
			Route:  &zybundle.Route{Attempts: 1},
			Budget: zyattempt.NewBudget(1, 1),
		})
	}
	if first, second := peers.attempts[0].Heard, peers.attempts[1].Heard; first != nil || second != heard {
		t.Errorf("the attempts carry %+v and %+v, want nil and what the worker said", first, second)
	}
}

// restartedNode resolves to one node, in the run of that number.
type restartedNode struct {
	run int
}

func (n *restartedNode) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	return []zinniayoke.Upstream{{Node: zinniayoke.NodeID(fmt.Sprint("host/", n.run)), Service: s, State: zinniayoke.WorkerServing, Slots: 10}}
}

// TestLostReplyIsNoRefusal checks that a call whose reply was lost is not announced to the
// next node as one that others have refused: it is no demand that others could not meet.
func TestLostReplyIsNoRefusal(t *testing.T) {
	peers := &fakePeers{replies: []reply{lost, done}}
	workers := upstreams(5)
	s := zyegress.New(zyegress.Config{
		Peers: peers, Resolver: workers, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(),
		Quarantine: zyquarantine.New(zyquarantine.Config{MaxRecords: 10}), Meter: nopMeter{}, WorkersLimitRetries: true,
		Bundle: func() *zybundle.Bundle { return &zybundle.Bundle{} },
		Picker: zybalancer.New(zybalancer.Config{Resolver: workers, Random: rand.New(rand.NewPCG(1, 1))}),
	})
	s.Send(context.Background(), zyegress.SendParams{
		Call:  &zinniayoke.Call{Request: "r", Service: "s", Deadline: time.Now().Add(time.Minute)},
		Route: &zybundle.Route{Attempts: 2}, Budget: zyattempt.NewBudget(2, 1),
	})
	if len(peers.attempts) != 2 || peers.attempts[1].RefusedElsewhere {
		t.Errorf("%d attempts, want the second one without a refusal elsewhere", len(peers.attempts))
	}
}

// TestRetriesErrorsOfWorkers has a worker respond with an error. If the bundle asks for it
// and the call may be repeated, another worker gets it; if that one does not run it, the
// client must get the response of the first.
func TestRetriesErrorsOfWorkers(t *testing.T) {
	for _, c := range []struct {
		name        string
		retryErrors bool
		neverRepeat bool
		replies     []reply
		sends       int
		status      int
	}{
		{"retried", true, false, []reply{failed, done}, 2, 200},
		{"not asked for", false, false, []reply{failed, done}, 1, 500},
		{"must not be repeated", true, true, []reply{failed, done}, 1, 500},
		{"a call of the run failed", true, false, []reply{failedBelow, done}, 1, 500},
		{"two workers fail", true, false, []reply{failed, failed, done}, 2, 500},
		{"no retry left", true, false, []reply{failed, noRetry}, 2, 500},
		{"the retry is lost", true, false, []reply{failed, lost}, 2, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			peers, workers := &fakePeers{replies: c.replies}, upstreams(5)
			s := zyegress.New(zyegress.Config{
				Peers: peers, Resolver: workers, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(),
				Quarantine: zyquarantine.New(zyquarantine.Config{MaxRecords: 10}), Meter: nopMeter{}, WorkersLimitRetries: true,
				Bundle: func() *zybundle.Bundle { return &zybundle.Bundle{RetryErrors: c.retryErrors} },
				Picker: zybalancer.New(zybalancer.Config{Resolver: workers, Random: rand.New(rand.NewPCG(1, 1))}),
			})
			got := s.Send(context.Background(), zyegress.SendParams{
				Call:  &zinniayoke.Call{Request: "r", Service: "s", Deadline: time.Now().Add(time.Minute)},
				Route: &zybundle.Route{NeverRepeat: c.neverRepeat, Attempts: 2}, Budget: zyattempt.NewBudget(2, 1),
			})
			if len(peers.sentTo) != c.sends || got.Response == nil || got.Response.Status != c.status {
				t.Errorf("sent %d times, response %+v; want %d times and status %d", len(peers.sentTo), got.Response, c.sends, c.status)
			}
		})
	}
}
