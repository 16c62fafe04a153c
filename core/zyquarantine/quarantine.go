// Package zyquarantine detects requests that crash the workers that run them, and
// quarantines them.
package zyquarantine

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// Fingerprint is a hash of the content of a request, independent of its caller.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (fp Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fp))
}

// CrashRecord counts the worker crashes during which a request was in flight. The
// zero value is that of a request that is not a suspect.
type CrashRecord struct {
	Fingerprint Fingerprint `codec:"p" json:"print"`
	// Crashes is the number of workers that crashed while they ran the request.
	Crashes int `codec:"c" json:"crashes"`
	// CrashesAlone is the number of those that ran no other request.
	CrashesAlone int `codec:"a" json:"alone"`
	// Updated is the time of the last change, according to the clock of this node.
	Updated time.Time `codec:"-" json:"last"`
}

// Decision is how a request may run. The zero value is RunShared.
type Decision int

// The decisions.
const (
	// RunShared lets the request run concurrently with others.
	RunShared Decision = iota
	// RunExclusive lets the request run only on a worker that runs nothing else.
	RunExclusive
	// Quarantined refuses the request.
	Quarantined
)

// Config configures a Tracker.
type Config struct {
	// MaxRecords limits the number of records; the oldest are deleted first.
	MaxRecords int
	// CrashThreshold is the number of crashes, without a completed run in between,
	// after which a request is quarantined. If it is 0, a suspect runs exclusively
	// instead, and is quarantined once it crashes a worker that runs nothing else.
	CrashThreshold int
}

// Tracker keeps the crash records. It may be used by several goroutines. A Tracker
// must be created with New.
type Tracker struct {
	cfg     Config
	mu      sync.Mutex
	records map[Fingerprint]*CrashRecord
}

// New returns a tracker without records.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, records: make(map[Fingerprint]*CrashRecord)}
}

// RecordCrash records that a worker crashed while the given requests were in
// flight. It returns the changed records, to be sent to the other nodes.
func (t *Tracker) RecordCrash(now time.Time, inFlight []Fingerprint) []CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	updated := make([]CrashRecord, 0, len(inFlight))
	for _, fp := range inFlight {
		r := t.recordFor(now, fp)
		r.Crashes++
		if len(inFlight) == 1 {
			r.CrashesAlone++
		}
		r.Updated = now
		updated = append(updated, *r)
	}
	return updated
}

// RecordSuccess records that a suspect completed, which clears it. It does not lift
// a quarantine.
func (t *Tracker) RecordSuccess(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[fp]; ok && !t.isQuarantined(r) {
		delete(t.records, fp)
	}
}

// Merge adds the record of another node and reports whether it raised a count.
func (t *Tracker) Merge(now time.Time, other CrashRecord) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordFor(now, other.Fingerprint)
	changed := other.Crashes > r.Crashes || other.CrashesAlone > r.CrashesAlone
	r.Crashes = max(r.Crashes, other.Crashes)
	r.CrashesAlone = max(r.CrashesAlone, other.CrashesAlone)
	if changed {
		r.Updated = now
	}
	return changed
}

// Decide returns how a request may run. A quarantine or suspicion ends when the
// record has not changed for duration.
func (t *Tracker) Decide(now time.Time, fp Fingerprint, duration time.Duration) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fp]
	if !ok {
		return RunShared
	}
	if now.Sub(r.Updated) > duration {
		delete(t.records, fp)
		return RunShared
	}
	switch {
	case t.isQuarantined(r):
		return Quarantined
	case t.cfg.CrashThreshold > 0:
		return RunShared
	}
	return RunExclusive
}

// Records returns all records, for display to operators.
func (t *Tracker) Records() []CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]CrashRecord, 0, len(t.records))
	for _, r := range t.records {
		records = append(records, *r)
	}
	return records
}

// isQuarantined reports whether the request itself is to blame. Without a
// threshold, that is so if it crashed a worker that ran nothing else: crashes while
// other requests were in flight prove nothing, because many workers run the same
// popular lookup at any time.
func (t *Tracker) isQuarantined(r *CrashRecord) bool {
	if t.cfg.CrashThreshold > 0 {
		return r.Crashes >= t.cfg.CrashThreshold
	}
	return r.CrashesAlone > 0
}

func (t *Tracker) recordFor(now time.Time, fp Fingerprint) *CrashRecord {
	if r, ok := t.records[fp]; ok {
		return r
	}
	if len(t.records) >= t.cfg.MaxRecords {
		t.deleteOldest()
	}
	r := &CrashRecord{Fingerprint: fp, Updated: now}
	t.records[fp] = r
	return r
}

func (t *Tracker) deleteOldest() {
	var oldest *CrashRecord
	for _, r := range t.records {
		if oldest == nil || r.Updated.Before(oldest.Updated) {
			oldest = r
		}
	}
	if oldest != nil {
		delete(t.records, oldest.Fingerprint)
	}
}

// NewQuarantinedError returns the error for a quarantined request.
func NewQuarantinedError(fp Fingerprint) *zinniayoke.CallError {
	return zinniayoke.NewRefusedError(zinniayoke.ReasonQuarantined, "request "+fp.String()+" is quarantined: workers crashed that ran it")
}

// FingerprintOf returns the fingerprint of the content of an attempt.
func FingerprintOf(service zinniayoke.Service, method, path, query string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{string(service), method, path, query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// ExclusiveUpstream returns the one upstream at which a suspect may run, chosen by
// rendezvous hashing, so that all nodes send the suspect to the same upstream.
func ExclusiveUpstream(fp Fingerprint, upstreams []zinniayoke.Upstream) (zinniayoke.Upstream, bool) {
	var best zinniayoke.Upstream
	highest, found := uint64(0), false
	for _, u := range upstreams {
		w := xxhash.Sum64String(fp.String() + string(u.Node))
		if !found || w > highest {
			best, highest, found = u, w, true
		}
	}
	return best, found
}
