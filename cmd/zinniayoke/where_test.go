package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"zinniayoke"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zyquota"
	"zinniayoke/core/zywhere"
)

// TestPrintWhere guards against columns that shift and values that are missing from the text
// output, with and without even load.
func TestPrintWhere(t *testing.T) {
	until := time.Date(2026, 3, 4, 10, 20, 30, 0, time.UTC)
	a := &zywhere.Answer{
		Node: "node-a-1/18c0", Version: 41, EvenLoad: true, Host: "shop.example", Path: "/orders/7", Method: "POST",
		Route: zywhere.Route{Name: "orders", Host: "shop.example", Prefix: "/orders/", Class: "p1", ObjectiveMs: 800, TimeoutMs: 3000},
		Customer: &zywhere.Customer{
			Name: "mill", Priority: 1, Rate: 50, Burst: 20,
			Lease: &zyquota.LeaseState{Customer: "mill", Owner: "node-c-2/18c1", Demand: 3.25, RetryMs: 120},
			Owned: &zyquota.OwnedState{Tokens: 0.5, Granted: 12},
		},
		Rank:     zywhere.Rank{Importance: 126, Lowest: 2114912256, Highest: 2114977791},
		Shedding: &zybackpressure.Preview{AdmittedShare: 0.75},
		Refusals: []zywhere.Refusal{
			{Reason: zinniayoke.ReasonCallerLimit, Chance: 1, Detail: "the customer is over its rate"},
			{Reason: zinniayoke.ReasonShed, Chance: 0.25, Detail: "deep has no room for 30% of what is asked of it"},
		},
		Parts: []zywhere.Part{
			{Service: "orderdesk", Share: 0.9, Inspection: zybalancer.Inspection{
				Choice: "node-a-1/18c0", Reason: "its turn by free capacity and speed", RedirectAfterMs: 52.4,
				Upstreams: []zybalancer.UpstreamReport{
					{Node: "node-a-1/18c0", Locality: zinniayoke.Locality{Domain: "a"}, Occupied: 3.2, Limit: 10, WaitMs: new(0.25), ReportAgeMs: new(80.0), Chance: 1},
					{Node: "node-b-10/18c0", Locality: zinniayoke.Locality{Domain: "b"}, Distance: zinniayoke.DistanceRegion, Occupied: 12, Limit: 10, WaitMs: new(31.0), ReportAgeMs: new(1200.0), Excluded: zybalancer.ExcludedEjected, EjectedUntil: &until},
				},
			}},
			{Service: "grindshop", Share: 0.1, Inspection: zybalancer.Inspection{
				Choice: "node-c-1/18c0", Reason: "most likely (100%)",
				Upstreams: []zybalancer.UpstreamReport{
					{Node: "node-c-1/18c0", Locality: zinniayoke.Locality{Domain: "c"}, Distance: zinniayoke.DistanceElsewhere, Limit: 4, Score: new(0.8), Chance: 1},
				},
			}},
		},
	}
	var out bytes.Buffer
	if err := printWhere(&out, a); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "where", out.Bytes())
}

// TestWhereErrors guards against a refusal that looks like an answer, and against messages
// that contain the query.
func TestWhereErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"error":"noRoute: the bundle has no such host"}`))
	}))
	admin := server.Listener.Addr().String()
	values := url.Values{"customer": {"secret"}}
	_, err := fetchWhere(context.Background(), admin, values)
	var refused *WhereRefusedError
	if !errors.As(err, &refused) || refused.Status != http.StatusNotFound || !strings.Contains(err.Error(), "no such host") {
		t.Errorf("got error %v, want 404 with the message of the node", err)
	}
	server.Close()
	for _, address := range []string{admin, "no address", ""} {
		if _, err := fetchWhere(context.Background(), address, values); err == nil || strings.Contains(err.Error(), "secret") {
			t.Errorf("%q: got error %v, want one without the query", address, err)
		}
	}
}
