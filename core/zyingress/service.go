package zyingress

import (
	"time"

	"zinniayoke"
)

// MaxHeartbeatDelay is how late a heartbeat may arrive.
const MaxHeartbeatDelay = 10 * time.Second

// hostService is the service of the host, which both the settings and the worker name. The later
// statement counts.
type hostService struct {
	name zinniayoke.Service
	// named is when the settings named the service.
	named time.Time
	// runSeen is true once a run of the worker was accepted after that. The next run is later.
	runSeen bool
	// settled is true if nothing that the current run announces is later.
	settled bool
}

// Service returns the service that runs on the host.
func (r *Receiver) Service() zinniayoke.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service.name
}

// SetService records that the settings name another service from now on.
func (r *Receiver) SetService(s zinniayoke.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service = hostService{name: s, named: time.Now(), settled: true}
}

// SetAnnouncementTTL changes how long an announcement stays valid.
func (r *Receiver) SetAnnouncementTTL(ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.AnnouncementTTL = ttl
}

// noteService takes in the service of an accepted heartbeat if its run began later than the
// settings named theirs. Heartbeats that were sent before may still arrive, so an earlier start
// counts only if the run goes on for longer than they can be late. r.mu must be held.
func (r *Receiver) noteService(now time.Time, a Announcement, newRun bool) {
	if a.Sequence == 0 {
		return // The health check at the start takes the service from the settings.
	}
	s := &r.service
	if newRun {
		s.settled = false
	}
	if s.settled {
		return
	}
	later := newRun && s.runSeen || int64(a.Incarnation) > s.named.UnixMilli()
	s.runSeen = true
	if later || !r.heardSince.IsZero() && now.Sub(r.heardSince) > MaxHeartbeatDelay {
		s.name, s.settled = a.Service, true
	}
}
