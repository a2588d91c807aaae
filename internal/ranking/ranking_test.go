package ranking

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against different results of the functions that compute a ranking: with
// or without weights, and with or without excluded members. Balancers and agents
// would then select different homes for a flow.
func TestFirstUnweightedMatchesFirstWeighted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, memberCount := range []int{1, 2, 7, 63} {
		memberHashes := make([]uint64, memberCount)
		weightedMembers := make([]WeightedMember, memberCount)
		for i := range memberHashes {
			memberHashes[i] = random.Uint64()
			weightedMembers[i] = WeightedMember{Hash: memberHashes[i], Weight: 1}
		}
		for range 1000 {
			flowHash := random.Uint64()
			first := FirstUnweighted(flowHash, memberHashes, 0)
			require.Equal(t, FirstWeighted(flowHash, weightedMembers, 0), first)
			require.Equal(t, FirstUnweighted(flowHash, memberHashes, 1<<63), first)
			require.NotEqual(t, first, FirstUnweighted(flowHash, memberHashes, 1<<uint(first)))
		}
	}
	require.Equal(t, -1, FirstUnweighted(1, nil, 0))
	require.Equal(t, -1, FirstUnweighted(1, []uint64{1}, 1))
}
