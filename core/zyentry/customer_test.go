package zyentry_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyegress"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyparent"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyrank"
	"zinniayoke/core/zythreshold"
)

// fakeNode is the only worker's node, the limiter, the meter and the recorder of an entry.
type fakeNode struct {
	attempts        []*zinniayoke.Attempt
	refuse          bool // The node refuses attempts.
	status          int  // of the worker's response, 0 for 200
	overLimit       bool
	taken, returned int
	limit           zinniayoke.CustomerLimit
	sample          zinniayoke.CallSample
	event           zinniayoke.Event
	keys            []zinniayoke.Key
}

func (n *fakeNode) Run(_ context.Context, _ zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	n.attempts = append(n.attempts, a)
	r := &zinniayoke.Reply{Attempt: a.ID, Request: a.Request, Unused: a.Tokens}
	if n.refuse {
		r.Outcome, r.Reason = zinniayoke.OutcomeNotRun, zinniayoke.ReasonShed
		return r, nil
	}
	const emptyBodyHash = 0xef46db3751d8e999
	r.Outcome, r.Delivered = zinniayoke.OutcomeDone, true
	r.Response = &zinniayoke.Response{Status: cmp.Or(n.status, http.StatusOK), Attempt: a.ID, Request: a.Request, Hash: emptyBodyHash}
	return r, nil
}

func (n *fakeNode) Query(context.Context, zinniayoke.Upstream, zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return &zinniayoke.QueryReply{}, nil
}

func (n *fakeNode) Cancel(zinniayoke.Upstream, zinniayoke.AttemptID) {}

func (n *fakeNode) Withdraw(zinniayoke.Upstream, zinniayoke.AttemptID) {}

func (n *fakeNode) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	return []zinniayoke.Upstream{{Node: "n", Service: s, State: zinniayoke.WorkerServing, Slots: 10}}
}

func (n *fakeNode) Take(_ context.Context, limit zinniayoke.CustomerLimit) error {
	n.taken++
	n.limit = limit
	if n.overLimit {
		refusal := zinniayoke.NewRefusedError(zinniayoke.ReasonCallerLimit, "over the limit")
		refusal.RetryAfter = time.Minute
		return refusal
	}
	return nil
}

func (n *fakeNode) Return(zinniayoke.Customer)              { n.returned++ }
func (n *fakeNode) ObserveCall(s zinniayoke.CallSample)     { n.sample = s }
func (n *fakeNode) ObserveAttempt(zinniayoke.AttemptSample) {}
func (n *fakeNode) CountSent(zinniayoke.Service)            {}
func (n *fakeNode) CountMismatch()                          {}
func (n *fakeNode) Record(e *zinniayoke.Event)              { n.event = *e }

// keyOwners is the owner of all idempotency keys and runs nothing.
type keyOwners struct {
	*fakeNode
}

func (k keyOwners) Run(_ context.Context, _ zinniayoke.Domain, c *zinniayoke.Call) *zinniayoke.Reply {
	k.keys = append(k.keys, c.Key)
	return &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Response: &zinniayoke.Response{Status: cmp.Or(k.status, http.StatusOK)}}
}

func (keyOwners) ConfirmNotRun(context.Context, zinniayoke.Domain, zinniayoke.Key) bool { return true }

// newEntry returns an entry node in front of the fake.
func newEntry(n *fakeNode, bundle *zybundle.Bundle, parents *zyparent.Table, options ...func(*zyentry.Config)) *zyentry.Entry {
	quarantine := zyquarantine.New(zyquarantine.Config{MaxRecords: 10})
	thresholds := zythreshold.New()
	current := func() *zybundle.Bundle { return bundle }
	cfg := zyentry.Config{
		Bundle: current, Parents: parents, Thresholds: thresholds, Quarantine: quarantine, Shares: zyrank.NewShares(),
		CustomerLimits: n, Meter: n, Recorder: n, KeyOwners: keyOwners{n},
		Sender: zyegress.New(zyegress.Config{
			Peers: n, Resolver: n, Thresholds: thresholds, RetryBudgets: zyattempt.NewCallerRetryBudgets(), Quarantine: quarantine, Meter: n,
			Bundle: current, Picker: zybalancer.New(zybalancer.Config{Resolver: n, Random: rand.New(rand.NewPCG(1, 1))}),
		}),
	}
	for _, option := range options {
		option(&cfg)
	}
	return zyentry.New(cfg)
}

func customerBundle(t *testing.T, customers ...zybundle.Customer) *zybundle.Bundle {
	t.Helper()
	route := func(name, prefix string, public bool) zybundle.PrefixRoute {
		return zybundle.PrefixRoute{Route: zybundle.Route{
			Name: zinniayoke.RouteName(name), Host: "h", Prefix: prefix, Service: "s", Attempts: 3, Timeout: time.Second, Public: public,
		}}
	}
	b, err := zybundle.Compose(zybundle.Composition{
		Version: 1, Services: []zybundle.Service{{Name: "s"}}, Customers: customers,
		Routes: []zybundle.PrefixRoute{route("private", "/private/", false), route("public", "/public/", true)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// call sends a request with a customer's key through the entry node.
func call(e *zyentry.Entry, path, key, parent string) *zinniayoke.Reply {
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, path, http.NoBody)
	return e.Handle(context.Background(), &zyentry.Inbound{
		CustomerKey: key, Context: parent, Host: "h", HTTP: r,
		Headers: []zinniayoke.Header{{Name: "Authorization", Value: "Bearer " + key}, {Name: "X-Own", Value: "1"}},
	}).Reply
}

// TestCustomerOfRequest guards against requests that run without a key, keys and names that
// reach the wrong worker, and a limit that counts requests which did not run.
func TestCustomerOfRequest(t *testing.T) {
	mill := zybundle.Customer{Name: "mill", KeyHashes: []zybundle.KeyHash{zybundle.HashKey("K")}, Limit: zinniayoke.CustomerLimit{Rate: 5, Burst: 2}}
	unlimited := mill
	unlimited.Limit = zinniayoke.CustomerLimit{}
	for _, c := range []struct {
		name            string
		customers       []zybundle.Customer
		path, key       string
		refuse, over    bool
		reason          zinniayoke.Reason
		customer        zinniayoke.Customer
		taken, returned int
	}{
		{"known key", []zybundle.Customer{mill}, "/private/", "K", false, false, zinniayoke.ReasonNone, "mill", 1, 0},
		{"unknown key", []zybundle.Customer{mill}, "/private/", "k", false, false, zinniayoke.ReasonToken, "", 0, 0},
		{"no key", []zybundle.Customer{mill}, "/private/", "", false, false, zinniayoke.ReasonToken, "", 0, 0},
		{"known key, public route", []zybundle.Customer{mill}, "/public/", "K", false, false, zinniayoke.ReasonNone, "mill", 1, 0},
		{"unknown key, public route", []zybundle.Customer{mill}, "/public/", "k", false, false, zinniayoke.ReasonNone, "", 0, 0},
		{"no key, public route", []zybundle.Customer{mill}, "/public/", "", false, false, zinniayoke.ReasonNone, "", 0, 0},
		{"no customers", nil, "/private/", "", false, false, zinniayoke.ReasonNone, "", 0, 0},
		{"no route", []zybundle.Customer{mill}, "/none/", "", false, false, zinniayoke.ReasonNoRoute, "", 0, 0},
		{"no limit", []zybundle.Customer{unlimited}, "/private/", "K", false, true, zinniayoke.ReasonNone, "mill", 0, 0},
		{"over the limit", []zybundle.Customer{mill}, "/private/", "K", false, true, zinniayoke.ReasonCallerLimit, "mill", 1, 0},
		{"refused later", []zybundle.Customer{mill}, "/private/", "K", true, false, zinniayoke.ReasonShed, "mill", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &fakeNode{refuse: c.refuse, overLimit: c.over}
			reply := call(newEntry(n, customerBundle(t, c.customers...), &zyparent.Table{}), c.path, c.key, "")
			if reply.Reason != c.reason || c.over && c.taken > 0 && reply.RetryAfter != time.Minute {
				t.Errorf("reason %s, retry after %s, want %s", reply.Reason, reply.RetryAfter, c.reason)
			}
			route := zinniayoke.RouteName(strings.Trim(c.path, "/"))
			if c.reason == zinniayoke.ReasonNoRoute {
				route = ""
			}
			if n.sample.Customer != c.customer || n.event.Customer != c.customer || n.event.Reason != c.reason || n.event.Route != route {
				t.Errorf("sample %+v, event %+v, want customer %q, route %q", n.sample, n.event, c.customer, route)
			}
			if n.taken != c.taken || n.returned != c.returned || c.taken > 0 && n.limit.Customer != c.customer {
				t.Errorf("%d permissions of %+v taken, %d returned; want %d, %d", n.taken, n.limit, n.returned, c.taken, c.returned)
			}
			reached := c.reason == zinniayoke.ReasonNone || c.refuse
			if reached != (len(n.attempts) > 0) {
				t.Fatalf("%d attempts", len(n.attempts))
			}
			for _, a := range n.attempts {
				hasKey := slices.ContainsFunc(a.Headers, func(h zinniayoke.Header) bool { return h.Name == "Authorization" })
				if a.Customer != c.customer || hasKey != (c.customers == nil) {
					t.Errorf("the worker gets customer %q and the headers %v", a.Customer, a.Headers)
				}
			}
		})
	}
}

// TestChildCallOfCustomer checks that the call of a worker needs no key, takes no permission
// of the customer and does not name the customer to the next worker.
func TestChildCallOfCustomer(t *testing.T) {
	mill := zybundle.Customer{Name: "mill", KeyHashes: []zybundle.KeyHash{zybundle.HashKey("K")}, Limit: zinniayoke.CustomerLimit{Rate: 5}}
	n, parents := &fakeNode{}, &zyparent.Table{}
	handle := parents.Add(&zyparent.Parent{Request: "r", Deadline: time.Now().Add(time.Second), Budget: zyattempt.NewBudget(2, 1)})
	reply := call(newEntry(n, customerBundle(t, mill), parents), "/private/", "", handle)
	if reply.Outcome != zinniayoke.OutcomeDone || n.taken != 0 || len(n.attempts) != 1 || n.attempts[0].Customer != "" {
		t.Errorf("outcome %s (%s), %d permissions taken, attempts %+v", reply.Outcome, reply.Reason, n.taken, n.attempts)
	}
}

// TestIdempotencyKeysOfCustomers guards against a customer that gets the response of another
// one which has chosen the same idempotency key.
func TestIdempotencyKeysOfCustomers(t *testing.T) {
	customer := func(name zinniayoke.Customer, key string) zybundle.Customer {
		return zybundle.Customer{Name: name, KeyHashes: []zybundle.KeyHash{zybundle.HashKey(key)}}
	}
	b := customerBundle(t, customer("mill", "K1"), customer("forge", "K2"))
	b.Routes["public"].NeverRepeat = true
	n := &fakeNode{}
	e := newEntry(n, b, &zyparent.Table{})
	for _, key := range []string{"K1", "K2", ""} {
		r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "/public/", http.NoBody)
		e.Handle(context.Background(), &zyentry.Inbound{CustomerKey: key, Key: "1", Host: "h", HTTP: r})
	}
	slices.Sort(n.keys)
	if len(slices.Compact(n.keys)) != 3 {
		t.Errorf("the idempotency keys %q of three clients are not all different", n.keys)
	}
}
