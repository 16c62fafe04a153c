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

// logFollower applies the bundle stream of the shared log to the bundle state, and
// appends checkpoints to the stream.
type logFollower struct {
	self        zinniayoke.NodeID
	domain      zinniayoke.Domain
	sharedLog   zinniayoke.Log
	bundle      *bundleState
	view        *memberView
	distributor *bundleDistributor
	logger      *zylogger.ComponentLogger

	mu sync.Mutex
	// next is the offset of the next unread record.
	next           zinniayoke.Offset
	unreachable    bool
	lastCheckpoint time.Time
}

const (
	readTimeout      = 2 * time.Second
	readLimit        = 256
	checkpointPeriod = 5 * time.Minute
)

// Poll reads the new records if this node is one of the log readers of its failure
// domain; the other nodes get bundles from peers.
func (f *logFollower) Poll(now time.Time) {
	if !zytree.IsLogReader(f.self, f.domain, f.view.KeyOwners(f.domain)) {
		return
	}
	if err := f.ReadNew(); err != nil {
		f.setUnreachable(true)
		return
	}
	f.setUnreachable(false)
	f.checkpoint(now)
}

// ReadNew applies all new records and distributes the bundle if a newer one came
// into force. It returns an error only if the log cannot be read.
func (f *logFollower) ReadNew() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	before := f.bundle.Version()
	err := f.readAll(ctx)
	if f.bundle.Version() > before {
		f.distributor.Distribute(f.self)
	}
	return err
}

func (f *logFollower) readAll(ctx context.Context) error {
	for {
		records, err := f.sharedLog.Read(ctx, zinniayoke.BundleStream, f.next, readLimit)
		var expired *zinniayoke.ExpiredError
		if errors.As(err, &expired) && expired.First > f.next {
			f.next = expired.First
			f.bundle.MarkRecordsExpired()
			continue
		}
		if err != nil {
			return fmt.Errorf("read bundle stream at offset %d: %w", f.next, err)
		}
		if len(records) == 0 {
			return nil
		}
		f.apply(records)
	}
}

// apply applies records in order. It skips records that were applied before, which
// a log replica with stale data may return.
func (f *logFollower) apply(records []zinniayoke.Record) {
	for _, r := range records {
		if r.Offset < f.next {
			continue
		}
		f.next = r.Offset + 1
		if err := f.bundle.Apply(r); err != nil {
			f.logger.With("offset", r.Offset).With("error", err).Info("A record of the bundle stream has no effect.")
		}
	}
}

// setUnreachable notes and logs when the shared log becomes unreachable and reachable again.
func (f *logFollower) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if unreachable == f.unreachable {
		return
	}
	f.unreachable = unreachable
	if unreachable {
		f.logger.Warn("The shared log is unreachable. Calls continue under the bundle in force.")
		return
	}
	f.logger.Info("The shared log is reachable again.")
}

// checkpoint appends the bundle in force to the stream again every
// checkpointPeriod, well before its records expire. One of the log readers does it.
func (f *logFollower) checkpoint(now time.Time) {
	if f.lastCheckpoint.IsZero() {
		f.lastCheckpoint = now
	}
	if now.Sub(f.lastCheckpoint) < checkpointPeriod || f.bundle.Current() == nil || zytree.CheckpointWriter(f.view.AllKeyOwners()) != f.self {
		return
	}
	f.lastCheckpoint = now
	if err := f.writeCheckpoint(); err != nil {
		f.logger.With("error", err).Warn("A checkpoint could not be written to the bundle stream.")
	}
}

func (f *logFollower) writeCheckpoint() error {
	lineage, _ := f.bundle.Lineage("")
	entry := zyagreement.Entry{Kind: zyagreement.KindCheckpoint, Version: f.bundle.Version(), Lineage: lineage}
	body, err := entry.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if _, err := f.sharedLog.Append(ctx, zinniayoke.BundleStream, uuid.NewString(), body); err != nil {
		return fmt.Errorf("append checkpoint of version %d: %w", entry.Version, err)
	}
	return nil
}
