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

// newOpenCluster returns a cluster whose membership is open.
func newOpenCluster(t *testing.T, founders, target int, seed uint64) *cluster {
	c := newCluster(t, 0, seed)
	c.target, c.founders = target, founders
	for i := range founders {
		c.members = append(c.members, &member{id: vm.ID(fmt.Sprintf("c%d", i))})
	}
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

// join adds a replica at a new address with an empty disk.
func (c *cluster) join() *member {
	m := &member{id: vm.ID(fmt.Sprintf("n%d", len(c.members))), late: true}
	c.members = append(c.members, m)
	c.start(m)
	return m
}

func (c *cluster) votes(m *member) bool {
	for _, v := range c.leader().core.Configuration().Voters {
		if v.VM == m.id {
			return true
		}
	}
	return false
}

// Guards against a cluster that stays without its third voter after a VM was
// replaced by an empty one at another address, and then loses entries with the
// next disk.
func TestLostVoterIsReplaced(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newOpenCluster(t, 3, 3, seed)
			c.loss = 0.05
			c.commit(change("a", 0))
			random := rand.New(rand.NewPCG(seed, 9))
			gone := c.members[random.IntN(3)]
			c.crash(gone)
			next := c.join()
			c.until("replacement", func() bool { return c.votes(next) && !c.votes(gone) })
			require.Len(t, c.voters(), 3)
			other := c.members[(random.IntN(2)+1+int(gone.id[1]-'0'))%3]
			c.crash(other)
			require.EqualValues(t, 2, c.commit(change("b", 1)).Revision)
		})
	}
}

// Guards against a planned replacement that makes a voter of the new VM while
// the old one still runs, so that a fourth voter weakens the quorum.
func TestNewReplicaWaitsAsLearner(t *testing.T) {
	c := newOpenCluster(t, 3, 3, 5)
	c.commit(change("a", 0))
	next := c.join()
	c.run(20 * time.Second)
	require.Len(t, c.voters(), 3)
	require.False(t, c.votes(next))
	require.EqualValues(t, 1, next.state.Revision, "a learner has the log")
}

// Guards against a cluster that is founded with fewer voters than it needs to
// bear its losses and never grows.
func TestClusterGrowsToItsTarget(t *testing.T) {
	c := newOpenCluster(t, 3, 5, 6)
	c.commit(change("a", 0))
	for range 4 {
		c.join()
	}
	c.until("five voters", func() bool { return len(c.voters()) == 5 })
	c.run(20 * time.Second)
	require.Len(t, c.voters(), 5)
}

// Guards against a voter that was replaced while it was away and then waits
// forever for a leader that does not know it.
func TestReplacedVoterReturns(t *testing.T) {
	c := newOpenCluster(t, 3, 3, 7)
	c.commit(change("a", 0))
	away := c.members[0]
	c.crash(away)
	next := c.join()
	c.until("replacement", func() bool { return c.votes(next) })
	c.commit(change("b", 1))
	c.start(away)
	c.until("return", func() bool { return away.state.Revision == 2 })
	require.Len(t, c.voters(), 3)
}

// Guards against a blank voter that helps to elect a log without an
// acknowledged entry: one disk is lost right after an acknowledgement, while all
// others lose power.
func TestLossOfDiskAfterAcknowledgement(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newOpenCluster(t, 3, 3, 100+seed)
			require.EqualValues(t, 1, c.commit(change("a", 0)).Revision)
			wiped := c.members[seed%3]
			for _, m := range c.members {
				c.crash(m)
			}
			c.wipe(wiped)
			wiped.late = true
			c.queue = nil
			for _, m := range c.members {
				c.start(m)
			}
			c.until("recovery", func() bool { return wiped.state.Revision == 1 && len(c.voters()) == 3 })
			require.EqualValues(t, 2, c.commit(change("b", 1)).Revision)
		})
	}
}

// Guards against a process without a disk among the seeds, which would keep the
// others from founding the cluster.
func TestFoundingWithObserver(t *testing.T) {
	peers := []vm.ID{"c0", "c1"}
	now := time.Unix(0, 0)
	options := consensus.DefaultOptions(consensus.Replica{VM: "c1", Incarnation: 1}, peers)
	core, err := consensus.New(options, consensus.RestoredState{}, now, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	core.Tick(now)
	require.Empty(t, core.Configuration().Voters)
	core.Receive(now, consensus.Message{
		From: consensus.Replica{VM: "c0"}, To: core.Self(), JoinReply: &consensus.JoinResponse{Observer: true},
	})
	require.Len(t, core.Configuration().Voters, 1)

	options.NoBootstrap = true
	core, err = consensus.New(options, consensus.RestoredState{}, now, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	core.Receive(now, consensus.Message{
		From: consensus.Replica{VM: "c0"}, To: core.Self(), JoinReply: &consensus.JoinResponse{Observer: true},
	})
	require.Empty(t, core.Configuration().Voters, "a replica that has lost its disk founds nothing")
}
