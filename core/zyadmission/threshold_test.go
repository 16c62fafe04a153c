package zyadmission_test

import (
	"testing"
	"time"

	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zyrank"
)

// TestThresholdAtTheTopmostRank overloads a worker that serves nothing with calls of the
// topmost rank. The threshold overflowed to 0, which admits every call.
func TestThresholdAtTheTopmostRank(t *testing.T) {
	threshold := zyadmission.NewThreshold()
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for range 20 {
			threshold.CountArrival(now, zyrank.Highest)
			threshold.CountShed(now)
		}
		threshold.SetUtilization(now, 1)
		threshold.Tick(now)
	}
	if got := threshold.Value(); got == 0 {
		t.Errorf("threshold %d admits all calls to a worker that serves none", got)
	}
}
