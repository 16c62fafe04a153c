// Package zytimer is the timer service shared by the components of a node.
package zytimer

import (
	"container/heap"
	"sync"
	"time"
)

// Service calls its subscribers periodically. One goroutine waits for the next due
// time and starts each call in a goroutine of its own. If the previous call of a
// subscriber is still running, its next call is skipped. Calls are due at multiples of
// their period since the start of the service, so that subscribers with the same period
// share a wake-up of the process. A Service must be created with New.
type Service struct {
	started  time.Time
	mu       sync.Mutex
	queue    subscriptionHeap
	wake     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup
}

// Subscription is the registration of one subscriber with a Service.
type Subscription struct {
	service *Service
	period  time.Duration
	f       func(now time.Time)
	next    time.Time
	// index is the position in the heap, or -1 after Cancel.
	index int
	// busy is true while a call of the subscriber is running.
	busy bool
}

// New returns a running service. Stop ends it.
func New() *Service {
	s := &Service{started: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.running.Add(1)
	go s.run()
	return s
}

// nextDue returns the first multiple of the period after now.
func (s *Service) nextDue(now time.Time, period time.Duration) time.Time {
	return s.started.Add((now.Sub(s.started)/period + 1) * period)
}

// Every calls f once in each period until the subscription is cancelled. The first call may
// come earlier than one period from now.
func (s *Service) Every(period time.Duration, f func(now time.Time)) *Subscription {
	sub := &Subscription{service: s, period: period, f: f, next: s.nextDue(time.Now(), period)}
	s.mu.Lock()
	heap.Push(&s.queue, sub)
	s.mu.Unlock()
	s.wakeUp()
	return sub
}

// SetPeriod changes the period. The next call is due one new period from now at the
// latest.
func (sub *Subscription) SetPeriod(period time.Duration) {
	s := sub.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index < 0 || sub.period == period {
		return
	}
	sub.period = period
	if next := s.nextDue(time.Now(), period); next.Before(sub.next) {
		sub.next = next
		heap.Fix(&s.queue, sub.index)
		s.wakeUp()
	}
}

// Cancel ends the subscription. It does not wait for a call that is running.
func (sub *Subscription) Cancel() {
	s := sub.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index >= 0 {
		heap.Remove(&s.queue, sub.index)
	}
}

// Stop ends the service and waits for the calls that are running.
func (s *Service) Stop() {
	s.stopOnce.Do(func() { close(s.done) })
	s.running.Wait()
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) run() {
	defer s.running.Done()
	for {
		timer := time.NewTimer(s.runDue(time.Now()))
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.done:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// runDue starts the calls that are due and returns the time until the next one.
func (s *Service) runDue(now time.Time) time.Duration {
	const idleSleep = time.Minute
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) > 0 && !s.queue[0].next.After(now) {
		sub := s.queue[0]
		sub.next = s.nextDue(now, sub.period)
		heap.Fix(&s.queue, 0)
		s.start(sub, now)
	}
	if len(s.queue) == 0 {
		return idleSleep
	}
	return s.queue[0].next.Sub(now)
}

func (s *Service) start(sub *Subscription, now time.Time) {
	if sub.busy {
		return
	}
	sub.busy = true
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		sub.f(now)
		s.mu.Lock()
		sub.busy = false
		s.mu.Unlock()
	}()
}

// subscriptionHeap is a heap ordered by the next due time.
type subscriptionHeap []*Subscription

func (q subscriptionHeap) Len() int           { return len(q) }
func (q subscriptionHeap) Less(i, j int) bool { return q[i].next.Before(q[j].next) }

func (q subscriptionHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *subscriptionHeap) Push(x any) {
	sub, _ := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop implements heap.Interface.
func (q *subscriptionHeap) Pop() any {
	last := len(*q) - 1
	sub := (*q)[last]
	sub.index = -1
	*q = (*q)[:last]
	return sub
}
