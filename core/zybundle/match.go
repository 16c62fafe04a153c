package zybundle

import (
	"strings"

	"zinniayoke"
)

// prefixes holds the routes of one host.
type prefixes struct {
	routes map[string]*Route
}

// MatchHost returns the route with the longest prefix that begins the path, among
// the routes of the host. The error is a *zinniayoke.CallError.
func (b *Bundle) MatchHost(host, path string) (*Route, error) {
	h, ok := b.hosts[strings.ToLower(host)]
	if !ok {
		return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the bundle has no such host")
	}
	// Prefixes end with a slash, so only the parts up to a slash can be one.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := h.routes[path[:end+1]]; ok {
			return route, nil
		}
	}
	return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the host has no route for this path")
}

// hasPrefix reports whether the host has a route with the same prefix.
func (b *Bundle) hasPrefix(r *Route) bool {
	h, ok := b.hosts[strings.ToLower(r.Host)]
	return ok && h.routes[r.Prefix] != nil
}

// addPrefix adds the route to the matcher of its host.
func (b *Bundle) addPrefix(r *Route) {
	host := strings.ToLower(r.Host)
	h, ok := b.hosts[host]
	if !ok {
		h = &prefixes{routes: make(map[string]*Route)}
		b.hosts[host] = h
	}
	h.routes[r.Prefix] = r
}
