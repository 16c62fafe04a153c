// Package zynotice keeps what workers say about themselves in their responses: the rate of
// calls that they accept, and that they are about to end.
package zynotice

import (
	"time"

	"zinniayoke"
)

// Tracker keeps what one run of a worker says about itself. It is not safe for concurrent
// use. The zero value is ready for use.
type Tracker struct {
	notice zinniayoke.WorkerNotice
	// limitedAt is when the response that named the limit was read.
	limitedAt time.Time
	// heard is true once a response has been observed.
	heard bool
}

// Notice returns what the worker says.
func (t *Tracker) Notice() zinniayoke.WorkerNotice {
	return t.notice
}

// Observe takes in the notice of a response that was read now, to a call that was sent at
// sentAt, and reports whether the worker says something else than before.
//
// Responses on different connections are read in any order. So a limit is raised or lifted
// only by the response to a call that was sent after the limit had been read, and a worker
// that has said that it leaves does not come back.
func (t *Tracker) Observe(now, sentAt time.Time, n zinniayoke.WorkerNotice) bool {
	before := t.notice
	t.heard = true
	t.notice.Leaving = t.notice.Leaving || n.Leaving
	lower := n.Limited && (!t.notice.Limited || n.Limit <= t.notice.Limit)
	if lower || !sentAt.Before(t.limitedAt) {
		t.notice.Limited, t.notice.Limit = n.Limited, n.Limit
		if n.Limited {
			t.limitedAt = now
		}
	}
	return t.notice != before
}

// Adopt takes in what another node or a health check says of the run, and reports whether
// that is news. A limit counts only until the run has responded to a call of this node.
func (t *Tracker) Adopt(now time.Time, n zinniayoke.WorkerNotice) bool {
	before := t.notice
	t.notice.Leaving = t.notice.Leaving || n.Leaving
	if !t.heard && n.Limited && !t.notice.Limited {
		t.notice.Limited, t.notice.Limit, t.limitedAt = true, n.Limit, now
	}
	return t.notice != before
}
