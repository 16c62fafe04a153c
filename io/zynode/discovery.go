package zynode

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"zinniayoke"
)

// memberRecord is the body of a record of the member stream, in which a node announces its
// peer address or the departure of its worker.
type memberRecord struct {
	Node      zinniayoke.NodeID     `json:"node,omitempty"`
	Peer      string                `json:"peer,omitempty"`
	Departure *zinniayoke.Departure `json:"departure,omitempty"`
}

// maxDiscoveredPeers limits the result of Find to the most recent addresses.
const maxDiscoveredPeers = 64

// logDiscovery implements zinniayoke.Discovery with the member stream of the shared
// log.
type logDiscovery struct {
	sharedLog zinniayoke.Log
}

// Announce appends the peer address of a node to the member stream.
func (d *logDiscovery) Announce(ctx context.Context, node zinniayoke.NodeID, peer string) error {
	return d.append(ctx, memberRecord{Node: node, Peer: peer})
}

// RecordDepartures appends the departures to the member stream.
func (d *logDiscovery) RecordDepartures(ctx context.Context, list ...zinniayoke.Departure) error {
	for _, departure := range list {
		if err := d.append(ctx, memberRecord{Departure: &departure}); err != nil {
			return err
		}
	}
	return nil
}

// ConfirmEra does nothing: the log has no eras.
func (d *logDiscovery) ConfirmEra(context.Context, zinniayoke.StoreEra) error {
	return nil
}

// DropDepartures does nothing: records expire with the log.
func (d *logDiscovery) DropDepartures(context.Context, []zinniayoke.Departure) error {
	return nil
}

func (d *logDiscovery) append(ctx context.Context, record memberRecord) error {
	body, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode record of the member stream: %w", err)
	}
	if _, err := d.sharedLog.Append(ctx, zinniayoke.MemberStream, uuid.NewString(), body); err != nil {
		return fmt.Errorf("append to member stream: %w", err)
	}
	return nil
}

// Find returns the most recent addresses of the member stream, newest first, and the
// departures in it.
func (d *logDiscovery) Find(ctx context.Context) (zinniayoke.Registry, error) {
	var found zinniayoke.Registry
	from, err := d.sharedLog.First(ctx, zinniayoke.MemberStream)
	if err != nil {
		return found, fmt.Errorf("find start of member stream: %w", err)
	}
	for {
		records, err := d.sharedLog.Read(ctx, zinniayoke.MemberStream, from, readLimit)
		if err != nil {
			return found, fmt.Errorf("read member stream at offset %d: %w", from, err)
		}
		if len(records) == 0 {
			found.Peers = found.Peers[max(len(found.Peers)-maxDiscoveredPeers, 0):]
			slices.Reverse(found.Peers)
			return found, nil
		}
		for _, r := range records {
			var record memberRecord
			if json.Unmarshal(r.Body, &record) != nil {
				continue
			}
			if record.Peer != "" {
				found.Peers = append(found.Peers, record.Peer)
			}
			if record.Departure != nil {
				found.Departures = append(found.Departures, *record.Departure)
			}
		}
		from = records[len(records)-1].Offset + 1
	}
}
