// Package zybundle reads, checks and looks up the versioned bundle in which
// operators state callers, classes, services, routes and limits.
package zybundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"zinniayoke"
)

// Hash identifies a bundle by its text.
type Hash string

// HashOf returns the SHA-256 of a bundle's text as hexadecimal digits.
func HashOf(text []byte) Hash {
	sum := sha256.Sum256(text)
	return Hash(hex.EncodeToString(sum[:]))
}

// Bundle is one checked version. It is never changed after Parse.
type Bundle struct {
	Version zinniayoke.Version
	// Hash identifies the text.
	Hash Hash
	// Text is what the operators wrote.
	Text []byte
	// Approvals is how many approvers have to sign off the next version.
	Approvals int
	// KeyWindow is how long a key is remembered after its last send.
	KeyWindow time.Duration
	// DefaultHome is the home of callers that have none of their own.
	DefaultHome zinniayoke.Domain
	// DefaultMovedFrom is the default home of the version before, if it differs.
	DefaultMovedFrom zinniayoke.Domain
	// Anonymous tells whether callers without a token may name themselves.
	Anonymous bool
	// QuarantineFor is how long a crashing request stays refused.
	QuarantineFor time.Duration

	Domains   map[zinniayoke.Domain]zinniayoke.Region
	Approvers map[string]ed25519.PublicKey
	Classes   map[zinniayoke.ClassName]Class
	Callers   map[zinniayoke.Caller]Caller
	Services  map[zinniayoke.Service]Service
	Routes    map[zinniayoke.RouteName]*Route
	Links     map[RegionPair]Link
	// ReleasedFromQuarantine holds the content hashes whose quarantine operators have lifted.
	ReleasedFromQuarantine map[string]bool

	tokens map[string]zinniayoke.Caller
	muxes  map[zinniayoke.Service]*http.ServeMux
	// hosts holds the routes that are found by host and prefix.
	hosts map[string]*prefixes
	// Limits bound what callers may send.
	Limits Limits
}

// Limits bound what a caller may send and how long a connection may be idle.
// A zero field sets no bound.
type Limits struct {
	Header zinniayoke.Bytes
	Body   zinniayoke.Bytes
	// HeaderTimeout is how long a caller may take to send the header.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Class is a class of importance; a higher importance is served first.
type Class struct {
	Name       zinniayoke.ClassName
	Importance int
}

// Caller is one small caller behind the reseller's name.
type Caller struct {
	Name      zinniayoke.Caller
	TokenHash string
	// Urgency orders callers within a class, from 0 to 15.
	Urgency int
	// Home is the failure domain that keeps the caller's keys.
	Home zinniayoke.Domain
	// MovedFrom is the home of the version before, where it differs.
	MovedFrom zinniayoke.Domain
	// Rate limits calls a second at each entry node; 0 means no limit.
	Rate float64
}

// Service is one service of the call graph.
type Service struct {
	Name zinniayoke.Service
	// TrustShed says that a 503 of its workers means that the call did not run.
	TrustShed bool
	// HealthPath is where a worker answers whether it is well, "" where it has none.
	HealthPath string
	// Connections is how many connections a worker takes, 0 where it announces that.
	Connections int
}

// Route states how calls are treated: those of one method and path pattern, or
// those to a host whose path begins with a prefix.
type Route struct {
	Name    zinniayoke.RouteName
	Service zinniayoke.Service
	// Method and Path are empty for a route that is found by host and prefix.
	Method string
	Path   string
	Class  Class
	// Attempts bounds the sends that one root request causes in its whole chain.
	Attempts zinniayoke.Tokens
	// ChildCalls is how many child calls a run makes in its whole chain.
	ChildCalls zinniayoke.Tokens
	// RetryBudget is the share of successes that may be spent on retries.
	RetryBudget float64
	NeverRepeat bool
	Timeout     time.Duration
	MaxBody     zinniayoke.Bytes
	// Host and Prefix select the route for callers that name no service.
	Host   string
	Prefix string
	// Split names the services that share the calls; empty where Service has all.
	Split []WeightedService
	// Objective is the time within which an answer has its full worth, 0 where
	// the operators state none.
	Objective time.Duration
}

// WeightedService is one service's share of a split route.
type WeightedService struct {
	Service zinniayoke.Service
	Weight  float64
}

// RegionPair is two regions in the order of their names.
type RegionPair struct {
	Low  zinniayoke.Region
	High zinniayoke.Region
}

// Link states what a link between two regions carries.
type Link struct {
	// Rate is in bytes a second each way.
	Rate zinniayoke.Bytes
}

// NewRegionPair returns the pair of two regions.
func NewRegionPair(a, b zinniayoke.Region) RegionPair {
	if b < a {
		a, b = b, a
	}
	return RegionPair{Low: a, High: b}
}

// Authenticate returns the caller who holds token, or an error of type
// *zinniayoke.CallError. Without a token, claimed names the caller where the
// bundle allows that and the name is not protected by a token.
func (b *Bundle) Authenticate(token, claimed string) (Caller, error) {
	if token != "" {
		sum := sha256.Sum256([]byte(token))
		name, ok := b.tokens[hex.EncodeToString(sum[:])]
		if !ok {
			return Caller{}, zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "the token belongs to no caller of the bundle")
		}
		return b.Callers[name], nil
	}
	named, ok := b.Callers[zinniayoke.Caller(claimed)]
	if ok && named.TokenHash != "" {
		return Caller{}, zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "this caller has to show its token")
	}
	if ok {
		return named, nil
	}
	if !b.Anonymous {
		return Caller{}, zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "a token is required")
	}
	return Caller{Name: zinniayoke.Caller(claimed), Home: b.DefaultHome, MovedFrom: b.DefaultMovedFrom}, nil
}

// HomeOf returns the home of a caller and the home that it was moved from, if any.
func (b *Bundle) HomeOf(name zinniayoke.Caller) (home, movedFrom zinniayoke.Domain) {
	if c, ok := b.Callers[name]; ok {
		return c.Home, c.MovedFrom
	}
	return b.DefaultHome, b.DefaultMovedFrom
}

// MatchService returns the route of a call, or an error of type *zinniayoke.CallError.
func (b *Bundle) MatchService(service zinniayoke.Service, r *http.Request) (*Route, error) {
	mux, ok := b.muxes[service]
	if !ok {
		return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the bundle has no such service")
	}
	handler, _ := mux.Handler(r)
	route, ok := handler.(*routeHandler)
	if !ok {
		return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the service has no route for this method and path")
	}
	return route.route, nil
}

// routeHandler lets http.ServeMux match patterns; it never serves.
type routeHandler struct {
	route *Route
}

func (*routeHandler) ServeHTTP(http.ResponseWriter, *http.Request) {}
