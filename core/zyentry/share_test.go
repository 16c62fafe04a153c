package zyentry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyfence"
	"zinniayoke/core/zygraph"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zysplit"
	"zinniayoke/core/zythreshold"
	"zinniayoke/core/zytimer"
)

// oneHost is a node whose worker calls a second route for each call of the first one. It
// implements the peer client, resolver, meter and worker of that node.
type oneHost struct {
	entry    *zyentry.Entry
	receiver *zyingress.Receiver
	attempts []*zinniayoke.Attempt
}

func (h *oneHost) Run(ctx context.Context, _ zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	h.attempts = append(h.attempts, a)
	return h.receiver.Run(ctx, a), nil
}

func (h *oneHost) Query(context.Context, zinniayoke.Upstream, zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{State: zinniayoke.AttemptLost}, nil
}

func (h *oneHost) Cancel(zinniayoke.Upstream, zinniayoke.AttemptID) {}

func (h *oneHost) Withdraw(zinniayoke.Upstream, zinniayoke.AttemptID) {}

func (h *oneHost) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	return []zinniayoke.Upstream{{Node: "n", Service: s, State: zinniayoke.WorkerServing, Slots: 10}}
}

func (h *oneHost) ObserveCall(zinniayoke.CallSample)       {}
func (h *oneHost) ObserveAttempt(zinniayoke.AttemptSample) {}
func (h *oneHost) CountSent(zinniayoke.Service)            {}
func (h *oneHost) CountMismatch()                          {}

// worker is the worker of a oneHost.
type worker struct{ *oneHost }

func (w worker) Probe(context.Context) error { return nil }

func (w worker) Run(ctx context.Context, call *zinniayoke.WorkerCall) (*zinniayoke.Response, bool, error) {
	if call.Attempt.Route == "front" {
		w.entry.Handle(ctx, &zyentry.Inbound{Host: "back", HTTP: get, Arrived: time.Now(), Timeout: call.Timeout})
	}
	return &zinniayoke.Response{Status: http.StatusOK}, true, nil
}

var get = &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}}

// TestChildCallsCountForTheCustomer guards against calls of workers that count for no
// customer, and against telling the worker a customer whose key the call did not carry.
func TestChildCallsCountForTheCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bundle, err := zybundle.Compose(zybundle.Composition{
			Version: 1, Services: []zybundle.Service{{Name: "s"}},
			Routes: []zybundle.PrefixRoute{
				{Route: zybundle.Route{Name: "front", Host: "front", Prefix: "/", Service: "s", Timeout: time.Second, Attempts: 2, MaxBody: 1}},
				{Route: zybundle.Route{Name: "back", Host: "back", Prefix: "/", Service: "s", Timeout: time.Second, Attempts: 2, MaxBody: 1, Public: true}},
			},
			Customers: []zybundle.Customer{{
				Name: "pulo", KeyHashes: []zybundle.KeyHash{zybundle.HashKey("K")}, Limit: zinniayoke.CustomerLimit{Rate: 8},
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		h := &oneHost{}
		parents, timer, quarantine := &zyparent.Table{}, zytimer.New(), zyquarantine.New(zyquarantine.Config{MaxRecords: 10})
		current := func() *zybundle.Bundle { return bundle }
		h.receiver = zyingress.New(zyingress.Config{
			Node: "n", Bundle: current, Quarantine: quarantine, Parents: parents, Timer: timer, Meter: h,
			Fence: zyfence.New(zyfence.Config{MaxAttempts: 100, MaxResponseBytes: 1000, Retention: time.Minute}),
		})
		defer timer.Stop()
		defer h.receiver.Close()
		if _, err := h.receiver.HandleAnnouncement(
			zyingress.Announcement{Service: "s", Address: "10.0.0.1:80", Slots: 10, Connections: 10, State: zinniayoke.WorkerServing},
			func(zyingress.Announcement) zinniayoke.Worker { return worker{h} },
		); err != nil {
			t.Fatal(err)
		}
		graph := zygraph.New()
		graph.ObserveReply(time.Now(), "back", &zinniayoke.Reply{CalledByWorkers: true})
		h.entry = zyentry.New(zyentry.Config{
			Bundle: current, Parents: parents, Thresholds: zythreshold.New(), Quarantine: quarantine, Shares: zyrank.NewShares(), Meter: h,
			Graph: graph, Shedder: zybackpressure.NewShedder(), Splits: zysplit.New(rand.New(rand.NewPCG(1, 1))),
			Sender: zyegress.New(zyegress.Config{
				Peers: h, Resolver: h, Thresholds: zythreshold.New(), RetryBudgets: zyattempt.NewCallerRetryBudgets(), Quarantine: quarantine,
				Meter: h, Bundle: current, Picker: zybalancer.New(zybalancer.Config{Resolver: h, Random: rand.New(rand.NewPCG(1, 1))}),
			}),
		})
		result := h.entry.Handle(context.Background(), &zyentry.Inbound{
			Host: "front", CustomerKey: "K", HTTP: get, Arrived: time.Now(), Timeout: 500 * time.Millisecond,
		})
		if result.Reply.Outcome != zinniayoke.OutcomeDone || len(h.attempts) != 2 {
			t.Fatalf("%d attempts with reply %+v, want the call and one of its worker", len(h.attempts), result.Reply)
		}
		for i, want := range []struct{ customer, share zinniayoke.Customer }{{"pulo", "pulo"}, {"", "pulo"}} {
			if a := h.attempts[i]; a.Customer != want.customer || a.Share != want.share {
				t.Errorf("attempt of route %s: customer %q and share %q, want %q and %q", a.Route, a.Customer, a.Share, want.customer, want.share)
			}
		}
	})
}
