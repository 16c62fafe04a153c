package zyingress

import (
	"net/netip"
	"time"

	"zinniayoke"
)

// checkOrigin returns an *AnnouncementError unless the announcement is of the worker of the host.
// The worker itself has the last word on which of its runs is in progress: confirmed is true if
// it has named the one that the announcement is of. r.mu must not be held.
func (r *Receiver) checkOrigin(a Announcement) (confirmed bool, err error) {
	r.mu.Lock()
	err = r.checkHost(a)
	ask := err == nil && r.namesOtherRun(a)
	r.mu.Unlock()
	if !ask {
		return false, err
	}
	instance, askErr := r.cfg.Identify(a.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	if askErr == nil && instance == a.Instance {
		return true, nil
	}
	if askErr == nil || r.inUse(time.Now()) {
		return false, &AnnouncementError{Field: "instance", Accepted: "the one that the worker names in its health check"}
	}
	return false, nil
}

// checkHost returns an *AnnouncementError for an announcement of a worker that cannot be that of
// the host. r.mu must be held.
func (r *Receiver) checkHost(a Announcement) error {
	switch sameRun := r.isKnownRun(a); {
	case r.cfg.WorkerAddress != "" && !sameAddress(a.Address, r.cfg.WorkerAddress):
		return &AnnouncementError{Field: "address", Accepted: "the address of the worker in the settings"}
	case sameRun && a.Service == r.announcement.Service:
		return nil // The bundle may have dropped the service since.
	case sameRun && !r.corrects(a):
		return &AnnouncementError{Field: "service", Accepted: "the one that the run has announced before"}
	case !r.knowsService(a.Service):
		return &AnnouncementError{Field: "service", Accepted: "a service of the settings or of the bundle"}
	}
	return nil
}

// isKnownRun reports whether the announcement is of the run that the last one was of. r.mu must be
// held.
func (r *Receiver) isKnownRun(a Announcement) bool {
	known := r.announcement
	return r.worker != nil && a.Instance == known.Instance && a.Incarnation == known.Incarnation && a.Incarnation != 0
}

// corrects reports whether the settings bear out the announcement and not the last one: a run does
// not change its service, so the last one was of another writer. r.mu must be held.
func (r *Receiver) corrects(a Announcement) bool {
	return r.isKnownRun(a) && a.Service != r.announcement.Service && a.Service == r.service.name
}

// knowsService reports whether the settings or the bundle name the service. r.mu must be held.
func (r *Receiver) knowsService(s zinniayoke.Service) bool {
	if r.cfg.Bundle == nil || s == r.service.name {
		return true
	}
	bundle := r.cfg.Bundle()
	if bundle == nil {
		return r.service.name == ""
	}
	_, ok := bundle.Services[s]
	return ok || len(bundle.Services) == 0
}

// namesOtherRun reports whether the announcement is a heartbeat of another run than the one that
// is known, and the worker can be asked about it. A late one of an earlier run needs no question.
// r.mu must be held.
func (r *Receiver) namesOtherRun(a Announcement) bool {
	if r.cfg.Identify == nil || a.Sequence == 0 {
		return false
	}
	late := a.Incarnation < r.announcement.Incarnation && r.confirmed && r.inUse(time.Now())
	return r.isOtherInstance(a) && !late
}

// isOtherInstance reports whether the announcement is not of the instance that the last one was
// of. r.mu must be held.
func (r *Receiver) isOtherInstance(a Announcement) bool {
	return r.worker == nil || a.Instance != r.announcement.Instance
}

// noteConfirmation updates confirmed for an announcement that counts. r.mu must be held.
func (r *Receiver) noteConfirmation(a Announcement, confirmed bool) {
	switch {
	case confirmed || a.Sequence == 0: // A health check is an answer of the worker.
		r.confirmed = true
	case r.isOtherInstance(a):
		r.confirmed = false
	}
}

// outlived reports whether the worker has named another run than the one that this announcement
// says has ended, so that nothing needs to be remembered of it. r.mu must be held.
func (r *Receiver) outlived(a Announcement) bool {
	return r.confirmed && r.inUse(time.Now()) && a.Instance != r.announcement.Instance
}

// inUse reports whether the worker gets calls, or will once Recall is called. r.mu must be held.
func (r *Receiver) inUse(now time.Time) bool {
	return r.worker != nil && !r.gone && !r.ended && r.announcement.State == zinniayoke.WorkerServing &&
		now.Sub(r.announcedAt) <= r.cfg.AnnouncementTTL
}

// sameAddress reports whether both texts are the same IP number and port.
func sameAddress(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	return a == b || errX == nil && errY == nil && x == y
}

// SetWorkerAddress changes the address that announcements must name; "" accepts any.
func (r *Receiver) SetWorkerAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.WorkerAddress = address
}
