package zynode

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyidempotency"
	"zinniayoke/core/zykeyowner"
	"zinniayoke/io/zypeer"
)

// keepers reaches the keepers of keys, on this node or another. It implements
// zyhome.Elders.
type keepers struct {
	node   zinniayoke.NodeID
	view   *view
	client *zypeer.Client
	rules  func() *zybundle.Bundle
	home   *zykeyowner.Executor
	memory zykeyowner.RecallHandler
	ask    func(id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error)
}

// booker returns what brings requests from this entry to their keepers.
func (k *keepers) booker() *zykeyowner.Router {
	return zykeyowner.NewRouter(zykeyowner.RouterConfig{
		KeyOwners: k.view.KeyOwners, RunAt: k.bookAt, ConfirmNotRunAt: k.noteAt,
		AttemptsPerRun: func(r zinniayoke.RouteName) zinniayoke.Tokens {
			if route, ok := k.rules().Routes[r]; ok {
				return 1 + route.ChildCalls
			}
			return 1
		},
	})
}

// bookAt lets a node run a request whose key it keeps.
func (k *keepers) bookAt(ctx context.Context, node zinniayoke.NodeID, c *zinniayoke.Call) (*zinniayoke.Reply, error) {
	if node == k.node {
		return k.book(ctx, c), nil
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.RunAtOwner(ctx, u.PeerAddress, c)
}

// noteAt asks a node whether a key ran nowhere.
func (k *keepers) noteAt(ctx context.Context, node zinniayoke.NodeID, key zinniayoke.Key) (bool, error) {
	if node == k.node {
		return k.home.ConfirmNotRun(ctx, key), nil
	}
	u, ok := k.view.Find(node)
	if !ok {
		return false, &UnknownNodeError{Node: node}
	}
	return k.client.ConfirmNotRun(ctx, u.PeerAddress, key)
}

// book runs a request whose key this node keeps.
func (k *keepers) book(ctx context.Context, c *zinniayoke.Call) *zinniayoke.Reply {
	rules := k.rules()
	if rules == nil {
		reply := unknown(c, zinniayoke.ReasonNotReady, "no bundle is in force at the keeper yet")
		reply.Unused = c.Tokens
		return reply
	}
	route, ok := rules.Routes[c.Route]
	if !ok {
		return unknown(c, zinniayoke.ReasonNoRoute, "the bundle of the keeper has no such route")
	}
	return k.home.Run(ctx, c, route)
}

// ReleaseKey asks the keeper in a caller's old home to give a key up.
func (k *keepers) ReleaseKey(ctx context.Context, old zinniayoke.Domain, key zinniayoke.Key) (*zykeyowner.ReleaseReply, error) {
	node := zyidempotency.OwnerOf(zyidempotency.SlotOf(old, key), k.view.KeyOwners(old))
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.ReleaseKey(ctx, u.PeerAddress, key)
}

// Recall asks a node, which may be this one, for a promise.
func (k *keepers) Recall(ctx context.Context, node zinniayoke.NodeID, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) (*zykeyowner.RecallReply, error) {
	if node == k.node {
		return k.memory.Recall(slots, epoch), nil
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.Recall(ctx, u.PeerAddress, &zypeer.RecallArgs{Slots: slots, Epoch: epoch})
}

// ReplicateKey lets a node remember a key that is about to run on this host.
func (k *keepers) ReplicateKey(ctx context.Context, node zinniayoke.NodeID, key zyidempotency.KeyRecord) error {
	u, ok := k.view.Find(node)
	if !ok {
		return &UnknownNodeError{Node: node}
	}
	return k.client.ImportKeys(ctx, u.PeerAddress, &zypeer.ImportKeysArgs{Keys: []zyidempotency.KeyRecord{key}})
}

// Query asks a node, which may be this one, what became of an attempt.
func (k *keepers) Query(ctx context.Context, node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	if node == k.node {
		return k.ask(id)
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.Query(ctx, u, id)
}

// UnknownNodeError says that the member list does not hold a node.
type UnknownNodeError struct {
	Node zinniayoke.NodeID
}

// Error names the node.
func (e *UnknownNodeError) Error() string {
	return "node " + string(e.Node) + " is unknown"
}

func unknown(c *zinniayoke.Call, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{Request: c.Request, Reason: reason, Outcome: zinniayoke.OutcomeUnknown, Detail: detail}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
