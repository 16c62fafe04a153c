package zyquota_test

import (
	"fmt"
	"testing"
	"time"

	"zinniayoke/core/zyexperiment"
)

// BenchmarkTraffic reports the messages for limits at the usual demand of the customers of
// the largest deployment, a 1.6th of their rates, spread over all nodes.
func BenchmarkTraffic(b *testing.B) {
	for _, hosts := range []int{79, 300} {
		b.Run(fmt.Sprintf("%dnodes", hosts), func(b *testing.B) {
			for range b.N {
				const period = 20 * time.Second
				limits := zyexperiment.LargeQuotaLimits()
				s := zyexperiment.NewQuotaSim(zyexperiment.QuotaConfig{Hosts: hosts, Limits: limits, Seed: 1})
				s.Run(10 * time.Second)
				for _, l := range limits {
					s.Load(l.Customer, float64(l.Rate)/1.6, 2*period, zyexperiment.AnyHost)
				}
				s.Run(5 * time.Second)
				s.ResetCounts()
				s.Run(period)
				nodeSeconds := float64(hosts) * period.Seconds()
				c := s.Counts("")
				b.ReportMetric(float64(s.Bytes)/nodeSeconds, "B/node/s")
				b.ReportMetric(float64(s.Messages)/2/nodeSeconds, "exchanges/node/s")
				b.ReportMetric(float64(s.Bytes)/float64(s.Messages)*2, "B/exchange")
				b.ReportMetric(100*float64(c.Refused)/float64(c.Sent), "%refused")
				b.ReportMetric(100*float64(c.Waited)/float64(c.Sent), "%waited")
				b.ReportMetric(float64(c.Sent)/period.Seconds(), "requests/s")
			}
		})
	}
}

// BenchmarkAlternatives compares ways to limit customers over all nodes: the share of requests
// that are refused at the usual demand of all, and the largest part of what the rule allows
// that a customer of 576, 50 or 5 requests a second gets in 5 s when it sends 8 times as much.
func BenchmarkAlternatives(b *testing.B) {
	for _, c := range []struct {
		name   string
		hosts  int
		change func(*zyexperiment.QuotaConfig)
	}{
		{"equalShares", 79, (*zyexperiment.QuotaConfig).UseEqualShares},
		{"atWorkers", 20, (*zyexperiment.QuotaConfig).UseEqualShares},
		{"gossip", 79, func(cfg *zyexperiment.QuotaConfig) { cfg.UseGossip(time.Second) }},
		{"leases", 79, func(*zyexperiment.QuotaConfig) {}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				limits := zyexperiment.LargeQuotaLimits()
				cfg := zyexperiment.QuotaConfig{Hosts: c.hosts, Limits: limits, Seed: 1}
				c.change(&cfg)
				s := zyexperiment.NewQuotaSim(cfg)
				s.Run(10 * time.Second)
				for _, l := range limits {
					s.Load(l.Customer, float64(l.Rate)/1.6, 50*time.Second, zyexperiment.AnyHost)
				}
				s.Run(20 * time.Second)
				all := s.Counts("")
				b.ReportMetric(100*float64(all.Refused)/float64(all.Sent), "%refused")
				b.ReportMetric(float64(s.Bytes)/20/float64(c.hosts), "B/node/s")
				for _, i := range []int{0, 9, len(limits) - 1} {
					usual := s.Counts(limits[i].Customer)
					b.ReportMetric(100*float64(usual.Refused)/float64(usual.Sent), fmt.Sprintf("%%refused%.0f", limits[i].Rate))
					s.Load(limits[i].Customer, 7*float64(limits[i].Rate)/1.6, 6*time.Second, zyexperiment.AnyHost)
				}
				s.Run(8 * time.Second)
				for _, i := range []int{0, 9, len(limits) - 1} {
					w := s.WorstWindow(limits[i].Customer)
					b.ReportMetric(100*w.Requests/w.Allowed, fmt.Sprintf("%%ofRule%.0f", limits[i].Rate))
				}
			}
		})
	}
}
