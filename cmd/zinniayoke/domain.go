package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke"
	"zinniayoke/io/zynode"
)

const (
	stateTimeout = 2 * time.Second
	awaitTimeout = 30 * time.Second
	pollInterval = 200 * time.Millisecond
)

func waitFlag() cli.Flag {
	return &cli.BoolFlag{Name: "wait", Usage: "return once all domains of the given admin ports have it in force"}
}

func adminsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "admin", Usage: "admin port of a node, one for each failure domain; may be repeated"}
}

// NotInForceError names the admin ports whose nodes lack a version.
type NotInForceError struct {
	Version       zinniayoke.Version
	PendingAdmins []string
}

// Error names the ports.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force at: %s", e.Version, strings.Join(e.PendingAdmins, ", "))
}

func fetchNodeState(ctx context.Context, admin string) (*zynode.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/state", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	state := &zynode.State{}
	if err := json.NewDecoder(resp.Body).Decode(state); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return state, nil
}

// awaitVersion waits until the nodes of all given admin ports have the version.
// The error is a *NotInForceError.
func awaitVersion(ctx context.Context, admins []string, version zinniayoke.Version) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	missing := slices.Clone(admins)
	for len(missing) > 0 && ctx.Err() == nil {
		missing = slices.DeleteFunc(missing, func(admin string) bool {
			state, err := fetchNodeState(ctx, admin)
			if err != nil || state.Version < version {
				return false
			}
			fmt.Printf("in force: %s\n", state.Locality.Domain)
			return true
		})
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	if len(missing) > 0 {
		return &NotInForceError{Version: version, PendingAdmins: missing}
	}
	return nil
}

func printDomainStates(ctx context.Context, admins []string) {
	for _, admin := range admins {
		state, err := fetchNodeState(ctx, admin)
		if err != nil {
			fmt.Printf("%s: out of reach\n", admin)
			continue
		}
		fmt.Printf("%s: version %d since %s, %d members, %d suspected requests\n", state.Locality.Domain,
			state.Version, state.InForceSince.Format(time.RFC3339), len(state.Members), len(state.CrashRecords))
	}
}
