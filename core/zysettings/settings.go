// Package zysettings parses and validates the settings file of a node.
package zysettings

import (
	"crypto/ed25519"
	"fmt"
	"net"
	"strconv"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyini"
)

// Settings is the local configuration of a node.
type Settings struct {
	// Host is the name of the host on which the node runs.
	Host     string
	Locality zinniayoke.Locality
	Listen   Listen
	// Seeds are the peer addresses that the node contacts to join the others.
	Seeds []string
	// PeerKey is the secret that all nodes share.
	PeerKey []byte
	// Bootstrap is true if no process of the deployment has run before this start.
	Bootstrap bool
	// LogAddress is the address of the platform's log.
	LogAddress string
	Logging    Logging
	Genesis    Genesis
	Shutdown   Shutdown
	// StoreAddress is the address of the platform's metadata store. Exactly one of
	// StoreAddress and LogAddress is set.
	StoreAddress string
	Worker       Worker
	// MemoryLimit is the memory limit of the process, or 0 for none.
	MemoryLimit zinniayoke.Bytes
	// HeldLimit is how many bytes of requests and responses the process may hold.
	HeldLimit zinniayoke.Bytes
	// Threads is how many threads execute the program at the same time, or 0 for the default
	// of the Go runtime.
	Threads            int
	ServiceRetryBudget ServiceRetryBudget
	CustomerLimits     CustomerLimits
}

// Worker describes the worker on the node's own host. Without a [worker] section
// the worker announces itself.
type Worker struct {
	Service zinniayoke.Service
	Address string
	// Heartbeat is the interval between announcements of the worker.
	Heartbeat time.Duration
	// Drain is how long a worker that leaves continues to serve.
	Drain time.Duration
}

// ServiceRetryBudget limits the retries that all nodes together send to a
// service in each Window: Ratio times the number of first sends, plus Slack.
type ServiceRetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// CustomerLimits bounds how far the requests of a customer may exceed its limit: in any
// Window, (rate x Window + burst) x (1 + Overage) + Slack of them may run.
type CustomerLimits struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Listen holds the listen addresses of the node, each an IP address and a port.
type Listen struct {
	Caller   string
	Upstream string
	// Peer is used for TCP connections between nodes and for UDP membership packets.
	Peer  string
	Admin string
}

// Logging sets the log level and the output format.
type Logging struct {
	Level  string
	Format string
}

// Genesis is the approval policy that applies until the first bundle is in force.
type Genesis struct {
	Approvals int
	Approvers map[string]ed25519.PublicKey
}

// Shutdown configures graceful shutdown.
type Shutdown struct {
	// Grace is how long calls in flight may take to complete.
	Grace time.Duration
	// DrainDelay is how long the node still accepts calls after it starts to report
	// that it is not ready, so that callers can switch to another node first.
	DrainDelay time.Duration
}

// Summary returns the main settings on one line, for the log.
func (s *Settings) Summary() string {
	platform := "log " + s.LogAddress
	if s.StoreAddress != "" {
		platform = "store " + s.StoreAddress
	}
	return fmt.Sprintf("host %s, domain %s, region %s, %s, worker %s, grace %s",
		s.Host, s.Locality.Domain, s.Locality.Region, platform, s.Worker.Service, s.Shutdown.Grace)
}

const (
	peerKeySize  = 32
	maxDuration  = 10 * time.Minute
	defaultGrace = 15 * time.Second
	maxApprovals = 16
	// defaultHeartbeat is the announcement interval that docs/OPERATORS.md requires.
	defaultHeartbeat = time.Second
	minMemoryLimit   = 32 * zinniayoke.MiB
	maxMemoryLimit   = 64 * 1024 * zinniayoke.MiB
	maxThreads       = 1024
	minHeldLimit     = zinniayoke.MiB
	defaultHeldLimit = 256 * zinniayoke.MiB
	// heldPercent is the part of the memory limit for requests and responses if the settings do
	// not say. It is enough for one body of 64 MiB on hosts with 184 MiB.
	heldPercent   = 40
	percent       = 100
	maxRetryRatio = 100
	maxRetrySlack = 1_000_000
	// The bounds of customers' limits for deployments whose settings have none.
	defaultQuotaWindow  = 5 * time.Second
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20
	maxQuotaOverage     = 10
	maxQuotaSlack       = 1_000_000
)

// Parse parses and validates settings; name is the file name for error messages.
// The error is a *zyini.ProblemsError with all problems found.
func Parse(name string, text []byte) (*Settings, error) {
	file := zyini.Parse(name, text)
	s := &Settings{
		Logging:        Logging{Level: "info", Format: "text"},
		Genesis:        Genesis{Approvals: 1, Approvers: make(map[string]ed25519.PublicKey)},
		Shutdown:       Shutdown{Grace: defaultGrace},
		HeldLimit:      defaultHeldLimit,
		CustomerLimits: CustomerLimits{Window: defaultQuotaWindow, Overage: defaultQuotaOverage, Slack: defaultQuotaSlack},
	}
	present := map[string]bool{"node": false, "listen": false, "peers": false}
	for _, section := range file.Sections() {
		present[section.Header] = true
		s.readSection(section)
		section.RejectUnknownKeys()
	}
	for _, header := range []string{"node", "listen", "peers"} {
		if file.Err() == nil && !present[header] {
			file.Reject(header, "no such section", "["+header+"]")
		}
	}
	if file.Err() == nil {
		s.checkPlatform(file)
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// checkPlatform rejects settings that do not name exactly one platform: a log, or a
// store together with a worker.
func (s *Settings) checkPlatform(file *zyini.File) {
	switch {
	case s.LogAddress == "" && s.StoreAddress == "":
		file.Reject("log", "no such section", "[log] or [store]")
	case s.LogAddress != "" && s.StoreAddress != "":
		file.Reject("store", "a [log] section as well", "[log] or [store]")
	case s.StoreAddress != "" && s.Worker.Address == "":
		file.Reject("worker", "no such section", "[worker] together with [store]")
	}
}

func (s *Settings) readSection(section *zyini.Section) {
	switch section.Kind {
	case "node":
		s.Host = zyini.Require(section, "host", zyini.Name[string]())
		s.Locality.Domain = zyini.Require(section, "domain", zyini.Name[zinniayoke.Domain]())
		s.Locality.Region = zyini.Require(section, "region", zyini.Name[zinniayoke.Region]())
		s.Bootstrap = zyini.Get(section, "bootstrap", zyini.Bool(), false)
	case "listen":
		s.Listen.Caller = zyini.Require(section, "caller", address())
		s.Listen.Upstream = zyini.Require(section, "upstream", address())
		s.Listen.Peer = zyini.Require(section, "peer", address())
		s.Listen.Admin = zyini.Require(section, "admin", address())
	case "peers":
		s.Seeds = zyini.Get(section, "seeds", zyini.List(address()), nil)
		s.PeerKey = zyini.Require(section, "key", zyini.HexBytes(peerKeySize))
	case "log":
		s.LogAddress = zyini.Require(section, "address", address())
	case "store":
		s.StoreAddress = zyini.Require(section, "address", address())
	case "worker":
		s.Worker.Service = zyini.Require(section, "service", zyini.Name[zinniayoke.Service]())
		s.Worker.Address = zyini.Require(section, "address", address())
		s.Worker.Heartbeat = zyini.Get(section, "heartbeat", zyini.Duration(time.Millisecond, maxDuration), defaultHeartbeat)
		s.Worker.Drain = zyini.Get(section, "drain", zyini.Duration(0, maxDuration), 0)
	case "memory":
		s.MemoryLimit = zyini.Require(section, "limit", zyini.Size(minMemoryLimit, maxMemoryLimit))
		s.HeldLimit = zyini.Get(section, "held", zyini.Size(minHeldLimit, maxMemoryLimit), s.MemoryLimit*heldPercent/percent)
	case "processor":
		s.Threads = zyini.Require(section, "threads", zyini.Integer(1, maxThreads))
	case "retry":
		s.ServiceRetryBudget.Ratio = zyini.Require(section, "ratio", zyini.Float(maxRetryRatio))
		s.ServiceRetryBudget.Window = zyini.Require(section, "window", zyini.Duration(time.Second, maxDuration))
		s.ServiceRetryBudget.Slack = zyini.Require(section, "slack", zyini.Float(maxRetrySlack))
	case "customerLimits":
		s.CustomerLimits.Window = zyini.Get(section, "window", zyini.Duration(time.Second, maxDuration), defaultQuotaWindow)
		s.CustomerLimits.Overage = zyini.Get(section, "overage", zyini.Float(maxQuotaOverage), defaultQuotaOverage)
		s.CustomerLimits.Slack = zyini.Get(section, "slack", zyini.Float(maxQuotaSlack), defaultQuotaSlack)
	case "logging":
		s.Logging.Level = zyini.Get(section, "level", zyini.OneOf("debug", "info", "warn", "error"), "info")
		s.Logging.Format = zyini.Get(section, "format", zyini.OneOf("text", "json"), "text")
	case "approvals":
		s.Genesis.Approvals = zyini.Get(section, "needed", zyini.Integer(1, maxApprovals), 1)
	case "approver":
		s.Genesis.Approvers[section.Name] = zyini.Require(section, "publicKey", zyini.HexBytes(ed25519.PublicKeySize))
	case "shutdown":
		s.Shutdown.Grace = zyini.Get(section, "grace", zyini.Duration(0, maxDuration), defaultGrace)
		s.Shutdown.DrainDelay = zyini.Get(section, "notice", zyini.Duration(0, maxDuration), 0)
	default:
		section.RejectHeader("an unknown section", "node, listen, peers, log, store, worker, memory, processor, retry, customerLimits, logging, approvals, approver, shutdown")
	}
}

// address accepts an IP address and a port, such as 127.0.0.1:7001.
func address() zyini.ValueType[string] {
	return zyini.ValueType[string]{
		Parse: func(text string) (string, bool) {
			host, port, err := net.SplitHostPort(text)
			_, portErr := strconv.ParseUint(port, 10, 16)
			ok := err == nil && net.ParseIP(host) != nil && portErr == nil
			return text, ok
		},
		Accepted: "an IP address and a port, such as 127.0.0.1:7001",
	}
}
