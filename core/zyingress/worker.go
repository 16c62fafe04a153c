package zyingress

import (
	"context"
	"net/netip"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zybackpressure"
)

// Announcement is the state that a worker announces, normally once per second.
type Announcement struct {
	Service     zinniayoke.Service     `json:"service"`
	Address     string                 `json:"address"`
	Slots       int                    `json:"slots"`
	Connections int                    `json:"connections"`
	State       zinniayoke.WorkerState `json:"state"`
	Incarnation zinniayoke.Incarnation `json:"incarnation"`
	// Instance identifies this run of the worker; "" if the worker does not check it.
	Instance zinniayoke.Instance `json:"instance,omitempty"`
	// Sequence orders the announcements of one incarnation; 0 if unknown.
	Sequence uint64 `json:"sequence,omitempty"`
	// WarmupRemaining is how much longer the worker will be slow after its start.
	WarmupRemaining time.Duration `json:"cold,omitempty"`
	// Notice is what the worker said in the response to a health check. Announcements of the
	// worker itself carry none.
	Notice zinniayoke.WorkerNotice `json:"-"`
}

// equalState reports whether a and b are equal except for the fields that change
// with each announcement.
func (a Announcement) equalState(b Announcement) bool {
	a.Sequence, a.WarmupRemaining, a.Notice = b.Sequence, b.WarmupRemaining, b.Notice
	return a == b
}

// Limits of the values that a worker may announce.
const (
	MaxSlots       = 100_000
	MaxConnections = 100_000
	// MaxSequence leaves room above any announcement, so that later ones are never outdated.
	MaxSequence = 1 << 53
	// MaxInstance is the length of an instance in bytes.
	MaxInstance = 128
	MaxWarmup   = time.Hour
)

// AnnouncementError reports an invalid field of an announcement and the accepted
// values.
type AnnouncementError struct {
	Field    string
	Accepted string
}

// Error returns the field and its accepted values.
func (e *AnnouncementError) Error() string {
	return "announcement: " + e.Field + ": accepted: " + e.Accepted
}

// Check returns an *AnnouncementError if a field is missing or out of range.
func (a Announcement) Check() error {
	switch {
	case a.Service == "":
		return &AnnouncementError{Field: "service", Accepted: "the name of a service"}
	case !isAddress(a.Address):
		return &AnnouncementError{Field: "address", Accepted: "an IP number and a port"}
	case a.Slots < 1 || a.Slots > MaxSlots:
		return &AnnouncementError{Field: "slots", Accepted: "1 to 100000"}
	case a.Connections < 1 || a.Connections > MaxConnections:
		return &AnnouncementError{Field: "connections", Accepted: "1 to 100000"}
	case a.State < zinniayoke.WorkerStarting || a.State > zinniayoke.WorkerDraining:
		return &AnnouncementError{Field: "state", Accepted: "starting, serving or draining"}
	case a.Sequence > MaxSequence:
		return &AnnouncementError{Field: "sequence", Accepted: "0 to 2^53"}
	case a.WarmupRemaining < 0 || a.WarmupRemaining > MaxWarmup:
		return &AnnouncementError{Field: "cold", Accepted: "0 to an hour"}
	}
	return nil
}

// isAddress reports whether text is an IP number and a port.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// HandleAnnouncement updates the state of the worker. It calls connect if the
// worker is new or its address or number of connections has changed. It reports
// whether the state has changed in a way that other nodes need to know. An announcement
// that is not of the worker of this host changes nothing and returns an *AnnouncementError.
func (r *Receiver) HandleAnnouncement(a Announcement, connect func(Announcement) zinniayoke.Worker) (bool, error) {
	if len(a.Instance) > MaxInstance {
		return false, &AnnouncementError{Field: "instance", Accepted: "1 to 128 bytes"}
	}
	if a.State == zinniayoke.WorkerGone {
		return r.handleExit(a), nil
	}
	if err := a.Check(); err != nil {
		return false, err
	}
	confirmed, err := r.checkOrigin(a)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	replaces := confirmed && r.isOtherInstance(a) || r.corrects(a)
	if !replaces && r.isOutdated(a) {
		return false, nil
	}
	newRun := replaces || r.newRun(a)
	if err := r.checkRun(a, newRun); err != nil {
		return false, err
	}
	r.noteConfirmation(a, confirmed)
	return r.apply(a, newRun, connect), nil
}

// apply takes in an announcement that counts, and reports whether other nodes need to know. r.mu
// must be held.
func (r *Receiver) apply(a Announcement, newRun bool, connect func(Announcement) zinniayoke.Worker) bool {
	now := time.Now()
	r.noteHeartbeat(now, a, newRun)
	r.noteService(now, a, newRun)
	a.State = r.stateAfter(a, newRun)
	changed := newRun || r.gone || !a.equalState(r.announcement) || now.Sub(r.announcedAt) > r.cfg.AnnouncementTTL
	r.gone = false
	if newRun || a.Address != r.announcement.Address || a.Connections != r.announcement.Connections {
		r.connect(a, connect)
	}
	if newRun {
		r.resetQueue(a)
	}
	r.queue.SetSlots(a.Slots)
	r.announcement, r.announcedAt = a, now
	if a.State == zinniayoke.WorkerDraining {
		r.refuseWaiting()
	}
	return r.adoptFound(now, a.Notice) || changed
}

// checkRun returns an *AnnouncementError if the announcement must not replace the last one. r.mu
// must be held.
func (r *Receiver) checkRun(a Announcement, newRun bool) error {
	switch known := r.announcement; {
	case newRun:
	case a.Incarnation < known.Incarnation:
		return &AnnouncementError{Field: "incarnation", Accepted: "one that is not older than the last"}
	case a.Instance != known.Instance:
		return &AnnouncementError{Field: "instance", Accepted: "the one that the run has announced before"}
	}
	return nil
}

// isOutdated reports whether a later announcement of the same run has already
// arrived, or the run has announced that it ends. r.mu must be held.
func (r *Receiver) isOutdated(a Announcement) bool {
	if r.orderExpired() {
		return false
	}
	if a.Incarnation == r.announcement.Incarnation && a.Sequence != 0 && a.Sequence <= r.announcement.Sequence {
		return true
	}
	return r.ended && a.Incarnation <= r.announcement.Incarnation
}

// newRun reports whether the announcement is from another run of the worker. A run
// that was discovered by a probe has no incarnation until it announces itself, and
// is recognized by its instance. r.mu must be held.
func (r *Receiver) newRun(a Announcement) bool {
	if r.worker == nil {
		return true
	}
	discovered := r.announcement.Incarnation == 0 && a.Instance != "" && a.Instance == r.announcement.Instance
	if discovered && r.departureOf(r.announcement) != nil && r.departureOf(a) == nil {
		return true // The run that the probe was taken for has left, and this is a later one.
	}
	if a.Incarnation < r.announcement.Incarnation {
		return a.Sequence != 0 && r.orderExpired()
	}
	return a.Incarnation > r.announcement.Incarnation && !discovered
}

// orderExpired reports whether a heartbeat that arrives now was sent after the last one that
// counted, whatever its start and its sequence say: the worker serves, and has been silent for
// longer than heartbeats can be late. r.mu must be held.
func (r *Receiver) orderExpired() bool {
	silent := time.Since(r.announcedAt)
	return r.worker != nil && !r.ended && r.announcement.State == zinniayoke.WorkerServing &&
		silent > r.cfg.AnnouncementTTL && silent > MaxHeartbeatDelay
}

// stateAfter returns the state of the worker after the announcement. r.mu must be held.
func (r *Receiver) stateAfter(a Announcement, newRun bool) zinniayoke.WorkerState {
	if newRun {
		r.ended = false
		r.doubtful = a.Sequence == 0 && a.State == zinniayoke.WorkerDraining
	}
	if d := r.departureOf(a); d != nil {
		r.ended = r.ended || isFinal(d)
		return zinniayoke.WorkerDraining
	}
	if newRun {
		return a.State
	}
	return r.nextState(a)
}

// nextState returns the state of the worker after the announcement. A probe, which
// has no sequence number, does not end the draining state. r.mu must be held.
func (r *Receiver) nextState(a Announcement) zinniayoke.WorkerState {
	if r.ended || r.announcement.State == zinniayoke.WorkerDraining && a.Sequence == 0 {
		return zinniayoke.WorkerDraining
	}
	if r.doubtful && a.State == zinniayoke.WorkerServing {
		// One heartbeat may have been sent before the worker began to drain and arrive
		// late. A second one shows that the worker goes on, and that the probe was wrong.
		r.doubtful = false
		return zinniayoke.WorkerDraining
	}
	return a.State
}

// connect replaces the connections to the worker. r.mu must be held.
func (r *Receiver) connect(a Announcement, connect func(Announcement) zinniayoke.Worker) {
	if old, ok := r.worker.(interface{ Close() }); ok {
		old.Close()
	}
	r.worker = connect(a)
}

// resetQueue creates a new admission queue for a worker that has restarted. Waiting
// calls are refused with ReasonNoUpstream; running calls are lost with the old
// worker. r.mu must be held.
func (r *Receiver) resetQueue(a Announcement) {
	old := r.queue
	r.current = workerRun{number: r.current.number + 1}
	r.queue = zyadmission.NewQueue(zyadmission.Config{
		Slots: a.Slots, FixedLimit: r.cfg.FixedLimit, QueuePerSlot: r.queuePerSlot(), ByWaitDeadline: r.cfg.Graph != nil,
	})
	r.excess = zybackpressure.NewExcessController()
	r.gone = false
	if old == nil {
		return
	}
	for _, c := range r.calls {
		if !c.running && old.Remove(c.attempt.ID) {
			c.admission <- zinniayoke.ReasonNoUpstream
			r.removeCall(c)
		}
	}
}

// handleExit records that a run of the worker ends. The run gets no new calls, and
// its late announcements are ignored. It reports whether the state has changed.
func (r *Receiver) handleExit(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.announcement.Instance != a.Instance {
		if !r.outlived(a) {
			r.addDeparture(zinniayoke.Departure{Instance: a.Instance, Incarnation: a.Incarnation})
		}
		return false
	}
	if r.ended {
		return false
	}
	r.endRun()
	return true
}

// endRun records that the current run of the worker is about to end, which it does not
// take back: it gets no more calls. r.mu must be held.
func (r *Receiver) endRun() {
	r.ended = true
	r.announcement.State = zinniayoke.WorkerDraining
	r.refuseWaiting()
}

// queuePerSlot returns the queue length per slot; 0 means the default. The queue
// is longer if the calls carry their own maximum wait.
func (r *Receiver) queuePerSlot() int {
	const queuePerSlotByMaxWait = 3
	if r.cfg.Graph != nil {
		return queuePerSlotByMaxWait
	}
	return 0
}

// refuseWaiting refuses all waiting calls, because the worker or the node stops. r.mu must be
// held.
func (r *Receiver) refuseWaiting() {
	for _, c := range r.calls {
		if !c.running && r.queue.Remove(c.attempt.ID) {
			c.admission <- zinniayoke.ReasonDraining
			r.removeCall(c)
		}
	}
}

// markMisdirected records that another worker now has the address of this one,
// which counts as gone until its next announcement.
func (r *Receiver) markMisdirected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
}

// Worker returns the last announcement and the state to report to other nodes, which learn
// that this node is stopping by other means.
func (r *Receiver) Worker() (Announcement, zinniayoke.WorkerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.worker == nil || r.recalling:
		return r.announcement, zinniayoke.WorkerGone
	case r.gone || time.Since(r.announcedAt) > r.cfg.AnnouncementTTL:
		return r.announcement, zinniayoke.WorkerGone
	}
	return r.announcement, r.announcement.State
}

// Load is the concurrency limit of the worker, the number of running and waiting
// attempts, and the lowest admitted rank.
type Load struct {
	Limit     int             `json:"limit"`
	Running   int             `json:"running"`
	Waiting   int             `json:"waiting"`
	Threshold zinniayoke.Rank `json:"threshold"`
	// RateLimit is the rate that the worker accepts, nil if it names none.
	RateLimit *zinniayoke.Rate `json:"rateLimit,omitempty"`
	// DeliveryRate is how many calls per second are delivered to the worker.
	DeliveryRate zinniayoke.Rate `json:"deliveryRate"`
}

// Load returns the current load of the worker.
func (r *Receiver) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue == nil {
		return Load{}
	}
	return Load{
		Limit: r.queue.Limit(), Running: r.queue.Running(),
		Waiting: r.queue.Waiting(), Threshold: r.queue.Threshold(),
		RateLimit: r.rateLimit(), DeliveryRate: r.queue.DeliveryRate(time.Now()),
	}
}

// Query returns the state of an attempt that was sent to the given run of the node. An attempt
// that was never seen is fenced: it will be refused if it arrives later. What an earlier run
// has seen is not known, so such an attempt counts as lost.
func (r *Receiver) Query(node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	reply, err := r.cfg.Fence.Query(time.Now(), id)
	if err == nil && reply.State == zinniayoke.AttemptNeverSeen && node != r.cfg.Node {
		reply.State = zinniayoke.AttemptLost
	}
	return reply, err
}

// Cancel cancels an attempt that its sender has abandoned. An attempt with a grant
// keeps running, because a retry with the same key will need the response.
func (r *Receiver) Cancel(id zinniayoke.AttemptID) {
	r.mu.Lock()
	c, ok := r.calls[id]
	r.mu.Unlock()
	if ok && !hasGrant(c.attempt) {
		c.cancel()
	}
}

// Withdraw refuses an attempt that still waits, because its sender cannot wait for the answer.
func (r *Receiver) Withdraw(id zinniayoke.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.calls[id]; ok && !c.running && r.queue.Remove(id) {
		c.admission <- zinniayoke.ReasonCancelled
		r.removeCall(c)
	}
}

// StopAccepting refuses new and waiting attempts from now on.
func (r *Receiver) StopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.queue != nil {
		r.refuseWaiting()
	}
}

// Drain refuses new attempts and waits until all waiting and running attempts have
// ended. If ctx is done first, it returns the cause.
func (r *Receiver) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	idle := r.idleChan()
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close stops the receiver's periodic tick.
func (r *Receiver) Close() {
	r.tick.Cancel()
}
