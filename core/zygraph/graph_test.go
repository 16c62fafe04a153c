package zygraph_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zygraph"
)

// TestClassifierDistinguishesWorkersFromClients has the hosts of some of the services
// call a route in turn.
func TestClassifierDistinguishesWorkersFromClients(t *testing.T) {
	all := []zinniayoke.Caller{"orderdesk", "stockroom", "grindshop", "settings"}
	many := make([]zinniayoke.Caller, 500)
	for i := range many {
		many[i] = zinniayoke.Caller(fmt.Sprint("s", i))
	}
	for _, c := range []struct {
		name     string
		services int
		from     []zinniayoke.Caller
		calls    int
		want     bool
	}{
		{"workers of one service", 4, all[:1], 200, true},
		{"workers of two services that share the parent's route", 4, all[:2], 200, true},
		{"clients on three of four services", 4, all[:3], 200, false},
		{"clients", 4, all, 200, false},
		{"first calls of clients", 4, all, 8, false},
		{"too few calls", 4, all[:1], 7, false},
		{"clients with one service", 1, all[:1], 200, false},
		{"clients with two services", 2, all[:2], 200, false},
		{"workers of one of two services", 2, all[:1], 200, true},
		{"clients of many services", 500, many, 30, false},
		{"workers of two of many services", 500, many[:2], 30, true},
	} {
		classifier := zygraph.NewCallerClassifier(func() int { return c.services })
		now := time.Now()
		got := false
		for i := range c.calls {
			now = now.Add(10 * time.Millisecond)
			got = classifier.Observe(now, "r", c.from[i%len(c.from)])
		}
		if got != c.want {
			t.Errorf("%s: called by workers: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestStrayCallsAreNotFromWorkers has a client on the host of another service call
// a route that workers call.
func TestStrayCallsAreNotFromWorkers(t *testing.T) {
	classifier := zygraph.NewCallerClassifier(func() int { return 4 })
	now := time.Now()
	for range 100 {
		classifier.Observe(now, "inner", "orderdesk")
	}
	if classifier.Observe(now, "inner", "stockroom") {
		t.Error("the call of a client was attributed to a worker")
	}
	if !classifier.Observe(now, "inner", "orderdesk") {
		t.Error("the call of a worker was not recognized after a client's call")
	}
}

// TestCostsPropagateUpTheChain has a worker run sheets, which make four calls each,
// and orders, which make none. A few calls match an order by chance.
func TestCostsPropagateUpTheChain(t *testing.T) {
	g := zygraph.New()
	now := time.Now()
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		g.ObserveRun(now, "sheet", 200*time.Millisecond)
		g.ObserveRun(now, "order", 100*time.Millisecond)
		for call := range 4 {
			parent := zinniayoke.RouteName("")
			switch {
			case call == 0:
				parent = "sheet"
			case i%10 == 0 && call == 1:
				parent = "order"
			}
			g.ObserveCall(now, "spec", parent)
			g.ObserveReply(now, "spec", &zinniayoke.Reply{Delivered: true, CalledByWorkers: true, Costs: []zinniayoke.ServiceCost{{Service: "settings", Cost: 0.04, ExcessShare: 0.3}}})
		}
		// A client on the host calls another service; no run causes this cost.
		g.ObserveCall(now, "read", "")
		g.ObserveReply(now, "read", &zinniayoke.Reply{Delivered: true, CalledByWorkers: false, Costs: []zinniayoke.ServiceCost{{Service: "other", Cost: 1, ExcessShare: 1}}})
	}
	find := func(route zinniayoke.RouteName, s zinniayoke.Service) zinniayoke.ServiceCost {
		for _, c := range g.Costs(now, "orderdesk", route, 0.1) {
			if c.Service == s {
				return c
			}
		}
		return zinniayoke.ServiceCost{}
	}
	if c := find("sheet", "settings"); math.Abs(c.Cost-0.16) > 0.03 || math.Abs(c.ExcessShare-0.3) > 0.01 {
		t.Errorf("a sheet costs %+v, want 0.16 s of settings with an excess share of 0.3", c)
	}
	if c := find("sheet", "orderdesk"); math.Abs(c.Cost-0.2) > 0.02 || c.ExcessShare != 0.1 {
		t.Errorf("a sheet costs %+v, want 0.2 s of its own service with an excess share of 0.1", c)
	}
	if c := find("order", "settings"); c.Cost != 0 {
		t.Errorf("an order costs %+v, want no cost to settings", c)
	}
	if c := find("sheet", "other"); c.Cost != 0 {
		t.Errorf("the cost of a client's call was attributed to a run: %+v", c)
	}
}

// TestCostsExpire checks that the cost of a child call is dropped if no reply has
// repeated it for a while, so that it does not cause refusals for a service that is no
// longer called.
func TestCostsExpire(t *testing.T) {
	g := zygraph.New()
	now := time.Now()
	g.ObserveRun(now, "sheet", time.Second)
	g.ObserveCall(now, "spec", "sheet")
	g.ObserveReply(now, "spec", &zinniayoke.Reply{Delivered: true, CalledByWorkers: true, Costs: []zinniayoke.ServiceCost{{Service: "settings", Cost: 1, ExcessShare: 1}}})
	if n := len(g.Costs(now, "orderdesk", "sheet", 0)); n != 2 {
		t.Fatalf("%d costs, want 2: the own service and settings", n)
	}
	if n := len(g.Costs(now.Add(time.Minute), "orderdesk", "sheet", 0)); n != 1 {
		t.Errorf("%d costs a minute later, want 1: the own service", n)
	}
}

// TestRefusalKeepsCaller has a node refuse a call before it looks at the caller, as nodes
// do that are stopping or have no retry left. The calls after it would count as calls of
// clients, which go before those of workers.
func TestRefusalKeepsCaller(t *testing.T) {
	g := zygraph.New()
	now := time.Now()
	g.ObserveReply(now, "spec", &zinniayoke.Reply{Delivered: true, CalledByWorkers: true})
	g.ObserveReply(now, "spec", &zinniayoke.Reply{Reason: zinniayoke.ReasonDraining, Outcome: zinniayoke.OutcomeNotRun})
	if !g.CalledByWorkers("spec") {
		t.Error("after a refusal, calls of workers count as those of clients")
	}
	g.ObserveReply(now, "spec", &zinniayoke.Reply{Delivered: true})
	if g.CalledByWorkers("spec") {
		t.Error("a reply of a worker that does not report its callers as workers is ignored")
	}
}
