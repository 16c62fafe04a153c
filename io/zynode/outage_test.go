package zynode_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/io/zylog"
	"zinniayoke/io/zynode"
	"zinniayoke/io/zyoperator"
	"zinniayoke/io/zystandin"
)

func (s *cluster) operator(name string) *zyoperator.Operator {
	return zyoperator.New(zyoperator.Config{
		Log: zylog.NewClient(zylog.ClientConfig{Address: s.logAddress}), Genesis: genesis(), Name: name, Key: privateKey(name),
	})
}

func versionOf(n *zynode.Node) int {
	if bundle := n.Bundle(); bundle != nil {
		return int(bundle.Version)
	}
	return 0
}

// sendWithKey sends a request with a key and returns its status and outcome.
func (s *cluster) sendWithKey(n *zynode.Node, key string) (int, string) {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+n.Addresses().Caller+"/call/s/x", strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Zinniayoke-Outcome")
}

// TestKeyedCallsDuringLogOutage makes the shared log unavailable: calls with keys
// still run, a new node gets the bundle from its peers, and the next version comes
// into force once the log is available again.
func TestKeyedCallsDuringLogOutage(t *testing.T) {
	s := newCluster(t)
	first, second := s.add("first"), s.add("second")
	s.rollOut(bundleText(1))
	s.worker(second, http.HandlerFunc(respond))
	s.waitFor("the worker is known", func() bool { return first.Ready() == nil && second.Ready() == nil && first.ServingWorkers() == 1 })
	s.log.SetFaults(zystandin.LogFaults{Down: true})
	if status, outcome := s.sendWithKey(first, "k1"); status != http.StatusOK || outcome != "done" {
		t.Errorf("call with a key without the log: %d %s", status, outcome)
	}
	third := s.add("third")
	s.waitFor("the new node has got the bundle from its peers", func() bool { return versionOf(third) == 1 })
	s.waitFor("the new node knows the worker", func() bool { return third.ServingWorkers() == 1 })
	if status, outcome := s.sendWithKey(third, "k1"); status != http.StatusOK || outcome != "done" {
		t.Errorf("retry of the call at the new node: %d %s", status, outcome)
	}
	if _, err := s.operator("alice").Propose(context.Background(), "b", bundleText(2)); err == nil {
		t.Error("a proposal without the log was accepted")
	}
	s.log.SetFaults(zystandin.LogFaults{})
	s.rollOut(bundleText(2))
	s.waitFor("version 2 is in force on all nodes", func() bool {
		return versionOf(first) == 2 && versionOf(second) == 2 && versionOf(third) == 2
	})
}

// TestExpiredLogRecords lets the records of the roll-out expire without a checkpoint: a
// node that can read only the later ones has to get the bundle from its peers.
func TestExpiredLogRecords(t *testing.T) {
	s := newCluster(t)
	first := s.add("first")
	s.rollOut(bundleText(1))
	s.waitFor("version 1 is in force", func() bool { return versionOf(first) == 1 })
	s.log.SetFaults(zystandin.LogFaults{RetainedRecords: 1})
	s.log.Append(zinniayoke.BundleStream, "last", []byte("garbage"))
	if _, err := s.operator("alice").Propose(context.Background(), "b", bundleText(2)); !errors.Is(err, zyoperator.ErrHistoryMissing) {
		t.Errorf("proposal by an operator who cannot read the expired records: %v", err)
	}
	late := s.add("late")
	s.waitFor("the late node has version 1", func() bool { return versionOf(late) == 1 })
}

// TestLostAppendReplies loses the replies to appends that took effect: the operator's
// retries neither write a record twice nor lose one.
func TestLostAppendReplies(t *testing.T) {
	s := newCluster(t)
	s.log.SetFaults(zystandin.LogFaults{LoseAppendResponses: true})
	s.rollOut(bundleText(1))
	if n := s.log.AppendCount(); n != 3 {
		t.Errorf("%d records for a proposal, a sign-off and a roll-out, want 3", n)
	}
	state, _, err := s.operator("alice").ReadState(context.Background())
	if err != nil || state.Version() != 1 {
		t.Errorf("version %d, %v", state.Version(), err)
	}
}

// TestConcurrentRollOuts lets two operators roll out different bundles of the same
// version: exactly one succeeds, and the other gets an error that states the reason.
func TestConcurrentRollOuts(t *testing.T) {
	s := newCluster(t)
	s.rollOut(bundleText(1))
	ctx := context.Background()
	mine, theirs := bundleText(2), append(bundleText(2), "# another\n"...)
	alice, bob := s.operator("alice"), s.operator("bob")
	a, err := alice.Propose(ctx, "a", mine)
	if err != nil {
		t.Fatal(err)
	}
	b, err := bob.Propose(ctx, "b", theirs)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(bob.SignOff(ctx, a), alice.SignOff(ctx, b)); err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 2)
	go func() { _, err := alice.RollOut(ctx, a); results <- err }()
	go func() { _, err := bob.RollOut(ctx, b); results <- err }()
	first, second := <-results, <-results
	if (first == nil) == (second == nil) {
		t.Fatalf("want exactly one successful roll-out: %v, %v", first, second)
	}
	loser := errors.Join(first, second)
	var lost *zyagreement.LostRaceError
	var unknown *zyoperator.UnknownProposalError
	if !errors.As(loser, &lost) && !errors.As(loser, &unknown) {
		t.Errorf("error of the failed roll-out: %v", loser)
	}
}

// TestPlannedStopOfKeyOwner stops the owners of some keys as planned: retries of all
// keys get the responses of their first and only runs.
func TestPlannedStopOfKeyOwner(t *testing.T) {
	s := newCluster(t)
	nodes := []*zynode.Node{s.add("a"), s.add("b"), s.add("c"), s.add("d")}
	s.rollOut(bundleText(1))
	runs := make(chan string, 1000)
	s.worker(nodes[3], http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs <- r.Header.Get("Zinniayoke-Key")
		respond(w, r)
	}))
	s.waitFor("the worker is known", func() bool { return nodes[0].Ready() == nil && nodes[0].ServingWorkers() == 1 })
	keys := strings.Fields(strings.Repeat("x ", 20))
	for i := range keys {
		keys[i] = "key-" + string(rune('a'+i))
		if status, outcome := s.sendWithKey(nodes[0], keys[i]); status != http.StatusOK || outcome != "done" {
			t.Fatalf("%s: %d %s", keys[i], status, outcome)
		}
	}
	for _, i := range []int{2, 1} {
		if err := s.apps[i].Stop(context.Background()); err != nil {
			t.Errorf("stopping node %d: %v", i, err)
		}
		s.apps = append(s.apps[:i], s.apps[i+1:]...)
	}
	time.Sleep(100 * time.Millisecond)
	for _, key := range keys {
		if status, outcome := s.sendWithKey(nodes[0], key); status != http.StatusOK || outcome != "done" {
			t.Errorf("retry of %s after its key owner stopped: %d %s", key, status, outcome)
		}
	}
	if n := len(runs); n != len(keys) {
		t.Errorf("%d runs for %d keys", n, len(keys))
	}
}
