package zyagreement

import (
	"errors"
	"fmt"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// maxProposals limits the number of pending proposals; the oldest is dropped first.
const maxProposals = 64

// State is the result of the records applied so far. The version in force never
// decreases. A State is not safe for concurrent use. Create it with NewState.
type State struct {
	// genesis is the policy from the settings, which applies to the first version.
	genesis ApprovalPolicy
	// policy applies to the next version.
	policy ApprovalPolicy
	// approversChanged is true if the bundle in force changed the approval policy.
	approversChanged bool
	inForce          *zybundle.Bundle
	lineage          Lineage
	proposals        map[zybundle.Hash]*Proposal
	// proposalOrder holds the hashes of the pending proposals, oldest first.
	proposalOrder []zybundle.Hash
	// pastHashes holds the hashes of the bundles that were in force before.
	pastHashes map[zybundle.Hash]bool
	// skipped counts the records that were rejected.
	skipped int
	// recordsExpired is true if records expired before they were read.
	recordsExpired bool
}

// Proposal is a version that waits for sign-offs or for its roll-out.
type Proposal struct {
	Entry  Entry
	Bundle *zybundle.Bundle
	// SignOffs holds the sign-offs by their authors' names.
	SignOffs map[string]Entry
}

// NewState returns a state with no bundle in force. genesis is the approval policy
// from the settings, which applies to the first version.
func NewState(genesis ApprovalPolicy) *State {
	return &State{genesis: genesis, policy: genesis, proposals: make(map[zybundle.Hash]*Proposal), pastHashes: make(map[zybundle.Hash]bool)}
}

// InForce returns the bundle in force, or nil if there is none.
func (s *State) InForce() *zybundle.Bundle {
	return s.inForce
}

// Version returns the version of the bundle in force, or 0 if there is none.
func (s *State) Version() zinniayoke.Version {
	if s.inForce == nil {
		return 0
	}
	return s.inForce.Version
}

// Hash returns the hash of the bundle in force, or "" if there is none.
func (s *State) Hash() zybundle.Hash {
	if s.inForce == nil {
		return ""
	}
	return s.inForce.Hash
}

// MarkRecordsExpired records that log records expired before they were read. While no
// bundle is in force, roll-outs are then rejected until a checkpoint or a peer supplies
// the lineage of the bundle in force.
func (s *State) MarkRecordsExpired() {
	s.recordsExpired = true
}

// InForceUnknown reports whether no bundle is known to be in force because records
// have expired.
func (s *State) InForceUnknown() bool {
	return s.recordsExpired && s.inForce == nil
}

// Skipped returns the number of records that were rejected.
func (s *State) Skipped() int {
	return s.skipped
}

// RequiredSignOffs returns the number of sign-offs that the next version needs.
func (s *State) RequiredSignOffs() int {
	return s.policy.Approvals
}

// Proposals returns the pending proposals, oldest first.
func (s *State) Proposals() []*Proposal {
	list := make([]*Proposal, 0, len(s.proposalOrder))
	for _, hash := range s.proposalOrder {
		list = append(list, s.proposals[hash])
	}
	return list
}

// Proposal returns the pending proposal of the bundle with the given hash.
func (s *State) Proposal(hash zybundle.Hash) (*Proposal, bool) {
	p, ok := s.proposals[hash]
	return p, ok
}

// Lineage returns the lineage of the bundle in force.
func (s *State) Lineage() Lineage {
	return append(Lineage(nil), s.lineage...)
}

// Apply processes the next record of the log and reports whether the bundle in force
// has changed. A rejected record has no effect and is counted. The error is then a
// *RecordError, or a *LostRaceError if another version came into force first.
func (s *State) Apply(r zinniayoke.Record) (bool, error) {
	changed, err := s.apply(r.Body)
	if err != nil {
		s.skipped++
	}
	var recordErr *RecordError
	if errors.As(err, &recordErr) {
		recordErr.Offset = r.Offset
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
	return false, &RecordError{Problem: fmt.Sprintf("unknown kind %d", e.Kind)}
}

func (s *State) propose(e *Entry) error {
	if err := s.policy.verify(e); err != nil {
		return err
	}
	if _, ok := s.proposals[e.Hash]; ok {
		return nil
	}
	b, err := parseProposal(s.inForce, e)
	if err != nil {
		return err
	}
	s.proposals[e.Hash] = &Proposal{Entry: *e, Bundle: b, SignOffs: make(map[string]Entry)}
	s.proposalOrder = append(s.proposalOrder, e.Hash)
	if len(s.proposalOrder) > maxProposals {
		delete(s.proposals, s.proposalOrder[0])
		s.proposalOrder = s.proposalOrder[1:]
	}
	return nil
}

// parseProposal parses the bundle of a proposal and checks that it may follow parent,
// if there is one.
func parseProposal(parent *zybundle.Bundle, e *Entry) (*zybundle.Bundle, error) {
	if zybundle.HashOf(e.Text) != e.Hash {
		return nil, &RecordError{Problem: fmt.Sprintf("the text does not have the hash %s", e.Hash)}
	}
	b, err := zybundle.Parse("proposal", e.Text)
	if err != nil {
		return nil, &RecordError{Problem: fmt.Sprintf("parse bundle %s", e.Hash), Err: err}
	}
	if b.Version != e.Version {
		return nil, &RecordError{Problem: fmt.Sprintf("entry has version %d, but its bundle %s has version %d", e.Version, e.Hash, b.Version)}
	}
	if parent == nil {
		return b, nil
	}
	if b.Version <= parent.Version {
		return nil, &LostRaceError{Winner: parent.Hash, Version: parent.Version}
	}
	if err := parent.CheckSuccessor(b); err != nil {
		return nil, &RecordError{Problem: fmt.Sprintf("bundle %s may not follow bundle %s", e.Hash, parent.Hash), Err: err}
	}
	return b, nil
}

func (s *State) signOff(e *Entry) error {
	if err := s.policy.verify(e); err != nil {
		return err
	}
	p, ok := s.proposals[e.Hash]
	if !ok {
		return &RecordError{Problem: fmt.Sprintf("sign-off by %q for unknown proposal %s", e.Author, e.Hash)}
	}
	if e.Author == p.Entry.Author {
		return &RecordError{Problem: fmt.Sprintf("%q cannot sign off their own proposal %s", e.Author, e.Hash)}
	}
	p.SignOffs[e.Author] = *e
	return nil
}

func (s *State) rollOut(e *Entry) (bool, error) {
	if err := s.policy.verify(e); err != nil {
		return false, err
	}
	if s.InForceUnknown() {
		return false, &RecordError{Problem: fmt.Sprintf("roll-out of %s: earlier records have expired and the bundle in force is unknown", e.Hash)}
	}
	if e.Parent != s.Hash() {
		return false, &LostRaceError{Winner: s.Hash(), Version: s.Version()}
	}
	p, ok := s.proposals[e.Hash]
	if !ok {
		return false, &RecordError{Problem: fmt.Sprintf("roll-out of unknown proposal %s", e.Hash)}
	}
	if len(p.SignOffs) < s.policy.Approvals {
		return false, &RecordError{Problem: fmt.Sprintf("roll-out of %s with %d sign-offs, want %d", e.Hash, len(p.SignOffs), s.policy.Approvals)}
	}
	link := Link{Proposal: p.Entry, RollOut: *e}
	for _, signOff := range p.SignOffs {
		link.SignOffs = append(link.SignOffs, signOff)
	}
	s.putInForce(p.Bundle, s.extendLineage(link))
	return true, nil
}

// extendLineage returns the lineage with link appended. It drops the last link before
// it if that version did not change the approval policy, because no later proof needs it.
func (s *State) extendLineage(link Link) Lineage {
	lineage := s.Lineage()
	if n := len(lineage); n > 0 && !s.approversChanged {
		lineage = lineage[:n-1]
	}
	return append(lineage, link)
}

// putInForce puts a bundle into force and drops the proposals of versions that are
// not newer.
func (s *State) putInForce(b *zybundle.Bundle, lineage Lineage) {
	if s.inForce != nil {
		s.pastHashes[s.inForce.Hash] = true
	}
	next := policyOf(b)
	s.approversChanged = !next.equal(s.policy)
	s.policy = next
	s.inForce = b
	s.lineage = lineage
	kept := s.proposalOrder[:0]
	for _, hash := range s.proposalOrder {
		if s.proposals[hash].Bundle.Version > b.Version {
			kept = append(kept, hash)
			continue
		}
		delete(s.proposals, hash)
	}
	s.proposalOrder = kept
}

// WasInForce reports whether the bundle with the given hash was in force earlier, as
// far as this state has seen.
func (s *State) WasInForce(hash zybundle.Hash) bool {
	return s.pastHashes[hash]
}

// AdoptLineage verifies a lineage from a checkpoint or a peer and puts its last
// version into force if it is newer than the one in force. It reports whether the
// bundle in force has changed. The error is a *RecordError.
func (s *State) AdoptLineage(lineage Lineage) (bool, error) {
	if len(lineage) == 0 {
		return false, &RecordError{Problem: "empty lineage"}
	}
	if last := lineage[len(lineage)-1]; last.Proposal.Version <= s.Version() {
		return false, nil
	}
	next := NewState(s.genesis)
	for _, link := range lineage {
		if err := next.applyLink(link); err != nil {
			return false, err
		}
	}
	s.putInForce(next.inForce, lineage)
	s.approversChanged = next.approversChanged
	return true, nil
}

// applyLink verifies a link and puts its version into force.
func (s *State) applyLink(link Link) error {
	b, err := s.verifyLink(link)
	if err != nil {
		return err
	}
	s.putInForce(b, append(s.Lineage(), link))
	return nil
}

// verifyLink verifies a link against the approval policy of the version in force and
// returns the link's bundle.
func (s *State) verifyLink(link Link) (*zybundle.Bundle, error) {
	p := link.Proposal
	if err := s.policy.verify(&p); err != nil {
		return nil, err
	}
	if p.Version <= s.Version() {
		return nil, &RecordError{Problem: fmt.Sprintf("lineage goes back from version %d to %d", s.Version(), p.Version)}
	}
	b, err := parseProposal(nil, &p)
	if err != nil {
		return nil, err
	}
	return b, s.verifyApproval(link)
}

// verifyApproval checks that a link has enough sign-offs and a valid roll-out.
func (s *State) verifyApproval(link Link) error {
	signers := make(map[string]bool)
	for _, signOff := range link.SignOffs {
		if err := s.policy.verify(&signOff); err != nil {
			return err
		}
		if signOff.Kind == KindSignOff && signOff.Hash == link.Proposal.Hash && signOff.Author != link.Proposal.Author {
			signers[signOff.Author] = true
		}
	}
	if len(signers) < s.policy.Approvals {
		return &RecordError{Problem: fmt.Sprintf("lineage has %d sign-offs for bundle %s, want %d", len(signers), link.Proposal.Hash, s.policy.Approvals)}
	}
	if err := s.policy.verify(&link.RollOut); err != nil {
		return err
	}
	if link.RollOut.Kind != KindRollOut || link.RollOut.Hash != link.Proposal.Hash {
		return &RecordError{Problem: fmt.Sprintf("lineage has no roll-out of bundle %s", link.Proposal.Hash)}
	}
	return nil
}
