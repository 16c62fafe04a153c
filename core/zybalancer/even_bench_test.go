package zybalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybalancer"
)

// BenchmarkPickEven compares the cost of a choice among 40 workers with and without even load.
func BenchmarkPickEven(b *testing.B) {
	var r resolver
	for i := range 40 {
		r = append(r, upstream(fmt.Sprint("w", i), zinniayoke.Domain(fmt.Sprint("d", i%4)), zinniayoke.Region(fmt.Sprint("r", i%4/2))))
	}
	p := zybalancer.New(zybalancer.Config{Locality: r[0].Locality, Resolver: r, Random: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(0, 0)
	for i, u := range r {
		p.Start(now, u.Node)
		report := &zinniayoke.LoadReport{Limit: 9, Running: i % 10, Speed: 1, HoldTime: 100 * time.Millisecond}
		reply := &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone, Report: report}
		p.Replied(now, u.Node, time.Millisecond, reply)
		p.ObserveReport(now, u, reply)
	}
	now = now.Add(50 * time.Millisecond)
	b.Run("power of two choices", func(b *testing.B) {
		for b.Loop() {
			p.Pick(now, "s", 0, nil)
		}
	})
	b.Run("even load", func(b *testing.B) {
		for b.Loop() {
			p.PickEven(now, zybalancer.EvenRequest{Service: "s", Tolerance: 100 * time.Millisecond})
		}
	})
}
