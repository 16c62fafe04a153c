package zybundle

import (
	"fmt"
	"math"
	"strings"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyrank"
)

// Composition is the content of a bundle that was not read from bundle text, such
// as the configuration of a platform.
type Composition struct {
	Version  zinniayoke.Version
	Text     []byte
	Services []Service
	// Routes are selected by host and prefix. Their class is derived from Priority.
	Routes    []PrefixRoute
	Customers []Customer
	// EvenLoad switches on the even distribution of load.
	EvenLoad bool
	// RetryErrors retries calls to which a worker responds with an error of its own.
	RetryErrors bool
	Limits      Limits
	// QuarantineFor is how long a request that crashes workers is refused; 0 means
	// the default.
	QuarantineFor time.Duration
}

// PrefixRoute is a route and its priority; 0 is the highest.
type PrefixRoute struct {
	Route
	Priority int
}

// CompositionError reports an invalid part of a composition.
type CompositionError struct {
	// Part is "version", "route NAME" or "customer NAME".
	Part     string
	Found    string
	Accepted string
}

// Error returns the part, the value found and the values accepted.
func (e *CompositionError) Error() string {
	return fmt.Sprintf("%s: found %s; accepted: %s", e.Part, e.Found, e.Accepted)
}

// Compose validates a composition and returns it as a bundle. The error is a
// *CompositionError.
func Compose(c Composition) (*Bundle, error) {
	b := newBundle(c.Text)
	b.Version = c.Version
	b.Anonymous = true
	b.KeyWindow = defaultKeyWindow
	b.QuarantineFor = defaultQuarantine
	if c.QuarantineFor > 0 {
		b.QuarantineFor = c.QuarantineFor
	}
	b.Limits = c.Limits
	b.EvenLoad, b.RetryErrors = c.EvenLoad, c.RetryErrors
	if c.Version == 0 {
		return nil, &CompositionError{Part: "version", Found: "0", Accepted: "a whole number above 0"}
	}
	for _, s := range c.Services {
		b.Services[s.Name] = s
	}
	for i := range c.Routes {
		if err := b.addPrefixRoute(c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, customer := range c.Customers {
		if problem := b.addCustomer(customer); problem != nil {
			found := strings.TrimSpace(problem.key + " " + problem.found)
			return nil, &CompositionError{Part: "customer " + string(customer.Name), Found: found, Accepted: problem.accepted}
		}
	}
	b.orderImportances()
	return b, nil
}

// addPrefixRoute validates a route and adds it to the bundle.
func (b *Bundle) addPrefixRoute(p PrefixRoute) error {
	r := p.Route
	element := "route " + string(r.Name)
	if !isPrefix(r.Prefix) {
		return &CompositionError{Part: element, Found: fmt.Sprintf("prefix %q", r.Prefix), Accepted: "a prefix that begins and ends with a slash"}
	}
	if (r.Service == "") == (len(r.Split) == 0) {
		return &CompositionError{Part: element, Found: "both or neither of service and split", Accepted: "either a service or a split"}
	}
	for _, s := range r.Split {
		if s.Weight < 0 || s.Service == "" {
			return &CompositionError{Part: element, Found: fmt.Sprintf("weight %g of service %q", s.Weight, s.Service), Accepted: "services with weights of 0 or more"}
		}
	}
	importance := max(zyrank.MaxRootImportance-max(p.Priority, 0), 0)
	r.Class = Class{Name: zinniayoke.ClassName(fmt.Sprintf("priority%d", p.Priority)), Importance: importance}
	b.Classes[r.Class.Name] = r.Class
	if r.MaxBody = b.Limits.Body; r.MaxBody == 0 {
		r.MaxBody = math.MaxInt64
	}
	b.Routes[r.Name] = &r
	b.registerPrefix(&r)
	return nil
}
