// Package zytimer is the one timer service that the parts of a node subscribe to.
package zytimer

import (
	"container/heap"
	"sync"
	"time"
)

// Service calls its subscribers at their periods, from one goroutine that
// starts each call in a goroutine of its own. A subscriber that is still busy
// misses its turn. A Service must be made with New.
type Service struct {
	mu     sync.Mutex
	queue  subscriptions
	wake   chan struct{}
	done   chan struct{}
	once   sync.Once
	active sync.WaitGroup
}

// Subscription is one subscriber's place in a Service.
type Subscription struct {
	service *Service
	period  time.Duration
	call    func(now time.Time)
	next    time.Time
	index   int
	busy    bool
}

// New returns a running service. Stop ends it.
func New() *Service {
	s := &Service{wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.active.Add(1)
	go s.run()
	return s
}

// Every calls f once in each period until the subscription is cancelled.
func (s *Service) Every(period time.Duration, f func(now time.Time)) *Subscription {
	sub := &Subscription{service: s, period: period, call: f, next: time.Now().Add(period)}
	s.mu.Lock()
	heap.Push(&s.queue, sub)
	s.mu.Unlock()
	s.signal()
	return sub
}

// SetPeriod changes the period. The next turn is one new period from now at the
// latest.
func (sub *Subscription) SetPeriod(period time.Duration) {
	s := sub.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index < 0 || sub.period == period {
		return
	}
	sub.period = period
	if next := time.Now().Add(period); next.Before(sub.next) {
		sub.next = next
		heap.Fix(&s.queue, sub.index)
		s.signal()
	}
}

// Cancel ends the subscription. A call that has begun is not interrupted.
func (sub *Subscription) Cancel() {
	s := sub.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index >= 0 {
		heap.Remove(&s.queue, sub.index)
	}
}

// Stop ends the service and waits for the calls that have begun.
func (s *Service) Stop() {
	s.once.Do(func() { close(s.done) })
	s.active.Wait()
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) run() {
	defer s.active.Done()
	for {
		timer := time.NewTimer(s.fire(time.Now()))
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

// fire starts what is due and returns the time until the next turn.
func (s *Service) fire(now time.Time) time.Duration {
	const idle = time.Minute
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) > 0 && !s.queue[0].next.After(now) {
		sub := s.queue[0]
		sub.next = sub.next.Add(sub.period)
		if sub.next.Before(now) {
			sub.next = now.Add(sub.period)
		}
		heap.Fix(&s.queue, 0)
		s.start(sub, now)
	}
	if len(s.queue) == 0 {
		return idle
	}
	return s.queue[0].next.Sub(now)
}

func (s *Service) start(sub *Subscription, now time.Time) {
	if sub.busy {
		return
	}
	sub.busy = true
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		sub.call(now)
		s.mu.Lock()
		sub.busy = false
		s.mu.Unlock()
	}()
}

// subscriptions is a heap ordered by the next turn.
type subscriptions []*Subscription

func (q subscriptions) Len() int           { return len(q) }
func (q subscriptions) Less(i, j int) bool { return q[i].next.Before(q[j].next) }

func (q subscriptions) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a subscription, for package heap.
func (q *subscriptions) Push(x any) {
	sub, _ := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop removes the last subscription, for package heap.
func (q *subscriptions) Pop() any {
	last := len(*q) - 1
	sub := (*q)[last]
	sub.index = -1
	*q = (*q)[:last]
	return sub
}
