package zinniayoke

import "time"

// EventKind says what an Event tells. The zero value is EventCallEnded.
type EventKind int

// The kinds of events.
const (
	// EventCallEnded is the end of a call at its entry.
	EventCallEnded EventKind = iota
	// EventAttemptEnded is what the sender learned of one attempt, and whether it
	// sends another one.
	EventAttemptEnded
	// EventAttemptRefused is an attempt that the node of the worker did not hand over.
	EventAttemptRefused
	// EventAttemptRun is an attempt that the worker was handed.
	EventAttemptRun
	// EventMember is a change of what is believed of a node.
	EventMember
)

// Event is one decision that touches a call, or one change of what a node
// believes. Fields that do not apply are zero and are not written.
type Event struct {
	Kind    EventKind
	Request RequestID
	// Parent is the request whose worker made the call, "" where that is not known.
	Parent  RequestID
	Attempt AttemptID
	Route   RouteName
	Service Service
	// Node is the other node that the event concerns.
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
	TimeLeft  time.Duration
	QueueTime time.Duration
	Duration  time.Duration
	// Limit, Running and Waiting describe the gate of the worker.
	Limit   int
	Running int
	Waiting int
	// WillRetry is true where another attempt follows.
	WillRetry bool
	Detail    string
}

// EventRecorder writes events down. Implementations must be safe for use by several
// goroutines and must never block.
type EventRecorder interface {
	Record(e *Event)
}

// NopEventRecorder is a EventRecorder that writes nothing.
type NopEventRecorder struct{}

// Record does nothing.
func (NopEventRecorder) Record(*Event) {}
