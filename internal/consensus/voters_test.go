package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// catchUpTime is the time after which a replica that has started no longer counts as lost.
// In a deployment it is 4 s with election timeouts of 0.6 s.
const catchUpTime = 20 * electionTimeout / 3

// newClusterWithSuccessors returns a cluster of three voters that has committed a change,
// and new replicas that have run for catchUpTime.
func newClusterWithSuccessors(t *testing.T, successors int, seed uint64) *cluster {
	c := newOpenMembershipCluster(t, 3, 3, seed)
	c.lossRate, c.maxVoters, c.replaceVoterAfter = 0.03, 5, catchUpTime/2
	for _, replica := range c.replicas {
		c.start(replica) // with maxVoters
	}
	c.commitChange(trafficChange("before", 0))
	for range successors {
		c.addReplica()
	}
	c.stepFor(catchUpTime)
	return c
}

// leaveAndStop lets a replica request to leave until it has nothing to wait for, and stops
// it. It fails the test if that takes longer than a second.
func (c *cluster) leaveAndStop(replica *testReplica) {
	c.t.Helper()
	for deadline := c.now.Add(time.Second); replica.core.RequestLeave(); c.step() {
		require.True(c.t, c.now.Before(deadline), "replica %s is still a voter", replica.id)
		replica.core.TransferLeadership(c.now)
		c.processOutputs(replica)
	}
	c.crash(replica)
}

// Guards against a group that can never form a majority again after two planned
// replacements: two of three voters are removed without notice, at any distance in time,
// when the successors of both have caught up.
func TestRemovedVotersWithSuccessorsLeaveMajority(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newClusterWithSuccessors(t, 2, seed)
			random := rand.New(rand.NewPCG(seed, 3))
			removed := random.Perm(3)
			c.crash(c.replicas[removed[0]])
			c.stepFor(time.Duration(random.Int64N(int64(5 * electionTimeout))))
			c.crash(c.replicas[removed[1]])
			require.EqualValues(t, 2, c.commitChange(trafficChange("after", 1)).Revision)
			c.stepUntil("three voters that run", func() bool { return len(c.leaderVoters()) == 3 })
		})
	}
}

// Guards against a vote that a stopped process keeps: a voter leaves and is removed, and
// at the same moment another voter loses its disk. The successor must have the vote of the
// first by then.
func TestLeavingVoterHandsOverItsVote(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newClusterWithSuccessors(t, 1, seed)
			leaving, wiped := c.replicas[seed%3], c.replicas[(seed+1)%3]
			c.leaveAndStop(leaving)
			c.crashAndWipe(wiped)
			require.EqualValues(t, 2, c.commitChange(trafficChange("after", 1)).Revision)
			wiped.noBootstrap = true
			c.start(wiped)
			c.stepUntil("three voters", func() bool { return len(c.leaderVoters()) == 3 && c.isVoter(wiped) })
		})
	}
}

// Guards against the same fault where both old voters are stopped as planned, one right
// after the other.
func TestVotersLeaveInTurn(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newClusterWithSuccessors(t, 2, seed)
			c.leaveAndStop(c.replicas[seed%3])
			c.leaveAndStop(c.replicas[(seed+1)%3])
			require.Len(t, c.leaderVoters(), 3)
			require.EqualValues(t, 2, c.commitChange(trafficChange("after", 1)).Revision)
		})
	}
}

// A replica that left for a restart must follow the log again, and take a vote again when
// one is free.
func TestReplicaReturnsAfterLeaving(t *testing.T) {
	c := newClusterWithSuccessors(t, 1, 11)
	restarted := c.replicas[1]
	c.leaveAndStop(restarted)
	c.commitChange(trafficChange("b", 1))
	c.start(restarted)
	c.stepUntil("return", func() bool { return restarted.state.Revision == 2 })
	require.False(t, c.isVoter(restarted))
	c.crash(c.replicas[2])
	c.stepUntil("promotion", func() bool { return c.isVoter(restarted) && len(c.leaderVoters()) == 3 })
}

// Without a replica that could take its place, a voter must not wait before it stops: the
// restart of a process would take longer for nothing.
func TestVoterWithoutSuccessorStopsAtOnce(t *testing.T) {
	c := newOpenMembershipCluster(t, 3, 3, 12)
	c.commitChange(trafficChange("a", 0))
	for _, replica := range c.replicas {
		require.False(t, replica.core.RequestLeave())
	}
}

// Voters beyond the target must be added in pairs. An even number needs a larger majority
// and tolerates no more losses.
func TestVotersGrowInPairs(t *testing.T) {
	for successors, want := range []int{3, 3, 5, 5} {
		c := newClusterWithSuccessors(t, successors, 13)
		c.stepFor(catchUpTime)
		require.Len(t, c.leaderVoters(), want, "%d successors", successors)
	}
}

// Guards against a voter that loses its vote although it responds: it led once, and the
// leader since then is elected a second time in a row.
func TestFormerLeaderKeepsItsVote(t *testing.T) {
	c := newClusterWithSuccessors(t, 1, 15)
	c.lossRate = 0
	former := c.waitForLeader()
	c.stepUntil("a transfer", func() bool {
		former.core.TransferLeadership(c.now)
		c.processOutputs(former)
		return former.core.Role() != consensus.Leader
	})
	leader := c.waitForLeader()
	c.stepFor(2 * catchUpTime)
	voters := c.leaderVoters()
	c.isolated[leader.id] = true
	c.stepUntil("the leader steps down", func() bool { return leader.core.Role() != consensus.Leader })
	c.isolated[leader.id] = false
	// The responses are late, but not by ReplaceVoterAfter.
	c.blockedLinks[[2]vm.ID{former.id, leader.id}] = true
	leader.core.Receive(c.now, consensus.Message{
		From: former.core.Self(), To: leader.core.Self(), ClusterID: leader.disk.HardState.ClusterID, Term: leader.core.Term(), TimeoutNow: &consensus.TimeoutNow{},
	})
	c.processOutputs(leader)
	for range int(electionTimeout / tickInterval) {
		c.step()
		require.Equal(t, voters, leader.core.Configuration().Voters)
	}
	require.Equal(t, consensus.Leader, leader.core.Role())
}

// Requests to leave that arrive at a replica which does not lead, or from one that is not
// in the configuration, must change nothing.
func TestStrayLeaveRequests(t *testing.T) {
	c := newClusterWithSuccessors(t, 1, 14)
	leader := c.waitForLeader()
	for _, replica := range c.replicas {
		for _, from := range []consensus.ReplicaID{{VM: "unknown", Incarnation: 1}, leader.core.Self()} {
			replica.core.Receive(c.now, consensus.Message{
				From: from, To: replica.core.Self(), ClusterID: replica.disk.HardState.ClusterID, Term: replica.core.Term(), LeaveRequest: &consensus.LeaveRequest{},
			})
		}
	}
	c.stepFor(electionTimeout)
	require.Len(t, c.leaderVoters(), 3)
}

// Guards against a group without a majority after the loss of a zone, or of two VMs with
// their disks: eight replicas in four zones, three of which bootstrap. Each zone is lost
// once, also that of the leader, and changes are committed meanwhile.
func TestEachZoneMayBeLost(t *testing.T) {
	c := newCluster(t, 0, 16)
	c.targetVoters, c.maxVoters, c.initialVoters, c.maxZoneLosses, c.replaceVoterAfter = 5, 9, 3, 1, catchUpTime/2
	c.zones = map[vm.ID]zone.ID{}
	zoneOf := func(i int) zone.ID { return zone.ID{Region: "r", Name: fmt.Sprint(i % 4)} }
	for i := range 8 {
		replica := &testReplica{id: vm.ID(fmt.Sprint("c", i)), noBootstrap: i >= c.initialVoters}
		c.replicas, c.zones[replica.id] = append(c.replicas, replica), zoneOf(i)
	}
	for _, replica := range c.replicas {
		c.start(replica)
	}
	c.stepUntil("seven voters", func() bool { return len(c.leaderVoters()) == 7 })
	revision := uint64(0)
	commit := func() {
		require.Equal(t, revision+1, c.commitChange(trafficChange(fmt.Sprint("change ", revision), revision)).Revision)
		revision++
	}
	for i := range 4 {
		for _, replica := range c.replicas {
			c.isolated[replica.id] = c.zones[replica.id] == zoneOf(i)
		}
		commit()
		c.stepFor(catchUpTime)
		clear(c.isolated)
		c.stepFor(catchUpTime)
		for _, replica := range c.replicas[i : i+2] {
			c.crashAndWipe(replica)
			replica.noBootstrap = true
		}
		commit()
		for _, replica := range c.replicas[i : i+2] {
			c.start(replica)
		}
		c.stepFor(catchUpTime)
	}
}

// Guards against voters that were chosen before their zones were known: two of three are in
// one zone. One of them must be exchanged for the learner of another zone, one change at a
// time, and changes must be committed meanwhile.
func TestVotersAreExchangedWhenZonesAreKnown(t *testing.T) {
	c := newOpenMembershipCluster(t, 3, 3, 17)
	c.maxZoneLosses = 1
	for _, replica := range c.replicas {
		c.start(replica) // with maxZoneLosses
	}
	c.commitChange(trafficChange("before", 0))
	c.addReplica()
	c.stepFor(catchUpTime)
	require.Len(t, c.leaderVoters(), 3)
	zones := map[vm.ID]zone.ID{}
	for i, name := range []string{"a", "a", "b", "c"} {
		zones[c.replicas[i].id] = zone.ID{Region: "r", Name: name}
	}
	for _, replica := range c.replicas {
		replica.core.SetZones(zones)
	}
	require.EqualValues(t, 2, c.commitChange(trafficChange("meanwhile", 1)).Revision)
	c.stepUntil("the exchange", func() bool {
		voters := c.leaderVoters()
		require.GreaterOrEqual(t, len(voters), 3)
		return len(voters) == 3 && c.isVoter(c.replicas[2]) && c.isVoter(c.replicas[3])
	})
	c.stepFor(catchUpTime)
	require.Len(t, c.leaderVoters(), 3)
}
