package zynode

import (
	"context"
	"net/http"

	"zinniayoke"
	"zinniayoke/core/zybudget"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyingress"
	"zinniayoke/core/zysettings"
	"zinniayoke/io/zylog"
	"zinniayoke/io/zyweb"
	"zinniayoke/io/zyworker"
)

// Adapters connect a node to its callers, its worker, the source of bundles and
// the discovery of other nodes. The request path between them is always the same.
type Adapters struct {
	// CallerHandler returns the handler of the port for callers.
	CallerHandler func(c CallerHandlerConfig) http.Handler
	// UpstreamHandler returns the handler of the port for the worker of this host,
	// which passes the worker's announcements to announce.
	UpstreamHandler func(announce func(zyingress.Announcement) error) http.Handler
	// PromisesNotRun reports whether clients take a response with this status as the promise that
	// the request has not run; nil means that they go by the outcome alone.
	PromisesNotRun func(status int) bool
	// NewWorker returns a client for a worker that has announced itself.
	NewWorker func(a zyingress.Announcement) zinniayoke.Worker
	// FindWorker asks the worker of the host, which is presumed to be of the service, which run
	// it is and how it does. The instance is set if the worker has named it, even with an error.
	// If nil, the node waits for announcements, and believes them.
	FindWorker func(ctx context.Context, bundle *zybundle.Bundle, s zinniayoke.Service) (zyingress.Announcement, error)
	// BundleSource delivers the bundle in force. If nil, the nodes agree on it
	// through the shared log.
	BundleSource BundleSource
	Discovery    zinniayoke.Discovery
	// Budget counts the requests and responses that the process holds. The default has the limit
	// of the settings.
	Budget *zybudget.Budget
	// Reload applies changed settings to the adapters; nil if none of them can change.
	Reload func(s *zysettings.Settings)
	// ReadyPath is a path of the admin port that reports readiness, in addition to
	// /readyz.
	ReadyPath string
}

// CallerHandlerConfig holds what the handler of the port for callers needs.
type CallerHandlerConfig struct {
	Entry  zyweb.CallHandler
	Bundle func() *zybundle.Bundle
	// Leaving reports whether the node is stopping.
	Leaving func() bool
	// Budget counts the bodies of requests and responses.
	Budget *zybudget.Budget
	// Service returns the service that runs on the host now.
	Service func() zinniayoke.Service
}

// BundleSource is an external system that decides which bundle is in force.
type BundleSource interface {
	// Watch passes the newest bundle and each later one to w, until ctx is done.
	Watch(ctx context.Context, w SourceWatcher)
	// Decode parses the text of a bundle that a peer sent.
	Decode(text []byte) (*zybundle.Bundle, error)
}

// SourceWatcher is what a BundleSource calls while it is watched.
type SourceWatcher struct {
	// Await is called before each read. It returns when the node has to read, or when
	// ctx is done.
	Await func(ctx context.Context)
	// Put is called with each valid bundle, oldest first.
	Put func(b *zybundle.Bundle)
	// OnRead is called with the error of each read, which may be nil.
	OnRead func(err error)
	// OnEra is called when the source has come back from a copy, so that what nodes wrote
	// there in the last seconds may be gone.
	OnEra func(era zinniayoke.StoreEra)
	// OnInvalid is called with the error of each bundle that cannot be decoded.
	OnInvalid func(err error)
}

// setDefaults sets the default implementations of nil fields.
func (e *Adapters) setDefaults(n *Node) {
	if e.Budget == nil {
		e.Budget = zybudget.New(int64(n.cfg.Settings.HeldLimit))
	}
	if e.CallerHandler == nil {
		e.CallerHandler = func(c CallerHandlerConfig) http.Handler {
			return zyweb.NewCallerHandler(zyweb.CallerConfig{Entry: c.Entry, Bundle: c.Bundle, Budget: c.Budget})
		}
	}
	if e.UpstreamHandler == nil {
		e.UpstreamHandler = func(announce func(zyingress.Announcement) error) http.Handler {
			return zyweb.NewUpstreamHandler(zyweb.UpstreamConfig{HandleAnnouncement: announce})
		}
	}
	if e.NewWorker == nil {
		e.NewWorker = func(a zyingress.Announcement) zinniayoke.Worker {
			return zyworker.New(zyworker.Config{Address: a.Address, MaxConnections: a.Connections, Budget: e.Budget})
		}
	}
	if e.BundleSource == nil {
		n.sharedLog = zylog.NewClient(zylog.ClientConfig{Address: n.cfg.Settings.LogAddress})
	}
	if e.Discovery == nil {
		e.Discovery = &logDiscovery{sharedLog: n.sharedLog}
	}
	n.discovery = e.Discovery
}

func (e *Adapters) decoder() func(text []byte) (*zybundle.Bundle, error) {
	if e.BundleSource == nil {
		return nil
	}
	return e.BundleSource.Decode
}

// hasBundleSource reports whether an external system decides which bundle is in
// force; otherwise the nodes agree on it through the shared log.
func (n *Node) hasBundleSource() bool {
	return n.cfg.Adapters.BundleSource != nil
}
