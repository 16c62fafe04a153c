package zyingress

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zyfairshare"
	"zinniayoke/core/zyquarantine"
)

// admit adds the attempt to the admission queue. For a suspected request it first
// reserves the worker.
func (r *Receiver) admit(ctx context.Context, c *activeCall) (zinniayoke.Worker, error) {
	now := time.Now()
	if err := r.adoptNotice(now, c.attempt.Heard); err != nil {
		return nil, err
	}
	decision := r.decideQuarantine(now, c.fingerprint)
	if decision == zyquarantine.RunExclusive {
		if err := r.reserveWorker(ctx, c); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	worker, err := r.enqueue(now, decision, c)
	if err != nil && r.exclusive == c {
		r.exclusive = nil
	}
	return worker, err
}

// enqueue adds the attempt to the admission queue if the worker is available.
// r.mu must be held.
func (r *Receiver) enqueue(now time.Time, decision zyquarantine.Decision, c *activeCall) (zinniayoke.Worker, error) {
	if err := r.checkAvailable(now, c.attempt); err != nil {
		return nil, err
	}
	if err := r.checkQuarantine(decision, c); err != nil {
		return nil, err
	}
	if r.cfg.Callers != nil {
		// A refusal reports this too: the sender goes by the last reply.
		c.calledByWorkers = r.cfg.Callers.Observe(now, c.attempt.Route, c.attempt.Caller)
	}
	item := zyadmission.Item{
		ID: c.attempt.ID, Route: c.attempt.Route, Rank: c.attempt.Rank,
		Depth: c.attempt.Depth, Deadline: now.Add(c.attempt.Timeout), MaxWait: c.attempt.MaxWait,
		Customer: r.shareOf(c.attempt),
	}
	if err := r.checkBusy(now, decision, c.attempt, item); err != nil {
		return nil, err
	}
	if err := r.chargeRetry(now, c); err != nil {
		return nil, err
	}
	r.calls[c.attempt.ID] = c
	if r.rateLimit() == nil && !c.attempt.RefusedElsewhere && !c.attempt.Resent {
		r.excess.CountArrival(now)
	}
	r.applyResult(now, r.queue.Arrive(now, item))
	return r.worker, nil
}

// shareOf returns the customer of an attempt, the zero value in bundles without customers.
func (r *Receiver) shareOf(a *zinniayoke.Attempt) zyfairshare.Customer {
	if bundle := r.cfg.Bundle(); bundle != nil {
		return bundle.ShareOf(a.Share)
	}
	return zyfairshare.Customer{}
}

// maxChargeAge is how long before its delivery a retry may have been charged to the budget. The
// budget counts retries when they are charged, and the worker gets them when they are delivered.
const maxChargeAge = 500 * time.Millisecond

// chargeRetry counts an attempt that arrives for the retry budget of the worker's service, and
// returns an error if it is a retry that the budget does not allow. Calls of repeated runs are
// counted when they are delivered.
func (r *Receiver) chargeRetry(now time.Time, c *activeCall) error {
	budgets, a := r.cfg.RetryBudgets, c.attempt
	if budgets == nil {
		return nil
	}
	switch {
	case a.Resent:
		if !budgets.SpendFor(now, a.Service, r.shareOf(a), zyattempt.PrecedenceOf(a)) {
			return zinniayoke.NewRefusedError(zinniayoke.ReasonRetryBudget, "the retries of the service are kept for other calls")
		}
		c.chargedAt = now
	case !a.RefusedElsewhere && !a.InRepeatedRun:
		budgets.RecordFirstSend(now, a.Service)
	}
	return nil
}

// chargeDelivery counts an attempt that is about to be delivered for the retry budget. A retry
// that was charged too long ago, because it waited or the node stood still, is charged again.
func (r *Receiver) chargeDelivery(c *activeCall) error {
	budgets, a, now := r.cfg.RetryBudgets, c.attempt, time.Now()
	switch {
	case budgets == nil:
	case a.Resent && now.Sub(c.chargedAt) > maxChargeAge:
		if err := r.chargeRetry(now, c); err != nil {
			r.withdraw(now, c)
			return err
		}
	case a.InRepeatedRun && !a.Resent:
		budgets.RecordRetryFor(now, a.Service, r.shareOf(a))
	}
	return nil
}

// withdraw removes an admitted call that is not delivered.
func (r *Receiver) withdraw(now time.Time, c *activeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyResult(now, r.queue.Withdraw(now, c.attempt.ID))
	r.removeCall(c)
}

// checkAvailable returns an error if the worker currently accepts no calls. r.mu
// must be held.
func (r *Receiver) checkAvailable(now time.Time, a *zinniayoke.Attempt) error {
	switch {
	case r.draining:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDraining, "the node is stopping")
	case r.worker == nil || r.gone || now.Sub(r.announcedAt) > r.cfg.AnnouncementTTL:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "the worker is gone")
	case r.recalling:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "whether the worker has left is not known yet")
	case r.announcement.Service != a.Service:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "the worker serves "+string(r.announcement.Service))
	case r.announcement.State == zinniayoke.WorkerDraining:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDraining, "the worker is draining")
	case r.announcement.State != zinniayoke.WorkerServing:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "the worker is starting")
	}
	return nil
}

// awaitAdmission waits for the decision of the admission queue.
func (r *Receiver) awaitAdmission(ctx context.Context, c *activeCall) error {
	select {
	case reason := <-c.admission:
		return r.admissionError(c, reason)
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Remove(c.attempt.ID) {
		r.removeCall(c)
		return queueError(ctx)
	}
	// The queue has decided in the meantime.
	if reason := <-c.admission; reason != zinniayoke.ReasonNone {
		return zinniayoke.NewRefusedError(reason, "refused by the worker's node")
	}
	r.applyResult(time.Now(), r.queue.Withdraw(time.Now(), c.attempt.ID))
	r.removeCall(c)
	return queueError(ctx)
}

// applyResult passes the decisions of the admission queue to the waiting calls.
// r.mu must be held.
//
// The other workers of a service may have room for what exceeds the rate limit of this one.
// So with a limit, the demand that counts as excess is what no other worker could take.
func (r *Receiver) applyResult(now time.Time, res zyadmission.Result) {
	limited := r.rateLimit() != nil
	for _, item := range res.Started {
		if c, ok := r.calls[item.ID]; ok {
			c.running = true
			c.started = now
			r.excess.CountDelivery(now)
			if limited {
				r.excess.CountArrival(now)
			}
			c.admission <- zinniayoke.ReasonNone
		}
	}
	for _, refusal := range res.Refused {
		if c, ok := r.calls[refusal.Item.ID]; ok {
			c.admission <- refusal.Reason
			r.removeCall(c)
			if limited && c.attempt.LastChoice {
				r.excess.CountArrival(now)
			}
		}
	}
	r.excess.SetUtilization(now, r.utilization(now))
	r.updateTickPeriod()
}

// limitedUtilization is the utilization of a worker whose rate limit is used up. It is below
// the target of the ExcessController, so that only calls that no other worker could take
// count as excess.
const limitedUtilization = 0.93

// utilization returns the share of the worker's capacity that is in use. r.mu must be held.
func (r *Receiver) utilization(now time.Time) float64 {
	slots := float64(r.queue.Running()) / float64(r.queue.Limit())
	if r.rateLimit() == nil {
		return slots
	}
	return max(slots, limitedUtilization*r.queue.Utilization(now))
}

// updateTickPeriod uses the short tick period only while calls wait. r.mu must be
// held.
func (r *Receiver) updateTickPeriod() {
	if busy := r.queue.Waiting() > 0; busy != r.fastTick {
		r.fastTick = busy
		if busy {
			r.tick.SetPeriod(busyTickPeriod)
		} else {
			r.tick.SetPeriod(idleTickPeriod)
		}
	}
}

// removeCall removes a call that has ended or was refused. r.mu must be held.
func (r *Receiver) removeCall(c *activeCall) {
	delete(r.calls, c.attempt.ID)
	if r.exclusive == c {
		r.exclusive = nil
	}
	if len(r.calls) == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

func (r *Receiver) onTick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue != nil {
		r.applyResult(now, r.queue.Tick(now))
	}
}
