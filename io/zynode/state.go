package zynode

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/io/zymetric"
)

// State is what /debug/state shows.
type State struct {
	Node         zinniayoke.NodeID          `json:"node"`
	Locality     zinniayoke.Locality        `json:"place"`
	Started      time.Time                  `json:"since"`
	Version      zinniayoke.Version         `json:"version"`
	InForceSince time.Time                  `json:"inForceSince"`
	Hash         zybundle.Hash              `json:"hash"`
	Worker       zinniayoke.Upstream        `json:"worker"`
	Load         zyingress.Load             `json:"load"`
	Totals       zymetric.Totals            `json:"totals"`
	Members      []zymember.Member          `json:"members"`
	Suspects     []zyquarantine.CrashRecord `json:"suspects"`
	Keys         KeyState                   `json:"keys"`
	Control      ControlPlaneState          `json:"control"`
}

// KeyState counts what the node remembers.
type KeyState struct {
	Owned    int `json:"kept"`
	Granted  int `json:"held"`
	Attempts int `json:"attempts"`
}

// ControlPlaneState sums up the traffic between nodes that is not calls.
type ControlPlaneState struct {
	BytesSent      int64 `json:"bytesSent"`
	BytesReceived  int64 `json:"bytesReceived"`
	PacketsRefused int64 `json:"packetsRefused"`
	RecordsSkipped int   `json:"recordsSkipped"`
	ResidentBytes  int64 `json:"residentBytes"`
	Goroutines     int   `json:"goroutines"`
}

// State returns what operators can see of the node.
func (n *Node) State() State {
	s := State{
		Node: n.id, Locality: n.cfg.Settings.Locality, Started: n.since, Version: n.book.Version(), InForceSince: n.book.Since(),
		Worker: n.self(), Load: n.receiver.Load(), Totals: n.meter.Totals(),
		Members: n.view.Members(), Suspects: n.suspects.Records(),
		Keys:    KeyState{Owned: n.keeper.Len(), Granted: n.grants.Len(), Attempts: n.fence.Len()},
		Control: ControlPlaneState{RecordsSkipped: n.book.Skipped(), ResidentBytes: resident(), Goroutines: runtime.NumGoroutine()},
	}
	if rules := n.book.Rules(); rules != nil {
		s.Hash = rules.Hash
	}
	if n.gossip != nil {
		s.Control.BytesSent, s.Control.BytesReceived = n.gossip.ByteCounts()
		s.Control.PacketsRefused = n.gossip.InvalidPackets()
	}
	return s
}

// resident returns the resident memory of the process in bytes, 0 where the
// system does not tell.
func resident() int64 {
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

// registerGauges exports what is read when metrics are collected.
func (n *Node) registerGauges() {
	gauge := func(name, help string, read func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "zinniayoke", Name: name, Help: help,
		}, read))
	}
	n.registry.MustRegister(newWorkerCount(n))
	gauge("bundle_version", "Version of the bundle in force.", func() float64 { return float64(n.book.Version()) })
	gauge("members_alive", "Nodes that are there.", func() float64 { return float64(len(n.view.Others()) + 1) })
	gauge("keys_kept", "Keys that this node keeps.", func() float64 { return float64(n.keeper.Len()) })
	gauge("keys_held", "Keys that ran on this host.", func() float64 { return float64(n.grants.Len()) })
	gauge("attempts_remembered", "Attempts that can be asked about.", func() float64 { return float64(n.fence.Len()) })
	gauge("threshold", "Lowest rank that the worker admits.", func() float64 { return float64(n.receiver.Load().Threshold) })
	gauge("control_bytes_sent", "Bytes of membership packets sent.", func() float64 {
		return float64(n.State().Control.BytesSent)
	})
	gauge("resident_bytes", "Resident memory of the process.", func() float64 { return float64(resident()) })
}

// Rules returns the bundle in force, or nil.
func (n *Node) Rules() *zybundle.Bundle {
	return n.book.Rules()
}

// ServingWorkers returns how many members have a worker that serves, as this node
// knows.
func (n *Node) ServingWorkers() int {
	serving := 0
	for _, m := range n.view.Members() {
		if isHere(m) && m.Upstream.State == zinniayoke.WorkerServing {
			serving++
		}
	}
	return serving
}
