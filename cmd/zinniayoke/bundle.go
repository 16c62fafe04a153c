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
	settings := &cli.StringFlag{Name: "settings", Required: true, Usage: "file with the settings of any node: log and approvers"}
	as := &cli.StringFlag{Name: "as", Required: true, Usage: "your name as an approver"}
	key := &cli.StringFlag{Name: "key", Required: true, Usage: "file with your private key"}
	return &cli.Command{
		Name:  "bundle",
		Usage: "check, propose, sign off, roll out and show bundles",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a bundle", ArgsUsage: "FILE", Action: checkBundle,
				Flags: []cli.Flag{&cli.StringFlag{Name: "against", Usage: "bundle that it is to follow"}},
			},
			{Name: "propose", Usage: "put a bundle into the log", ArgsUsage: "FILE", Action: proposeBundle, Flags: []cli.Flag{settings, as, key}},
			{Name: "sign", Usage: "sign a proposal off", ArgsUsage: "HASH", Action: signOffBundle, Flags: []cli.Flag{settings, as, key}},
			{
				Name: "roll", Usage: "put a proposal into force", ArgsUsage: "HASH", Action: rollOutBundle,
				Flags: []cli.Flag{settings, as, key, waitFlag(), adminsFlag()},
			},
			{Name: "status", Usage: "show what is in force and what waits", Action: bundleStatus, Flags: []cli.Flag{settings, adminsFlag()}},
			{Name: "show", Usage: "print the bundle in force", Action: showBundle, Flags: []cli.Flag{settings}},
		},
	}
}

// MissingArgumentError says that a command lacks its argument.
type MissingArgumentError struct {
	Argument string
}

// Error names the argument.
func (e *MissingArgumentError) Error() string {
	return "one argument is needed: " + e.Argument
}

func requiredArgument(c *cli.Command, wanted string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &MissingArgumentError{Argument: wanted}
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
			return fmt.Errorf("%s may not follow %s:\n%w", file, against, err)
		}
	}
	fmt.Printf("version %d is good: %d callers, %d services, %d routes, hash %s\n",
		b.Version, len(b.Callers), len(b.Services), len(b.Routes), b.Hash)
	return nil
}

func readBundle(file string) (*zybundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("bundle: %w", err)
	}
	b, err := zybundle.Parse(file, text)
	if err != nil {
		return nil, fmt.Errorf("bundle:\n%w", err)
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
			return nil, fmt.Errorf("key: %w", err)
		}
		if cfg.Key, err = zyoperator.ParseKey(strings.TrimSpace(string(text))); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
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
		return fmt.Errorf("bundle: %w", err)
	}
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	hash, err := o.Propose(ctx, file, text)
	if err != nil {
		return fmt.Errorf("propose: %w", err)
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
		return fmt.Errorf("sign: %w", err)
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
		return fmt.Errorf("roll: %w", err)
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
		return fmt.Errorf("status: %w", err)
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
		return fmt.Errorf("show: %w", err)
	}
	if b := state.InForce(); b != nil {
		fmt.Print(string(b.Text))
		return nil
	}
	fmt.Println("; no bundle is in force")
	return nil
}
