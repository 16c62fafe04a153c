package zyingress

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyquarantine"
)

func (r *Receiver) judge(now time.Time, p zyquarantine.Fingerprint) zyquarantine.Decision {
	rules := r.cfg.Rules()
	if rules == nil || len(rules.ReleasedFromQuarantine) > 0 && rules.ReleasedFromQuarantine[p.String()] {
		return zyquarantine.RunShared
	}
	return r.cfg.Suspects.Decide(now, p, rules.QuarantineFor)
}

// admitSuspect refuses what is quarantined, and everything beside a suspect.
func (r *Receiver) admitSuspect(verdict zyquarantine.Decision, c *run) error {
	if verdict == zyquarantine.Quarantined {
		return zyquarantine.NewQuarantinedError(c.print)
	}
	if r.alone != nil && r.alone != c {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "a suspected request runs alone")
	}
	return nil
}

// reserve keeps the worker for a suspected request and waits until the worker
// runs nothing else.
func (r *Receiver) reserve(ctx context.Context, c *run) error {
	r.mu.Lock()
	if r.alone != nil {
		r.mu.Unlock()
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "another suspected request runs alone")
	}
	r.alone = c
	idle := r.whenIdle()
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alone = nil
	return refusalOf(ctx)
}

// whenIdle returns a channel that is closed once no call is at hand. The lock
// is held.
func (r *Receiver) whenIdle() <-chan struct{} {
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

// checkCrash finds out whether the worker has crashed. All requests that were
// in flight at the first sign are suspects.
func (r *Receiver) checkCrash() {
	r.mu.Lock()
	worker, incarnation := r.worker, r.told.Incarnation
	prints := r.running()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if worker.Probe(ctx) == nil {
		return
	}
	r.mu.Lock()
	first := !r.crashed && r.told.Incarnation == incarnation
	r.crashed = r.crashed || first
	r.mu.Unlock()
	if !first {
		return
	}
	cases := r.cfg.Suspects.RecordCrash(time.Now(), prints)
	if r.cfg.OnSuspects != nil {
		r.cfg.OnSuspects(cases)
	}
}

func (r *Receiver) running() []zyquarantine.Fingerprint {
	var prints []zyquarantine.Fingerprint
	for _, c := range r.calls {
		if c.running {
			prints = append(prints, c.print)
		}
	}
	return prints
}
