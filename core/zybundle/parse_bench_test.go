package zybundle_test

import (
	"fmt"
	"strings"
	"testing"

	"zinniayoke/core/zybundle"
)

// largeBundle returns a bundle with about 1000 callers and 510 services.
func largeBundle(tb testing.TB) string {
	var b strings.Builder
	b.WriteString(example(tb, "hollander.bundle.ini"))
	for i := range 1000 {
		fmt.Fprintf(&b, "[caller small-%04d]\ntokenHash = %064x\nurgency = %d\nhome = kurume\n", i, i, i%16)
	}
	for i := range 506 {
		fmt.Fprintf(&b, "[service s%03d]\n[route s%03d/get]\nservice = s%03d\nmethod = GET\npath = /x/{id}\nclass = lookup\nattempts = 10\ncalls = 3\n", i, i, i)
	}
	return b.String()
}

// BenchmarkParse parses a bundle of the largest size that the project is designed
// for.
func BenchmarkParse(b *testing.B) {
	text := []byte(largeBundle(b))
	b.ReportMetric(float64(len(text)), "bytes")
	for range b.N {
		if _, err := zybundle.Parse("large", text); err != nil {
			b.Fatal(err)
		}
	}
}
