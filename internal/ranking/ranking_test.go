package ranking

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two ways to compute one ranking that differ: balancers and
// agents would then disagree about the home of a flow.
func TestFirstEqualAgreesWithFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 2, 7, 63} {
		hashes := make([]uint64, n)
		members := make([]Candidate, n)
		for i := range hashes {
			hashes[i] = random.Uint64()
			members[i] = Candidate{Hash: hashes[i], Weight: 1}
		}
		for range 1000 {
			flow := random.Uint64()
			first := FirstUnweighted(flow, hashes, 0)
			require.Equal(t, First(flow, members, 0), first)
			require.Equal(t, FirstUnweighted(flow, hashes, 1<<63), first)
			require.NotEqual(t, first, FirstUnweighted(flow, hashes, 1<<uint(first)))
		}
	}
	require.Equal(t, -1, FirstUnweighted(1, nil, 0))
	require.Equal(t, -1, FirstUnweighted(1, []uint64{1}, 1))
}
