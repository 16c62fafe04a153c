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
