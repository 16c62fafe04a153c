package zynode

import (
	"context"
	"errors"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zytree"
	"zinniayoke/io/zylogger"
	"zinniayoke/io/zypeer"
)

// spreader passes the bundle in force on to other nodes and fetches a newer one.
type spreader struct {
	self   zinniayoke.NodeID
	domain zinniayoke.Domain
	book   *ruleBook
	view   *view
	client *zypeer.Client
	log    *zylogger.ComponentLogger
	// decode reads the text of a bundle that the platform has decided on, nil where
	// the nodes agree themselves.
	decode func(text []byte) (*zybundle.Bundle, error)

	mu       sync.Mutex
	fetching bool
}

const spreadTimeout = 2 * time.Second

// Spread offers the bundle in force to this node's children in the tree below
// root, each at the same time.
func (s *spreader) Spread(root zinniayoke.NodeID) {
	for _, child := range zytree.Children(s.self, root, s.view.KeyOwners(s.domain)) {
		if u, ok := s.view.Find(child); ok {
			go s.offer(root, u.PeerAddress)
		}
	}
}

// offer tells a node the version in force and sends it what it lacks.
func (s *spreader) offer(root zinniayoke.NodeID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	version := s.book.Version()
	reply, err := s.client.ExchangeBundle(ctx, address, &zypeer.BundleArgs{Root: root, Version: version})
	if err != nil || reply.Version >= version {
		return
	}
	lineage, patch := s.book.Lineage(reply.Hash)
	args := &zypeer.BundleArgs{Root: root, Version: version, Patch: patch}
	if patch == nil {
		args.Lineage = lineage
	}
	if _, err := s.client.ExchangeBundle(ctx, address, args); err != nil {
		s.log.With("peer", address).Debug("The bundle was not passed on.")
	}
}

// Take answers an offer and takes in what it carries.
func (s *spreader) Take(args *zypeer.BundleArgs) *zypeer.BundleReply {
	before := s.book.Version()
	if err := s.adopt(args); err != nil {
		s.log.With("error", err).Warn("A bundle from a peer was refused.")
	}
	if s.book.Version() > before {
		s.Spread(args.Root)
	}
	reply := &zypeer.BundleReply{Version: s.book.Version()}
	if rules := s.book.Rules(); rules != nil {
		reply.Hash = rules.Hash
	}
	switch rules := s.book.Rules(); {
	case !args.WantLineage:
	case s.decode == nil:
		reply.Lineage, _ = s.book.Lineage("")
	case rules != nil:
		reply.Text = rules.Text
	}
	return reply
}

func (s *spreader) adopt(args *zypeer.BundleArgs) error {
	switch {
	case args.Patch != nil:
		return s.book.AdoptPatch(args.Patch)
	case len(args.Lineage) > 0:
		return s.book.Adopt(args.Lineage)
	}
	return nil
}

// Notice fetches the bundle from a peer that has a newer one. One fetch runs at
// a time.
func (s *spreader) Notice(version zinniayoke.Version, address string) {
	if version <= s.book.Version() {
		return
	}
	s.mu.Lock()
	busy := s.fetching
	s.fetching = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer s.fetched()
		_ = s.Fetch(address)
	}()
}

func (s *spreader) fetched() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
}

// Fetch takes the bundle over that a peer has in force.
func (s *spreader) Fetch(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	reply, err := s.client.ExchangeBundle(ctx, address, &zypeer.BundleArgs{WantLineage: true})
	if err != nil {
		return err
	}
	if s.decode != nil && len(reply.Text) > 0 {
		next, err := s.decode(reply.Text)
		if err != nil {
			return err
		}
		s.book.Put(next)
		return nil
	}
	if len(reply.Lineage) == 0 {
		return errNoBundle
	}
	return s.book.Adopt(reply.Lineage)
}

// errNoBundle says that a peer has no bundle in force itself.
var errNoBundle = errors.New("the peer has no bundle in force")
