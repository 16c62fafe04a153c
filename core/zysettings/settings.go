// Package zysettings reads and checks the settings of one node.
package zysettings

import (
	"crypto/ed25519"
	"fmt"
	"net"
	"strings"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyini"
)

// Settings is what a node is told when it starts.
type Settings struct {
	Host       string
	Locality   zinniayoke.Locality
	Listen     Listen
	Seeds      []string
	PeerKey    []byte
	LogAddress string
	Logging    Logging
	Genesis    Genesis
	Shutdown   Shutdown
	// StoreAddress is the address of a platform's metadata store. A node has either a
	// StoreAddress or a Log.
	StoreAddress       string
	Worker             Worker
	MemoryLimit        zinniayoke.Bytes
	ServiceRetryBudget ServiceRetryBudget
}

// Worker is what the settings say of the host's own worker, which otherwise
// announces itself.
type Worker struct {
	Service zinniayoke.Service
	Address string
	// Heartbeat is the period of the worker's announcements.
	Heartbeat time.Duration
	// Drain is how long a worker that leaves still serves.
	Drain time.Duration
}

// ServiceRetryBudget bounds the repeated sends to a service by all nodes together: in each
// window, Ratio of the first sends and Slack more.
type ServiceRetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Listen holds the addresses of the node's ports, each an IP number and a port.
type Listen struct {
	Caller   string
	Upstream string
	// Peer is used for TCP between nodes and for UDP membership packets.
	Peer  string
	Admin string
}

// Logging says what is logged and how.
type Logging struct {
	Level  string
	Format string
}

// Genesis names the approvers who count before any bundle is in force.
type Genesis struct {
	Approvals int
	Approvers map[string]ed25519.PublicKey
}

// Shutdown bounds the graceful stop.
type Shutdown struct {
	// Grace is how long calls in flight may take to finish.
	Grace time.Duration
	// DrainDelay is how long the node takes calls after it was told to stop, until its
	// callers have noticed that it is not ready.
	DrainDelay time.Duration
}

// Summary returns the settings that tell operators how the node runs.
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
	longestGrace = 10 * time.Minute
	usualGrace   = 15 * time.Second
	mostNeeded   = 16
	// usualHeartbeat is the period of announcements that docs/OPERATORS.md asks for.
	usualHeartbeat = time.Second
	leastMemory    = 32 * zinniayoke.MiB
	mostMemory     = 64 * 1024 * zinniayoke.MiB
	mostRatio      = 100
	mostSlack      = 1_000_000
)

// Parse reads settings and checks them whole. The error is a
// *zyini.ProblemsError that holds every problem.
func Parse(name string, text []byte) (*Settings, error) {
	file := zyini.Parse(name, text)
	s := &Settings{
		Logging:  Logging{Level: "info", Format: "text"},
		Genesis:  Genesis{Approvals: 1, Approvers: make(map[string]ed25519.PublicKey)},
		Shutdown: Shutdown{Grace: usualGrace},
	}
	needed := map[string]bool{"node": false, "listen": false, "peers": false}
	for _, section := range file.Sections() {
		needed[section.Header] = true
		s.readSection(section)
		section.RejectUnknownKeys()
	}
	for _, header := range []string{"node", "listen", "peers"} {
		if file.Err() == nil && !needed[header] {
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

// checkPlatform rejects settings without a platform or with two.
func (s *Settings) checkPlatform(file *zyini.File) {
	switch {
	case s.LogAddress == "" && s.StoreAddress == "":
		file.Reject("log", "no such section", "[log] or [store]")
	case s.LogAddress != "" && s.StoreAddress != "":
		file.Reject("store", "a [log] section beside it", "[log] or [store]")
	case s.StoreAddress != "" && s.Worker.Address == "":
		file.Reject("worker", "no such section", "[worker] beside [store]")
	}
}

func (s *Settings) readSection(section *zyini.Section) {
	switch section.Kind {
	case "node":
		s.Host = zyini.Require(section, "host", zyini.Name[string]())
		s.Locality.Domain = zyini.Require(section, "domain", zyini.Name[zinniayoke.Domain]())
		s.Locality.Region = zyini.Require(section, "region", zyini.Name[zinniayoke.Region]())
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
		s.Worker.Heartbeat = zyini.Get(section, "heartbeat", zyini.Duration(time.Millisecond, longestGrace), usualHeartbeat)
		s.Worker.Drain = zyini.Get(section, "drain", zyini.Duration(0, longestGrace), 0)
	case "memory":
		s.MemoryLimit = zyini.Require(section, "limit", zyini.Size(leastMemory, mostMemory))
	case "retry":
		s.ServiceRetryBudget.Ratio = zyini.Require(section, "ratio", zyini.Float(mostRatio))
		s.ServiceRetryBudget.Window = zyini.Require(section, "window", zyini.Duration(time.Second, longestGrace))
		s.ServiceRetryBudget.Slack = zyini.Require(section, "slack", zyini.Float(mostSlack))
	case "logging":
		s.Logging.Level = zyini.Get(section, "level", zyini.OneOf("debug", "info", "warn", "error"), "info")
		s.Logging.Format = zyini.Get(section, "format", zyini.OneOf("text", "json"), "text")
	case "approvals":
		s.Genesis.Approvals = zyini.Get(section, "needed", zyini.Integer(1, mostNeeded), 1)
	case "approver":
		s.Genesis.Approvers[section.Name] = zyini.Require(section, "publicKey", zyini.HexBytes(ed25519.PublicKeySize))
	case "shutdown":
		s.Shutdown.Grace = zyini.Get(section, "grace", zyini.Duration(0, longestGrace), usualGrace)
		s.Shutdown.DrainDelay = zyini.Get(section, "notice", zyini.Duration(0, longestGrace), 0)
	default:
		section.RejectHeader("an unknown section", "node, listen, peers, log, store, worker, memory, retry, logging, approvals, approver, shutdown")
	}
}

// address accepts an IP number with a port, such as 127.0.0.1:7001.
func address() zyini.ValueType[string] {
	return zyini.ValueType[string]{
		Parse: func(text string) (string, bool) {
			host, port, err := net.SplitHostPort(text)
			ok := err == nil && net.ParseIP(host) != nil && port != "" && strings.Trim(port, "0123456789") == ""
			return text, ok
		},
		Accepted: "an IP number and a port, such as 127.0.0.1:7001",
	}
}
