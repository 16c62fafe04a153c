package zyegress_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zythreshold"
)

// busyPeers refuses the first attempts as busy, in place of the first of replies.
type busyPeers struct {
	fakePeers
	busy int
}

func (p *busyPeers) Run(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	if len(p.attempts) >= p.busy {
		return p.fakePeers.Run(ctx, to, a)
	}
	p.sentTo, p.attempts = append(p.sentTo, to.Node), append(p.attempts, a)
	report := &zinniayoke.LoadReport{Limit: 9, Running: 9, Waiting: 9, Speed: 1, HoldTime: time.Second}
	return &zinniayoke.Reply{
		Attempt: a.ID, Request: a.Request, Unused: a.Tokens, Outcome: zinniayoke.OutcomeNotRun, Reason: zinniayoke.ReasonBusy, Report: report,
	}, nil
}

// countingLoadMeter counts the redirections.
type countingLoadMeter struct {
	zinniayoke.NopLoadMeter
	redirects int
}

func (m *countingLoadMeter) CountRedirect(zinniayoke.Distance) { m.redirects++ }

// TestRedirection guards against a busy refusal that costs an attempt, counts as a refusal or
// a delivery for the next node, or is repeated without end, and against an unsafe call that
// is sent again after the node to which it was redirected has crashed with it.
func TestRedirection(t *testing.T) {
	for _, c := range []struct {
		name        string
		off         bool
		workers     upstreams
		busy        int
		replies     []reply
		neverRepeat bool
		sends       int
		redirects   int
		outcome     zinniayoke.Outcome
	}{
		{"not busy", false, 5, 0, []reply{done}, true, 1, 0, zinniayoke.OutcomeDone},
		{"busy once", false, 5, 1, []reply{done}, true, 2, 1, zinniayoke.OutcomeDone},
		{"busy twice", false, 5, 2, []reply{done}, true, 3, 2, zinniayoke.OutcomeDone},
		{"only worker", false, 1, 0, []reply{done}, true, 1, 0, zinniayoke.OutcomeDone},
		{"nodes that refuse the last choice too", false, 9, 99, []reply{done}, true, 6, 2, zinniayoke.OutcomeNotRun},
		{"switched off, but refused as busy", true, 9, 99, []reply{done}, true, 4, 0, zinniayoke.OutcomeNotRun},
		{"the second node crashes with an unsafe call", false, 5, 1, []reply{done, lost, done}, true, 2, 1, zinniayoke.OutcomeUnknown},
		{"the second node crashes with a safe call", false, 5, 1, []reply{done, lost, done}, false, 3, 1, zinniayoke.OutcomeDone},
		{"the second worker rejects", false, 5, 1, []reply{done, rejected, done}, true, 3, 1, zinniayoke.OutcomeDone},
	} {
		t.Run(c.name, func(t *testing.T) {
			peers, meter := &busyPeers{fakePeers: fakePeers{replies: c.replies}, busy: c.busy}, &countingLoadMeter{}
			s := zyegress.New(zyegress.Config{
				Peers: peers, Resolver: c.workers, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(),
				Quarantine: zyquarantine.New(zyquarantine.Config{MaxRecords: 10}), Meter: nopMeter{}, WorkersLimitRetries: true,
				Bundle: func() *zybundle.Bundle { return &zybundle.Bundle{EvenLoad: !c.off} }, LoadMeter: meter,
				Picker: zybalancer.New(zybalancer.Config{Resolver: c.workers, Random: rand.New(rand.NewPCG(1, 1))}),
			})
			const attempts = 2
			got := s.Send(context.Background(), zyegress.SendParams{
				Call:   &zinniayoke.Call{Request: "r", Service: "s", Deadline: time.Now().Add(time.Minute), MaxWait: 100 * time.Millisecond},
				Route:  &zybundle.Route{NeverRepeat: c.neverRepeat, Attempts: attempts},
				Budget: zyattempt.NewBudget(attempts, 1),
			})
			if len(peers.attempts) != c.sends || meter.redirects != c.redirects || got.Outcome != c.outcome {
				t.Errorf("%d sends, %d redirections, outcome %s; want %d, %d, %s", len(peers.attempts), meter.redirects, got.Outcome, c.sends, c.redirects, c.outcome)
			}
			for i, a := range peers.attempts {
				if i <= c.redirects && (a.RefusedElsewhere || a.Resent) {
					t.Errorf("attempt %d says that the call was refused or delivered before", i)
				}
				if last := min(i, c.redirects) >= 2 || c.off || c.workers == 1; last && a.RedirectAfter != 0 {
					t.Errorf("attempt %d is the last choice and may be refused as busy", i)
				}
			}
			if c.redirects > 0 && peers.sentTo[0] == peers.sentTo[1] {
				t.Errorf("the call went to %s again, which is busy", peers.sentTo[0])
			}
		})
	}
}
