package zinniayoke

// Outcome states what is known about the execution of a request.
// The zero value is OutcomeUnknown, the claim that is always true.
type Outcome int

// The outcomes that a caller can be told.
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
	ReasonAttemptsSpent
	ReasonDraining
	ReasonStaleEpoch
	ReasonFenced
	ReasonKeyUncertain
	ReasonHomeUnreachable
	ReasonTableFull
	ReasonCancelled
	ReasonNotReady
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

// Fate is what a node knows about an attempt that it was asked about.
// The zero value is FateNeverSeen.
type Fate int

// The fates of an attempt.
const (
	// FateNeverSeen says that the attempt never reached the worker and never will.
	FateNeverSeen Fate = iota
	// FateRunning says that the worker has the attempt and has not answered yet.
	FateRunning
	// FateAnswered says that the whole answer is at hand.
	FateAnswered
	// FateLost says that the worker was handed the attempt and its answer is lost.
	FateLost
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
