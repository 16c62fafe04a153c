package zybalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybalancer"
)

// benchResolver returns the same upstreams for each service.
type benchResolver []zinniayoke.Upstream

func (r benchResolver) Upstreams(zinniayoke.Service) []zinniayoke.Upstream { return r }

// BenchmarkPick measures a choice among the workers of a service, as many as the services
// of a deployment of 79 hosts have, in two failure domains of each of two regions.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 25} {
		b.Run(fmt.Sprintf("%d", n), func(b *testing.B) {
			var all benchResolver
			for i := range n {
				all = append(all, zinniayoke.Upstream{
					Node: zinniayoke.NodeID(fmt.Sprintf("host%d/0123456789abcdef", i)), Service: "s", Slots: 16, State: zinniayoke.WorkerServing,
					Locality: zinniayoke.Locality{Domain: zinniayoke.Domain(fmt.Sprint("d", i%4)), Region: zinniayoke.Region(fmt.Sprint("r", i%2))},
				})
			}
			p := zybalancer.New(zybalancer.Config{Locality: all[0].Locality, Resolver: all, Random: rand.New(rand.NewPCG(1, 1))})
			now := time.Now()
			for _, u := range all {
				p.Start(now, u.Node)
				p.Replied(now, u.Node, time.Millisecond, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Load: 50})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.Pick(now, "s", 1, nil); !ok {
					b.Fatal("no upstream was found")
				}
			}
		})
	}
}
