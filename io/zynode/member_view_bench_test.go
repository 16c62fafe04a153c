package zynode

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zymember"
)

// BenchmarkRefresh measures rebuilding the snapshot, which happens after each change
// of the member list.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{460, 920, 1840, 4600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newMemberView("self/1", "d1", nil)
			v.mu = sync.Mutex{}
			v.table = zymember.NewTable(time.Now(), zymember.Config{
				Self: zinniayoke.Upstream{Node: "self/1"}, ProbePeriod: time.Second, Random: rand.New(rand.NewPCG(1, 1)),
			})
			var changes []zymember.Change
			for i := range n {
				changes = append(changes, zymember.Change{Incarnation: 1, Upstream: zinniayoke.Upstream{
					Node: zinniayoke.NodeID(fmt.Sprintf("host-%04d/%016x", i, i)), PeerAddress: fmt.Sprint(i),
					Service:  zinniayoke.Service(fmt.Sprintf("s%d", i%510)),
					Locality: zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprintf("d%d", i%10))},
				}})
			}
			v.table.Merge(time.Now(), changes)
			b.ReportAllocs()
			for range b.N {
				v.refresh()
			}
		})
	}
}
