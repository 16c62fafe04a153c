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

func (s *site) operator(name string) *zyoperator.Operator {
	return zyoperator.New(zyoperator.Config{
		Log: zylog.NewClient(zylog.ClientConfig{Address: s.logAt}), Genesis: genesis(), Name: name, Key: keyOf(name),
	})
}

func versionOf(n *zynode.Node) int {
	if rules := n.Rules(); rules != nil {
		return int(rules.Version)
	}
	return 0
}

// book sends a request with a key and returns its status and outcome.
func (s *site) book(n *zynode.Node, key string) (int, string) {
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

// TestLogOutageStopsNoBooking takes the log away: bookings go on, a new node
// takes the bundle from its peers, and the next version comes in once it is back.
func TestLogOutageStopsNoBooking(t *testing.T) {
	s := newSite(t)
	first, second := s.add("first"), s.add("second")
	s.roll(bundleText(1))
	s.worker(second, http.HandlerFunc(answer))
	s.await("the worker is known", func() bool { return first.Ready() == nil && second.Ready() == nil && first.ServingWorkers() == 1 })
	s.log.SetFaults(zystandin.LogFaults{Down: true})
	if status, outcome := s.book(first, "k1"); status != http.StatusOK || outcome != "done" {
		t.Errorf("a booking without the log: %d %s", status, outcome)
	}
	third := s.add("third")
	s.await("the new node has the bundle of its peers", func() bool { return versionOf(third) == 1 })
	s.await("the new node knows the worker", func() bool { return third.ServingWorkers() == 1 })
	if status, outcome := s.book(third, "k1"); status != http.StatusOK || outcome != "done" {
		t.Errorf("the booking again at a new node: %d %s", status, outcome)
	}
	if _, err := s.operator("alice").Propose(context.Background(), "b", bundleText(2)); err == nil {
		t.Error("a proposal without the log was taken")
	}
	s.log.SetFaults(zystandin.LogFaults{})
	s.roll(bundleText(2))
	s.await("version 2 is in force on all", func() bool {
		return versionOf(first) == 2 && versionOf(second) == 2 && versionOf(third) == 2
	})
}

// TestLogThatForgets lets the records expire behind a checkpoint's back: a node
// that can read only the rest has to take the bundle from its peers.
func TestLogThatForgets(t *testing.T) {
	s := newSite(t)
	first := s.add("first")
	s.roll(bundleText(1))
	s.await("version 1 is in force", func() bool { return versionOf(first) == 1 })
	s.log.SetFaults(zystandin.LogFaults{RetainedRecords: 1})
	s.log.Append(zinniayoke.BundleStream, "last", []byte("garbage"))
	if _, err := s.operator("alice").Propose(context.Background(), "b", bundleText(2)); !errors.Is(err, zyoperator.ErrHistoryMissing) {
		t.Errorf("an operator who sees only the rest of the log was told %v", err)
	}
	late := s.add("late")
	s.await("the late node has version 1", func() bool { return versionOf(late) == 1 })
}

// TestLostAnswers loses the answers of appends after they took effect: nothing
// is written twice, and nothing is lost.
func TestLostAnswers(t *testing.T) {
	s := newSite(t)
	s.log.SetFaults(zystandin.LogFaults{LoseAppendResponses: true})
	s.roll(bundleText(1))
	if n := s.log.AppendCount(); n != 3 {
		t.Errorf("%d records for a proposal, a sign-off and a roll-out", n)
	}
	state, _, err := s.operator("alice").ReadState(context.Background())
	if err != nil || state.Version() != 1 {
		t.Errorf("version %d, %v", state.Version(), err)
	}
}

// TestOperatorsRace lets two operators roll different versions out.
func TestOperatorsRace(t *testing.T) {
	s := newSite(t)
	s.roll(bundleText(1))
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
		t.Fatalf("not one winner: %v, %v", first, second)
	}
	loser := errors.Join(first, second)
	var lost *zyagreement.LostRaceError
	var unknown *zyoperator.UnknownProposalError
	if !errors.As(loser, &lost) && !errors.As(loser, &unknown) {
		t.Errorf("the loser was told %v", loser)
	}
}

// TestPlannedStopOfAKeeper stops the keepers of some keys as planned: re-sends of
// all keys get the answers of their only runs.
func TestPlannedStopOfAKeeper(t *testing.T) {
	s := newSite(t)
	nodes := []*zynode.Node{s.add("a"), s.add("b"), s.add("c"), s.add("d")}
	s.roll(bundleText(1))
	runs := make(chan string, 1000)
	s.worker(nodes[3], http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs <- r.Header.Get("Zinniayoke-Key")
		answer(w, r)
	}))
	s.await("the worker is known", func() bool { return nodes[0].Ready() == nil && nodes[0].ServingWorkers() == 1 })
	keys := strings.Fields(strings.Repeat("x ", 20))
	for i := range keys {
		keys[i] = "key-" + string(rune('a'+i))
		if status, outcome := s.book(nodes[0], keys[i]); status != http.StatusOK || outcome != "done" {
			t.Fatalf("%s: %d %s", keys[i], status, outcome)
		}
	}
	for _, i := range []int{2, 1} {
		if err := s.apps[i].Stop(context.Background()); err != nil {
			t.Errorf("stop: %v", err)
		}
		s.apps = append(s.apps[:i], s.apps[i+1:]...)
	}
	time.Sleep(100 * time.Millisecond)
	for _, key := range keys {
		if status, outcome := s.book(nodes[0], key); status != http.StatusOK || outcome != "done" {
			t.Errorf("%s again after its keeper stopped: %d %s", key, status, outcome)
		}
	}
	if n := len(runs); n != len(keys) {
		t.Errorf("%d runs of %d keys", n, len(keys))
	}
}
