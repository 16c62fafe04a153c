// Package zinniayoke defines the types and interfaces shared by the packages of
// the overload control layer: identifiers and units, outcomes, the messages
// between nodes, and the interfaces to pluggable parts (log, worker, peer
// client, upstream resolver).
//
// Packages under core implement the decision logic as state machines that
// receive time and randomness from outside. Packages under io perform I/O.
package zinniayoke
