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
// fixed array and a set of members into a mask of one word.
const MaxMembers = 64

// MemberHash returns the hash of a VM that rankings use.
func MemberHash(id vm.ID) uint64 { return xxhash.Sum64String(string(id)) }

// combineHashes returns the hash of a flow and a member (finalizer of
// SplitMix64).
func combineHashes(flowHash, memberHash uint64) uint64 {
	mixed := flowHash ^ (memberHash + 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}

// score returns the weighted rendezvous score of a member. With equal weights a
// comparison of the combined hashes gives the same order at a lower cost.
func score(combinedHash uint64, weight float64) float64 {
	const mantissaBits = 53
	uniform := (float64(combinedHash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(uniform)
}

// WeightedMember is a member of a weighted ranking.
type WeightedMember struct {
	Hash   uint64
	Weight float64
}

// FirstWeighted returns the index of the first member in rank that is not in
// excludedMask, or -1 if there is none. Bit i of the mask excludes members[i].
func FirstWeighted(flowHash uint64, members []WeightedMember, excludedMask uint64) int {
	bestIndex, bestScore := -1, math.Inf(-1)
	for i := range members {
		if excludedMask&(1<<uint(i)) != 0 {
			continue
		}
		memberScore := score(combineHashes(flowHash, members[i].Hash), members[i].Weight)
		if memberScore > bestScore {
			bestIndex, bestScore = i, memberScore
		}
	}
	return bestIndex
}

// FirstUnweighted is FirstWeighted for members of equal weight.
func FirstUnweighted(flowHash uint64, memberHashes []uint64, excludedMask uint64) int {
	if excludedMask == 0 && len(memberHashes) > 0 {
		return firstOfAllUnweighted(flowHash, memberHashes)
	}
	bestIndex, bestHash := -1, uint64(0)
	for i, memberHash := range memberHashes {
		if excludedMask&(1<<uint(i)) != 0 {
			continue
		}
		combined := combineHashes(flowHash, memberHash)
		if bestIndex < 0 || combined > bestHash {
			bestIndex, bestHash = i, combined
		}
	}
	return bestIndex
}

// firstOfAllUnweighted is FirstUnweighted without excluded members, the case of
// nearly every packet. The only branch in its loop is the comparison of hashes.
func firstOfAllUnweighted(flowHash uint64, memberHashes []uint64) int {
	bestIndex, bestHash := 0, combineHashes(flowHash, memberHashes[0])
	for i := 1; i < len(memberHashes); i++ {
		if combined := combineHashes(flowHash, memberHashes[i]); combined > bestHash {
			bestIndex, bestHash = i, combined
		}
	}
	return bestIndex
}
