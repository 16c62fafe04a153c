package zyingress

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zybackpressure"
)

// Announcement is what a worker says about itself, each second.
type Announcement struct {
	Service     zinniayoke.Service     `json:"service"`
	Address     string                 `json:"address"`
	Slots       int                    `json:"slots"`
	Connections int                    `json:"connections"`
	State       zinniayoke.WorkerState `json:"state"`
	Incarnation zinniayoke.Incarnation `json:"incarnation"`
	// Instance names this start of the worker, "" where the worker checks no names.
	Instance zinniayoke.Instance `json:"instance,omitempty"`
	// Sequence orders the announcements of one incarnation, 0 where it is not told.
	Sequence uint64 `json:"sequence,omitempty"`
	// WarmupRemaining is how long the worker will still be slow after its start.
	WarmupRemaining time.Duration `json:"cold,omitempty"`
}

// same reports whether a says of the worker what b says, leaving out what
// changes with each announcement.
func (a Announcement) same(b Announcement) bool {
	a.Sequence, a.WarmupRemaining = b.Sequence, b.WarmupRemaining
	return a == b
}

// Bounds of what a worker may announce.
const (
	MaxSlots       = 100_000
	MaxConnections = 100_000
)

// AnnouncementError says which field of an announcement is wrong.
type AnnouncementError struct {
	Field    string
	Accepted string
}

// Error names the field and what is accepted.
func (e *AnnouncementError) Error() string {
	return "announcement: " + e.Field + ": accepted: " + e.Accepted
}

// Check returns an *AnnouncementError where a field is out of range.
func (a Announcement) Check() error {
	switch {
	case a.Service == "":
		return &AnnouncementError{Field: "service", Accepted: "the name of a service"}
	case a.Address == "":
		return &AnnouncementError{Field: "address", Accepted: "an IP number and a port"}
	case a.Slots < 1 || a.Slots > MaxSlots:
		return &AnnouncementError{Field: "slots", Accepted: "1 to 100000"}
	case a.Connections < 1 || a.Connections > MaxConnections:
		return &AnnouncementError{Field: "connections", Accepted: "1 to 100000"}
	case a.State < zinniayoke.WorkerStarting || a.State > zinniayoke.WorkerDraining:
		return &AnnouncementError{Field: "state", Accepted: "starting, serving or draining"}
	}
	return nil
}

// HandleAnnouncement takes in what the worker says. Connect is called for a worker that
// is new or has moved. It reports whether others need to know of a change.
func (r *Receiver) HandleAnnouncement(a Announcement, connect func(Announcement) zinniayoke.Worker) (bool, error) {
	if a.State == zinniayoke.WorkerGone {
		return r.dismiss(a.Instance), nil
	}
	if err := a.Check(); err != nil {
		return false, err
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outdated(a) {
		return false, nil
	}
	if r.worker != nil && a.Incarnation < r.told.Incarnation {
		return false, &AnnouncementError{Field: "incarnation", Accepted: "one that is not older than the last"}
	}
	r.dismissed = false
	fresh := r.fresh(a)
	if !fresh {
		a.State = r.stateAfter(a)
	}
	changed := fresh || r.crashed || !a.same(r.told) || now.Sub(r.toldAt) > r.cfg.AnnouncementTTL
	r.crashed = false
	if fresh || a.Address != r.told.Address || a.Connections != r.told.Connections {
		r.connect(a, connect)
	}
	if fresh {
		r.newGate(a)
	}
	r.gate.SetSlots(a.Slots)
	r.told, r.toldAt = a, now
	if a.State == zinniayoke.WorkerDraining {
		r.letGo(zinniayoke.ReasonDraining)
	}
	return changed, nil
}

// outdated reports whether a later announcement of the same start has arrived
// already, or the start has said that it ends. The lock is held.
func (r *Receiver) outdated(a Announcement) bool {
	if a.Incarnation == r.told.Incarnation && a.Sequence != 0 && a.Sequence <= r.told.Sequence {
		return true
	}
	return r.dismissed && a.Incarnation <= r.told.Incarnation
}

// fresh reports whether the announcement is of another start of the worker. One
// that was found by a probe has no incarnation yet. The lock is held.
func (r *Receiver) fresh(a Announcement) bool {
	if r.worker == nil {
		return true
	}
	found := r.told.Incarnation == 0 && a.Instance != "" && a.Instance == r.told.Instance
	return a.Incarnation > r.told.Incarnation && !found
}

// stateAfter returns the state that the announcement leads to. A probe does not
// bring back what drains. The lock is held.
func (r *Receiver) stateAfter(a Announcement) zinniayoke.WorkerState {
	if r.told.State == zinniayoke.WorkerDraining && a.Sequence == 0 {
		return zinniayoke.WorkerDraining
	}
	return a.State
}

// connect replaces the connections to the worker. The lock is held.
func (r *Receiver) connect(a Announcement, connect func(Announcement) zinniayoke.Worker) {
	if old, ok := r.worker.(interface{ Close() }); ok {
		old.Close()
	}
	r.worker = connect(a)
}

// newGate starts over for a worker that has restarted. Calls that wait move on
// by their own contexts; calls that run are lost with the old worker.
func (r *Receiver) newGate(a Announcement) {
	old := r.gate
	r.gate = zyadmission.NewQueue(zyadmission.Config{
		Slots: a.Slots, FixedLimit: r.cfg.FixedLimit, QueuePerSlot: r.queuePerSlot(), ByWaitDeadline: r.cfg.Graph != nil,
	})
	r.level = zybackpressure.NewExcessController()
	r.crashed = false
	if old == nil {
		return
	}
	for _, c := range r.calls {
		if !c.running && old.Remove(c.attempt.ID) {
			c.decided <- zinniayoke.ReasonNoUpstream
			r.forget(c)
		}
	}
}

// dismiss notes that a start of the worker ends. It takes no new calls, and
// nothing that it said before brings it back. It reports whether that is news.
func (r *Receiver) dismiss(id zinniayoke.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.told.Instance != id || r.dismissed {
		return false
	}
	r.dismissed = true
	r.told.State = zinniayoke.WorkerDraining
	r.letGo(zinniayoke.ReasonDraining)
	return true
}

// queuePerSlot lets more calls wait where each tells how long it can.
func (r *Receiver) queuePerSlot() int {
	const patientQueue = 3
	if r.cfg.Graph != nil {
		return patientQueue
	}
	return 0
}

// letGo refuses all calls that wait. The lock is held.
func (r *Receiver) letGo(reason zinniayoke.Reason) {
	for _, c := range r.calls {
		if !c.running && r.gate.Remove(c.attempt.ID) {
			c.decided <- reason
			r.forget(c)
		}
	}
}

// Misdirected notes that another worker has the address of this one, which is
// gone until it announces itself again.
func (r *Receiver) misdirected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
}

// Worker returns the last announcement, and its state as others should see it.
func (r *Receiver) Worker() (Announcement, zinniayoke.WorkerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.worker == nil:
		return r.told, zinniayoke.WorkerGone
	case r.draining:
		return r.told, zinniayoke.WorkerDraining
	case r.crashed || time.Since(r.toldAt) > r.cfg.AnnouncementTTL:
		return r.told, zinniayoke.WorkerGone
	}
	return r.told, r.told.State
}

// Load is how busy the worker is.
type Load struct {
	Limit     int             `json:"limit"`
	Running   int             `json:"running"`
	Waiting   int             `json:"waiting"`
	Threshold zinniayoke.Rank `json:"threshold"`
}

// Load returns how busy the worker is.
func (r *Receiver) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gate == nil {
		return Load{}
	}
	return Load{
		Limit: r.gate.Limit(), Running: r.gate.Running(),
		Waiting: r.gate.Waiting(), Threshold: r.gate.Threshold(),
	}
}

// Query returns the fate of an attempt and fences one that was never seen.
func (r *Receiver) Query(id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	return r.cfg.Fence.Query(time.Now(), id)
}

// Cancel ends an attempt that nobody waits for. An attempt with a grant runs
// on, since a re-send of its key will want the answer.
func (r *Receiver) Cancel(id zinniayoke.AttemptID) {
	r.mu.Lock()
	c, ok := r.calls[id]
	r.mu.Unlock()
	if ok && !keyed(c.attempt) {
		c.cancel()
	}
}

// StopAccepting lets the receiver take no new attempts, and gives up those that wait.
func (r *Receiver) StopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.gate != nil {
		r.letGo(zinniayoke.ReasonDraining)
	}
}

// Drain refuses new attempts and waits until those at hand have ended or ctx is
// done, whose error it returns then.
func (r *Receiver) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	idle := r.whenIdle()
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close ends the receiver's subscription to the timer.
func (r *Receiver) Close() {
	r.tick.Cancel()
}
