package zymetric

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniayoke"
	"zinniayoke/core/zytopk"
)

const (
	// maxCustomerLabels is the number of customers that have series of their own.
	maxCustomerLabels = 20
	// maxCountedCustomers limits the memory: among up to so many customers the largest are
	// found exactly, among more those with over 1/256 of the requests are found.
	maxCountedCustomers = 256
	// customerPeriod is how often the largest are determined. A series lives that long at
	// least, so that it has several samples.
	customerPeriod = time.Minute
	// customerHalfLife makes the largest those of about the last quarter of an hour.
	customerHalfLife = 10 * time.Minute
)

// customerCounters counts requests by customer: the largest have series of their own, the rest
// is counted as otherLabel. A customer that is no longer one of the largest loses its series.
type customerCounters struct {
	// mu also covers the counting: a customer that has just lost its series must not get one
	// again from a request that was classified before.
	mu       sync.Mutex
	largest  *zytopk.Tracker
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

func newCustomerCounters(cfg Config) *customerCounters {
	return &customerCounters{
		largest: zytopk.New(zytopk.Config{
			Size: maxCustomerLabels, Capacity: maxCountedCustomers, Period: customerPeriod, HalfLife: customerHalfLife,
		}),
		requests: counter(cfg, "customer_requests_total", "Requests by customer.", "customer"),
		refusals: counter(cfg, "customer_refusals_total", "Requests without an answer by customer and reason.", "customer", "reason"),
	}
}

// observe counts a request. Requests without a customer have the label "", which is no
// customer's name.
func (c *customerCounters) observe(now time.Time, s zinniayoke.CallSample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	label := string(s.Customer)
	if label != "" {
		isLargest, dropped := c.largest.Observe(now, label)
		if !isLargest {
			label = otherLabel
		}
		for _, name := range dropped {
			c.requests.DeletePartialMatch(prometheus.Labels{"customer": name})
			c.refusals.DeletePartialMatch(prometheus.Labels{"customer": name})
		}
	}
	c.requests.WithLabelValues(label).Inc()
	if s.Outcome != zinniayoke.OutcomeDone {
		c.refusals.WithLabelValues(label, s.Reason.String()).Inc()
	}
}
