// Package zywhere explains where a request would go from this node, and why, without sending
// it or changing the state that decides about later requests.
package zywhere

import (
	"fmt"
	"strings"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyquota"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zythreshold"
)

// Config configures an Explainer.
type Config struct {
	Node   zinniayoke.NodeID
	Bundle func() *zybundle.Bundle
	Picker *zybalancer.Picker
	// Limits returns the state of the customers' limits at this node.
	Limits func(now time.Time) zyquota.State
	// Thresholds decides about root calls if Shedder is nil.
	Thresholds *zythreshold.Tracker
	Shedder    *zybackpressure.Shedder
}

// Explainer answers queries of operators. It is safe for concurrent use.
type Explainer struct {
	cfg Config
}

// New returns an Explainer.
func New(cfg Config) *Explainer {
	return &Explainer{cfg: cfg}
}

// Query describes a root request of a client.
type Query struct {
	Host     string
	Path     string
	Method   string
	Customer zinniayoke.Customer
}

// BadQueryError reports an invalid field of a query. It does not contain the value, which may
// be a key given by mistake.
type BadQueryError struct {
	Field    string
	Accepted string
}

// Error names the field and what is accepted.
func (e *BadQueryError) Error() string {
	return e.Field + ": accepted: " + e.Accepted
}

// Check returns a *BadQueryError if a field is invalid.
func (q *Query) Check() error {
	printable := func(s string) bool {
		return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
	}
	isLetter := func(r rune) bool { return r >= 'A' && r <= 'Z' }
	switch {
	case q.Host == "" || !printable(q.Host) || strings.Contains(q.Host, "/"):
		return &BadQueryError{Field: "host", Accepted: "the host of a request, without scheme and path"}
	case !strings.HasPrefix(q.Path, "/") || !printable(q.Path) || strings.ContainsAny(q.Path, "?#"):
		return &BadQueryError{Field: "path", Accepted: "a path that begins with a slash, without a query"}
	case q.Method == "" || strings.TrimFunc(q.Method, isLetter) != "":
		return &BadQueryError{Field: "method", Accepted: "an HTTP method in upper case"}
	}
	return nil
}

// Answer explains where a request would go.
type Answer struct {
	Node     zinniayoke.NodeID  `json:"node"`
	Version  zinniayoke.Version `json:"version"`
	EvenLoad bool               `json:"evenLoad"`
	Host     string             `json:"host"`
	Path     string             `json:"path"`
	Method   string             `json:"method"`
	Route    Route              `json:"route"`
	Customer *Customer          `json:"customer,omitempty"`
	Rank     Rank               `json:"rank"`
	// Shedding is nil on nodes that shed by threshold, see Rank.
	Shedding *zybackpressure.Preview `json:"shedding,omitempty"`
	Parts    []Part                  `json:"parts"`
	// Refusals lists what would refuse the request, or may.
	Refusals []Refusal `json:"refusals"`
}

// Route is the route of the request.
type Route struct {
	Name        zinniayoke.RouteName `json:"name"`
	Host        string               `json:"host"`
	Prefix      string               `json:"prefix"`
	Class       zinniayoke.ClassName `json:"class"`
	Public      bool                 `json:"public"`
	NeverRepeat bool                 `json:"neverRepeat"`
	ObjectiveMs int64                `json:"objectiveMs"`
	TimeoutMs   int64                `json:"timeoutMs"`
}

// Customer is the customer of the request and its limit.
type Customer struct {
	Name     zinniayoke.Customer `json:"name"`
	Priority int                 `json:"priority"`
	// Rate is 0 for a customer without a limit.
	Rate  zinniayoke.Rate `json:"rate"`
	Burst float64         `json:"burst"`
	// Lease is what this node may use; nil if the customer has not sent requests here.
	Lease *zyquota.LeaseState `json:"lease,omitempty"`
	// Owned is the token bucket; nil if another node owns the customer.
	Owned *zyquota.OwnedState `json:"owned,omitempty"`
}

// Rank holds the ranks that the request may have. They differ by the hash of its id.
type Rank struct {
	Importance int             `json:"importance"`
	Lowest     zinniayoke.Rank `json:"lowest"`
	Highest    zinniayoke.Rank `json:"highest"`
	// Threshold is the lowest rank that this node admits to the route; 0 with Shedding.
	Threshold zinniayoke.Rank `json:"threshold"`
}

// Part is a service that serves the route.
type Part struct {
	Service zinniayoke.Service `json:"service"`
	// Share is the share of the route's requests that the service gets.
	Share float64 `json:"share"`
	zybalancer.Inspection
}

// Refusal is a reason why the request would be refused.
type Refusal struct {
	Reason zinniayoke.Reason `json:"reason"`
	// Chance is the share of such requests that are refused.
	Chance float64 `json:"chance"`
	Detail string  `json:"detail"`
}

// Explain answers a query. The error is a *BadQueryError, or a *zinniayoke.CallError with
// ReasonNotReady or ReasonNoRoute.
func (e *Explainer) Explain(now time.Time, q Query) (*Answer, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	b := e.cfg.Bundle()
	if b == nil {
		return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "no bundle is in force here yet")
	}
	customer, known := b.Customers[q.Customer]
	if q.Customer != "" && !known {
		return nil, &BadQueryError{Field: "customer", Accepted: "the name of a customer of the bundle"}
	}
	r, err := b.MatchHost(q.Host, q.Path)
	if err != nil {
		return nil, err
	}
	a := &Answer{
		Node: e.cfg.Node, Version: b.Version, EvenLoad: b.EvenLoad, Host: q.Host, Path: q.Path, Method: q.Method,
		Route: Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Class: r.Class.Name, Public: r.Public, NeverRepeat: r.NeverRepeat,
			ObjectiveMs: r.Objective.Milliseconds(), TimeoutMs: r.Timeout.Milliseconds(),
		},
		Refusals: []Refusal{},
	}
	e.explainCustomer(now, a, b, customer)
	e.explainRank(now, a, b, r, q.Customer)
	e.explainParts(now, a, r)
	return a, nil
}

// refusef adds a refusal.
func (a *Answer) refusef(reason zinniayoke.Reason, chance float64, format string, args ...any) {
	a.Refusals = append(a.Refusals, Refusal{Reason: reason, Chance: chance, Detail: fmt.Sprintf(format, args...)})
}

// explainCustomer fills in the customer, its limit, and whether they refuse the request.
func (e *Explainer) explainCustomer(now time.Time, a *Answer, b *zybundle.Bundle, c zybundle.Customer) {
	if c.Name == "" {
		if len(b.Customers) > 0 && !a.Route.Public {
			a.refusef(zinniayoke.ReasonToken, 1, "the route requires a customer's key")
		}
		return
	}
	a.Customer = &Customer{Name: c.Name, Priority: c.Priority, Rate: c.Limit.Rate, Burst: c.Limit.Burst}
	if len(c.KeyHashes) == 0 {
		a.refusef(zinniayoke.ReasonToken, 1, "the customer has no key that is accepted")
	}
	if c.Limit.Rate <= 0 {
		return
	}
	state := e.cfg.Limits(now)
	for i := range state.Used {
		if state.Used[i].Customer == c.Name {
			a.Customer.Lease = &state.Used[i]
		}
	}
	for i := range state.Owned {
		if state.Owned[i].Customer == c.Name {
			a.Customer.Owned = &state.Owned[i]
		}
	}
	if l := a.Customer.Lease; l != nil && l.Tokens == 0 && l.RetryMs > 0 {
		a.refusef(zinniayoke.ReasonCallerLimit, 1, "the customer is over its rate; its owner expects the next token in %d ms", l.RetryMs)
	}
}

// explainRank fills in the rank and what the entry node sheds.
func (e *Explainer) explainRank(now time.Time, a *Answer, b *zybundle.Bundle, r *zybundle.Route, name zinniayoke.Customer) {
	a.Rank.Importance = b.Importance(name, r)
	a.Rank.Lowest, a.Rank.Highest = zyrank.RangeOf(a.Rank.Importance)
	if e.cfg.Shedder != nil {
		p := e.cfg.Shedder.Preview(now, r, b.ShareOf(name))
		a.Shedding = &p
		if p.AdmittedShare < 1 {
			a.refusef(zinniayoke.ReasonShed, 1-p.AdmittedShare, "%s has no room for %.0f%% of what is asked of it", p.Service, percent*p.ExcessShare)
		}
		return
	}
	a.Rank.Threshold = e.cfg.Thresholds.Threshold(now, r.Name)
	if a.Rank.Threshold > a.Rank.Lowest {
		refused := float64(a.Rank.Threshold-a.Rank.Lowest) / float64(a.Rank.Highest-a.Rank.Lowest+1)
		a.refusef(zinniayoke.ReasonShed, min(refused, 1), "more important requests fill the service")
	}
}

const percent = 100

// explainParts fills in the services and the choices of their workers.
func (e *Explainer) explainParts(now time.Time, a *Answer, r *zybundle.Route) {
	split := r.Split
	if len(split) == 0 {
		split = []zybundle.WeightedService{{Service: r.Service, Weight: 1}}
	}
	total := 0.0
	for _, part := range split {
		total += part.Weight
	}
	call := &zinniayoke.Call{MaxWait: zyentry.RootMaxWait(r)}
	for _, part := range split {
		p := Part{Service: part.Service, Share: part.Weight / total}
		p.Inspection = e.cfg.Picker.Inspect(now, zybalancer.EvenRequest{
			Service: part.Service, Rank: a.Rank.Lowest, Tolerance: zyegress.Tolerance(call), MaxWait: call.MaxWait,
		}, a.EvenLoad)
		if p.Choice == "" {
			a.refusef(zinniayoke.ReasonNoUpstream, p.Share, "%s: %s", part.Service, p.Reason)
		}
		a.Parts = append(a.Parts, p)
	}
}
