package zygraph_test

import (
	"math"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zygraph"
)

func TestCallersTellWorkersFromClients(t *testing.T) {
	c := zygraph.NewCallers()
	now := time.Now()
	var inner, outer bool
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		inner = c.Note(now, "inner", "orderdesk")
		outer = c.Note(now, "outer", []zinniayoke.Caller{"orderdesk", "stockroom", "grindshop"}[i%3])
	}
	if !inner {
		t.Error("calls from one service's hosts were taken for those of clients")
	}
	if outer {
		t.Error("calls from all hosts were taken for those of workers")
	}
	if c.Note(now, "new", "orderdesk") {
		t.Error("a route was judged by its first call")
	}
}

// TestBurdensPassThroughTheChain replays a worker that runs sheets, which make
// four calls each, and orders, which make none. A few calls match by chance.
func TestBurdensPassThroughTheChain(t *testing.T) {
	g := zygraph.New()
	now := time.Now()
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		g.Run(now, "sheet", 200*time.Millisecond)
		g.Run(now, "order", 100*time.Millisecond)
		for call := range 4 {
			parent := zinniayoke.RouteName("")
			switch {
			case call == 0:
				parent = "sheet"
			case i%10 == 0 && call == 1:
				parent = "order"
			}
			g.Call(now, "spec", parent)
			g.Learn(now, "spec", true, []zinniayoke.Burden{{Service: "settings", Cost: 0.04, Share: 0.3}})
		}
		// A client's call leads to another service, which is no burden of the runs.
		g.Call(now, "read", "")
		g.Learn(now, "read", false, []zinniayoke.Burden{{Service: "other", Cost: 1, Share: 1}})
	}
	find := func(route zinniayoke.RouteName, s zinniayoke.Service) zinniayoke.Burden {
		for _, b := range g.Burdens(now, "orderdesk", route, 0.1) {
			if b.Service == s {
				return b
			}
		}
		return zinniayoke.Burden{}
	}
	if b := find("sheet", "settings"); math.Abs(b.Cost-0.16) > 0.03 || math.Abs(b.Share-0.3) > 0.01 {
		t.Errorf("a sheet costs %+v, want 0.16 s of settings with a share of 0.3", b)
	}
	if b := find("sheet", "orderdesk"); math.Abs(b.Cost-0.2) > 0.02 || b.Share != 0.1 {
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
	g.Run(now, "sheet", time.Second)
	g.Call(now, "spec", "sheet")
	g.Learn(now, "spec", true, []zinniayoke.Burden{{Service: "settings", Cost: 1, Share: 1}})
	if n := len(g.Burdens(now, "orderdesk", "sheet", 0)); n != 2 {
		t.Fatalf("%d burdens, want 2", n)
	}
	if n := len(g.Burdens(now.Add(time.Minute), "orderdesk", "sheet", 0)); n != 1 {
		t.Errorf("%d burdens a minute later, want the own one", n)
	}
}
