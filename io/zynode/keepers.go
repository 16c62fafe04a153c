package zynode

import (
	"context"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyclaim"
	"zinniayoke/core/zyhome"
	"zinniayoke/io/zypeer"
)

// keepers finds the keeper of a key, on this node or another. It implements
// zyentry.Keepers and zyhome.Elders.
type keepers struct {
	node   zinniayoke.NodeID
	view   *view
	client *zypeer.Client
	rules  func() *zybundle.Bundle
	home   *zyhome.Home
	memory zyhome.Answerer
	ask    func(id zinniayoke.AttemptID) (*zinniayoke.AskReply, error)
}

const keeperPause = 100 * time.Millisecond

// Run lets the keeper of the key run the request. A keeper that does not answer
// is asked again, or its successor is; the key makes that safe.
func (k *keepers) Run(ctx context.Context, home zinniayoke.Domain, c *zinniayoke.Call) *zinniayoke.Reply {
	last := unknown(c, zinniayoke.ReasonHomeUnreachable, "no node of the caller's home is at hand")
	for ctx.Err() == nil {
		reply, done := k.try(ctx, home, c)
		if done {
			return reply
		}
		if reply != nil {
			last = reply
		}
		sleep(ctx, keeperPause)
	}
	return last
}

// try reports true where the reply is final.
func (k *keepers) try(ctx context.Context, home zinniayoke.Domain, c *zinniayoke.Call) (*zinniayoke.Reply, bool) {
	id := zyclaim.KeeperOf(zyclaim.SlotOf(home, c.Key), k.view.Keepers(home))
	if id == "" {
		return unknown(c, zinniayoke.ReasonHomeUnreachable, "no node of the caller's home is at hand"), true
	}
	if id == k.node {
		reply := k.book(ctx, c)
		return reply, reply.Reason != zinniayoke.ReasonStaleEpoch
	}
	u, ok := k.view.Find(id)
	if !ok {
		return nil, false
	}
	reply, err := k.client.Book(ctx, u.Peer, c)
	if err != nil {
		return unknown(c, zinniayoke.ReasonHomeUnreachable, err.Error()), false
	}
	return reply, reply.Reason != zinniayoke.ReasonStaleEpoch
}

// book runs a request whose key this node keeps.
func (k *keepers) book(ctx context.Context, c *zinniayoke.Call) *zinniayoke.Reply {
	rules := k.rules()
	if rules == nil {
		return unknown(c, zinniayoke.ReasonNotReady, "no bundle is in force at the keeper yet")
	}
	route, ok := rules.Routes[c.Route]
	if !ok {
		return unknown(c, zinniayoke.ReasonNoRoute, "the bundle of the keeper has no such route")
	}
	return k.home.Run(ctx, c, route)
}

// Note reports whether the keeper confirms that the key ran nowhere.
func (k *keepers) Note(ctx context.Context, home zinniayoke.Domain, key zinniayoke.Key) bool {
	id := zyclaim.KeeperOf(zyclaim.SlotOf(home, key), k.view.Keepers(home))
	if id == k.node {
		return k.home.Note(ctx, key)
	}
	u, ok := k.view.Find(id)
	if !ok {
		return false
	}
	confirmed, err := k.client.Note(ctx, u.Peer, key)
	return err == nil && confirmed
}

// Recall asks a node, which may be this one, for a promise.
func (k *keepers) Recall(ctx context.Context, node zinniayoke.NodeID, slots []zinniayoke.Slot, epoch zinniayoke.Epoch) (*zyhome.Recall, error) {
	if node == k.node {
		return k.memory.Recall(slots, epoch), nil
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.Recall(ctx, u.Peer, &zypeer.RecallArgs{Slots: slots, Epoch: epoch})
}

// Ask asks a node, which may be this one, what became of an attempt.
func (k *keepers) Ask(ctx context.Context, node zinniayoke.NodeID, id zinniayoke.AttemptID) (*zinniayoke.AskReply, error) {
	if node == k.node {
		return k.ask(id)
	}
	u, ok := k.view.Find(node)
	if !ok {
		return nil, &UnknownNodeError{Node: node}
	}
	return k.client.Ask(ctx, u, id)
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
