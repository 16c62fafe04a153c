package zyattempt

import (
	"slices"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyfairshare"
	"zinniayoke/core/zyrank"
)

// ServiceRetryConfig configures ServiceRetryBudgets. In each window, all nodes
// together may retry Ratio of the first sends to a service, and Slack more, which is divided
// among the hosts of the service; see SetHosts.
type ServiceRetryConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
	// Bootstrap is true if no process before this one has retried, on any host.
	Bootstrap bool
	// Recorder records the state of a budget while retries ask for it; nil means none.
	Recorder zinniayoke.EventRecorder
}

// ServiceRetryState is the state of the budget of a service on this node.
type ServiceRetryState struct {
	// FirstSends and Retries are those of the window that ends now.
	FirstSends int `json:"firstSends"`
	Retries    int `json:"retries"`
	// Allowed is how many retries the window may have.
	Allowed float64 `json:"retriesAllowed"`
	// Hosts is the number of hosts among which the slack is divided.
	Hosts int `json:"hosts"`
}

const (
	// bucketCount is the number of buckets into which a window is divided for
	// counting.
	bucketCount = 20
	// keptBuckets is how many buckets are kept of first sends.
	keptBuckets = bucketCount + bucketCount/2
	// usedShare is the part of the budget that is spent. The rest covers calls of
	// repeated runs that could not be recognized as such.
	usedShare = 0.85
	// maxServices limits the table; the design is for 510 services.
	maxServices = 4096
	// cutoffPeriod is how often the lowest precedence that gets a retry is set.
	cutoffPeriod = 500 * time.Millisecond
	// spendingTime is the time over which a budget that is left over is spent, so that
	// retries of low precedence cannot use it up at once.
	spendingTime = 5 * time.Second
	// reserveShare is the part of the budget that is kept for changes in what is asked for.
	reserveShare = 0.15
	// minPlaces is the least number of retries that a period is meant to have, so that a
	// small budget may be spent at once.
	minPlaces = 8
	// maxSamples limits the precedences that are kept of one period.
	maxSamples = 4096
	// bootstrapTime is how long the number of hosts must be known at the first start of all
	// hosts, which find each other meanwhile.
	bootstrapTime = time.Second
	// recordPeriod is the least time between two events of a service.
	recordPeriod = time.Second
)

// Precedence orders the retries to a service; those with the higher one go first.
type Precedence uint32

// FirstPrecedence is the lowest precedence of retries that may use the whole budget at
// any time.
const FirstPrecedence Precedence = 1 << 31

const (
	hashBits        = 16
	earlierBits     = 3
	earlierShift    = hashBits
	importanceShift = earlierShift + earlierBits
	begunShift      = 30
)

// PrecedenceOf returns the precedence of a retry. A call of a client is whole with this
// one send. Of the calls of workers, those of runs that have made calls before go first:
// that work is paid for, and a run that fails at its first call costs little. Then the
// importance of the root request decides, the number of calls made before, because the
// run needs the fewer further ones to be whole, and at last the hash of the root request,
// which prefers the same requests at each worker.
func PrecedenceOf(a *zinniayoke.Attempt) Precedence {
	p := Precedence(a.Rank & (1<<hashBits - 1))
	p |= Precedence(min(a.EarlierCalls, 1<<earlierBits-1)) << earlierShift
	p |= Precedence(zyrank.ImportanceOf(a.Rank)&zyrank.MaxRootImportance) << importanceShift
	if a.EarlierCalls > 0 {
		p |= 1 << begunShift
	}
	if a.Depth == 0 {
		p |= FirstPrecedence
	}
	return p
}

// ServiceRetryBudgets limits the retries to each service, that is the sends beyond
// the first of each call. Each first send earns a part of a retry at the node that counts it,
// which spends it soon or never, and each node has a part of the slack. So the nodes need not
// communicate to keep the total, nor remember anything beyond their own run. While more retries are asked for
// than the budget allows, those with the highest precedence get them. It may be used by
// several goroutines. ServiceRetryBudgets must be created with NewServiceRetryBudgets.
type ServiceRetryBudgets struct {
	cfg ServiceRetryConfig
	// start is the origin of the buckets. It has a monotonic clock reading, so that
	// changes of the wall clock do not move them.
	start    time.Time
	mu       sync.Mutex
	hosts    peak
	services map[zinniayoke.Service]*sendCounts
}

// sendCounts is a ring of buckets; bucket is the number of the newest one. Retries are
// counted over one bucket more than first sends, so that no window of any phase exceeds
// the budget.
type sendCounts struct {
	bucket     int64
	firstSends [keptBuckets]int
	retries    [bucketCount + 1]int
	earned     earnings
	// fromSlack counts the retries that were paid from the slack.
	fromSlack [bucketCount + 1]int

	// cutoff is the lowest precedence that gets a retry, set at periodStart.
	cutoff      Precedence
	periodStart time.Time
	// asked holds the precedences of the retries that were asked for since periodStart.
	asked []Precedence
	// places is how many retries the period is meant to have, and granted how many it
	// has had.
	places, granted int

	// customers is empty in bundles without customers.
	customers customerRetries
	// recordedAt is when the last event was recorded.
	recordedAt time.Time
}

// NewServiceRetryBudgets returns budgets without any recorded sends.
func NewServiceRetryBudgets(cfg ServiceRetryConfig) *ServiceRetryBudgets {
	if cfg.Recorder == nil {
		cfg.Recorder = zinniayoke.NopEventRecorder{}
	}
	return &ServiceRetryBudgets{cfg: cfg, start: time.Now(), services: make(map[zinniayoke.Service]*sendCounts)}
}

// SetLimits changes the ratio and the slack.
func (b *ServiceRetryBudgets) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Ratio, b.cfg.Slack = ratio, slack
}

// SetHosts sets the number of hosts among which the slack is divided. A process has no part of it
// until the number is known for a window, because the process before it on the same host may
// have spent one; see ServiceRetryConfig.Bootstrap. The part goes by the largest number of the
// window, because the others may still go by that.
func (b *ServiceRetryBudgets) SetHosts(now time.Time, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts.set(now, hosts)
}

// RecordFirstSend counts the first send of a call to the service.
func (b *ServiceRetryBudgets) RecordFirstSend(now time.Time, service zinniayoke.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.countsFor(now, service); c != nil {
		c.firstSends[c.bucket%keptBuckets]++
	}
}

// earnedBy returns how many retries first sends earn.
func (b *ServiceRetryBudgets) earnedBy(firstSends float64) float64 {
	return usedShare * b.cfg.Ratio * firstSends
}

// RecordRetry counts a send that is charged to the budget without asking: the first send
// of a call that a repeated run makes.
func (b *ServiceRetryBudgets) RecordRetry(now time.Time, service zinniayoke.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.countsFor(now, service); c != nil {
		c.pay(b.slack(now), FirstPrecedence)
		c.retries[c.bucket%(bucketCount+1)]++
	}
}

// Spend takes one retry and reports whether the budget allows it.
func (b *ServiceRetryBudgets) Spend(now time.Time, service zinniayoke.Service, p Precedence) bool {
	return b.SpendFor(now, service, zyfairshare.Customer{}, p)
}

// spend takes one retry if the budget allows it.
func (c *sendCounts) spend(allowed, slack float64, retries int, p Precedence) bool {
	if len(c.asked) < maxSamples {
		c.asked = append(c.asked, p)
	}
	if p < c.cutoff || c.granted >= c.places && p < FirstPrecedence || float64(retries+1) > allowed || !c.pay(slack, p) {
		return false
	}
	c.charge()
	return true
}

// pay takes a retry from those that are earned, or else from the slack, and reports whether
// there was one. Retries of low precedence leave a reserve of what is earned.
func (c *sendCounts) pay(slack float64, p Precedence) bool {
	reserve := 0.0
	if p < FirstPrecedence {
		reserve = reserveShare * earnedBuckets
	}
	if c.earned.spend(c.bucket, reserve) {
		return true
	}
	if float64(sum(c.fromSlack[:])+1) > slack {
		return false
	}
	c.fromSlack[c.bucket%(bucketCount+1)]++
	return true
}

// charge counts a retry that is granted.
func (c *sendCounts) charge() {
	c.granted++
	c.retries[c.bucket%(bucketCount+1)]++
}

// beginSpend begins the next period if it is time, and returns how many retries the window
// may have and has.
func (b *ServiceRetryBudgets) beginSpend(now time.Time, c *sendCounts) (allowed float64, retries int) {
	allowed, retries = b.allowed(now, c), c.retryCount()
	if now.Sub(c.periodStart) >= cutoffPeriod {
		c.setCutoff(now, allowed, retries, b.cfg.Window)
	}
	return allowed, retries
}

// State returns the state of the budget of a service.
func (b *ServiceRetryBudgets) State(now time.Time, service zinniayoke.Service) ServiceRetryState {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsFor(now, service)
	if c == nil {
		return ServiceRetryState{}
	}
	return b.state(now, c)
}

func (b *ServiceRetryBudgets) state(now time.Time, c *sendCounts) ServiceRetryState {
	hosts, _ := b.hosts.max(now, b.cfg.Window)
	return ServiceRetryState{FirstSends: c.firstSendCount(0), Retries: c.retryCount(), Allowed: b.allowed(now, c), Hosts: hosts}
}

// record records the state of the budget, at most once in recordPeriod.
func (b *ServiceRetryBudgets) record(now time.Time, service zinniayoke.Service, c *sendCounts) {
	if now.Sub(c.recordedAt) < recordPeriod {
		return
	}
	c.recordedAt = now
	s := b.state(now, c)
	b.cfg.Recorder.Record(&zinniayoke.Event{
		Kind: zinniayoke.EventRetryBudget, Service: service,
		FirstSends: s.FirstSends, Retries: s.Retries, RetriesAllowed: s.Allowed, Hosts: s.Hosts,
	})
}

// allowed returns how many retries the window that ends now may have. The platform counts the
// first sends of the window or those of the one half a window before, whichever are more.
// The mean of both is never above that, also as a sum over all nodes.
func (b *ServiceRetryBudgets) allowed(now time.Time, c *sendCounts) float64 {
	return b.earnedBy(float64(c.firstSendCount(0)+c.firstSendCount(bucketCount/2))/2) + b.slack(now)
}

// slack returns the part of the slack that this node may use in a window.
func (b *ServiceRetryBudgets) slack(now time.Time) float64 {
	hosts, age := b.hosts.max(now, b.cfg.Window)
	hold := b.cfg.Window
	if b.cfg.Bootstrap {
		hold = min(hold, bootstrapTime)
	}
	if hosts == 0 || age < hold {
		return 0
	}
	return usedShare * b.cfg.Slack / float64(hosts)
}

// firstSendCount returns the first sends of the window that ends the given number of buckets
// before now.
func (c *sendCounts) firstSendCount(age int64) int {
	total := 0
	for i := age; i < min(age+bucketCount, c.bucket+1); i++ {
		total += c.firstSends[(c.bucket-i)%keptBuckets]
	}
	return total
}

func (c *sendCounts) retryCount() int {
	return sum(c.retries[:])
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// setCutoff sets the cutoff for the next period. If as many retries are asked for as in
// the last one, they replace those that leave the window, and use what is left of the
// budget, but for the reserve, within spendingTime.
func (c *sendCounts) setCutoff(now time.Time, allowed float64, retries int, window time.Duration) {
	rate := float64(retries)/window.Seconds() + ((1-reserveShare)*allowed-float64(retries))/spendingTime.Seconds()
	c.places, c.granted = max(int(rate*cutoffPeriod.Seconds()), minPlaces), 0
	asked := c.asked
	if now.Sub(c.periodStart) >= 2*cutoffPeriod {
		asked = nil // They are too old to tell what comes next.
	}
	c.cutoff = 0
	if len(asked) > c.places {
		slices.Sort(asked)
		c.cutoff = min(asked[len(asked)-c.places], FirstPrecedence)
	}
	c.asked, c.periodStart = c.asked[:0], now
	c.customers.beginPeriod(asked == nil)
}

// countsFor returns the counts of a service, with expired buckets cleared, or nil if the table
// is full. A time before the newest bucket counts as in that bucket, because callers read the
// clock before they get here.
func (b *ServiceRetryBudgets) countsFor(now time.Time, service zinniayoke.Service) *sendCounts {
	bucket := int64(now.Sub(b.start) / (b.cfg.Window / bucketCount))
	c, ok := b.services[service]
	if !ok {
		if len(b.services) >= maxServices {
			return nil
		}
		c = &sendCounts{bucket: bucket, places: minPlaces}
		b.services[service] = c
	}
	if bucket-c.bucket > keptBuckets {
		*c = sendCounts{bucket: bucket, places: minPlaces}
	}
	for c.bucket < bucket {
		c.bucket++
		c.firstSends[c.bucket%keptBuckets], c.retries[c.bucket%(bucketCount+1)], c.fromSlack[c.bucket%(bucketCount+1)] = 0, 0, 0
		c.earned.advance(c.bucket, b.earnedBy(float64(c.firstSendCount(1))/bucketCount))
	}
	return c
}
