package zyfairshare_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyadmission"
	"zinniayoke/core/zybackpressure"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyfairshare"
	"zinniayoke/core/zyrank"
)

const (
	entryNodes  = 27
	workers     = 3
	workerSlots = 15
	serviceTime = 40 * time.Millisecond
	customers   = 82
	firstHeavy  = 35 // has the mean rate
	// usualRate is the demand of all customers in calls per second, 0.94 of the capacity.
	usualRate       = 1000
	stressStart     = 4 * time.Second
	stressEnd       = 24 * time.Second
	partitionedNode = 3
	// maxLoss is the largest part of what the others are served that one customer may take.
	maxLoss, minServed, minTenth = 0.03, 0.25, 0.8
	immediateRetry               = 20 * time.Millisecond
	rejectedByDeepWorker         = 0.55
)

// load is what one run adds to the usual load in the time of stress.
type load struct {
	name string
	// heavy is how many customers send multiple times their usual rate.
	heavy    int
	multiple float64
	// burst multiplies the lookups of all customers.
	burst float64
	// retries is how often all clients repeat a refused call at once.
	retries   int
	partition bool
	rejects   bool
	unshared  bool
	// seed is that of the random numbers; 0 means 9.
	seed uint64
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run replays a load on entry nodes with a Shedder each and on the admission queues of the
// workers of one service.
type run struct {
	load
	random  *rand.Rand
	start   time.Time
	now     time.Duration
	events  events
	entries [entryNodes]*zybackpressure.Shedder
	queues  [workers]*zyadmission.Queue
	excess  [workers]*zybackpressure.ExcessController
	ends    map[zinniayoke.AttemptID]func(served bool)
	nextID  int
	// offered and served count the requests by customer in the time of stress.
	offered, served [customers]float64
	// offeredOf and servedOf count them by kind.
	offeredOf, servedOf [4]float64
}

// filing is the index of the filings, which are more important than lookups and histories.
const filing = 1

var kinds = []struct {
	route   *zybundle.Route
	share   float64
	maxWait time.Duration
}{
	{&zybundle.Route{Name: "lookup", Class: zybundle.Class{Importance: 124}}, 0.53, 187 * time.Millisecond},
	{&zybundle.Route{Name: "filing", Class: zybundle.Class{Importance: 126}}, 0.17, 375 * time.Millisecond},
	{&zybundle.Route{Name: "history", Class: zybundle.Class{Importance: 125}}, 0.20, 100 * time.Millisecond},
	{&zybundle.Route{Name: "title", Class: zybundle.Class{Importance: 127}}, 0.10, 31 * time.Millisecond},
}

// usualRates are the usual rates of the customers, from 6 to 21 calls per second.
var usualRates = func() (rates [customers]float64) {
	const ratio = 0.985
	sum := (1 - math.Pow(ratio, customers)) / (1 - ratio)
	for i := range rates {
		rates[i] = usualRate * math.Pow(ratio, float64(i)) / sum
	}
	return rates
}()

func (r *run) at(t time.Duration, do func()) { heap.Push(&r.events, event{t, do}) }

func (r *run) stressed() bool { return r.now >= stressStart && r.now < stressEnd }

func (r *run) isHeavy(customer int) bool {
	return customer >= firstHeavy && customer < firstHeavy+r.heavy
}

// arrive lets the next request of a customer arrive after a random time.
func (r *run) arrive(customer int) {
	rate := usualRates[customer]
	if r.stressed() && r.isHeavy(customer) {
		rate *= r.multiple
	}
	r.at(r.now+time.Duration(r.random.ExpFloat64()/(rate*(1+(r.burst-1)*kinds[0].share))*float64(time.Second)), func() {
		defer r.arrive(customer)
		kind, x := 0, r.random.Float64()*(1+(r.burst-1)*kinds[0].share)
		for x -= kinds[0].share * r.burst; x > 0 && kind+1 < len(kinds); x -= kinds[kind].share {
			kind++
		}
		if !r.stressed() && kind == 0 && r.random.Float64() > 1/r.burst {
			return // The lookups of the burst come in the time of stress only.
		}
		r.nextID++
		r.send(customer, kind, uint64(r.nextID), 0)
	})
}

// send sends a request to a random entry node and counts it.
func (r *run) send(customer, kind int, content uint64, retry int) {
	counted := r.now >= stressStart+time.Second && r.now < stressEnd
	if counted && retry == 0 {
		r.offered[customer]++
		r.offeredOf[kind]++
	}
	node := r.random.IntN(entryNodes)
	cut := r.partition && r.stressed() && node == partitionedNode
	r.nextID++
	id := fmt.Sprint(r.nextID)
	share := zyfairshare.Customer{Name: zinniayoke.Customer(fmt.Sprint(customer)), Weight: usualRates[customer] * 1.6}
	if r.unshared {
		share = zyfairshare.Customer{}
	}
	route, now := kinds[kind].route, r.start.Add(r.now)
	d := r.entries[node].AdmitFor(now, route, share, zinniayoke.RequestID(id), content)
	end := func(served bool) {
		switch {
		case served && counted:
			r.served[customer]++
			r.servedOf[kind]++
		case !served && r.stressed() && retry < r.retries:
			r.at(r.now+immediateRetry, func() { r.send(customer, kind, content, retry+1) })
		}
	}
	if !d.Admitted || cut {
		end(false)
		return
	}
	w := r.random.IntN(workers)
	r.excess[w].CountArrival(now)
	r.ends[zinniayoke.AttemptID(id)] = func(served bool) {
		r.entries[node].UpdateCosts(r.start.Add(r.now), route.Name, []zinniayoke.ServiceCost{
			{Service: "deep", Cost: serviceTime.Seconds(), ExcessShare: r.excess[w].ExcessShare()},
		})
		end(served)
	}
	r.apply(w, r.queues[w].Arrive(now, zyadmission.Item{
		ID: zinniayoke.AttemptID(id), Route: route.Name, Deadline: now.Add(time.Second), MaxWait: kinds[kind].maxWait, Customer: share,
		Rank: zyrank.New(route.Class.Importance, 0, 15, zinniayoke.RequestID(id)),
	}))
}

func (r *run) apply(w int, res zyadmission.Result) {
	for _, item := range res.Started {
		r.excess[w].CountDelivery(r.start.Add(r.now))
		rejected := r.rejects && r.stressed() && r.random.Float64() < rejectedByDeepWorker
		took := time.Duration((0.5 + r.random.Float64()) * float64(serviceTime))
		if rejected {
			took = time.Millisecond
		}
		r.at(r.now+took, func() {
			r.ends[item.ID](!rejected)
			delete(r.ends, item.ID)
			r.apply(w, r.queues[w].Finish(r.start.Add(r.now), item.ID, took))
		})
	}
	for _, refusal := range res.Refused {
		r.ends[refusal.Item.ID](false)
		delete(r.ends, refusal.Item.ID)
	}
	r.excess[w].SetUtilization(r.start.Add(r.now), r.queues[w].Utilization(r.start.Add(r.now)))
}

func (r *run) tick() {
	for w, q := range r.queues {
		r.apply(w, q.Tick(r.start.Add(r.now)))
	}
	r.at(r.now+10*time.Millisecond, r.tick)
}

// replay returns the share of its requests for which each customer was served, and that of
// all requests and of the filings.
func replay(l load) (share [customers]float64, all, filings float64) {
	r := &run{load: l, random: rand.New(rand.NewPCG(7, cmp.Or(l.seed, 9))), start: time.Unix(0, 0), ends: make(map[zinniayoke.AttemptID]func(bool))}
	r.burst = max(r.burst, 1)
	for i := range r.entries {
		r.entries[i] = zybackpressure.NewShedder()
	}
	for i := range r.queues {
		r.queues[i] = zyadmission.NewQueue(zyadmission.Config{Slots: workerSlots, FixedLimit: true, QueuePerSlot: 3, ByWaitDeadline: true})
		r.excess[i] = zybackpressure.NewExcessController()
	}
	for i := range customers {
		r.arrive(i)
	}
	r.tick()
	for r.now < stressEnd+time.Second {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	offered, served := 0.0, 0.0
	for i := range customers {
		share[i] = r.served[i] / r.offered[i]
		offered += r.offered[i]
		served += r.served[i]
	}
	return share, served / offered, r.servedOf[filing] / r.offeredOf[filing]
}

// others returns the shares of the customers that send their usual rate, sorted, and their
// mean.
func others(l load, share [customers]float64) (sorted []float64, mean float64) {
	r := run{load: l}
	for i, s := range share {
		if !r.isHeavy(i) {
			sorted = append(sorted, s)
			mean += s / float64(customers-l.heavy)
		}
	}
	slices.Sort(sorted)
	return sorted, mean
}

// TestLoads guards against customers that take capacity from others when there is too
// little of it. Each load is also replayed with its heavy customers at their usual rate,
// and without sharing, to see that sharing matters for it.
func TestLoads(t *testing.T) {
	for _, l := range []load{
		{name: "one customer at 8 times its rate", heavy: 1, multiple: 8},
		{name: "one customer at 6.5 times its rate beside a burst of lookups", heavy: 1, multiple: 6.5, burst: 2.2},
		{name: "three customers at 6.5 times their rate beside a partitioned node", heavy: 3, multiple: 6.5, partition: true},
		{name: "one customer at 6.5 times its rate while clients send up to 3 times", heavy: 1, multiple: 6.5, burst: 1.5, retries: 2},
		{name: "one customer at 6.5 times its rate while workers reject 0.55", heavy: 1, multiple: 6.5, rejects: true, burst: 3},
	} {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			checkLoad(t, l)
		})
	}
}

// TestLoadsWithOtherRandomNumbers replays the load with retries with other random numbers.
// TestLoads alone could pass by chance.
func TestLoadsWithOtherRandomNumbers(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			checkLoad(t, load{heavy: 1, multiple: 6.5, burst: 1.5, retries: 2, seed: seed})
		})
	}
}

// checkLoad checks what the customers are served under a load.
func checkLoad(t *testing.T, l load) {
	share, all, filings := replay(l)
	quiet, unshared := l, l
	quiet.multiple, unshared.unshared = 1, true
	usualShare, _, _ := replay(quiet)
	unsharedShare, _, unsharedFilings := replay(unshared)
	sorted, mean := others(l, share)
	_, usually := others(l, usualShare)
	_, unfair := others(l, unsharedShare)
	median, tenth := sorted[len(sorted)/2], 0.0
	for _, s := range sorted[:customers/10] {
		tenth += s / float64(customers/10)
	}
	t.Logf("served: all %.3f, heavy %.3f, others %.3f (usually %.3f, without sharing %.3f), worst tenth %.3f, median %.3f, filings %.3f (without sharing %.3f)",
		all, share[firstHeavy], mean, usually, unfair, tenth, median, filings, unsharedFilings)
	bound := usually * (1 - maxLoss*float64(l.heavy))
	if mean < bound {
		t.Errorf("the others were served %.3f, want at least %.3f", mean, bound)
	}
	if unfair >= bound {
		t.Errorf("the others were served %.3f without sharing, so that this load shows nothing", unfair)
	}
	if least := slices.Min(share[:]); least < minServed*all {
		t.Errorf("one customer was served %.3f, want at least %.3f", least, minServed*all)
	}
	if filings < unsharedFilings-maxLoss*float64(l.heavy) {
		t.Errorf("%.3f of the filings were served, want as many as the %.3f without sharing but for the heavy customers'", filings, unsharedFilings)
	}
	if tenth < minTenth*median {
		t.Errorf("the worst tenth was served %.3f, want at least %.3f", tenth, minTenth*median)
	}
}
