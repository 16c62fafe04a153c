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

const nonceSize = 32

// ErrWrongKey says that the other side does not hold the shared key.
var ErrWrongKey = errors.New("the other side does not hold the shared key")

// HandshakeError says at which step a new connection failed.
type HandshakeError struct {
	Step string
	Err  error
}

// Error names the step and the cause.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("peer handshake: %s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error {
	return e.Err
}

// welcome is the server's side: both sides prove that they hold the key by a
// code over both nonces.
func welcome(conn net.Conn, key []byte) error {
	theirs, err := read(conn, "client's nonce")
	if err != nil {
		return err
	}
	mine := nonce()
	if err := write(conn, "server's proof", append(mine, proof(key, "server", theirs, mine)...)); err != nil {
		return err
	}
	got, err := read(conn, "client's proof")
	if err != nil {
		return err
	}
	return verify(got, proof(key, "client", theirs, mine))
}

// greet is the client's side.
func greet(conn net.Conn, key []byte) error {
	mine := nonce()
	if err := write(conn, "client's nonce", mine); err != nil {
		return err
	}
	theirs, err := read(conn, "server's nonce")
	if err != nil {
		return err
	}
	got, err := read(conn, "server's proof")
	if err != nil {
		return err
	}
	if err := verify(got, proof(key, "server", mine, theirs)); err != nil {
		return err
	}
	return write(conn, "client's proof", proof(key, "client", mine, theirs))
}

func nonce() []byte {
	raw := make([]byte, nonceSize)
	_, _ = rand.Read(raw) // It never fails: the runtime ends the program instead.
	return raw
}

func proof(key []byte, side string, client, server []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(side))
	h.Write(client)
	h.Write(server)
	return h.Sum(nil)
}

func verify(got, want []byte) error {
	if !hmac.Equal(got, want) {
		return &HandshakeError{Step: "proof", Err: ErrWrongKey}
	}
	return nil
}

func read(conn net.Conn, step string) ([]byte, error) {
	raw := make([]byte, nonceSize)
	if _, err := io.ReadFull(conn, raw); err != nil {
		return nil, &HandshakeError{Step: step, Err: err}
	}
	return raw, nil
}

func write(conn net.Conn, step string, raw []byte) error {
	if _, err := conn.Write(raw); err != nil {
		return &HandshakeError{Step: step, Err: err}
	}
	return nil
}
