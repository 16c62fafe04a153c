package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke/core/zyexperiment"
)

func experimentCommand() *cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers"}
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the project's decisions in virtual time",
		Commands: []*cli.Command{
			{
				Name: "members", Usage: "membership as the number of nodes grows", Action: runMembers,
				Flags: []cli.Flag{
					seed,
					&cli.IntSliceFlag{Name: "members", Value: []int{50, 100, 200, 400, 800}, Usage: "numbers of nodes"},
					&cli.FloatFlag{Name: "loss", Usage: "share of packets that are lost"},
					&cli.DurationFlag{Name: "quiet", Value: 20 * time.Second, Usage: "time before and after the failure"},
					&cli.IntFlag{Name: "crash", Value: 1, Usage: "nodes that crash at once"},
				},
			},
		},
	}
}

func runMembers(_ context.Context, c *cli.Command) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, n := range c.IntSlice("members") {
		result := zyexperiment.RunMembers(zyexperiment.MemberConfig{
			Members: n, Loss: c.Float("loss"), Seed: c.Uint64("seed"), Quiet: c.Duration("quiet"), Crash: c.Int("crash"),
		})
		if err := encoder.Encode(result); err != nil {
			return fmt.Errorf("result: %w", err)
		}
	}
	return nil
}
