// Package zyagreement decides which bundle is in force. It is a pure function
// of the log's records in their order.
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
	// KindSignOff carries an approver's consent to a proposal.
	KindSignOff
	// KindRollOut puts a proposal into force.
	KindRollOut
	// KindCheckpoint repeats what is in force, so that older records may expire.
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
	// Signature is by the author's key over all fields above; a checkpoint has
	// none, since each entry in its lineage has its own.
	Signature []byte  `json:"signature,omitempty"`
	Lineage   Lineage `json:"lineage,omitempty"`
}

// Link proves that one version came into force after another.
type Link struct {
	Proposal Entry   `json:"proposal"`
	SignOffs []Entry `json:"signOffs"`
	RollOut  Entry   `json:"rollOut"`
}

// Lineage proves what is in force to a node that knows only the first
// approvers: it holds every version that changed the approvers, and the last.
type Lineage []Link

// RecordError says why a record has no effect.
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

// Unwrap returns the cause, which may be nil.
func (e *RecordError) Unwrap() error {
	return e.Err
}

// LostRaceError says that another version came into force first.
type LostRaceError struct {
	Winner  zybundle.Hash
	Version zinniayoke.Version
}

// Error names the version that is in force.
func (e *LostRaceError) Error() string {
	return fmt.Sprintf("version %d (%s) came into force first", e.Version, e.Winner)
}

// signed returns the bytes that a signature covers.
func (e *Entry) signed() ([]byte, error) {
	bare := *e
	bare.Signature = nil
	bare.Lineage = nil
	raw, err := json.Marshal(bare)
	if err != nil {
		return nil, fmt.Errorf("entry to sign: %w", err)
	}
	return raw, nil
}

// Sign returns the entry with its author's signature.
func (e Entry) Sign(key ed25519.PrivateKey) (Entry, error) {
	raw, err := e.signed()
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
		return nil, fmt.Errorf("entry to write: %w", err)
	}
	return raw, nil
}

// Decode reads the body of a record. The error is a *RecordError.
func Decode(body []byte) (*Entry, error) {
	if len(body) > MaxRecordSize {
		return nil, &RecordError{Problem: fmt.Sprintf("%d bytes; at most %d", len(body), MaxRecordSize)}
	}
	e := &Entry{}
	if err := json.Unmarshal(body, e); err != nil {
		return nil, &RecordError{Problem: "malformed", Err: err}
	}
	return e, nil
}

// MaxRecordSize is the largest body of a record in bytes.
const MaxRecordSize = 16 << 20

// ApprovalPolicy is who may approve the next version.
type ApprovalPolicy struct {
	Approvals int
	Approvers map[string]ed25519.PublicKey
}

// verify checks the signature of an entry against its author's key.
func (a ApprovalPolicy) verify(e *Entry) error {
	key, ok := a.Approvers[e.Author]
	if !ok {
		return &RecordError{Problem: "author " + e.Author + " is no approver"}
	}
	raw, err := e.signed()
	if err != nil {
		return err
	}
	if !ed25519.Verify(key, raw, e.Signature) {
		return &RecordError{Problem: "the signature of " + e.Author + " is wrong"}
	}
	return nil
}

// same reports whether two authorities are equal.
func (a ApprovalPolicy) same(b ApprovalPolicy) bool {
	if a.Approvals != b.Approvals || len(a.Approvers) != len(b.Approvers) {
		return false
	}
	for name, key := range a.Approvers {
		if !key.Equal(b.Approvers[name]) {
			return false
		}
	}
	return true
}

func authorityOf(b *zybundle.Bundle) ApprovalPolicy {
	return ApprovalPolicy{Approvals: b.Approvals, Approvers: b.Approvers}
}
