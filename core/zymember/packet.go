// Package zymember keeps the list of nodes by the SWIM protocol: each node
// probes one member a period, asks others to probe one that does not answer,
// and passes changes on with its packets. It is a state machine that is handed
// packets and the time.
package zymember

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

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
	// Ack answers a Ping.
	Ack
)

// MaxPacketSize is the largest packet in bytes, below the usual path MTU.
const MaxPacketSize = 1200

const (
	macSize = 16
	// roomForChanges is what a packet has left for changes.
	roomForChanges = MaxPacketSize - macSize - 200
	// mostChanges bounds the changes of a packet that is received.
	mostChanges = 64
)

// Packet is one UDP message between nodes.
type Packet struct {
	Kind PacketKind        `codec:"k"`
	From zinniayoke.NodeID `codec:"f"`
	// FromAddress is where the sender takes packets.
	FromAddress string `codec:"a"`
	Sequence    uint64 `codec:"s"`
	// Target is whom a PingRequest is about, and whom a Ping is meant for.
	Target        zinniayoke.NodeID `codec:"t"`
	TargetAddress string            `codec:"d"`
	// Version is the sender's bundle version, so that lost news is noticed.
	Version zinniayoke.Version `codec:"v"`
	Changes []Change           `codec:"c"`
}

// Change is the news about one member.
type Change struct {
	Upstream zinniayoke.Upstream     `codec:"u"`
	Status   zinniayoke.MemberStatus `codec:"s"`
	// Incarnation grows with each change that the member itself makes.
	Incarnation zinniayoke.Incarnation `codec:"c"`
	// Fingerprint is set for the news that a request is suspected, and nothing else is.
	Fingerprint  uint64 `codec:"p"`
	Crashes      int    `codec:"r"`
	CrashesAlone int    `codec:"l"`
}

// OutgoingPacket is a packet on its way to an address.
type OutgoingPacket struct {
	To     string
	Packet Packet
}

// PacketError says why bytes are not a packet of this system.
type PacketError struct {
	Problem string
	Err     error
}

// Error returns the problem and its cause.
func (e *PacketError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("membership packet: %s: %v", e.Problem, e.Err)
	}
	return "membership packet: " + e.Problem
}

// Unwrap returns the cause, which may be nil.
func (e *PacketError) Unwrap() error {
	return e.Err
}

func handle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxInitLen = mostChanges
	h.MaxDepth = 8
	h.StructToArray = true
	return h
}

// Seal encodes a packet and puts its authentication code in front.
func Seal(key []byte, p *Packet) ([]byte, error) {
	var body []byte
	if err := codec.NewEncoderBytes(&body, handle()).Encode(p); err != nil {
		return nil, &PacketError{Problem: "encoding", Err: err}
	}
	return append(mac(key, body), body...), nil
}

// Open checks and decodes a packet. The error is a *PacketError.
func Open(key, raw []byte) (*Packet, error) {
	if len(raw) <= macSize || len(raw) > MaxPacketSize*2 {
		return nil, &PacketError{Problem: fmt.Sprintf("%d bytes", len(raw))}
	}
	body := raw[macSize:]
	if !hmac.Equal(raw[:macSize], mac(key, body)) {
		return nil, &PacketError{Problem: "wrong authentication code"}
	}
	return decode(body)
}

func decode(body []byte) (*Packet, error) {
	p := &Packet{}
	if err := codec.NewDecoderBytes(body, handle()).Decode(p); err != nil {
		return nil, &PacketError{Problem: "decoding", Err: err}
	}
	if p.From == "" || len(p.Changes) > mostChanges || p.Kind < Ping || p.Kind > Ack {
		return nil, &PacketError{Problem: "fields out of range"}
	}
	return p, nil
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

// sizeOf bounds the encoded size of a change.
func sizeOf(c Change) int {
	const fixed = 46
	u := c.Upstream
	return fixed + len(u.Node) + len(u.Locality.Domain) + len(u.Locality.Region) + len(u.PeerAddress) + len(u.Service)
}
