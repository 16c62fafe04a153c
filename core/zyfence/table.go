// Package zyfence remembers the attempts that reached a node, so that a sender
// whose connection broke can ask what became of one, and so that an attempt
// which arrives after it was asked about is never run.
package zyfence

import (
	"sync"
	"time"

	"zinniayoke"
)

// Config configures a Table.
type Config struct {
	// MaxAttempts is the largest number of attempts that are remembered.
	MaxAttempts int
	// MaxResponseBytes bounds the bodies of kept answers.
	MaxResponseBytes zinniayoke.Bytes
	// Retention is how long an ended or fenced attempt is remembered.
	Retention time.Duration
}

// Table remembers attempts. At its bound it refuses new attempts instead of
// forgetting old ones early. It may be used by several goroutines. A Table must
// be made with New.
type Table struct {
	cfg     Config
	mu      sync.Mutex
	entries map[zinniayoke.AttemptID]*entry
	// ended holds the attempts that age out, oldest first.
	ended []aging
	// holding holds those of them that have answers, oldest first, also some that
	// are forgotten already.
	holding []*entry
	bytes   zinniayoke.Bytes
}

type entry struct {
	fate   zinniayoke.AttemptState
	reply  *zinniayoke.Reply
	fenced bool
}

type aging struct {
	id zinniayoke.AttemptID
	at time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, entries: make(map[zinniayoke.AttemptID]*entry)}
}

// Begin notes an attempt before anything is done for it. The error is a
// *zinniayoke.CallError where the attempt was seen before, is fenced, or the
// table is full; then it must not run.
func (t *Table) Begin(now time.Time, id zinniayoke.AttemptID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if e, ok := t.entries[id]; ok {
		if e.fenced {
			return zinniayoke.NewRefusedError(zinniayoke.ReasonFenced, "the attempt was given up before it arrived")
		}
		return zinniayoke.NewLostError(zinniayoke.ReasonFenced, "the attempt arrived twice")
	}
	if len(t.entries) >= t.cfg.MaxAttempts {
		return zinniayoke.NewRefusedError(zinniayoke.ReasonTableFull, "too many attempts are remembered")
	}
	t.entries[id] = &entry{fate: zinniayoke.AttemptRunning}
	return nil
}

// End notes the reply of an attempt.
func (t *Table) End(now time.Time, id zinniayoke.AttemptID, reply *zinniayoke.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.fate != zinniayoke.AttemptRunning {
		return
	}
	e.fate = zinniayoke.AttemptAnswered
	e.reply = reply
	t.ended = append(t.ended, aging{id: id, at: now})
	if size := sizeOf(reply); size > 0 {
		t.bytes += size
		t.holding = append(t.holding, e)
	}
	t.shrink()
}

// Query returns the fate of an attempt. One that was never seen is fenced, so
// that it will never run.
func (t *Table) Query(now time.Time, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e, ok := t.entries[id]
	if ok && !e.fenced {
		return &zinniayoke.QueryReply{State: e.fate, Reply: e.reply}, nil
	}
	if !ok {
		if len(t.entries) >= t.cfg.MaxAttempts {
			return nil, zinniayoke.NewLostError(zinniayoke.ReasonTableFull, "too many attempts are remembered")
		}
		t.entries[id] = &entry{fate: zinniayoke.AttemptNeverSeen, fenced: true}
		t.ended = append(t.ended, aging{id: id, at: now})
	}
	return &zinniayoke.QueryReply{State: zinniayoke.AttemptNeverSeen}, nil
}

// Len returns how many attempts are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// sweep forgets what is older than the time for which it is kept.
func (t *Table) sweep(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].at) > t.cfg.Retention {
		t.forget(t.ended[n].id)
		n++
	}
	t.ended = t.ended[n:]
	n = 0
	for n < len(t.holding) && t.holding[n].reply == nil {
		n++
	}
	t.holding = t.holding[n:]
}

// shrink drops the bodies of the oldest answers past the bound on bytes. What
// is dropped is a lost answer from then on, never one that did not run.
func (t *Table) shrink() {
	n := 0
	for ; t.bytes > t.cfg.MaxResponseBytes && n < len(t.holding); n++ {
		e := t.holding[n]
		if e.reply == nil {
			continue
		}
		t.bytes -= sizeOf(e.reply)
		e.fate = zinniayoke.AttemptLost
		e.reply = nil
	}
	t.holding = t.holding[n:]
}

func (t *Table) forget(id zinniayoke.AttemptID) {
	if e, ok := t.entries[id]; ok {
		t.bytes -= sizeOf(e.reply)
		e.reply = nil
		delete(t.entries, id)
	}
}

func sizeOf(reply *zinniayoke.Reply) zinniayoke.Bytes {
	if reply == nil || reply.Response == nil {
		return 0
	}
	return zinniayoke.Bytes(len(reply.Response.Body))
}
