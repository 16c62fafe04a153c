// Package zyegress sends a call to an upstream, asks what became of an attempt
// whose reply is lost, and retries where that is allowed and safe.
package zyegress

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyquarantine"
	"zinniayoke/core/zyresponse"
	"zinniayoke/core/zythreshold"
)

// Config configures a Sender.
type Config struct {
	Peers        zinniayoke.PeerClient
	Picker       *zybalancer.Picker
	Resolver     zinniayoke.Resolver
	Thresholds   *zythreshold.Tracker
	RetryBudgets *zyattempt.CallerRetryBudgets
	Suspects     *zyquarantine.Tracker
	Meter        zinniayoke.Meter
	Rules        func() *zybundle.Bundle
	// Locality is where the sender stands.
	Locality zinniayoke.Locality
	// LinkBudget bounds what goes to other regions; nil means no bound.
	LinkBudget *zybalancer.LinkBudget
	// ServiceRetryBudget bounds the sends to a service beyond the first of each call. Where it
	// is set, it takes the place of Budgets, and attempts count only those sends
	// that a worker was handed.
	ServiceRetryBudget *zyattempt.ServiceRetryBudgets
	// OnReply takes what came with a reply to a call of the route; nil means nothing.
	OnReply func(now time.Time, route zinniayoke.RouteName, r *zinniayoke.Reply)
	// Recorder takes the end of each attempt; nil means none.
	Recorder zinniayoke.EventRecorder
	// NewID returns a fresh attempt id; nil means random ones.
	NewID func() zinniayoke.AttemptID
}

const (
	askTimeout  = 1 * time.Second
	askPause    = 100 * time.Millisecond
	asksOffline = 3
	// mostRefusals is how many nodes are asked before a call is refused. Each costs
	// a round trip, and where four have no room, the service is full.
	mostRefusals = 4
	// messageOverhead is the size of a message without its body.
	messageOverhead zinniayoke.Bytes = 512
)

// Sender sends calls. It may be used by several goroutines. A Sender must be
// made with New.
type Sender struct {
	cfg Config
}

// New returns a sender.
func New(cfg Config) *Sender {
	if cfg.NewID == nil {
		cfg.NewID = serialIDs()
	}
	if cfg.Recorder == nil {
		cfg.Recorder = zinniayoke.NopEventRecorder{}
	}
	return &Sender{cfg: cfg}
}

// serialIDs returns ids that no other sender uses: a random start and a count.
func serialIDs() func() zinniayoke.AttemptID {
	start := uuid.NewString()[:18] // 64 random bits and two dashes
	var count atomic.Uint64
	const base = 36
	return func() zinniayoke.AttemptID {
		return zinniayoke.AttemptID(start + "." + strconv.FormatUint(count.Add(1), base))
	}
}

// SendParams is what one call is sent with.
type SendParams struct {
	Call   *zinniayoke.Call
	Route  *zybundle.Route
	Budget *zyattempt.Budget
	Grant  zinniayoke.Grant
	// BeforeAttempt is called with each attempt before it goes out; it may forbid it.
	// nil allows all.
	BeforeAttempt func(id zinniayoke.AttemptID, to zinniayoke.NodeID) bool
	// Avoid names nodes that are chosen only where there is no other.
	Avoid []zinniayoke.NodeID
}

// flight is the state of one Send.
type flight struct {
	SendParams
	excluded []zinniayoke.NodeID
	// last is the reply that is given if no better one comes.
	last *zinniayoke.Reply
	// handed is true once an attempt may have reached a worker.
	handed bool
	// to is the node of the last send.
	to zinniayoke.NodeID
	// refused counts the sends that no worker was handed.
	refused int
	// suspected is true for a request that has one upstream to run at.
	suspected bool
}

// Send sends the call until it has an answer or may not be sent again. The reply
// always tells the truth about all its attempts together.
func (s *Sender) Send(ctx context.Context, send SendParams) *zinniayoke.Reply {
	f := &flight{SendParams: send, excluded: append([]zinniayoke.NodeID(nil), send.Avoid...)}
	for {
		reply := s.once(ctx, f)
		f.note(reply)
		again := reply.Outcome != zinniayoke.OutcomeDone && s.mayRetry(ctx, f, reply)
		s.cfg.Recorder.Record(&zinniayoke.Event{
			Kind: zinniayoke.EventAttemptEnded, Request: f.Call.Request, Attempt: reply.Attempt, Route: f.Call.Route,
			Service: f.Call.Service, Node: f.to, Reason: reply.Reason, Outcome: reply.Outcome, Threshold: reply.Threshold,
			TimeLeft: time.Until(f.Call.Deadline), WillRetry: again, Detail: reply.Detail,
		})
		if !again {
			return f.verdict()
		}
	}
}

// note keeps the reply; once a worker may have run the call, nothing that a
// later attempt says can take that back.
func (f *flight) note(reply *zinniayoke.Reply) {
	if reply.Outcome == zinniayoke.OutcomeUnknown {
		f.handed = true
	}
	if !reply.Delivered {
		f.refused++
	}
	f.last = reply
}

func (f *flight) verdict() *zinniayoke.Reply {
	reply := *f.last
	if f.handed && reply.Outcome == zinniayoke.OutcomeNotRun {
		reply.Outcome = zinniayoke.OutcomeUnknown
	}
	return &reply
}

// mayRetry decides whether another attempt is safe, useful and paid for.
func (s *Sender) mayRetry(ctx context.Context, f *flight, reply *zinniayoke.Reply) bool {
	if ctx.Err() != nil || f.Budget.Remaining() < 1 {
		return false
	}
	if reply.Outcome == zinniayoke.OutcomeUnknown && f.Route.NeverRepeat || f.suspected {
		return false
	}
	if s.cfg.ServiceRetryBudget != nil {
		return s.mayRepeat(f, reply)
	}
	switch reply.Reason {
	case zinniayoke.ReasonDraining, zinniayoke.ReasonNotReady:
		return s.roomElsewhere(f)
	case zinniayoke.ReasonShed, zinniayoke.ReasonNoUpstream, zinniayoke.ReasonAnswerLost,
		zinniayoke.ReasonFenced, zinniayoke.ReasonTableFull:
		return s.roomElsewhere(f) && s.cfg.RetryBudgets.Spend(f.budget())
	default:
		return false
	}
}

// mayRepeat decides where repeats are counted by what workers were handed. What
// no worker was handed costs only a message, so that a few nodes are asked.
func (s *Sender) mayRepeat(f *flight, reply *zinniayoke.Reply) bool {
	switch reply.Reason {
	case zinniayoke.ReasonDeadline, zinniayoke.ReasonCancelled, zinniayoke.ReasonQuarantined, zinniayoke.ReasonLinkBudget:
		return false
	}
	if !s.roomElsewhere(f) {
		return false
	}
	if !reply.Delivered && reply.Outcome == zinniayoke.OutcomeNotRun {
		return f.refused < mostRefusals
	}
	return s.cfg.ServiceRetryBudget.Spend(time.Now(), f.Call.Service)
}

// roomElsewhere reports whether there is an upstream that was not tried.
func (s *Sender) roomElsewhere(f *flight) bool {
	_, ok := s.cfg.Picker.Pick(time.Now(), f.Call.Service, f.Call.Rank, f.excluded)
	return ok
}

func (f *flight) budget() zyattempt.CallerClass {
	return zyattempt.CallerClass{Caller: f.Call.Caller, Class: f.Route.Class.Name}
}

// once makes one attempt.
func (s *Sender) once(ctx context.Context, f *flight) *zinniayoke.Reply {
	to, refusal := s.pick(f)
	if refusal != nil {
		return refused(f.Call, refusal)
	}
	f.to = to.Node
	if !s.payLink(f.Call, to) {
		return refused(f.Call, zinniayoke.NewRefusedError(zinniayoke.ReasonLinkBudget, "the link to "+string(to.Locality.Region)+" is full"))
	}
	share, ok := f.Budget.StartSend(f.Route.ChildCalls)
	if !ok {
		return refused(f.Call, zinniayoke.NewRefusedError(zinniayoke.ReasonAttemptsSpent, "the request has used up its attempts"))
	}
	a := s.attempt(f, share)
	if f.BeforeAttempt != nil && !f.BeforeAttempt(a.ID, to.Node) {
		f.Budget.Refund(share + 1)
		return refused(f.Call, zinniayoke.NewRefusedError(zinniayoke.ReasonStaleEpoch, "the key is kept elsewhere now"))
	}
	f.excluded = append(f.excluded, to.Node)
	if s.cfg.ServiceRetryBudget != nil && len(f.excluded) == len(f.Avoid)+1 {
		s.cfg.ServiceRetryBudget.RecordFirstSend(time.Now(), f.Call.Service)
	}
	reply := s.exchange(ctx, to, a)
	f.Budget.Refund(min(reply.Unused, share))
	if s.cfg.ServiceRetryBudget != nil && !reply.Delivered && reply.Outcome == zinniayoke.OutcomeNotRun {
		f.Budget.Refund(1)
	}
	if reply.Outcome == zinniayoke.OutcomeDone {
		s.cfg.RetryBudgets.RecordSuccess(f.budget(), f.Route.RetryBudget)
	}
	return reply
}

// pick chooses the upstream, which for a suspected request is the same one for
// all nodes.
func (s *Sender) pick(f *flight) (zinniayoke.Upstream, *zinniayoke.CallError) {
	c := f.Call
	content := zyquarantine.FingerprintOf(c.Service, c.Method, c.Path, c.Query, c.Body)
	if s.judge(content) == zyquarantine.RunExclusive {
		f.suspected = true
		if u, ok := zyquarantine.ExclusiveUpstream(content, s.cfg.Resolver.Upstreams(c.Service)); ok {
			return u, nil
		}
	}
	u, ok := s.cfg.Picker.Pick(time.Now(), c.Service, c.Rank, f.excluded)
	if !ok && len(f.excluded) == len(f.Avoid) {
		u, ok = s.cfg.Picker.Pick(time.Now(), c.Service, c.Rank, nil)
	}
	if !ok {
		return u, zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "no worker of "+string(c.Service)+" is at hand")
	}
	return u, nil
}

// payLink takes the size of the call, and of an answer of the same size, from the
// budget of the link to another region.
func (s *Sender) payLink(c *zinniayoke.Call, to zinniayoke.Upstream) bool {
	if s.cfg.LinkBudget == nil || to.Locality.Region == s.cfg.Locality.Region {
		return true
	}
	size := 2 * (zinniayoke.Bytes(len(c.Body)) + messageOverhead)
	return s.cfg.LinkBudget.Allow(time.Now(), to.Locality.Region, size)
}

func (s *Sender) judge(content zyquarantine.Fingerprint) zyquarantine.Decision {
	rules := s.cfg.Rules()
	if rules == nil || len(rules.ReleasedFromQuarantine) > 0 && rules.ReleasedFromQuarantine[content.String()] {
		return zyquarantine.RunShared
	}
	return s.cfg.Suspects.Decide(time.Now(), content, rules.QuarantineFor)
}

func (s *Sender) attempt(f *flight, share zinniayoke.Tokens) *zinniayoke.Attempt {
	c := f.Call
	return &zinniayoke.Attempt{
		ID: s.cfg.NewID(), Request: c.Request, Caller: c.Caller, Service: c.Service, Route: c.Route,
		Method: c.Method, Host: c.Host, Path: c.Path, Query: c.Query, Headers: c.Headers, Body: c.Body,
		BodyHash: c.BodyHash, Key: c.Key, Grant: f.Grant, Rank: c.Rank, Timeout: time.Until(c.Deadline),
		Tokens: share, Depth: c.Depth, Version: c.Version, MaxWait: c.MaxWait,
		RefusedElsewhere: f.refused > 0,
	}
}

// exchange sends the attempt and finds out what became of it.
func (s *Sender) exchange(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) *zinniayoke.Reply {
	start := time.Now()
	s.cfg.Meter.CountSent(a.Service)
	s.cfg.Picker.Start(start, to.Node)
	reply, err := s.cfg.Peers.Run(ctx, to, a)
	if err == nil {
		err = zyresponse.Check(reply, a.Request, a.ID)
	}
	if err == nil {
		s.cfg.Picker.Replied(time.Now(), to.Node, time.Since(start), reply)
		s.cfg.Thresholds.Update(time.Now(), a.Route, to.Node, reply.Threshold)
		if s.cfg.OnReply != nil {
			s.cfg.OnReply(time.Now(), a.Route, reply)
		}
		return reply
	}
	if ctx.Err() != nil {
		s.cfg.Peers.Cancel(to, a.ID)
		s.cfg.Picker.Abandoned(time.Now(), to.Node)
		return lost(a, contextReason(ctx), "nobody waits for the answer any more")
	}
	if mismatch := (*zyresponse.MismatchError)(nil); errors.As(err, &mismatch) {
		s.cfg.Meter.CountMismatch()
	}
	s.cfg.Picker.Lost(time.Now(), to.Node)
	return s.ask(ctx, to, a)
}

func contextReason(ctx context.Context) zinniayoke.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return zinniayoke.ReasonDeadline
	}
	return zinniayoke.ReasonCancelled
}

// ask finds out what became of an attempt without a usable reply.
func (s *Sender) ask(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) *zinniayoke.Reply {
	failed := 0
	for ctx.Err() == nil && failed < asksOffline {
		told, err := s.askOnce(ctx, to, a.ID)
		if err != nil {
			failed++
			pause(ctx)
			continue
		}
		failed = 0
		if told.State == zinniayoke.AttemptRunning {
			pause(ctx)
			continue
		}
		return s.settle(a, told)
	}
	return lost(a, zinniayoke.ReasonAnswerLost, "the node of the worker does not answer")
}

func (s *Sender) askOnce(ctx context.Context, to zinniayoke.Upstream, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return s.cfg.Peers.Query(ctx, to, id)
}

func (s *Sender) settle(a *zinniayoke.Attempt, told *zinniayoke.QueryReply) *zinniayoke.Reply {
	switch told.State {
	case zinniayoke.AttemptNeverSeen:
		return &zinniayoke.Reply{
			Attempt: a.ID, Request: a.Request, Reason: zinniayoke.ReasonNoUpstream, Outcome: zinniayoke.OutcomeNotRun,
			Detail: "the attempt did not arrive", Unused: a.Tokens,
		}
	case zinniayoke.AttemptAnswered:
		if told.Reply != nil && zyresponse.Check(told.Reply, a.Request, a.ID) == nil {
			return told.Reply
		}
		s.cfg.Meter.CountMismatch()
	case zinniayoke.AttemptRunning, zinniayoke.AttemptLost:
	}
	return lost(a, zinniayoke.ReasonAnswerLost, "the answer of the worker is lost")
}

func pause(ctx context.Context) {
	timer := time.NewTimer(askPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func lost(a *zinniayoke.Attempt, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{
		Attempt: a.ID, Request: a.Request, Reason: reason, Outcome: zinniayoke.OutcomeUnknown, Detail: detail,
	}
}

func refused(c *zinniayoke.Call, e *zinniayoke.CallError) *zinniayoke.Reply {
	return &zinniayoke.Reply{
		Request: c.Request, Reason: e.Reason, Outcome: e.Outcome, Detail: e.Detail, RetryAfter: e.RetryAfter,
	}
}
