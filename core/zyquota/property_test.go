package zyquota_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyexperiment"
	"zinniayoke/core/zyquota"
)

// Use a fixed seed by default; the command line overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func limit(customer string, rate, burst float64) zinniayoke.CustomerLimit {
	return zinniayoke.CustomerLimit{Customer: zinniayoke.Customer(customer), Rate: zinniayoke.Rate(rate), Burst: burst}
}

// drive runs a random sequence of faults and floods and returns the violation of the rule.
func drive(t *rapid.T, cfg zyexperiment.QuotaConfig) string {
	cfg.Hosts = rapid.IntRange(3, 20).Draw(t, "hosts")
	cfg.Seed = rapid.Uint64().Draw(t, "seed")
	rates := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 3, 10, 50, 200}), 3, 3).Draw(t, "rates")
	burst := rapid.SampledFrom([]float64{1, 3}).Draw(t, "burst")
	version := func(factor float64) []zinniayoke.CustomerLimit {
		var list []zinniayoke.CustomerLimit
		for i, rate := range rates {
			list = append(list, limit(fmt.Sprint("c", i), rate*factor, burst*rate*factor))
		}
		return list
	}
	cfg.Limits = version(1)
	cfg.NotRun = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "not run")
	s := zyexperiment.NewQuotaSim(cfg)
	s.Run(10 * time.Second)
	host := rapid.IntRange(0, cfg.Hosts-1)
	if rapid.Bool().Draw(t, "usual load") {
		for i, rate := range rates {
			s.Load(zinniayoke.Customer(fmt.Sprint("c", i)), rate/1.6, time.Hour, zyexperiment.AnyHost)
		}
	}
	for range rapid.IntRange(2, 8).Draw(t, "steps") {
		switch rapid.SampledFrom([]string{"crash", "restart", "separate", "split", "heal", "pause", "version", "flood", "flood", "tour"}).Draw(t, "fault") {
		case "crash":
			s.Crash(host.Draw(t, "host"))
		case "restart":
			h := host.Draw(t, "host")
			s.Crash(h)
			s.Run(rapid.SampledFrom([]time.Duration{200 * time.Millisecond, 3 * time.Second}).Draw(t, "down"))
			s.Start(h)
		case "separate":
			h := host.Draw(t, "host")
			s.Separate(h, 1+h)
		case "split":
			for h := range rapid.IntRange(1, cfg.Hosts-1).Draw(t, "cut off") {
				s.Separate(h, 1)
			}
		case "heal":
			for h := range cfg.Hosts {
				s.Separate(h, 0)
				s.Start(h)
			}
		case "pause":
			s.Pause(host.Draw(t, "host"), rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 8 * time.Second}).Draw(t, "pause"))
		case "version":
			s.SetLimits(version(rapid.SampledFrom([]float64{0.3, 1, 2}).Draw(t, "factor")))
		case "tour": // Each host in turn gets tokens ahead of need.
			i := rapid.IntRange(0, len(rates)-1).Draw(t, "customer")
			for h := range cfg.Hosts {
				s.Load(zinniayoke.Customer(fmt.Sprint("c", i)), 2*rates[i], 300*time.Millisecond, h)
				s.Run(1200 * time.Millisecond)
			}
			s.Load(zinniayoke.Customer(fmt.Sprint("c", i)), 8*rates[i], 6*time.Second, zyexperiment.AnyHost)
		case "flood":
			i := rapid.IntRange(0, len(rates)-1).Draw(t, "customer")
			s.Load(zinniayoke.Customer(fmt.Sprint("c", i)), 8*rates[i], 6*time.Second, zyexperiment.AnyHost)
		}
		s.Run(rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 7 * time.Second}).Draw(t, "then"))
	}
	s.Run(8 * time.Second)
	return s.Violation()
}

// TestRuleUnderFaults lets customers flood the nodes while nodes crash, restart, are paused
// and cut off, and limits change. In no window may more requests run than the rule allows.
func TestRuleUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := drive(t, zyexperiment.QuotaConfig{}); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestRuleFindsMutations runs the same sequences on faulty versions of the limits. Each must
// break the rule, or TestRuleUnderFaults could not find that fault.
func TestRuleFindsMutations(t *testing.T) {
	for name, cfg := range map[string]zyexperiment.QuotaConfig{
		"a successor starts with a full bucket": {NewOwner: func(c zyquota.OwnerConfig) zyexperiment.QuotaOwner {
			return &fullStart{Owner: zyquota.NewOwner(c), since: make(map[zinniayoke.Customer]time.Time), used: make(map[zinniayoke.Customer]int)}
		}},
		"a token is returned twice": {NewLeases: func(c zyquota.LeasesConfig) zyexperiment.QuotaLeases {
			return &returnTwice{Leases: zyquota.NewLeases(c)}
		}},
		"a grant never expires": {NewLeases: func(c zyquota.LeasesConfig) zyexperiment.QuotaLeases {
			return &neverExpires{Leases: zyquota.NewLeases(c), leased: make(map[zinniayoke.Customer]time.Time)}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			found := ""
			rapid.Check(t, func(t *rapid.T) {
				if found == "" {
					found = drive(t, cfg)
				}
			})
			if found == "" {
				t.Error("no sequence broke the rule")
			}
			t.Log(found)
		})
	}
}

// fullStart is an owner whose buckets are full at first, also while they should settle.
type fullStart struct {
	*zyquota.Owner
	limits *zyquota.Limits
	since  map[zinniayoke.Customer]time.Time
	used   map[zinniayoke.Customer]int
}

func (o *fullStart) Tick(now time.Time, s zyquota.Situation) {
	o.Owner.Tick(now, s)
	o.limits = s.Limits
}

func (o *fullStart) Handle(now time.Time, r *zinniayoke.QuotaRequest) *zinniayoke.QuotaReply {
	reply := o.Owner.Handle(now, r)
	for i, g := range reply.Grants {
		const start = 2500 * time.Millisecond
		a := r.Asks[i]
		if o.since[a.Customer].IsZero() {
			o.since[a.Customer] = now
		}
		if g.State == zinniayoke.QuotaNotOwner || g.Lease >= a.Held+a.Needed || now.Sub(o.since[a.Customer]) > start {
			continue
		}
		l, _ := o.limits.Of(a.Customer)
		if float64(o.used[a.Customer]+a.Needed) <= l.Burst+float64(l.Rate)*now.Sub(o.since[a.Customer]).Seconds() {
			o.used[a.Customer] += a.Needed
			reply.Grants[i] = zinniayoke.QuotaGrant{Lease: a.Held + a.Needed}
		}
	}
	return reply
}

// returnTwice gives each returned token back twice.
type returnTwice struct{ *zyquota.Leases }

func (l *returnTwice) Return(now time.Time, c zinniayoke.Customer) {
	l.Leases.Return(now, c)
	l.Leases.Return(now, c)
}

// neverExpires uses tokens as if no time had passed since they were granted.
type neverExpires struct {
	*zyquota.Leases
	leased map[zinniayoke.Customer]time.Time
}

func (l *neverExpires) Take(now time.Time, limit zinniayoke.CustomerLimit, repeated bool) zyquota.Decision {
	if at, ok := l.leased[limit.Customer]; ok {
		d := l.Leases.Take(at, limit, true)
		if d.Granted {
			return d
		}
		if d.Wait != nil {
			l.EndWait(limit.Customer)
		}
	}
	return l.Leases.Take(now, limit, repeated)
}

func (l *neverExpires) Finish(now time.Time, owner zinniayoke.NodeID, r *zinniayoke.QuotaRequest, reply *zinniayoke.QuotaReply, err error) bool {
	more := l.Leases.Finish(now, owner, r, reply, err)
	for _, a := range r.Asks {
		if err == nil {
			l.leased[a.Customer] = now
		}
	}
	return more
}
