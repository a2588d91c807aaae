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

// A cluster of each supported size must bootstrap and commit, with and without message
// loss and duplication.
func TestBootstrap(t *testing.T) {
	for _, count := range []int{1, 3, 5, 7} {
		for _, loss := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("%d replicas, loss %.1f", count, loss), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, count, uint64(count))
				c.lossRate, c.duplicationRate = loss, loss
				require.Equal(t, intent.Accepted, c.commitChange(trafficChange("a", 0)).Outcome)
				require.Len(t, c.leaderVoters(), count)
			})
		}
	}
}

// A replica that returns from a partition must not depose a working leader. Without
// pre-vote it would raise its term during the partition, and the higher term would
// depose the leader.
func TestPartitionedReplicaDoesNotRaiseTerm(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	leader := c.waitForLeader()
	term := leader.core.Term()
	var isolated *testReplica
	for _, replica := range c.replicas {
		if replica != leader {
			isolated = replica
		}
	}
	c.isolated[isolated.id] = true
	for i := range uint64(40) {
		c.commitChange(trafficChange(fmt.Sprint("p", i), i))
	}
	c.stepFor(5 * time.Minute)
	require.LessOrEqual(t, isolated.core.Term(), term)
	c.isolated[isolated.id] = false
	c.stepUntil("catch-up", func() bool { return isolated.state.Revision == 40 })
	require.Positive(t, c.snapshotInstalls, "the missing entries were compacted")
	require.Equal(t, leader, c.waitForLeader())
	require.Equal(t, term, leader.core.Term())
}

// A leader must stay leader if one replica loses only its link from the leader. That
// replica starts elections, but the other replicas still receive heartbeats and must not
// vote for it. Otherwise elections would repeat.
func TestOneWayLinkFailureKeepsLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 9)
	leader := c.waitForLeader()
	term := leader.core.Term()
	for _, replica := range c.replicas {
		if replica != leader {
			c.blockedLinks[[2]vm.ID{leader.id, replica.id}] = true
			break
		}
	}
	c.stepFor(time.Minute)
	require.Equal(t, leader, c.waitForLeader())
	require.Equal(t, term, leader.core.Term())
}

// singleCore is the core of c0 in a cluster of three. The test creates the messages
// of the other two replicas.
type singleCore struct {
	core *consensus.Core
	now  time.Time
}

func newSingleCore(t *testing.T) *singleCore {
	s := &singleCore{now: time.Unix(0, 0)}
	voters := []consensus.ReplicaID{{VM: "c0", Incarnation: 1}, {VM: "c1", Incarnation: 1}, {VM: "c2", Incarnation: 1}}
	var err error
	s.core, err = consensus.New(consensus.DefaultOptions(voters[0], []vm.ID{"c0", "c1", "c2"}), consensus.RestoredState{
		HardState: consensus.HardState{Self: voters[0], ClusterID: 7, Term: 3},
		Entries: []consensus.Entry{
			{Index: 1, Term: 1, Kind: consensus.KindConfiguration, Configuration: &consensus.Configuration{Voters: voters}},
			{Index: 2, Term: 2, Kind: consensus.KindCommand},
		},
	}, s.now, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	s.now = s.now.Add(time.Minute)
	s.core.Tick(s.now)
	return s
}

// receive passes a message to the core and persists the output. By default the
// message is of term 4 and from c1.
func (s *singleCore) receive(cluster uint64, message consensus.Message) consensus.Output {
	message.ClusterID, message.To, message.Term = cluster, s.core.Self(), max(message.Term, 4)
	if message.From.VM == "" {
		message.From = consensus.ReplicaID{VM: "c1", Incarnation: 1}
	}
	s.core.Receive(s.now, message)
	out := s.core.Output(s.now)
	s.core.Persisted(s.now)
	return out
}

func (s *singleCore) winElection(t *testing.T) {
	s.receive(7, consensus.Message{VoteResponse: &consensus.VoteResponse{PreVote: true, Granted: true}})
	s.receive(7, consensus.Message{VoteResponse: &consensus.VoteResponse{Granted: true}})
	require.Equal(t, consensus.Leader, s.core.Role())
}

// An entry of an earlier term must be committed only together with an entry of the
// current term, even if a majority already has it. A later leader without the entry
// could still replace it.
func TestEarlierTermCommitsOnlyWithCurrentTerm(t *testing.T) {
	s := newSingleCore(t)
	s.winElection(t)
	s.receive(7, consensus.Message{AppendResponse: &consensus.AppendResponse{MatchIndex: 2}})
	require.Zero(t, s.core.CommitIndex())
	s.receive(7, consensus.Message{AppendResponse: &consensus.AppendResponse{MatchIndex: 3}})
	require.EqualValues(t, 3, s.core.CommitIndex())
}

// A configuration change must wait until the previous one and an entry of the current
// term are committed. Two changes at the same time would allow two majorities without a
// common voter.
func TestOneConfigurationChangeAtATime(t *testing.T) {
	s := newSingleCore(t)
	s.winElection(t)
	join := func(id vm.ID) {
		s.receive(0, consensus.Message{From: consensus.ReplicaID{VM: id, Incarnation: 2}, JoinRequest: &consensus.JoinRequest{}})
	}
	join("c2")
	require.Len(t, s.core.Configuration().Voters, 3, "no entry of this term is committed")
	s.receive(7, consensus.Message{AppendResponse: &consensus.AppendResponse{MatchIndex: 3}})
	join("c2")
	require.Len(t, s.core.Configuration().Voters, 2)
	join("c1")
	require.Len(t, s.core.Configuration().Voters, 2, "the previous change is not committed")
}

// A follower must stop using a configuration or other entries that a later leader has
// replaced, either by entries or by a snapshot.
func TestConflictingEntriesAreReplaced(t *testing.T) {
	s := newSingleCore(t)
	twoVoters := s.core.Configuration()
	twoVoters.Voters = twoVoters.Voters[:2]
	s.receive(7, consensus.Message{AppendRequest: &consensus.AppendRequest{PrevLogIndex: 2, PrevLogTerm: 2, Entries: []consensus.Entry{
		{Index: 3, Term: 4, Kind: consensus.KindConfiguration, Configuration: &twoVoters}, {Index: 4, Term: 4}, {Index: 5, Term: 4},
	}}})
	require.Len(t, s.core.Configuration().Voters, 2)
	s.receive(7, consensus.Message{Term: 5, AppendRequest: &consensus.AppendRequest{PrevLogIndex: 2, PrevLogTerm: 2, Entries: []consensus.Entry{
		{Index: 3, Term: 5}, {Index: 4, Term: 5}, {Index: 5, Term: 5},
	}}})
	require.Len(t, s.core.Configuration().Voters, 3)
	s.receive(7, consensus.Message{Term: 6, InstallSnapshot: &consensus.InstallSnapshotRequest{Snapshot: consensus.Snapshot{Index: 4, Term: 6, Configuration: twoVoters}}})
	out := s.receive(7, consensus.Message{Term: 6, AppendRequest: &consensus.AppendRequest{PrevLogIndex: 5, PrevLogTerm: 5}})
	require.True(t, out.Messages[0].AppendResponse.Rejected, "entry 5 must be removed, because the snapshot replaced the entry before it")
}

// Votes from a cluster that was bootstrapped separately must not count.
func TestOtherClusterIsIgnored(t *testing.T) {
	s := newSingleCore(t)
	s.receive(8, consensus.Message{VoteResponse: &consensus.VoteResponse{PreVote: true, Granted: true}})
	require.Equal(t, consensus.PreCandidate, s.core.Role())
}

// A leader must step down after it has lost the majority. It must not confirm reads or
// commit proposals meanwhile: the reads would be stale, because the majority has elected
// a new leader.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5, 5)
	oldLeader := c.waitForLeader()
	c.isolated[oldLeader.id] = true
	confirmed, lost := 0, 0
	c.lastReadID++
	require.NoError(t, oldLeader.core.Read(c.lastReadID))
	oldLeader.pendingReads[c.lastReadID] = func(ok bool, _ uint64) {
		if ok {
			confirmed++
		} else {
			lost++
		}
	}
	c.propose(oldLeader, trafficChange("lost", 0), func(intent.Result) { confirmed++ })
	require.EqualValues(t, 1, c.commitChange(trafficChange("kept", 0)).Revision)
	c.stepFor(2 * electionTimeout)
	require.NotEqual(t, consensus.Leader, oldLeader.core.Role())
	require.Equal(t, 1, lost)
	c.isolated[oldLeader.id] = false
	c.stepUntil("catch-up", func() bool { return oldLeader.state.Revision == 1 })
	require.Zero(t, confirmed)
	require.Equal(t, intent.Conflict, c.commitChange(trafficChange("lost", 0)).Outcome)
}

// An operation that is sent again must return the same result as before, also after the
// leader has crashed and after all replicas have restarted.
func TestResendReturnsSameResult(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 8)
	accepted := c.commitChange(trafficChange("a", 0))
	conflict := c.commitChange(trafficChange("b", 0))
	require.Equal(t, "a", conflict.ConflictingChange.OperationID)
	for i := range uint64(2 * compactAfterEntries) {
		c.commitChange(trafficChange(fmt.Sprint("more", i), i+1))
	}
	crashedLeader := c.waitForLeader()
	c.crash(crashedLeader)
	require.Equal(t, accepted, c.commitChange(trafficChange("a", 0)))
	require.Equal(t, conflict, c.commitChange(trafficChange("b", 0)))
	c.start(crashedLeader)
	for _, replica := range c.replicas {
		c.crash(replica)
	}
	for _, replica := range c.replicas {
		c.start(replica)
	}
	require.Equal(t, accepted, c.commitChange(trafficChange("a", 0)))
	require.Equal(t, conflict, c.commitChange(trafficChange("b", 0)))
}

// A replica that restarts with a wiped disk must get a new identity, and must be
// promoted to a voter under it. It must have all committed entries at that time, so that
// they survive the crash of a second replica right after the promotion.
func TestWipedReplicaRejoinsAsVoter(t *testing.T) {
	for _, count := range []int{3, 5} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d replicas, seed %d", count, seed), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, count, 100+seed)
				c.lossRate, c.duplicationRate = 0.05, 0.05
				for i := range uint64(20) {
					c.commitChange(trafficChange(fmt.Sprint("p", i), i))
				}
				wiped := c.replicas[seed%uint64(count)]
				oldIdentity := wiped.core.Self()
				c.crashAndWipe(wiped)
				c.start(wiped)
				c.stepUntil("promotion", func() bool {
					self := wiped.core.Self()
					voters := c.leaderVoters()
					for _, v := range voters {
						require.True(t, v.VM != wiped.id || v == oldIdentity || v == self)
					}
					return len(voters) == count && wiped.core.Self() != oldIdentity && containsReplica(voters, self)
				})
				require.Greater(t, wiped.core.Self().Incarnation, oldIdentity.Incarnation)
				require.GreaterOrEqual(t, wiped.core.CommitIndex(), uint64(20))
				second := c.replicas[(seed+1)%uint64(count)]
				c.crash(second)
				conflict := c.commitChange(trafficChange("late", 0))
				require.Equal(t, intent.Conflict, conflict.Outcome)
				require.EqualValues(t, 20, conflict.Revision)
			})
		}
	}
}

func containsReplica(list []consensus.ReplicaID, id consensus.ReplicaID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// The peer that bootstrapped the cluster must rejoin it after its disk was wiped, and
// must not bootstrap a second cluster. Its new incarnation must be greater than the
// previous one, even if the clock of the VM was set back.
func TestWipedBootstrapPeerRejoins(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 12)
	c.commitChange(trafficChange("a", 0))
	wiped := c.replicas[0]
	oldIdentity := wiped.core.Self()
	c.crashAndWipe(wiped)
	c.lastIncarnation = 0 // The next incarnation is 1; the previous one is 101.
	c.start(wiped)
	c.stepUntil("rejoin", func() bool { return containsReplica(c.leaderVoters(), wiped.core.Self()) })
	require.Greater(t, wiped.core.Self().Incarnation, oldIdentity.Incarnation)
	require.EqualValues(t, 1, c.commitChange(trafficChange("a", 0)).Revision)
}

// Guards against a replica that waits for snapshotResendInterval after its restart, because
// the snapshot that it needs was sent while it was down.
func TestSnapshotForReturningReplica(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 20+seed)
			c.commitChange(trafficChange("a", 0))
			leader := c.waitForLeader()
			follower := c.replicas[0]
			if follower == leader {
				follower = c.replicas[1]
			}
			c.crash(follower)
			c.stepFor(2 * electionTimeout)
			for i := range uint64(2 * compactAfterEntries) {
				c.commitChange(trafficChange(fmt.Sprint("b", i), 1+i))
			}
			// The snapshot is sent again shortly before the follower returns.
			c.stepFor(time.Duration(seed) * 300 * time.Millisecond)
			c.start(follower)
			returned := c.now
			c.stepUntil("snapshot", func() bool { return follower.state.Revision == 1+2*compactAfterEntries })
			require.Less(t, c.now.Sub(returned), time.Second)
		})
	}
}

// After a leadership transfer there must be a new leader before an election timeout has
// passed. Otherwise each planned stop of a leader would leave the cluster without a leader
// for that time.
func TestTransferLeadership(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4)
	c.commitChange(trafficChange("a", 0))
	oldLeader := c.waitForLeader()
	require.True(t, oldLeader.core.TransferLeadership(c.now))
	c.processOutputs(oldLeader)
	c.stepFor(electionTimeout - 2*tickInterval)
	require.Equal(t, consensus.Follower, oldLeader.core.Role())
	require.NotEqual(t, oldLeader, c.waitForLeader())
}

// The uncommitted entries of a leader that has lost the majority must not exceed
// MaxUncommittedBytes. Otherwise its memory use would be unbounded.
func TestUncommittedBytesAreBounded(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 6)
	leader := c.waitForLeader()
	c.isolated[leader.id] = true
	var limitErr *consensus.UncommittedLimitError
	for range 18 {
		_, err := leader.core.Propose(make([]byte, 1<<20))
		if err != nil {
			require.ErrorAs(t, err, &limitErr)
		}
	}
	require.NotNil(t, limitErr)
	require.LessOrEqual(t, limitErr.UncommittedBytes, 16<<20)
}
