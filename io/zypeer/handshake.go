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

// serverHandshake authenticates both sides of an accepted connection. Each side sends a
// nonce and proves with an HMAC over both nonces that it holds the shared key. The name
// of the side is part of the HMAC, so that a proof cannot be reflected.
func serverHandshake(conn net.Conn, key []byte) error {
	clientNonce, err := readMessage(conn, "client's nonce")
	if err != nil {
		return err
	}
	serverNonce := newNonce()
	if err := writeMessage(conn, "server's proof", append(serverNonce, computeProof(key, "server", clientNonce, serverNonce)...)); err != nil {
		return err
	}
	clientProof, err := readMessage(conn, "client's proof")
	if err != nil {
		return err
	}
	return verifyProof(clientProof, computeProof(key, "client", clientNonce, serverNonce))
}

// clientHandshake is the counterpart of serverHandshake on a dialed connection.
func clientHandshake(conn net.Conn, key []byte) error {
	clientNonce := newNonce()
	if err := writeMessage(conn, "client's nonce", clientNonce); err != nil {
		return err
	}
	serverNonce, err := readMessage(conn, "server's nonce")
	if err != nil {
		return err
	}
	serverProof, err := readMessage(conn, "server's proof")
	if err != nil {
		return err
	}
	if err := verifyProof(serverProof, computeProof(key, "server", clientNonce, serverNonce)); err != nil {
		return err
	}
	return writeMessage(conn, "client's proof", computeProof(key, "client", clientNonce, serverNonce))
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
