package zyadmission

import (
	"time"

	"zinniayoke"
)

// unknownWait is expected of a call for a full worker that has not ended any call yet.
const unknownWait = 10 * time.Millisecond

// ExpectedWait returns how long the item is expected to wait if it arrives now; 0 means that
// it starts at once.
func (q *Queue) ExpectedWait(now time.Time, item Item) time.Duration {
	full := len(q.running) >= q.Limit()
	if !full && len(q.waiting) == 0 && q.rateLimit.Allows(now) {
		return 0
	}
	item.arrived, item.sequence = now, q.sequence+1
	item.place = q.ownPlace(&item)
	ahead := q.countAhead(&item)
	wait := q.rateLimit.Wait(now, ahead+1)
	switch {
	case full && q.meanServiceTime > 0:
		wait = max(wait, time.Duration(ahead+1)*q.meanServiceTime/time.Duration(q.Limit()))
	case full:
		wait = max(wait, unknownWait)
	}
	return max(wait, 1)
}

// Report returns the load of the worker, of the given speed. A worker that accepts only a
// certain rate has as many slots as that rate keeps busy.
func (q *Queue) Report(speed float64) zinniayoke.LoadReport {
	limit := float64(q.Limit())
	if q.rateLimit != nil && q.meanServiceTime > 0 {
		limit = min(limit, float64(q.rateLimit.bucket.Limit())*q.meanServiceTime.Seconds())
	}
	return zinniayoke.LoadReport{
		Limit: max(int(limit), 1), Running: len(q.running), Waiting: len(q.waiting),
		Speed: speed, HoldTime: q.meanServiceTime,
	}
}
