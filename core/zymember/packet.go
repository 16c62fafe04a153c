// Package zymember implements the SWIM membership protocol. Each node probes one
// member per period, asks other members to probe a member that sends no ack, and
// spreads changes by attaching them to its packets. A Table does no I/O and reads no
// clock: the caller passes in received packets and the current time.
package zymember

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/ugorji/go/codec"

	"zinniayoke"
)

// PacketKind is the kind of a packet. The zero value is Ping.
type PacketKind int

// The kinds of packets.
const (
	// Ping asks a member for an Ack.
	Ping PacketKind = iota
	// PingRequest asks a member to ping Target and to pass its Ack on.
	PingRequest
	// Ack acknowledges a Ping.
	Ack
	// Beat says that a reader of the bundle source reads it, and whether without errors.
	Beat
)

// MaxPacketSize is the largest size in bytes of a packet that is sent. It is below
// the usual path MTU.
const MaxPacketSize = 1200

const (
	macSize = 16
	// maxChangesSize is the space in bytes for the changes in a packet; 200 bytes are
	// left for the other fields.
	maxChangesSize = MaxPacketSize - macSize - 200
	// maxChanges limits the number of changes in a received packet.
	maxChanges = 64
)

// Packet is one UDP message between nodes.
type Packet struct {
	Kind PacketKind        `codec:"k"`
	From zinniayoke.NodeID `codec:"f"`
	// FromAddress is the address at which the sender receives packets.
	FromAddress string `codec:"a"`
	Sequence    uint64 `codec:"s"`
	// Target is the member that a PingRequest asks to probe, or the member that a Ping
	// is meant for.
	Target        zinniayoke.NodeID `codec:"t"`
	TargetAddress string            `codec:"d"`
	// Version is the bundle version in force at the sender. The receiver compares it
	// with its own to notice a version that it has missed.
	Version zinniayoke.Version `codec:"v"`
	Changes []Change           `codec:"c"`
	// Root is the reader that a Beat started from. Sequence numbers the beats of that
	// reader.
	Root zinniayoke.NodeID `codec:"r"`
	// Failing is true in a Beat if the reads of Root fail.
	Failing bool `codec:"x"`
}

// Change is the state of one member, or a report about a suspect request.
type Change struct {
	Upstream zinniayoke.Upstream     `codec:"u"`
	Status   zinniayoke.MemberStatus `codec:"s"`
	// Incarnation grows with each change that the member makes to its own entry.
	Incarnation zinniayoke.Incarnation `codec:"c"`
	// Fingerprint identifies a request that is suspected of crashing workers. If it is
	// set, the change is a report about that request: only the two fields below are
	// set, and no field of a member.
	Fingerprint uint64 `codec:"p"`
	// Crashes counts workers that crashed while they ran the request.
	Crashes int `codec:"r"`
	// CrashesAlone counts those of them that ran nothing else.
	CrashesAlone int `codec:"l"`
	// Departure is the acknowledged departure of a worker. If it is set, no field of a member
	// is. Nodes of earlier versions ignore it.
	Departure *zinniayoke.Departure `codec:"d"`
	// Recorded is when the departure was recorded, in Unix milliseconds.
	Recorded int64 `codec:"m"`
}

// DepartureChange returns the change that reports the departure.
func DepartureChange(d zinniayoke.Departure) Change {
	c := Change{Recorded: d.Recorded.UnixMilli()}
	d.Recorded = time.Time{}
	c.Departure = &d
	return c
}

// OutgoingPacket is a packet to send and its destination address.
type OutgoingPacket struct {
	To     string
	Packet Packet
}

// PacketError reports why a packet or a list of changes cannot be encoded or decoded.
type PacketError struct {
	Problem string
	Err     error
}

// Error returns the problem and its cause.
func (e *PacketError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("membership message: %s: %v", e.Problem, e.Err)
	}
	return "membership message: " + e.Problem
}

// Unwrap returns the cause, or nil.
func (e *PacketError) Unwrap() error {
	return e.Err
}

// newHandle returns the codec settings: structs as arrays, and limits on allocation
// and nesting for untrusted input.
func newHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxInitLen = maxChanges
	h.MaxDepth = 8
	h.StructToArray = true
	return h
}

// Seal encodes a packet and prepends a message authentication code. It leaves out the
// last changes of a packet that would exceed MaxPacketSize; later packets repeat them.
func Seal(key []byte, p *Packet) ([]byte, error) {
	fitting := *p
	for {
		var body []byte
		if err := codec.NewEncoderBytes(&body, newHandle()).Encode(&fitting); err != nil {
			return nil, &PacketError{Problem: "encoding", Err: err}
		}
		if macSize+len(body) <= MaxPacketSize || len(fitting.Changes) == 0 {
			return append(mac(key, body), body...), nil
		}
		fitting.Changes = fitting.Changes[:len(fitting.Changes)-1]
	}
}

// Open verifies the authentication code of a packet and decodes the packet. The
// error is a *PacketError.
func Open(key, raw []byte) (*Packet, error) {
	if len(raw) <= macSize || len(raw) > MaxPacketSize*2 {
		return nil, &PacketError{Problem: fmt.Sprintf("packet of %d bytes, want %d to %d", len(raw), macSize+1, MaxPacketSize*2)}
	}
	body := raw[macSize:]
	if !hmac.Equal(raw[:macSize], mac(key, body)) {
		return nil, &PacketError{Problem: "wrong authentication code"}
	}
	return decode(body)
}

func decode(body []byte) (*Packet, error) {
	p := &Packet{}
	if err := codec.NewDecoderBytes(body, newHandle()).Decode(p); err != nil {
		return nil, &PacketError{Problem: "decoding", Err: err}
	}
	if p.From == "" || len(p.Changes) > maxChanges || p.Kind < Ping || p.Kind > Beat {
		return nil, &PacketError{Problem: fmt.Sprintf("field out of range: sender %q, kind %d, %d changes", p.From, p.Kind, len(p.Changes))}
	}
	return p, nil
}

// mac returns the authentication code of body: HMAC-SHA-256, truncated to macSize.
func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

// maxEncodedSize returns an upper bound on the encoded size of a change in bytes.
func maxEncodedSize(c Change) int {
	const fixed = 56
	u := c.Upstream
	if d := c.Departure; d != nil {
		return fixed + len(d.Host) + len(d.Instance)
	}
	return fixed + len(u.Node) + len(u.Locality.Domain) + len(u.Locality.Region) + len(u.PeerAddress) + len(u.Service)
}
