package zyattempt

// earnedBuckets is for how many buckets earned retries may be spent. The retries of a window
// are earned in at most bucketCount+earnedBuckets buckets, so usedShare of the budget must be at
// most bucketCount/(bucketCount+earnedBuckets).
const earnedBuckets = 3

// epsilon is the tolerated rounding error of a sum of ratios.
const epsilon = 1e-9

// earnings holds the retries that the first sends at this node have earned and that are not
// spent. Each bucket earns the part of a bucket of what the first sends of the last window
// allow. What is not spent soon is lost, and so are the earnings of a process that ends:
// whatever becomes of nodes and of their load, no first send pays for a retry twice.
type earnings struct {
	unspent [earnedBuckets]float64
	// perBucket is what the newest bucket has earned.
	perBucket float64
}

// advance begins a bucket that earns the given number of retries.
func (e *earnings) advance(bucket int64, earned float64) {
	e.unspent[bucket%earnedBuckets], e.perBucket = earned, earned
}

// total returns how many retries may be spent now.
func (e *earnings) total() float64 {
	total := 0.0
	for _, n := range e.unspent {
		total += n
	}
	return total
}

// spend takes a retry, from the oldest bucket first, and reports whether there was one beside
// a reserve of as many buckets as given.
func (e *earnings) spend(bucket int64, reserve float64) bool {
	if e.total()-reserve*e.perBucket < 1-epsilon {
		return false
	}
	due := 1.0
	for age := int64(earnedBuckets - 1); age >= 0; age-- {
		n := &e.unspent[(bucket+earnedBuckets-age)%earnedBuckets]
		part := min(*n, due)
		*n -= part
		due -= part
	}
	return true
}
