package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"zinniayoke/io/zyoperator"
)

// secretSize is the number of random bytes in peer keys and tokens.
const secretSize = 32

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate keys and tokens",
		Commands: []*cli.Command{
			{
				Name: "new", Usage: "generate an approver's key pair and print the public key", Action: newKey,
				Flags: []cli.Flag{&cli.StringFlag{Name: "out", Required: true, Usage: "file for the private key; must not exist yet"}},
			},
			{Name: "peer", Usage: "print a new shared key for the setting [peers] key", Action: newPeerKey},
			{Name: "token", Usage: "print a new token for a caller, or key of a customer, and its hash for the bundle", Action: newToken},
		},
	}
}

func newKey(_ context.Context, c *cli.Command) error {
	private, public, err := zyoperator.GenerateKey()
	if err != nil {
		return err
	}
	const ownerOnly = 0o600
	f, err := os.OpenFile(c.String("out"), os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return fmt.Errorf("create private key file: %w", err)
	}
	if _, err := fmt.Fprintln(f, private); err != nil {
		_ = f.Close()
		return fmt.Errorf("write private key: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close private key file: %w", err)
	}
	fmt.Println(public)
	return nil
}

// newSecret returns secretSize random bytes in hex.
func newSecret() string {
	raw := make([]byte, secretSize)
	_, _ = rand.Read(raw) // Never returns an error: crypto/rand crashes the program instead.
	return hex.EncodeToString(raw)
}

func newPeerKey(context.Context, *cli.Command) error {
	fmt.Println(newSecret())
	return nil
}

func newToken(context.Context, *cli.Command) error {
	token := newSecret()
	sum := sha256.Sum256([]byte(token))
	fmt.Printf("token %s\ntokenHash = %s\n", token, hex.EncodeToString(sum[:]))
	return nil
}
