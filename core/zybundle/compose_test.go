package zybundle_test

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

func compose(t *testing.T, routes ...zybundle.PrefixRoute) *zybundle.Bundle {
	t.Helper()
	b, err := zybundle.Compose(zybundle.Composition{Version: 7, Routes: routes})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func prefixRoute(name, host, prefix string) zybundle.PrefixRoute {
	return zybundle.PrefixRoute{Route: zybundle.Route{
		Name: zinniayoke.RouteName(name), Host: host, Prefix: prefix, Service: "s", Attempts: 1,
	}}
}

// TestMatchHostPrefersLongestPrefix checks that prefixes match whole path segments and
// only on their own host, the longest first.
func TestMatchHostPrefersLongestPrefix(t *testing.T) {
	b := compose(t,
		prefixRoute("root", "a.example", "/"),
		prefixRoute("short", "a.example", "/x/"),
		prefixRoute("long", "a.example", "/x/y/"),
		prefixRoute("other", "b.example", "/x/"),
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x/y/z/w", "long"},
		{"A.EXAMPLE", "/x/y/", "long"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		r, err := b.MatchHost(c.host, c.path)
		if c.want == "" {
			var refusal *zinniayoke.CallError
			if !errors.As(err, &refusal) || refusal.Reason != zinniayoke.ReasonNoRoute {
				t.Errorf("%s%s: got %v, %v; want no route", c.host, c.path, r, err)
			}
			continue
		}
		if err != nil || string(r.Name) != c.want {
			t.Errorf("%s%s: got %v, %v; want %s", c.host, c.path, r, err, c.want)
		}
	}
}

// TestMatchHostEqualsLinearSearch compares the lookup with a linear search of all
// routes.
func TestMatchHostEqualsLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab", "%2F"})
		var routes []zybundle.PrefixRoute
		seen := map[string]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			prefix := "/"
			for _, s := range rapid.SliceOfN(segment, 0, 3).Draw(t, "prefix") {
				prefix += s + "/"
			}
			if !seen[prefix] {
				routes = append(routes, prefixRoute(prefix, "h", prefix))
			}
			seen[prefix] = true
		}
		b, err := zybundle.Compose(zybundle.Composition{Version: 1, Routes: routes})
		if err != nil {
			t.Fatal(err)
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "/")
		want := ""
		for prefix := range seen {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		r, err := b.MatchHost("h", path)
		if got := ""; err == nil {
			got = string(r.Name)
			if got != want {
				t.Fatalf("%s: got %q, want %q", path, got, want)
			}
		} else if want != "" {
			t.Fatalf("%s: got %v, want %q", path, err, want)
		}
	})
}

// TestComposeRejects checks that each invalid part of a composition is reported as a
// *CompositionError.
func TestComposeRejects(t *testing.T) {
	split := []zybundle.WeightedService{{Service: "a", Weight: 1}}
	for _, c := range []struct {
		name        string
		composition zybundle.Composition
		want        string
	}{
		{"no version", zybundle.Composition{}, "version"},
		{"no trailing slash", zybundle.Composition{Version: 1, Routes: []zybundle.PrefixRoute{prefixRoute("r", "h", "/x")}}, "slash"},
		{"neither service nor split", zybundle.Composition{Version: 1, Routes: []zybundle.PrefixRoute{{Route: zybundle.Route{Prefix: "/"}}}}, "either a service or a split"},
		{"both service and split", zybundle.Composition{Version: 1, Routes: []zybundle.PrefixRoute{{Route: zybundle.Route{Prefix: "/", Service: "s", Split: split}}}}, "either a service or a split"},
		{"negative weight", zybundle.Composition{Version: 1, Routes: []zybundle.PrefixRoute{{Route: zybundle.Route{Prefix: "/", Split: []zybundle.WeightedService{{Service: "a", Weight: -1}}}}}}, "weights of 0 or more"},
	} {
		_, err := zybundle.Compose(c.composition)
		var compositionError *zybundle.CompositionError
		if !errors.As(err, &compositionError) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", c.name, err, c.want)
		}
	}
}
