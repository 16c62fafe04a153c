// Package zyoperator does what operators ask for: it proposes, signs, rolls out
// and shows bundles by way of the log.
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
	// Name and Key are the operator's own; they are not needed to read.
	Name string
	Key  ed25519.PrivateKey
}

// Operator acts for one person. An Operator must be made with New.
type Operator struct {
	cfg Config
}

// New returns an operator.
func New(cfg Config) *Operator {
	return &Operator{cfg: cfg}
}

const readLimit = 256

// ReadState returns what the records of the log have decided, and the offset after
// the last.
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
			return nil, 0, fmt.Errorf("reading bundles: %w", err)
		}
		if len(records) == 0 {
			return state, next, nil
		}
		for _, r := range records {
			_, _ = state.Apply(r) // A wrong record has no effect and is counted.
			next = r.Offset + 1
		}
	}
}

// UnknownProposalError says that no proposal of this hash waits.
type UnknownProposalError struct {
	Hash zybundle.Hash
}

// Error names the hash.
func (e *UnknownProposalError) Error() string {
	return "no proposal " + string(e.Hash) + " waits for a sign-off or a roll-out"
}

// ErrHistoryMissing says that the log no longer tells what is in force.
var ErrHistoryMissing = errors.New("records have expired and no checkpoint tells what is in force; wait for the next checkpoint")

// NoEffectError says that a record is in the log but counts for nothing.
type NoEffectError struct {
	Offset zinniayoke.Offset
	Reason string
}

// Error names the offset and the problem.
func (e *NoEffectError) Error() string {
	return fmt.Sprintf("the record at offset %d has no effect: %s", e.Offset, e.Reason)
}

// Propose puts a bundle into the log. It checks it first, also against the one
// in force. The errors are *zyini.ProblemsError, *zybundle.SuccessorError,
// *zinniayoke.LogError and *NoEffectError.
func (o *Operator) Propose(ctx context.Context, file string, text []byte) (zybundle.Hash, error) {
	b, err := zybundle.Parse(file, text)
	if err != nil {
		return "", fmt.Errorf("bundle: %w", err)
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
			return "", fmt.Errorf("bundle: %w", err)
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
		return "", &NoEffectError{Offset: next - 1, Reason: "the proposal does not count; is the author an approver?"}
	}
	return b.Hash, nil
}

// SignOff signs a proposal off.
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
			return &NoEffectError{Offset: offset, Reason: o.cfg.Name + " may not sign this proposal off"}
		}
	}
	return nil
}

// RollOut puts a proposal into force. It returns a *zyagreement.LostRaceError
// where another version came first.
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
	return p.Bundle.Version, o.outcome(ctx, hash, p.Bundle.Version, offset)
}

// outcome finds out whether a roll-out has counted.
func (o *Operator) outcome(ctx context.Context, hash zybundle.Hash, version zinniayoke.Version, offset zinniayoke.Offset) error {
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
	return &NoEffectError{Offset: offset, Reason: "the proposal lacks sign-offs"}
}

func (o *Operator) append(ctx context.Context, from zinniayoke.Offset, entry zyagreement.Entry) (zinniayoke.Offset, error) {
	signed, err := entry.Sign(o.cfg.Key)
	if err != nil {
		return 0, fmt.Errorf("signature: %w", err)
	}
	body, err := signed.Encode()
	if err != nil {
		return 0, fmt.Errorf("record: %w", err)
	}
	offset, err := zylog.AppendOnce(ctx, o.cfg.Log, zinniayoke.BundleStream, from, uuid.NewString(), body)
	if err != nil {
		return 0, fmt.Errorf("record: %w", err)
	}
	return offset, nil
}

// GenerateKey returns a fresh key pair as hexadecimal digits; the private one is the
// seed.
func GenerateKey() (private, public string, err error) {
	pub, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return "", "", fmt.Errorf("key: %w", err)
	}
	return hex.EncodeToString(key.Seed()), hex.EncodeToString(pub), nil
}

// KeyError says that text is no private key.
type KeyError struct {
	Accepted string
}

// Error says what is accepted.
func (e *KeyError) Error() string {
	return "private key: accepted: " + e.Accepted
}

// ParseKey reads a private key as NewKey writes it. The error is a *KeyError.
func ParseKey(text string) (ed25519.PrivateKey, error) {
	seed, err := hex.DecodeString(text)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &KeyError{Accepted: "32 bytes as hexadecimal digits"}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
