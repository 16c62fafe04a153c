package zygraph_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zygraph"
)

// TestCallersTellWorkersFromClients plays routes that are called from the hosts
// of some of the services in turn.
func TestCallersTellWorkersFromClients(t *testing.T) {
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
		{"one service's workers", 4, all[:1], 200, true},
		{"the workers of two services that share the parent's route", 4, all[:2], 200, true},
		{"clients on three of four services", 4, all[:3], 200, false},
		{"clients", 4, all, 200, false},
		{"clients at the first calls", 4, all, 8, false},
		{"too few calls", 4, all[:1], 7, false},
		{"clients where there is one service", 1, all[:1], 200, false},
		{"clients where there are two", 2, all[:2], 200, false},
		{"one of two services' workers", 2, all[:1], 200, true},
		{"clients of many services", 500, many, 30, false},
		{"two of many services' workers", 500, many[:2], 30, true},
	} {
		callers := zygraph.NewCallerClassifier(func() int { return c.services })
		now := time.Now()
		got := false
		for i := range c.calls {
			now = now.Add(10 * time.Millisecond)
			got = callers.Observe(now, "r", c.from[i%len(c.from)])
		}
		if got != c.want {
			t.Errorf("%s: calls of workers %v, want %v", c.name, got, c.want)
		}
	}
}

// TestStraysAreNoWorkers has a client on another service's host call a route that
// workers call.
func TestStraysAreNoWorkers(t *testing.T) {
	callers := zygraph.NewCallerClassifier(func() int { return 4 })
	now := time.Now()
	for range 100 {
		callers.Observe(now, "inner", "orderdesk")
	}
	if callers.Observe(now, "inner", "stockroom") {
		t.Error("a stray call was taken for one of workers")
	}
	if !callers.Observe(now, "inner", "orderdesk") {
		t.Error("a stray call hides those of workers")
	}
}

// TestBurdensPassThroughTheChain replays a worker that runs sheets, which make
// four calls each, and orders, which make none. A few calls match by chance.
func TestBurdensPassThroughTheChain(t *testing.T) {
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
			g.ObserveReply(now, "spec", true, []zinniayoke.ServiceCost{{Service: "settings", Cost: 0.04, ExcessShare: 0.3}})
		}
		// A client's call leads to another service, which is no burden of the runs.
		g.ObserveCall(now, "read", "")
		g.ObserveReply(now, "read", false, []zinniayoke.ServiceCost{{Service: "other", Cost: 1, ExcessShare: 1}})
	}
	find := func(route zinniayoke.RouteName, s zinniayoke.Service) zinniayoke.ServiceCost {
		for _, b := range g.Costs(now, "orderdesk", route, 0.1) {
			if b.Service == s {
				return b
			}
		}
		return zinniayoke.ServiceCost{}
	}
	if b := find("sheet", "settings"); math.Abs(b.Cost-0.16) > 0.03 || math.Abs(b.ExcessShare-0.3) > 0.01 {
		t.Errorf("a sheet costs %+v, want 0.16 s of settings with a share of 0.3", b)
	}
	if b := find("sheet", "orderdesk"); math.Abs(b.Cost-0.2) > 0.02 || b.ExcessShare != 0.1 {
		t.Errorf("a sheet costs %+v, want 0.2 s of its own service", b)
	}
	if b := find("order", "settings"); b.Cost != 0 {
		t.Errorf("an order costs %+v, want nothing of settings", b)
	}
	if b := find("sheet", "other"); b.Cost != 0 {
		t.Errorf("a client's call burdens a run: %+v", b)
	}
}

func TestBurdensAreForgotten(t *testing.T) {
	g := zygraph.New()
	now := time.Now()
	g.ObserveRun(now, "sheet", time.Second)
	g.ObserveCall(now, "spec", "sheet")
	g.ObserveReply(now, "spec", true, []zinniayoke.ServiceCost{{Service: "settings", Cost: 1, ExcessShare: 1}})
	if n := len(g.Costs(now, "orderdesk", "sheet", 0)); n != 2 {
		t.Fatalf("%d burdens, want 2", n)
	}
	if n := len(g.Costs(now.Add(time.Minute), "orderdesk", "sheet", 0)); n != 1 {
		t.Errorf("%d burdens a minute later, want the own one", n)
	}
}
