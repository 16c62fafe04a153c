package zyworker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/io/zyworker"
)

// TestNoticeInResponse checks what a worker's response says about it, and that this is not
// forwarded to callers.
func TestNoticeInResponse(t *testing.T) {
	for _, c := range []struct {
		limit, leaving string
		want           zinniayoke.WorkerNotice
		invalid        bool
	}{
		{"", "", zinniayoke.WorkerNotice{}, false},
		{"12.5", "1", zinniayoke.WorkerNotice{Limited: true, Limit: 12.5, Leaving: true}, false},
		{"a few", "1", zinniayoke.WorkerNotice{Leaving: true}, true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(zyworker.RateLimitHeader, c.limit)
			w.Header().Set(zyworker.LeavingHeader, c.leaving)
		}))
		w := zyworker.New(zyworker.Config{Address: strings.TrimPrefix(server.URL, "http://"), MaxConnections: 1})
		var got zinniayoke.WorkerNotice
		var problem error
		resp, _, err := w.Run(context.Background(), &zinniayoke.WorkerCall{
			Attempt: &zinniayoke.Attempt{Method: http.MethodGet, Path: "/"}, Timeout: time.Second,
			OnNotice: func(n zinniayoke.WorkerNotice, err error) { got, problem = n, err },
		})
		if err != nil {
			t.Fatal(err)
		}
		if got != c.want || (problem != nil) != c.invalid {
			t.Errorf("limit %q, leaving %q: the notice is %+v (%v), want %+v", c.limit, c.leaving, got, problem, c.want)
		}
		for _, h := range resp.Headers {
			if strings.HasPrefix(h.Name, "Zinniayoke-") {
				t.Errorf("the header %s is forwarded", h.Name)
			}
		}
		w.Close()
		server.Close()
	}
}

// TestCustomerHeader checks that the worker gets the name of the customer, and no header if
// there is none.
func TestCustomerHeader(t *testing.T) {
	var got []string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header["Zinniayoke-Customer"] }))
	defer server.Close()
	w := zyworker.New(zyworker.Config{Address: strings.TrimPrefix(server.URL, "http://"), MaxConnections: 1})
	defer w.Close()
	for customer, want := range map[zinniayoke.Customer][]string{"mill": {"mill"}, "": nil} {
		a := &zinniayoke.Attempt{Method: http.MethodGet, Path: "/", Customer: customer}
		if _, _, err := w.Run(context.Background(), &zinniayoke.WorkerCall{Attempt: a, Timeout: time.Second}); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(got, want) {
			t.Errorf("customer %q: the worker gets %q, want %q", customer, got, want)
		}
	}
}
