package zyagreement_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var names = []string{"alice", "bob", "carol", "mallory"}

func keyOf(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func publicKeyOf(name string) ed25519.PublicKey {
	public, _ := keyOf(name).Public().(ed25519.PublicKey)
	return public
}

func genesis() zyagreement.ApprovalPolicy {
	return zyagreement.ApprovalPolicy{Approvals: 1, Approvers: map[string]ed25519.PublicKey{
		"alice": publicKeyOf("alice"), "bob": publicKeyOf("bob"), "carol": publicKeyOf("carol"),
	}}
}

// bundleText returns the text of a bundle with the given version and approvers. Texts
// with another salt have another hash.
func bundleText(version, salt int, approvers ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %d\n[bundle]\nversion = %d\napprovals = 1\ndefaultHome = d\n[domain d]\nregion = r\n", salt, version)
	for _, name := range approvers {
		fmt.Fprintf(&b, "[approver %s]\npublicKey = %x\n", name, publicKeyOf(name))
	}
	return []byte(b.String())
}

func sign(e zyagreement.Entry, by string) []byte {
	e.Author = by
	signed, err := e.Sign(keyOf(by))
	if err != nil {
		panic(err)
	}
	body, err := signed.Encode()
	if err != nil {
		panic(err)
	}
	return body
}

func proposal(raw []byte, version int, by string) []byte {
	return sign(zyagreement.Entry{Kind: zyagreement.KindProposal, Hash: zybundle.HashOf(raw), Version: zinniayoke.Version(version), Text: raw}, by)
}

func signOff(raw []byte, version int, by string) []byte {
	return sign(zyagreement.Entry{Kind: zyagreement.KindSignOff, Hash: zybundle.HashOf(raw), Version: zinniayoke.Version(version)}, by)
}

func rollOut(raw []byte, version int, parent zybundle.Hash, by string) []byte {
	return sign(zyagreement.Entry{Kind: zyagreement.KindRollOut, Hash: zybundle.HashOf(raw), Version: zinniayoke.Version(version), Parent: parent}, by)
}

func apply(s *zyagreement.State, bodies ...[]byte) error {
	var last error
	for _, body := range bodies {
		_, last = s.Apply(zinniayoke.Record{Body: body})
	}
	return last
}

// TestRollOutNeedsSignOff guards against a version that comes into force without the
// sign-off of a second approver.
func TestRollOutNeedsSignOff(t *testing.T) {
	v1 := bundleText(1, 0, "alice", "bob")
	for _, c := range []struct {
		name    string
		records [][]byte
		version zinniayoke.Version
	}{
		{"signed off by another", [][]byte{proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "alice")}, 1},
		{"not signed off", [][]byte{proposal(v1, 1, "alice"), rollOut(v1, 1, "", "alice")}, 0},
		{"signed off by its proposer", [][]byte{proposal(v1, 1, "alice"), signOff(v1, 1, "alice"), rollOut(v1, 1, "", "alice")}, 0},
		{"signed off by an unknown approver", [][]byte{proposal(v1, 1, "alice"), signOff(v1, 1, "mallory"), rollOut(v1, 1, "", "alice")}, 0},
		{"proposed by an unknown approver", [][]byte{proposal(v1, 1, "mallory"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "alice")}, 0},
		{"rolled out by an unknown approver", [][]byte{proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "mallory")}, 0},
		{"wrong parent", [][]byte{proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "x", "alice")}, 0},
		{"sign-off before the proposal", [][]byte{signOff(v1, 1, "bob"), proposal(v1, 1, "alice"), rollOut(v1, 1, "", "alice")}, 0},
		{"garbage between", [][]byte{[]byte("{"), proposal(v1, 1, "alice"), nil, signOff(v1, 1, "bob"), []byte("[]"), rollOut(v1, 1, "", "bob")}, 1},
	} {
		s := zyagreement.NewState(genesis())
		_ = apply(s, c.records...)
		if s.Version() != c.version {
			t.Errorf("%s: version %d in force, want %d", c.name, s.Version(), c.version)
		}
	}
}

// TestRacingOperatorsHaveOneWinner has two operators roll out different versions on the
// same parent. The first roll-out in the log wins; the other gets a LostRaceError.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	v1, v2a, v2b := bundleText(1, 0, "alice", "bob"), bundleText(2, 1, "alice", "bob"), bundleText(2, 2, "alice", "bob")
	h1 := zybundle.HashOf(v1)
	s := zyagreement.NewState(genesis())
	if err := apply(s, proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "alice")); err != nil {
		t.Fatal(err)
	}
	if err := apply(s, proposal(v2a, 2, "alice"), proposal(v2b, 2, "bob"), signOff(v2a, 2, "bob"), signOff(v2b, 2, "alice"),
		rollOut(v2b, 2, h1, "bob")); err != nil {
		t.Fatal(err)
	}
	err := apply(s, rollOut(v2a, 2, h1, "alice"))
	var lost *zyagreement.LostRaceError
	if !errors.As(err, &lost) || lost.Winner != zybundle.HashOf(v2b) {
		t.Fatalf("the losing roll-out got %v, want a LostRaceError", err)
	}
	if s.Hash() != zybundle.HashOf(v2b) {
		t.Fatalf("%s is in force, want %s", s.Hash(), zybundle.HashOf(v2b))
	}
}

// TestCheckpointReplacesExpiredRecords checks that a node that knows only the approvers
// from its settings can adopt a checkpoint although the approvers have changed twice, but
// not a lineage that omits those changes.
func TestCheckpointReplacesExpiredRecords(t *testing.T) {
	v1, v2, v3 := bundleText(1, 0, "alice", "bob"), bundleText(2, 0, "bob", "mallory"), bundleText(3, 0, "bob", "mallory")
	s := zyagreement.NewState(genesis())
	err := apply(s, proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "alice"),
		proposal(v2, 2, "alice"), signOff(v2, 2, "bob"), rollOut(v2, 2, zybundle.HashOf(v1), "alice"),
		proposal(v3, 3, "mallory"), signOff(v3, 3, "bob"), rollOut(v3, 3, zybundle.HashOf(v2), "mallory"))
	if err != nil {
		t.Fatal(err)
	}
	fresh := zyagreement.NewState(genesis())
	checkpoint := zyagreement.Entry{Kind: zyagreement.KindCheckpoint, Lineage: s.Lineage()}
	body, err := checkpoint.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := apply(fresh, body); err != nil {
		t.Fatal(err)
	}
	if fresh.Hash() != s.Hash() {
		t.Fatalf("version %d from the checkpoint, want %d", fresh.Version(), s.Version())
	}
	forged := s.Lineage()[2:]
	if changed, err := zyagreement.NewState(genesis()).AdoptLineage(forged); changed || err == nil {
		t.Fatal("a lineage without the change of approvers was adopted")
	}
	if changed, err := fresh.AdoptLineage(s.Lineage()[:1]); changed || err != nil {
		t.Fatalf("adopting an older lineage: changed %v, error %v", changed, err)
	}
}

// TestNoFirstVersionAfterExpiredRecords guards against a reader that missed expired
// records and takes a later roll-out without a parent for the first version, while
// other readers have another version in force.
func TestNoFirstVersionAfterExpiredRecords(t *testing.T) {
	v2 := bundleText(2, 0, "alice", "bob")
	s := zyagreement.NewState(genesis())
	s.MarkRecordsExpired()
	err := apply(s, proposal(v2, 2, "alice"), signOff(v2, 2, "bob"), rollOut(v2, 2, "", "alice"))
	if err == nil || s.Version() != 0 {
		t.Fatalf("version %d came into force after expired records, error %v", s.Version(), err)
	}
}

// TestPatchRestoresFullText checks that a patch yields the same bundle and lineage as the
// full text, and that a patch with another text or without its base is rejected.
func TestPatchRestoresFullText(t *testing.T) {
	v1, v2 := bundleText(1, 0, "alice", "bob"), bundleText(2, 0, "alice", "bob")
	s := zyagreement.NewState(genesis())
	_ = apply(s, proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "alice"))
	base := s.InForce()
	_ = apply(s, proposal(v2, 2, "alice"), signOff(v2, 2, "bob"), rollOut(v2, 2, s.Hash(), "alice"))
	patch := zyagreement.NewPatch(base, s.Lineage())
	if patch == nil || len(patch.Middle) > 4 {
		t.Fatalf("got patch %+v, want one with a middle of at most 4 bytes", patch)
	}
	other := zyagreement.NewState(genesis())
	_ = apply(other, proposal(v1, 1, "alice"), signOff(v1, 1, "bob"), rollOut(v1, 1, "", "alice"))
	forged := *patch
	forged.Middle = []byte("9")
	if changed, err := other.AdoptPatch(&forged); changed || err == nil {
		t.Error("a patch with another text was adopted")
	}
	if changed, err := other.AdoptPatch(patch); !changed || err != nil || other.Hash() != s.Hash() {
		t.Fatalf("adopting the patch: changed %v, error %v", changed, err)
	}
	if changed, err := other.AdoptPatch(patch); changed || err != nil {
		t.Errorf("adopting the patch again: changed %v, error %v", changed, err)
	}
	if _, err := zyagreement.NewState(genesis()).AdoptPatch(patch); err == nil {
		t.Error("a patch was adopted without its base")
	}
	fresh := zyagreement.NewState(genesis())
	if _, err := fresh.AdoptLineage(other.Lineage()); err != nil || fresh.Hash() != s.Hash() {
		t.Errorf("adopting the lineage after a patch: %v", err)
	}
}

// TestReadersAgree lets operators write concurrently to a log with repeated and
// corrupt records. It compares a reader of the complete log and a node that adopts the
// lineage with the first reader, and checks that nothing comes into force without a
// sign-off.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log [][]byte
		s := zyagreement.NewState(genesis())
		add := func(t *rapid.T, body []byte) {
			before := s.Version()
			_, _ = s.Apply(zinniayoke.Record{Body: body})
			if s.Version() < before {
				t.Fatal("the version in force decreased")
			}
			log = append(log, body)
		}
		signedOff := make(map[zybundle.Hash]bool)
		proposed := map[zybundle.Hash]string{}
		texts := map[zybundle.Hash][]byte{}
		var order []zybundle.Hash
		anyName := rapid.SampledFrom(names)
		anyHash := func(t *rapid.T) zybundle.Hash {
			if len(order) == 0 {
				t.Skip("no proposal yet")
			}
			return rapid.SampledFrom(order).Draw(t, "hash")
		}
		versionOf := func(h zybundle.Hash) int {
			b, err := zybundle.Parse("x", texts[h])
			if err != nil {
				t.Fatal(err)
			}
			return int(b.Version)
		}
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				version := rapid.IntRange(1, 4).Draw(t, "version")
				raw := bundleText(version, rapid.IntRange(0, 2).Draw(t, "salt"), "alice", "bob", "carol")
				h, by := zybundle.HashOf(raw), anyName.Draw(t, "by")
				if _, ok := texts[h]; !ok {
					order = append(order, h)
				}
				texts[h] = raw
				if _, ok := proposed[h]; !ok && by != "mallory" {
					proposed[h] = by
				}
				add(t, proposal(raw, version, by))
			},
			"sign": func(t *rapid.T) {
				h, by := anyHash(t), anyName.Draw(t, "by")
				if by != "mallory" && by != proposed[h] {
					signedOff[h] = true
				}
				add(t, signOff(texts[h], versionOf(h), by))
			},
			"roll": func(t *rapid.T) {
				h := anyHash(t)
				add(t, rollOut(texts[h], versionOf(h), s.Hash(), anyName.Draw(t, "by")))
			},
			"repeat": func(t *rapid.T) {
				if len(log) == 0 {
					t.Skip("the log is empty")
				}
				add(t, rapid.SampledFrom(log).Draw(t, "record"))
			},
			"garbage": func(t *rapid.T) { add(t, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) },
			"checkpoint": func(t *rapid.T) {
				body, err := (&zyagreement.Entry{Kind: zyagreement.KindCheckpoint, Lineage: s.Lineage()}).Encode()
				if err != nil {
					t.Fatal(err)
				}
				add(t, body)
			},
			"": func(t *rapid.T) {
				if h := s.Hash(); h != "" && !signedOff[h] {
					t.Fatalf("%s came into force without a sign-off", h)
				}
			},
		})
		second, adopter := zyagreement.NewState(genesis()), zyagreement.NewState(genesis())
		_ = apply(second, log...)
		if second.Hash() != s.Hash() {
			t.Fatalf("a second reader has %s in force, want %s", second.Hash(), s.Hash())
		}
		if _, err := adopter.AdoptLineage(s.Lineage()); len(s.Lineage()) > 0 && (err != nil || adopter.Hash() != s.Hash()) {
			t.Fatalf("a node that adopts the lineage has %s in force, want %s: %v", adopter.Hash(), s.Hash(), err)
		}
	})
}
