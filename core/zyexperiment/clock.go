// Package zyexperiment measures the decisions of this project in virtual time:
// the overload policy against simpler ones, and the membership protocol as the
// number of nodes grows. The nodes run their real state machines; workers, callers and
// network are simple models defined in this package.
package zyexperiment

import (
	"container/heap"
	"time"
)

// clock is a discrete event scheduler, which runs events in the order of their
// times. The zero value starts at the zero time.
type clock struct {
	now   time.Time
	queue eventHeap
	seq   uint64
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// startTime is the virtual time at which simulations begin.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClock() *clock {
	return &clock{now: startTime}
}

// after schedules f to run after d. Events of the same time run in the order in
// which they were scheduled, so that equal seeds give equal results.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(d), seq: c.seq, run: f})
}

// every runs f after first and then once per period, until f returns false.
func (c *clock) every(first, period time.Duration, f func() bool) {
	var repeat func()
	repeat = func() {
		if f() {
			c.after(period, repeat)
		}
	}
	c.after(first, repeat)
}

// run runs all events up to until, which counts from startTime.
func (c *clock) run(until time.Duration) {
	end := startTime.Add(until)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e, _ := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// since returns the virtual time that has passed since startTime.
func (c *clock) since() time.Duration {
	return c.now.Sub(startTime)
}

// eventHeap orders events by time, then by the order in which they were scheduled.
type eventHeap []event

func (q eventHeap) Len() int      { return len(q) }
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventHeap) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Push implements heap.Interface.
func (q *eventHeap) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *eventHeap) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
