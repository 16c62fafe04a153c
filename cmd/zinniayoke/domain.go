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
	return &cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force on the nodes at all given admin addresses; fail after 30s"}
}

func adminsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "admin", Usage: "admin address of a node, one for each failure domain; may be repeated"}
}

// NotInForceError reports the nodes on which a version did not come into force
// in time.
type NotInForceError struct {
	Version       zinniayoke.Version
	PendingAdmins []string
}

// Error names the version and the admin addresses of the nodes.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force at: %s", e.Version, strings.Join(e.PendingAdmins, ", "))
}

// fetchNodeState reads /debug/state from the admin port of a node.
func fetchNodeState(ctx context.Context, admin string) (*zynode.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/state", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build state request for %s: %w", admin, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get state of %s: %w", admin, err)
	}
	defer func() { _ = resp.Body.Close() }()
	state := &zynode.State{}
	if err := json.NewDecoder(resp.Body).Decode(state); err != nil {
		return nil, fmt.Errorf("decode state of %s: %w", admin, err)
	}
	return state, nil
}

// awaitVersion polls the nodes at the given admin addresses until the version is
// in force on all of them, for at most awaitTimeout.
// The error is a *NotInForceError.
func awaitVersion(ctx context.Context, admins []string, version zinniayoke.Version) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	pending := slices.Clone(admins)
	for len(pending) > 0 && ctx.Err() == nil {
		pending = slices.DeleteFunc(pending, func(admin string) bool {
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
	if len(pending) > 0 {
		return &NotInForceError{Version: version, PendingAdmins: pending}
	}
	return nil
}

// printDomainStates prints one line for each admin address: the version in force,
// and the number of members and of suspected requests.
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
