package zybundle

import (
	"fmt"
	"slices"
	"strings"

	"zinniayoke"
	"zinniayoke/core/zyini"
)

// windowTimeouts is how many timeouts of a route a key has to be remembered.
const windowTimeouts = 2

func cutRegions(name string) (low, high zinniayoke.Region, ok bool) {
	a, b, ok := strings.Cut(name, "/")
	return zinniayoke.Region(a), zinniayoke.Region(b), ok && zyini.IsName(a) && zyini.IsName(b) && a != b
}

// checkReferences rejects names that the bundle does not define.
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
			"at least one approver more than approvals, since none signs off an own proposal")
	}
	for _, name := range sortedKeys(b.Callers) {
		b.checkCaller(file, b.Callers[name])
	}
	for _, name := range sortedKeys(b.Routes) {
		b.checkRoute(file, b.Routes[name])
	}
	for pair := range b.Links {
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
			file.Reject(section, "service "+string(service), "a service with a [service] section")
		}
	}
	class, ok := b.Classes[r.Class.Name]
	if !ok {
		file.Reject(section, "class "+string(r.Class.Name), "a class with a [class] section")
	}
	r.Class = class
	if r.NeverRepeat && windowTimeouts*r.Timeout > b.KeyWindow {
		file.Reject(section, fmt.Sprintf("timeout %s with keyWindow %s", r.Timeout, b.KeyWindow),
			"a keyWindow of at least twice the timeout, since a request may run until its timeout")
	}
}

// services returns the services that serve the route.
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
		file.Reject(section, "domain "+string(d), "a failure domain with a [domain] section")
	}
}

func (b *Bundle) checkRegion(file *zyini.File, r zinniayoke.Region) {
	for _, region := range b.Domains {
		if region == r {
			return
		}
	}
	file.Reject("link", "region "+string(r), "the region of a [domain] section")
}

// SuccessorError says why one bundle may not follow another.
type SuccessorError struct {
	Problems []string
}

// Error returns one line for each problem.
func (e *SuccessorError) Error() string {
	return strings.Join(e.Problems, "\n")
}

// CheckSuccessor returns a *SuccessorError where next may not follow b: its
// version has to be the next one, and a home that changes has to name the home
// before, so that no key is kept in two places.
func (b *Bundle) CheckSuccessor(next *Bundle) error {
	var problems []string
	if next.Version != b.Version+1 {
		problems = append(problems, fmt.Sprintf("version %d follows version %d; accepted: %d", next.Version, b.Version, b.Version+1))
	}
	for _, name := range sortedKeys(next.Callers) {
		was, _ := b.HomeOf(name)
		problems = appendMove(problems, "caller "+string(name), was, next.Callers[name].Home, next.Callers[name].MovedFrom)
	}
	for _, name := range sortedKeys(b.Callers) {
		if _, ok := next.Callers[name]; !ok {
			problems = appendMove(problems, "removed caller "+string(name), b.Callers[name].Home, next.DefaultHome, next.DefaultMovedFrom)
		}
	}
	problems = appendMove(problems, "default", b.DefaultHome, next.DefaultHome, next.DefaultMovedFrom)
	if len(problems) > 0 {
		return &SuccessorError{Problems: problems}
	}
	return nil
}

func appendMove(problems []string, who string, was, is, movedFrom zinniayoke.Domain) []string {
	if was == is || was == movedFrom {
		return problems
	}
	return append(problems, fmt.Sprintf("%s: home moves from %s to %s; accepted: movedFrom = %s", who, was, is, was))
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
