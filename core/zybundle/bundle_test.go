package zybundle_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyini"
	"zinniayoke/examples"
)

// example returns the text of an example bundle.
func example(t testing.TB, name string) string {
	t.Helper()
	text, err := examples.Files.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestExamplesAreValid checks that the example bundles parse and have the expected
// number of domains, services and routes.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"hollander.bundle.ini", "tabighi.bundle.ini"} {
		b, err := zybundle.Parse(name, []byte(example(t, name)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(b.Domains) != 4 || len(b.Services) != 4 || len(b.Routes) != 5 {
			t.Errorf("%s: %d domains, %d services, %d routes", name, len(b.Domains), len(b.Services), len(b.Routes))
		}
	}
}

// TestParseRejects changes one line of a valid bundle and expects that problem; an
// empty want means that the bundle stays valid.
func TestParseRejects(t *testing.T) {
	valid := example(t, "hollander.bundle.ini")
	for _, c := range []struct {
		old, new, want string
	}{
		{"version = 1", "version = 0", "[bundle] version: found \"0\"; accepted: a whole number from 1"},
		{"version = 1", "", "[bundle] version: found no value"},
		{"keyWindow = 10m", "keyWindow = 10", "accepted: a duration with its unit"},
		{"keyWindow = 10m", "keyWindow = 500ms", "keyWindow: found \"500ms\""},
		{"keyWindow = 10m", "keyWindov = 10m", "keyWindov: found an unknown key; accepted: anonymous, approvals"},
		{"keyWindow = 10m", "keyWindow = 10m\nkeyWindow = 11m", "found a duplicate key; first defined on line"},
		{"[domain yame]", "[domain kurume]", "found a duplicate section; first defined on line"},
		{"[domain yame]", "[domian yame]", "found an unknown section"},
		{"[domain yame]", "[domain yame", "accepted: [kind] or [kind name]"},
		{"[class lookup]", "[class]", "found no name; accepted: [class name]"},
		{"rate = 30Mbit", "rate = 30", "accepted: bits per second above 0 with their unit"},
		{"[link chikugo/satsuma]", "[link chikugo]", "two different regions separated by a slash"},
		{"[link chikugo/satsuma]", "[link chikugo/mars]", "found unknown region mars"},
		{"[link chikugo/satsuma]", "[link satsuma/chikugo]\nrate = 30Mbit\n[link chikugo/satsuma]", "a second section for the same two regions"},
		{"defaultHome = kurume", "defaultHome = mars", "found unknown domain mars; accepted: a failure domain"},
		{"approvals = 1", "approvals = 2", "2 approvals with 2 approvers"},
		{"class = order", "class = gold", "found unknown class gold"},
		{"service = orderdesk", "service = desk", "found unknown service desk"},
		{"method = GET\npath = /gaps", "method = GOT\npath = /gaps", "accepted: one of GET"},
		{"path = /gaps", "path = gaps", "a pattern that begins with a slash"},
		{"path = /gaps", "path = /{a", "accepted: a pattern such as /orders/{id}"},
		{"path = /capacity", "path = /regrinds\n# ", ""},
		{"attempts = 10", "attempts = 3", "found 3 with 3 calls; accepted: at least one more than calls"},
		{"retryBudget = 10%", "retryBudget = 110%", "accepted: a percentage from 0% to 100%"},
		{"keyWindow = 10m", "keyWindow = 5s", "a keyWindow of at least twice the timeout"},
		{"neverRepeat = true", "neverRepeat = yes", "accepted: true or false"},
		{"timeout = 3s", "timeout = 20m", "timeout: found \"20m\""},
		{"urgency = 5", "urgency = 16", "accepted: a whole number from 0 to 15"},
		{"home = yame", "home = mars", "found unknown domain mars"},
		{"[bundle]", "x = 1\n[bundle]", "accepted: a section header before the first key"},
		{"approvals = 1", "approvals : 1", "accepted: key = value without quotes"},
	} {
		_, err := zybundle.Parse("b.ini", []byte(strings.Replace(valid, c.old, c.new, 1)))
		if c.want == "" {
			if err != nil {
				t.Errorf("%q: %v", c.new, err)
			}
			continue
		}
		var problems *zyini.ProblemsError
		if !errors.As(err, &problems) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: got error %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

// TestParseReportsAllProblems checks that Parse does not stop at the first problem and
// gives each its line.
func TestParseReportsAllProblems(t *testing.T) {
	text := "[bundle]\nversion = x\napprovals = 1\ndefaultHome = d\n[class c]\nimportance = 300\n"
	_, err := zybundle.Parse("b.ini", []byte(text))
	var problems *zyini.ProblemsError
	if !errors.As(err, &problems) || len(problems.Problems) != 2 {
		t.Fatalf("got error %v, want two problems", err)
	}
	for i, line := range []int{2, 6} {
		if got := problems.Problems[i].Line; got != line {
			t.Errorf("problem %d is on line %d, want %d", i, got, line)
		}
	}
}

// TestAuthenticate guards against a caller that claims the name of a caller with a token.
func TestAuthenticate(t *testing.T) {
	b, err := zybundle.Parse("b", []byte(strings.Replace(example(t, "hollander.bundle.ini"), "anonymous = false", "anonymous = true", 1)))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		token, claimed string
		want           zinniayoke.Caller
		refused        bool
	}{
		{token: "demo-fitters-yame", want: "fitters-yame"},
		{token: "demo-fitters-yame", claimed: "foremen-kurume", want: "fitters-yame"},
		{token: "wrong", refused: true},
		{claimed: "fitters-yame", refused: true},
		{claimed: "somebody", want: "somebody"},
		{want: ""},
	} {
		got, err := b.Authenticate(c.token, c.claimed)
		var refusal *zinniayoke.CallError
		if c.refused != errors.As(err, &refusal) || got.Name != c.want {
			t.Errorf("token %q, claimed %q: got caller %q, error %v, want caller %q, refused %t", c.token, c.claimed, got.Name, err, c.want, c.refused)
		}
	}
}

// TestMatchService checks the lookup by method and path. A path that http.ServeMux would
// clean and redirect must not match a route.
func TestMatchService(t *testing.T) {
	b, err := zybundle.Parse("b", []byte(example(t, "hollander.bundle.ini")))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		service      zinniayoke.Service
		method, path string
		want         zinniayoke.RouteName
	}{
		{"settings", "GET", "/gaps", "settings/gaps"},
		{"settings", "HEAD", "/gaps", "settings/gaps"},
		{"settings", "POST", "/gaps", ""},
		{"settings", "GET", "/gaps/", ""},
		{"settings", "GET", "//gaps", ""},
		{"settings", "GET", "/x/../gaps", ""},
		{"orderdesk", "POST", "/orders", "orderdesk/orders"},
		{"nowhere", "GET", "/gaps", ""},
	} {
		r, err := b.MatchService(c.service, &http.Request{Method: c.method, URL: &url.URL{Path: c.path}})
		if (c.want == "") != (err != nil) || err == nil && r.Name != c.want {
			t.Errorf("%s %s%s: got route %v, error %v, want route %q", c.method, c.service, c.path, r, err, c.want)
		}
	}
}

// prefixRoutes are routes that are selected by host and prefix; one of them is split.
const prefixRoutes = `
[route web]
host = Shop.example
prefix = /
service = settings
class = lookup
attempts = 3
objective = 800ms

[route web/orders]
host = shop.example
prefix = /orders/
split = orderdesk 90, grindshop 10
class = order
attempts = 5
`

// TestMatchHostOfParsedBundle checks that hosts match in any case and prefixes only by
// whole path segments.
func TestMatchHostOfParsedBundle(t *testing.T) {
	b, err := zybundle.Parse("b", []byte(example(t, "hollander.bundle.ini")+prefixRoutes))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		host, path string
		want       zinniayoke.RouteName
	}{
		{"shop.example", "/", "web"},
		{"SHOP.example", "/orders", "web"},
		{"shop.example", "/orders/7", "web/orders"},
		{"other.example", "/orders/7", ""},
	} {
		r, err := b.MatchHost(c.host, c.path)
		if (c.want == "") != (err != nil) || err == nil && r.Name != c.want {
			t.Errorf("%s%s: got route %v, error %v, want route %q", c.host, c.path, r, err, c.want)
		}
	}
	web, orders := b.Routes["web"], b.Routes["web/orders"]
	if web.Objective != 800*time.Millisecond || web.Class.Importance != 50 {
		t.Errorf("route web: got %+v, want objective 800ms and importance 50", web)
	}
	want := []zybundle.WeightedService{{Service: "orderdesk", Weight: 90}, {Service: "grindshop", Weight: 10}}
	if !slices.Equal(orders.Split, want) || orders.Service != "" {
		t.Errorf("route web/orders: got %+v, want split %v and no service", orders, want)
	}
}

// TestParseRejectsPrefixRoutes changes one line of valid prefix routes and expects that
// problem.
func TestParseRejectsPrefixRoutes(t *testing.T) {
	valid := example(t, "hollander.bundle.ini") + prefixRoutes
	for _, c := range []struct {
		old, new, want string
	}{
		{"prefix = /orders/", "prefix = /orders", "accepted: a prefix that begins and ends with a slash"},
		{"prefix = /orders/", "", "prefix: found no value"},
		{"prefix = /orders/", "prefix = /", "found a duplicate of shop.example/; accepted: one route for each host and prefix"},
		{"split = ", "service = settings\nsplit = ", "accepted: either a service or a split"},
		{"host = shop.example", "", "host: found no value"},
		{"host = shop.example", "host = shop.example\nmethod = GET", "method: found an unknown key"},
		{"orderdesk 90", "orderdesk", "accepted: a comma-separated list of: a service and its weight above 0 and up to 1000"},
		{"orderdesk 90", "orderdesk 0", "such as orderdesk 90"},
		{"orderdesk 90", "desk 90", "found unknown service desk"},
		{"objective = 800ms", "objective = 800", "accepted: a duration with its unit"},
	} {
		_, err := zybundle.Parse("b.ini", []byte(strings.Replace(valid, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: got error %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

// TestCheckSuccessor guards against a home that moves without naming the previous one:
// two domains would then keep records of the same idempotency key.
func TestCheckSuccessor(t *testing.T) {
	valid := example(t, "hollander.bundle.ini")
	first, err := zybundle.Parse("1", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	second := strings.Replace(valid, "version = 1", "version = 2", 1)
	for _, c := range []struct {
		name, text string
		allowed    bool
	}{
		{"next version", second, true},
		{"same version", valid, false},
		{"skipped version", strings.Replace(valid, "version = 1", "version = 3", 1), false},
		{"home moves", strings.Replace(second, "home = yame", "home = kurume", 1), false},
		{"home moves with movedFrom", strings.Replace(second, "home = yame", "home = kurume\nmovedFrom = yame", 1), true},
		{"default home moves", strings.Replace(second, "defaultHome = kurume", "defaultHome = yame", 1), false},
		{"default home moves with defaultMovedFrom", strings.Replace(second, "defaultHome = kurume", "defaultHome = yame\ndefaultMovedFrom = kurume", 1), true},
		{"caller is renamed", strings.Replace(second, "[caller fitters-ibusuki]", "[caller fitters]", 1), false},
	} {
		b, err := zybundle.Parse("2", []byte(c.text))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		err = first.CheckSuccessor(b)
		var successorError *zybundle.SuccessorError
		if c.allowed != (err == nil) || err != nil && !errors.As(err, &successorError) {
			t.Errorf("%s: got error %v, want allowed %t", c.name, err, c.allowed)
		}
	}
}

// FuzzParse checks that Parse does not panic, also on patterns that http.ServeMux rejects,
// and reports each error as a problem.
func FuzzParse(f *testing.F) {
	f.Add(example(f, "hollander.bundle.ini"))
	f.Add(example(f, "tabighi.bundle.ini"))
	f.Add("[bundle]\nversion = 1\n[route a]\npath = /{x}/{x}\nmethod = GET\n")
	f.Fuzz(func(t *testing.T, text string) {
		b, err := zybundle.Parse("fuzz", []byte(text))
		var problems *zyini.ProblemsError
		if err != nil && (!errors.As(err, &problems) || len(problems.Problems) == 0) {
			t.Fatalf("got error %v, want a *zyini.ProblemsError with at least one problem", err)
		}
		if err == nil && (b.Version < 1 || b.Approvals >= len(b.Approvers)) {
			t.Fatal("Parse accepted a bundle without a version or without enough approvers")
		}
	})
}

func ExampleParse() {
	_, err := zybundle.Parse("shop.ini", []byte("[bundle]\nversion = one\napprovals = 1\ndefaultHome = here\n"))
	fmt.Println(err)
	// Output: shop.ini:2: [bundle] version: found "one"; accepted: a whole number from 1 to 2147483647
}
