package zynode

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"zinniayoke"
)

// memberRecord is the body of a record of the member stream, in which each node
// announces its peer address.
type memberRecord struct {
	Node zinniayoke.NodeID `json:"node"`
	Peer string            `json:"peer"`
}

// maxDiscoveredPeers limits the result of FindPeers to the most recent addresses.
const maxDiscoveredPeers = 64

// logDiscovery implements zinniayoke.Discovery with the member stream of the shared
// log.
type logDiscovery struct {
	sharedLog zinniayoke.Log
}

// Announce appends the peer address of a node to the member stream.
func (d *logDiscovery) Announce(ctx context.Context, node zinniayoke.NodeID, peer string) error {
	body, err := json.Marshal(memberRecord{Node: node, Peer: peer})
	if err != nil {
		return fmt.Errorf("encode member record of %s: %w", node, err)
	}
	if _, err := d.sharedLog.Append(ctx, zinniayoke.MemberStream, uuid.NewString(), body); err != nil {
		return fmt.Errorf("announce %s at %s in member stream: %w", node, peer, err)
	}
	return nil
}

// FindPeers returns the most recent addresses of the member stream, newest first.
func (d *logDiscovery) FindPeers(ctx context.Context) ([]string, error) {
	from, err := d.sharedLog.First(ctx, zinniayoke.MemberStream)
	if err != nil {
		return nil, fmt.Errorf("find start of member stream: %w", err)
	}
	var addresses []string
	for {
		records, err := d.sharedLog.Read(ctx, zinniayoke.MemberStream, from, readLimit)
		if err != nil {
			return addresses, fmt.Errorf("read member stream at offset %d: %w", from, err)
		}
		if len(records) == 0 {
			addresses = addresses[max(len(addresses)-maxDiscoveredPeers, 0):]
			slices.Reverse(addresses)
			return addresses, nil
		}
		for _, r := range records {
			var record memberRecord
			if json.Unmarshal(r.Body, &record) == nil && record.Peer != "" {
				addresses = append(addresses, record.Peer)
			}
		}
		from = records[len(records)-1].Offset + 1
	}
}
