package zyingress_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyingress"
)

// TestDeparturesInAnyOrder guards against a worker that a new process of its node uses although
// an earlier one has acknowledged that it leaves, whatever arrives before and after the new
// process learns of it, and against a later run that is held for the one that left.
func TestDeparturesInAnyOrder(t *testing.T) {
	announcement := func(incarnation, sequence int, state zinniayoke.WorkerState) zyingress.Announcement {
		return zyingress.Announcement{
			Service: "s", Address: "10.0.0.1:80", Slots: 1, Connections: 1, State: state,
			Incarnation: zinniayoke.Incarnation(incarnation), Sequence: uint64(sequence), Instance: "i",
		}
	}
	const serving, draining, gone = zinniayoke.WorkerServing, zinniayoke.WorkerDraining, zinniayoke.WorkerGone
	probed := announcement(0, 0, serving)
	final := zinniayoke.Departure{Instance: "i", Incarnation: 5}
	left := zinniayoke.Departure{Instance: "i", Incarnation: 5, Sequence: 9}
	unnamed := zinniayoke.Departure{Incarnation: 5} // Other nodes know no instance.
	var others []zinniayoke.Departure               // Of runs that have left before or since.
	for i := range 1000 {
		others = append(others, zinniayoke.Departure{Instance: zinniayoke.Instance(fmt.Sprint("other", i)), Incarnation: zinniayoke.Incarnation(i + 1)})
	}
	for _, c := range []struct {
		name       string
		before     []zyingress.Announcement
		departures []zinniayoke.Departure
		after      []zyingress.Announcement
		want       zinniayoke.WorkerState
	}{
		{"nothing is known", nil, nil, nil, gone},
		{"it had not left", []zyingress.Announcement{probed}, nil, nil, serving},
		{"found before", []zyingress.Announcement{probed}, []zinniayoke.Departure{final}, nil, draining},
		{"found after", nil, []zinniayoke.Departure{final}, []zyingress.Announcement{probed}, draining},
		{"late heartbeats before", []zyingress.Announcement{announcement(5, 7, serving), announcement(5, 8, serving)}, []zinniayoke.Departure{left}, nil, draining},
		{"late heartbeats after", nil, []zinniayoke.Departure{left}, []zyingress.Announcement{announcement(5, 7, serving), announcement(5, 8, serving)}, draining},
		{"late heartbeats around", []zyingress.Announcement{announcement(5, 8, serving)}, []zinniayoke.Departure{left}, []zyingress.Announcement{announcement(5, 7, serving)}, draining},
		{"any heartbeat after a DELETE", nil, []zinniayoke.Departure{final}, []zyingress.Announcement{announcement(5, 99, serving), announcement(5, 100, serving)}, draining},
		{"heartbeat after it drained and went on", nil, []zinniayoke.Departure{left}, []zyingress.Announcement{announcement(5, 10, serving)}, serving},
		{"drained, then DELETE", nil, []zinniayoke.Departure{left, final}, []zyingress.Announcement{announcement(5, 10, serving)}, draining},
		{"earlier run", nil, []zinniayoke.Departure{left}, []zyingress.Announcement{announcement(4, 99, serving)}, draining},
		{"later run", nil, []zinniayoke.Departure{final}, []zyingress.Announcement{probed, announcement(6, 1, serving)}, serving},
		{"later run, then a late heartbeat", nil, []zinniayoke.Departure{final}, []zyingress.Announcement{announcement(6, 1, serving), announcement(5, 99, serving)}, serving},
		{"later run before", []zyingress.Announcement{announcement(6, 1, serving)}, []zinniayoke.Departure{final}, nil, serving},
		{"from other nodes", []zyingress.Announcement{announcement(5, 7, serving)}, []zinniayoke.Departure{unnamed}, nil, draining},
		{"from other nodes, later run", []zyingress.Announcement{announcement(6, 7, serving)}, []zinniayoke.Departure{unnamed}, nil, serving},
		{"another instance", nil, []zinniayoke.Departure{{Instance: "j", Incarnation: 9}}, []zyingress.Announcement{announcement(5, 1, serving)}, serving},
		{"many others after it", nil, append([]zinniayoke.Departure{final}, others...), []zyingress.Announcement{announcement(5, 7, serving), announcement(5, 8, serving)}, draining},
		{"many others before it", nil, append(slices.Clone(others), final), []zyingress.Announcement{announcement(5, 7, serving), announcement(5, 8, serving)}, draining},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarnessWithoutWorker(func(cfg *zyingress.Config) { cfg.AwaitRecall = true })
			defer h.stop()
			announce := func(list []zyingress.Announcement) {
				for _, a := range list {
					// Announcements of an earlier run return an error, which is expected.
					_, _ = h.HandleAnnouncement(a, func(zyingress.Announcement) zinniayoke.Worker { return h.worker })
				}
			}
			announce(c.before)
			if _, state := h.Worker(); state != gone {
				t.Errorf("%s: before the departures are known, the state is %s", c.name, state)
			}
			if reply := h.Run(t.Context(), &zinniayoke.Attempt{ID: "a", Service: "s", Timeout: time.Second}); reply.Outcome != zinniayoke.OutcomeNotRun {
				t.Errorf("%s: before the departures are known, a call got %+v", c.name, reply)
			}
			h.Recall(c.departures)
			announce(c.after)
			if _, state := h.Worker(); state != c.want {
				t.Errorf("%s: the state is %s, want %s", c.name, state, c.want)
			}
		})
	}
}
