package consensus_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
)

// Guards against elections without need, and against groups that elect no leader, in
// deployments with long ways between zones. Delays are fractions of the election timeout,
// which is 600 ms in a deployment: a quarter is 150 ms one way, and as much for a sync.
func TestElectionsOverSlowLinks(t *testing.T) {
	for _, delay := range []time.Duration{electionTimeout / 8, electionTimeout / 4, electionTimeout / 3} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("delay %s, seed %d", delay, seed), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 5, seed)
				c.minLinkDelay = delay
				c.commitChange(trafficChange("a", 0))
				c.stepFor(10 * electionTimeout)
				leader := c.leaderReplica()
				require.NotNil(t, leader)
				term := leader.core.Term()
				c.stepFor(100 * electionTimeout)
				require.Equal(t, term, leader.core.Term(), "an election without need")

				c.crash(leader)
				crashedAt := c.now
				c.stepUntil("another leader", func() bool { return c.leaderReplica() != nil })
				require.Less(t, c.now.Sub(crashedAt), scheduleRecovery)
				require.EqualValues(t, 2, c.commitChange(trafficChange("b", 1)).Revision)
			})
		}
	}
}

// leaderReplica returns the running replica that leads, or nil.
func (c *cluster) leaderReplica() *testReplica {
	for _, replica := range c.replicas {
		if replica.core != nil && replica.core.Role() == consensus.Leader {
			return replica
		}
	}
	return nil
}
