package zynode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zytree"
	"zinniayoke/io/zylogger"
)

// follower reads the log for its failure domain, and keeps checkpoints in it.
type follower struct {
	self   zinniayoke.NodeID
	domain zinniayoke.Domain
	log    zinniayoke.Log
	book   *ruleBook
	view   *view
	spread *spreader
	out    *zylogger.ComponentLogger

	mu sync.Mutex
	// next is the offset of the next record to read.
	next    zinniayoke.Offset
	down    bool
	checked time.Time
}

const (
	readTimeout      = 2 * time.Second
	readLimit        = 256
	checkpointPeriod = 5 * time.Minute
)

// Follow reads what is new, if this node is one of its domain's readers.
func (f *follower) Follow(now time.Time) {
	if !zytree.IsLogReader(f.self, f.domain, f.view.KeyOwners(f.domain)) {
		return
	}
	if err := f.Read(); err != nil {
		f.note(true)
		return
	}
	f.note(false)
	f.checkpoint(now)
}

// Read takes in all records that are new. The error is that of the log.
func (f *follower) Read() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	before := f.book.Version()
	err := f.readAll(ctx)
	if f.book.Version() > before {
		f.spread.Spread(f.self)
	}
	return err
}

func (f *follower) readAll(ctx context.Context) error {
	for {
		records, err := f.log.Read(ctx, zinniayoke.BundleStream, f.next, readLimit)
		var expired *zinniayoke.ExpiredError
		if errors.As(err, &expired) && expired.First > f.next {
			f.next = expired.First
			f.book.Miss()
			continue
		}
		if err != nil {
			return fmt.Errorf("following the log: %w", err)
		}
		if len(records) == 0 {
			return nil
		}
		f.apply(records)
	}
}

// apply takes records in order. Records that were read before, as a log that
// answers from the past may return, are passed over.
func (f *follower) apply(records []zinniayoke.Record) {
	for _, r := range records {
		if r.Offset < f.next {
			continue
		}
		f.next = r.Offset + 1
		if err := f.book.Apply(r); err != nil {
			f.out.With("offset", r.Offset).With("error", err).Info("A record has no effect.")
		}
	}
}

// note logs when the log goes down and when it is back.
func (f *follower) note(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down == f.down {
		return
	}
	f.down = down
	if down {
		f.out.Warn("The log does not answer. Calls go on under the bundle in force.")
		return
	}
	f.out.Info("The log answers again.")
}

// checkpoint repeats the bundle in force in the log, well before its records
// expire. One reader in the whole system does it.
func (f *follower) checkpoint(now time.Time) {
	if f.checked.IsZero() {
		f.checked = now
	}
	if now.Sub(f.checked) < checkpointPeriod || f.book.Rules() == nil || !f.leads() {
		return
	}
	f.checked = now
	if err := f.writeCheckpoint(); err != nil {
		f.out.With("error", err).Warn("The checkpoint was not written.")
	}
}

func (f *follower) writeCheckpoint() error {
	lineage, _ := f.book.Lineage("")
	entry := zyagreement.Entry{Kind: zyagreement.KindCheckpoint, Version: f.book.Version(), Lineage: lineage}
	body, err := entry.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if _, err := f.log.Append(ctx, zinniayoke.BundleStream, uuid.NewString(), body); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	return nil
}

// leads reports whether this node is the first reader of the whole system.
func (f *follower) leads() bool {
	var all []zinniayoke.NodeID
	for _, m := range f.view.Members() {
		if isHere(m) {
			all = append(all, m.Upstream.Node)
		}
	}
	order := zytree.RendezvousOrder("checkpoint", all)
	return len(order) > 0 && order[0] == f.self
}
