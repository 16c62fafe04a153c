package zybackpressure_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybundle"
)

func route(name string, importance int) *zybundle.Route {
	return &zybundle.Route{Name: zinniayoke.RouteName(name), Class: zybundle.Class{Importance: importance}}
}

// TestDoorRefusesTheLeastImportant replays an entry where bookings, reads and
// lookups burden one service, which has no room for a part of that.
func TestDoorRefusesTheLeastImportant(t *testing.T) {
	booking, read, lookup, free := route("booking", 127), route("read", 126), route("lookup", 125), route("free", 125)
	for _, c := range []struct {
		share                 float64
		booking, read, lookup float64
	}{
		{0, 0, 0, 0},
		{0.3, 0, 0, 0.6},
		{0.5, 0, 0, 1},
		{0.6, 0, 0.5, 1},
		{0.85, 0.5, 1, 1},
	} {
		d := zybackpressure.NewShedder()
		now := time.Now()
		refused, asked := map[string]int{}, map[string]int{}
		id := 0
		ask := func(r *zybundle.Route, n int) {
			for range n {
				id++
				v := d.Admit(now, r, zinniayoke.RequestID(fmt.Sprint(id)), uint64(id))
				asked[string(r.Name)]++
				if !v.Admitted {
					refused[string(r.Name)]++
				}
			}
		}
		for i := range 300 {
			now = now.Add(10 * time.Millisecond)
			// Each second: 30 bookings of 10 ms, 100 reads of 2 ms, 100 lookups of 5 ms.
			for _, r := range []struct {
				route *zybundle.Route
				cost  float64
			}{{booking, 0.010}, {read, 0.002}, {lookup, 0.005}} {
				d.UpdateCosts(now, r.route.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: r.cost, ExcessShare: c.share}})
			}
			if i == 100 {
				clear(refused)
				clear(asked)
			}
			if i%10 < 3 {
				ask(booking, 1)
			}
			ask(read, 1)
			ask(lookup, 1)
			ask(free, 1)
		}
		for name, want := range map[string]float64{"booking": c.booking, "read": c.read, "lookup": c.lookup, "free": 0} {
			if got := float64(refused[name]) / float64(asked[name]); math.Abs(got-want) > 0.15 {
				t.Errorf("share %.2f: %.2f of %s is refused, want %.2f", c.share, got, name, want)
			}
		}
	}
}

// TestSwingsRefuseTheLeastImportantOnly replays a share that swings around 0.6,
// where lookups are 0.7 of the burden and reads the rest, and one that stays high.
func TestSwingsRefuseTheLeastImportantOnly(t *testing.T) {
	for _, c := range []struct {
		name      string
		low, high float64
		least     float64
		most      float64
	}{
		{"swinging", 0.35, 0.85, 0, 0.05},
		{"high", 0.9, 0.9, 0.6, 0.75},
	} {
		d := zybackpressure.NewShedder()
		now := time.Now()
		lookup, read := route("lookup", 125), route("read", 126)
		refused, asked := 0, 0
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			share := c.low
			if i/40%2 == 1 {
				share = c.high
			}
			id := zinniayoke.RequestID(fmt.Sprint(i))
			d.Admit(now, lookup, id+"l", uint64(2*i))
			v := d.Admit(now, read, id+"r", uint64(2*i+1))
			d.UpdateCosts(now, "lookup", []zinniayoke.ServiceCost{{Service: "deep", Cost: 0.007, ExcessShare: share}})
			d.UpdateCosts(now, "read", []zinniayoke.ServiceCost{{Service: "deep", Cost: 0.003, ExcessShare: share}})
			if i < 500 {
				continue
			}
			asked++
			if !v.Admitted {
				refused++
			}
		}
		if got := float64(refused) / float64(asked); got < c.least || got > c.most {
			t.Errorf("%s: %.2f of the reads are refused, want %.2f to %.2f", c.name, got, c.least, c.most)
		}
	}
}

// TestFreeCallsAreLetIn has replies tell that a call costs a full service nothing.
func TestFreeCallsAreLetIn(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 0)
	d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", ExcessShare: 0.9}})
	if v := d.Admit(now.Add(50*time.Millisecond), r, "second", 1); !v.Admitted {
		t.Errorf("a call that costs nothing was refused: %+v", v)
	}
}

func TestWhatComesBackGoesFirst(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 0)
	d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 1, ExcessShare: 0.5}})
	now = now.Add(50 * time.Millisecond)
	again := 0
	for i := range 200 {
		id, content := zinniayoke.RequestID(fmt.Sprint(i)), uint64(i+1)
		if d.Admit(now, r, id, content).Admitted {
			continue
		}
		again++
		if v := d.Admit(now.Add(300*time.Millisecond), r, id+"again", content); !v.Admitted || !v.Retry {
			t.Errorf("call %d was refused when it came back: %+v", i, v)
		}
	}
	if again < 50 {
		t.Errorf("only %d of 200 calls were refused at first", again)
	}
}

func TestSharesAreForgotten(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 0)
	d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 1, ExcessShare: 0.9}})
	now = now.Add(50 * time.Millisecond)
	if v := d.Admit(now, r, "a", 1); v.RefusedShare < 0.5 || v.Service != "deep" {
		t.Errorf("%+v at once, want most refused for the deep service", v)
	}
	if v := d.Admit(now.Add(3*time.Second), r, "b", 2); v.RefusedShare != 0 {
		t.Errorf("%+v 3 s after the last word, want nothing refused", v)
	}
}

// TestRefusedDeeperGoesFirstToo lets a call in that is refused by a gate.
func TestRefusedDeeperGoesFirstToo(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 7)
	d.RecordRefusal(now, 7)
	if v := d.Admit(now.Add(time.Second), r, "again", 7); !v.Retry {
		t.Errorf("%+v, want a call that has come back", v)
	}
	if v := d.Admit(now.Add(time.Second), r, "third", 7); v.Retry {
		t.Errorf("%+v, want a call that is taken as new the next time", v)
	}
}
