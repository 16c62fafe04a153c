// Package zybundle parses and validates bundles and answers queries on them. A
// bundle is the versioned configuration in which operators define callers,
// classes, services, routes and limits for all nodes.
package zybundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"zinniayoke"
)

// Hash is the SHA-256 of a bundle's text in hexadecimal.
type Hash string

// HashOf returns the hash of a bundle's text.
func HashOf(text []byte) Hash {
	sum := sha256.Sum256(text)
	return Hash(hex.EncodeToString(sum[:]))
}

// Bundle is a validated version of the configuration. It is immutable after Parse
// or Compose.
type Bundle struct {
	Version zinniayoke.Version
	// Hash is the hash of Text.
	Hash Hash
	// Text is the source text as the operators wrote it.
	Text []byte
	// Approvals is the number of approvers who must sign off the next version.
	Approvals int
	// KeyWindow is how long an idempotency key is remembered after its last send.
	KeyWindow time.Duration
	// DefaultHome is the home of callers without a [caller] section.
	DefaultHome zinniayoke.Domain
	// DefaultMovedFrom is the default home of the previous version, if it differs.
	DefaultMovedFrom zinniayoke.Domain
	// Anonymous allows callers without a token to choose their own name.
	Anonymous bool
	// QuarantineFor is how long a request that crashes workers is refused.
	QuarantineFor time.Duration

	// Domains maps each failure domain to its region.
	Domains   map[zinniayoke.Domain]zinniayoke.Region
	Approvers map[string]ed25519.PublicKey
	Classes   map[zinniayoke.ClassName]Class
	Callers   map[zinniayoke.Caller]Caller
	Services  map[zinniayoke.Service]Service
	Routes    map[zinniayoke.RouteName]*Route
	Links     map[RegionPair]Link
	// Customers may send requests with their keys. If there are none, requests need no key.
	Customers map[zinniayoke.Customer]Customer
	// EvenLoad switches on the even distribution of load over the workers of a service.
	EvenLoad bool
	// RetryErrors states that a call that may be repeated is retried at another worker if
	// the first one responds with an error of its own, and that workers with many such
	// errors get fewer calls.
	RetryErrors bool
	// ReleasedFromQuarantine holds the fingerprints, as 16 hexadecimal digits, of the
	// requests that operators have released from quarantine.
	ReleasedFromQuarantine map[string]bool

	callersByTokenHash map[string]zinniayoke.Caller
	customersByKey     map[KeyHash]zinniayoke.Customer
	// customerPriorities and classImportances hold the distinct values from the most to the
	// least important.
	customerPriorities []int
	classImportances   []int
	// medianRate is the weight of customers without a limit.
	medianRate   float64
	muxByService map[zinniayoke.Service]*http.ServeMux
	// routesByHost holds the routes that are selected by host and path prefix.
	routesByHost map[string]*hostRoutes
	// Limits apply to all callers.
	Limits Limits
}

// Limits contains limits for the requests and connections of callers. A zero field
// means no limit.
type Limits struct {
	// Header and Body are the largest sizes accepted.
	Header zinniayoke.Bytes
	Body   zinniayoke.Bytes
	// HeaderTimeout is how long a caller may take to send the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Class is a priority class. Calls of higher Importance are served first.
type Class struct {
	Name       zinniayoke.ClassName
	Importance int
}

// Caller is a client that sends calls to the entry nodes.
type Caller struct {
	Name zinniayoke.Caller
	// TokenHash is the SHA-256 of the caller's token in hexadecimal, or "" if the
	// caller has none.
	TokenHash string
	// Urgency ranks callers within a class, from 0 to 15.
	Urgency int
	// Home is the failure domain that stores the caller's idempotency keys.
	Home zinniayoke.Domain
	// MovedFrom is the home in the previous version, if it differs.
	MovedFrom zinniayoke.Domain
	// Rate is the limit in calls per second at each entry node; 0 means no limit.
	Rate float64
}

// Service is one service of the call graph.
type Service struct {
	Name zinniayoke.Service
	// TrustShed states that a 503 response of a worker means that the call did not
	// run.
	TrustShed bool
	// HealthPath is the path of the worker's health check, or "" if it has none.
	HealthPath string
	// Connections is the number of connections that a worker accepts, or 0 if the
	// worker announces it.
	Connections int
}

// Route defines how a group of calls is handled. It selects them either by
// service, method and path pattern, or by host and path prefix.
type Route struct {
	Name    zinniayoke.RouteName
	Service zinniayoke.Service
	// Method and Path are empty for a route that is selected by host and prefix.
	Method string
	Path   string
	Class  Class
	// Attempts is the attempt budget of a root request, for it and all its child
	// calls.
	Attempts zinniayoke.Tokens
	// ChildCalls is the number of child calls that one run makes, direct and
	// indirect.
	ChildCalls zinniayoke.Tokens
	// RetryBudget is the number of retries allowed per successful call.
	RetryBudget float64
	// NeverRepeat states that a call must not run twice: it is not sent again if an
	// earlier attempt may have run.
	NeverRepeat bool
	// Public states that requests need no customer's key.
	Public  bool
	Timeout time.Duration
	MaxBody zinniayoke.Bytes
	// Host and Prefix select the route for calls that name no service.
	Host   string
	Prefix string
	// Split divides the calls among services by weight. It is empty if Service
	// serves all calls.
	Split []WeightedService
	// Objective is the target latency: a later response loses part of its worth. 0
	// means that the route has none.
	Objective time.Duration
}

// WeightedService is a service and its weight in a split route.
type WeightedService struct {
	Service zinniayoke.Service
	Weight  float64
}

// RegionPair is an unordered pair of regions; Low is the name that sorts first.
type RegionPair struct {
	Low  zinniayoke.Region
	High zinniayoke.Region
}

// Link describes the network link between two regions.
type Link struct {
	// Rate is in bytes per second in each direction.
	Rate zinniayoke.Bytes
}

// NewRegionPair returns the pair of a and b, in either order.
func NewRegionPair(a, b zinniayoke.Region) RegionPair {
	if b < a {
		a, b = b, a
	}
	return RegionPair{Low: a, High: b}
}

// Authenticate returns the caller with the given token. Without a token it returns
// the caller named by claimed, if the bundle allows anonymous callers or the
// caller is defined without a token. In a bundle with customers the token may be the key of
// a customer instead, which allows a request without a caller; a token that is neither
// counts as none, because public routes need no key. The error is a *zinniayoke.CallError.
func (b *Bundle) Authenticate(token, claimed string) (Caller, error) {
	if token != "" {
		sum := sha256.Sum256([]byte(token))
		if name, ok := b.callersByTokenHash[hex.EncodeToString(sum[:])]; ok {
			return b.Callers[name], nil
		}
		if len(b.Customers) == 0 {
			return Caller{}, zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "the token belongs to no caller of the bundle")
		}
	}
	caller, ok := b.Callers[zinniayoke.Caller(claimed)]
	if ok && caller.TokenHash != "" {
		return Caller{}, zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "this caller has to show its token")
	}
	if ok {
		return caller, nil
	}
	if _, known := b.CustomerOf(token); known && !b.Anonymous {
		return Caller{Home: b.DefaultHome, MovedFrom: b.DefaultMovedFrom}, nil
	}
	if !b.Anonymous {
		return Caller{}, zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "a token is required")
	}
	return Caller{Name: zinniayoke.Caller(claimed), Home: b.DefaultHome, MovedFrom: b.DefaultMovedFrom}, nil
}

// HomeOf returns the home of a caller, and its previous home if the caller moves in
// this version.
func (b *Bundle) HomeOf(name zinniayoke.Caller) (home, movedFrom zinniayoke.Domain) {
	if c, ok := b.Callers[name]; ok {
		return c.Home, c.MovedFrom
	}
	return b.DefaultHome, b.DefaultMovedFrom
}

// MatchService returns the route of the service that matches the method and path of
// r. The error is a *zinniayoke.CallError.
func (b *Bundle) MatchService(service zinniayoke.Service, r *http.Request) (*Route, error) {
	mux, ok := b.muxByService[service]
	if !ok {
		return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the bundle has no such service")
	}
	handler, _ := mux.Handler(r)
	route, ok := handler.(*muxRoute)
	if !ok {
		return nil, zinniayoke.NewRefusedError(zinniayoke.ReasonNoRoute, "the service has no route for this method and path")
	}
	return route.route, nil
}

// muxRoute carries a route through http.ServeMux, which is used only to match
// patterns. It never serves a request.
type muxRoute struct {
	route *Route
}

func (*muxRoute) ServeHTTP(http.ResponseWriter, *http.Request) {}
