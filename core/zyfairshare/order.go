package zyfairshare

import "math"

// creditCalls is how many calls beyond its part a customer that had none lately may start.
// One request of a client causes up to eight calls to one service. With four, calls of
// customers at their usual rate waited in vain in a burst.
const creditCalls = 8

// Flow is the calls of one customer in an Order. Its zero value with a customer is ready for
// use.
type Flow struct {
	Customer Customer
	// next is the tag of the next call, valid if a call has started.
	next    float64
	started bool
}

// Order decides whose call is next by start-time fair queuing: each call of a customer
// advances the tag of its flow by the inverse of its weight, and the flow with the lowest tag
// is next. Customers that have not used up their part are equal, and go by arrival: without
// that, those with the lowest weights would go first. The zero value is ready for use.
type Order struct {
	// virtual is the highest tag of the calls that have started.
	virtual float64
}

// Tag returns the tag of a flow's next call, or of the one after as many others of the flow.
func (o *Order) Tag(f *Flow, after int) float64 {
	return max(o.own(f)+float64(after)/f.Customer.Weight, o.virtual)
}

// own returns the tag of the flow's next call by its past calls.
func (o *Order) own(f *Flow) float64 {
	tag := o.virtual - creditCalls/f.Customer.Weight
	if f.started {
		tag = max(tag, f.next)
	}
	return tag
}

// CountUpTo returns how many of the waiting calls of a flow have at most the given tag.
func (o *Order) CountUpTo(tag float64, f *Flow, waiting int) int {
	if tag < o.Tag(f, 0) {
		return 0
	}
	return int(min(math.Floor((tag-o.own(f))*f.Customer.Weight)+1, float64(waiting)))
}

// Start records that a call of the flow starts.
func (o *Order) Start(f *Flow) {
	tag := o.own(f)
	f.next, f.started = tag+1/f.Customer.Weight, true
	o.virtual = max(o.virtual, tag)
}
