// Package zybound finds the most worth that any policy could serve of a load,
// from the time that each kind of call takes of each service.
package zybound

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"zinniayoke/core/zyini"
)

// Load is a load in the terms of its services.
type Load struct {
	Services []Service
	Kinds    []CallKind
}

// Service is what all workers of a service can do.
type Service struct {
	Name string
	// Slots is the sum of the slots, each weighted with its worker's speed.
	Slots float64
}

// CallKind is one kind of root call.
type CallKind struct {
	Name string
	// Rate is calls a second, Worth the worth of one.
	Rate  float64
	Worth float64
	// SlotTimes is how long one call holds a slot of each service, all its calls together.
	SlotTimes map[string]time.Duration
}

// Bound is the best that can be served.
type Bound struct {
	// ServedShares of each kind that is served.
	ServedShares map[string]float64
	// Utilization of each service, 1 where it is full.
	Utilization map[string]float64
	// WorthShare is the part of all worth that is served.
	WorthShare float64
}

// Parse reads a load. The error is a *zyini.ProblemsError.
func Parse(name string, text []byte) (*Load, error) {
	file := zyini.Parse(name, text)
	l := &Load{}
	for _, s := range file.Sections() {
		l.readSection(s)
		s.RejectUnknownKeys()
	}
	for _, k := range l.Kinds {
		for service := range k.SlotTimes {
			if !slices.ContainsFunc(l.Services, func(s Service) bool { return s.Name == service }) {
				file.Reject("kind "+k.Name, "service "+service, "a service with a [service] section")
			}
		}
	}
	if file.Err() == nil && (len(l.Kinds) == 0 || len(l.Services) == 0) {
		file.Reject("kind", "no such section", "at least one [service name] and one [kind name]")
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return l, nil
}

const (
	mostSlots = 1e9
	mostWorth = 1e9
)

func (l *Load) readSection(s *zyini.Section) {
	switch s.Kind {
	case "service":
		l.Services = append(l.Services, Service{Name: s.Name, Slots: zyini.Require(s, "slots", zyini.Float(mostSlots))})
	case "kind":
		k := CallKind{
			Name: s.Name, Rate: zyini.Require(s, "rate", zyini.CallRate()), Worth: zyini.Require(s, "worth", zyini.Float(mostWorth)),
			SlotTimes: make(map[string]time.Duration),
		}
		for _, use := range zyini.Get(s, "uses", zyini.List(useKind()), nil) {
			k.SlotTimes[use.service] += use.time
		}
		l.Kinds = append(l.Kinds, k)
	default:
		s.RejectHeader("an unknown section", "service, kind")
	}
}

type use struct {
	service string
	time    time.Duration
}

// useKind accepts a service and a time, such as settings:160ms.
func useKind() zyini.ValueType[use] {
	return zyini.ValueType[use]{
		Parse: func(text string) (use, bool) {
			name, d, ok := strings.Cut(text, ":")
			if !ok || !zyini.IsName(name) {
				return use{}, false
			}
			took, err := time.ParseDuration(d)
			return use{service: name, time: took}, err == nil && took >= 0
		},
		Accepted: "a service and a time with its unit, such as settings:160ms",
	}
}

// UpperBound returns the bound of a load.
func UpperBound(l *Load) (*Bound, error) {
	kinds, services := len(l.Kinds), len(l.Services)
	rows, columns := services+kinds, 2*kinds+services // A slack variable for each row.
	a := mat.NewDense(rows, columns, nil)
	b, c := make([]float64, rows), make([]float64, columns)
	for j, k := range l.Kinds {
		c[j] = -k.Rate * k.Worth
		for i, s := range l.Services {
			a.Set(i, j, k.Rate*k.SlotTimes[s.Name].Seconds())
		}
		a.Set(services+j, j, 1)
		b[services+j] = 1
	}
	for i, s := range l.Services {
		b[i] = s.Slots
	}
	for i := range rows {
		a.Set(i, kinds+i, 1)
	}
	const tolerance = 1e-9
	_, x, err := lp.Simplex(c, a, b, tolerance, nil)
	if err != nil {
		return nil, fmt.Errorf("bound: %w", err)
	}
	return l.result(x), nil
}

func (l *Load) result(x []float64) *Bound {
	r := &Bound{ServedShares: make(map[string]float64), Utilization: make(map[string]float64)}
	all := 0.0
	for j, k := range l.Kinds {
		r.ServedShares[k.Name] = x[j]
		r.WorthShare += x[j] * k.Rate * k.Worth
		all += k.Rate * k.Worth
		for _, s := range l.Services {
			if s.Slots > 0 {
				r.Utilization[s.Name] += x[j] * k.Rate * k.SlotTimes[s.Name].Seconds() / s.Slots
			}
		}
	}
	if all > 0 {
		r.WorthShare /= all
	}
	return r
}
