package zyweb_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyentry"
	"zinniayoke/io/zyweb"
)

// fakeEntry returns the same reply to every call and records the last call.
type fakeEntry struct {
	reply *zinniayoke.Reply
	in    *zyentry.Inbound
}

func (e *fakeEntry) Handle(_ context.Context, in *zyentry.Inbound) *zyentry.Result {
	e.in = in
	return &zyentry.Result{Reply: e.reply, Request: "r-1", Attempts: 2}
}

func doRequest(e *fakeEntry, method, target, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	zyweb.NewCallerHandler(zyweb.CallerConfig{Entry: e}).ServeHTTP(w, r)
	return w
}

func TestResponseIsForwarded(t *testing.T) {
	e := &fakeEntry{reply: &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Response: &zinniayoke.Response{
		Status: http.StatusTeapot, Body: []byte("tea"), Headers: []zinniayoke.Header{{Name: "X-Kind", Value: "green"}},
	}}}
	w := doRequest(e, "POST", "/call/shop/a%2Fb/c?q=1", "body", "Authorization", "Bearer t", "Idempotency-Key", "k",
		"Zinniayoke-Timeout", "250", "X-Own", "yes", "Connection", "close")
	if w.Code != http.StatusTeapot || w.Body.String() != "tea" || w.Header().Get("X-Kind") != "green" {
		t.Errorf("response %d %q %v", w.Code, w.Body, w.Header())
	}
	for name, want := range map[string]string{
		zyweb.OutcomeHeader: "done", zyweb.RequestIDHeader: "r-1", zyweb.AttemptsHeader: "2", "Content-Length": "3",
	} {
		if got := w.Header().Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	in := e.in
	if in.Token != "t" || in.Key != "k" || in.Timeout.Milliseconds() != 250 || in.Service != "shop" || string(in.Body) != "body" {
		t.Errorf("unexpected inbound call: %+v", in)
	}
	if in.HTTP.URL.Path != "/a/b/c" || in.HTTP.URL.RawQuery != "q=1" {
		t.Errorf("path %q, query %q", in.HTTP.URL.Path, in.HTTP.URL.RawQuery)
	}
	for _, h := range in.Headers {
		if h.Name != "X-Own" {
			t.Errorf("header %s was forwarded to the worker", h.Name)
		}
	}
}

// TestTokenOrKey checks the forms of Authorization. A node without a bundle must not respond
// 401, since it knows no keys.
func TestTokenOrKey(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   string
		status int
	}{
		{[]string{"Bearer K1"}, "K1", 200},
		{[]string{"bearer K1"}, "K1", 200},
		{[]string{"Bearer  K1 "}, "K1", 200},
		{nil, "", 200},
		{[]string{"Bearer K1", "Bearer K1"}, "", 401},
		{[]string{"Basic K1"}, "", 401},
	} {
		e := &fakeEntry{reply: &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Response: &zinniayoke.Response{Status: http.StatusOK}}}
		r := httptest.NewRequest(http.MethodGet, "/call/s/x", http.NoBody)
		r.Header["Authorization"] = c.values
		r.Header.Set("Zinniayoke-Customer", "forged")
		w := httptest.NewRecorder()
		zyweb.NewCallerHandler(zyweb.CallerConfig{Entry: e}).ServeHTTP(w, r)
		if w.Code != c.status || c.status == 200 && (e.in.CustomerKey != c.want || e.in.Token != c.want || len(e.in.Headers) > 0) {
			t.Errorf("%q: status %d, inbound call %+v", c.values, w.Code, e.in)
		}
		w = httptest.NewRecorder()
		zyweb.NewCallerHandler(zyweb.CallerConfig{Entry: e, Bundle: func() *zybundle.Bundle { return nil }}).ServeHTTP(w, r)
		if w.Code == http.StatusUnauthorized {
			t.Errorf("%q: a node without a bundle responds 401", c.values)
		}
	}
}

func TestCallsByHost(t *testing.T) {
	e := &fakeEntry{reply: &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Response: &zinniayoke.Response{Status: http.StatusOK}}}
	for _, c := range []struct{ target, host, path string }{
		{"http://shop.example/orders/7?q=1", "shop.example", "/orders/7"},
		{"http://shop.example:7100/", "shop.example", "/"},
	} {
		w := doRequest(e, "GET", c.target, "")
		in := e.in
		if w.Code != http.StatusOK || in.Service != "" || in.Host != c.host || in.HTTP.URL.Path != c.path {
			t.Errorf("%s: status %d, service %q, host %q, path %q", c.target, w.Code, in.Service, in.Host, in.HTTP.URL.Path)
		}
	}
}

func TestErrorResponses(t *testing.T) {
	for _, c := range []struct {
		reason  zinniayoke.Reason
		outcome zinniayoke.Outcome
		status  int
		retry   string
	}{
		{zinniayoke.ReasonMalformed, zinniayoke.OutcomeNotRun, 400, ""},
		{zinniayoke.ReasonToken, zinniayoke.OutcomeNotRun, 401, ""},
		{zinniayoke.ReasonNoRoute, zinniayoke.OutcomeNotRun, 404, ""},
		{zinniayoke.ReasonKeyReused, zinniayoke.OutcomeUnknown, 409, ""},
		{zinniayoke.ReasonTooLarge, zinniayoke.OutcomeNotRun, 413, ""},
		{zinniayoke.ReasonQuarantined, zinniayoke.OutcomeNotRun, 422, ""},
		{zinniayoke.ReasonCallerLimit, zinniayoke.OutcomeNotRun, 429, "1"},
		{zinniayoke.ReasonAnswerLost, zinniayoke.OutcomeUnknown, 502, ""},
		{zinniayoke.ReasonShed, zinniayoke.OutcomeNotRun, 503, "1"},
		{zinniayoke.ReasonNoUpstream, zinniayoke.OutcomeNotRun, 503, "1"},
		{zinniayoke.ReasonDeadline, zinniayoke.OutcomeUnknown, 504, ""},
	} {
		w := doRequest(&fakeEntry{reply: &zinniayoke.Reply{Reason: c.reason, Outcome: c.outcome, Detail: "why"}}, "GET", "/call/s/x", "")
		var response zyweb.ErrorResponse
		if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
			t.Errorf("%s: %v", c.reason, err)
			continue
		}
		got := response.Error
		if w.Code != c.status || got.Type != c.reason || got.Outcome != c.outcome || got.Message != "why" ||
			w.Header().Get("Retry-After") != c.retry || w.Header().Get(zyweb.OutcomeHeader) != c.outcome.String() {
			t.Errorf("%s: %d %+v %v", c.reason, w.Code, got, w.Header())
		}
	}
}

func TestInvalidHeaders(t *testing.T) {
	for _, c := range []struct {
		name, value string
		status      int
	}{
		{"Zinniayoke-Timeout", "0", 400},
		{"Zinniayoke-Timeout", "-5", 400},
		{"Zinniayoke-Timeout", "1s", 400},
		{"Zinniayoke-Timeout", "99999999999999999999", 400},
		{"Authorization", "Basic abc", 401},
		{"Authorization", "Bearer ", 401},
	} {
		e := &fakeEntry{}
		w := doRequest(e, "GET", "/call/s/x", "", c.name, c.value)
		if w.Code != c.status || e.in != nil || w.Header().Get(zyweb.OutcomeHeader) != "notRun" {
			t.Errorf("%s: %q: status %d, outcome %s", c.name, c.value, w.Code, w.Header().Get(zyweb.OutcomeHeader))
		}
		w = doRequest(e, "GET", "/call/s/x", "", c.name, c.value, "Idempotency-Key", "k")
		if w.Header().Get(zyweb.OutcomeHeader) != "unknown" {
			t.Errorf("%s with a key: outcome %s", c.name, w.Header().Get(zyweb.OutcomeHeader))
		}
	}
}

func FuzzCallerHeaders(f *testing.F) {
	f.Add("/call/s/x", "Bearer t", "250", "k", "handle")
	f.Add("/call//", "Bearer", "", "", "")
	f.Fuzz(func(t *testing.T, path, authorization, timeout, key, handle string) {
		r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
		r.URL.Path = path
		r.Header["Authorization"] = []string{authorization}
		r.Header["Zinniayoke-Timeout"] = []string{timeout}
		r.Header["Idempotency-Key"] = []string{key}
		r.Header["Zinniayoke-Context"] = []string{handle}
		w := httptest.NewRecorder()
		e := &fakeEntry{reply: &zinniayoke.Reply{Reason: zinniayoke.ReasonShed}}
		zyweb.NewCallerHandler(zyweb.CallerConfig{Entry: e}).ServeHTTP(w, r)
		if e.in != nil && (e.in.Timeout < 0 || e.in.HTTP.URL.Path == "") {
			t.Fatalf("unexpected inbound call: %+v", e.in)
		}
	})
}

func FuzzReadAnnouncement(f *testing.F) {
	f.Add(`{"service":"s","address":"127.0.0.1:1","slots":1,"connections":1,"state":"serving","incarnation":1}`)
	f.Add(`{"state":"gone"}`)
	f.Fuzz(func(t *testing.T, text string) {
		a, err := zyweb.ReadAnnouncement(strings.NewReader(text))
		if err == nil && a.Check() != nil {
			t.Fatalf("accepted an announcement that fails its check: %+v", a)
		}
	})
}
