package zyentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniayoke"
)

// identifyCustomer determines the customer of a request from its key. Calls of workers
// carry no key; the routes that they use are public.
func (e *Entry) identifyCustomer(cs *callState) error {
	if len(cs.bundle.Customers) == 0 || cs.parent != nil {
		return nil
	}
	customer, known := cs.bundle.CustomerOf(cs.in.CustomerKey)
	switch {
	case known:
		cs.customer = customer
		cs.call.Customer = customer.Name
	case cs.route.Public:
	case cs.in.CustomerKey == "":
		return zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "the route requires a customer's key")
	default:
		return zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "the key belongs to no customer of the bundle")
	}
	return nil
}

// maxReturnAge is how long after it was taken a permission may be returned. An older one
// would let the customer send twice its rate in a window in which it is used again.
const maxReturnAge = 500 * time.Millisecond

// limitCustomer enforces the rate limit of the customer. A request that no worker has run
// does not count towards it.
func (e *Entry) limitCustomer(next handler) handler {
	return func(ctx context.Context, cs *callState) (*zinniayoke.Reply, error) {
		if e.cfg.CustomerLimits == nil || cs.customer.Limit.Rate <= 0 {
			return next(ctx, cs)
		}
		start := time.Now()
		if err := e.cfg.CustomerLimits.Take(ctx, cs.customer.Limit); err != nil {
			return nil, fmt.Errorf("customer %s: %w", cs.customer.Name, err)
		}
		reply, err := next(ctx, cs)
		if outcomeOf(reply, err) == zinniayoke.OutcomeNotRun && time.Since(start) <= maxReturnAge {
			e.cfg.CustomerLimits.Return(cs.customer.Name)
		}
		return reply, err
	}
}

// outcomeOf returns the outcome of a reply or of a *zinniayoke.CallError.
func outcomeOf(reply *zinniayoke.Reply, err error) zinniayoke.Outcome {
	if callErr := (*zinniayoke.CallError)(nil); errors.As(err, &callErr) {
		return callErr.Outcome
	}
	if reply == nil {
		return zinniayoke.OutcomeUnknown
	}
	return reply.Outcome
}

// isCustomerRefusal reports whether a request was refused for its key or for the limit of
// its customer. That says nothing about the load of any service.
func isCustomerRefusal(r zinniayoke.Reason) bool {
	return r == zinniayoke.ReasonToken || r == zinniayoke.ReasonCallerLimit
}
