package zynode_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx"

	"zinniayoke"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zysettings"
	"zinniayoke/io/zynode"
)

// groups is a meeting place that shows each node at first only its own group.
type groups struct {
	mu    sync.Mutex
	all   []string
	apart bool
}

type groupView struct {
	*groups
	group int
}

func (g groupView) Announce(_ context.Context, _ zinniayoke.NodeID, peer string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, peer)
	return nil
}

func (g groupView) Find(context.Context) ([]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.apart {
		return append([]string(nil), g.all...), nil
	}
	var own []string
	for i, a := range g.all {
		if i/2 == g.group {
			own = append(own, a)
		}
	}
	return own, nil
}

// noBundles is a platform that has decided on nothing yet.
type noBundles struct{}

func (noBundles) Watch(ctx context.Context, _ func(*zybundle.Bundle), _ func(error)) { <-ctx.Done() }

func (noBundles) Decode([]byte) (*zybundle.Bundle, error) { return nil, errors.New("no bundle") }

// TestGroupsMeet starts two groups of nodes that find only each other at first,
// as nodes that start at the same moment do.
func TestGroupsMeet(t *testing.T) {
	const anyPort = "127.0.0.1:0"
	place := &groups{apart: true}
	var nodes []*zynode.Node
	for i := range 4 {
		settings := &zysettings.Settings{
			Host: string(rune('a' + i)), Place: zinniayoke.Place{Domain: "d", Region: "r"}, PeerKey: make([]byte, 32),
			Listen:  zysettings.Listen{Caller: anyPort, Upstream: anyPort, Peer: anyPort, Admin: anyPort},
			Logging: zysettings.Logging{Level: "error", Format: "json"},
		}
		var node *zynode.Node
		app := zynode.App(zynode.Config{
			Settings: settings, Output: io.Discard, Period: 100 * time.Millisecond,
			Edges: zynode.Edges{Bundles: noBundles{}, Meeting: groupView{groups: place, group: i / 2}},
		}, fx.Populate(&node))
		if err := app.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Abort)
		nodes = append(nodes, node)
	}
	waitFor(t, "each group is complete", func() bool { return known(nodes, 2) })
	place.mu.Lock()
	place.apart = false
	place.mu.Unlock()
	waitFor(t, "the groups have met", func() bool { return known(nodes, 4) })
}

func known(nodes []*zynode.Node, want int) bool {
	for _, n := range nodes {
		if len(n.State().Members) < want {
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 6000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not in a minute: %s", what)
}
