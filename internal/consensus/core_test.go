package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Guards against a cluster that cannot start, or commit, at one of the allowed
// sizes, also on lossy links.
func TestFirstStart(t *testing.T) {
	for _, count := range []int{1, 3, 5, 7} {
		for _, loss := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("%d replicas, loss %.1f", count, loss), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, count, uint64(count))
				c.loss, c.dup = loss, loss
				require.Equal(t, intent.Accepted, c.commit(change("a", 0)).Outcome)
				require.Len(t, c.voters(), count)
			})
		}
	}
}

// Guards against a returning replica that replaces a working leader: without
// pre-vote its raised term would.
func TestLongPartitionOfOneReplica(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	leader := c.leader()
	term := leader.core.Term()
	var silent *member
	for _, m := range c.members {
		if m != leader {
			silent = m
		}
	}
	c.cut[silent.id] = true
	for i := range uint64(40) {
		c.commit(change(fmt.Sprint("p", i), i))
	}
	c.run(5 * time.Minute)
	require.LessOrEqual(t, silent.core.Term(), term)
	c.cut[silent.id] = false
	c.until("catch-up", func() bool { return silent.state.Revision == 40 })
	require.Positive(t, c.installs, "the missing entries were compacted")
	require.Equal(t, leader, c.leader())
	require.Equal(t, term, leader.core.Term())
}

// Guards against a replica that loses only the link from the leader and makes
// the others, which still hear from the leader, elect it again and again.
func TestCutLinkFromLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 9)
	leader := c.leader()
	term := leader.core.Term()
	for _, m := range c.members {
		if m != leader {
			c.cutLinks[[2]vm.ID{leader.id, m.id}] = true
			break
		}
	}
	c.run(time.Minute)
	require.Equal(t, leader, c.leader())
	require.Equal(t, term, leader.core.Term())
}

// direct drives one core, c0 of three, by hand.
type direct struct {
	core *consensus.Core
	now  time.Time
}

func newDirect(t *testing.T) *direct {
	d := &direct{now: time.Unix(0, 0)}
	voters := []consensus.Replica{{VM: "c0", Incarnation: 1}, {VM: "c1", Incarnation: 1}, {VM: "c2", Incarnation: 1}}
	var err error
	d.core, err = consensus.New(consensus.DefaultOptions(voters[0], []vm.ID{"c0", "c1", "c2"}), consensus.RestoredState{
		HardState: consensus.HardState{Self: voters[0], Cluster: 7, Term: 3},
		Entries: []consensus.Entry{
			{Index: 1, Term: 1, Kind: consensus.KindConfiguration, Configuration: &consensus.Configuration{Voters: voters}},
			{Index: 2, Term: 2, Kind: consensus.KindCommand},
		},
	}, d.now, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	d.now = d.now.Add(time.Minute)
	d.core.Tick(d.now)
	return d
}

// receive brings a message, by default of term 4 from c1, and persists the
// outcome.
func (d *direct) receive(cluster uint64, m consensus.Message) consensus.Output {
	m.Cluster, m.To, m.Term = cluster, d.core.Self(), max(m.Term, 4)
	if m.From.VM == "" {
		m.From = consensus.Replica{VM: "c1", Incarnation: 1}
	}
	d.core.Receive(d.now, m)
	out := d.core.Output(d.now)
	d.core.Persisted(d.now)
	return out
}

func (d *direct) lead(t *testing.T) {
	d.receive(7, consensus.Message{Voted: &consensus.VoteResponse{Pre: true, Granted: true}})
	d.receive(7, consensus.Message{Voted: &consensus.VoteResponse{Granted: true}})
	require.Equal(t, consensus.Leader, d.core.Role())
}

// Guards against the commit of an entry of an earlier term by counting copies:
// a later leader without the entry could still replace it.
func TestEarlierTermCommitsWithOwnEntryOnly(t *testing.T) {
	d := newDirect(t)
	d.lead(t)
	d.receive(7, consensus.Message{Appended: &consensus.AppendResponse{Match: 2}})
	require.Zero(t, d.core.Commit())
	d.receive(7, consensus.Message{Appended: &consensus.AppendResponse{Match: 3}})
	require.EqualValues(t, 3, d.core.Commit())
}

// Guards against two overlapping configuration changes, which allow two
// majorities without a common voter.
func TestOneConfigurationChangeAtATime(t *testing.T) {
	d := newDirect(t)
	d.lead(t)
	join := func(id vm.ID) {
		d.receive(0, consensus.Message{From: consensus.Replica{VM: id, Incarnation: 2}, Join: &consensus.JoinRequest{}})
	}
	join("c2")
	require.Len(t, d.core.Configuration().Voters, 3, "no entry of this term is committed")
	d.receive(7, consensus.Message{Appended: &consensus.AppendResponse{Match: 3}})
	join("c2")
	require.Len(t, d.core.Configuration().Voters, 2)
	join("c1")
	require.Len(t, d.core.Configuration().Voters, 2, "the previous change is not committed")
}

// Guards against a configuration that stays in force, and entries that stay in
// the log, after a later leader has replaced them.
func TestReplacedEntries(t *testing.T) {
	d := newDirect(t)
	two := d.core.Configuration()
	two.Voters = two.Voters[:2]
	d.receive(7, consensus.Message{Append: &consensus.AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: []consensus.Entry{
		{Index: 3, Term: 4, Kind: consensus.KindConfiguration, Configuration: &two}, {Index: 4, Term: 4}, {Index: 5, Term: 4},
	}}})
	require.Len(t, d.core.Configuration().Voters, 2)
	d.receive(7, consensus.Message{Term: 5, Append: &consensus.AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: []consensus.Entry{
		{Index: 3, Term: 5}, {Index: 4, Term: 5}, {Index: 5, Term: 5},
	}}})
	require.Len(t, d.core.Configuration().Voters, 3)
	d.receive(7, consensus.Message{Term: 6, Install: &consensus.SnapshotRequest{Snapshot: consensus.Snapshot{Index: 4, Term: 6, Configuration: two}}})
	out := d.receive(7, consensus.Message{Term: 6, Append: &consensus.AppendRequest{PrevIndex: 5, PrevTerm: 5}})
	require.True(t, out.Messages[0].Appended.Rejected, "entry 5 followed an entry that the snapshot replaced")
}

// Guards against votes of a cluster that was founded separately.
func TestOtherClusterIsIgnored(t *testing.T) {
	d := newDirect(t)
	d.receive(8, consensus.Message{Voted: &consensus.VoteResponse{Pre: true, Granted: true}})
	require.Equal(t, consensus.PreCandidate, d.core.Role())
}

// Guards against a leader without a majority that keeps leading, and against
// reads that it answers from an old state.
func TestPartitionedLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5, 5)
	old := c.leader()
	c.cut[old.id] = true
	confirmed, lost := 0, 0
	c.reads++
	require.NoError(t, old.core.Read(c.reads))
	old.reading[c.reads] = func(ok bool, _ uint64) {
		if ok {
			confirmed++
		} else {
			lost++
		}
	}
	c.propose(old, change("lost", 0), func(intent.Result) { confirmed++ })
	require.EqualValues(t, 1, c.commit(change("kept", 0)).Revision)
	c.run(2 * electionTimeout)
	require.NotEqual(t, consensus.Leader, old.core.Role())
	require.Equal(t, 1, lost)
	c.cut[old.id] = false
	c.until("catch-up", func() bool { return old.state.Revision == 1 })
	require.Zero(t, confirmed)
	require.Equal(t, intent.Conflict, c.commit(change("lost", 0)).Outcome)
}

// Guards against an answer that changes when the same operation is sent again
// after the leader was lost and after all replicas have restarted.
func TestResendAcrossLeaderChangeAndRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 8)
	first := c.commit(change("a", 0))
	conflict := c.commit(change("b", 0))
	require.Equal(t, "a", conflict.ConflictingChange.OperationID)
	for i := range uint64(2 * compactAfter) {
		c.commit(change(fmt.Sprint("more", i), i+1))
	}
	lost := c.leader()
	c.crash(lost)
	require.Equal(t, first, c.commit(change("a", 0)))
	require.Equal(t, conflict, c.commit(change("b", 0)))
	c.start(lost)
	for _, m := range c.members {
		c.crash(m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	require.Equal(t, first, c.commit(change("a", 0)))
	require.Equal(t, conflict, c.commit(change("b", 0)))
}

// Guards against a replica with an empty disk that votes under its old
// identity, is promoted before it is caught up, or stays a learner; and against
// the loss of committed entries when a second replica is lost right after the
// repair.
func TestBlankDiskAndSecondLossAfterRepair(t *testing.T) {
	for _, count := range []int{3, 5} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d replicas, seed %d", count, seed), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, count, 100+seed)
				c.loss, c.dup = 0.05, 0.05
				for i := range uint64(20) {
					c.commit(change(fmt.Sprint("p", i), i))
				}
				blank := c.members[seed%uint64(count)]
				old := blank.core.Self()
				c.wipe(blank)
				c.start(blank)
				c.until("promotion", func() bool {
					self := blank.core.Self()
					voters := c.voters()
					for _, v := range voters {
						require.True(t, v.VM != blank.id || v == old || v == self)
					}
					return len(voters) == count && blank.core.Self() != old && contains(voters, self)
				})
				require.Greater(t, blank.core.Self().Incarnation, old.Incarnation)
				require.GreaterOrEqual(t, blank.core.Commit(), uint64(20))
				second := c.members[(seed+1)%uint64(count)]
				c.crash(second)
				conflict := c.commit(change("late", 0))
				require.Equal(t, intent.Conflict, conflict.Outcome)
				require.EqualValues(t, 20, conflict.Revision)
			})
		}
	}
}

func contains(list []consensus.Replica, r consensus.Replica) bool {
	for _, other := range list {
		if other == r {
			return true
		}
	}
	return false
}

// Guards against a blank first peer that founds a second cluster, and against
// an incarnation that is not greater when the clock went back.
func TestBlankFounderJoins(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 12)
	c.commit(change("a", 0))
	founder := c.members[0]
	old := founder.core.Self()
	c.wipe(founder)
	c.lives = 0 // Gives incarnation 1; the old one is 101.
	c.start(founder)
	c.until("rejoin", func() bool { return contains(c.voters(), founder.core.Self()) })
	require.Greater(t, founder.core.Self().Incarnation, old.Incarnation)
	require.EqualValues(t, 1, c.commit(change("a", 0)).Revision)
}

// Guards against a planned stop of the leader that leaves the cluster without a
// leader for an election timeout.
func TestTransferLeadership(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4)
	c.commit(change("a", 0))
	old := c.leader()
	require.True(t, old.core.TransferLeadership(c.now))
	c.process(old)
	c.run(electionTimeout - 2*tick)
	require.Equal(t, consensus.Follower, old.core.Role())
	require.NotEqual(t, old, c.leader())
}

// Guards against unbounded memory of a leader without a majority.
func TestUncommittedBytesAreBounded(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 6)
	leader := c.leader()
	c.cut[leader.id] = true
	var busy *consensus.BusyError
	for range 18 {
		_, err := leader.core.Propose(make([]byte, 1<<20))
		if err != nil {
			require.ErrorAs(t, err, &busy)
		}
	}
	require.NotNil(t, busy)
	require.LessOrEqual(t, busy.Uncommitted, 16<<20)
}
