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

// newOpenMembershipCluster returns a cluster with TargetVoters set: replicas of new VMs
// may join, and the leader maintains the target number of voters.
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
// the leader, under any incarnation.
func (c *cluster) isVoter(replica *testReplica) bool {
	for _, v := range c.waitForLeader().core.Configuration().Voters {
		if v.VM == replica.id {
			return true
		}
	}
	return false
}

// If a VM is lost and a new VM with an empty disk joins, the new replica must replace the
// lost voter. Otherwise the cluster would stay at two voters that respond, and would lose
// entries with the next disk.
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

// A new replica must stay a learner while the cluster has its target number of responsive
// voters, as in a planned replacement of a VM. A fourth voter would weaken the quorum.
func TestNewReplicaStaysLearnerAtTarget(t *testing.T) {
	c := newOpenMembershipCluster(t, 3, 3, 5)
	c.commitChange(trafficChange("a", 0))
	learner := c.addReplica()
	c.stepFor(20 * time.Second)
	require.Len(t, c.leaderVoters(), 3)
	require.False(t, c.isVoter(learner))
	require.EqualValues(t, 1, learner.state.Revision, "the learner must have applied the log")
}

// A cluster that was bootstrapped with fewer voters than its target must grow to the
// target, and not beyond it. With fewer voters it would not tolerate the expected
// failures.
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

// A voter that was replaced while it was down must rejoin after its restart. It must
// request this itself, because the leader sends nothing to a replica outside its
// configuration.
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

// An acknowledged entry must survive if all replicas lose power right after the
// acknowledgement and one of them also loses its disk. The entry would be lost if that
// replica voted for a candidate that lacks the entry.
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

// A peer that runs no replica, because its control process has no disk, must not block the
// bootstrap.
func TestBootstrapWithPeerWithoutReplica(t *testing.T) {
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

// Guards against a log that begins with fewer voters than the initial peers that have a
// replica: processes without a replica that are no initial peers took their place. A
// change that the missing voters do not have is lost with the disks of the others. With
// all peers running, such processes prevented the bootstrap.
func TestBootstrapIgnoresOtherProcessesWithoutReplica(t *testing.T) {
	peers := []vm.ID{"c0", "c1", "c2"}
	others := []vm.ID{"c3", "c4", "c5"}
	now := time.Unix(0, 0)
	options := consensus.DefaultOptions(consensus.ReplicaID{VM: "c0", Incarnation: 1}, peers)
	options.TargetVoters = len(peers)
	core, err := consensus.New(options, consensus.RestoredState{}, now, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	respond := func(from vm.ID, response consensus.JoinResponse) {
		core.Receive(now, consensus.Message{From: consensus.ReplicaID{VM: from, Incarnation: 1}, To: core.Self(), JoinResponse: &response})
	}
	for _, other := range others {
		respond(other, consensus.JoinResponse{NoReplica: true})
		require.Empty(t, core.Configuration().Voters, "no peer has responded")
	}
	respond("c1", consensus.JoinResponse{NoCluster: true})
	require.Empty(t, core.Configuration().Voters, "a peer has not responded")
	respond("c2", consensus.JoinResponse{NoCluster: true})
	require.Len(t, core.Configuration().Voters, len(peers))
}
