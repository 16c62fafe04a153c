package zybundle_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"zinniayoke/core/zybundle"
)

// TestProblemsAsShown compares what operators see of a bundle with many faults
// with the text kept beside the test; -update writes it anew.
func TestProblemsAsShown(t *testing.T) {
	text := `[bundle]
version = 1.5
approvals = 20
defaultHome = here there
quarantine = 5m

[caller mill]
tokenHash = 12
urgency = high
rate = 50

[route shop/order]
service = shop
method = post
path = order
class = gold
attempts = 0
timeout = 3
maxBody = 1GiB

[shop]
`
	_, err := zybundle.Parse("shop.bundle.ini", []byte(text))
	if err == nil {
		t.Fatal("a bundle with many faults was taken")
	}
	goldie.New(t).Assert(t, "problems", []byte(err.Error()+"\n"))
}
