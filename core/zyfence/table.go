// Package zyfence records the attempts that reached a node, so that a sender whose
// connection broke can query the state of one. An attempt that is queried before it
// arrives is fenced: it is refused if it arrives later.
package zyfence

import (
	"sync"
	"time"

	"zinniayoke"
)

// Config configures a Table.
type Config struct {
	// MaxAttempts is the largest number of attempts in the table.
	MaxAttempts int
	// MaxResponseBytes limits the total size of the stored response bodies.
	MaxResponseBytes zinniayoke.Bytes
	// Retention is how long a completed or fenced attempt is kept.
	Retention time.Duration
}

// Table records attempts. When it is full, it refuses new attempts instead of
// deleting old ones before their retention has passed. It may be used by several
// goroutines. A Table must be created with New.
type Table struct {
	cfg     Config
	mu      sync.Mutex
	entries map[zinniayoke.AttemptID]*entry
	// completed lists the completed and fenced attempts, oldest first.
	completed []completion
	// withResponse lists the entries that were completed with a response body,
	// oldest first. It may contain entries whose response has been dropped or that
	// have been removed.
	withResponse  []*entry
	responseBytes zinniayoke.Bytes
}

type entry struct {
	state  zinniayoke.AttemptState
	reply  *zinniayoke.Reply
	fenced bool
}

type completion struct {
	id zinniayoke.AttemptID
	at time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, entries: make(map[zinniayoke.AttemptID]*entry)}
}

// Begin records an attempt before anything is done for it. It returns a
// *zinniayoke.CallError if the attempt was seen before or is fenced, or if the
// table is full; then the attempt must not run.
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
	t.entries[id] = &entry{state: zinniayoke.AttemptRunning}
	return nil
}

// End records the reply of an attempt.
func (t *Table) End(now time.Time, id zinniayoke.AttemptID, reply *zinniayoke.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.state != zinniayoke.AttemptRunning {
		return
	}
	e.state = zinniayoke.AttemptAnswered
	e.reply = reply
	t.completed = append(t.completed, completion{id: id, at: now})
	if size := responseSize(reply); size > 0 {
		t.responseBytes += size
		t.withResponse = append(t.withResponse, e)
	}
	t.dropResponses()
}

// Query returns the state of an attempt. An attempt that was never seen is fenced,
// so that it will never run.
func (t *Table) Query(now time.Time, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e, ok := t.entries[id]
	if ok && !e.fenced {
		return &zinniayoke.QueryReply{State: e.state, Reply: e.reply}, nil
	}
	if !ok {
		if len(t.entries) >= t.cfg.MaxAttempts {
			return nil, zinniayoke.NewLostError(zinniayoke.ReasonTableFull, "too many attempts are remembered")
		}
		t.entries[id] = &entry{state: zinniayoke.AttemptNeverSeen, fenced: true}
		t.completed = append(t.completed, completion{id: id, at: now})
	}
	return &zinniayoke.QueryReply{State: zinniayoke.AttemptNeverSeen}, nil
}

// Len returns the number of attempts in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// sweep removes the attempts whose retention has passed.
func (t *Table) sweep(now time.Time) {
	n := 0
	for n < len(t.completed) && now.Sub(t.completed[n].at) > t.cfg.Retention {
		t.remove(t.completed[n].id)
		n++
	}
	t.completed = t.completed[n:]
	n = 0
	for n < len(t.withResponse) && t.withResponse[n].reply == nil {
		n++
	}
	t.withResponse = t.withResponse[n:]
}

// dropResponses drops the oldest responses until the rest is within
// MaxResponseBytes. The state of such an attempt becomes AttemptLost, because it
// must never appear not to have run.
func (t *Table) dropResponses() {
	n := 0
	for ; t.responseBytes > t.cfg.MaxResponseBytes && n < len(t.withResponse); n++ {
		e := t.withResponse[n]
		if e.reply == nil {
			continue
		}
		t.responseBytes -= responseSize(e.reply)
		e.state = zinniayoke.AttemptLost
		e.reply = nil
	}
	t.withResponse = t.withResponse[n:]
}

func (t *Table) remove(id zinniayoke.AttemptID) {
	if e, ok := t.entries[id]; ok {
		t.responseBytes -= responseSize(e.reply)
		e.reply = nil
		delete(t.entries, id)
	}
}

func responseSize(reply *zinniayoke.Reply) zinniayoke.Bytes {
	if reply == nil || reply.Response == nil {
		return 0
	}
	return zinniayoke.Bytes(len(reply.Response.Body))
}
