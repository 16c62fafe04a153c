// Package zypeer implements the RPC between nodes: net/rpc over TCP, after a handshake that
// authenticates both sides by a shared key and chooses the protocol. Attempts and their
// replies have an encoding of their own; other messages, and all messages with nodes of
// earlier versions, are MessagePack. A connection whose heartbeat gets no reply is closed.
package zypeer

import (
	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zymember"
)

// QueryArgs asks for the state of an attempt that was sent to the node. Earlier versions do not
// name the node.
type QueryArgs struct {
	Attempt zinniayoke.AttemptID `codec:"a"`
	Node    zinniayoke.NodeID    `codec:"n"`
}

// CancelArgs names an attempt that is no longer needed, or that is withdrawn.
type CancelArgs struct {
	Attempt zinniayoke.AttemptID `codec:"a"`
}

// RunAsOwnerArgs carries a call with an idempotency key to the key owner.
type RunAsOwnerArgs struct {
	Call zinniayoke.Call `codec:"c"`
	// Timeout is the time to the deadline in nanoseconds. The deadline itself is of no
	// use to the receiver, because clocks differ between hosts.
	Timeout int64 `codec:"l"`
}

// KeyArgs names a key that a key owner is to confirm as not run or to release.
type KeyArgs struct {
	Key zinniayoke.Key `codec:"k"`
}

// ConfirmNotRunReply is the reply of the RPC method Note. NotRun is true only if no attempt with the
// key has run.
type ConfirmNotRunReply struct {
	NotRun bool `codec:"n"`
}

// PromiseArgs asks a node to promise the epoch for the key slots and to return the key
// records that it holds for them.
type PromiseArgs struct {
	Slots []zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch     `codec:"e"`
}

// ImportKeysArgs carries key records and promised epochs, for example those of a node
// that shuts down.
type ImportKeysArgs struct {
	Keys     []zyidempotency.KeyRecord `codec:"h"`
	Promises []PromisedEpoch           `codec:"p"`
}

// PromisedEpoch is the epoch that a node has promised for one key slot.
type PromisedEpoch struct {
	Slot  zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch   `codec:"e"`
}

// SyncArgs carries the hashes of the sender's member list, by which the receiver finds
// the parts that differ from its own.
type SyncArgs struct {
	Buckets []zymember.BucketHash `codec:"b"`
	// Self is the sender's own entry, so that the receiver learns of a new node
	// immediately.
	Self []zymember.Change `codec:"s"`
	// Uninformed asks for all departures of workers; see SyncReply.Informed.
	Uninformed bool `codec:"u"`
}

// SyncReply holds the members in the parts that differ, encoded by zymember.PackList.
type SyncReply struct {
	Packed []byte `codec:"p"`
	// Version is the bundle version in force at the receiver.
	Version zinniayoke.Version `codec:"v"`
	// Informed is true if the receiver knows all departures of workers that were acknowledged
	// lately. It sends them to a sender that does not.
	Informed bool `codec:"i"`
}

// BundleArgs offers a bundle by its version, sends it as a lineage or a patch, or asks
// for the bundle in force at the receiver.
type BundleArgs struct {
	// Root is the node from which the bundle is distributed in its failure domain.
	Root    zinniayoke.NodeID  `codec:"r"`
	Version zinniayoke.Version `codec:"v"`
	// WantLineage asks the receiver to reply with its lineage, or with the text of its
	// bundle if the platform decides which one is in force.
	WantLineage bool                `codec:"w"`
	Lineage     zyagreement.Lineage `codec:"l"`
	Patch       *zyagreement.Patch  `codec:"p"`
}

// BundleReply names the version in force at the receiver after the call.
type BundleReply struct {
	Version zinniayoke.Version  `codec:"v"`
	Hash    zybundle.Hash       `codec:"h"`
	Lineage zyagreement.Lineage `codec:"l"`
	// Text is the bundle in force. It is set instead of Lineage if the platform decides
	// which bundle is in force.
	Text []byte `codec:"t"`
}

// Empty is an argument or reply without content.
type Empty struct{}
