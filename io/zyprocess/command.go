package zyprocess

import (
	"context"

	"github.com/urfave/cli/v3"
)

// Command returns the command that runs a node.
func Command(name string) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: "run the node of this host until SIGINT or SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings file"},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("check") {
				_, err := ReadSettings(c.String("settings"))
				return err
			}
			return Run(ctx, c.String("settings"))
		},
	}
}
