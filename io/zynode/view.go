package zynode

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zymember"
)

// view is what the node knows of all nodes, in the forms that its parts need.
// It implements zinniayoke.Resolver and zyhome.Roll.
type view struct {
	self  zinniayoke.NodeID
	rules func() *zybundle.Bundle

	journal zinniayoke.EventRecorder

	mu    sync.Mutex
	table *zymember.Table

	current atomic.Pointer[snapshot]
}

// snapshot is one state of the list. It is never changed.
type snapshot struct {
	members   []zymember.Member
	byNode    map[zinniayoke.NodeID]zymember.Member
	byService map[zinniayoke.Service][]zinniayoke.Upstream
	keepers   map[zinniayoke.Domain][]zinniayoke.NodeID
	// here and lost count the hosts of each failure domain. A host is lost until
	// it is replaced by a later run or forgotten.
	here map[zinniayoke.Domain]int
	lost map[zinniayoke.Domain]int
}

func newView(self zinniayoke.NodeID, rules func() *zybundle.Bundle) *view {
	v := &view{self: self, rules: rules, journal: zinniayoke.NopEventRecorder{}}
	v.current.Store(&snapshot{})
	return v
}

// refresh rebuilds the snapshot after the list has changed.
func (v *view) refresh() {
	v.mu.Lock()
	members := v.table.Members()
	v.mu.Unlock()
	slices.SortFunc(members, func(a, b zymember.Member) int {
		if a.Upstream.Node < b.Upstream.Node {
			return -1
		}
		return 1
	})
	s := &snapshot{
		members:   members,
		byNode:    make(map[zinniayoke.NodeID]zymember.Member, len(members)),
		byService: make(map[zinniayoke.Service][]zinniayoke.Upstream),
		keepers:   make(map[zinniayoke.Domain][]zinniayoke.NodeID),
		here:      make(map[zinniayoke.Domain]int),
		lost:      make(map[zinniayoke.Domain]int),
	}
	for _, m := range members {
		s.add(m)
	}
	s.count()
	v.noteChanges(v.current.Swap(s), s)
}

// noteChanges writes down what is believed otherwise of each member than before.
func (v *view) noteChanges(before, after *snapshot) {
	for _, m := range after.members {
		old, known := before.byNode[m.Upstream.Node]
		if known && old.Status == m.Status && old.Upstream == m.Upstream {
			continue
		}
		u := m.Upstream
		v.journal.Record(&zinniayoke.Event{
			Kind: zinniayoke.EventMember, Node: u.Node, Service: u.Service, Version: zinniayoke.Version(m.Counter),
			Detail: fmt.Sprintf("%s, worker %s, leaving %t, peer %s", m.Status, u.State, u.Leaving, u.PeerAddress),
		})
	}
}

func (s *snapshot) add(m zymember.Member) {
	u := m.Upstream
	s.byNode[u.Node] = m
	if !isHere(m) || u.Leaving {
		return
	}
	s.keepers[u.Locality.Domain] = append(s.keepers[u.Locality.Domain], u.Node)
	if u.Service != "" && u.State != zinniayoke.WorkerGone {
		s.byService[u.Service] = append(s.byService[u.Service], u)
	}
}

// count counts hosts by their latest run.
func (s *snapshot) count() {
	latest := make(map[string]zymember.Member)
	for _, m := range s.members {
		latest[zymember.HostOf(m.Upstream.Node)] = m // Members are in the order of their runs.
	}
	for _, m := range latest {
		switch {
		case isHere(m):
			s.here[m.Upstream.Locality.Domain]++
		case m.Status == zinniayoke.MemberDead:
			s.lost[m.Upstream.Locality.Domain]++
		}
	}
}

// HasQuorum reports whether more than half of the hosts of a failure domain are
// there.
func (v *view) HasQuorum(d zinniayoke.Domain) bool {
	s := v.current.Load()
	return s.here[d] > s.lost[d]
}

func isHere(m zymember.Member) bool {
	return m.Status == zinniayoke.MemberAlive || m.Status == zinniayoke.MemberSuspect
}

// Upstreams returns the workers of a service.
func (v *view) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	return v.current.Load().byService[s]
}

// KeyOwners returns the nodes of a failure domain that keep keys.
func (v *view) KeyOwners(d zinniayoke.Domain) []zinniayoke.NodeID {
	return v.current.Load().keepers[d]
}

// RecoveryNodes returns the nodes that may remember keys: those that are there, and
// those that were lost, with the time. A node that left as planned has handed
// over what it remembered.
func (v *view) RecoveryNodes() ([]zinniayoke.NodeID, map[zinniayoke.NodeID]time.Time) {
	var there []zinniayoke.NodeID
	lost := make(map[zinniayoke.NodeID]time.Time)
	for _, m := range v.current.Load().members {
		switch {
		case isHere(m):
			there = append(there, m.Upstream.Node)
		case m.Status == zinniayoke.MemberDead:
			lost[m.Upstream.Node] = m.Since
		}
	}
	return there, lost
}

// Find returns what is known of a node.
func (v *view) Find(id zinniayoke.NodeID) (zinniayoke.Upstream, bool) {
	m, ok := v.current.Load().byNode[id]
	return m.Upstream, ok
}

// Members returns all members.
func (v *view) Members() []zymember.Member {
	return v.current.Load().members
}

// Others returns the addresses of all other nodes that are there.
func (v *view) Others() []string {
	var list []string
	for _, m := range v.current.Load().members {
		if isHere(m) && m.Upstream.Node != v.self {
			list = append(list, m.Upstream.PeerAddress)
		}
	}
	return list
}

// Near returns the peer addresses of the other nodes of a region.
func (v *view) Near(r zinniayoke.Region) []string {
	var list []string
	for _, m := range v.current.Load().members {
		if isHere(m) && m.Upstream.Node != v.self && m.Upstream.Locality.Region == r {
			list = append(list, m.Upstream.PeerAddress)
		}
	}
	return list
}

// Services returns how many services have a host that is there.
func (v *view) Services() int {
	return len(v.current.Load().byService)
}

// InRegion returns how many nodes of a region are there.
func (v *view) InRegion(r zinniayoke.Region) int {
	nodes := 0
	for _, m := range v.current.Load().members {
		if isHere(m) && m.Upstream.Locality.Region == r {
			nodes++
		}
	}
	return nodes
}
