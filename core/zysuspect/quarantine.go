// Package zysuspect finds requests that crash the workers that run them.
package zysuspect

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

// Print identifies a request by its content, whoever sends it.
type Print uint64

// String returns the print as 16 hexadecimal digits.
func (p Print) String() string {
	return fmt.Sprintf("%016x", uint64(p))
}

// Case is what is known about a request that was in flight when workers crashed.
// The zero value stands for a request above suspicion.
type Case struct {
	Print Print `codec:"p" json:"print"`
	// Crashes counts workers that crashed while they ran the request.
	Crashes int `codec:"c" json:"crashes"`
	// Alone counts those of them that ran nothing else.
	Alone int       `codec:"a" json:"alone"`
	Last  time.Time `codec:"-" json:"last"`
}

// Verdict says how a request may run. The zero value is RunFreely.
type Verdict int

// The verdicts.
const (
	// RunFreely lets the request run beside others.
	RunFreely Verdict = iota
	// RunAlone lets the request run at one worker that runs nothing else.
	RunAlone
	// RunNever refuses the request.
	RunNever
)

// Config configures a Book.
type Config struct {
	// Most bounds the cases that are kept; the oldest go first.
	Most int
	// Crashes is the number of crashes in a row, without a whole run between
	// them, after which a request is quarantined. 0 lets a suspect run alone
	// instead, until it crashes a worker that runs nothing else.
	Crashes int
}

// Book keeps the cases. It may be used by several goroutines. A Book must be
// made with New.
type Book struct {
	cfg   Config
	mu    sync.Mutex
	cases map[Print]*Case
}

// New returns a book without cases.
func New(cfg Config) *Book {
	return &Book{cfg: cfg, cases: make(map[Print]*Case)}
}

// Crash notes that a worker crashed with the given requests in flight and
// returns the cases that changed, to be told to other nodes.
func (b *Book) Crash(now time.Time, inFlight []Print) []Case {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := make([]Case, 0, len(inFlight))
	for _, p := range inFlight {
		c := b.open(now, p)
		c.Crashes++
		if len(inFlight) == 1 {
			c.Alone++
		}
		c.Last = now
		changed = append(changed, *c)
	}
	return changed
}

// Clear notes that a suspect has run to its end, which ends the suspicion. A
// quarantine is not ended by it.
func (b *Book) Clear(p Print) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.cases[p]; ok && !b.convicted(c) {
		delete(b.cases, p)
	}
}

// Merge takes in what another node knows and reports whether it was news.
func (b *Book) Merge(now time.Time, other Case) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.open(now, other.Print)
	news := other.Crashes > c.Crashes || other.Alone > c.Alone
	c.Crashes = max(c.Crashes, other.Crashes)
	c.Alone = max(c.Alone, other.Alone)
	if news {
		c.Last = now
	}
	return news
}

// Judge says how a request may run. A quarantine lasts for keep.
func (b *Book) Judge(now time.Time, p Print, keep time.Duration) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.cases[p]
	if !ok {
		return RunFreely
	}
	if now.Sub(c.Last) > keep {
		delete(b.cases, p)
		return RunFreely
	}
	switch {
	case b.convicted(c):
		return RunNever
	case b.cfg.Crashes > 0:
		return RunFreely
	}
	return RunAlone
}

// Cases returns all cases, for operators.
func (b *Book) Cases() []Case {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Case, 0, len(b.cases))
	for _, c := range b.cases {
		list = append(list, *c)
	}
	return list
}

// convicted reports whether the request itself is to blame: it crashed a worker
// that ran nothing else. Several crashes beside others prove nothing, since
// many workers run the same popular lookup at any time.
func (b *Book) convicted(c *Case) bool {
	if b.cfg.Crashes > 0 {
		return c.Crashes >= b.cfg.Crashes
	}
	return c.Alone > 0
}

func (b *Book) open(now time.Time, p Print) *Case {
	if c, ok := b.cases[p]; ok {
		return c
	}
	if len(b.cases) >= b.cfg.Most {
		b.dropOldest()
	}
	c := &Case{Print: p, Last: now}
	b.cases[p] = c
	return c
}

func (b *Book) dropOldest() {
	var oldest *Case
	for _, c := range b.cases {
		if oldest == nil || c.Last.Before(oldest.Last) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(b.cases, oldest.Print)
	}
}

// Refused returns the error for a quarantined request.
func Refused(p Print) *zinniayoke.CallError {
	return zinniayoke.NewRefusedError(zinniayoke.ReasonQuarantined, "request "+p.String()+" is quarantined: workers crashed that ran it")
}

// PrintOf returns the print of an attempt's content.
func PrintOf(service zinniayoke.Service, method, path, query string, body []byte) Print {
	d := xxhash.New()
	for _, part := range []string{string(service), method, path, query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Print(d.Sum64())
}

// TrialUpstream returns the one upstream at which a suspect may run, so that
// all nodes send it to the same one.
func TrialUpstream(p Print, upstreams []zinniayoke.Upstream) (zinniayoke.Upstream, bool) {
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
