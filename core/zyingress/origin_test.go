package zyingress_test

import (
	"errors"
	"testing"
	"testing/synctest"

	"zinniayoke"
	"zinniayoke/core/zyingress"
)

// TestForeignRunReplacesWorker guards against a heartbeat of another writer that takes the place
// of the worker, and against a rule so strict that the next run of the worker is never used.
func TestForeignRunReplacesWorker(t *testing.T) {
	errNoAnswer := errors.New("no answer")
	heartbeat := func(instance string, incarnation, sequence int, state zinniayoke.WorkerState) zyingress.Announcement {
		return zyingress.Announcement{
			Service: "s", Address: "10.0.0.1:80", Slots: 1, Connections: 1, State: state,
			Incarnation: zinniayoke.Incarnation(incarnation), Sequence: uint64(sequence), Instance: zinniayoke.Instance(instance),
		}
	}
	const serving, draining, gone = zinniayoke.WorkerServing, zinniayoke.WorkerDraining, zinniayoke.WorkerGone
	known, probed := heartbeat("a", 5, 1, serving), heartbeat("a", 0, 0, serving)
	otherService := heartbeat("a", 5, 9, draining)
	otherService.Service = "t"
	exit := zyingress.Announcement{Instance: "a", State: gone}
	for _, c := range []struct {
		name  string
		first []zyingress.Announcement // The worker names "a" meanwhile.
		next  zyingress.Announcement
		names string // What the worker names then, "" for no answer.
		want  zinniayoke.Instance
		state zinniayoke.WorkerState
		asked bool
	}{
		{"the worker names itself", []zyingress.Announcement{known}, heartbeat("b", 6, 1, draining), "a", "a", serving, true},
		{"the worker names the next run", []zyingress.Announcement{known}, heartbeat("b", 6, 1, serving), "b", "b", serving, true},
		{"the worker does not answer", []zyingress.Announcement{known}, heartbeat("b", 6, 1, serving), "", "a", serving, true},
		{"the worker has left and does not answer", []zyingress.Announcement{known, exit}, heartbeat("b", 6, 1, serving), "", "b", serving, true},
		{"the worker has left, a foreign run", []zyingress.Announcement{known, exit}, heartbeat("b", 6, 1, serving), "a", "a", draining, true},
		{"the worker has left, the clock was set back", []zyingress.Announcement{known, exit}, heartbeat("b", 4, 1, serving), "b", "b", serving, true},
		{"late heartbeat of an earlier run", []zyingress.Announcement{known}, heartbeat("b", 4, 9, draining), "a", "a", serving, false},
		{"the same start", []zyingress.Announcement{known}, heartbeat("b", 5, 9, draining), "a", "a", serving, true},
		{"found by a health check", []zyingress.Announcement{probed}, heartbeat("b", 6, 1, draining), "a", "a", serving, true},
		{"found by a health check, then announced", []zyingress.Announcement{probed}, heartbeat("a", 6, 4, serving), "a", "a", serving, false},
		{"nothing is known", nil, heartbeat("b", 6, 1, serving), "a", "", zinniayoke.WorkerGone, true},
		{"nothing is known and the worker does not answer", nil, heartbeat("b", 6, 1, serving), "", "b", serving, true},
		{"started again under its id", []zyingress.Announcement{known}, heartbeat("a", 6, 1, serving), "a", "a", serving, false},
		{"another service of the same run", []zyingress.Announcement{known}, otherService, "a", "a", serving, false},
		{"another service of the same run came first", []zyingress.Announcement{otherService}, known, "a", "a", serving, false},
		{"end of another run", []zyingress.Announcement{known}, zyingress.Announcement{Instance: "b", State: gone}, "a", "a", serving, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			names, asked := "a", false
			h := newHarnessWithoutWorker(func(cfg *zyingress.Config) {
				cfg.Service = "s"
				cfg.Identify = func(zinniayoke.Service) (zinniayoke.Instance, error) {
					asked = true
					if names == "" {
						return "", errNoAnswer
					}
					return zinniayoke.Instance(names), nil
				}
			})
			defer h.stop()
			connect := func(zyingress.Announcement) zinniayoke.Worker { return h.worker }
			for _, a := range c.first {
				if _, err := h.HandleAnnouncement(a, connect); err != nil {
					t.Fatalf("%s: %v", c.name, err)
				}
			}
			names, asked = c.names, false
			_, err := h.HandleAnnouncement(c.next, connect)
			if typed := (*zyingress.AnnouncementError)(nil); err != nil && !errors.As(err, &typed) {
				t.Errorf("%s: got error %v, want an *AnnouncementError", c.name, err)
			}
			last, state := h.Worker()
			if last.Instance != c.want || state != c.state || asked != c.asked {
				t.Errorf("%s: instance %q, state %s, asked %t; want %q, %s, %t", c.name, last.Instance, state, asked, c.want, c.state, c.asked)
			}
		})
	}
}
