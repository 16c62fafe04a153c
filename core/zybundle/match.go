package zybundle

import (
	"strings"

	"zinniayoke"
)

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	byPrefix map[string]*Route
}

// MatchHost returns the route of the host with the longest prefix that matches path.
// The error is a *zinniayoke.CallError.
func (b *Bundle) MatchHost(host, path string) (*Route, error) {
	h, ok := b.routesByHost[strings.ToLower(host)]
	if !ok {
		return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the bundle has no such host")
	}
	// Prefixes end with a slash, so only the parts of the path up to a slash are
	// looked up.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := h.byPrefix[path[:end+1]]; ok {
			return route, nil
		}
	}
	return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the host has no route for this path")
}

// hasPrefix reports whether a route with the host and prefix of r is registered.
func (b *Bundle) hasPrefix(r *Route) bool {
	h, ok := b.routesByHost[strings.ToLower(r.Host)]
	return ok && h.byPrefix[r.Prefix] != nil
}

// registerPrefix adds a route to the routes of its host.
func (b *Bundle) registerPrefix(r *Route) {
	host := strings.ToLower(r.Host)
	h, ok := b.routesByHost[host]
	if !ok {
		h = &hostRoutes{byPrefix: make(map[string]*Route)}
		b.routesByHost[host] = h
	}
	h.byPrefix[r.Prefix] = r
}
