// Package zyrank computes the rank of a request, once, at its entry node.
package zyrank

import (
	"github.com/cespare/xxhash/v2"

	"zinniayoke"
)

const (
	importanceShift = 24
	urgencyShift    = 20
	shareShift      = 16
	hashMask        = 1<<shareShift - 1
	maxShare        = 15
)

// Highest is the highest rank; no threshold exceeds it.
const Highest = ^zinniayoke.Rank(0)

// New returns the rank of a root request. Share is 15 for a caller that stays
// within its fair share, and lower the more it exceeds it.
func New(importance, urgency, share int, root zinniayoke.RequestID) zinniayoke.Rank {
	share = min(max(share, 0), maxShare)
	rank := zinniayoke.Rank(importance) << importanceShift
	rank |= zinniayoke.Rank(urgency) << urgencyShift
	rank |= zinniayoke.Rank(share) << shareShift
	return rank | zinniayoke.Rank(xxhash.Sum64String(string(root))&hashMask)
}

// RangeOf returns the lowest and the highest rank of root requests of a caller without urgency
// that stays within its fair share. Requests differ only by the hash of their ids.
func RangeOf(importance int) (lowest, highest zinniayoke.Rank) {
	lowest = New(importance, 0, maxShare, "") &^ hashMask
	return lowest, lowest | hashMask
}

// WithImportance returns the rank with the importance replaced.
func WithImportance(importance int, r zinniayoke.Rank) zinniayoke.Rank {
	return zinniayoke.Rank(importance)<<importanceShift | r&(1<<importanceShift-1)
}

// ImportanceOf returns the class importance that the rank contains.
func ImportanceOf(r zinniayoke.Rank) int {
	return int(r >> importanceShift)
}

const (
	// MaxRootImportance is the highest importance of root requests in bundles that are
	// composed from priorities.
	MaxRootImportance = 127
	// ChildImportance is the importance bit that ranks calls of workers above all root
	// calls of such bundles, because their parents already occupy worker slots.
	ChildImportance = 128
)

// StepsBelowHighest returns how many steps of importance the root request of a call is
// below the most important ones.
func StepsBelowHighest(r zinniayoke.Rank) int {
	return MaxRootImportance - ImportanceOf(r)&MaxRootImportance
}

// LowestInClass returns the lowest rank with the same class importance as r.
func LowestInClass(r zinniayoke.Rank) zinniayoke.Rank {
	return r >> importanceShift << importanceShift
}
