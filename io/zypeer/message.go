// Package zypeer carries messages between nodes: net/rpc with MessagePack over
// TCP. A connection is believed only while its heartbeat returns.
package zypeer

import (
	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zymember"
)

// QueryArgs asks what became of an attempt.
type QueryArgs struct {
	Attempt zinniayoke.AttemptID `codec:"a"`
}

// CancelArgs names an attempt that nobody waits for.
type CancelArgs struct {
	Attempt zinniayoke.AttemptID `codec:"a"`
}

// RunAsOwnerArgs is a request with a key on its way to the key's keeper.
type RunAsOwnerArgs struct {
	Call zinniayoke.Call `codec:"c"`
	// Timeout is the time to the deadline, since clocks differ between hosts.
	Timeout int64 `codec:"l"`
}

// KeyArgs asks a keeper whether a key ran nowhere.
type KeyArgs struct {
	Key zinniayoke.Key `codec:"k"`
}

// ConfirmNotRunReply is the answer to NoteArgs.
type ConfirmNotRunReply struct {
	NotRun bool `codec:"n"`
}

// RecallArgs asks for a promise and for what is remembered of the slots.
type RecallArgs struct {
	Slots []zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch     `codec:"e"`
}

// ImportKeysArgs carries what a leaving node remembers.
type ImportKeysArgs struct {
	Keys     []zyidempotency.KeyRecord `codec:"h"`
	Promises []PromisedEpoch           `codec:"p"`
}

// PromisedEpoch is the epoch that was promised for one slot.
type PromisedEpoch struct {
	Slot  zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch   `codec:"e"`
}

// SyncArgs compares two member lists.
type SyncArgs struct {
	Buckets []zymember.BucketHash `codec:"b"`
	// Self is the sender's own entry, so that a new node is known at once.
	Self []zymember.Change `codec:"s"`
}

// SyncReply holds the members of the parts that differ, as zymember.PackList
// writes them.
type SyncReply struct {
	Packed []byte `codec:"p"`
}

// BundleArgs offers the bundle in force, or carries it where Lineage is set.
type BundleArgs struct {
	// Root is the node from which the bundle spreads in its failure domain.
	Root    zinniayoke.NodeID  `codec:"r"`
	Version zinniayoke.Version `codec:"v"`
	// WantLineage asks for the lineage of the receiver in the reply.
	WantLineage bool                `codec:"w"`
	Lineage     zyagreement.Lineage `codec:"l"`
	Patch       *zyagreement.Patch  `codec:"p"`
}

// BundleReply says which version the receiver has in force now.
type BundleReply struct {
	Version zinniayoke.Version  `codec:"v"`
	Hash    zybundle.Hash       `codec:"h"`
	Lineage zyagreement.Lineage `codec:"l"`
	// Text is the bundle in force where the platform decides on it.
	Text []byte `codec:"t"`
}

// Empty is a message without content.
type Empty struct{}
