package zinniayoke

// Outcome is what is known about the execution of a request.
// The zero value is OutcomeUnknown, the only claim that is safe without evidence.
type Outcome int

// The outcomes that are reported to callers.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no attempt of the request was delivered to a worker.
	OutcomeNotRun
	// OutcomeDone means that a worker ran the request and its complete response is
	// available.
	OutcomeDone
)

// Reason is why a request was refused or its response lost. The zero value,
// ReasonNone, means that neither happened.
type Reason int

// The reasons for which a call fails.
const (
	ReasonNone Reason = iota
	ReasonMalformed
	// ReasonToken means that the caller's token is missing or not accepted.
	ReasonToken
	ReasonNoRoute
	ReasonKeyReused
	ReasonTooLarge
	ReasonQuarantined
	ReasonCallerLimit
	ReasonShed
	ReasonNoUpstream
	ReasonAnswerLost
	ReasonDeadline
	// ReasonAttemptsSpent means that the attempt budget is used up.
	ReasonAttemptsSpent
	ReasonDraining
	// ReasonStaleEpoch means that another node now owns the key's slot.
	ReasonStaleEpoch
	// ReasonFenced means that the attempt was given up before it arrived, or that it
	// arrived twice.
	ReasonFenced
	// ReasonKeyUncertain means that the key may have run and its result is not
	// available.
	ReasonKeyUncertain
	// ReasonHomeUnreachable means that no node of the caller's home failure domain is
	// reachable.
	ReasonHomeUnreachable
	// ReasonTableFull means that the node cannot remember any more keys or attempts.
	ReasonTableFull
	ReasonCancelled
	ReasonNotReady
	// ReasonLinkBudget means that the node's share of a link to another region is used
	// up.
	ReasonLinkBudget
	// ReasonRetryBudget means that the call was delivered to a worker before, and that the
	// retry budget of the service is kept for calls that need it more.
	ReasonRetryBudget
	// ReasonBusy means that the call would have had to wait for the worker, and that its
	// sender has another choice. Only senders with even load get it, once for each call.
	ReasonBusy
)

// WorkerState is the lifecycle state that a worker announces.
// The zero value is WorkerStarting.
type WorkerState int

// The states of a worker.
const (
	WorkerStarting WorkerState = iota
	WorkerServing
	WorkerDraining
	WorkerGone
)

// AttemptState is the state of an attempt as known to the node of its worker.
// The zero value is AttemptNeverSeen.
type AttemptState int

// The states of an attempt.
const (
	// AttemptNeverSeen means that the attempt has not reached the worker and never
	// will.
	AttemptNeverSeen AttemptState = iota
	// AttemptRunning means that the worker has received the attempt and has not yet
	// responded.
	AttemptRunning
	// AttemptAnswered means that the complete response is available.
	AttemptAnswered
	// AttemptLost means that the attempt was delivered to the worker and its response
	// is lost.
	AttemptLost
)

// MemberStatus is the liveness of a member in the membership protocol. The zero
// value is MemberAlive.
type MemberStatus int

// The statuses of a member. At the same incarnation, a later status overrides an
// earlier one.
const (
	MemberAlive MemberStatus = iota
	MemberSuspect
	MemberDead
	MemberLeft
)
