package zinniayoke

// Outcome states what is known about the execution of a request.
// The zero value is OutcomeUnknown, the claim that is always true.
type Outcome int

// The outcomes that are reported to callers.
const (
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun says that no worker was handed any send of the request.
	OutcomeNotRun
	// OutcomeDone says that a worker ran the request and this is its whole answer.
	OutcomeDone
)

// Reason says why a request was refused or lost. The zero value is no reason.
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
)

// WorkerState is the state that a worker announces.
// The zero value is WorkerStarting.
type WorkerState int

// The states of a worker.
const (
	WorkerStarting WorkerState = iota
	WorkerServing
	WorkerDraining
	WorkerGone
)

// AttemptState is what a node knows about an attempt that it was asked about.
// The zero value is AttemptNeverSeen.
type AttemptState int

// The fates of an attempt.
const (
	// AttemptNeverSeen says that the attempt never reached the worker and never will.
	AttemptNeverSeen AttemptState = iota
	// AttemptRunning says that the worker has the attempt and has not answered yet.
	AttemptRunning
	// AttemptAnswered says that the whole answer is at hand.
	AttemptAnswered
	// AttemptLost says that the worker was handed the attempt and its answer is lost.
	AttemptLost
)

// MemberStatus is the liveness of a member. The zero value is MemberAlive.
type MemberStatus int

// The statuses of a member, in the order in which they override each other at
// the same incarnation.
const (
	MemberAlive MemberStatus = iota
	MemberSuspect
	MemberDead
	MemberLeft
)
