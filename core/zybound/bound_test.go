package zybound_test

import (
	"errors"
	"math"
	"testing"

	"zinniayoke/core/zybound"
	"zinniayoke/core/zyini"
)

const overload = `
[service deep]
slots = 10

[service front]
slots = 100

[kind booking]
rate = 10/s
worth = 3
uses = deep:400ms, front:500ms

[kind read]
rate = 50/s
worth = 2
uses = deep:60ms

[kind lookup]
rate = 60/s
worth = 1
uses = deep:100ms, front:300ms
`

// TestUpperBoundOfOverload has three kinds of calls demand more of one service than it
// has. The optimum serves first the kinds with the most worth per slot time, which is not
// the kind with the most worth per call.
func TestUpperBoundOfOverload(t *testing.T) {
	l, err := zybound.Parse("surge.ini", []byte(overload))
	if err != nil {
		t.Fatal(err)
	}
	b, err := zybound.UpperBound(l)
	if err != nil {
		t.Fatal(err)
	}
	// Reads and lookups have more worth per second of slot time in the deep service
	// than bookings. They use 3 and 6 of its 10 slots; bookings get the remaining
	// one, a quarter of what they need.
	for name, want := range map[string]float64{"read": 1, "lookup": 1, "booking": 0.25} {
		if math.Abs(b.ServedShares[name]-want) > 1e-6 {
			t.Errorf("served share %.3f of %s, want %.3f", b.ServedShares[name], name, want)
		}
	}
	if math.Abs(b.Utilization["deep"]-1) > 1e-6 || b.Utilization["front"] > 0.5 {
		t.Errorf("utilization %v, want 1 for deep and at most 0.5 for front", b.Utilization)
	}
}

// TestUpperBoundWithSpareCapacity checks that a load that fits is served completely.
func TestUpperBoundWithSpareCapacity(t *testing.T) {
	b, err := zybound.UpperBound(&zybound.Load{
		Services: []zybound.Service{{Name: "s", Slots: 10}}, Kinds: []zybound.CallKind{{Name: "k", Rate: 1, Worth: 1}},
	})
	if err != nil || math.Abs(b.WorthShare-1) > 1e-9 {
		t.Errorf("got %+v, %v; want a worth share of 1", b, err)
	}
}

// TestParseRejects checks loads without services or kinds, with an unknown service or
// with a rate without its unit.
func TestParseRejects(t *testing.T) {
	for _, text := range []string{"", "[service s]\nslots = 1\n", "[service s]\nslots = 1\n[kind k]\nrate = 1/s\nworth = 1\nuses = other:1ms\n", "[kind k]\nrate = 1\nworth = 1\n"} {
		_, err := zybound.Parse("l.ini", []byte(text))
		var problems *zyini.ProblemsError
		if !errors.As(err, &problems) {
			t.Errorf("%q: got %v, want a *zyini.ProblemsError", text, err)
		}
	}
}
