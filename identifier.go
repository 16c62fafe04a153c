package zinniayoke

// NodeID identifies one run of a node: the host name, a slash and the incarnation
// of the process. A restarted node gets a new NodeID because its in-memory state
// is lost. The zero value means no node.
type NodeID string

// Domain is the name of a failure domain. The zero value means none.
type Domain string

// Region is the name of a group of failure domains connected by fast links. The
// zero value means none.
type Region string

// Service is the name of a service in the call graph. The zero value means none.
type Service string

// RouteName is the name of a route in the bundle, such as "orderdesk/order". The
// zero value means none.
type RouteName string

// Caller is the name of a caller in the bundle. The zero value is an anonymous
// caller.
type Caller string

// Customer is the name of a customer in the bundle: whoever holds one of its keys. A
// customer has a priority and a rate limit that holds over all nodes together. The zero
// value means none.
type Customer string

// ClassName is the name of an importance class. The zero value means none.
type ClassName string

// RequestID identifies one root request throughout its call chain.
type RequestID string

// AttemptID identifies one send of a request to one upstream host.
type AttemptID string

// Key is an idempotency key, qualified by the caller's name to make it unique. The
// zero value means that the request has none.
type Key string

// Version is the version number of a bundle, the signed configuration that the
// nodes agree on through the log. Versions start with 1; the zero value means no
// bundle.
type Version uint64

// Incarnation numbers the runs of a host's node or worker; it increases with each
// restart.
type Incarnation uint64

// Instance identifies one run of a worker. It keeps a call from being run by a
// different worker that has since been given the same address. The zero value
// means none.
type Instance string

// Offset is the position of a record in a stream of the log.
type Offset uint64

// StoreEra counts how often the platform's store came back from a copy, after which it
// lacks the records of some seconds. Offsets of different eras cannot be compared.
type StoreEra uint64

// Stream is the name of a stream of the log.
type Stream string

// Streams used by the overload control layer.
const (
	// BundleStream holds the proposals, sign-offs, roll-outs and checkpoints of
	// bundles.
	BundleStream Stream = "bundle"
	// MemberStream holds node addresses through which new nodes join.
	MemberStream Stream = "member"
)

// Rank is the priority of a request; higher ranks are served first and shed last.
// From the most significant bits down it is made of the class (8 bits), the
// caller's urgency (4 bits), the caller's share (4 bits) and a hash of the root
// request (16 bits). The zero value is the lowest rank.
type Rank uint32

// Tokens is an attempt budget: the number of attempts that a request may still
// cause, across all hops.
type Tokens int

// Rate is a number of calls per second.
type Rate float64

// Bytes is a size in bytes.
type Bytes int64

// Units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Locality is the failure domain and region in which a node runs.
type Locality struct {
	Domain Domain `codec:"domain" json:"domain"`
	Region Region `codec:"region" json:"region"`
}
