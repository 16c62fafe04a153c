package zybackpressure

import "time"

const (
	// retryWindow is how long after a refusal a call still counts as a retry: the
	// longest Retry-After that callers are given, plus the time on the network.
	retryWindow = 3 * time.Second
	// maxRefusals bounds the log: 3 s of 4,000 refusals a second.
	maxRefusals = 12_000
)

// refusalLog remembers recently refused calls by the hash of their content.
type refusalLog struct {
	refusedAt map[uint64]time.Time
	// order holds the refusals from the oldest to the newest.
	order []refusal
}

type refusal struct {
	content uint64
	at      time.Time
}

func newRefusalLog() *refusalLog {
	return &refusalLog{refusedAt: make(map[uint64]time.Time)}
}

// add records a refused call. It drops the record if the log is full.
func (l *refusalLog) add(now time.Time, content uint64) {
	l.expire(now)
	if len(l.order) >= maxRefusals {
		return
	}
	l.refusedAt[content] = now
	l.order = append(l.order, refusal{content: content, at: now})
}

// take removes a call from the log and reports whether it was refused recently.
func (l *refusalLog) take(now time.Time, content uint64) bool {
	at, ok := l.refusedAt[content]
	delete(l.refusedAt, content)
	return ok && now.Sub(at) <= retryWindow
}

// expire removes the refusals that are older than retryWindow.
func (l *refusalLog) expire(now time.Time) {
	n := 0
	for n < len(l.order) && now.Sub(l.order[n].at) > retryWindow {
		if l.refusedAt[l.order[n].content].Equal(l.order[n].at) {
			delete(l.refusedAt, l.order[n].content)
		}
		n++
	}
	l.order = l.order[n:]
}
