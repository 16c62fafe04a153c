package zinniayoke

// NodeID names one run of a node: the host's name, a slash and the incarnation
// of the process. A restarted node has a new NodeID, since its memory is gone.
// The zero value names no node.
type NodeID string

// Domain names a failure domain. The zero value names none.
type Domain string

// Region names a group of failure domains joined by fast links. The zero value
// names none.
type Region string

// Service names a service of the call graph. The zero value names none.
type Service string

// RouteName names a route of the bundle, such as "orderdesk/order". The zero
// value names none.
type RouteName string

// Caller names a caller of the bundle. The zero value is a caller that did not
// say who it is.
type Caller string

// ClassName names a class of importance. The zero value names none.
type ClassName string

// RequestID identifies one root request through its whole chain.
type RequestID string

// AttemptID identifies one send of a request to one upstream host.
type AttemptID string

// Key is an idempotency key, made unique by the caller's name. The zero value
// means that the request has none.
type Key string

// Version numbers the bundles of one log, starting with 1. The zero value is
// "no bundle".
type Version uint64

// Incarnation numbers the runs of one host's node or worker; later runs have
// larger numbers.
type Incarnation uint64

// Instance names one start of a worker, so that a call is not run by another
// worker that was given its address. The zero value names none.
type Instance string

// Offset is a position in a stream of the log.
type Offset uint64

// Stream names a stream of the log.
type Stream string

// Streams that the system keeps in the log.
const (
	// BundleStream holds proposals, sign-offs, roll-outs and checkpoints.
	BundleStream Stream = "bundle"
	// MemberStream holds the addresses by which new nodes join.
	MemberStream Stream = "member"
)

// Rank orders requests by importance; the higher rank is served first.
// Its parts, from the most significant: class (8 bits), urgency of the caller
// (4 bits), share of the caller (4 bits) and a hash of the root request
// (16 bits). The zero value is the lowest rank.
type Rank uint32

// Tokens counts attempts that a request may still cause.
type Tokens int

// Bytes counts bytes.
type Bytes int64

// Sizes of data.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Place is where a node stands.
type Locality struct {
	Domain Domain `codec:"domain" json:"domain"`
	Region Region `codec:"region" json:"region"`
}
