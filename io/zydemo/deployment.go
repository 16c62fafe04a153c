// Package zydemo runs a whole deployment in one process over loopback sockets:
// the log, the workers and their nodes, two operators, and callers through a
// steady phase, a surge and a steady phase.
package zydemo

import (
	"time"

	"zinniayoke"
	"zinniayoke/io/zyload"
	"zinniayoke/io/zystandin"
)

// Deployment describes one of the users' deployments.
type Deployment struct {
	Bundle   string
	Domains  []zinniayoke.Locality
	Services []Service
	// SteadyFlows are the flows of ordinary days; Surge are added in the surge.
	SteadyFlows []zyload.Flow
	SurgeFlows  []zyload.Flow
	// Counted names the service and class whose runs must be unique.
	Classes []string
}

// Service describes the workers of one service, one in each failure domain.
type Service struct {
	Name           zinniayoke.Service
	Slots          int
	MaxConnections int
	Actions        map[string]zystandin.Action
}

const (
	shallowTime = 20 * time.Millisecond
	deepTime    = 60 * time.Millisecond
	get         = "GET"
	post        = "POST"
)

// Deployments returns the users' deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{"hollander": hollander(), "tabighi": tabighi()}
}

// chain holds the paths of a deployment whose services have the same shape.
type chain struct {
	desk, mid, list, deep                    zinniayoke.Service
	book, change, check, listPath, deepPath  string
	deskSlots, deskConns, deepSlots, deepCon int
}

// services returns the services of a chain: the desk calls mid, which calls
// list, which calls deep.
func (c chain) services() []Service {
	toList := zystandin.ChildCall{Method: get, Service: c.list, Path: c.listPath}
	return []Service{
		{Name: c.desk, Slots: c.deskSlots, MaxConnections: c.deskConns, Actions: map[string]zystandin.Action{
			post + " " + c.book: {MeanServiceTime: shallowTime, CountRuns: true, ChildCalls: []zystandin.ChildCall{{Method: get, Service: c.mid, Path: c.check}}},
		}},
		{Name: c.mid, Slots: c.deskSlots, MaxConnections: c.deskConns, Actions: map[string]zystandin.Action{
			post + " " + c.change: {MeanServiceTime: shallowTime, CountRuns: true, ChildCalls: []zystandin.ChildCall{toList}},
			get + " " + c.check:   {MeanServiceTime: shallowTime, ChildCalls: []zystandin.ChildCall{toList}},
		}},
		{Name: c.list, Slots: c.deskSlots, MaxConnections: c.deskConns, Actions: map[string]zystandin.Action{
			get + " " + c.listPath: {MeanServiceTime: shallowTime, ChildCalls: []zystandin.ChildCall{{Method: get, Service: c.deep, Path: c.deepPath}}},
		}},
		{Name: c.deep, Slots: c.deepSlots, MaxConnections: c.deepCon, Actions: map[string]zystandin.Action{
			get + " " + c.deepPath: {MeanServiceTime: deepTime},
		}},
	}
}

func hollander() Deployment {
	c := chain{
		desk: "orderdesk", mid: "grindshop", list: "stockroom", deep: "settings",
		book: "/orders", change: "/regrinds", check: "/capacity", listPath: "/parts", deepPath: "/gaps",
		deskSlots: 40, deskConns: 350, deepSlots: 10, deepCon: 160,
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
		SurgeFlows:  flows(lookups, parts, regrinds, orders, surgeRates(), surgeResends),
	}
}

func tabighi() Deployment {
	c := chain{
		desk: "intake-desk", mid: "crew-desk", list: "rota-board", deep: "line-watch",
		book: "/slots", change: "/confirmations", check: "/crews", listPath: "/rota", deepPath: "/lines",
		deskSlots: 220, deskConns: 1400, deepSlots: 25, deepCon: 250,
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
		SurgeFlows:  flows(lines, rota, confirmations, bookings, surgeRates(), surgeResends),
	}
}

const surgeResends = 3

// rates holds calls a second of the four kinds of calls.
type rates struct {
	deep, list, change, book float64
}

func steadyRates() rates {
	return rates{deep: 120, list: 60, change: 40, book: 40}
}

func surgeRates() rates {
	return rates{deep: 900, list: 300, change: 40, book: 60}
}

func flows(deep, list, change, book zyload.Flow, r rates, resends int) []zyload.Flow {
	deep.Rate, list.Rate, change.Rate, book.Rate = r.deep, r.list, r.change, r.book
	all := []zyload.Flow{deep, list, change, book}
	for i := range all {
		all[i].MaxRetries = resends
	}
	return all
}
