package zynode

import (
	"context"
	"net/http"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyingress"
	"zinniayoke/io/zylog"
	"zinniayoke/io/zyweb"
	"zinniayoke/io/zyworker"
)

// Adapters are where a node meets its callers, its worker, the operators' bundle
// and other nodes. The request path between them is the same for all edges.
type Adapters struct {
	// CallerHandler serves the port for callers.
	CallerHandler func(e CallerHandlerConfig) http.Handler
	// UpstreamHandler serves the port for the host's own worker.
	UpstreamHandler func(announce func(zyingress.Announcement) error) http.Handler
	// NewWorker connects to the worker.
	NewWorker func(a zyingress.Announcement) zinniayoke.Worker
	// FindWorker looks for a worker that runs already when the node starts; nil where
	// the worker's next announcement is waited for.
	FindWorker func(ctx context.Context, rules *zybundle.Bundle) (zyingress.Announcement, error)
	// BundleSource tells which bundle is in force; nil where the nodes agree on it over
	// the log.
	BundleSource BundleSource
	Discovery    zinniayoke.Discovery
	// ReadyPath is where the admin port answers whether the node is ready, beside
	// /readyz.
	ReadyPath string
}

// CallerHandlerConfig is what the port for callers works with.
type CallerHandlerConfig struct {
	Entry *zyentry.Entry
	Rules func() *zybundle.Bundle
	// Leaving reports whether the node is stopping.
	Leaving func() bool
}

// BundleSource is a platform that decides itself which bundle is in force.
type BundleSource interface {
	// Watch calls put with the newest bundle and with each later one, until ctx
	// is done. It calls noted with the result of each read, nil included.
	Watch(ctx context.Context, put func(b *zybundle.Bundle), noted func(err error))
	// Decode reads the text of a bundle that a peer passed on.
	Decode(text []byte) (*zybundle.Bundle, error)
}

// fill sets the product's own edges where none are given.
func (e *Adapters) fill(n *Node) {
	if e.CallerHandler == nil {
		e.CallerHandler = func(c CallerHandlerConfig) http.Handler {
			return zyweb.NewCallerHandler(zyweb.CallerConfig{Entry: c.Entry, Rules: c.Rules})
		}
	}
	if e.UpstreamHandler == nil {
		e.UpstreamHandler = func(announce func(zyingress.Announcement) error) http.Handler {
			return zyweb.NewUpstreamHandler(zyweb.UpstreamConfig{HandleAnnouncement: announce})
		}
	}
	if e.NewWorker == nil {
		e.NewWorker = func(a zyingress.Announcement) zinniayoke.Worker {
			return zyworker.New(zyworker.Config{Address: a.Address, MaxConnections: a.Connections})
		}
	}
	if e.BundleSource == nil {
		n.platform = zylog.NewClient(zylog.ClientConfig{Address: n.cfg.Settings.LogAddress})
	}
	if e.Discovery == nil {
		e.Discovery = &memberStream{log: n.platform}
	}
	n.meeting = e.Discovery
}

func (e *Adapters) decoder() func(text []byte) (*zybundle.Bundle, error) {
	if e.BundleSource == nil {
		return nil
	}
	return e.BundleSource.Decode
}

// decided reports whether the platform decides which bundle is in force.
func (n *Node) decided() bool {
	return n.cfg.Adapters.BundleSource != nil
}

// watch takes in the bundles that the platform has decided on.
func (n *Node) watch() {
	if !n.decided() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopWatch = cancel
	go n.cfg.Adapters.BundleSource.Watch(ctx, func(b *zybundle.Bundle) {
		if n.book.Put(b) {
			n.gossip.Gossip()
		}
	}, n.noteStore)
}

// noteStore logs when the platform is lost and regained.
func (n *Node) noteStore(err error) {
	lost := err != nil
	if n.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		n.log.With("error", err).With("version", n.book.Version()).Warn("The store is lost. The bundle in force stays.")
		return
	}
	n.log.With("version", n.book.Version()).Info("The store is back.")
}

const findTimeout = 500 * time.Millisecond

// findWorker looks for a worker that has been running since before the node
// started, so that it is not idle until its next announcement.
func (n *Node) findWorker() {
	if n.cfg.Adapters.FindWorker == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
		defer cancel()
		a, err := n.cfg.Adapters.FindWorker(ctx, n.book.Rules())
		if err == nil {
			err = n.announce(a)
		}
		if err != nil {
			n.log.With("error", err).Info("No worker was found at the start.")
		}
	}()
}
