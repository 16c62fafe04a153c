// Package zyegress sends calls to upstream nodes. It queries the state of an
// attempt whose reply was lost, and retries if a retry is safe and the retry
// budget allows it.
package zyegress

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"zinniayoke"
	"zinniayoke/core/zyattempt"
	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyevenload"
	"zinniayoke/core/zymember"
	"zinniayoke/core/zynotice"
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
	Quarantine   *zyquarantine.Tracker
	Meter        zinniayoke.Meter
	Bundle       func() *zybundle.Bundle
	// Locality is the failure domain and region of the sender.
	Locality zinniayoke.Locality
	// LinkBudget limits the traffic to other regions; nil means no limit.
	LinkBudget *zybalancer.LinkBudget
	// WorkersLimitRetries is true if the nodes of the workers limit the retries to their
	// service, instead of RetryBudgets. Then the attempt budget of a request counts the
	// workers to which it was delivered; a worker that has rejected it may get it again.
	WorkersLimitRetries bool
	// OnReply is called with each valid reply to a call of the route; it may be nil.
	OnReply func(now time.Time, route zinniayoke.RouteName, r *zinniayoke.Reply)
	// LoadMeter measures the even distribution of load; nil discards the measurements.
	LoadMeter zinniayoke.LoadMeter
	// Notices keeps what the workers say about themselves; nil keeps nothing.
	Notices *zynotice.Memory
	// Recorder records the end of each attempt; nil discards the events.
	Recorder zinniayoke.EventRecorder
	// NewID returns a new attempt id; nil means a random prefix and a counter.
	NewID func() zinniayoke.AttemptID
}

const (
	queryTimeout  = 1 * time.Second
	queryInterval = 100 * time.Millisecond
	// maxFailedQueries is the number of consecutive queries without a reply after
	// which the response counts as lost.
	maxFailedQueries = 3
	// maxUndelivered is the number of sends that no worker received after which a
	// call is refused. Each costs a round trip, and if four nodes have no capacity,
	// the service is most likely full.
	maxUndelivered = 4
	// maxLimitedRefusals is the number of refusals by nodes whose worker has a rate limit
	// after which a call is refused. They say nothing of the workers without one.
	maxLimitedRefusals = 8
	// maxRejections is the number of rejections by workers after which a call is refused.
	// While workers reject half of their calls, one in 256 calls gets that many.
	maxRejections = 8
	// messageOverhead is the assumed size of a message without its body.
	messageOverhead zinniayoke.Bytes = 512
)

// Sender sends calls to upstream nodes. It is safe for concurrent use. Use New to
// create one.
type Sender struct {
	cfg Config
	// routeTimes is for how long calls usually occupy a slot, for even load.
	routeTimes zyevenload.RouteTimes
	// withdrawn is done once Withdraw was called.
	withdrawn context.Context
	withdraw  context.CancelFunc
}

// New returns a Sender.
func New(cfg Config) *Sender {
	if cfg.NewID == nil {
		cfg.NewID = newIDGenerator()
	}
	if cfg.LoadMeter == nil {
		cfg.LoadMeter = zinniayoke.NopLoadMeter{}
	}
	if cfg.Recorder == nil {
		cfg.Recorder = zinniayoke.NopEventRecorder{}
	}
	s := &Sender{cfg: cfg}
	s.withdrawn, s.withdraw = context.WithCancel(context.Background())
	return s
}

// Withdraw ends the calls that no worker runs: those that wait at the node of a worker are
// refused, and none is retried from now on. The node is about to stop.
func (s *Sender) Withdraw() {
	s.withdraw()
}

// newIDGenerator returns a function that generates attempt ids from a random
// prefix and a counter, so that the ids of different senders do not collide.
func newIDGenerator() func() zinniayoke.AttemptID {
	prefix := uuid.NewString()[:18] // 64 random bits and two dashes
	var count atomic.Uint64
	const base = 36
	return func() zinniayoke.AttemptID {
		return zinniayoke.AttemptID(prefix + "." + strconv.FormatUint(count.Add(1), base))
	}
}

// SendParams holds the parameters of Sender.Send.
type SendParams struct {
	Call   *zinniayoke.Call
	Route  *zybundle.Route
	Budget *zyattempt.Budget
	Grant  zinniayoke.Grant
	// BeforeAttempt is called before each attempt is sent; if it returns false, the
	// attempt is not sent. It may be nil.
	BeforeAttempt func(id zinniayoke.AttemptID, to zinniayoke.NodeID) bool
	// Avoid lists nodes that are chosen only if there is no other.
	Avoid []zinniayoke.NodeID
}

// sendState is the state of one Send.
type sendState struct {
	SendParams
	// excluded holds Avoid and the nodes already tried.
	excluded []zinniayoke.NodeID
	// last is the reply of the latest attempt.
	last *zinniayoke.Reply
	// mayHaveRun is true once an attempt may have reached a worker.
	mayHaveRun bool
	// to is the node chosen for the latest attempt.
	to zinniayoke.Upstream
	// undelivered counts the replies that report no delivery to a worker, except those that
	// limitedRefusals counts.
	undelivered int
	// limitedRefusals counts the refusals by nodes whose worker has a rate limit.
	limitedRefusals int
	// rejectedBy lists the workers that have rejected the call, without having run it.
	rejectedBy []zinniayoke.Upstream
	// rejections counts the rejections.
	rejections int
	// failed is the reply with an error of a worker that was retried, nil if there is none.
	failed *zinniayoke.Reply
	// delivered is true once an attempt was delivered to a worker.
	delivered bool
	// exclusive is true for a request suspected of crashing workers, which may run
	// only on a single upstream and is not retried.
	exclusive bool
	// redirectAfter is the expected wait above which the node chosen for the latest attempt
	// may refuse it as busy; 0 means never. redirects counts these refusals.
	redirectAfter time.Duration
	redirects     int
	// redirected is true while the latest refusal as busy has not led to another choice.
	redirected bool
	// roomNearby is true if another worker in the failure domain was expected to have room.
	roomNearby bool
}

// Send sends the call until it gets a response or may not be retried. The outcome
// of the returned reply holds for all attempts together.
func (s *Sender) Send(ctx context.Context, params SendParams) *zinniayoke.Reply {
	f := &sendState{SendParams: params, excluded: append([]zinniayoke.NodeID(nil), params.Avoid...)}
	for {
		reply := s.sendOnce(ctx, f)
		f.recordReply(reply)
		retry := s.mayRetry(ctx, f, reply)
		s.cfg.Recorder.Record(&zinniayoke.Event{
			Kind: zinniayoke.EventAttemptEnded, Request: f.Call.Request, Attempt: reply.Attempt, Route: f.Call.Route,
			Service: f.Call.Service, Customer: f.Call.Customer, Node: f.to.Node, Reason: reply.Reason, Outcome: reply.Outcome, Threshold: reply.Threshold,
			TimeLeft: time.Until(f.Call.Deadline), WillRetry: retry, Detail: reply.Detail,
		})
		if !retry {
			return f.finalReply()
		}
	}
}

// recordReply stores the reply of an attempt. Once a worker may have run the call,
// the reply to a later attempt cannot undo that.
func (f *sendState) recordReply(reply *zinniayoke.Reply) {
	if reply.Outcome == zinniayoke.OutcomeUnknown {
		f.mayHaveRun = true
	}
	switch {
	case f.isRedirect(reply):
		f.recordRedirect()
	case !reply.Delivered && reply.Outcome == zinniayoke.OutcomeNotRun && reply.Reason == zinniayoke.ReasonShed &&
		reply.Heard != nil && reply.Heard.Notice.Limited:
		f.limitedRefusals++
	case !reply.Delivered && reply.Outcome == zinniayoke.OutcomeNotRun:
		f.undelivered++
	case reply.Outcome == zinniayoke.OutcomeNotRun && reply.Reason == zinniayoke.ReasonShed:
		f.recordRejection()
	}
	if reply.WorkerError {
		f.failed = reply
	}
	f.delivered = f.delivered || reply.Delivered || reply.Outcome == zinniayoke.OutcomeUnknown
	f.last = reply
}

// recordRejection records that the worker of the latest attempt has rejected the call.
func (f *sendState) recordRejection() {
	f.rejections++
	if !slices.ContainsFunc(f.rejectedBy, func(u zinniayoke.Upstream) bool { return u.Node == f.to.Node }) {
		f.rejectedBy = append(f.rejectedBy, f.to)
	}
}

// finalReply returns the last reply, or the worker's error if no later attempt got a
// response. Its outcome is unknown if the call was not run by the last attempt but may
// have been run by an earlier one.
func (f *sendState) finalReply() *zinniayoke.Reply {
	if f.failed != nil && f.last.Outcome != zinniayoke.OutcomeDone {
		return f.failed
	}
	reply := *f.last
	if f.mayHaveRun && reply.Outcome == zinniayoke.OutcomeNotRun {
		reply.Outcome = zinniayoke.OutcomeUnknown
	}
	return &reply
}

// callerClass returns the key of the retry budget of the call.
func (f *sendState) callerClass() zyattempt.CallerClass {
	return zyattempt.CallerClass{Caller: f.Call.Caller, Class: f.Route.Class.Name}
}

// sendOnce makes one attempt.
func (s *Sender) sendOnce(ctx context.Context, f *sendState) *zinniayoke.Reply {
	to, refusal := s.pick(f)
	if refusal != nil {
		return refusedReply(f.Call, refusal)
	}
	f.to = to
	if !s.takeLinkBudget(f.Call, to) {
		return refusedReply(f.Call, zinniayoke.NewRefusedError(zinniayoke.ReasonLinkBudget, "the link to "+string(to.Locality.Region)+" is full"))
	}
	returns := slices.ContainsFunc(f.rejectedBy, func(u zinniayoke.Upstream) bool { return u.Node == to.Node })
	share, ok := zinniayoke.Tokens(0), true
	if !returns {
		share, ok = f.Budget.StartSend(f.Route.ChildCalls)
	}
	if !ok {
		return refusedReply(f.Call, zinniayoke.NewRefusedError(zinniayoke.ReasonAttemptsSpent, "the request has used up its attempts"))
	}
	a := s.newAttempt(f, share)
	if f.BeforeAttempt != nil && !f.BeforeAttempt(a.ID, to.Node) {
		f.Budget.Refund(share + 1)
		return refusedReply(f.Call, zinniayoke.NewRefusedError(zinniayoke.ReasonStaleEpoch, "the key is kept elsewhere now"))
	}
	f.excluded = append(f.excluded, to.Node)
	sentAt := time.Now()
	reply := s.exchange(ctx, f, a)
	s.cfg.Notices.Record(time.Now(), sentAt, zymember.HostOf(to.Node), reply)
	f.Budget.Refund(min(reply.Unused, share))
	if (s.cfg.WorkersLimitRetries || f.isRedirect(reply)) && !returns && !reply.Delivered && reply.Outcome == zinniayoke.OutcomeNotRun {
		f.Budget.Refund(1)
	}
	if reply.Outcome == zinniayoke.OutcomeDone {
		s.cfg.RetryBudgets.RecordSuccess(f.callerClass(), f.Route.RetryBudget)
	}
	return reply
}

// pick chooses the upstream. All nodes choose the same one for a request that is
// suspected of crashing workers, so that it can crash only that one.
func (s *Sender) pick(f *sendState) (zinniayoke.Upstream, *zinniayoke.CallError) {
	c := f.Call
	f.redirectAfter, f.roomNearby = 0, false
	fingerprint := zyquarantine.FingerprintOf(c.Service, c.Method, c.Path, c.Query, c.Body)
	if s.quarantineDecision(fingerprint) == zyquarantine.RunExclusive {
		f.exclusive = true
		if u, ok := zyquarantine.ExclusiveUpstream(fingerprint, s.cfg.Resolver.Upstreams(c.Service)); ok {
			return u, nil
		}
	}
	if s.cfg.WorkersLimitRetries && f.mayReturnToRejecting() && (f.Budget.Remaining() < 1 || !s.hasUntriedUpstream(f)) {
		return f.rejectedBy[f.rejections%len(f.rejectedBy)], nil
	}
	u, ok := s.choose(f, f.excluded)
	if !ok && len(f.excluded) == len(f.Avoid) {
		u, ok = s.choose(f, nil)
	}
	if !ok {
		return u, zinniayoke.NewRefusedError(zinniayoke.ReasonNoUpstream, "no worker of "+string(c.Service)+" is at hand")
	}
	return u, nil
}

// takeLinkBudget charges a call to another region to the budget of the link. The
// response is assumed to be as large as the call. It reports whether the budget
// sufficed.
func (s *Sender) takeLinkBudget(c *zinniayoke.Call, to zinniayoke.Upstream) bool {
	if s.cfg.LinkBudget == nil || to.Locality.Region == s.cfg.Locality.Region {
		return true
	}
	size := 2 * (zinniayoke.Bytes(len(c.Body)) + messageOverhead)
	return s.cfg.LinkBudget.Allow(time.Now(), to.Locality.Region, size)
}

// quarantineDecision returns how a request with this fingerprint may run.
// Fingerprints that the bundle releases from quarantine run without restriction.
func (s *Sender) quarantineDecision(fingerprint zyquarantine.Fingerprint) zyquarantine.Decision {
	bundle := s.cfg.Bundle()
	if bundle == nil || len(bundle.ReleasedFromQuarantine) > 0 && bundle.ReleasedFromQuarantine[fingerprint.String()] {
		return zyquarantine.RunShared
	}
	return s.cfg.Quarantine.Decide(time.Now(), fingerprint, bundle.QuarantineFor)
}

func (s *Sender) newAttempt(f *sendState, share zinniayoke.Tokens) *zinniayoke.Attempt {
	c := f.Call
	return &zinniayoke.Attempt{
		ID: s.cfg.NewID(), Request: c.Request, Caller: c.Caller, Customer: c.Customer, Share: c.Share, Service: c.Service, Route: c.Route,
		Method: c.Method, Host: c.Host, Path: c.Path, Query: c.Query, Headers: c.Headers, Body: c.Body,
		BodyHash: c.BodyHash, Key: c.Key, Grant: f.Grant, Rank: c.Rank, Timeout: time.Until(c.Deadline),
		Tokens: share, Depth: c.Depth, Version: c.Version, MaxWait: c.MaxWait,
		RefusedElsewhere: f.undelivered+f.limitedRefusals > 0, Resent: f.delivered, InRepeatedRun: c.InRepeatedRun, EarlierCalls: c.EarlierCalls,
		LastChoice:    f.limitedRefusals+1 >= maxLimitedRefusals || !s.hasOtherUpstream(f),
		Heard:         s.cfg.Notices.Of(zymember.HostOf(f.to.Node)),
		RedirectAfter: f.redirectAfter, UsualTime: s.usualTime(c.Route),
	}
}

// exchange sends the attempt and returns its reply. If no valid reply arrives, it
// queries the state of the attempt.
func (s *Sender) exchange(ctx context.Context, f *sendState, a *zinniayoke.Attempt) *zinniayoke.Reply {
	to, start := f.to, time.Now()
	s.cfg.Meter.CountSent(a.Service)
	s.cfg.Picker.Start(start, to.Node)
	reply, err := s.run(ctx, to, a)
	if err == nil {
		err = zyresponse.Check(reply, a.Request, a.ID)
	}
	if err == nil {
		s.cfg.Picker.Replied(time.Now(), to.Node, time.Since(start), reply)
		s.observeLoad(f, a, reply)
		s.cfg.Thresholds.Update(time.Now(), a.Route, to.Node, reply.Threshold)
		if s.cfg.OnReply != nil {
			s.cfg.OnReply(time.Now(), a.Route, reply)
		}
		return reply
	}
	if ctx.Err() != nil {
		s.cfg.Peers.Cancel(to, a.ID)
		s.cfg.Picker.Abandoned(time.Now(), to.Node)
		return lostReply(a, contextReason(ctx), "nobody waits for the answer any more")
	}
	if mismatch := (*zyresponse.MismatchError)(nil); errors.As(err, &mismatch) {
		s.cfg.Meter.CountMismatch()
	}
	s.cfg.Picker.Lost(time.Now(), to.Node)
	if errors.Is(err, zinniayoke.ErrNotSent) {
		return s.replyFromQuery(a, &zinniayoke.QueryReply{State: zinniayoke.AttemptNeverSeen})
	}
	return s.queryAttempt(ctx, to, a)
}

// run sends the attempt and waits for its reply.
func (s *Sender) run(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) (*zinniayoke.Reply, error) {
	stop := context.AfterFunc(s.withdrawn, func() { s.cfg.Peers.Withdraw(to, a.ID) })
	defer stop()
	return s.cfg.Peers.Run(ctx, to, a)
}

func contextReason(ctx context.Context) zinniayoke.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return zinniayoke.ReasonDeadline
	}
	return zinniayoke.ReasonCancelled
}

// queryAttempt polls the state of an attempt that got no valid reply until the
// attempt has ended or the node stops replying.
func (s *Sender) queryAttempt(ctx context.Context, to zinniayoke.Upstream, a *zinniayoke.Attempt) *zinniayoke.Reply {
	failed := 0
	for ctx.Err() == nil && failed < maxFailedQueries {
		result, err := s.queryOnce(ctx, to, a.ID)
		if err != nil {
			failed++
			pause(ctx)
			continue
		}
		failed = 0
		if result.State == zinniayoke.AttemptRunning {
			pause(ctx)
			continue
		}
		return s.replyFromQuery(a, result)
	}
	return lostReply(a, zinniayoke.ReasonAnswerLost, "the node of the worker does not answer")
}

func (s *Sender) queryOnce(ctx context.Context, to zinniayoke.Upstream, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return s.cfg.Peers.Query(ctx, to, id)
}

// replyFromQuery returns the reply to an attempt according to the state that was
// queried.
func (s *Sender) replyFromQuery(a *zinniayoke.Attempt, result *zinniayoke.QueryReply) *zinniayoke.Reply {
	switch result.State {
	case zinniayoke.AttemptNeverSeen:
		return &zinniayoke.Reply{
			Attempt: a.ID, Request: a.Request, Reason: zinniayoke.ReasonNoUpstream, Outcome: zinniayoke.OutcomeNotRun,
			Detail: "the attempt did not arrive", Unused: a.Tokens,
		}
	case zinniayoke.AttemptAnswered:
		if result.Reply != nil && zyresponse.Check(result.Reply, a.Request, a.ID) == nil {
			return result.Reply
		}
		s.cfg.Meter.CountMismatch()
	case zinniayoke.AttemptRunning, zinniayoke.AttemptLost:
	}
	return lostReply(a, zinniayoke.ReasonAnswerLost, "the answer of the worker is lost")
}

// pause waits for queryInterval or until ctx is done.
func pause(ctx context.Context) {
	timer := time.NewTimer(queryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func lostReply(a *zinniayoke.Attempt, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{
		Attempt: a.ID, Request: a.Request, Reason: reason, Outcome: zinniayoke.OutcomeUnknown, Detail: detail,
	}
}

func refusedReply(c *zinniayoke.Call, e *zinniayoke.CallError) *zinniayoke.Reply {
	return &zinniayoke.Reply{
		Request: c.Request, Reason: e.Reason, Outcome: e.Outcome, Detail: e.Detail, RetryAfter: e.RetryAfter,
	}
}
