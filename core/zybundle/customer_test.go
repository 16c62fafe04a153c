package zybundle_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyini"
)

func hexHash(key string) string {
	hash := zybundle.HashKey(key)
	return hex.EncodeToString(hash[:])
}

// customerSections are two customers, the first with two keys, and a public route.
var customerSections = fmt.Sprintf(`
[customer mill]
keyHashes = %s, %s
priority = 1
rate = 50/s
burst = 20

[customer forge]
keyHashes = %s

[route web]
host = shop.example
prefix = /
service = settings
class = lookup
attempts = 3
public = true
`, hexHash("K1"), hexHash("K2"), hexHash("K3"))

// customerBundle returns a bundle with customerSections, which begin after offset lines.
func customerBundle(t *testing.T) (text string, offset int) {
	t.Helper()
	head := example(t, "hollander.bundle.ini")
	return strings.Replace(head, "version = 1", "version = 1\nevenLoad = true", 1) + customerSections, strings.Count(head, "\n") + 1
}

func TestParseCustomers(t *testing.T) {
	text, _ := customerBundle(t)
	b, err := zybundle.Parse("b", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if !b.EvenLoad || !b.Routes["web"].Public || b.Routes["settings/gaps"].Public {
		t.Errorf("evenLoad %t, web public %t", b.EvenLoad, b.Routes["web"].Public)
	}
	for key, want := range map[string]zinniayoke.Customer{"K1": "mill", "K2": "mill", "K3": "forge", "": "", "K": "", strings.Repeat("K", 8<<10): ""} {
		if c, ok := b.CustomerOf(key); c.Name != want || ok != (want != "") {
			t.Errorf("key %.10q: customer %q, known %t, want %q", key, c.Name, ok, want)
		}
	}
	if got, want := b.Customers["mill"].Limit, (zinniayoke.CustomerLimit{Customer: "mill", Rate: 50, Burst: 20}); got != want {
		t.Errorf("limit %+v, want %+v", got, want)
	}
	if got := b.Customers["forge"].Limit; got.Rate != 0 || got.Burst != 0 {
		t.Errorf("a customer without a rate has the limit %+v", got)
	}
}

// TestParseRejectsCustomers changes one line of valid customers and expects that problem at
// that line, counted from the begin of customerSections; an empty want means valid.
func TestParseRejectsCustomers(t *testing.T) {
	valid, offset := customerBundle(t)
	for _, c := range []struct {
		old, new string
		line     int
		want     string
	}{
		{"rate = 50/s", "rate = -1/s", 5, `[customer mill] rate: found "-1/s"; accepted: calls per second of 0 or more`},
		{"rate = 50/s", "rate = NaN/s", 5, `rate: found "NaN/s"`},
		{"rate = 50/s", "rate = 50", 5, `rate: found "50"`},
		{"rate = 50/s\n", "", 5, "burst: found 20 without a rate; accepted: a rate above 0"},
		{"rate = 50/s", "rate = 0/s", 6, "burst: found 20 without a rate"},
		{"rate = 50/s\nburst = 20", "rate = 0/s", 0, ""},
		{"burst = 20", "burst = -1", 6, `burst: found "-1"`},
		{"priority = 1", "priority = -1", 4, `priority: found "-1"; accepted: a whole number from 0 to 255`},
		{hexHash("K3"), hexHash("K2"), 9, "keyHashes: found a key of customer mill; accepted: different keys"},
		{hexHash("K3"), "K3", 9, "keyHashes: found \"K3\"; accepted: a comma-separated list of: 32 bytes"},
		{hexHash("K3"), hexHash(""), 9, "keyHashes: found the digest of an empty key"},
		{"[customer forge]", "[customer]", 8, "[customer]: found no name"},
		{"[customer forge]", "[customer the forge]", 8, `found "the forge"; accepted: [customer name] with a name of 1 to 64`},
		{"[customer forge]", "[customer mill]", 8, "[customer mill]: found a duplicate section; first defined on line"},
		{"public = true", "public = yes", 17, "public: found \"yes\"; accepted: true or false"},
		{"keyHashes = " + hexHash("K3"), "", 0, ""},
	} {
		_, err := zybundle.Parse("b.ini", []byte(strings.Replace(valid, c.old, c.new, 1)))
		if c.want == "" {
			if err != nil {
				t.Errorf("%q: %v", c.new, err)
			}
			continue
		}
		var problems *zyini.ProblemsError
		if !errors.As(err, &problems) || len(problems.Problems) != 1 || !strings.Contains(err.Error(), c.want) ||
			problems.Problems[0].Line != offset+c.line || problems.Problems[0].File != "b.ini" {
			t.Errorf("%q instead of %q: got %v, want one problem %q on line %d", c.new, c.old, err, c.want, offset+c.line)
		}
	}
}

// TestAuthenticateWithCustomers guards against a customer's key that is refused as an unknown
// token, and against one that gives the name of a caller with a token.
func TestAuthenticateWithCustomers(t *testing.T) {
	text, _ := customerBundle(t)
	for _, anonymous := range []bool{false, true} {
		b, err := zybundle.Parse("b", []byte(strings.Replace(text, "anonymous = false", fmt.Sprintf("anonymous = %t", anonymous), 1)))
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range []struct {
			token, claimed string
			want           zinniayoke.Caller
			refused        bool
		}{
			{token: "K1"},
			{token: "K1", claimed: "fitters-yame", refused: true},
			{token: "demo-fitters-yame", want: "fitters-yame"},
			{token: "wrong", refused: !anonymous},
			{refused: !anonymous},
		} {
			got, err := b.Authenticate(c.token, c.claimed)
			if c.refused != (err != nil) || got.Name != c.want || err == nil && got.Home == "" {
				t.Errorf("anonymous %t, token %q, claimed %q: got %+v, error %v, want caller %q, refused %t", anonymous, c.token, c.claimed, got, err, c.want, c.refused)
			}
		}
	}
}

// TestComposeCustomers checks that a key may move between versions, that a customer may lose
// all keys, and that names which would change in a header, and limits that are no numbers,
// are rejected.
func TestComposeCustomers(t *testing.T) {
	customer := func(name string, keys ...string) zybundle.Customer {
		c := zybundle.Customer{Name: zinniayoke.Customer(name)}
		for _, key := range keys {
			c.KeyHashes = append(c.KeyHashes, zybundle.HashKey(key))
		}
		return c
	}
	limited := func(rate, burst float64) zybundle.Customer {
		return zybundle.Customer{Name: "a", Limit: zinniayoke.CustomerLimit{Rate: zinniayoke.Rate(rate), Burst: burst}}
	}
	for _, c := range []struct {
		customers []zybundle.Customer
		owner     zinniayoke.Customer // of key K
		want      string              // the problem
	}{
		{[]zybundle.Customer{customer("a", "K"), customer("b")}, "a", ""},
		{[]zybundle.Customer{customer("a"), customer("b", "K", "K")}, "b", ""},
		{[]zybundle.Customer{customer("a"), customer("b")}, "", ""},
		{[]zybundle.Customer{customer("a", "K"), customer("b", "K")}, "", "customer b: found keyHashes a key of customer a"},
		{[]zybundle.Customer{customer("a"), customer("a")}, "", "a second customer with the name"},
		{[]zybundle.Customer{customer("")}, "", "a name"},
		{[]zybundle.Customer{customer("a\r\nX-Admin: 1")}, "", "a name without control characters"},
		{[]zybundle.Customer{customer(" a")}, "", "a name without control characters"},
		{[]zybundle.Customer{limited(-1, 0)}, "", "rate -1"},
		{[]zybundle.Customer{limited(math.NaN(), 0)}, "", "rate NaN"},
		{[]zybundle.Customer{limited(math.Inf(1), 0)}, "", "rate +Inf"},
		{[]zybundle.Customer{limited(1, math.NaN())}, "", "burst NaN"},
		{[]zybundle.Customer{limited(0, 1)}, "", "burst 1 without a rate"},
	} {
		b, err := zybundle.Compose(zybundle.Composition{Version: 1, Customers: c.customers})
		if c.want != "" {
			var problem *zybundle.CompositionError
			if !errors.As(err, &problem) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%+v: got error %v, want %q", c.customers, err, c.want)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := b.CustomerOf("K"); got.Name != c.owner {
			t.Errorf("%+v: the key belongs to %q, want %q", c.customers, got.Name, c.owner)
		}
	}
}

// TestImportanceWithCustomers guards against a route's priority that outweighs that of the
// customer, also with more priorities than there are importances.
func TestImportanceWithCustomers(t *testing.T) {
	for _, priorities := range []int{1, 4, 100} {
		c := zybundle.Composition{Version: 1}
		for i := range 3 {
			r := prefixRoute(fmt.Sprint(i), "h", fmt.Sprintf("/%d/", i))
			r.Priority = i
			c.Routes = append(c.Routes, r)
		}
		for i := range priorities {
			c.Customers = append(c.Customers, zybundle.Customer{Name: zinniayoke.Customer(fmt.Sprint("c", i)), Priority: i * 2})
		}
		b, err := zybundle.Compose(c)
		if err != nil {
			t.Fatal(err)
		}
		previous := math.MaxInt
		for _, customer := range c.Customers {
			for _, r := range c.Routes {
				got := b.Importance(customer.Name, b.Routes[r.Name])
				if got > previous || got == previous && priorities < 100 || got < 0 || got > 127 {
					t.Fatalf("%d priorities: %s on route %s has importance %d after %d", priorities, customer.Name, r.Name, got, previous)
				}
				previous = got
			}
		}
		if got := b.Importance("", b.Routes["0"]); got != 127 {
			t.Errorf("%d priorities: without a customer the importance is %d, want 127", priorities, got)
		}
	}
	text, _ := customerBundle(t)
	b, err := zybundle.Parse("b", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if mill, forge := b.Importance("mill", b.Routes["orderdesk/orders"]), b.Importance("forge", b.Routes["web"]); mill >= forge {
		t.Errorf("in a parsed bundle priority 1 has importance %d, priority 0 has %d", mill, forge)
	}
}

// BenchmarkCustomerOf measures the check of a key, which may take part of 2 us a request.
func BenchmarkCustomerOf(b *testing.B) {
	c := zybundle.Composition{Version: 1}
	for i := range 82 {
		c.Customers = append(c.Customers, zybundle.Customer{Name: zinniayoke.Customer(fmt.Sprint(i)), KeyHashes: []zybundle.KeyHash{zybundle.HashKey(fmt.Sprint("a-key-of-usual-length-", i))}})
	}
	bundle, err := zybundle.Compose(c)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		bundle.CustomerOf("a-key-of-usual-length-7")
	}
}
