package zyingress_test

import (
	"testing"
	"testing/synctest"

	"zinniayoke"
	"zinniayoke/core/zyingress"
)

func TestAnnouncementsInAnyOrder(t *testing.T) {
	say := func(born, seq int, state zinniayoke.WorkerState) zyingress.Announcement {
		return zyingress.Announcement{
			Service: "s", Address: "a", Slots: 1, Connections: 1, State: state,
			Incarnation: zinniayoke.Incarnation(born), Sequence: uint64(seq), Instance: zinniayoke.Instance(rune('a' + born)),
		}
	}
	const serving, draining, gone = zinniayoke.WorkerServing, zinniayoke.WorkerDraining, zinniayoke.WorkerGone
	found := zyingress.Announcement{Service: "s", Address: "a", Slots: 1, Connections: 1, State: serving, Instance: "b"}
	leave := zyingress.Announcement{State: gone, Instance: "b"}
	for _, c := range []struct {
		name string
		said []zyingress.Announcement
		want zinniayoke.WorkerState
	}{
		{"serving", []zyingress.Announcement{say(1, 1, serving)}, serving},
		{"drains", []zyingress.Announcement{say(1, 1, serving), say(1, 2, draining)}, draining},
		{"late word of serving", []zyingress.Announcement{say(1, 1, serving), say(1, 3, draining), say(1, 2, serving)}, draining},
		{"late word of an earlier start", []zyingress.Announcement{say(2, 1, serving), say(1, 9, draining)}, serving},
		{"late serving of an earlier start", []zyingress.Announcement{say(2, 1, draining), say(1, 9, serving)}, draining},
		{"counts start anew", []zyingress.Announcement{say(1, 9, draining), say(2, 1, serving)}, serving},
		{"left", []zyingress.Announcement{say(1, 1, serving), leave}, draining},
		{"left, then a later heartbeat", []zyingress.Announcement{say(1, 1, serving), leave, say(1, 2, serving)}, draining},
		{"left, then the next start", []zyingress.Announcement{say(1, 1, serving), leave, say(2, 1, serving)}, serving},
		{"another one left", []zyingress.Announcement{say(2, 1, serving), leave}, serving},
		{"found, then heard", []zyingress.Announcement{found, say(1, 5, serving)}, serving},
		{"found, then drains", []zyingress.Announcement{found, say(1, 5, draining)}, draining},
		{"heard, then found", []zyingress.Announcement{say(1, 5, draining), found}, draining},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(1)
			defer b.end()
			b.started = 0
			for _, a := range c.said {
				// The error of an old announcement is part of the case.
				_, _ = b.HandleAnnouncement(a, func(zyingress.Announcement) zinniayoke.Worker { return b.worker })
			}
			if _, state := b.Worker(); state != c.want {
				t.Errorf("%s: %s, want %s", c.name, state, c.want)
			}
		})
	}
}
