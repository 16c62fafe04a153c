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

// keyOwnerClient sends requests to the owners of idempotency keys, on this node or
// another. It implements zykeyowner.KeyStateClient and zykeyowner.OldHomeClient.
type keyOwnerClient struct {
	self           zinniayoke.NodeID
	view           *memberView
	client         *zypeer.Client
	bundle         func() *zybundle.Bundle
	executor       *zykeyowner.Executor
	promiseHandler zykeyowner.PromiseHandler
	queryLocal     func(node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error)
}

// router returns the router that sends keyed requests from this entry node to their
// key owners.
func (k *keyOwnerClient) router() *zykeyowner.Router {
	return zykeyowner.NewRouter(zykeyowner.RouterConfig{
		KeyOwners: k.view.KeyOwners, RunAt: k.runAt, ConfirmNotRunAt: k.confirmNotRunAt,
		AttemptsPerRun: func(r zinniayoke.RouteName) zinniayoke.Tokens {
			if route, ok := k.bundle().Routes[r]; ok {
				return 1 + route.ChildCalls
			}
			return 1
		},
	})
}

// runAt runs a request on the node, which must own the key of the request.
func (k *keyOwnerClient) runAt(ctx context.Context, node zinniayoke.NodeID, c *zinniayoke.Call) (*zinniayoke.Reply, error) {
	if node == k.self {
		return k.run(ctx, c), nil
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.RunAtOwner(ctx, u.PeerAddress, c)
}

// confirmNotRunAt asks a node whether the request of a key certainly did not run.
func (k *keyOwnerClient) confirmNotRunAt(ctx context.Context, node zinniayoke.NodeID, key zinniayoke.Key) (bool, error) {
	if node == k.self {
		return k.executor.ConfirmNotRun(ctx, key), nil
	}
	u, ok := k.view.Find(node)
	if !ok {
		return false, &UnknownNodeError{Node: node}
	}
	return k.client.ConfirmNotRun(ctx, u.PeerAddress, key)
}

// run runs a request whose key this node owns.
func (k *keyOwnerClient) run(ctx context.Context, c *zinniayoke.Call) *zinniayoke.Reply {
	bundle := k.bundle()
	if bundle == nil {
		reply := newUnknownReply(c, zinniayoke.ReasonNotReady, "no bundle is in force at the keeper yet")
		reply.Unused = c.Tokens
		return reply
	}
	route, ok := bundle.Routes[c.Route]
	if !ok {
		return newUnknownReply(c, zinniayoke.ReasonNoRoute, "the bundle of the keeper has no such route")
	}
	return k.executor.Run(ctx, c, route)
}

// ReleaseKey asks the key owner in a caller's old home failure domain to release a
// key.
func (k *keyOwnerClient) ReleaseKey(ctx context.Context, old zinniayoke.Domain, key zinniayoke.Key) (*zykeyowner.ReleaseReply, error) {
	node := zyidempotency.OwnerOf(zyidempotency.SlotOf(old, key), k.view.KeyOwners(old))
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.ReleaseKey(ctx, u.PeerAddress, key)
}

// PromiseEpoch asks a node, which may be this one, for its key records of the slots
// and for the promise to refuse older epochs.
func (k *keyOwnerClient) PromiseEpoch(ctx context.Context, node zinniayoke.NodeID, slots []zinniayoke.KeySlot, epoch zinniayoke.Epoch) (*zykeyowner.PromiseReply, error) {
	if node == k.self {
		return k.promiseHandler.PromiseEpoch(slots, epoch), nil
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.PromiseEpoch(ctx, u.PeerAddress, &zypeer.PromiseArgs{Slots: slots, Epoch: epoch})
}

// ReplicateKey stores the record of a key that is about to run on this host on another
// node.
func (k *keyOwnerClient) ReplicateKey(ctx context.Context, node zinniayoke.NodeID, key zyidempotency.KeyRecord) error {
	u, ok := k.view.Find(node)
	if !ok {
		return &UnknownNodeError{Node: node}
	}
	return k.client.ImportKeys(ctx, u.PeerAddress, &zypeer.ImportKeysArgs{Keys: []zyidempotency.KeyRecord{key}})
}

// Query asks a node, which may be this one, for the state of an attempt.
func (k *keyOwnerClient) Query(ctx context.Context, node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.QueryReply, error) {
	if node == k.self {
		return k.queryLocal(node, id)
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.Query(ctx, u, id)
}

// UnknownNodeError reports that a node is not in the member list.
type UnknownNodeError struct {
	Node zinniayoke.NodeID
}

// Error names the node.
func (e *UnknownNodeError) Error() string {
	return "node " + string(e.Node) + " is unknown"
}

// newUnknownReply returns a reply that leaves open whether the request ran.
func newUnknownReply(c *zinniayoke.Call, reason zinniayoke.Reason, detail string) *zinniayoke.Reply {
	return &zinniayoke.Reply{Request: c.Request, Reason: reason, Outcome: zinniayoke.OutcomeUnknown, Detail: detail}
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
