package zinniayoke

import "time"

// WorkerLoad is what a worker says about its load in a response. A value that the response
// does not contain in a readable form is 0.
type WorkerLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual work takes on the worker's machine now.
	Slowdown float64
}

// LoadReport is the load of a worker as its node reports it in replies.
type LoadReport struct {
	// Limit is the concurrency limit; Running and Waiting are the calls that the worker runs
	// and that are queued for it.
	Limit   int `codec:"l"`
	Running int `codec:"r"`
	Waiting int `codec:"w"`
	// Speed is how fast the worker is in relation to the other workers of its service.
	Speed float64 `codec:"s"`
	// HoldTime is the average time for which a call occupies a slot.
	HoldTime time.Duration `codec:"h"`
}

// Capacity returns the concurrency limit multiplied by the speed.
func (r LoadReport) Capacity() float64 {
	return float64(r.Limit) * r.Speed
}

// LoadMeter records measurements of the even distribution of load. Implementations must be
// safe for concurrent use.
type LoadMeter interface {
	// CountRedirect counts a call that was sent to another worker because the first one was
	// busy.
	CountRedirect(d Distance)
	// CountAvoidableWait counts a call that waited for a worker although, as far as its sender
	// knew, another worker of the service in the sender's failure domain had room.
	CountAvoidableWait()
	// SetCapacityFactor sets the speed of the worker of this node.
	SetCapacityFactor(f float64)
}

// NopLoadMeter is a LoadMeter that discards all measurements.
type NopLoadMeter struct{}

// CountRedirect does nothing.
func (NopLoadMeter) CountRedirect(Distance) {}

// CountAvoidableWait does nothing.
func (NopLoadMeter) CountAvoidableWait() {}

// SetCapacityFactor does nothing.
func (NopLoadMeter) SetCapacityFactor(float64) {}

// Distance is how far a worker is from the sender of a call.
type Distance int

// The distances, nearest first.
const (
	DistanceDomain Distance = iota
	DistanceRegion
	DistanceElsewhere
)

// DistanceBetween returns the distance between two nodes.
func DistanceBetween(a, b Locality) Distance {
	switch {
	case a.Domain == b.Domain:
		return DistanceDomain
	case a.Region == b.Region:
		return DistanceRegion
	}
	return DistanceElsewhere
}
