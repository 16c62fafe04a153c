// Package zyoperator implements the operations of operators on bundles: it proposes,
// signs off and rolls out bundles by appending records to the log.
package zyoperator

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
	"zinniayoke/io/zylog"
)

// Config configures an Operator.
type Config struct {
	Log     zinniayoke.Log
	Genesis zyagreement.ApprovalPolicy
	// Name and Key identify the operator. They are not needed to read the state.
	Name string
	Key  ed25519.PrivateKey
}

// Operator acts on behalf of one person. An Operator must be created with New.
type Operator struct {
	cfg Config
}

// New returns an Operator.
func New(cfg Config) *Operator {
	return &Operator{cfg: cfg}
}

const readLimit = 256

// ReadState reads all records of the log. It returns the resulting state and the offset
// after the last record.
func (o *Operator) ReadState(ctx context.Context) (*zyagreement.State, zinniayoke.Offset, error) {
	state := zyagreement.NewState(o.cfg.Genesis)
	next := zinniayoke.Offset(0)
	for {
		records, err := o.cfg.Log.Read(ctx, zinniayoke.BundleStream, next, readLimit)
		var expired *zinniayoke.ExpiredError
		if errors.As(err, &expired) && expired.First > next {
			next = expired.First
			state.MarkRecordsExpired()
			continue
		}
		if err != nil {
			return nil, 0, fmt.Errorf("read bundle records from offset %d: %w", next, err)
		}
		if len(records) == 0 {
			return state, next, nil
		}
		for _, r := range records {
			_, _ = state.Apply(r) // An invalid record has no effect; the state counts it.
			next = r.Offset + 1
		}
	}
}

// UnknownProposalError means that no open proposal has this hash.
type UnknownProposalError struct {
	Hash zybundle.Hash
}

// Error returns a message with the hash.
func (e *UnknownProposalError) Error() string {
	return "no open proposal has the hash " + string(e.Hash)
}

// ErrHistoryMissing means that the bundle in force cannot be determined from the records
// that the log still retains.
var ErrHistoryMissing = errors.New("records have expired and no checkpoint names the bundle in force; wait for the next checkpoint")

// NoEffectError means that a record was appended to the log but has no effect.
type NoEffectError struct {
	Offset zinniayoke.Offset
	Reason string
}

// Error returns the offset and the reason.
func (e *NoEffectError) Error() string {
	return fmt.Sprintf("the record at offset %d has no effect: %s", e.Offset, e.Reason)
}

// Propose checks a bundle, also as a successor of the one in force, and appends a
// proposal of it to the log. The errors are *zyini.ProblemsError, *zybundle.SuccessorError,
// *zinniayoke.LogError, *NoEffectError and ErrHistoryMissing.
func (o *Operator) Propose(ctx context.Context, file string, text []byte) (zybundle.Hash, error) {
	b, err := zybundle.Parse(file, text)
	if err != nil {
		return "", fmt.Errorf("parse bundle %s: %w", file, err)
	}
	state, next, err := o.ReadState(ctx)
	if err != nil {
		return "", err
	}
	if state.InForceUnknown() {
		return "", ErrHistoryMissing
	}
	if parent := state.InForce(); parent != nil {
		if err := parent.CheckSuccessor(b); err != nil {
			return "", fmt.Errorf("bundle %s is no valid successor: %w", file, err)
		}
	}
	entry := zyagreement.Entry{Kind: zyagreement.KindProposal, Author: o.cfg.Name, Hash: b.Hash, Version: b.Version, Text: text}
	if _, err := o.append(ctx, next, entry); err != nil {
		return "", err
	}
	state, next, err = o.ReadState(ctx)
	if err != nil {
		return "", err
	}
	if _, ok := state.Proposal(b.Hash); !ok {
		return "", &NoEffectError{Offset: next - 1, Reason: "the proposal was not accepted; is the author an approver?"}
	}
	return b.Hash, nil
}

// SignOff appends a sign-off of a proposal to the log. The errors are
// *UnknownProposalError, *zinniayoke.LogError and *NoEffectError.
func (o *Operator) SignOff(ctx context.Context, hash zybundle.Hash) error {
	state, next, err := o.ReadState(ctx)
	if err != nil {
		return err
	}
	p, ok := state.Proposal(hash)
	if !ok {
		return &UnknownProposalError{Hash: hash}
	}
	entry := zyagreement.Entry{Kind: zyagreement.KindSignOff, Author: o.cfg.Name, Hash: hash, Version: p.Bundle.Version}
	offset, err := o.append(ctx, next, entry)
	if err != nil {
		return err
	}
	state, _, err = o.ReadState(ctx)
	if err != nil {
		return err
	}
	if p, ok = state.Proposal(hash); ok {
		if _, counted := p.SignOffs[o.cfg.Name]; !counted {
			return &NoEffectError{Offset: offset, Reason: o.cfg.Name + " may not sign off this proposal"}
		}
	}
	return nil
}

// RollOut puts a proposal into force. The errors are those of SignOff, and a
// *zyagreement.LostRaceError if another version came into force first.
func (o *Operator) RollOut(ctx context.Context, hash zybundle.Hash) (zinniayoke.Version, error) {
	state, next, err := o.ReadState(ctx)
	if err != nil {
		return 0, err
	}
	p, ok := state.Proposal(hash)
	if !ok {
		return 0, &UnknownProposalError{Hash: hash}
	}
	entry := zyagreement.Entry{
		Kind: zyagreement.KindRollOut, Author: o.cfg.Name, Hash: hash, Version: p.Bundle.Version, Parent: state.Hash(),
	}
	offset, err := o.append(ctx, next, entry)
	if err != nil {
		return 0, err
	}
	return p.Bundle.Version, o.checkRollOut(ctx, hash, p.Bundle.Version, offset)
}

// checkRollOut reads the log again and reports whether a roll-out took effect.
func (o *Operator) checkRollOut(ctx context.Context, hash zybundle.Hash, version zinniayoke.Version, offset zinniayoke.Offset) error {
	state, _, err := o.ReadState(ctx)
	if err != nil {
		return err
	}
	if state.Hash() == hash || state.Version() > version && state.WasInForce(hash) {
		return nil
	}
	if state.Version() >= version {
		return &zyagreement.LostRaceError{Winner: state.Hash(), Version: state.Version()}
	}
	return &NoEffectError{Offset: offset, Reason: "the proposal lacks sign-offs, or is not rolled out by an approver"}
}

func (o *Operator) append(ctx context.Context, from zinniayoke.Offset, entry zyagreement.Entry) (zinniayoke.Offset, error) {
	signed, err := entry.Sign(o.cfg.Key)
	if err != nil {
		return 0, fmt.Errorf("sign record for bundle version %d: %w", entry.Version, err)
	}
	body, err := signed.Encode()
	if err != nil {
		return 0, fmt.Errorf("encode record for bundle version %d: %w", entry.Version, err)
	}
	offset, err := zylog.AppendOnce(ctx, o.cfg.Log, zinniayoke.BundleStream, from, uuid.NewString(), body)
	if err != nil {
		return 0, fmt.Errorf("append record for bundle version %d: %w", entry.Version, err)
	}
	return offset, nil
}

// GenerateKey returns a new Ed25519 key pair in hexadecimal. The private key is given as
// its seed.
func GenerateKey() (private, public string, err error) {
	pub, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return "", "", fmt.Errorf("generate key: %w", err)
	}
	return hex.EncodeToString(key.Seed()), hex.EncodeToString(pub), nil
}

// KeyError means that a text is not a valid private key.
type KeyError struct {
	Accepted string
}

// Error returns the accepted format.
func (e *KeyError) Error() string {
	return "invalid private key, want " + e.Accepted
}

// ParseKey parses a private key in the format of GenerateKey. The error is a *KeyError.
func ParseKey(text string) (ed25519.PrivateKey, error) {
	seed, err := hex.DecodeString(text)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &KeyError{Accepted: "32 bytes as hexadecimal digits"}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
