package zyattempt

import (
	"sync"
	"time"

	"zinniayoke"
)

// ServiceRetryConfig configures ServiceRetryBudgets. In each window, all nodes
// together may retry Ratio of the first sends to a service, and Slack more.
type ServiceRetryConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
	// NodeCount returns the number of nodes among which the slack is divided.
	NodeCount func() int
}

const (
	// bucketCount is the number of buckets into which a window is divided for
	// counting.
	bucketCount = 10
	// directShare is the part of the budget that a node spends on its own retries.
	// The rest covers the child calls of a repeated run, which count as retries too.
	directShare = 0.5
	// maxServices limits the table; the design is for 510 services.
	maxServices = 4096
)

// ServiceRetryBudgets limits the retries to each service, that is the sends beyond
// the first of each call. Each node keeps to its own part of the budget, so that
// the nodes need not communicate to keep the total. It may be used by several
// goroutines. ServiceRetryBudgets must be created with NewServiceRetryBudgets.
type ServiceRetryBudgets struct {
	cfg ServiceRetryConfig
	// start is the origin of the buckets. It has a monotonic clock reading, so that
	// changes of the wall clock do not move them.
	start    time.Time
	mu       sync.Mutex
	services map[zinniayoke.Service]*sendCounts
}

// sendCounts is a ring of buckets; bucket is the number of the newest one.
type sendCounts struct {
	bucket     int64
	firstSends [bucketCount]int
	retries    [bucketCount]int
}

// NewServiceRetryBudgets returns budgets without any recorded sends.
func NewServiceRetryBudgets(cfg ServiceRetryConfig) *ServiceRetryBudgets {
	return &ServiceRetryBudgets{cfg: cfg, start: time.Now(), services: make(map[zinniayoke.Service]*sendCounts)}
}

// SetLimits changes the ratio and the slack.
func (b *ServiceRetryBudgets) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Ratio, b.cfg.Slack = ratio, slack
}

// RecordFirstSend counts the first send of a call to the service.
func (b *ServiceRetryBudgets) RecordFirstSend(now time.Time, service zinniayoke.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.countsFor(now, service); c != nil {
		c.firstSends[c.bucket%bucketCount]++
	}
}

// Spend takes one retry and reports whether the budget allows it.
func (b *ServiceRetryBudgets) Spend(now time.Time, service zinniayoke.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsFor(now, service)
	if c == nil {
		return false
	}
	firstSends, retries := 0, 0
	for i := range bucketCount {
		firstSends += c.firstSends[i]
		retries += c.retries[i]
	}
	allowed := directShare * (b.cfg.Ratio*float64(firstSends) + b.cfg.Slack/float64(max(b.cfg.NodeCount(), 1)))
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.bucket%bucketCount]++
	return true
}

// countsFor returns the counts of a service, with expired buckets cleared, or nil
// if the table is full.
func (b *ServiceRetryBudgets) countsFor(now time.Time, service zinniayoke.Service) *sendCounts {
	bucket := int64(now.Sub(b.start) / (b.cfg.Window / bucketCount))
	c, ok := b.services[service]
	if !ok {
		if len(b.services) >= maxServices {
			return nil
		}
		c = &sendCounts{bucket: bucket}
		b.services[service] = c
	}
	if bucket-c.bucket >= bucketCount || bucket < c.bucket {
		*c = sendCounts{bucket: bucket}
	}
	for c.bucket < bucket {
		c.bucket++
		c.firstSends[c.bucket%bucketCount], c.retries[c.bucket%bucketCount] = 0, 0
	}
	return c
}
