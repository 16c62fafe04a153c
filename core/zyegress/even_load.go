package zyegress

import (
	"time"

	"zinniayoke"
	"zinniayoke/core/zybalancer"
)

// childToleranceDivisor divides the maximum wait of a worker's call, 0.4 of its time left,
// to get the wait that costs nothing: each call of the chain may wait. The maximum wait of a
// client's call is an eighth of its latency objective, and is all tolerated.
const childToleranceDivisor = 8

// defaultTolerance is tolerated by a call without a maximum wait of its own.
const defaultTolerance = 50 * time.Millisecond

// avoidableWait is the wait from which on a call counts as having waited.
const avoidableWait = 1 * time.Millisecond

// evenLoad reports whether the bundle in force switches on even load.
func (s *Sender) evenLoad() bool {
	bundle := s.cfg.Bundle()
	return bundle != nil && bundle.EvenLoad
}

// choose picks an upstream that is not excluded, and notes from which wait on its node may
// refuse the call as busy.
func (s *Sender) choose(f *sendState, exclude []zinniayoke.NodeID) (zinniayoke.Upstream, bool) {
	c := f.Call
	if !s.evenLoad() {
		return s.cfg.Picker.Pick(time.Now(), c.Service, c.Rank, exclude)
	}
	choice, ok := s.cfg.Picker.PickEven(time.Now(), zybalancer.EvenRequest{
		Service: c.Service, Rank: c.Rank, Exclude: exclude, Tolerance: Tolerance(c), MaxWait: c.MaxWait,
		Refused: f.undelivered+f.limitedRefusals+f.rejections > 0, Redirects: f.redirects,
	})
	f.redirectAfter, f.roomNearby = choice.RedirectAfter, choice.RoomNearby
	if f.exclusive {
		f.redirectAfter = 0
	}
	if f.redirected && ok {
		s.cfg.LoadMeter.CountRedirect(zinniayoke.DistanceBetween(s.cfg.Locality, choice.Locality))
		f.redirected = false
	}
	return choice.Upstream, ok
}

// Tolerance returns the wait that costs the call nothing.
func Tolerance(c *zinniayoke.Call) time.Duration {
	switch {
	case c.MaxWait == 0:
		return defaultTolerance
	case c.Depth == 0:
		return c.MaxWait
	}
	return c.MaxWait / childToleranceDivisor
}

// isRedirect reports whether the reply is a refusal because the worker is busy. A node that
// refuses so although it must not is treated like one that sheds the call.
func (f *sendState) isRedirect(reply *zinniayoke.Reply) bool {
	return reply.Reason == zinniayoke.ReasonBusy && reply.Outcome == zinniayoke.OutcomeNotRun && !reply.Delivered && f.redirectAfter > 0
}

// recordRedirect counts a refusal because the worker is busy. The worker may be chosen again.
func (f *sendState) recordRedirect() {
	f.redirects++
	f.redirected = true
	f.excluded = f.excluded[:len(f.excluded)-1]
}

// observeLoad takes in what the reply says of the load of the worker.
func (s *Sender) observeLoad(f *sendState, a *zinniayoke.Attempt, reply *zinniayoke.Reply) {
	if !s.evenLoad() {
		return
	}
	s.cfg.Picker.ObserveReport(time.Now(), f.to, reply)
	if f.roomNearby && reply.Wait > avoidableWait {
		s.cfg.LoadMeter.CountAvoidableWait()
	}
	if reply.Outcome == zinniayoke.OutcomeDone {
		s.routeTimes.Observe(a.Route, reply.HoldTime)
	}
}

// usualTime returns the usual time for which calls of the route occupy a slot, 0 without even
// load.
func (s *Sender) usualTime(route zinniayoke.RouteName) time.Duration {
	if !s.evenLoad() {
		return 0
	}
	return s.routeTimes.Of(route)
}
