package zyadmission

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyfairshare"
	"zinniayoke/core/zyrank"
)

// place is a position in the order of the queue. Each item arrives with a place of its own.
// Among items of one class, fair queuing may start an item in the place of an earlier one,
// which then takes the place of the started one. So the classes start in the same order as
// without customers.
type place struct {
	// due is when the item reaches its ordered wait; it is zero if ordered by rank.
	due      time.Time
	rank     zinniayoke.Rank
	depth    int
	sequence uint64
}

// class identifies the items among which fair queuing chooses: equal importance and depth,
// and maximum waits that differ by less than a factor of two.
type class struct {
	rank       zinniayoke.Rank
	depth      int
	waitBucket int
}

// importance returns the importance of the items.
func (q *Queue) importance(c class) int {
	if q.cfg.ByWaitDeadline {
		return int(c.rank)
	}
	return zyrank.ImportanceOf(c.rank << hashBits)
}

// classOf returns the class of an item. Ordered by rank, the whole rank but its hash counts.
func (q *Queue) classOf(i *Item) class {
	if !q.cfg.ByWaitDeadline {
		return class{rank: i.Rank >> hashBits, depth: i.Depth}
	}
	return class{
		rank: zinniayoke.Rank(zyrank.ImportanceOf(i.Rank)), depth: i.Depth,
		waitBucket: bits.Len64(uint64(i.orderedWait() / time.Millisecond)),
	}
}

// fairQueue holds the waiting items of bundles with customers, by class and customer. The
// zero value is empty.
type fairQueue struct {
	classes map[class]*fairClass
	// customers holds the customers with waiting items.
	customers map[zinniayoke.Customer]waitingCount
	// unusedClasses and unusedFlows are empty and kept for reuse.
	unusedClasses []*fairClass
	unusedFlows   []*flow
}

type waitingCount struct {
	customer zyfairshare.Customer
	count    int
}

// fairClass holds the waiting items of a class until it is empty.
type fairClass struct {
	order zyfairshare.Order
	// flows holds the customers that have had waiting items.
	flows map[zinniayoke.Customer]*flow
	// waiting holds the flows with waiting items.
	waiting []*flow
	size    int
}

// flow holds the waiting items of one customer and class in the order of their own places.
type flow struct {
	zyfairshare.Flow
	items []flowItem
	// index is the position in fairClass.waiting if there are items.
	index int
}

type flowItem struct {
	id  zinniayoke.AttemptID
	own place
}

// add adds a waiting item. Its place must be its own.
func (f *fairQueue) add(c class, i *Item, less func(a, b place) bool) {
	if f.classes == nil {
		f.classes = make(map[class]*fairClass)
		f.customers = make(map[zinniayoke.Customer]waitingCount)
	}
	fc, fl := f.flowOf(c, i.Customer)
	if len(fl.items) == 0 {
		fl.index = len(fc.waiting)
		fc.waiting = append(fc.waiting, fl)
	}
	at, _ := slices.BinarySearchFunc(fl.items, i.place, func(x flowItem, p place) int {
		if less(x.own, p) {
			return -1
		}
		return 1
	})
	fl.items = slices.Insert(fl.items, at, flowItem{id: i.ID, own: i.place})
	fc.size++
	f.customers[i.Customer.Name] = waitingCount{customer: i.Customer, count: f.customers[i.Customer.Name].count + 1}
}

// flowOf returns the flow of a class and customer, a new one if there is none.
func (f *fairQueue) flowOf(c class, customer zyfairshare.Customer) (*fairClass, *flow) {
	fc, ok := f.classes[c]
	if !ok {
		if fc = takeLast(&f.unusedClasses); fc == nil {
			fc = &fairClass{flows: make(map[zinniayoke.Customer]*flow)}
		}
		f.classes[c] = fc
	}
	fl, ok := fc.flows[customer.Name]
	if !ok {
		if fl = takeLast(&f.unusedFlows); fl == nil {
			fl = &flow{}
		}
		fc.flows[customer.Name] = fl
	}
	fl.Customer = customer
	return fc, fl
}

// takeLast removes the last element and returns it, nil if there is none.
func takeLast[T any](list *[]*T) *T {
	if len(*list) == 0 {
		return nil
	}
	last := (*list)[len(*list)-1]
	*list = (*list)[:len(*list)-1]
	return last
}

// remove removes an item, if it is there.
func (f *fairQueue) remove(c class, i *Item) {
	fc := f.classes[c]
	if fc == nil || fc.flows[i.Customer.Name] == nil {
		return
	}
	fl := fc.flows[i.Customer.Name]
	at := slices.IndexFunc(fl.items, func(x flowItem) bool { return x.id == i.ID })
	if at < 0 {
		return
	}
	fl.items = slices.Delete(fl.items, at, at+1)
	fc.size--
	if len(fl.items) == 0 {
		last := fc.waiting[len(fc.waiting)-1]
		fc.waiting[fl.index], last.index = last, fl.index
		fc.waiting = fc.waiting[:len(fc.waiting)-1]
	}
	if fc.size == 0 {
		// Whoever calls next finds room, so nobody has to make up for past calls.
		f.release(c, fc)
	}
	n := f.customers[i.Customer.Name]
	n.count--
	if f.customers[i.Customer.Name] = n; n.count == 0 {
		delete(f.customers, i.Customer.Name)
	}
}

// release removes an empty class, and keeps what was allocated for it.
func (f *fairQueue) release(c class, fc *fairClass) {
	delete(f.classes, c)
	for _, fl := range fc.flows {
		fl.Flow = zyfairshare.Flow{}
		f.unusedFlows = append(f.unusedFlows, fl)
	}
	clear(fc.flows)
	fc.order = zyfairshare.Order{}
	f.unusedClasses = append(f.unusedClasses, fc)
}

// next returns the flow whose first item fair queuing starts next.
func (fc *fairClass) next(less func(a, b place) bool) *flow {
	var first *flow
	lowest := math.Inf(1)
	for _, fl := range fc.waiting {
		tag := fc.order.Tag(&fl.Flow, 0)
		if first == nil || tag < lowest || tag == lowest && less(fl.items[0].own, first.items[0].own) {
			first, lowest = fl, tag
		}
	}
	return first
}

// ahead returns how many items start before the next arrival of the customer.
func (fc *fairClass) ahead(c zyfairshare.Customer) int {
	own := fc.flows[c.Name]
	if own == nil {
		own = &flow{Flow: zyfairshare.Flow{Customer: c}}
	}
	tag, n := fc.order.Tag(&own.Flow, len(own.items)), len(own.items)
	for _, fl := range fc.waiting {
		if fl != own {
			n += fc.order.CountUpTo(tag, &fl.Flow, len(fl.items))
		}
	}
	return n
}

// takeFirst removes the next item from the queue, the first one in the fair order of its
// class.
func (q *Queue) takeFirst(now time.Time) (Item, bool) {
	item, ok := q.tree.DeleteMin()
	if !ok {
		return item, false
	}
	delete(q.waiting, item.ID)
	if item.Customer.Weight <= 0 || len(q.fair.classes) == 0 {
		return item, true
	}
	c := q.classOf(&item)
	fc := q.fair.classes[c]
	if fc == nil {
		return item, true
	}
	fl := fc.next(q.less)
	if id := fl.items[0].id; id != item.ID {
		chosen := q.waiting[id]
		q.tree.Delete(chosen)
		delete(q.waiting, id)
		item.place = chosen.place
		q.waiting[item.ID] = item
		q.tree.ReplaceOrInsert(item)
		item = chosen
	}
	if !q.missesDeadline(now, item) {
		fc.order.Start(&fl.Flow)
	}
	q.fair.remove(c, &item)
	return item, true
}

// takeOverflow removes the item to refuse while the queue is too long: the last one or, with
// customers, the last one of the customer with the most waiting items for its weight. Items
// that are more important than the last one, or of another depth, stay.
func (q *Queue) takeOverflow() Item {
	last, _ := q.tree.Max()
	victim := last
	if last.Customer.Weight > 0 {
		victim = q.waiting[q.overflowOf(&last)]
	}
	q.tree.Delete(victim)
	delete(q.waiting, victim.ID)
	q.fair.remove(q.classOf(&victim), &victim)
	return victim
}

// overflowOf returns the item to refuse, given the last one.
func (q *Queue) overflowOf(last *Item) zinniayoke.AttemptID {
	weights := 0.0
	for _, n := range q.fair.customers {
		weights += n.customer.Weight
	}
	lastClass := q.classOf(last)
	id, own, highest := last.ID, q.ownPlace(last), 0.0
	for c, fc := range q.fair.classes {
		if c.depth != lastClass.depth || q.importance(c) > q.importance(lastClass) {
			continue
		}
		for _, fl := range fc.waiting {
			expected := float64(len(q.waiting)) * fl.Customer.Weight / weights
			ratio := zyfairshare.UsageRatio(float64(q.fair.customers[fl.Customer.Name].count), expected)
			end := fl.items[len(fl.items)-1]
			if ratio > highest || ratio == highest && q.less(own, end.own) {
				id, own, highest = end.id, end.own, ratio
			}
		}
	}
	return id
}

// countAhead returns how many waiting items start before a new one.
func (q *Queue) countAhead(item *Item) int {
	ahead, ofClass, wanted := 0, 0, math.MaxInt
	c := q.classOf(item)
	if fc := q.fair.classes[c]; fc != nil && item.Customer.Weight > 0 {
		wanted = fc.ahead(item.Customer)
	}
	q.tree.AscendLessThan(*item, func(other Item) bool {
		if wanted < math.MaxInt && q.classOf(&other) == c {
			if ofClass == wanted {
				return false
			}
			ofClass++
		}
		ahead++
		return true
	})
	return ahead
}
