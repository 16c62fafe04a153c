package zyattempt

import (
	"sync"
	"time"

	"zinniayoke"
)

// ServiceRetryConfig configures Repeats. All nodes together may repeat Ratio of the
// first sends to a service and Slack more, in each window.
type ServiceRetryConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
	// NodeCount returns how many nodes share the slack.
	NodeCount func() int
}

const (
	// spans is how finely a window is counted.
	spans = 10
	// ownShare is the part of the ratio that a node spends itself. The rest covers
	// the calls that a repeated run makes, which are repeats too.
	ownShare = 0.5
	// mostServices bounds the table; the design is for 510 services.
	mostServices = 4096
)

// ServiceRetryBudgets bounds the sends to each service beyond the first of each call. Each
// node keeps to its own part, so that the sum holds without a message. It may be
// used by several goroutines. ServiceRetryBudgets must be made with NewRepeats.
type ServiceRetryBudgets struct {
	cfg ServiceRetryConfig
	// start anchors the spans, so that steps of the time of day do not move them.
	start time.Time
	mu    sync.Mutex
	by    map[zinniayoke.Service]*counts
}

type counts struct {
	span    int64
	firsts  [spans]int
	repeats [spans]int
}

// NewServiceRetryBudgets returns a budget without any sends.
func NewServiceRetryBudgets(cfg ServiceRetryConfig) *ServiceRetryBudgets {
	return &ServiceRetryBudgets{cfg: cfg, start: time.Now(), by: make(map[zinniayoke.Service]*counts)}
}

// SetLimits changes the ratio and the slack.
func (r *ServiceRetryBudgets) SetLimits(ratio, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Ratio, r.cfg.Slack = ratio, slack
}

// RecordFirstSend notes the first send of a call to the service.
func (r *ServiceRetryBudgets) RecordFirstSend(now time.Time, s zinniayoke.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.at(now, s); c != nil {
		c.firsts[c.span%spans]++
	}
}

// Spend takes one repeat and reports whether the budget has room for it.
func (r *ServiceRetryBudgets) Spend(now time.Time, s zinniayoke.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.at(now, s)
	if c == nil {
		return false
	}
	firsts, repeats := 0, 0
	for i := range spans {
		firsts += c.firsts[i]
		repeats += c.repeats[i]
	}
	allowed := ownShare * (r.cfg.Ratio*float64(firsts) + r.cfg.Slack/float64(max(r.cfg.NodeCount(), 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	c.repeats[c.span%spans]++
	return true
}

// at returns the counts of a service with those that are too old cleared, nil
// where the table is full.
func (r *ServiceRetryBudgets) at(now time.Time, s zinniayoke.Service) *counts {
	span := int64(now.Sub(r.start) / (r.cfg.Window / spans))
	c, ok := r.by[s]
	if !ok {
		if len(r.by) >= mostServices {
			return nil
		}
		c = &counts{span: span}
		r.by[s] = c
	}
	if span-c.span >= spans || span < c.span {
		*c = counts{span: span}
	}
	for c.span < span {
		c.span++
		c.firsts[c.span%spans], c.repeats[c.span%spans] = 0, 0
	}
	return c
}
