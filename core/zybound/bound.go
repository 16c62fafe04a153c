// Package zybound computes an upper bound on what any overload policy can
// achieve for a given load. Each call has a worth; a linear program maximizes the
// worth served per second, given the slots of each service and the slot time that
// a call of each kind uses there.
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

// Load describes the services and the calls that are offered to them.
type Load struct {
	Services []Service
	Kinds    []CallKind
}

// Service is the capacity of all workers of a service.
type Service struct {
	Name string
	// Slots is the number of slots, each weighted by the speed of its worker.
	Slots float64
}

// CallKind is one kind of root call.
type CallKind struct {
	Name string
	// Rate is in calls per second. Worth is the value of one served call.
	Rate  float64
	Worth float64
	// SlotTimes is, for each service, the total time for which one root call and
	// its child calls occupy a slot.
	SlotTimes map[string]time.Duration
}

// Bound is the optimal solution for a load.
type Bound struct {
	// ServedShares is the share of the calls of each kind that is served.
	ServedShares map[string]float64
	// Utilization is the share of the slots of each service that is in use.
	Utilization map[string]float64
	// WorthShare is the share of the offered worth that is served.
	WorthShare float64
}

// Parse reads a load in INI format; name is the file name for error messages.
// The error is a *zyini.ProblemsError.
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
				file.Reject("kind "+k.Name, "unknown service "+service, "a service with a [service] section")
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
	maxSlots = 1e9
	maxWorth = 1e9
)

func (l *Load) readSection(s *zyini.Section) {
	switch s.Kind {
	case "service":
		l.Services = append(l.Services, Service{Name: s.Name, Slots: zyini.Require(s, "slots", zyini.Float(maxSlots))})
	case "kind":
		k := CallKind{
			Name: s.Name, Rate: zyini.Require(s, "rate", zyini.CallRate()), Worth: zyini.Require(s, "worth", zyini.Float(maxWorth)),
			SlotTimes: make(map[string]time.Duration),
		}
		for _, t := range zyini.Get(s, "uses", zyini.List(slotTimeValue()), nil) {
			k.SlotTimes[t.service] += t.duration
		}
		l.Kinds = append(l.Kinds, k)
	default:
		s.RejectHeader("an unknown section", "service, kind")
	}
}

// slotTime is the time for which a call occupies a slot of one service.
type slotTime struct {
	service  string
	duration time.Duration
}

// slotTimeValue accepts a service and a duration, such as settings:160ms.
func slotTimeValue() zyini.ValueType[slotTime] {
	return zyini.ValueType[slotTime]{
		Parse: func(text string) (slotTime, bool) {
			name, value, ok := strings.Cut(text, ":")
			if !ok || !zyini.IsName(name) {
				return slotTime{}, false
			}
			d, err := time.ParseDuration(value)
			return slotTime{service: name, duration: d}, err == nil && d >= 0
		},
		Accepted: "a service and a duration with its unit, such as settings:160ms",
	}
}

// UpperBound returns the optimal solution for a load. It solves a linear program with
// lp.Simplex, which minimizes, so the objective is the negative worth. The first
// variables are the served shares of the kinds, the others are slack variables. One
// row per service limits its slots, and one row per kind limits its share to 1.
func UpperBound(l *Load) (*Bound, error) {
	kinds, services := len(l.Kinds), len(l.Services)
	rows, columns := services+kinds, 2*kinds+services // Each row has a slack variable.
	constraints := mat.NewDense(rows, columns, nil)
	limits, objective := make([]float64, rows), make([]float64, columns)
	for j, k := range l.Kinds {
		objective[j] = -k.Rate * k.Worth
		for i, s := range l.Services {
			constraints.Set(i, j, k.Rate*k.SlotTimes[s.Name].Seconds())
		}
		constraints.Set(services+j, j, 1)
		limits[services+j] = 1
	}
	for i, s := range l.Services {
		limits[i] = s.Slots
	}
	for i := range rows {
		constraints.Set(i, kinds+i, 1)
	}
	const tolerance = 1e-9
	_, solution, err := lp.Simplex(objective, constraints, limits, tolerance, nil)
	if err != nil {
		return nil, fmt.Errorf("compute upper bound for %d kinds of calls on %d services: %w", kinds, services, err)
	}
	return l.bound(solution), nil
}

// bound converts the solution of the linear program.
func (l *Load) bound(solution []float64) *Bound {
	bound := &Bound{ServedShares: make(map[string]float64), Utilization: make(map[string]float64)}
	totalWorth := 0.0
	for j, k := range l.Kinds {
		bound.ServedShares[k.Name] = solution[j]
		bound.WorthShare += solution[j] * k.Rate * k.Worth
		totalWorth += k.Rate * k.Worth
		for _, s := range l.Services {
			if s.Slots > 0 {
				bound.Utilization[s.Name] += solution[j] * k.Rate * k.SlotTimes[s.Name].Seconds() / s.Slots
			}
		}
	}
	if totalWorth > 0 {
		bound.WorthShare /= totalWorth
	}
	return bound
}
