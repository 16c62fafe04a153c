package zyingress

import (
	"slices"
	"time"

	"zinniayoke"
)

// maxDepartures limits the departures of runs that this process has not seen. They are those of
// one host within an hour.
const maxDepartures = 4096

// Departure returns what must be recorded before the announcement is acknowledged, so that it
// binds later processes of the node as well. ok is false if the announcement does not say that
// the worker leaves, or is of an earlier run.
func (r *Receiver) Departure(a Announcement) (d zinniayoke.Departure, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d = zinniayoke.Departure{Instance: a.Instance, Incarnation: a.Incarnation}
	switch known := r.announcement; {
	case a.State == zinniayoke.WorkerGone:
		if r.worker != nil && a.Instance == known.Instance && known.Incarnation != 0 {
			d.Incarnation = known.Incarnation
		}
		return d, a.Instance != "" && !r.outlived(a)
	case a.State == zinniayoke.WorkerDraining && a.Incarnation >= known.Incarnation:
		d.Sequence = a.Sequence
		return d, a.Incarnation != 0 || a.Sequence != 0 // Others come from a health check.
	}
	return d, false
}

// Recall takes in the departures that earlier processes of the node have acknowledged; the
// worker may get calls from now on. It reports whether the state of the worker has changed.
func (r *Receiver) Recall(list []zinniayoke.Departure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.recalling
	r.recalling = false
	return r.learn(list) || changed
}

// Learn takes in departures that other nodes know. It reports whether the state of the worker
// has changed.
func (r *Receiver) Learn(list ...zinniayoke.Departure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.learn(list)
}

// learn adds departures to those that are known, and ends the current run of the worker if it is
// among them. r.mu must be held.
func (r *Receiver) learn(list []zinniayoke.Departure) bool {
	for _, d := range list {
		r.addDeparture(d)
	}
	if r.worker == nil || r.ended {
		return false
	}
	d := r.departureOf(r.announcement)
	switch {
	case d == nil:
		return false
	case isFinal(d):
		r.endRun()
		return true
	}
	changed := r.announcement.State != zinniayoke.WorkerDraining
	r.announcement.State = zinniayoke.WorkerDraining
	r.announcement.Sequence = max(r.announcement.Sequence, d.Sequence)
	r.refuseWaiting()
	return changed
}

// HeardFor returns for how long heartbeats of the current run have arrived that say that it
// serves. A worker that has left sends none; those that were sent before are seconds late at most.
func (r *Receiver) HeardFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.heardSince.IsZero() {
		return 0
	}
	return r.announcedAt.Sub(r.heardSince)
}

// noteHeartbeat updates heardSince. r.mu must be held.
func (r *Receiver) noteHeartbeat(now time.Time, a Announcement, newRun bool) {
	if newRun || a.State != zinniayoke.WorkerServing {
		r.heardSince = time.Time{}
	}
	if a.State == zinniayoke.WorkerServing && a.Sequence != 0 && r.heardSince.IsZero() {
		r.heardSince = now
	}
}

// addDeparture adds a departure to those that are known. r.mu must be held.
func (r *Receiver) addDeparture(d zinniayoke.Departure) {
	if !slices.Contains(r.departures, d) {
		r.departures = append(r.departures, d)
		r.departures = r.departures[max(len(r.departures)-maxDepartures, 0):]
	}
}

// departureOf returns a departure that takes precedence over the announcement, a final one if
// there is one, or nil. r.mu must be held.
func (r *Receiver) departureOf(a Announcement) *zinniayoke.Departure {
	var found *zinniayoke.Departure
	for i := range r.departures {
		d := &r.departures[i]
		if !overrides(d, a) {
			continue
		}
		if d.Incarnation == 0 {
			d.Incarnation = a.Incarnation // A later run of the same instance is another one.
		}
		if found == nil || isFinal(d) {
			found = d
		}
	}
	return found
}

// overrides reports whether the departure is of the same run as the announcement, or of a later
// one of the same instance, and not older than the announcement.
func overrides(d *zinniayoke.Departure, a Announcement) bool {
	if d.Instance != a.Instance && d.Instance != "" {
		return false
	}
	if d.Instance == "" {
		return a.Incarnation != 0 && a.Incarnation == d.Incarnation
	}
	if d.Incarnation != 0 && a.Incarnation > d.Incarnation {
		return false
	}
	return isFinal(d) || a.Incarnation < d.Incarnation || a.Sequence <= d.Sequence
}

// isFinal reports whether no announcement of the run counts any more.
func isFinal(d *zinniayoke.Departure) bool {
	return d.Sequence == 0
}
