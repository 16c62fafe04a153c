package zynode

import (
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyquota"
	"zinniayoke/io/zymetric"
)

// State is the body of /debug/state.
type State struct {
	Node         zinniayoke.NodeID   `json:"node"`
	Locality     zinniayoke.Locality `json:"place"`
	Started      time.Time           `json:"since"`
	Version      zinniayoke.Version  `json:"version"`
	InForceSince time.Time           `json:"inForceSince"`
	Hash         zybundle.Hash       `json:"hash"`
	Worker       zinniayoke.Upstream `json:"worker"`
	// Service is that of the host, which calls from it bear.
	Service      zinniayoke.Service         `json:"service"`
	Load         zyingress.Load             `json:"load"`
	Totals       zymetric.Totals            `json:"totals"`
	Members      []zymember.Member          `json:"members"`
	CrashRecords []zyquarantine.CrashRecord `json:"suspects"`
	Keys         KeyState                   `json:"keys"`
	Control      ControlPlaneState          `json:"control"`
	// Customers are those of the bundle in force.
	Customers map[zinniayoke.Customer]CustomerState `json:"customers,omitempty"`
	// CustomerLimits are the limits and grants of customers that this node owns or uses.
	CustomerLimits zyquota.State `json:"customerLimits"`
	// RetryBudget is the part of the service retry budget that this node has, nil if the
	// settings define none.
	RetryBudget *zyattempt.ServiceRetryState `json:"retryBudget,omitempty"`
}

// CustomerState is what the bundle in force says of a customer.
type CustomerState struct {
	// Keys counts the keys that are accepted.
	Keys     int             `json:"keys"`
	Priority int             `json:"priority"`
	Rate     zinniayoke.Rate `json:"rate"`
	Burst    float64         `json:"burst"`
}

// KeyState counts the keys and attempts that the node has records of.
type KeyState struct {
	// Owned counts the keys that this node owns.
	Owned int `json:"kept"`
	// Granted counts the key records in the grant table.
	Granted int `json:"held"`
	// Attempts counts the attempts whose state can be queried.
	Attempts int `json:"attempts"`
}

// ControlPlaneState describes the membership traffic and the process itself.
type ControlPlaneState struct {
	BytesSent      int64 `json:"bytesSent"`
	BytesReceived  int64 `json:"bytesReceived"`
	InvalidPackets int64 `json:"packetsRefused"`
	RecordsSkipped int   `json:"recordsSkipped"`
	ResidentBytes  int64 `json:"residentBytes"`
	Goroutines     int   `json:"goroutines"`
	// ReadsStore is true while this node reads the store for its failure domain.
	ReadsStore bool `json:"readsStore"`
	// Recalled is true once this process has read which departures of its worker earlier ones
	// have acknowledged.
	Recalled bool `json:"recalled"`
}

// State returns a snapshot of the node for operators.
func (n *Node) State() State {
	s := State{
		Node: n.id, Locality: n.cfg.Settings.Locality, Started: n.started, Version: n.bundle.Version(), InForceSince: n.bundle.InForceSince(),
		Worker: n.localUpstream(), Service: n.receiver.Service(), Load: n.receiver.Load(), Totals: n.meter.Totals(),
		Members: n.view.Members(), CrashRecords: n.quarantine.Records(),
		Keys:           KeyState{Owned: n.keyOwner.Len(), Granted: n.grants.Len(), Attempts: n.fence.Len()},
		CustomerLimits: n.customerLimits.limiter.State(time.Now()),
		Control:        ControlPlaneState{RecordsSkipped: n.bundle.Skipped(), ResidentBytes: residentBytes(), Goroutines: runtime.NumGoroutine(), ReadsStore: n.isReader(), Recalled: n.recalled.Load()},
	}
	if bundle := n.bundle.Current(); bundle != nil {
		s.Hash = bundle.Hash
		s.Customers = make(map[zinniayoke.Customer]CustomerState, len(bundle.Customers))
		for name, c := range bundle.Customers {
			s.Customers[name] = CustomerState{Keys: len(c.KeyHashes), Priority: c.Priority, Rate: c.Limit.Rate, Burst: c.Limit.Burst}
		}
	}
	if n.retryBudgets != nil {
		budget := n.retryBudget()
		s.RetryBudget = &budget
	}
	if n.gossip != nil {
		s.Control.BytesSent, s.Control.BytesReceived = n.gossip.ByteCounts()
		s.Control.InvalidPackets = n.gossip.InvalidPackets()
	}
	return s
}

// retryBudget returns the state of the retry budget of the worker's service.
func (n *Node) retryBudget() zyattempt.ServiceRetryState {
	return n.retryBudgets.State(time.Now(), n.receiver.Service())
}

// residentBytes returns the resident memory of the process, 0 if the system does not
// report it.
func residentBytes() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// registerGauges registers the gauges that are computed when metrics are collected.
func (n *Node) registerGauges() {
	gauge := func(name, help string, read func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "zinniayoke", Name: name, Help: help,
		}, read))
	}
	n.registry.MustRegister(newWorkerCollector(n))
	gauge("bundle_version", "Version of the bundle in force.", func() float64 { return float64(n.bundle.Version()) })
	gauge("members_alive", "Nodes that are there.", func() float64 { return float64(len(n.view.PeerAddresses()) + 1) })
	gauge("keys_kept", "Keys that this node keeps.", func() float64 { return float64(n.keyOwner.Len()) })
	gauge("keys_held", "Keys that ran on this host.", func() float64 { return float64(n.grants.Len()) })
	gauge("attempts_remembered", "Attempts that can be asked about.", func() float64 { return float64(n.fence.Len()) })
	gauge("threshold", "Lowest rank that the worker admits.", func() float64 { return float64(n.receiver.Load().Threshold) })
	gauge("worker_delivery_rate", "Calls per second that are delivered to the worker.", func() float64 {
		return float64(n.receiver.Load().DeliveryRate)
	})
	gauge("worker_rate_limit", "Calls per second that the worker accepts, +Inf if it names no limit.", func() float64 {
		if limit := n.receiver.Load().RateLimit; limit != nil {
			return float64(*limit)
		}
		return math.Inf(1)
	})
	gauge("control_bytes_sent", "Bytes of membership packets sent.", func() float64 {
		return float64(n.State().Control.BytesSent)
	})
	gauge("customer_limits_owned", "Customers whose rate limit this node keeps.", func() float64 {
		return float64(len(n.customerLimits.limiter.State(time.Now()).Owned))
	})
	gauge("customer_limits_share", "Part of each customer's rate that this node grants, by the hosts that it can reach.", func() float64 {
		return n.customerLimits.limiter.State(time.Now()).Share
	})
	gauge("customer_limits_fallback", "Customers for which this node grants itself an equal share, because their owner cannot be reached.", func() float64 {
		return float64(n.customerLimits.limiter.Fallbacks(time.Now()))
	})
	gauge("customer_limits_messages_sent", "Requests for tokens sent to owners of customers.", func() float64 {
		return float64(n.customerLimits.limiter.State(time.Now()).MessagesSent)
	})
	gauge("reads_store", "1 while the node reads the store for its failure domain.", func() float64 {
		if n.isReader() {
			return 1
		}
		return 0
	})
	if n.retryBudgets != nil {
		gauge("retry_budget_first_sends", "First sends to the worker in the window of the retry budget.", func() float64 {
			return float64(n.retryBudget().FirstSends)
		})
		gauge("retry_budget_retries", "Retries to the worker in the window of the retry budget.", func() float64 {
			return float64(n.retryBudget().Retries)
		})
		gauge("retry_budget_allowed", "Retries that this node allows in the window of the retry budget.", func() float64 {
			return n.retryBudget().Allowed
		})
		gauge("retry_budget_hosts", "Hosts among which the slack of the retry budget is divided.", func() float64 {
			return float64(n.retryBudget().Hosts)
		})
	}
	gauge("resident_bytes", "Resident memory of the process.", func() float64 { return float64(residentBytes()) })
}

// Bundle returns the bundle in force, or nil if there is none.
func (n *Node) Bundle() *zybundle.Bundle {
	return n.bundle.Current()
}

// ServingWorkers returns how many members have a serving worker, as far as this node
// knows.
func (n *Node) ServingWorkers() int {
	serving := 0
	for _, m := range n.view.Members() {
		if isPresent(m) && !m.Upstream.Leaving && m.Upstream.State == zinniayoke.WorkerServing {
			serving++
		}
	}
	return serving
}
