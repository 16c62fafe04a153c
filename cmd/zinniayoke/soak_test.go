package main

import (
	"context"
	"os"
	"testing"
	"time"

	"zinniayoke/platform/zysoak"
)

// runAsProgram makes the test binary run as the program.
const runAsProgram = "ZINNIAYOKE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestSoak runs short soaks with fixed seeds. Seeds that have failed are added here, with the
// cause.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{
		1,   // A proxy that ended reset connections regularly passed truncated responses on.
		201, // Code that ignored rate limits and leaves in responses; a check that blamed each worker that got a request for the response of one.
	} {
		report, err := zysoak.Run(context.Background(), zysoak.Config{
			Program: []string{os.Args[0]}, Env: []string{runAsProgram + "=1"}, Dir: t.TempDir(),
			Hosts: 4, Rate: 100, Duration: 10 * time.Second, Seed: seed,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
