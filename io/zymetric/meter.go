// Package zymetric exports the measurements of a node as Prometheus metrics.
package zymetric

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// Config configures a Meter.
type Config struct {
	Registry *prometheus.Registry
	// Bundle returns the bundle in force, which limits the label values: names that it
	// does not define are counted as otherLabel.
	Bundle func() *zybundle.Bundle
}

// otherLabel is the label value for names that the bundle does not define.
const otherLabel = "other"

// Meter implements zinniayoke.Meter. A Meter must be created with New.
type Meter struct {
	cfg         Config
	byClass     *prometheus.HistogramVec
	byCaller    *prometheus.HistogramVec
	outcomes    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	mismatches  prometheus.Counter
	queueTime   *prometheus.HistogramVec
	serviceTime *prometheus.HistogramVec
	customers   *customerCounters
	redirects   *prometheus.CounterVec
	waits       prometheus.Counter
	capacity    prometheus.Gauge
	limit       prometheus.Gauge
	running     prometheus.Gauge

	sentTotal     atomic.Int64
	mismatchTotal atomic.Int64
	shedTotal     atomic.Int64
	callsTotal    atomic.Int64
	failedTotal   atomic.Int64
}

// Totals holds counts since the start of the node.
type Totals struct {
	Calls      int64 `json:"calls"`
	Attempts   int64 `json:"attempts"`
	Shed       int64 `json:"shed"`
	Failed     int64 `json:"failed"`
	Mismatched int64 `json:"mismatched"`
}

func durationBuckets() []float64 {
	const first, factor, count = 0.0005, 2, 16
	return prometheus.ExponentialBuckets(first, factor, count)
}

// New returns a Meter whose metrics are registered with the configured registry.
func New(cfg Config) *Meter {
	m := &Meter{cfg: cfg}
	m.byClass = histogram(cfg, "call_seconds_by_class", "Time of calls at their entry.", "class", "outcome")
	m.byCaller = histogram(cfg, "call_seconds_by_caller", "Time of calls at their entry.", "caller")
	m.queueTime = histogram(cfg, "queue_seconds", "Time of attempts in the queue before the worker.", "class")
	m.serviceTime = histogram(cfg, "worker_seconds", "Time of attempts at the worker, child calls left out.", "class")
	m.outcomes = counter(cfg, "outcomes_total", "Calls by outcome.", "class", "outcome")
	m.refusals = counter(cfg, "refusals_total", "Calls without an answer by reason.", "reason")
	m.attempts = counter(cfg, "attempts_total", "Attempts sent by service.", "service")
	m.customers = newCustomerCounters(cfg)
	m.mismatches = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "answers_dropped_total", Help: "Answers that were crossed, short or late.",
	})
	m.redirects = counter(cfg, "redirects_total", "Calls that were sent to another worker because the first one was busy, by its distance.", "distance")
	m.waits = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "avoidable_waits_total", Help: "Calls that waited although another worker in the failure domain was expected to have room.",
	})
	m.capacity = gauge("capacity_factor", "Speed of the worker in relation to the other workers of its service.")
	m.limit = gauge("concurrency_limit", "Calls that the worker may run at once.")
	m.running = gauge("concurrency_running", "Calls that the worker runs.")
	cfg.Registry.MustRegister(m.mismatches, m.waits, m.capacity, m.limit, m.running)
	return m
}

const namespace = "zinniayoke"

func histogram(cfg Config, name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets(),
	}, labels)
	cfg.Registry.MustRegister(h)
	return h
}

func counter(cfg Config, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	cfg.Registry.MustRegister(c)
	return c
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// ObserveCall records a finished call at its entry node.
func (m *Meter) ObserveCall(s zinniayoke.CallSample) {
	class, seconds := m.class(s.Class), s.Duration.Seconds()
	m.callsTotal.Add(1)
	m.outcomes.WithLabelValues(class, s.Outcome.String()).Inc()
	m.byClass.WithLabelValues(class, s.Outcome.String()).Observe(seconds)
	if !s.Child {
		m.byCaller.WithLabelValues(m.caller(s.Caller)).Observe(seconds)
		if bundle := m.cfg.Bundle(); bundle != nil && len(bundle.Customers) > 0 {
			m.customers.observe(time.Now(), s)
		}
	}
	if s.Outcome == zinniayoke.OutcomeDone {
		return
	}
	m.failedTotal.Add(1)
	if s.Reason == zinniayoke.ReasonShed {
		m.shedTotal.Add(1)
	}
	m.refusals.WithLabelValues(s.Reason.String()).Inc()
}

// ObserveAttempt records a finished attempt at the worker's node.
func (m *Meter) ObserveAttempt(s zinniayoke.AttemptSample) {
	class := m.class(s.Class)
	m.queueTime.WithLabelValues(class).Observe(s.QueueTime.Seconds())
	m.serviceTime.WithLabelValues(class).Observe(s.ServiceTime.Seconds())
	m.limit.Set(float64(s.Limit))
	m.running.Set(float64(s.Running))
}

// CountSent records that an attempt is sent to a service.
func (m *Meter) CountSent(s zinniayoke.Service) {
	m.sentTotal.Add(1)
	name := otherLabel
	if bundle := m.cfg.Bundle(); bundle != nil {
		if _, ok := bundle.Services[s]; ok {
			name = string(s)
		}
	}
	m.attempts.WithLabelValues(name).Inc()
}

// CountMismatch records a response that was dropped: it was incomplete, late, or that
// of another attempt.
func (m *Meter) CountMismatch() {
	m.mismatchTotal.Add(1)
	m.mismatches.Inc()
}

// CountRedirect counts a call that was sent to another worker at the distance because the
// first one was busy.
func (m *Meter) CountRedirect(d zinniayoke.Distance) {
	m.redirects.WithLabelValues(d.String()).Inc()
}

// CountAvoidableWait counts a call that waited although another worker in the sender's
// failure domain was expected to have room.
func (m *Meter) CountAvoidableWait() {
	m.waits.Inc()
}

// SetCapacityFactor sets the speed of the worker of this node.
func (m *Meter) SetCapacityFactor(f float64) {
	m.capacity.Set(f)
}

// Totals returns the counts so far.
func (m *Meter) Totals() Totals {
	return Totals{
		Calls: m.callsTotal.Load(), Attempts: m.sentTotal.Load(), Shed: m.shedTotal.Load(),
		Failed: m.failedTotal.Load(), Mismatched: m.mismatchTotal.Load(),
	}
}

func (m *Meter) class(name zinniayoke.ClassName) string {
	if bundle := m.cfg.Bundle(); bundle != nil {
		if _, ok := bundle.Classes[name]; ok {
			return string(name)
		}
	}
	return otherLabel
}

func (m *Meter) caller(name zinniayoke.Caller) string {
	if bundle := m.cfg.Bundle(); bundle != nil {
		if _, ok := bundle.Callers[name]; ok {
			return string(name)
		}
	}
	return otherLabel
}
