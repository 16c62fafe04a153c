package zybundle_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"zinniayoke/core/zybundle"
)

// TestProblemsGolden compares the problems of an invalid bundle with
// testdata/problems.golden; run the test with -update to rewrite that file.
func TestProblemsGolden(t *testing.T) {
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
		t.Fatal("Parse accepted an invalid bundle")
	}
	goldie.New(t).Assert(t, "problems", []byte(err.Error()+"\n"))
}
