package zybundle

import (
	"fmt"
	"math"
	"time"

	"zinniayoke"
)

// Composition is a bundle that was decided elsewhere, in the terms of this
// package.
type Composition struct {
	Version  zinniayoke.Version
	Text     []byte
	Services []Service
	// Routes are found by host and prefix. Their class follows from Priority.
	Routes []PrefixRoute
	Limits Limits
	// QuarantineFor is how long a crashing request stays refused; 0 means the usual time.
	QuarantineFor time.Duration
}

// PrefixRoute is a route with its priority, of which 0 is the highest.
type PrefixRoute struct {
	Route
	Priority int
}

// CompositionError says which part of a composition is not valid.
type CompositionError struct {
	Part     string
	Found    string
	Accepted string
}

// Error names the part, what was found and what is accepted.
func (e *CompositionError) Error() string {
	return fmt.Sprintf("%s: found %s; accepted: %s", e.Part, e.Found, e.Accepted)
}

// Compose checks a composition and returns it as a bundle. The error is a
// *CompositionError.
func Compose(c Composition) (*Bundle, error) {
	b := newBundle(c.Text)
	b.Version = c.Version
	b.Anonymous = true
	b.KeyWindow = usualWindow
	b.QuarantineFor = usualQuarantine
	if c.QuarantineFor > 0 {
		b.QuarantineFor = c.QuarantineFor
	}
	b.Limits = c.Limits
	if c.Version == 0 {
		return nil, &CompositionError{Part: "version", Found: "0", Accepted: "a whole number above 0"}
	}
	for _, s := range c.Services {
		b.Services[s.Name] = s
	}
	for i := range c.Routes {
		if err := b.addComposed(c.Routes[i]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// highestRootImportance leaves the upper half of the scale to the calls that
// workers make.
const highestRootImportance = highestImportance / 2

func (b *Bundle) addComposed(p PrefixRoute) error {
	r := p.Route
	part := "route " + string(r.Name)
	if !isPrefix(r.Prefix) {
		return &CompositionError{Part: part, Found: fmt.Sprintf("prefix %q", r.Prefix), Accepted: "a prefix that begins and ends with a slash"}
	}
	if (r.Service == "") == (len(r.Split) == 0) {
		return &CompositionError{Part: part, Found: "not one of a service and a split", Accepted: "either a service or a split"}
	}
	for _, s := range r.Split {
		if s.Weight < 0 || s.Service == "" {
			return &CompositionError{Part: part, Found: fmt.Sprintf("weight %g of service %q", s.Weight, s.Service), Accepted: "services with weights of 0 or more"}
		}
	}
	importance := max(highestRootImportance-max(p.Priority, 0), 0)
	r.Class = Class{Name: zinniayoke.ClassName(fmt.Sprintf("priority%d", p.Priority)), Importance: importance}
	b.Classes[r.Class.Name] = r.Class
	if r.MaxBody = b.Limits.Body; r.MaxBody == 0 {
		r.MaxBody = math.MaxInt64
	}
	b.Routes[r.Name] = &r
	b.addPrefix(&r)
	return nil
}
