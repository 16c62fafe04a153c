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

// AskArgs asks what became of an attempt.
type AskArgs struct {
	Attempt zinniayoke.AttemptID `codec:"a"`
}

// CancelArgs names an attempt that nobody waits for.
type CancelArgs struct {
	Attempt zinniayoke.AttemptID `codec:"a"`
}

// BookArgs is a request with a key on its way to the key's keeper.
type BookArgs struct {
	Call zinniayoke.Call `codec:"c"`
	// Left is the time to the deadline, since clocks differ between hosts.
	Left int64 `codec:"l"`
}

// NoteArgs asks a keeper whether a key ran nowhere.
type NoteArgs struct {
	Key zinniayoke.Key `codec:"k"`
}

// NoteReply is the answer to NoteArgs.
type NoteReply struct {
	NotRun bool `codec:"n"`
}

// RecallArgs asks for a promise and for what is remembered of the slots.
type RecallArgs struct {
	Slots []zinniayoke.KeySlot `codec:"s"`
	Epoch zinniayoke.Epoch     `codec:"e"`
}

// InheritArgs carries what a leaving node remembers.
type InheritArgs struct {
	Held     []zyidempotency.KeyRecord `codec:"h"`
	Promises []Promise                 `codec:"p"`
}

// Promise is the epoch that was promised for one slot.
type Promise struct {
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
	// Want asks for the lineage of the receiver in the reply.
	Want    bool                `codec:"w"`
	Lineage zyagreement.Lineage `codec:"l"`
	Patch   *zyagreement.Patch  `codec:"p"`
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
