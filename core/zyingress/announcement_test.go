package zyingress_test

import (
	"testing"
	"testing/synctest"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyingress"
)

// TestLastingOrderOfHeartbeats guards against a worker that is never used again because one
// heartbeat had a start or a sequence that it does not reach itself, and against late heartbeats
// that count.
func TestLastingOrderOfHeartbeats(t *testing.T) {
	heartbeat := func(incarnation, sequence int, state zinniayoke.WorkerState) zyingress.Announcement {
		return zyingress.Announcement{
			Service: "s", Address: "10.0.0.1:80", Slots: 1, Connections: 1, State: state,
			Incarnation: zinniayoke.Incarnation(incarnation), Sequence: uint64(sequence), Instance: "a",
		}
	}
	const serving, draining, gone = zinniayoke.WorkerServing, zinniayoke.WorkerDraining, zinniayoke.WorkerGone
	exit := zyingress.Announcement{State: gone, Instance: "a"}
	for _, c := range []struct {
		name  string
		odd   []zyingress.Announcement
		after time.Duration
		state zinniayoke.WorkerState
		used  bool
	}{
		{"later start", []zyingress.Announcement{heartbeat(9, 1, serving)}, zyingress.MaxHeartbeatDelay + time.Second, serving, true},
		{"higher sequence", []zyingress.Announcement{heartbeat(1, 99, serving)}, zyingress.MaxHeartbeatDelay + time.Second, serving, true},
		{"later start, late heartbeat", []zyingress.Announcement{heartbeat(9, 1, serving)}, zyingress.MaxHeartbeatDelay - time.Second, gone, false},
		{"higher sequence, late heartbeat", []zyingress.Announcement{heartbeat(1, 99, serving)}, zyingress.MaxHeartbeatDelay - time.Second, gone, false},
		{"the worker leaves", []zyingress.Announcement{heartbeat(1, 99, draining)}, time.Minute, gone, false},
		{"the worker has left", []zyingress.Announcement{heartbeat(1, 99, serving), exit}, time.Minute, gone, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarnessWithoutWorker()
			defer h.stop()
			connect := func(zyingress.Announcement) zinniayoke.Worker { return h.worker }
			for _, a := range c.odd {
				if _, err := h.HandleAnnouncement(a, connect); err != nil {
					t.Fatalf("%s: %v", c.name, err)
				}
			}
			time.Sleep(c.after)
			_, _ = h.HandleAnnouncement(heartbeat(1, 2, serving), connect) // A late one returns an error.
			known, state := h.Worker()
			if used := known.Incarnation == 1 && known.Sequence == 2; used != c.used || state != c.state {
				t.Errorf("%s: got %+v, state %s; want it to count: %t, state %s", c.name, known, state, c.used, c.state)
			}
		})
	}
}

// TestAnnouncementsInAnyOrder checks the state of a worker after announcements that
// arrive late, in the wrong order or mixed with the result of a probe.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	announcement := func(incarnation, sequence int, state zinniayoke.WorkerState) zyingress.Announcement {
		return zyingress.Announcement{
			Service: "s", Address: "10.0.0.1:80", Slots: 1, Connections: 1, State: state,
			Incarnation: zinniayoke.Incarnation(incarnation), Sequence: uint64(sequence), Instance: zinniayoke.Instance(rune('a' + incarnation)),
		}
	}
	const serving, draining, gone = zinniayoke.WorkerServing, zinniayoke.WorkerDraining, zinniayoke.WorkerGone
	probed := zyingress.Announcement{Service: "s", Address: "10.0.0.1:80", Slots: 1, Connections: 1, State: serving, Instance: "b"}
	leaving := probed
	leaving.State = draining
	exit := zyingress.Announcement{State: gone, Instance: "b"}
	for _, c := range []struct {
		name          string
		announcements []zyingress.Announcement
		want          zinniayoke.WorkerState
	}{
		{"serving", []zyingress.Announcement{announcement(1, 1, serving)}, serving},
		{"draining", []zyingress.Announcement{announcement(1, 1, serving), announcement(1, 2, draining)}, draining},
		{"late serving of the same run", []zyingress.Announcement{announcement(1, 1, serving), announcement(1, 3, draining), announcement(1, 2, serving)}, draining},
		{"late draining of an earlier run", []zyingress.Announcement{announcement(2, 1, serving), announcement(1, 9, draining)}, serving},
		{"late serving of an earlier run", []zyingress.Announcement{announcement(2, 1, draining), announcement(1, 9, serving)}, draining},
		{"sequence restarts with the next run", []zyingress.Announcement{announcement(1, 9, draining), announcement(2, 1, serving)}, serving},
		{"exit", []zyingress.Announcement{announcement(1, 1, serving), exit}, draining},
		{"exit, then a later heartbeat", []zyingress.Announcement{announcement(1, 1, serving), exit, announcement(1, 2, serving)}, draining},
		{"exit, then the next run", []zyingress.Announcement{announcement(1, 1, serving), exit, announcement(2, 1, serving)}, serving},
		{"exit of another run", []zyingress.Announcement{announcement(2, 1, serving), exit}, serving},
		{"probed, then announced", []zyingress.Announcement{probed, announcement(1, 5, serving)}, serving},
		{"probed, then draining", []zyingress.Announcement{probed, announcement(1, 5, draining)}, draining},
		{"probed while it drains, then a late heartbeat", []zyingress.Announcement{leaving, announcement(1, 5, serving)}, draining},
		{"probed while it seems to drain, then heartbeats", []zyingress.Announcement{leaving, announcement(1, 5, serving), announcement(1, 6, serving)}, serving},
		{"probed while it drains, then the next run", []zyingress.Announcement{leaving, announcement(1, 5, draining), announcement(2, 1, serving)}, serving},
		{"probed, exit, then a late heartbeat", []zyingress.Announcement{probed, exit, announcement(1, 5, serving)}, draining},
		{"exit, then the first heartbeats that this node gets", []zyingress.Announcement{exit, announcement(1, 5, serving), announcement(1, 6, serving)}, draining},
		{"exit, then the next run as the first that this node gets", []zyingress.Announcement{exit, announcement(2, 1, serving)}, serving},
		{"exit, a late heartbeat, then the next run", []zyingress.Announcement{exit, announcement(1, 5, serving), announcement(2, 1, serving)}, serving},
		{"announced, then probed", []zyingress.Announcement{announcement(1, 5, draining), probed}, draining},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarnessWithoutWorker()
			defer h.stop()
			for _, a := range c.announcements {
				// Announcements of an earlier run return an error, which is expected.
				_, _ = h.HandleAnnouncement(a, func(zyingress.Announcement) zinniayoke.Worker { return h.worker })
			}
			if _, state := h.Worker(); state != c.want {
				t.Errorf("%s: worker state is %s, want %s", c.name, state, c.want)
			}
		})
	}
}
