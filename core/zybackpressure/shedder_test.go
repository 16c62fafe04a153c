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

// TestShedderRefusesTheLeastImportant has an entry node admit bookings, reads and
// lookups that all use one overloaded service, and calls that do not use it.
func TestShedderRefusesTheLeastImportant(t *testing.T) {
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
		refused, offered := map[string]int{}, map[string]int{}
		id := 0
		admit := func(r *zybundle.Route, n int) {
			for range n {
				id++
				v := d.Admit(now, r, zinniayoke.RequestID(fmt.Sprint(id)), uint64(id))
				offered[string(r.Name)]++
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
				clear(offered)
			}
			if i%10 < 3 {
				admit(booking, 1)
			}
			admit(read, 1)
			admit(lookup, 1)
			admit(free, 1)
		}
		for name, want := range map[string]float64{"booking": c.booking, "read": c.read, "lookup": c.lookup, "free": 0} {
			if got := float64(refused[name]) / float64(offered[name]); math.Abs(got-want) > 0.15 {
				t.Errorf("excess share %.2f: refused %.2f of the %s calls, want %.2f", c.share, got, name, want)
			}
		}
	}
}

// TestSwingsRefuseTheLeastImportantOnly guards against refusing more important calls
// at each peak of a fluctuating share. Lookups cause 0.7 of the demand and reads the
// rest: reads are admitted while the share swings around 0.6, and refused in part
// while it stays at 0.9.
func TestSwingsRefuseTheLeastImportantOnly(t *testing.T) {
	for _, c := range []struct {
		name       string
		low, high  float64
		minRefused float64
		maxRefused float64
	}{
		{"swinging", 0.35, 0.85, 0, 0.05},
		{"high", 0.9, 0.9, 0.6, 0.75},
	} {
		d := zybackpressure.NewShedder()
		now := time.Now()
		lookup, read := route("lookup", 125), route("read", 126)
		refused, offered := 0, 0
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
			offered++
			if !v.Admitted {
				refused++
			}
		}
		if got := float64(refused) / float64(offered); got < c.minRefused || got > c.maxRefused {
			t.Errorf("%s: refused share of the reads is %.2f, want %.2f to %.2f", c.name, got, c.minRefused, c.maxRefused)
		}
	}
}

// TestZeroCostCallsAreAdmitted has a reply report a cost of 0 for an overloaded
// service.
func TestZeroCostCallsAreAdmitted(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 0)
	d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", ExcessShare: 0.9}})
	if v := d.Admit(now.Add(50*time.Millisecond), r, "second", 1); !v.Admitted {
		t.Errorf("a call without cost was refused: %+v", v)
	}
}

// TestRetriesTakePrecedence checks that the retry of a refused call is admitted. If
// retries were refused at the same rate as new calls, some calls would fail however
// often they are retried.
func TestRetriesTakePrecedence(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 0)
	d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 1, ExcessShare: 0.5}})
	now = now.Add(50 * time.Millisecond)
	refused := 0
	for i := range 200 {
		id, content := zinniayoke.RequestID(fmt.Sprint(i)), uint64(i+1)
		if d.Admit(now, r, id, content).Admitted {
			continue
		}
		refused++
		if v := d.Admit(now.Add(300*time.Millisecond), r, id+"again", content); !v.Admitted || !v.Retry {
			t.Errorf("retry of call %d: got %+v, want it admitted as a retry", i, v)
		}
	}
	if refused < 50 {
		t.Errorf("%d of 200 first attempts were refused, want at least 50", refused)
	}
}

// TestSharesExpire guards against refusing calls on an old report. Without replies,
// nothing reports that the service has capacity again.
func TestSharesExpire(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 0)
	d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 1, ExcessShare: 0.9}})
	now = now.Add(50 * time.Millisecond)
	if v := d.Admit(now, r, "a", 1); v.RefusedShare < 0.5 || v.Service != "deep" {
		t.Errorf("%+v right after the report, want most calls refused because of service deep", v)
	}
	if v := d.Admit(now.Add(3*time.Second), r, "b", 2); v.RefusedShare != 0 {
		t.Errorf("%+v 3 s after the last report, want no calls refused", v)
	}
}

// TestRetryAfterRefusalByWorkerTakesPrecedence has a call admitted here but refused
// by the admission queue of a worker.
func TestRetryAfterRefusalByWorkerTakesPrecedence(t *testing.T) {
	d := zybackpressure.NewShedder()
	now := time.Now()
	r := route("lookup", 125)
	d.Admit(now, r, "first", 7)
	d.RecordRefusal(now, 7)
	if v := d.Admit(now.Add(time.Second), r, "again", 7); !v.Retry {
		t.Errorf("%+v, want a retry", v)
	}
	if v := d.Admit(now.Add(time.Second), r, "third", 7); v.Retry {
		t.Errorf("%+v for the call after the retry, want a new call", v)
	}
}
