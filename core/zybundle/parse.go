package zybundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyini"
)

// MaxTextSize is the size limit of a bundle's text.
const MaxTextSize = 1 * zinniayoke.MiB

const (
	maxImportance = 255
	maxUrgency    = 15
	maxPriority   = 255
	maxAttempts   = 1000
	maxApprovals  = 16
	// minWindow and maxWindow limit keyWindow and quarantineFor.
	minWindow         = time.Second
	maxWindow         = 24 * time.Hour
	maxTimeout        = 10 * time.Minute
	maxBodySize       = 8 * zinniayoke.MiB
	defaultMaxBody    = 64 * zinniayoke.KiB
	defaultTimeout    = 2 * time.Second
	defaultKeyWindow  = 10 * time.Minute
	defaultQuarantine = 10 * time.Minute
)

// Parse parses and validates a bundle; name is the file name for error messages.
// The error is a *zyini.ProblemsError with all problems found.
func Parse(name string, text []byte) (*Bundle, error) {
	file := zyini.Parse(name, text)
	if len(text) > int(MaxTextSize) {
		file.Reject("bundle", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxTextSize))
	}
	b := newBundle(text)
	hasBundleSection := false
	for _, s := range file.Sections() {
		if s.Kind != "bundle" && s.Name == "" {
			s.RejectHeader("no name", "["+s.Kind+" name]")
			continue
		}
		hasBundleSection = b.readSection(s) || hasBundleSection
		s.RejectUnknownKeys()
	}
	if file.Err() == nil && !hasBundleSection {
		file.Reject("bundle", "no such section", "[bundle] with version, approvals and defaultHome")
	}
	b.checkReferences(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	b.orderImportances()
	return b, nil
}

func newBundle(text []byte) *Bundle {
	return &Bundle{
		Hash:                   HashOf(text),
		Text:                   append([]byte(nil), text...),
		Domains:                make(map[zinniayoke.Domain]zinniayoke.Region),
		Approvers:              make(map[string]ed25519.PublicKey),
		Classes:                make(map[zinniayoke.ClassName]Class),
		Callers:                make(map[zinniayoke.Caller]Caller),
		Services:               make(map[zinniayoke.Service]Service),
		Routes:                 make(map[zinniayoke.RouteName]*Route),
		Links:                  make(map[RegionPair]Link),
		ReleasedFromQuarantine: make(map[string]bool),
		Customers:              make(map[zinniayoke.Customer]Customer),
		callersByTokenHash:     make(map[string]zinniayoke.Caller),
		customersByKey:         make(map[KeyHash]zinniayoke.Customer),
		muxByService:           make(map[zinniayoke.Service]*http.ServeMux),
		routesByHost:           make(map[string]*hostRoutes),
	}
}

// readSection reads a section and reports whether it is the [bundle] section.
func (b *Bundle) readSection(s *zyini.Section) bool {
	switch s.Kind {
	case "bundle":
		b.readBundleSection(s)
		return true
	case "domain":
		b.Domains[zinniayoke.Domain(s.Name)] = zyini.Require(s, "region", zyini.Name[zinniayoke.Region]())
	case "approver":
		b.Approvers[s.Name] = zyini.Require(s, "publicKey", zyini.HexBytes(ed25519.PublicKeySize))
	case "class":
		importance := zyini.Require(s, "importance", zyini.Integer(0, maxImportance))
		b.Classes[zinniayoke.ClassName(s.Name)] = Class{Name: zinniayoke.ClassName(s.Name), Importance: importance}
	case "caller":
		b.readCaller(s)
	case "customer":
		b.readCustomer(s)
	case "service":
		b.readService(s)
	case "route":
		b.readRoute(s)
	case "link":
		b.readLink(s)
	case "release":
		b.readRelease(s)
	default:
		s.RejectHeader("an unknown section",
			"bundle, domain, approver, class, caller, customer, service, route, link, release")
	}
	return false
}

func (b *Bundle) readBundleSection(s *zyini.Section) {
	b.Version = zyini.Require(s, "version", zyini.Integer[zinniayoke.Version](1, math.MaxInt32))
	b.Approvals = zyini.Require(s, "approvals", zyini.Integer(1, maxApprovals))
	b.DefaultHome = zyini.Require(s, "defaultHome", zyini.Name[zinniayoke.Domain]())
	b.DefaultMovedFrom = zyini.Get(s, "defaultMovedFrom", zyini.Name[zinniayoke.Domain](), "")
	b.Anonymous = zyini.Get(s, "anonymous", zyini.Bool(), false)
	b.KeyWindow = zyini.Get(s, "keyWindow", zyini.Duration(minWindow, maxWindow), defaultKeyWindow)
	b.QuarantineFor = zyini.Get(s, "quarantineFor", zyini.Duration(minWindow, maxWindow), defaultQuarantine)
	b.EvenLoad = zyini.Get(s, "evenLoad", zyini.Bool(), false)
	b.RetryErrors = zyini.Get(s, "retryErrors", zyini.Bool(), false)
}

func (b *Bundle) readCaller(s *zyini.Section) {
	c := Caller{Name: zinniayoke.Caller(s.Name)}
	if sum := zyini.Get(s, "tokenHash", zyini.HexBytes(sha256.Size), nil); sum != nil {
		c.TokenHash = hex.EncodeToString(sum)
		if other, ok := b.callersByTokenHash[c.TokenHash]; ok {
			s.RejectKey("tokenHash", "the token hash of caller "+string(other), "a different token for each caller")
		}
		b.callersByTokenHash[c.TokenHash] = c.Name
	}
	c.Urgency = zyini.Get(s, "urgency", zyini.Integer(0, maxUrgency), 0)
	c.Home = zyini.Require(s, "home", zyini.Name[zinniayoke.Domain]())
	c.MovedFrom = zyini.Get(s, "movedFrom", zyini.Name[zinniayoke.Domain](), "")
	c.Rate = zyini.Get(s, "rate", zyini.CallRate(), 0)
	b.Callers[c.Name] = c
}

func (b *Bundle) readCustomer(s *zyini.Section) {
	c := Customer{Name: zinniayoke.Customer(s.Name)}
	for _, sum := range zyini.Get(s, "keyHashes", zyini.List(zyini.HexBytes(sha256.Size)), nil) {
		c.KeyHashes = append(c.KeyHashes, KeyHash(sum))
	}
	c.Priority = zyini.Get(s, "priority", zyini.Integer(0, maxPriority), 0)
	const invalid = -1
	rate := zyini.Get(s, "rate", zyini.RateLimit(), invalid)
	c.Limit.Burst = zyini.Get(s, "burst", zyini.Float(math.MaxInt32), 0)
	c.Limit.Rate = zinniayoke.Rate(max(rate, 0))
	if rate == invalid && s.Has("rate") {
		c.Limit.Burst = 0 // Else the problem of the rate would be reported twice.
	}
	if !zyini.IsName(s.Name) {
		s.RejectHeader(fmt.Sprintf("%q", s.Name), "[customer name] with a name of "+zyini.Name[string]().Accepted)
		return
	}
	problem := b.addCustomer(c)
	switch {
	case problem == nil:
	case problem.key == "":
		s.RejectHeader(problem.found, problem.accepted)
	default:
		s.RejectKey(problem.key, problem.found, problem.accepted)
	}
}

func (b *Bundle) readService(s *zyini.Section) {
	b.Services[zinniayoke.Service(s.Name)] = Service{
		Name:      zinniayoke.Service(s.Name),
		TrustShed: zyini.Get(s, "trustShed", zyini.Bool(), false),
	}
}

func (b *Bundle) readRoute(s *zyini.Section) {
	r := &Route{Name: zinniayoke.RouteName(s.Name)}
	selectedByHost := s.Has("host") || s.Has("prefix")
	if selectedByHost {
		b.readPrefixRoute(s, r)
	} else {
		r.Service = zyini.Require(s, "service", zyini.Name[zinniayoke.Service]())
		r.Method = zyini.Require(s, "method", zyini.OneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))
		r.Path = zyini.Require(s, "path", zyini.Text[string]())
	}
	r.Class.Name = zyini.Require(s, "class", zyini.Name[zinniayoke.ClassName]())
	r.Attempts = zyini.Require(s, "attempts", zyini.Integer[zinniayoke.Tokens](1, maxAttempts))
	r.ChildCalls = zyini.Get(s, "calls", zyini.Integer[zinniayoke.Tokens](0, maxAttempts), 0)
	r.RetryBudget = zyini.Get(s, "retryBudget", zyini.Percent(), 0)
	r.NeverRepeat = zyini.Get(s, "neverRepeat", zyini.Bool(), false)
	r.Public = zyini.Get(s, "public", zyini.Bool(), false)
	r.Timeout = zyini.Get(s, "timeout", zyini.Duration(time.Millisecond, maxTimeout), defaultTimeout)
	r.Objective = zyini.Get(s, "objective", zyini.Duration(time.Millisecond, maxTimeout), 0)
	r.MaxBody = zyini.Get(s, "maxBody", zyini.Size(0, maxBodySize), defaultMaxBody)
	if r.Attempts > 0 && r.Attempts < 1+r.ChildCalls {
		s.RejectKey("attempts", fmt.Sprintf("%d with %d calls", r.Attempts, r.ChildCalls), "at least one more than calls")
	}
	b.Routes[r.Name] = r
	if !selectedByHost {
		b.registerPattern(s, r)
	}
}

// readPrefixRoute reads the keys of a route that is selected by host and prefix.
func (b *Bundle) readPrefixRoute(s *zyini.Section, r *Route) {
	r.Host = zyini.Require(s, "host", zyini.Name[string]())
	r.Prefix = zyini.Require(s, "prefix", pathPrefix())
	r.Service = zyini.Get(s, "service", zyini.Name[zinniayoke.Service](), "")
	r.Split = zyini.Get(s, "split", zyini.List(weightedService()), nil)
	if s.Has("service") == s.Has("split") {
		s.RejectKey("service", "both or neither of service and split", "either a service or a split")
	}
	if b.hasPrefix(r) {
		s.RejectKey("prefix", "a duplicate of "+r.Host+r.Prefix, "one route for each host and prefix")
		return
	}
	b.registerPrefix(r)
}

// pathPrefix accepts prefixes of whole path segments.
func pathPrefix() zyini.ValueType[string] {
	return zyini.ValueType[string]{
		Parse:    func(text string) (string, bool) { return text, isPrefix(text) },
		Accepted: "a prefix that begins and ends with a slash",
	}
}

func isPrefix(text string) bool {
	return strings.HasPrefix(text, "/") && strings.HasSuffix(text, "/")
}

// weightedService accepts a service and its weight, such as orderdesk 90.
func weightedService() zyini.ValueType[WeightedService] {
	const maxWeight = 1000
	weight := zyini.Float(maxWeight)
	return zyini.ValueType[WeightedService]{
		Parse: func(text string) (WeightedService, bool) {
			name, value, _ := strings.Cut(text, " ")
			w, ok := weight.Parse(strings.TrimSpace(value))
			return WeightedService{Service: zinniayoke.Service(name), Weight: w}, ok && w > 0 && zyini.IsName(name)
		},
		Accepted: fmt.Sprintf("a service and its weight above 0 and up to %d, such as orderdesk 90", maxWeight),
	}
}

// registerPattern registers the route with the ServeMux of its service. ServeMux
// panics on a pattern that is malformed or conflicts with another one; the panic
// is reported as a problem.
func (b *Bundle) registerPattern(s *zyini.Section, r *Route) {
	defer func() {
		if reason := recover(); reason != nil {
			s.RejectKey("path", fmt.Sprint(reason), "a pattern such as /orders/{id} that conflicts with no other route of the service")
		}
	}()
	mux, ok := b.muxByService[r.Service]
	if !ok {
		mux = http.NewServeMux()
		b.muxByService[r.Service] = mux
	}
	if r.Path == "" || r.Path[0] != '/' {
		s.RejectKey("path", fmt.Sprintf("%q", r.Path), "a pattern that begins with a slash")
		return
	}
	mux.Handle(r.Method+" "+r.Path, &muxRoute{route: r})
}

func (b *Bundle) readLink(s *zyini.Section) {
	rate := zyini.Require(s, "rate", zyini.BitRate())
	low, high, ok := parseRegionPair(s.Name)
	if !ok {
		s.RejectHeader(fmt.Sprintf("%q", s.Name), "two different regions separated by a slash, such as [link north/south]")
		return
	}
	pair := NewRegionPair(low, high)
	if _, ok := b.Links[pair]; ok {
		s.RejectHeader(fmt.Sprintf("%q, a second section for the same two regions", s.Name), "one section for each pair of regions, in either order")
		return
	}
	b.Links[pair] = Link{Rate: rate}
}

func (b *Bundle) readRelease(s *zyini.Section) {
	const digits = 16
	if raw, err := hex.DecodeString(s.Name); err != nil || len(raw)*2 != digits {
		s.RejectHeader(fmt.Sprintf("%q", s.Name), "the 16 hexadecimal digits of a quarantined request, as listed under suspects in /debug/state of the admin port (print)")
		return
	}
	b.ReleasedFromQuarantine[s.Name] = true
}
