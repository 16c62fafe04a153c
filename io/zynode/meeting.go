package zynode

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"zinniayoke"
)

// memberRecord is the body of a record of the member stream.
type memberRecord struct {
	Node zinniayoke.NodeID `json:"node"`
	Peer string            `json:"peer"`
}

const memberTail = 64

// memberStream is a zinniayoke.Discovery over a stream of the log.
type memberStream struct {
	log zinniayoke.Log
}

// Announce adds this node to the member stream.
func (m *memberStream) Announce(ctx context.Context, node zinniayoke.NodeID, peer string) error {
	body, err := json.Marshal(memberRecord{Node: node, Peer: peer})
	if err != nil {
		return fmt.Errorf("member record: %w", err)
	}
	if _, err := m.log.Append(ctx, zinniayoke.MemberStream, uuid.NewString(), body); err != nil {
		return fmt.Errorf("member record: %w", err)
	}
	return nil
}

// FindPeers returns the last addresses of the member stream.
func (m *memberStream) FindPeers(ctx context.Context) ([]string, error) {
	from, err := m.log.First(ctx, zinniayoke.MemberStream)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	var addresses []string
	for {
		records, err := m.log.Read(ctx, zinniayoke.MemberStream, from, readLimit)
		if err != nil {
			return addresses, fmt.Errorf("members: %w", err)
		}
		if len(records) == 0 {
			addresses = addresses[max(len(addresses)-memberTail, 0):]
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
