package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// newOpenMembershipCluster returns a cluster that replicas of new VMs may join. The
// leader maintains the target number of voters.
func newOpenMembershipCluster(t *testing.T, initialVoters, targetVoters int, seed uint64) *cluster {
	c := newCluster(t, 0, seed)
	c.targetVoters, c.initialVoters = targetVoters, initialVoters
	for i := range initialVoters {
		c.replicas = append(c.replicas, &testReplica{id: vm.ID(fmt.Sprintf("c%d", i))})
	}
	for _, replica := range c.replicas {
		c.start(replica)
	}
	return c
}

// addReplica starts a replica on a new VM with an empty disk.
func (c *cluster) addReplica() *testReplica {
	replica := &testReplica{id: vm.ID(fmt.Sprintf("n%d", len(c.replicas))), noBootstrap: true}
	c.replicas = append(c.replicas, replica)
	c.start(replica)
	return replica
}

// isVoter reports whether the VM of a replica is a voter in the configuration of
// the leader.
func (c *cluster) isVoter(replica *testReplica) bool {
	for _, v := range c.waitForLeader().core.Configuration().Voters {
		if v.VM == replica.id {
			return true
		}
	}
	return false
}

// Guards against a cluster that stays at two voters after a VM was replaced by an
// empty one at another address. The cluster would then lose entries with the next
// disk.
func TestLostVoterIsReplaced(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newOpenMembershipCluster(t, 3, 3, seed)
			c.lossRate = 0.05
			c.commitChange(trafficChange("a", 0))
			random := rand.New(rand.NewPCG(seed, 9))
			lost := c.replicas[random.IntN(3)]
			c.crash(lost)
			replacement := c.addReplica()
			c.stepUntil("replacement", func() bool { return c.isVoter(replacement) && !c.isVoter(lost) })
			require.Len(t, c.leaderVoters(), 3)
			secondLost := c.replicas[(random.IntN(2)+1+int(lost.id[1]-'0'))%3]
			c.crash(secondLost)
			require.EqualValues(t, 2, c.commitChange(trafficChange("b", 1)).Revision)
		})
	}
}

// Guards against a fourth voter during a planned replacement. The new VM must stay
// a learner while the old VM still runs, because a fourth voter would weaken the
// quorum.
func TestNewReplicaStaysLearnerAtTarget(t *testing.T) {
	c := newOpenMembershipCluster(t, 3, 3, 5)
	c.commitChange(trafficChange("a", 0))
	learner := c.addReplica()
	c.stepFor(20 * time.Second)
	require.Len(t, c.leaderVoters(), 3)
	require.False(t, c.isVoter(learner))
	require.EqualValues(t, 1, learner.state.Revision, "the learner must have applied the log")
}

// Guards against a cluster that was bootstrapped with fewer voters than it needs to
// tolerate the expected failures and never reaches its target.
func TestClusterGrowsToTargetVoters(t *testing.T) {
	c := newOpenMembershipCluster(t, 3, 5, 6)
	c.commitChange(trafficChange("a", 0))
	for range 4 {
		c.addReplica()
	}
	c.stepUntil("five voters", func() bool { return len(c.leaderVoters()) == 5 })
	c.stepFor(20 * time.Second)
	require.Len(t, c.leaderVoters(), 5)
}

// Guards against a voter that was replaced while it was down and then waits forever.
// The leader sends nothing to a replica outside its configuration.
func TestReplacedVoterRejoins(t *testing.T) {
	c := newOpenMembershipCluster(t, 3, 3, 7)
	c.commitChange(trafficChange("a", 0))
	replaced := c.replicas[0]
	c.crash(replaced)
	replacement := c.addReplica()
	c.stepUntil("replacement", func() bool { return c.isVoter(replacement) })
	c.commitChange(trafficChange("b", 1))
	c.start(replaced)
	c.stepUntil("return", func() bool { return replaced.state.Revision == 2 })
	require.Len(t, c.leaderVoters(), 3)
}

// Guards against the loss of an acknowledged entry when a replica with an empty disk
// votes for a candidate that lacks the entry. It comes about when one disk is lost
// right after the acknowledgement, while all replicas lose power.
func TestWipedDiskAfterAcknowledgement(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newOpenMembershipCluster(t, 3, 3, 100+seed)
			require.EqualValues(t, 1, c.commitChange(trafficChange("a", 0)).Revision)
			wiped := c.replicas[seed%3]
			for _, replica := range c.replicas {
				c.crash(replica)
			}
			c.crashAndWipe(wiped)
			wiped.noBootstrap = true
			c.inTransit = nil
			for _, replica := range c.replicas {
				c.start(replica)
			}
			c.stepUntil("recovery", func() bool { return wiped.state.Revision == 1 && len(c.leaderVoters()) == 3 })
			require.EqualValues(t, 2, c.commitChange(trafficChange("b", 1)).Revision)
		})
	}
}

// Guards against a bootstrap that is blocked because one of the peers is a control
// process without a disk.
func TestBootstrapWithObserver(t *testing.T) {
	peers := []vm.ID{"c0", "c1"}
	now := time.Unix(0, 0)
	options := consensus.DefaultOptions(consensus.ReplicaID{VM: "c1", Incarnation: 1}, peers)
	core, err := consensus.New(options, consensus.RestoredState{}, now, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	core.Tick(now)
	require.Empty(t, core.Configuration().Voters)
	core.Receive(now, consensus.Message{
		From: consensus.ReplicaID{VM: "c0"}, To: core.Self(), JoinResponse: &consensus.JoinResponse{NoReplica: true},
	})
	require.Len(t, core.Configuration().Voters, 1)

	options.NoBootstrap = true
	core, err = consensus.New(options, consensus.RestoredState{}, now, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	core.Receive(now, consensus.Message{
		From: consensus.ReplicaID{VM: "c0"}, To: core.Self(), JoinResponse: &consensus.JoinResponse{NoReplica: true},
	})
	require.Empty(t, core.Configuration().Voters, "a replica that has lost its disk must not bootstrap a cluster")
}
