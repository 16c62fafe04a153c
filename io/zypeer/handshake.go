package zypeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
)

// messageSize is the size of a nonce and of a proof, an HMAC-SHA-256.
const messageSize = 32

// ErrWrongKey means that the proof of the other side does not match the shared key.
var ErrWrongKey = errors.New("the other side does not hold the shared key")

// HandshakeError is the error of a handshake. Step is the message that could not be
// read, written or verified.
type HandshakeError struct {
	Step string
	Err  error
}

// Error returns the step and the cause.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("peer handshake: %s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error {
	return e.Err
}

// protocol is the format of the messages on a connection. Each side names the newest that
// it knows, and the handshake chooses the older one.
type protocol byte

const (
	// protocolMsgpack is that of the first versions, whose handshake names no protocol.
	protocolMsgpack protocol = 1
	protocolFrames  protocol = 2
	newestProtocol           = protocolFrames
)

// protocolMark is the beginning of the last bytes of the nonce of a client that knows another
// protocol than the first; one byte with the protocol follows. In earlier versions all of the
// nonce is random: once in 2^56 connections the mark appears by chance, and the handshake
// fails.
const protocolMark = "zypeer:"

// offeredProtocol returns the newest protocol that the client with this nonce knows.
func offeredProtocol(nonce []byte) protocol {
	start := messageSize - len(protocolMark) - 1
	if p := protocol(nonce[messageSize-1]); string(nonce[start:messageSize-1]) == protocolMark && p > protocolMsgpack {
		return p
	}
	return protocolMsgpack
}

// side returns the name of a side for its proof. It includes the protocol, so that nobody
// between the two can change the choice.
func (p protocol) side(name string) string {
	if p == protocolMsgpack {
		return name
	}
	return fmt.Sprintf("%s/%d", name, p)
}

// serverHandshake authenticates both sides of an accepted connection and returns the protocol
// to use. Each side sends a nonce and proves with an HMAC over both nonces that it holds the
// shared key. The name of the side is part of the HMAC, so that a proof cannot be reflected.
func serverHandshake(conn net.Conn, key []byte) (protocol, error) {
	clientNonce, err := readMessage(conn, "client's nonce")
	if err != nil {
		return 0, err
	}
	p := min(offeredProtocol(clientNonce), newestProtocol)
	serverNonce := newNonce()
	if err := writeMessage(conn, "server's proof", append(serverNonce, computeProof(key, p.side("server"), clientNonce, serverNonce)...)); err != nil {
		return 0, err
	}
	clientProof, err := readMessage(conn, "client's proof")
	if err != nil {
		return 0, err
	}
	return p, verifyProof(clientProof, computeProof(key, p.side("client"), clientNonce, serverNonce))
}

// clientHandshake is the counterpart of serverHandshake on a dialed connection.
func clientHandshake(conn net.Conn, key []byte) (protocol, error) {
	clientNonce := newNonce()
	copy(clientNonce[messageSize-len(protocolMark)-1:], protocolMark+string(rune(newestProtocol)))
	if err := writeMessage(conn, "client's nonce", clientNonce); err != nil {
		return 0, err
	}
	serverNonce, err := readMessage(conn, "server's nonce")
	if err != nil {
		return 0, err
	}
	serverProof, err := readMessage(conn, "server's proof")
	if err != nil {
		return 0, err
	}
	p := newestProtocol
	for verifyProof(serverProof, computeProof(key, p.side("server"), clientNonce, serverNonce)) != nil {
		if p--; p < protocolMsgpack {
			return 0, &HandshakeError{Step: "proof", Err: ErrWrongKey}
		}
	}
	return p, writeMessage(conn, "client's proof", computeProof(key, p.side("client"), clientNonce, serverNonce))
}

func newNonce() []byte {
	raw := make([]byte, messageSize)
	_, _ = rand.Read(raw) // crypto/rand never returns an error; it crashes the program instead.
	return raw
}

func computeProof(key []byte, side string, client, server []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(side))
	h.Write(client)
	h.Write(server)
	return h.Sum(nil)
}

func verifyProof(got, want []byte) error {
	if !hmac.Equal(got, want) {
		return &HandshakeError{Step: "proof", Err: ErrWrongKey}
	}
	return nil
}

func readMessage(conn net.Conn, step string) ([]byte, error) {
	raw := make([]byte, messageSize)
	if _, err := io.ReadFull(conn, raw); err != nil {
		return nil, &HandshakeError{Step: step, Err: err}
	}
	return raw, nil
}

func writeMessage(conn net.Conn, step string, raw []byte) error {
	if _, err := conn.Write(raw); err != nil {
		return &HandshakeError{Step: step, Err: err}
	}
	return nil
}
