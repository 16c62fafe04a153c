// Package zyrank computes the rank of a request once, at its entry.
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
	highestShare    = 15
)

// Highest is the rank that no threshold exceeds.
const Highest = ^zinniayoke.Rank(0)

// New returns the rank of a root request. Share is 15 for a caller within its
// fair share and lower the further it goes beyond.
func New(importance, urgency, share int, root zinniayoke.RequestID) zinniayoke.Rank {
	share = min(max(share, 0), highestShare)
	rank := zinniayoke.Rank(importance) << importanceShift
	rank |= zinniayoke.Rank(urgency) << urgencyShift
	rank |= zinniayoke.Rank(share) << shareShift
	return rank | zinniayoke.Rank(xxhash.Sum64String(string(root))&hashMask)
}

// WithImportance returns the rank with another importance.
func WithImportance(importance int, r zinniayoke.Rank) zinniayoke.Rank {
	return zinniayoke.Rank(importance)<<importanceShift | r&(1<<importanceShift-1)
}

// ImportanceOf returns the importance of the class in a rank.
func ImportanceOf(r zinniayoke.Rank) int {
	return int(r >> importanceShift)
}

// LowestInClass returns the lowest rank of the class of r.
func LowestInClass(r zinniayoke.Rank) zinniayoke.Rank {
	return r >> importanceShift << importanceShift
}
