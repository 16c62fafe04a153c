package zyingress

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyquarantine"
)

// decideQuarantine returns how a request may run. Requests that the bundle lists as
// released are never restricted.
func (r *Receiver) decideQuarantine(now time.Time, p zyquarantine.Fingerprint) zyquarantine.Decision {
	bundle := r.cfg.Bundle()
	if bundle == nil || len(bundle.ReleasedFromQuarantine) > 0 && bundle.ReleasedFromQuarantine[p.String()] {
		return zyquarantine.RunShared
	}
	return r.cfg.Quarantine.Decide(now, p, bundle.QuarantineFor)
}

// checkQuarantine returns an error if the request is quarantined or a suspected
// request has the worker to itself. r.mu must be held.
func (r *Receiver) checkQuarantine(decision zyquarantine.Decision, c *activeCall) error {
	if decision == zyquarantine.Quarantined {
		return zyquarantine.NewQuarantinedError(c.fingerprint)
	}
	if r.exclusive != nil && r.exclusive != c {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "a suspected request runs alone")
	}
	return nil
}

// reserveWorker reserves the worker for a suspected request and waits until no
// other call is waiting or running.
func (r *Receiver) reserveWorker(ctx context.Context, c *activeCall) error {
	r.mu.Lock()
	if r.exclusive != nil {
		r.mu.Unlock()
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "another suspected request runs alone")
	}
	r.exclusive = c
	idle := r.idleChan()
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclusive = nil
	return queueError(ctx)
}

// idleChan returns a channel that is closed once no call is waiting or running.
// r.mu must be held.
func (r *Receiver) idleChan() <-chan struct{} {
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	if len(r.calls) == 0 {
		close(r.idle)
		r.idle = nil
	}
	return idle
}

// checkCrash probes the worker after a connection failure. If the worker has
// crashed, all requests in flight at the first failure become suspects.
func (r *Receiver) checkCrash() {
	r.mu.Lock()
	worker, incarnation := r.worker, r.announcement.Incarnation
	fingerprints := r.runningFingerprints()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if worker.Probe(ctx) == nil {
		return
	}
	r.mu.Lock()
	first := !r.gone && r.announcement.Incarnation == incarnation
	r.gone = r.gone || first
	r.mu.Unlock()
	if !first {
		return
	}
	records := r.cfg.Quarantine.RecordCrash(time.Now(), fingerprints)
	if r.cfg.OnCrash != nil {
		r.cfg.OnCrash(records)
	}
}

// runningFingerprints returns the fingerprints of the running calls. r.mu must be
// held.
func (r *Receiver) runningFingerprints() []zyquarantine.Fingerprint {
	var fingerprints []zyquarantine.Fingerprint
	for _, c := range r.calls {
		if c.running {
			fingerprints = append(fingerprints, c.fingerprint)
		}
	}
	return fingerprints
}
