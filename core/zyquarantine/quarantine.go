// Package zyquarantine finds requests that crash the workers that run them.
package zyquarantine

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// Fingerprint identifies a request by its content, whoever sends it.
type Fingerprint uint64

// String returns the print as 16 hexadecimal digits.
func (p Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(p))
}

// CrashRecord is what is known about a request that was in flight when workers crashed.
// The zero value stands for a request above suspicion.
type CrashRecord struct {
	Fingerprint Fingerprint `codec:"p" json:"print"`
	// Crashes counts workers that crashed while they ran the request.
	Crashes int `codec:"c" json:"crashes"`
	// CrashesAlone counts those of them that ran nothing else.
	CrashesAlone int       `codec:"a" json:"alone"`
	Updated      time.Time `codec:"-" json:"last"`
}

// Decision says how a request may run. The zero value is RunFreely.
type Decision int

// The verdicts.
const (
	// RunShared lets the request run beside others.
	RunShared Decision = iota
	// RunExclusive lets the request run at one worker that runs nothing else.
	RunExclusive
	// Quarantined refuses the request.
	Quarantined
)

// Config configures a Book.
type Config struct {
	// MaxRecords bounds the cases that are kept; the oldest go first.
	MaxRecords int
	// CrashThreshold is the number of crashes in a row, without a whole run between
	// them, after which a request is quarantined. 0 lets a suspect run alone
	// instead, until it crashes a worker that runs nothing else.
	CrashThreshold int
}

// Tracker keeps the cases. It may be used by several goroutines. A Tracker must be
// made with New.
type Tracker struct {
	cfg   Config
	mu    sync.Mutex
	cases map[Fingerprint]*CrashRecord
}

// New returns a book without cases.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, cases: make(map[Fingerprint]*CrashRecord)}
}

// RecordCrash notes that a worker crashed with the given requests in flight and
// returns the cases that changed, to be told to other nodes.
func (b *Tracker) RecordCrash(now time.Time, inFlight []Fingerprint) []CrashRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := make([]CrashRecord, 0, len(inFlight))
	for _, p := range inFlight {
		c := b.open(now, p)
		c.Crashes++
		if len(inFlight) == 1 {
			c.CrashesAlone++
		}
		c.Updated = now
		changed = append(changed, *c)
	}
	return changed
}

// RecordSuccess notes that a suspect has run to its end, which ends the suspicion. A
// quarantine is not ended by it.
func (b *Tracker) RecordSuccess(p Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.cases[p]; ok && !b.convicted(c) {
		delete(b.cases, p)
	}
}

// Merge takes in what another node knows and reports whether it was news.
func (b *Tracker) Merge(now time.Time, other CrashRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.open(now, other.Fingerprint)
	news := other.Crashes > c.Crashes || other.CrashesAlone > c.CrashesAlone
	c.Crashes = max(c.Crashes, other.Crashes)
	c.CrashesAlone = max(c.CrashesAlone, other.CrashesAlone)
	if news {
		c.Updated = now
	}
	return news
}

// Decide says how a request may run. A quarantine lasts for keep.
func (b *Tracker) Decide(now time.Time, p Fingerprint, keep time.Duration) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.cases[p]
	if !ok {
		return RunShared
	}
	if now.Sub(c.Updated) > keep {
		delete(b.cases, p)
		return RunShared
	}
	switch {
	case b.convicted(c):
		return Quarantined
	case b.cfg.CrashThreshold > 0:
		return RunShared
	}
	return RunExclusive
}

// Records returns all cases, for operators.
func (b *Tracker) Records() []CrashRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]CrashRecord, 0, len(b.cases))
	for _, c := range b.cases {
		list = append(list, *c)
	}
	return list
}

// convicted reports whether the request itself is to blame: it crashed a worker
// that ran nothing else. Several crashes beside others prove nothing, since
// many workers run the same popular lookup at any time.
func (b *Tracker) convicted(c *CrashRecord) bool {
	if b.cfg.CrashThreshold > 0 {
		return c.Crashes >= b.cfg.CrashThreshold
	}
	return c.CrashesAlone > 0
}

func (b *Tracker) open(now time.Time, p Fingerprint) *CrashRecord {
	if c, ok := b.cases[p]; ok {
		return c
	}
	if len(b.cases) >= b.cfg.MaxRecords {
		b.dropOldest()
	}
	c := &CrashRecord{Fingerprint: p, Updated: now}
	b.cases[p] = c
	return c
}

func (b *Tracker) dropOldest() {
	var oldest *CrashRecord
	for _, c := range b.cases {
		if oldest == nil || c.Updated.Before(oldest.Updated) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(b.cases, oldest.Fingerprint)
	}
}

// NewQuarantinedError returns the error for a quarantined request.
func NewQuarantinedError(p Fingerprint) *zinniayoke.CallError {
	return zinniayoke.NewRefusedError(zinniayoke.ReasonQuarantined, "request "+p.String()+" is quarantined: workers crashed that ran it")
}

// FingerprintOf returns the print of an attempt's content.
func FingerprintOf(service zinniayoke.Service, method, path, query string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{string(service), method, path, query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// ExclusiveUpstream returns the one upstream at which a suspect may run, so that
// all nodes send it to the same one.
func ExclusiveUpstream(p Fingerprint, upstreams []zinniayoke.Upstream) (zinniayoke.Upstream, bool) {
	var best zinniayoke.Upstream
	highest, found := uint64(0), false
	for _, u := range upstreams {
		w := xxhash.Sum64String(p.String() + string(u.Node))
		if !found || w > highest {
			best, highest, found = u, w, true
		}
	}
	return best, found
}
