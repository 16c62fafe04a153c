package zyagreement

import (
	"errors"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// mostProposals bounds the proposals that wait for a roll-out.
const mostProposals = 64

// State is what the records so far have decided. It only moves forward. It is
// not safe for use by several goroutines. A State must be made with NewState.
type State struct {
	genesis   ApprovalPolicy
	authority ApprovalPolicy
	// authorityChanged is true where the bundle in force has other approvers
	// than those who approved it.
	authorityChanged bool
	inForce          *zybundle.Bundle
	lineage          Lineage
	proposals        map[zybundle.Hash]*Proposal
	order            []zybundle.Hash
	// past holds the versions that were in force before.
	past    map[zybundle.Hash]bool
	skipped int
	// missing is true where records have expired before they were read.
	missing bool
}

// Proposal is a version that waits for sign-offs or its roll-out.
type Proposal struct {
	Entry    Entry
	Bundle   *zybundle.Bundle
	SignOffs map[string]Entry
}

// NewState returns a state with no bundle in force, where the approvers of the
// settings count.
func NewState(genesis ApprovalPolicy) *State {
	return &State{genesis: genesis, authority: genesis, proposals: make(map[zybundle.Hash]*Proposal), past: make(map[zybundle.Hash]bool)}
}

// InForce returns the bundle in force, or nil.
func (s *State) InForce() *zybundle.Bundle {
	return s.inForce
}

// Version returns the version in force, 0 for none.
func (s *State) Version() zinniayoke.Version {
	if s.inForce == nil {
		return 0
	}
	return s.inForce.Version
}

// Hash returns the hash of the bundle in force, "" for none.
func (s *State) Hash() zybundle.Hash {
	if s.inForce == nil {
		return ""
	}
	return s.inForce.Hash
}

// MarkRecordsExpired notes that records have expired before they were read. Until a
// checkpoint or a peer tells what is in force, no first version is believed.
func (s *State) MarkRecordsExpired() {
	s.missing = true
}

// InForceUnknown reports whether it is not known what is in force.
func (s *State) InForceUnknown() bool {
	return s.missing && s.inForce == nil
}

// Skipped returns how many records had no effect because they were wrong.
func (s *State) Skipped() int {
	return s.skipped
}

// RequiredSignOffs returns how many sign-offs the next version needs.
func (s *State) RequiredSignOffs() int {
	return s.authority.Approvals
}

// Proposals returns what waits, oldest first.
func (s *State) Proposals() []*Proposal {
	list := make([]*Proposal, 0, len(s.order))
	for _, hash := range s.order {
		list = append(list, s.proposals[hash])
	}
	return list
}

// Proposal returns the waiting proposal of a hash.
func (s *State) Proposal(hash zybundle.Hash) (*Proposal, bool) {
	p, ok := s.proposals[hash]
	return p, ok
}

// Lineage returns the proof of what is in force.
func (s *State) Lineage() Lineage {
	return append(Lineage(nil), s.lineage...)
}

// Apply takes in the next record and reports whether another bundle is in force
// now. A record that is wrong has no effect and is counted; the error is a
// *RecordError or, for a roll-out that came too late, a *LostRaceError.
func (s *State) Apply(r zinniayoke.Record) (bool, error) {
	changed, err := s.apply(r.Body)
	if err != nil {
		s.skipped++
	}
	var wrong *RecordError
	if errors.As(err, &wrong) {
		wrong.Offset = r.Offset
	}
	return changed, err
}

func (s *State) apply(body []byte) (bool, error) {
	e, err := Decode(body)
	if err != nil {
		return false, err
	}
	switch e.Kind {
	case KindProposal:
		return false, s.propose(e)
	case KindSignOff:
		return false, s.signOff(e)
	case KindRollOut:
		return s.rollOut(e)
	case KindCheckpoint:
		return s.AdoptLineage(e.Lineage)
	}
	return false, &RecordError{Problem: "unknown kind"}
}

func (s *State) propose(e *Entry) error {
	if err := s.authority.verify(e); err != nil {
		return err
	}
	if _, ok := s.proposals[e.Hash]; ok {
		return nil
	}
	b, err := checkProposal(s.inForce, e)
	if err != nil {
		return err
	}
	s.proposals[e.Hash] = &Proposal{Entry: *e, Bundle: b, SignOffs: make(map[string]Entry)}
	s.order = append(s.order, e.Hash)
	if len(s.order) > mostProposals {
		delete(s.proposals, s.order[0])
		s.order = s.order[1:]
	}
	return nil
}

// checkProposal returns the bundle of a proposal that may follow parent.
func checkProposal(parent *zybundle.Bundle, e *Entry) (*zybundle.Bundle, error) {
	if zybundle.HashOf(e.Text) != e.Hash {
		return nil, &RecordError{Problem: "the hash is not that of the text"}
	}
	b, err := zybundle.Parse("proposal", e.Text)
	if err != nil {
		return nil, &RecordError{Problem: "the bundle is wrong", Err: err}
	}
	if b.Version != e.Version {
		return nil, &RecordError{Problem: "the version is not that of the bundle"}
	}
	if parent == nil {
		return b, nil
	}
	if b.Version <= parent.Version {
		return nil, &LostRaceError{Winner: parent.Hash, Version: parent.Version}
	}
	if err := parent.CheckSuccessor(b); err != nil {
		return nil, &RecordError{Problem: "the bundle may not follow the one in force", Err: err}
	}
	return b, nil
}

func (s *State) signOff(e *Entry) error {
	if err := s.authority.verify(e); err != nil {
		return err
	}
	p, ok := s.proposals[e.Hash]
	if !ok {
		return &RecordError{Problem: "sign-off for an unknown proposal"}
	}
	if e.Author == p.Entry.Author {
		return &RecordError{Problem: e.Author + " cannot sign off an own proposal"}
	}
	p.SignOffs[e.Author] = *e
	return nil
}

func (s *State) rollOut(e *Entry) (bool, error) {
	if err := s.authority.verify(e); err != nil {
		return false, err
	}
	if s.InForceUnknown() {
		return false, &RecordError{Problem: "earlier records have expired, so it is not known what is in force"}
	}
	if e.Parent != s.Hash() {
		return false, &LostRaceError{Winner: s.Hash(), Version: s.Version()}
	}
	p, ok := s.proposals[e.Hash]
	if !ok {
		return false, &RecordError{Problem: "roll-out of an unknown proposal"}
	}
	if len(p.SignOffs) < s.authority.Approvals {
		return false, &RecordError{Problem: "roll-out without enough sign-offs"}
	}
	link := Link{Proposal: p.Entry, RollOut: *e}
	for _, signOff := range p.SignOffs {
		link.SignOffs = append(link.SignOffs, signOff)
	}
	s.enact(p.Bundle, s.extend(link))
	return true, nil
}

// extend returns the lineage with one more link. The last link is dropped where
// the version before changed no approvers.
func (s *State) extend(link Link) Lineage {
	lineage := s.Lineage()
	if n := len(lineage); n > 0 && !s.authorityChanged {
		lineage = lineage[:n-1]
	}
	return append(lineage, link)
}

// enact puts a bundle into force and drops the proposals that lost.
func (s *State) enact(b *zybundle.Bundle, lineage Lineage) {
	if s.inForce != nil {
		s.past[s.inForce.Hash] = true
	}
	next := authorityOf(b)
	s.authorityChanged = !next.same(s.authority)
	s.authority = next
	s.inForce = b
	s.lineage = lineage
	kept := s.order[:0]
	for _, hash := range s.order {
		if s.proposals[hash].Bundle.Version > b.Version {
			kept = append(kept, hash)
			continue
		}
		delete(s.proposals, hash)
	}
	s.order = kept
}

// WasInForce reports whether the bundle in force came after the one of the hash,
// as far as this state has seen.
func (s *State) WasInForce(hash zybundle.Hash) bool {
	return s.past[hash]
}

// AdoptLineage takes in the proof of what is in force, from a checkpoint or a peer,
// and reports whether it was newer than what this state has. The error is a
// *RecordError.
func (s *State) AdoptLineage(lineage Lineage) (bool, error) {
	if len(lineage) == 0 {
		return false, &RecordError{Problem: "an empty lineage"}
	}
	if last := lineage[len(lineage)-1]; last.Proposal.Version <= s.Version() {
		return false, nil
	}
	next := NewState(s.genesis)
	for _, link := range lineage {
		if err := next.follow(link); err != nil {
			return false, err
		}
	}
	s.enact(next.inForce, lineage)
	s.authorityChanged = next.authorityChanged
	return true, nil
}

// follow takes in one link after the one before.
func (s *State) follow(link Link) error {
	b, err := s.verifyLink(link)
	if err != nil {
		return err
	}
	s.enact(b, append(s.Lineage(), link))
	return nil
}

// verifyLink checks one link against the approvers of the version in force.
func (s *State) verifyLink(link Link) (*zybundle.Bundle, error) {
	p := link.Proposal
	if err := s.authority.verify(&p); err != nil {
		return nil, err
	}
	if p.Version <= s.Version() {
		return nil, &RecordError{Problem: "the lineage steps back"}
	}
	b, err := checkProposal(nil, &p)
	if err != nil {
		return nil, err
	}
	return b, s.verifyConsent(link)
}

func (s *State) verifyConsent(link Link) error {
	approvers := make(map[string]bool)
	for _, signOff := range link.SignOffs {
		if err := s.authority.verify(&signOff); err != nil {
			return err
		}
		if signOff.Kind == KindSignOff && signOff.Hash == link.Proposal.Hash && signOff.Author != link.Proposal.Author {
			approvers[signOff.Author] = true
		}
	}
	if len(approvers) < s.authority.Approvals {
		return &RecordError{Problem: "the lineage lacks sign-offs"}
	}
	if err := s.authority.verify(&link.RollOut); err != nil {
		return err
	}
	if link.RollOut.Kind != KindRollOut || link.RollOut.Hash != link.Proposal.Hash {
		return &RecordError{Problem: "the lineage lacks a roll-out"}
	}
	return nil
}
