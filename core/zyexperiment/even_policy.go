package zyexperiment

import (
	"time"

	"zinniayoke"
	"zinniayoke/core/zybalancer"
)

// EvenPolicy is how nodes choose among the workers of a service.
type EvenPolicy int

// The policies that are compared.
const (
	// EvenPowerOfTwo is Picker.Pick: the better of two by calls in flight and reported load.
	EvenPowerOfTwo EvenPolicy = iota
	// EvenFourChoices takes the best of four by reported load.
	EvenFourChoices
	// EvenReportedRoom draws by the room and speed of the last reports.
	EvenReportedRoom
	// EvenSubset takes the better of two out of three workers of the node's own, which change
	// every 10 s.
	EvenSubset
	// EvenTokens uses shares of the workers' capacity that are distributed in advance.
	EvenTokens
	// EvenExpectedRoom is Picker.PickEven without redirection.
	EvenExpectedRoom
	// EvenRedirectedOnce is Picker.PickEven with at most one redirection of a call.
	EvenRedirectedOnce
	// EvenRedirected is Picker.PickEven.
	EvenRedirected
)

// usesPickEven reports whether the policy is one of Picker.PickEven.
func (p EvenPolicy) usesPickEven() bool {
	return p >= EvenExpectedRoom
}

// choose returns the node's choice and the wait above which it may be refused as busy.
func (s *evenSim) choose(n *evenNode) (*evenWorker, time.Duration) {
	now := s.clock.now
	switch s.cfg.Policy {
	case EvenPowerOfTwo:
		u, _ := n.picker.Pick(now, evenService, 0, nil)
		return s.workers[s.indexOf(u.Node)], 0
	case EvenExpectedRoom, EvenRedirectedOnce, EvenRedirected:
		choice, _ := n.picker.PickEven(now, zybalancer.EvenRequest{Service: evenService, Tolerance: evenTolerance, MaxWait: s.cfg.MaxWait})
		w := s.workers[s.indexOf(choice.Node)]
		if s.cfg.Policy == EvenExpectedRoom {
			return w, 0
		}
		return w, choice.RedirectAfter
	}
	// The other policies choose in each tier, and leave a tier as Picker.Pick does.
	best, lowest := -1, 0.0
	for tier, penalty := range []float64{0, evenCrossDomain, evenCrossRegion} {
		i := s.chooseIn(n, s.tier(n, tier))
		if score := max(n.use(i)-evenComfortable, 0) + penalty; best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	if s.cfg.Policy == EvenTokens {
		s.spendToken(n, best)
	}
	return s.workers[best], 0
}

// use returns the last reported use of a worker.
func (n *evenNode) use(worker int) float64 {
	r, ok := n.reports[worker]
	if !ok {
		return 0
	}
	return float64(r.Running+r.Waiting) / float64(r.Limit)
}

// tier returns the workers at the distance from the node.
func (s *evenSim) tier(n *evenNode, tier int) []int {
	var list []int
	for i, w := range s.workers {
		if int(zinniayoke.DistanceBetween(s.locality(n.domain), w.upstream.Locality)) == tier {
			list = append(list, i)
		}
	}
	return list
}

func (s *evenSim) chooseIn(n *evenNode, list []int) int {
	const two, four = 2, 4
	switch s.cfg.Policy {
	case EvenFourChoices:
		return s.leastUsed(n, list, four)
	case EvenSubset:
		turn := int(s.clock.since()/evenSubsetPeriod) + n.index
		subset := make([]int, evenSubsetSize)
		for i := range subset {
			subset[i] = list[(turn*evenSubsetSize+i)%len(list)]
		}
		return s.leastUsed(n, subset, two)
	case EvenReportedRoom:
		return s.drawByRoom(n, list)
	default:
		return s.mostCredit(n, list)
	}
}

// leastUsed returns the least used of some workers drawn at random.
func (s *evenSim) leastUsed(n *evenNode, list []int, choices int) int {
	best := list[s.random.IntN(len(list))]
	for range choices - 1 {
		if other := list[s.random.IntN(len(list))]; n.use(other) < n.use(best) {
			best = other
		}
	}
	return best
}

func (s *evenSim) drawByRoom(n *evenNode, list []int) int {
	const least = 0.05
	weights := make([]float64, len(list))
	sum := 0.0
	for i, w := range list {
		speed := 1.0
		if r, ok := n.reports[w]; ok {
			speed = r.Speed
		}
		weights[i] = max(1-n.use(w), least) * speed
		sum += weights[i]
	}
	draw := s.random.Float64() * sum
	for i, w := range weights {
		if draw -= w; draw < 0 {
			return list[i]
		}
	}
	return list[len(list)-1]
}

// mostCredit returns the worker of which the node has most tokens.
func (s *evenSim) mostCredit(n *evenNode, list []int) int {
	best := list[0]
	for _, i := range list {
		if n.credit[i]*s.workers[best].speed > n.credit[best]*s.workers[i].speed {
			best = i
		}
	}
	return best
}

// spendToken takes a token of the worker. Each token that is used brings a new one, which is
// divided among the workers of the tier by their capacity.
func (s *evenSim) spendToken(n *evenNode, worker int) {
	n.credit[worker]--
	tier := s.tier(n, int(zinniayoke.DistanceBetween(s.locality(n.domain), s.workers[worker].upstream.Locality)))
	sum := 0.0
	for _, i := range tier {
		sum += s.workers[i].speed
	}
	for _, i := range tier {
		n.credit[i] += s.workers[i].speed / sum
	}
}
