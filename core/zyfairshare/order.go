package zyfairshare

// creditCalls is how many calls a customer that had none lately may start before its weight
// counts. One request of a client causes up to eight calls to one service, which must not
// wait for each other.
const creditCalls = 4

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
// is next. A customer that had no calls for a time gets a credit of a few calls only. The
// zero value is ready for use.
type Order struct {
	// virtual is the highest tag of the calls that have started.
	virtual float64
}

// Tag returns the tag of the flow's next call. Its call after that has the tag plus 1/Weight.
func (o *Order) Tag(f *Flow) float64 {
	tag := o.virtual - creditCalls/f.Customer.Weight
	if f.started {
		tag = max(tag, f.next)
	}
	return tag
}

// Start records that a call of the flow starts.
func (o *Order) Start(f *Flow) {
	tag := o.Tag(f)
	f.next, f.started = tag+1/f.Customer.Weight, true
	o.virtual = max(o.virtual, tag)
}
