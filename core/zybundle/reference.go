package zybundle

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"zinniayoke"
	"zinniayoke/core/zyini"
)

// minWindowTimeouts is the smallest keyWindow in multiples of the timeout of a route
// with neverRepeat. A request may run until its timeout, so its key must be
// remembered for longer than that.
const minWindowTimeouts = 2

// parseRegionPair splits the name of a [link] section into its two regions.
func parseRegionPair(name string) (first, second zinniayoke.Region, ok bool) {
	a, b, ok := strings.Cut(name, "/")
	return zinniayoke.Region(a), zinniayoke.Region(b), ok && zyini.IsName(a) && zyini.IsName(b) && a != b
}

// checkReferences rejects references to domains, regions, classes and services that
// the bundle does not define, and values that contradict each other. It does
// nothing if the file already has problems.
func (b *Bundle) checkReferences(file *zyini.File) {
	if file.Err() != nil {
		return
	}
	b.checkDomain(file, "bundle", b.DefaultHome)
	if b.DefaultMovedFrom != "" {
		b.checkDomain(file, "bundle", b.DefaultMovedFrom)
	}
	if b.Approvals > len(b.Approvers)-1 {
		file.Reject("bundle", fmt.Sprintf("%d approvals with %d approvers", b.Approvals, len(b.Approvers)),
			"at least one approver more than approvals, since approvers cannot sign off their own proposals")
	}
	for _, name := range sortedKeys(b.Callers) {
		b.checkCaller(file, b.Callers[name])
	}
	for _, name := range sortedKeys(b.Routes) {
		b.checkRoute(file, b.Routes[name])
	}
	pairs := slices.SortedFunc(maps.Keys(b.Links), func(x, y RegionPair) int {
		return cmp.Or(cmp.Compare(x.Low, y.Low), cmp.Compare(x.High, y.High))
	})
	for _, pair := range pairs {
		b.checkRegion(file, pair.Low)
		b.checkRegion(file, pair.High)
	}
}

func (b *Bundle) checkCaller(file *zyini.File, c Caller) {
	b.checkDomain(file, "caller "+string(c.Name), c.Home)
	if c.MovedFrom != "" {
		b.checkDomain(file, "caller "+string(c.Name), c.MovedFrom)
	}
}

func (b *Bundle) checkRoute(file *zyini.File, r *Route) {
	section := "route " + string(r.Name)
	for _, service := range r.services() {
		if _, ok := b.Services[service]; !ok {
			file.Reject(section, "unknown service "+string(service), "a service with a [service] section")
		}
	}
	class, ok := b.Classes[r.Class.Name]
	if !ok {
		file.Reject(section, "unknown class "+string(r.Class.Name), "a class with a [class] section")
	}
	r.Class = class
	if r.NeverRepeat && minWindowTimeouts*r.Timeout > b.KeyWindow {
		file.Reject(section, fmt.Sprintf("timeout %s with keyWindow %s", r.Timeout, b.KeyWindow),
			"a keyWindow of at least twice the timeout, since a request may run until its timeout")
	}
}

// services returns all services to which the route sends calls.
func (r *Route) services() []zinniayoke.Service {
	if len(r.Split) == 0 {
		return []zinniayoke.Service{r.Service}
	}
	var list []zinniayoke.Service
	for _, part := range r.Split {
		list = append(list, part.Service)
	}
	return list
}

func (b *Bundle) checkDomain(file *zyini.File, section string, d zinniayoke.Domain) {
	if _, ok := b.Domains[d]; !ok {
		file.Reject(section, "unknown domain "+string(d), "a failure domain with a [domain] section")
	}
}

func (b *Bundle) checkRegion(file *zyini.File, r zinniayoke.Region) {
	for _, region := range b.Domains {
		if region == r {
			return
		}
	}
	file.Reject("link", "unknown region "+string(r), "the region of a [domain] section")
}

// SuccessorError reports why a bundle cannot replace the one in force.
type SuccessorError struct {
	Problems []string
}

// Error returns one line per problem.
func (e *SuccessorError) Error() string {
	return strings.Join(e.Problems, "\n")
}

// CheckSuccessor returns a *SuccessorError if next cannot replace b. The version
// must be the next one, and each home that changes must name the previous home in
// movedFrom; otherwise two domains could hold records of the same idempotency key.
func (b *Bundle) CheckSuccessor(next *Bundle) error {
	var problems []string
	if next.Version != b.Version+1 {
		problems = append(problems, fmt.Sprintf("version %d cannot follow version %d; accepted: %d", next.Version, b.Version, b.Version+1))
	}
	for _, name := range sortedKeys(next.Callers) {
		previous, _ := b.HomeOf(name)
		problems = appendHomeProblem(problems, "caller "+string(name), previous, next.Callers[name].Home, next.Callers[name].MovedFrom)
	}
	for _, name := range sortedKeys(b.Callers) {
		if _, ok := next.Callers[name]; !ok {
			problems = appendHomeProblem(problems, "removed caller "+string(name), b.Callers[name].Home, next.DefaultHome, next.DefaultMovedFrom)
		}
	}
	problems = appendHomeProblem(problems, "default", b.DefaultHome, next.DefaultHome, next.DefaultMovedFrom)
	if len(problems) > 0 {
		return &SuccessorError{Problems: problems}
	}
	return nil
}

// appendHomeProblem appends a problem if a home changes without naming the previous
// one.
func appendHomeProblem(problems []string, name string, previous, home, movedFrom zinniayoke.Domain) []string {
	if previous == home || previous == movedFrom {
		return problems
	}
	return append(problems, fmt.Sprintf("%s: home moves from %s to %s; accepted: movedFrom = %s", name, previous, home, previous))
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
