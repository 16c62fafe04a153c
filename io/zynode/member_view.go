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
	"zinniayoke/core/zytree"
)

// memberView provides lookups in the member list, from a snapshot that is rebuilt
// after each change. It implements zinniayoke.Resolver and zykeyowner.Membership.
type memberView struct {
	self   zinniayoke.NodeID
	domain zinniayoke.Domain
	bundle func() *zybundle.Bundle

	recorder zinniayoke.EventRecorder

	mu    sync.Mutex
	table *zymember.Table

	current atomic.Pointer[snapshot]
}

// snapshot is an immutable copy of the member list with its indexes.
type snapshot struct {
	members   []zymember.Member
	byNode    map[zinniayoke.NodeID]zymember.Member
	byService map[zinniayoke.Service][]zinniayoke.Upstream
	// serviceHosts counts the hosts of each service, those that are lost among them.
	serviceHosts map[zinniayoke.Service]int
	keyOwners    map[zinniayoke.Domain][]zinniayoke.NodeID
	// readerOrder holds the key owners of the local failure domain in the order in which
	// they become readers of the bundle source.
	readerOrder []zinniayoke.NodeID
	// presentHosts and lostHosts count the hosts of each failure domain. A host is
	// lost until a later run of its node replaces it or it is removed from the list.
	presentHosts map[zinniayoke.Domain]int
	lostHosts    map[zinniayoke.Domain]int
}

func newMemberView(self zinniayoke.NodeID, domain zinniayoke.Domain, bundle func() *zybundle.Bundle) *memberView {
	v := &memberView{self: self, domain: domain, bundle: bundle, recorder: zinniayoke.NopEventRecorder{}}
	v.current.Store(&snapshot{})
	return v
}

// refresh rebuilds the snapshot after the member list has changed.
func (v *memberView) refresh() {
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
		members:      members,
		byNode:       make(map[zinniayoke.NodeID]zymember.Member, len(members)),
		byService:    make(map[zinniayoke.Service][]zinniayoke.Upstream),
		serviceHosts: make(map[zinniayoke.Service]int),
		keyOwners:    make(map[zinniayoke.Domain][]zinniayoke.NodeID),
		presentHosts: make(map[zinniayoke.Domain]int),
		lostHosts:    make(map[zinniayoke.Domain]int),
	}
	for _, m := range members {
		s.add(m)
	}
	s.countHosts()
	s.readerOrder = zytree.ReaderOrder(v.domain, s.keyOwners[v.domain])
	v.recordChanges(v.current.Swap(s), s)
}

// recordChanges records an event for each member that is new or has changed.
func (v *memberView) recordChanges(before, after *snapshot) {
	for _, m := range after.members {
		old, known := before.byNode[m.Upstream.Node]
		if known && old.Status == m.Status && old.Upstream == m.Upstream {
			continue
		}
		u := m.Upstream
		v.recorder.Record(&zinniayoke.Event{
			Kind: zinniayoke.EventMember, Node: u.Node, Service: u.Service, Version: zinniayoke.Version(m.Incarnation),
			Detail: fmt.Sprintf("%s, worker %s, leaving %t, peer %s", m.Status, u.State, u.Leaving, u.PeerAddress),
		})
	}
}

func (s *snapshot) add(m zymember.Member) {
	u := m.Upstream
	s.byNode[u.Node] = m
	if !isPresent(m) || u.Leaving {
		return
	}
	s.keyOwners[u.Locality.Domain] = append(s.keyOwners[u.Locality.Domain], u.Node)
	if u.Service != "" && u.State != zinniayoke.WorkerGone {
		s.byService[u.Service] = append(s.byService[u.Service], u)
	}
}

// countHosts counts each host by the latest run of its node.
func (s *snapshot) countHosts() {
	latest := make(map[string]zymember.Member)
	for _, m := range s.members {
		latest[zymember.HostOf(m.Upstream.Node)] = m // Members are sorted, so later runs come last.
	}
	for _, m := range latest {
		if m.Status != zinniayoke.MemberLeft {
			s.serviceHosts[m.Upstream.Service]++
		}
		switch {
		case isPresent(m):
			s.presentHosts[m.Upstream.Locality.Domain]++
		case m.Status == zinniayoke.MemberDead:
			s.lostHosts[m.Upstream.Locality.Domain]++
		}
	}
}

// HasQuorum reports whether more than half of the hosts of a failure domain are
// present.
func (v *memberView) HasQuorum(d zinniayoke.Domain) bool {
	s := v.current.Load()
	return s.presentHosts[d] > s.lostHosts[d]
}

// isPresent reports whether a member is alive or not yet declared dead.
func isPresent(m zymember.Member) bool {
	return m.Status == zinniayoke.MemberAlive || m.Status == zinniayoke.MemberSuspect
}

// Upstreams returns the workers of a service, without those of leaving nodes and those
// that are gone.
func (v *memberView) Upstreams(s zinniayoke.Service) []zinniayoke.Upstream {
	return v.current.Load().byService[s]
}

// KeyOwners returns the nodes of a failure domain that may own keys: those that are
// present and not leaving.
func (v *memberView) KeyOwners(d zinniayoke.Domain) []zinniayoke.NodeID {
	return v.current.Load().keyOwners[d]
}

// AllKeyOwners returns the nodes that may own keys, by failure domain.
func (v *memberView) AllKeyOwners() map[zinniayoke.Domain][]zinniayoke.NodeID {
	return v.current.Load().keyOwners
}

// RecoveryNodes returns the nodes that may have key records: those that are present,
// and those that were lost, with the time of the loss. A node that left as planned
// has handed its records over.
func (v *memberView) RecoveryNodes() ([]zinniayoke.NodeID, map[zinniayoke.NodeID]time.Time) {
	var present []zinniayoke.NodeID
	lost := make(map[zinniayoke.NodeID]time.Time)
	for _, m := range v.current.Load().members {
		switch {
		case isPresent(m):
			present = append(present, m.Upstream.Node)
		case m.Status == zinniayoke.MemberDead:
			lost[m.Upstream.Node] = m.Since
		}
	}
	return present, lost
}

// Find returns the entry of a node.
func (v *memberView) Find(id zinniayoke.NodeID) (zinniayoke.Upstream, bool) {
	m, ok := v.current.Load().byNode[id]
	return m.Upstream, ok
}

// Members returns all members.
func (v *memberView) Members() []zymember.Member {
	return v.current.Load().members
}

// PeerAddresses returns the peer addresses of all other nodes that are present.
func (v *memberView) PeerAddresses() []string {
	var list []string
	for _, m := range v.current.Load().members {
		if isPresent(m) && m.Upstream.Node != v.self {
			list = append(list, m.Upstream.PeerAddress)
		}
	}
	return list
}

// RegionPeerAddresses returns the peer addresses of the other nodes of a region that
// are present.
func (v *memberView) RegionPeerAddresses(r zinniayoke.Region) []string {
	var list []string
	for _, m := range v.current.Load().members {
		if isPresent(m) && m.Upstream.Node != v.self && m.Upstream.Locality.Region == r {
			list = append(list, m.Upstream.PeerAddress)
		}
	}
	return list
}

// ServiceHosts returns how many hosts a service has. A host that is lost counts until it is
// removed from the list, because it may only be cut off from this one.
func (v *memberView) ServiceHosts(s zinniayoke.Service) int {
	return v.current.Load().serviceHosts[s]
}

// ServiceCount returns how many services have at least one worker in Upstreams.
func (v *memberView) ServiceCount() int {
	return len(v.current.Load().byService)
}

// RegionNodeCount returns how many nodes of a region are present.
func (v *memberView) RegionNodeCount(r zinniayoke.Region) int {
	nodes := 0
	for _, m := range v.current.Load().members {
		if isPresent(m) && m.Upstream.Locality.Region == r {
			nodes++
		}
	}
	return nodes
}
