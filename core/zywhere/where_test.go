package zywhere_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyquota"
	"zinniayoke/core/zythreshold"
	"zinniayoke/core/zywhere"
)

type resolver []zinniayoke.Upstream

func (r resolver) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	var list []zinniayoke.Upstream
	for _, u := range r {
		if u.Service == s {
			list = append(list, u)
		}
	}
	return list
}

// bundle has a split route that needs a key, a public one, and two customers, of which one
// has no key.
func bundle(t *testing.T) *zybundle.Bundle {
	t.Helper()
	b, err := zybundle.Compose(zybundle.Composition{
		Version:  7,
		Services: []zybundle.Service{{Name: "old"}, {Name: "new"}},
		Routes: []zybundle.PrefixRoute{
			{Route: zybundle.Route{Name: "orders", Host: "shop", Prefix: "/orders/", Split: []zybundle.WeightedService{{Service: "old", Weight: 3}, {Service: "new", Weight: 1}}, Objective: 800 * time.Millisecond, Timeout: time.Second}},
			{Route: zybundle.Route{Name: "web", Host: "shop", Prefix: "/", Service: "old", Public: true, Timeout: time.Second}},
		},
		Customers: []zybundle.Customer{
			{Name: "mill", KeyHashes: []zybundle.KeyHash{zybundle.HashKey("secret")}, Limit: zinniayoke.CustomerLimit{Rate: 10, Burst: 10}},
			{Name: "forge", Priority: 1},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func explainer(b *zybundle.Bundle) *zywhere.Explainer {
	upstreams := resolver{{Node: "n1", Service: "old", Slots: 10, State: zinniayoke.WorkerServing}}
	return zywhere.New(zywhere.Config{
		Node: "n", Bundle: func() *zybundle.Bundle { return b }, Thresholds: zythreshold.New(), Shedder: zybackpressure.NewShedder(),
		Picker: zybalancer.New(zybalancer.Config{Resolver: upstreams, Random: rand.New(rand.NewPCG(1, 1))}),
		Limits: func(time.Time) zyquota.State {
			return zyquota.State{Used: []zyquota.LeaseState{{Customer: "mill", RetryMs: 40}}}
		},
	})
}

// TestBadQueries guards against invalid queries that are answered, and against messages that
// repeat a value, which may be a key given by mistake.
func TestBadQueries(t *testing.T) {
	for _, c := range []struct {
		query zywhere.Query
		field string
	}{
		{zywhere.Query{Path: "/", Method: "GET"}, "host"},
		{zywhere.Query{Host: "http://secret", Path: "/", Method: "GET"}, "host"},
		{zywhere.Query{Host: "secret\n", Path: "/", Method: "GET"}, "host"},
		{zywhere.Query{Host: "shop", Method: "GET"}, "path"},
		{zywhere.Query{Host: "shop", Path: "secret", Method: "GET"}, "path"},
		{zywhere.Query{Host: "shop", Path: "/?key=secret", Method: "GET"}, "path"},
		{zywhere.Query{Host: "shop", Path: "/ secret", Method: "GET"}, "path"},
		{zywhere.Query{Host: "shop", Path: "/"}, "method"},
		{zywhere.Query{Host: "shop", Path: "/", Method: "secret"}, "method"},
		{zywhere.Query{Host: "shop", Path: "/", Method: "GET", Customer: "secret"}, "customer"},
	} {
		_, err := explainer(bundle(t)).Explain(time.Unix(100, 0), c.query)
		var bad *zywhere.BadQueryError
		if !errors.As(err, &bad) || bad.Field != c.field || strings.Contains(err.Error(), "secret") {
			t.Errorf("%+v: got error %v, want one about %s", c.query, err, c.field)
		}
	}
}

// TestRefusals guards against a refusal that the answer leaves out or a refusal that would
// not happen.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		customer zinniayoke.Customer
		want     []zinniayoke.Reason
	}{
		{"public", "/x", "", nil},
		{"no key", "/orders/1", "", []zinniayoke.Reason{zinniayoke.ReasonToken, zinniayoke.ReasonNoUpstream}},
		{"over its limit", "/orders/1", "mill", []zinniayoke.Reason{zinniayoke.ReasonCallerLimit, zinniayoke.ReasonNoUpstream}},
		{"customer without a key", "/x", "forge", []zinniayoke.Reason{zinniayoke.ReasonToken}},
	} {
		a, err := explainer(bundle(t)).Explain(time.Unix(100, 0), zywhere.Query{Host: "SHOP", Path: c.path, Method: "GET", Customer: c.customer})
		if err != nil {
			t.Fatal(err)
		}
		var got []zinniayoke.Reason
		for _, r := range a.Refusals {
			got = append(got, r.Reason)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: refused for %v, want %v", c.name, got, c.want)
		}
		if c.path == "/orders/1" && (len(a.Parts) != 2 || a.Parts[0].Share != 0.75 || a.Parts[0].Choice != "n1" || a.Parts[1].Choice != "") {
			t.Errorf("%s: parts %+v, want 0.75 to old on n1 and new without an upstream", c.name, a.Parts)
		}
	}
}

// TestNoAnswer guards against a wrong cause where there is no route or no bundle.
func TestNoAnswer(t *testing.T) {
	for reason, b := range map[zinniayoke.Reason]*zybundle.Bundle{zinniayoke.ReasonNoRoute: bundle(t), zinniayoke.ReasonNotReady: nil} {
		_, err := explainer(b).Explain(time.Unix(100, 0), zywhere.Query{Host: "other", Path: "/", Method: "GET"})
		var refusal *zinniayoke.CallError
		if !errors.As(err, &refusal) || refusal.Reason != reason {
			t.Errorf("got error %v, want %s", err, reason)
		}
	}
}
