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

// bundleDistributor sends the bundle in force to other nodes and fetches newer ones
// from them.
type bundleDistributor struct {
	self   zinniayoke.NodeID
	domain zinniayoke.Domain
	bundle *bundleState
	view   *memberView
	client *zypeer.Client
	log    *zylogger.ComponentLogger
	// decode parses the text of a bundle from the external bundle source. It is nil
	// if the nodes agree on the bundle themselves.
	decode func(text []byte) (*zybundle.Bundle, error)

	// onFetched is called after each fetch from a peer.
	onFetched func()

	mu       sync.Mutex
	fetching bool
	// wanted is the newest version that was asked for while a fetch was running.
	wanted fetchTarget
}

// fetchTarget is a version and the peer that has it.
type fetchTarget struct {
	version zinniayoke.Version
	address string
}

const distributeTimeout = 2 * time.Second

// Distribute offers the bundle in force to the children of this node in the
// distribution tree with the given root, to all at once.
func (d *bundleDistributor) Distribute(root zinniayoke.NodeID) {
	for _, child := range zytree.Children(d.self, root, d.view.KeyOwners(d.domain)) {
		if u, ok := d.view.Find(child); ok {
			go d.offer(root, u.PeerAddress)
		}
	}
}

// offer sends a node the version in force, and the bundle as well if the node has an
// older one: as a patch if possible, else as the complete lineage.
func (d *bundleDistributor) offer(root zinniayoke.NodeID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), distributeTimeout)
	defer cancel()
	version := d.bundle.Version()
	reply, err := d.client.ExchangeBundle(ctx, address, &zypeer.BundleArgs{Root: root, Version: version})
	if err != nil || reply.Version >= version {
		return
	}
	lineage, patch := d.bundle.Lineage(reply.Hash)
	args := &zypeer.BundleArgs{Root: root, Version: version, Patch: patch}
	if patch == nil {
		args.Lineage = lineage
	}
	if _, err := d.client.ExchangeBundle(ctx, address, args); err != nil {
		d.log.With("peer", address).Debug("The bundle could not be sent to a peer.")
	}
}

// HandleOffer adopts the bundle that a peer offers, if it carries one, and replies
// with the version in force and, on demand, the bundle.
func (d *bundleDistributor) HandleOffer(args *zypeer.BundleArgs) *zypeer.BundleReply {
	before := d.bundle.Version()
	if err := d.apply(args); err != nil {
		d.log.With("error", err).Warn("A bundle from a peer was rejected.")
	}
	if d.bundle.Version() > before {
		d.Distribute(args.Root)
	}
	reply := &zypeer.BundleReply{Version: d.bundle.Version()}
	if bundle := d.bundle.Current(); bundle != nil {
		reply.Hash = bundle.Hash
	}
	switch bundle := d.bundle.Current(); {
	case !args.WantLineage:
	case d.decode == nil:
		reply.Lineage, _ = d.bundle.Lineage("")
	case bundle != nil:
		reply.Text = bundle.Text
	}
	return reply
}

// apply adopts the patch or the lineage of an offer.
func (d *bundleDistributor) apply(args *zypeer.BundleArgs) error {
	switch {
	case args.Patch != nil:
		return d.bundle.AdoptPatch(args.Patch)
	case len(args.Lineage) > 0:
		return d.bundle.AdoptLineage(args.Lineage)
	}
	return nil
}

// FetchIfNewer fetches the bundle in the background from a peer whose version is
// newer. While one fetch is running, only the newest of the further ones is kept.
func (d *bundleDistributor) FetchIfNewer(version zinniayoke.Version, address string) {
	if version <= d.bundle.Version() {
		return
	}
	d.mu.Lock()
	busy := d.fetching
	d.fetching = true
	if version > d.wanted.version {
		d.wanted = fetchTarget{version: version, address: address}
	}
	d.mu.Unlock()
	if busy {
		return
	}
	go d.fetchWanted()
}

// fetchWanted fetches until no newer version is wanted.
func (d *bundleDistributor) fetchWanted() {
	for {
		d.mu.Lock()
		next := d.wanted
		d.wanted = fetchTarget{}
		newer := next.version > d.bundle.Version()
		d.fetching = newer
		d.mu.Unlock()
		if !newer {
			return
		}
		if err := d.Fetch(next.address); err != nil {
			d.log.With("peer", next.address).With("version", next.version).With("error", err).Debug("A newer bundle could not be fetched.")
		}
		d.onFetched()
	}
}

// Fetch fetches the bundle that a peer has in force and adopts it.
func (d *bundleDistributor) Fetch(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), distributeTimeout)
	defer cancel()
	reply, err := d.client.ExchangeBundle(ctx, address, &zypeer.BundleArgs{WantLineage: true})
	if err != nil {
		return err
	}
	if d.decode != nil && len(reply.Text) > 0 {
		next, err := d.decode(reply.Text)
		if err != nil {
			return err
		}
		d.bundle.SetIfNewer(next)
		return nil
	}
	if len(reply.Lineage) == 0 {
		return errNoBundle
	}
	return d.bundle.AdoptLineage(reply.Lineage)
}

// errNoBundle is returned by Fetch if the peer has no bundle in force.
var errNoBundle = errors.New("the peer has no bundle in force")
