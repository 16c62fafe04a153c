// Package zydemo runs a complete deployment in one process over loopback sockets:
// the log, the workers and their nodes, two operators, and callers that produce
// steady load, a surge, and steady load again.
package zydemo

import (
	"time"

	"zinniayoke"
	"zinniayoke/io/zyload"
	"zinniayoke/io/zystandin"
)

// Deployment describes an example deployment: its bundle, hosts and load.
type Deployment struct {
	Bundle   string
	Domains  []zinniayoke.Locality
	Services []Service
	// SteadyFlows run all the time, SurgeFlows in addition during the surge.
	SteadyFlows []zyload.Flow
	SurgeFlows  []zyload.Flow
	// Classes are the classes of the flows, in the order of the report.
	Classes []string
}

// Service describes the workers of one service. Each failure domain has one.
type Service struct {
	Name           zinniayoke.Service
	Slots          int
	MaxConnections int
	Actions        map[string]zystandin.Action
}

const (
	serviceTime           = 20 * time.Millisecond
	bottleneckServiceTime = 60 * time.Millisecond
	get                   = "GET"
	post                  = "POST"
)

// Deployments returns the example deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{"hollander": hollander(), "tabighi": tabighi()}
}

// serviceChain holds the names, paths and sizes of a deployment with four services
// in a chain of calls; the last one is the bottleneck.
type serviceChain struct {
	front, middle, back, bottleneck                                           zinniayoke.Service
	frontWritePath, middleWritePath, middleReadPath, backPath, bottleneckPath string
	slots, maxConnections, bottleneckSlots, bottleneckMaxConnections          int
}

// services returns the services of the chain: front calls middle, which calls
// back, which calls bottleneck.
func (c serviceChain) services() []Service {
	backCall := zystandin.ChildCall{Method: get, Service: c.back, Path: c.backPath}
	return []Service{
		{Name: c.front, Slots: c.slots, MaxConnections: c.maxConnections, Actions: map[string]zystandin.Action{
			post + " " + c.frontWritePath: {MeanServiceTime: serviceTime, CountRuns: true, ChildCalls: []zystandin.ChildCall{{Method: get, Service: c.middle, Path: c.middleReadPath}}},
		}},
		{Name: c.middle, Slots: c.slots, MaxConnections: c.maxConnections, Actions: map[string]zystandin.Action{
			post + " " + c.middleWritePath: {MeanServiceTime: serviceTime, CountRuns: true, ChildCalls: []zystandin.ChildCall{backCall}},
			get + " " + c.middleReadPath:   {MeanServiceTime: serviceTime, ChildCalls: []zystandin.ChildCall{backCall}},
		}},
		{Name: c.back, Slots: c.slots, MaxConnections: c.maxConnections, Actions: map[string]zystandin.Action{
			get + " " + c.backPath: {MeanServiceTime: serviceTime, ChildCalls: []zystandin.ChildCall{{Method: get, Service: c.bottleneck, Path: c.bottleneckPath}}},
		}},
		{Name: c.bottleneck, Slots: c.bottleneckSlots, MaxConnections: c.bottleneckMaxConnections, Actions: map[string]zystandin.Action{
			get + " " + c.bottleneckPath: {MeanServiceTime: bottleneckServiceTime},
		}},
	}
}

func hollander() Deployment {
	c := serviceChain{
		front: "orderdesk", middle: "grindshop", back: "stockroom", bottleneck: "settings",
		frontWritePath: "/orders", middleWritePath: "/regrinds", middleReadPath: "/capacity", backPath: "/parts", bottleneckPath: "/gaps",
		slots: 40, maxConnections: 350, bottleneckSlots: 10, bottleneckMaxConnections: 160,
	}
	lookups := zyload.Flow{Class: "lookup", Caller: "foremen-kurume", Token: "demo-foremen-kurume", Method: get, Service: "settings", Path: "/gaps"}
	parts := zyload.Flow{Class: "lookup", Caller: "foremen-kagoshima", Token: "demo-foremen-kagoshima", Method: get, Service: "stockroom", Path: "/parts"}
	regrinds := zyload.Flow{Class: "regrind", Caller: "fitters-yame", Token: "demo-fitters-yame", Method: post, Service: "grindshop", Path: "/regrinds", Keyed: true}
	orders := zyload.Flow{Class: "order", Caller: "fitters-ibusuki", Token: "demo-fitters-ibusuki", Method: post, Service: "orderdesk", Path: "/orders", Keyed: true}
	return Deployment{
		Bundle: "hollander.bundle.ini", Services: c.services(), Classes: []string{"order", "regrind", "lookup"},
		Domains: []zinniayoke.Locality{
			{Domain: "kurume", Region: "chikugo"}, {Domain: "yame", Region: "chikugo"},
			{Domain: "kagoshima", Region: "satsuma"}, {Domain: "ibusuki", Region: "satsuma"},
		},
		SteadyFlows: flows(lookups, parts, regrinds, orders, steadyRates(), 0),
		SurgeFlows:  flows(lookups, parts, regrinds, orders, surgeRates(), surgeRetries),
	}
}

func tabighi() Deployment {
	c := serviceChain{
		front: "intake-desk", middle: "crew-desk", back: "rota-board", bottleneck: "line-watch",
		frontWritePath: "/slots", middleWritePath: "/confirmations", middleReadPath: "/crews", backPath: "/rota", bottleneckPath: "/lines",
		slots: 220, maxConnections: 1400, bottleneckSlots: 25, bottleneckMaxConnections: 250,
	}
	lines := zyload.Flow{Class: "page", Caller: "franchise-south", Token: "demo-franchise-south", Method: get, Service: "line-watch", Path: "/lines"}
	rota := zyload.Flow{Class: "page", Caller: "franchise-north", Token: "demo-franchise-north", Method: get, Service: "rota-board", Path: "/rota"}
	confirmations := zyload.Flow{Class: "confirmation", Caller: "managers-south", Token: "demo-managers-south", Method: post, Service: "crew-desk", Path: "/confirmations", Keyed: true}
	bookings := zyload.Flow{Class: "booking", Caller: "managers-north", Token: "demo-managers-north", Method: post, Service: "intake-desk", Path: "/slots", Keyed: true}
	return Deployment{
		Bundle: "tabighi.bundle.ini", Services: c.services(), Classes: []string{"booking", "confirmation", "page"},
		Domains: []zinniayoke.Locality{
			{Domain: "almat-a", Region: "south"}, {Domain: "shym-b", Region: "south"},
			{Domain: "astan-a", Region: "north"}, {Domain: "karag-b", Region: "north"},
		},
		SteadyFlows: flows(lines, rota, confirmations, bookings, steadyRates(), 0),
		SurgeFlows:  flows(lines, rota, confirmations, bookings, surgeRates(), surgeRetries),
	}
}

// surgeRetries is how often callers retry a failed call during the surge.
const surgeRetries = 3

// rates holds calls per second by the service that the calls enter at.
type rates struct {
	bottleneck, back, middle, front float64
}

func steadyRates() rates {
	return rates{bottleneck: 120, back: 60, middle: 40, front: 40}
}

func surgeRates() rates {
	return rates{bottleneck: 900, back: 300, middle: 40, front: 60}
}

// flows returns the flows with the given rates and number of retries.
func flows(bottleneck, back, middle, front zyload.Flow, r rates, retries int) []zyload.Flow {
	bottleneck.Rate, back.Rate, middle.Rate, front.Rate = r.bottleneck, r.back, r.middle, r.front
	all := []zyload.Flow{bottleneck, back, middle, front}
	for i := range all {
		all[i].MaxRetries = retries
	}
	return all
}
