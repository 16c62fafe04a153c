package zyagreement_test

import (
	"errors"
	"testing"

	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
)

// TestForgedRecordsAreRejected applies records that only one check of the reader
// rejects. Without that check, each would put a bundle into force that lost a race or
// is not properly signed and approved.
func TestForgedRecordsAreRejected(t *testing.T) {
	v1, v2a, v2b := bundleText(1, 0, "alice", "bob"), bundleText(2, 1, "alice", "bob"), bundleText(2, 2, "alice", "bob")
	h1 := zybundle.HashOf(v1)
	base := [][]byte{
		proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "alice"),
		proposal(v2a, 2, "alice"), proposal(v2b, 2, "bob"), signOff(v2a, 2, "bob"), signOff(v2b, 2, "alice"),
		rollOut(v2a, 2, h1, "alice"),
	}
	t.Run("parent check off", func(t *testing.T) {
		// Version 3 is valid after version 2, but its author had seen version 1 only. That
		// of another author, who has seen version 2, shows that nothing else rejects it.
		v3 := bundleText(3, 3, "alice", "bob")
		for _, c := range []struct {
			name         string
			parent, want zybundle.Hash
		}{
			{"the parent has been replaced", h1, zybundle.HashOf(v2a)},
			{"the parent is in force", zybundle.HashOf(v2a), zybundle.HashOf(v3)},
		} {
			s := zyagreement.NewState(genesis())
			_ = apply(s, base...)
			_ = apply(s, proposal(v3, 3, "alice"), signOff(v3, 3, "bob"))
			err := apply(s, rollOut(v3, 3, c.parent, "alice"))
			var lost *zyagreement.LostRaceError
			if s.Hash() != c.want || errors.As(err, &lost) != (c.want != zybundle.HashOf(v3)) {
				t.Errorf("%s: %s is in force (%v), want %s", c.name, s.Hash(), err, c.want)
			}
		}
	})
	t.Run("checkpoint trusted unsigned", func(t *testing.T) {
		s := zyagreement.NewState(genesis())
		_ = apply(s, base...)
		for name, forge := range map[string]func(*zyagreement.Link){
			"sign-offs taken out":      func(l *zyagreement.Link) { l.SignOffs = nil },
			"sign-off by the author":   func(l *zyagreement.Link) { l.SignOffs[0].Author = l.Proposal.Author },
			"another text":             func(l *zyagreement.Link) { l.Proposal.Text = v2b },
			"another text and hash":    func(l *zyagreement.Link) { l.Proposal.Text, l.Proposal.Hash = v2b, zybundle.HashOf(v2b) },
			"roll-out of another":      func(l *zyagreement.Link) { l.RollOut.Hash = zybundle.HashOf(v2b) },
			"signature changed":        func(l *zyagreement.Link) { l.RollOut.Signature[0] ^= 1 },
			"a proposal as a roll-out": func(l *zyagreement.Link) { l.RollOut = l.Proposal },
		} {
			link := s.Lineage()[len(s.Lineage())-1]
			link.SignOffs = append([]zyagreement.Entry(nil), link.SignOffs...)
			link.RollOut.Signature = append([]byte(nil), link.RollOut.Signature...)
			forge(&link)
			fresh := zyagreement.NewState(genesis())
			if changed, err := fresh.AdoptLineage(zyagreement.Lineage{link}); changed || err == nil {
				t.Errorf("%s: the lineage was adopted as version %d", name, fresh.Version())
			}
		}
	})
}

// FuzzApply checks that no single record can put a proposal into force without a sign-off.
func FuzzApply(f *testing.F) {
	v1 := bundleText(1, 0, "alice", "bob")
	f.Add(proposal(v1, 1, "alice"))
	f.Add(rollOut(v1, 1, "", "alice"))
	f.Add([]byte(`{"kind":3,"lineage":[{}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := zyagreement.NewState(genesis())
		_ = apply(s, proposal(v1, 1, "alice"), body)
		if s.Version() != 0 {
			t.Fatal("a record without a sign-off put a bundle into force")
		}
	})
}
