package control

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// Guards against a replica that takes longer than catch_up_s to vote again: a learner must
// not decode each of the changes that it lacks, since the last one supersedes the others.
func TestLearnerSkipsSupersededChanges(t *testing.T) {
	const changes = 120
	g := newRaftGroup(t)
	g.compactEntries, g.maxBatchBytes = 10*changes, 1
	var mu sync.Mutex
	applied := map[uint64]bool{}
	g.onChange = func(id vm.ID, state ReplicaState) {
		mu.Lock()
		defer mu.Unlock()
		if id == "c1" && state.State.Desired != nil {
			applied[state.State.Desired.Version] = true
		}
	}
	g.start(1, 0)
	for version := uint64(1); version <= changes; version++ {
		require.Eventually(t, func() bool { return g.propose(version) }, 10*time.Second, time.Millisecond)
	}
	g.startReplica(1)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return applied[changes]
	}, 10*time.Second, time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	require.Less(t, len(applied), changes/20, "versions decoded: %v", slices.Sorted(maps.Keys(applied)))
}

// The log must stay within a few times the size of the state, so that a replica with an
// empty disk gets little more than the state. A small state may have a log of 1 MiB.
func TestCompactBytes(t *testing.T) {
	require.EqualValues(t, 1<<20, compactBytes(0))
	require.EqualValues(t, 1<<20, compactBytes(60<<10))
	require.EqualValues(t, 3200<<10, compactBytes(400<<10))
	require.EqualValues(t, 16<<20, compactBytes(10<<20))
}
