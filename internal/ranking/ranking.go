// Package ranking orders the members of a service for a flow by weighted
// rendezvous hashing. Every process computes the same order from the same
// members, and a change of one member moves only the flows of that member.
package ranking

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// MaxMembers bounds the members of one service, so that a ranking fits into a
// fixed array and the set of tried members into one word.
const MaxMembers = 64

// MemberHash returns the hash by which a VM takes part in rankings.
func MemberHash(id vm.ID) uint64 { return xxhash.Sum64String(string(id)) }

// mix combines a flow hash and a member hash (finalizer of SplitMix64).
func mix(flow, member uint64) uint64 {
	z := flow ^ (member + 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// score returns the rendezvous score of a member. With equal weights the
// comparison of raw hashes gives the same order at a lower cost.
func score(h uint64, weight float64) float64 {
	const mantissaBits = 53
	unit := (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(unit)
}

// Candidate is a member that takes part in a ranking.
type Candidate struct {
	Hash   uint64
	Weight float64
}

// First returns the index of the first member in rank that is not in skip
// (bit per index), or -1 if there is none.
func First(flow uint64, members []Candidate, skip uint64) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range members {
		if skip&(1<<uint(i)) != 0 {
			continue
		}
		s := score(mix(flow, members[i].Hash), members[i].Weight)
		if s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// FirstUnweighted is First for members of equal weight.
func FirstUnweighted(flow uint64, hashes []uint64, skip uint64) int {
	if skip == 0 && len(hashes) > 0 {
		return firstOfAll(flow, hashes)
	}
	best, bestHash := -1, uint64(0)
	for i, member := range hashes {
		if skip&(1<<uint(i)) != 0 {
			continue
		}
		h := mix(flow, member)
		if best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// firstOfAll is FirstUnweighted without members to skip, the case of nearly every
// packet. Its loop has no branch but the comparison of hashes.
func firstOfAll(flow uint64, hashes []uint64) int {
	best, bestHash := 0, mix(flow, hashes[0])
	for i := 1; i < len(hashes); i++ {
		if h := mix(flow, hashes[i]); h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}
