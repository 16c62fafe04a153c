package zybackpressure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyfairshare"
)

func customer(name string, level int) zyfairshare.Customer {
	return zyfairshare.Customer{Name: zinniayoke.Customer(name), Weight: 10, Level: level}
}

// offer sends 100 calls a second of each customer, times its multiple, for 10 s. A third are
// bookings and the rest lookups; all cost the same. It returns the refused share of each
// customer's bookings and lookups, and that of all calls.
func offer(excess float64, customers []zyfairshare.Customer, multiple func(i int) int) (bookings, lookups []float64, all float64) {
	d := zybackpressure.NewShedder()
	booking, lookup := route("booking", 127), route("lookup", 125)
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(0, 0)
	type count struct{ offered, refused float64 }
	counts := make([][2]count, len(customers))
	id, offered, refused := 0, 0.0, 0.0
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		for i, c := range customers {
			for range multiple(i) {
				kind, r := 1, lookup
				if random.IntN(3) == 0 {
					kind, r = 0, booking
				}
				id++
				v := d.AdmitFor(now, r, c, zinniayoke.RequestID(fmt.Sprint(id)), uint64(id))
				d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 0.01, ExcessShare: excess}})
				if step < 300 {
					continue
				}
				n := &counts[i][kind]
				n.offered++
				offered++
				if !v.Admitted {
					n.refused++
					refused++
				}
			}
		}
	}
	for _, n := range counts {
		bookings = append(bookings, n[0].refused/n[0].offered)
		lookups = append(lookups, n[1].refused/n[1].offered)
	}
	return bookings, lookups, refused / offered
}

// TestCustomerAboveItsShareIsRefusedFirst has one of ten customers send 8 times as much as
// the others. What has to be refused is no more than without customers, and all of it is
// the calls of that one, up to the part that it keeps.
func TestCustomerAboveItsShareIsRefusedFirst(t *testing.T) {
	for _, excess := range []float64{0.1, 0.3, 0.45, 0.7} {
		var customers []zyfairshare.Customer
		for i := range 10 {
			customers = append(customers, customer(fmt.Sprint(i), 0))
		}
		multiple := func(i int) int {
			if i == 0 {
				return 8
			}
			return 1
		}
		_, lookups, all := offer(excess, customers, multiple)
		_, _, without := offer(excess, make([]zyfairshare.Customer, 10), multiple)
		if math.Abs(all-without) > 0.02 || math.Abs(all-excess) > 0.02 {
			t.Errorf("excess share %.2f: %.3f of the calls are refused, %.3f without customers", excess, all, without)
		}
		// Of 17 parts, the nine others have 9. 0.3 of the calls of the first one are kept.
		if excess > 0.3 {
			continue
		}
		for i, refused := range lookups[1:] {
			if refused > 0.01 {
				t.Errorf("excess share %.2f: customer %d at its usual rate has %.3f of its lookups refused", excess, i+1, refused)
			}
		}
	}
}

// TestCustomerPriorityPrecedesClass has customers of a lower priority send bookings: the
// lookups of the higher priority come first, but the lower one keeps its part.
func TestCustomerPriorityPrecedesClass(t *testing.T) {
	bookings, lookups, _ := offer(0.3, []zyfairshare.Customer{customer("a", 0), customer("b", 0), customer("c", 1)}, func(int) int { return 1 })
	// The higher one gets 183 of 200 calls, which costs it 0.13 of its lookups.
	if lookups[0] > 0.15 || lookups[1] > 0.15 || bookings[0] > 0.01 {
		t.Errorf("refused of the higher priority: %.2f and %.2f of the lookups, %.2f of the bookings", lookups[0], lookups[1], bookings[0])
	}
	// It keeps 0.3 times 0.91 of its calls, which are less than its bookings.
	if served := 1 - (bookings[2]+2*lookups[2])/3; served < 0.25 || served > 0.35 || lookups[2] < 0.97 {
		t.Errorf("the lower priority is served %.2f of its calls and refused %.2f of its lookups, want 0.27 and 1", served, lookups[2])
	}
}

// TestRetriesCountForTheShare has the clients of one of ten equal customers send each
// refused call again until it is admitted. Retries take precedence over its new calls, but
// are no way to get more than the others.
func TestRetriesCountForTheShare(t *testing.T) {
	d := zybackpressure.NewShedder()
	lookup := route("lookup", 125)
	now := time.Unix(0, 0)
	id := 0
	admitted := make([]int, 10)
	var refusedBefore []uint64
	retries, retriesAdmitted := 0, 0
	send := func(i int, content uint64) bool {
		id++
		v := d.AdmitFor(now, lookup, customer(fmt.Sprint(i), 0), zinniayoke.RequestID(fmt.Sprint(id)), content)
		d.UpdateCosts(now, lookup.Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 0.01, ExcessShare: 0.4}})
		if v.Admitted {
			admitted[i]++
		}
		return v.Admitted
	}
	for step := range 2000 {
		now = now.Add(10 * time.Millisecond)
		if step == 500 {
			clear(admitted)
		}
		again := refusedBefore
		refusedBefore = nil
		for _, content := range again {
			retries++
			if send(0, content) {
				retriesAdmitted++
			} else {
				refusedBefore = append(refusedBefore, content)
			}
		}
		for i := range admitted {
			if !send(i, uint64(id)+1<<40) && i == 0 {
				refusedBefore = append(refusedBefore, uint64(id)+1<<40-1)
			}
		}
		refusedBefore = refusedBefore[max(0, len(refusedBefore)-5):]
	}
	others := 0
	for _, n := range admitted[1:] {
		others += n
	}
	if mean := float64(others) / 9; float64(admitted[0]) > 1.05*mean {
		t.Errorf("the customer that retries has %d calls admitted, the others %.0f each", admitted[0], mean)
	}
	if share := float64(retriesAdmitted) / float64(retries); share < 0.1 {
		t.Errorf("%.2f of the retries are admitted", share)
	}
}

// BenchmarkAdmitFor measures calls of 82 customers to four routes of which nothing is
// refused, and with an excess share.
func BenchmarkAdmitFor(b *testing.B) {
	for _, c := range []struct {
		name   string
		excess float64
	}{{"nothing refused", 0}, {"refusing", 0.3}} {
		b.Run(c.name, func(b *testing.B) {
			d := zybackpressure.NewShedder()
			now := time.Unix(0, 0)
			step := func(i int) {
				now = now.Add(time.Millisecond)
				r := route4[i%4]
				d.AdmitFor(now, r, customers82[i*7%82], "request", uint64(i))
			}
			for i := range 1000 {
				step(i)
				for _, r := range route4 {
					d.UpdateCosts(now, r.Name, []zinniayoke.ServiceCost{
						{Service: "a", Cost: 0.1}, {Service: "b", Cost: 0.1}, {Service: "c", Cost: 0.1}, {Service: "deep", Cost: 0.1, ExcessShare: c.excess},
					})
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				step(i)
				if c.excess > 0 && i%100 == 0 {
					d.UpdateCosts(now, route4[0].Name, []zinniayoke.ServiceCost{{Service: "deep", Cost: 0.1, ExcessShare: c.excess}})
				}
			}
		})
	}
}

var (
	route4      = []*zybundle.Route{route("a", 124), route("b", 125), route("c", 126), route("d", 127)}
	customers82 = func() (all []zyfairshare.Customer) {
		for i := range 82 {
			all = append(all, customer(fmt.Sprint(i), 0))
		}
		return all
	}()
)
