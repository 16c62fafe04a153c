package zybundle

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"zinniayoke"
	"zinniayoke/core/zyfairshare"
	"zinniayoke/core/zyrank"
)

// KeyHash is the SHA-256 digest of a customer's key.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of a key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// Customer is a group of clients that share keys, a priority and a rate limit.
type Customer struct {
	Name zinniayoke.Customer
	// KeyHashes are the digests of the keys that are accepted. A customer without any
	// cannot send requests.
	KeyHashes []KeyHash
	// Priority orders the customers; 0 is the highest. It takes precedence over the class
	// of the route.
	Priority int
	// Limit is the rate limit over all nodes together.
	Limit zinniayoke.CustomerLimit
}

// CustomerOf returns the customer that holds the key.
func (b *Bundle) CustomerOf(key string) (Customer, bool) {
	if key == "" {
		return Customer{}, false
	}
	// The key is looked up by its digest, so that the time taken says nothing about how
	// much of a guessed key is right.
	name, ok := b.customersByKey[HashKey(key)]
	if !ok {
		return Customer{}, false
	}
	return b.Customers[name], true
}

// customerProblem describes an invalid customer: the key of its section, "" for the name,
// what was found, and what is accepted.
type customerProblem struct {
	key      string
	found    string
	accepted string
}

// addCustomer adds a customer to the bundle, or returns why it is invalid.
func (b *Bundle) addCustomer(c Customer) *customerProblem {
	if problem := c.problem(); problem != nil {
		return problem
	}
	if _, ok := b.Customers[c.Name]; ok {
		return &customerProblem{found: "a second customer with the name", accepted: "one customer with this name"}
	}
	for _, key := range c.KeyHashes {
		if other, ok := b.customersByKey[key]; ok {
			return &customerProblem{key: "keyHashes", found: "a key of customer " + string(other), accepted: "different keys for each customer"}
		}
	}
	for _, key := range c.KeyHashes {
		b.customersByKey[key] = c.Name
	}
	c.Limit.Customer = c.Name
	b.Customers[c.Name] = c
	return nil
}

// problem returns why the customer by itself is invalid, nil if it is not.
func (c *Customer) problem() *customerProblem {
	rate, burst := float64(c.Limit.Rate), c.Limit.Burst
	switch {
	case !isHeaderValue(string(c.Name)):
		return &customerProblem{found: fmt.Sprintf("name %q", c.Name), accepted: "a name without control characters and surrounding spaces"}
	case !isAmount(rate):
		return &customerProblem{key: "rate", found: fmt.Sprintf("%g", rate), accepted: "requests per second, 0 for no limit"}
	case !isAmount(burst):
		return &customerProblem{key: "burst", found: fmt.Sprintf("%g", burst), accepted: "a number of requests of 0 or more"}
	case rate == 0 && burst > 0:
		return &customerProblem{key: "burst", found: fmt.Sprintf("%g without a rate", burst), accepted: "a rate above 0 for a customer with a burst"}
	case c.Priority < 0:
		return &customerProblem{key: "priority", found: strconv.Itoa(c.Priority), accepted: "a whole number of 0 or more"}
	case slices.Contains(c.KeyHashes, HashKey("")):
		// Requests without a key would belong to the customer.
		return &customerProblem{key: "keyHashes", found: "the digest of an empty key", accepted: "digests of keys"}
	}
	return nil
}

// isAmount reports whether n is a finite number of 0 or more.
func isAmount(n float64) bool {
	return n >= 0 && !math.IsInf(n, 1)
}

// isHeaderValue reports whether workers get the name unchanged in a header.
func isHeaderValue(name string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return name != "" && strings.Trim(name, " ") == name && !strings.ContainsFunc(name, isControl)
}

// Importance returns the importance of a root request. In a bundle with customers the
// priority of the customer takes precedence over the class of the route; a request
// without a customer ranks as one of the highest priority.
func (b *Bundle) Importance(c zinniayoke.Customer, r *Route) int {
	if len(b.Customers) == 0 {
		return r.Class.Importance
	}
	level := 0
	if customer, ok := b.Customers[c]; ok {
		level = slices.Index(b.customerPriorities, customer.Priority)
	}
	step := level*len(b.classImportances) + slices.Index(b.classImportances, r.Class.Importance)
	if last := len(b.customerPriorities)*len(b.classImportances) - 1; last > zyrank.MaxRootImportance {
		step = step * zyrank.MaxRootImportance / last // Neighbouring steps share an importance.
	}
	return zyrank.MaxRootImportance - step
}

// ShareOf returns the customer as far as sharing is concerned, the zero value in a bundle
// without customers. The weight is the rate of the limit, for customers without a limit the
// median of the others. Calls without a customer share as one customer of the highest
// priority.
func (b *Bundle) ShareOf(name zinniayoke.Customer) zyfairshare.Customer {
	if len(b.Customers) == 0 {
		return zyfairshare.Customer{}
	}
	share := zyfairshare.Customer{Weight: b.medianRate}
	if c, ok := b.Customers[name]; ok {
		share.Name, share.Level = name, slices.Index(b.customerPriorities, c.Priority)
		if c.Limit.Rate > 0 {
			share.Weight = float64(c.Limit.Rate)
		}
	}
	return share
}

// setMedianRate sets the weight of customers without a limit.
func (b *Bundle) setMedianRate() {
	var rates []float64
	for _, c := range b.Customers {
		if c.Limit.Rate > 0 {
			rates = append(rates, float64(c.Limit.Rate))
		}
	}
	slices.Sort(rates)
	b.medianRate = 1
	if len(rates) > 0 {
		b.medianRate = rates[len(rates)/2]
	}
}

// orderImportances collects the priorities of customers and the importances of classes,
// each from the most to the least important, for Importance, and sets the median rate, for
// ShareOf.
func (b *Bundle) orderImportances() {
	b.setMedianRate()
	for _, c := range b.Customers {
		b.customerPriorities = append(b.customerPriorities, c.Priority)
	}
	slices.Sort(b.customerPriorities)
	b.customerPriorities = slices.Compact(b.customerPriorities)
	for _, r := range b.Routes {
		b.classImportances = append(b.classImportances, r.Class.Importance)
	}
	slices.Sort(b.classImportances)
	b.classImportances = slices.Compact(b.classImportances)
	slices.Reverse(b.classImportances)
}
