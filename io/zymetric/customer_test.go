package zymetric_test

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/io/zymetric"
)

// series returns the value of each series of a metric by its labels.
func series(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			key := ""
			for _, l := range m.GetLabel() {
				key += l.GetName() + "=" + l.GetValue() + " "
			}
			values[key] = m.GetCounter().GetValue()
		}
	}
	return values
}

// TestCustomerLabelsAreBounded has far more customers than labels. No request may be lost,
// and the largest must have a label.
func TestCustomerLabelsAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	bundle := &zybundle.Bundle{Customers: map[zinniayoke.Customer]zybundle.Customer{"large": {}}}
	m := zymetric.New(zymetric.Config{Registry: registry, Bundle: func() *zybundle.Bundle { return bundle }})
	const customers = 1000
	for i := range customers {
		m.ObserveCall(zinniayoke.CallSample{Customer: "large", Outcome: zinniayoke.OutcomeDone})
		m.ObserveCall(zinniayoke.CallSample{
			Customer: zinniayoke.Customer(fmt.Sprint("c", i)), Outcome: zinniayoke.OutcomeNotRun, Reason: zinniayoke.ReasonCallerLimit,
		})
		m.ObserveCall(zinniayoke.CallSample{Outcome: zinniayoke.OutcomeNotRun, Reason: zinniayoke.ReasonToken})
		m.ObserveCall(zinniayoke.CallSample{Outcome: zinniayoke.OutcomeDone, Child: true})
	}
	requests, refusals := series(t, registry, "zinniayoke_customer_requests_total"), series(t, registry, "zinniayoke_customer_refusals_total")
	total := 0.0
	for _, n := range requests {
		total += n
	}
	if len(requests) != 22 || total != 3*customers || requests["customer=large "] != customers || requests["customer=other "] != customers-19 {
		t.Errorf("%d series with %.0f requests: %v", len(requests), total, requests)
	}
	if refusals["customer=other reason=callerLimit "] != customers-19 || refusals["customer= reason=token "] != customers || len(refusals) != 21 {
		t.Errorf("refusals: %v", refusals)
	}
}

// TestNoCustomerSeriesWithoutCustomers checks that deployments without customers get no new
// series.
func TestNoCustomerSeriesWithoutCustomers(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := zymetric.New(zymetric.Config{Registry: registry, Bundle: func() *zybundle.Bundle { return &zybundle.Bundle{} }})
	m.ObserveCall(zinniayoke.CallSample{Outcome: zinniayoke.OutcomeDone})
	if got := series(t, registry, "zinniayoke_customer_requests_total"); len(got) != 0 {
		t.Errorf("series: %v", got)
	}
}

// BenchmarkObserveCustomer measures what the counters by customer add to a request, with as
// many customers as are counted, and with more.
func BenchmarkObserveCustomer(b *testing.B) {
	for _, customers := range []int{82, 4000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			bundle := &zybundle.Bundle{Customers: map[zinniayoke.Customer]zybundle.Customer{"c": {}}}
			m := zymetric.New(zymetric.Config{Registry: prometheus.NewRegistry(), Bundle: func() *zybundle.Bundle { return bundle }})
			names := make([]zinniayoke.Customer, customers)
			for i := range names {
				names[i] = zinniayoke.Customer(fmt.Sprint("c", i))
			}
			for i := 0; b.Loop(); i++ {
				m.ObserveCall(zinniayoke.CallSample{Customer: names[i%customers], Outcome: zinniayoke.OutcomeDone})
			}
		})
	}
	b.Run("none", func(b *testing.B) {
		bundle := &zybundle.Bundle{}
		m := zymetric.New(zymetric.Config{Registry: prometheus.NewRegistry(), Bundle: func() *zybundle.Bundle { return bundle }})
		for b.Loop() {
			m.ObserveCall(zinniayoke.CallSample{Outcome: zinniayoke.OutcomeDone})
		}
	})
}
