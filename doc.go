// Package zinniayoke holds the types and interfaces that the parts of the
// overload control layer share: identifiers and units, outcomes, the messages
// between nodes, and the interfaces of what varies (log, worker, peers, roster).
//
// Decisions live below core as state machines that are handed time and
// randomness. What talks to the outside lives below io.
package zinniayoke
