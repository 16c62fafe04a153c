package zynode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyingress"
)

const (
	findWorkerTimeout = 500 * time.Millisecond
	// identityPeriod bounds how often a heartbeat can cause a health check.
	identityPeriod = 1 * time.Second
)

// workerIdentity is the latest answer of the worker to the question which run it is.
type workerIdentity struct {
	mu       sync.Mutex
	asked    time.Time
	instance zinniayoke.Instance
	err      error
}

// findWorker looks in the background for a worker that started before the node, so
// that the worker is not idle until its next announcement.
func (n *Node) findWorker() {
	if n.cfg.Adapters.FindWorker == nil {
		return
	}
	go func() {
		n.identity.mu.Lock()
		a, err := n.askWorker(n.receiver.Service())
		n.identity.mu.Unlock()
		if err == nil {
			err = n.handleAnnouncement(a)
		}
		if err != nil {
			n.log.With("error", err).Info("No running worker was found at startup.")
		}
	}()
}

// identifyWorker returns the instance that the worker has named within identityPeriod. It asks if
// there is no such answer.
func (n *Node) identifyWorker(s zinniayoke.Service) (zinniayoke.Instance, error) {
	n.identity.mu.Lock()
	defer n.identity.mu.Unlock()
	if time.Since(n.identity.asked) >= identityPeriod {
		_, _ = n.askWorker(s) // What counts is kept.
	}
	return n.identity.instance, n.identity.err
}

// askWorker makes a health check of the worker and keeps the answer. n.identity.mu must be held.
func (n *Node) askWorker(s zinniayoke.Service) (zyingress.Announcement, error) {
	ctx, cancel := context.WithTimeout(context.Background(), findWorkerTimeout)
	defer cancel()
	a, err := n.cfg.Adapters.FindWorker(ctx, n.bundle.Current(), s)
	known := &n.identity
	known.asked, known.instance, known.err = time.Now(), a.Instance, nil
	if a.Instance == "" {
		known.err = fmt.Errorf("the worker names no instance: %w", err)
	}
	return a, err
}
