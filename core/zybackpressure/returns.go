package zybackpressure

import "time"

const (
	// returnTime is how long a refused call may take to come back: the longest wait
	// that it is told, and its way.
	returnTime = 3 * time.Second
	// mostReturns bounds the table: 3 s of 4,000 refusals a second.
	mostReturns = 12_000
)

// returns remembers refused calls by their content.
type returns struct {
	at    map[uint64]time.Time
	order []refusedCall
}

type refusedCall struct {
	content uint64
	at      time.Time
}

func newReturns() *returns {
	return &returns{at: make(map[uint64]time.Time)}
}

// add notes a refused call.
func (r *returns) add(now time.Time, content uint64) {
	r.sweep(now)
	if len(r.order) >= mostReturns {
		return
	}
	r.at[content] = now
	r.order = append(r.order, refusedCall{content: content, at: now})
}

// take reports whether a call was refused lately, and forgets that.
func (r *returns) take(now time.Time, content uint64) bool {
	at, ok := r.at[content]
	delete(r.at, content)
	return ok && now.Sub(at) <= returnTime
}

func (r *returns) sweep(now time.Time) {
	n := 0
	for n < len(r.order) && now.Sub(r.order[n].at) > returnTime {
		if r.at[r.order[n].content].Equal(r.order[n].at) {
			delete(r.at, r.order[n].content)
		}
		n++
	}
	r.order = r.order[n:]
}
