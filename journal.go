package zinniayoke

import "time"

// EventKind is the kind of an Event. The zero value is EventCallEnded.
type EventKind int

// The kinds of events.
const (
	// EventCallEnded reports the end of a call at its entry node.
	EventCallEnded EventKind = iota
	// EventAttemptEnded reports the result of an attempt as seen by its sender, and
	// whether the sender makes another one.
	EventAttemptEnded
	// EventAttemptRefused reports an attempt that the worker's node did not deliver
	// to the worker.
	EventAttemptRefused
	// EventAttemptRun reports an attempt that was delivered to the worker.
	EventAttemptRun
	// EventMember reports a change in the membership view of a node.
	EventMember
	// EventWorkerNotice reports that the worker of the node says something else about
	// itself than before.
	EventWorkerNotice
	// EventRetryBudget reports the retries to the worker of the node in the window that ends
	// now. It comes at most once a second, while retries ask for the budget.
	EventRetryBudget
)

// Event is a decision about a call or a change in a node's membership view.
// Fields that do not apply are zero and are not written.
type Event struct {
	Kind    EventKind
	Request RequestID
	// Parent is the request whose worker made the call, "" if unknown.
	Parent  RequestID
	Attempt AttemptID
	Route   RouteName
	Service Service
	// Customer is the customer whose key the request carried, "" if it carried none that is
	// known.
	Customer Customer
	// Node is the remote node that the event is about.
	Node     NodeID
	Instance Instance
	Reason   Reason
	Outcome  Outcome
	Version  Version
	Rank     Rank
	// Threshold is the lowest rank that was admitted.
	Threshold Rank
	// Depth is 0 for a root request.
	Depth  int
	Status int
	// TimeLeft is the time to the deadline when the decision was made.
	TimeLeft time.Duration
	// QueueTime is the time spent waiting for admission.
	QueueTime time.Duration
	Duration  time.Duration
	// Limit is the concurrency limit of the worker, Running and Waiting are the
	// attempts that it runs and that are queued for it.
	Limit   int
	Running int
	Waiting int
	// RateLimit is the rate that the worker accepts, nil if it names none. DeliveryRate is
	// how many calls per second its node has delivered, averaged over about a second.
	RateLimit    *Rate
	DeliveryRate Rate
	// Leaving is true if the worker has said that it is about to end.
	Leaving bool
	// WillRetry is true if another attempt follows.
	WillRetry bool
	// Resent is true if the call was delivered to a worker before. InRepeatedRun is true if
	// a run that was itself repeated makes the call.
	Resent        bool
	InRepeatedRun bool
	// FirstSends and Retries are what the node counts for the retry budget in the window,
	// RetriesAllowed is how many retries it allows there, and Hosts is the number of hosts
	// among which the slack is divided.
	FirstSends     int
	Retries        int
	RetriesAllowed float64
	Hosts          int
	Detail         string
}

// EventRecorder records events. Implementations must be safe for concurrent use
// and must never block.
type EventRecorder interface {
	Record(e *Event)
}

// NopEventRecorder is an EventRecorder that discards all events.
type NopEventRecorder struct{}

// Record does nothing.
func (NopEventRecorder) Record(*Event) {}
