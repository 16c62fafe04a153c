package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zybundle"
	"zinniayoke/io/zylog"
	"zinniayoke/io/zyoperator"
)

func bundleCommand() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Required: true, Usage: "settings file of any node; gives the address of the log and the approvers"}
	as := &cli.StringFlag{Name: "as", Required: true, Usage: "approver name to act as"}
	key := &cli.StringFlag{Name: "key", Required: true, Usage: "file with the private key of that approver"}
	return &cli.Command{
		Name:  "bundle",
		Usage: "check, propose, approve, roll out and show configuration bundles",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "validate a bundle", ArgsUsage: "FILE", Action: checkBundle,
				Flags: []cli.Flag{&cli.StringFlag{Name: "against", Usage: "predecessor bundle; also check that FILE is a valid successor of it"}},
			},
			{Name: "propose", Usage: "append a bundle to the log as a proposal", ArgsUsage: "FILE", Action: proposeBundle, Flags: []cli.Flag{settings, as, key}},
			{Name: "sign", Usage: "sign off on a proposal", ArgsUsage: "HASH", Action: signOffBundle, Flags: []cli.Flag{settings, as, key}},
			{
				Name: "roll", Usage: "put an approved proposal into force", ArgsUsage: "HASH", Action: rollOutBundle,
				Flags: []cli.Flag{settings, as, key, waitFlag(), adminsFlag()},
			},
			{Name: "status", Usage: "show the version in force and the pending proposals", Action: bundleStatus, Flags: []cli.Flag{settings, adminsFlag()}},
			{Name: "show", Usage: "print the bundle in force", Action: showBundle, Flags: []cli.Flag{settings}},
		},
	}
}

// MissingArgumentError reports a command that was not given exactly one argument.
type MissingArgumentError struct {
	Argument string
}

// Error names the required argument.
func (e *MissingArgumentError) Error() string {
	return "exactly one argument is required: " + e.Argument
}

// requiredArgument returns the only argument of the command. The error is a
// *MissingArgumentError.
func requiredArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &MissingArgumentError{Argument: name}
	}
	return c.Args().First(), nil
}

func checkBundle(_ context.Context, c *cli.Command) error {
	file, err := requiredArgument(c, "FILE")
	if err != nil {
		return err
	}
	b, err := readBundle(file)
	if err != nil {
		return err
	}
	if against := c.String("against"); against != "" {
		parent, err := readBundle(against)
		if err != nil {
			return err
		}
		if err := parent.CheckSuccessor(b); err != nil {
			return fmt.Errorf("check bundle %s: not a valid successor of %s:\n%w", file, against, err)
		}
	}
	fmt.Printf("version %d is good: %d callers, %d services, %d routes, hash %s\n",
		b.Version, len(b.Callers), len(b.Services), len(b.Routes), b.Hash)
	return nil
}

func readBundle(file string) (*zybundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read bundle: %w", err)
	}
	b, err := zybundle.Parse(file, text)
	if err != nil {
		return nil, fmt.Errorf("parse bundle %s:\n%w", file, err)
	}
	return b, nil
}

func newOperator(c *cli.Command) (*zyoperator.Operator, error) {
	settings, err := readSettings(c.String("settings"))
	if err != nil {
		return nil, err
	}
	cfg := zyoperator.Config{
		Log:     zylog.NewClient(zylog.ClientConfig{Address: settings.LogAddress}),
		Genesis: zyagreement.ApprovalPolicy{Approvals: settings.Genesis.Approvals, Approvers: settings.Genesis.Approvers},
		Name:    c.String("as"),
	}
	if file := c.String("key"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read approver key: %w", err)
		}
		if cfg.Key, err = zyoperator.ParseKey(strings.TrimSpace(string(text))); err != nil {
			return nil, fmt.Errorf("parse approver key %s: %w", file, err)
		}
	}
	return zyoperator.New(cfg), nil
}

func proposeBundle(ctx context.Context, c *cli.Command) error {
	file, err := requiredArgument(c, "FILE")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read bundle to propose: %w", err)
	}
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	hash, err := o.Propose(ctx, file, text)
	if err != nil {
		return fmt.Errorf("propose bundle %s: %w", file, err)
	}
	fmt.Println(hash)
	return nil
}

func signOffBundle(ctx context.Context, c *cli.Command) error {
	hash, err := requiredArgument(c, "HASH")
	if err != nil {
		return err
	}
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	if err := o.SignOff(ctx, zybundle.Hash(hash)); err != nil {
		return fmt.Errorf("sign off proposal %s: %w", hash, err)
	}
	fmt.Println("signed off")
	return nil
}

func rollOutBundle(ctx context.Context, c *cli.Command) error {
	hash, err := requiredArgument(c, "HASH")
	if err != nil {
		return err
	}
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	version, err := o.RollOut(ctx, zybundle.Hash(hash))
	if err != nil {
		return fmt.Errorf("roll out proposal %s: %w", hash, err)
	}
	fmt.Printf("version %d is rolled out\n", version)
	if !c.Bool("wait") {
		return nil
	}
	return awaitVersion(ctx, c.StringSlice("admin"), version)
}

func bundleStatus(ctx context.Context, c *cli.Command) error {
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	state, _, err := o.ReadState(ctx)
	if err != nil {
		return fmt.Errorf("bundle status: read the log: %w", err)
	}
	fmt.Printf("in the log: version %d %s, %d records without effect\n", state.Version(), state.Hash(), state.Skipped())
	for _, p := range state.Proposals() {
		fmt.Printf("waits: version %d %s by %s, %d of %d sign-offs\n",
			p.Bundle.Version, p.Entry.Hash, p.Entry.Author, len(p.SignOffs), state.RequiredSignOffs())
	}
	printDomainStates(ctx, c.StringSlice("admin"))
	return nil
}

func showBundle(ctx context.Context, c *cli.Command) error {
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	state, _, err := o.ReadState(ctx)
	if err != nil {
		return fmt.Errorf("show bundle: read the log: %w", err)
	}
	if b := state.InForce(); b != nil {
		fmt.Print(string(b.Text))
		return nil
	}
	fmt.Println("; no bundle is in force")
	return nil
}
