// Package zyexperiment measures the decisions of this project in virtual time:
// the overload policy against simpler ones, and the membership protocol as the
// number of nodes grows. The nodes' own state machines run; what surrounds them
// is small and stated here.
package zyexperiment

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times. The zero value starts at
// the zero time.
type clock struct {
	now    time.Time
	queue  events
	number uint64
}

type event struct {
	at     time.Time
	number uint64
	run    func()
}

// start is the virtual time at which experiments begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClock() *clock {
	return &clock{now: start}
}

// after runs f once d has passed. Events of the same time run in the order in
// which they were made, so that equal seeds give equal results.
func (c *clock) after(d time.Duration, f func()) {
	c.number++
	heap.Push(&c.queue, event{at: c.now.Add(d), number: c.number, run: f})
}

// every runs f in each period while it returns true.
func (c *clock) every(first, period time.Duration, f func() bool) {
	var turn func()
	turn = func() {
		if f() {
			c.after(period, turn)
		}
	}
	c.after(first, turn)
}

// run runs all events up to the given time since the start.
func (c *clock) run(until time.Duration) {
	end := start.Add(until)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e, _ := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// since returns the time since the start.
func (c *clock) since() time.Duration {
	return c.now.Sub(start)
}

// events is a heap ordered by time.
type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}

// Push adds an event, for package heap.
func (q *events) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

// Pop removes the last event, for package heap.
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
