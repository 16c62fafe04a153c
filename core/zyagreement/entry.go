// Package zyagreement decides which bundle is in force. The decision depends only on
// the records of the bundle log and their order, so all readers of the log agree.
package zyagreement

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"zinniayoke"
	"zinniayoke/core/zybundle"
)

// Kind is the kind of an entry. The zero value is KindProposal.
type Kind int

// The kinds of entries.
const (
	// KindProposal carries the text of a new version.
	KindProposal Kind = iota
	// KindSignOff carries an approver's approval of a proposal.
	KindSignOff
	// KindRollOut puts a proposal into force.
	KindRollOut
	// KindCheckpoint carries the lineage of the bundle in force, so that older records
	// may expire.
	KindCheckpoint
)

// Entry is the body of one record of the bundle stream, as JSON.
type Entry struct {
	Kind    Kind               `json:"kind"`
	Author  string             `json:"author"`
	Hash    zybundle.Hash      `json:"hash"`
	Text    []byte             `json:"text,omitempty"`
	Parent  zybundle.Hash      `json:"parent,omitempty"`
	Version zinniayoke.Version `json:"version"`
	// Signature is made with the author's key over all fields above. A checkpoint has
	// none, because each entry in its lineage is signed.
	Signature []byte  `json:"signature,omitempty"`
	Lineage   Lineage `json:"lineage,omitempty"`
}

// Link proves that a version came into force. It holds the signed entries that
// proposed, approved and rolled out the version.
type Link struct {
	Proposal Entry   `json:"proposal"`
	SignOffs []Entry `json:"signOffs"`
	RollOut  Entry   `json:"rollOut"`
}

// Lineage proves which bundle is in force to a node that knows only the approvers
// from its settings. It holds a link for every version that changed the approvers
// and for the version in force.
type Lineage []Link

// RecordError reports why a record, lineage or patch was rejected.
type RecordError struct {
	Offset  zinniayoke.Offset
	Problem string
	Err     error
}

// Error returns the offset and the problem.
func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("record %d: %s: %v", e.Offset, e.Problem, e.Err)
	}
	return fmt.Sprintf("record %d: %s", e.Offset, e.Problem)
}

// Unwrap returns the cause, or nil.
func (e *RecordError) Unwrap() error {
	return e.Err
}

// LostRaceError reports that another version came into force first.
type LostRaceError struct {
	Winner  zybundle.Hash
	Version zinniayoke.Version
}

// Error names the version that is in force.
func (e *LostRaceError) Error() string {
	return fmt.Sprintf("version %d (%s) came into force first", e.Version, e.Winner)
}

// signedBytes returns the bytes that the signature covers.
func (e *Entry) signedBytes() ([]byte, error) {
	unsigned := *e
	unsigned.Signature = nil
	unsigned.Lineage = nil
	raw, err := json.Marshal(unsigned)
	if err != nil {
		return nil, fmt.Errorf("encode signed part of entry by %q for bundle %s: %w", e.Author, e.Hash, err)
	}
	return raw, nil
}

// Sign returns a copy of the entry with a signature made with key.
func (e Entry) Sign(key ed25519.PrivateKey) (Entry, error) {
	raw, err := e.signedBytes()
	if err != nil {
		return Entry{}, err
	}
	e.Signature = ed25519.Sign(key, raw)
	return e, nil
}

// Encode returns the entry as the body of a record.
func (e *Entry) Encode() ([]byte, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode entry by %q for bundle %s: %w", e.Author, e.Hash, err)
	}
	return raw, nil
}

// Decode decodes the body of a record. The error is a *RecordError.
func Decode(body []byte) (*Entry, error) {
	if len(body) > MaxRecordSize {
		return nil, &RecordError{Problem: fmt.Sprintf("body of %d bytes, want at most %d", len(body), MaxRecordSize)}
	}
	e := &Entry{}
	if err := json.Unmarshal(body, e); err != nil {
		return nil, &RecordError{Problem: "malformed", Err: err}
	}
	return e, nil
}

// MaxRecordSize is the largest allowed body of a record in bytes.
const MaxRecordSize = 16 << 20

// ApprovalPolicy defines who may approve the next version.
type ApprovalPolicy struct {
	// Approvals is the number of sign-offs that a proposal needs.
	Approvals int
	// Approvers holds the public keys by the approvers' names.
	Approvers map[string]ed25519.PublicKey
}

// verify checks that the author of an entry is an approver and has signed it.
func (p ApprovalPolicy) verify(e *Entry) error {
	key, ok := p.Approvers[e.Author]
	if !ok {
		return &RecordError{Problem: fmt.Sprintf("author %q is not an approver", e.Author)}
	}
	raw, err := e.signedBytes()
	if err != nil {
		return err
	}
	if !ed25519.Verify(key, raw, e.Signature) {
		return &RecordError{Problem: fmt.Sprintf("invalid signature by %q", e.Author)}
	}
	return nil
}

// equal reports whether two policies are equal.
func (p ApprovalPolicy) equal(other ApprovalPolicy) bool {
	if p.Approvals != other.Approvals || len(p.Approvers) != len(other.Approvers) {
		return false
	}
	for name, key := range p.Approvers {
		if !key.Equal(other.Approvers[name]) {
			return false
		}
	}
	return true
}

// policyOf returns the policy that holds for the successor of b.
func policyOf(b *zybundle.Bundle) ApprovalPolicy {
	return ApprovalPolicy{Approvals: b.Approvals, Approvers: b.Approvers}
}
