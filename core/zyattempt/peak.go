package zyattempt

import "time"

// peak is the largest value that a count had in the last window.
type peak struct {
	current int
	// since is when the first value was set.
	since time.Time
	// past holds earlier values, the largest first, each with the time until which it was
	// current.
	past []pastValue
}

type pastValue struct {
	value int
	until time.Time
}

// set changes the count.
func (p *peak) set(now time.Time, value int) {
	if p.since.IsZero() {
		p.since, p.current = now, value
		return
	}
	p.drop(value)
	if value < p.current {
		p.drop(p.current)
		p.past = append(p.past, pastValue{value: p.current, until: now})
	}
	p.current = value
}

// drop removes the past values that are not above the given one.
func (p *peak) drop(value int) {
	for len(p.past) > 0 && p.past[len(p.past)-1].value <= value {
		p.past = p.past[:len(p.past)-1]
	}
}

// max returns the largest value of the window that ends now, and for how long the count has been
// set.
func (p *peak) max(now time.Time, window time.Duration) (value int, age time.Duration) {
	if p.since.IsZero() {
		return 0, 0
	}
	for len(p.past) > 0 && now.Sub(p.past[0].until) > window {
		p.past = p.past[1:]
	}
	if len(p.past) > 0 {
		return p.past[0].value, now.Sub(p.since)
	}
	return p.current, now.Sub(p.since)
}
