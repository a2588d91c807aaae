package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Role is the Raft role of a replica in its current term.
type Role string

// The roles of a replica.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Core is the Raft state machine of one replica. It is not safe for concurrent
// use.
type Core struct {
	options   Options
	random    *rand.Rand
	log       *raftLog
	hardState HardState
	// outputHardState is the hard state as of the last Output.
	outputHardState HardState

	role             Role
	leader           ReplicaID
	electionDeadline time.Time
	// lastLeaderContact is when the last message of a leader arrived. previousLeader is its
	// sender, unless this replica has led since.
	lastLeaderContact time.Time
	previousLeader    ReplicaID
	votesGranted      map[ReplicaID]bool
	// nextJoinRequests is the earliest time at which join requests are sent again.
	nextJoinRequests time.Time
	// peersWithoutCluster maps each replica that responded that it belongs to no
	// cluster to the time of its response.
	peersWithoutCluster map[ReplicaID]time.Time
	// peersWithoutReplica contains the initial peers that responded that they run no replica.
	peersWithoutReplica map[vm.ID]bool
	// joinPeers are the VMs that receive join requests besides the peers of the
	// bootstrap.
	joinPeers []vm.ID
	// zones has the availability zones of VMs, as far as they are known.
	zones map[vm.ID]zone.ID

	leaderState leaderState
	// leaderCommit is the highest commit index that the current leader has sent.
	leaderCommit uint64

	messages    []Message
	readResults []ReadResult
	// snapshotPending is set if the next Output must contain the snapshot.
	// installPending is set if a leader sent that snapshot.
	snapshotPending  bool
	installPending   bool
	inconsistencyErr error
}

// New returns a core that continues from the state restored from disk.
func New(options Options, restored RestoredState, now time.Time, random *rand.Rand) (*Core, error) {
	c := &Core{
		options: options, random: random, log: newRaftLog(restored), hardState: restored.HardState,
		outputHardState: restored.HardState, role: Follower, peersWithoutCluster: map[ReplicaID]time.Time{}, peersWithoutReplica: map[vm.ID]bool{},
	}
	if c.hardState.Self == (ReplicaID{}) {
		c.hardState.Self = options.Self
	}
	if c.hardState.Self.VM != options.Self.VM {
		return nil, &InconsistentStateError{Reason: fmt.Sprintf("the stored state belongs to VM %s, and this VM is %s", c.hardState.Self.VM, options.Self.VM)}
	}
	// A write interrupted by a crash can leave entries of a term whose hard state
	// was not written. No vote of that term was sent, because messages are sent
	// only after the write has completed.
	if lastTerm := c.log.lastTerm(); lastTerm > c.hardState.Term {
		c.hardState.Term, c.hardState.VotedFor = lastTerm, ReplicaID{}
	}
	c.nextJoinRequests = now
	c.resetElectionDeadline(now)
	return c, nil
}

// Self returns the identity of this replica.
func (c *Core) Self() ReplicaID { return c.hardState.Self }

// Role returns the role of this replica in the current term.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, or the zero ReplicaID if none is
// known.
func (c *Core) Leader() ReplicaID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// CommitIndex returns the commit index.
func (c *Core) CommitIndex() uint64 { return c.log.commitIndex }

// IsBehindLeader reports whether the leader has committed entries that this replica has
// not received yet.
func (c *Core) IsBehindLeader() bool {
	return c.role == Follower && c.leader != (ReplicaID{}) && c.leaderCommit > c.log.lastIndex()
}

// Configuration returns the latest configuration in the log. Raft uses it from
// its append on, before it is committed.
func (c *Core) Configuration() Configuration {
	configuration, _ := c.log.latestConfiguration()
	return configuration
}

// Snapshot returns the latest snapshot.
func (c *Core) Snapshot() Snapshot { return c.log.snapshot }

// Tick runs the actions whose time has come: elections, heartbeats, quorum
// checks and join requests. It must be called no later than at Deadline.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if c.shouldRequestJoin(now) && !now.Before(c.nextJoinRequests) {
		c.sendJoinRequests(now)
	}
	if c.isVoter() && !now.Before(c.electionDeadline) {
		c.startElection(now, true, false)
	}
}

// Deadline returns the latest time of the next Tick. It must be called again after
// received messages and proposals, because they can make the deadline earlier.
func (c *Core) Deadline(now time.Time) time.Time {
	if c.role == Leader {
		next := c.leaderState.nextHeartbeat
		if c.leaderState.nextQuorumCheck.Before(next) {
			next = c.leaderState.nextQuorumCheck
		}
		return next
	}
	next := now.Add(c.options.ElectionTimeout)
	if c.isVoter() && c.electionDeadline.Before(next) {
		next = c.electionDeadline
	}
	if c.shouldRequestJoin(next) && c.nextJoinRequests.Before(next) {
		next = c.nextJoinRequests
	}
	return next
}

// SetJoinPeers replaces the VMs that receive join requests besides the peers of
// the bootstrap.
func (c *Core) SetJoinPeers(vms []vm.ID) { c.joinPeers = slices.Clone(vms) }

// SetZones replaces the availability zones of the VMs. They are used if MaxZoneLosses is
// above zero.
func (c *Core) SetZones(zones map[vm.ID]zone.ID) { c.zones = maps.Clone(zones) }

// isVoter reports whether this replica is a voter in the latest configuration.
func (c *Core) isVoter() bool { return c.Configuration().isVoter(c.hardState.Self) }

// Receive processes one message from another replica.
func (c *Core) Receive(now time.Time, m Message) {
	if m.JoinRequest != nil || m.JoinResponse != nil {
		c.receiveJoinMessage(now, m)
		return
	}
	if m.To != c.hardState.Self || m.ClusterID == 0 || (c.hardState.ClusterID != 0 && c.hardState.ClusterID != m.ClusterID) {
		return
	}
	if m.VoteRequest != nil {
		c.receiveVoteRequest(now, m)
		return
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleTerm(m)
		return
	}
	preVoteGranted := m.VoteResponse != nil && m.VoteResponse.PreVote && m.VoteResponse.Granted
	if m.Term > c.hardState.Term && !preVoteGranted {
		c.becomeFollower(now, m.Term, ReplicaID{})
	}
	switch {
	case m.VoteResponse != nil:
		c.receiveVoteResponse(now, m)
	case m.AppendRequest != nil || m.InstallSnapshot != nil:
		c.receiveFromLeader(now, m)
	case m.AppendResponse != nil:
		c.receiveAppendResponse(now, m)
	case m.LeaveRequest != nil:
		c.receiveLeaveRequest(now, m)
	case m.TimeoutNow != nil:
		if c.role == Follower && c.isVoter() {
			c.startElection(now, false, true)
		}
	}
}

// rejectStaleTerm rejects a request from the leader of an earlier term. The
// response carries the current term, so that the sender steps down.
func (c *Core) rejectStaleTerm(m Message) {
	if m.AppendRequest != nil || m.InstallSnapshot != nil {
		c.send(m.From, Message{AppendResponse: &AppendResponse{Rejected: true}})
	}
}

// Persisted records that the last Output is on disk.
func (c *Core) Persisted(now time.Time) {
	c.log.persistedIndex = c.log.persistRequestedIndex
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// Compact replaces the log up to an applied index by a snapshot with the given
// state.
func (c *Core) Compact(index uint64, data []byte) {
	term, ok := c.log.termAt(index)
	if !ok || index > c.log.deliveredIndex || index <= c.log.snapshot.Index {
		return
	}
	c.log.compact(Snapshot{Index: index, Term: term, Configuration: c.log.configurationAt(index), Data: data})
	c.snapshotPending = true
}

// Output returns the pending work and removes it from the core.
func (c *Core) Output(now time.Time) Output {
	if c.role == Leader {
		c.flushLeaderOutput(now)
	}
	out := Output{Messages: c.messages, Reads: c.readResults, InconsistencyError: c.inconsistencyErr}
	c.messages, c.readResults = nil, nil
	if c.snapshotPending {
		snapshot := c.log.snapshot
		out.Snapshot, out.InstallSnapshot = &snapshot, c.installPending
		c.snapshotPending, c.installPending = false, false
	}
	out.Entries = c.log.entriesBetween(c.log.persistRequestedIndex, c.log.lastIndex())
	c.log.persistRequestedIndex = c.log.lastIndex()
	out.Committed = c.log.entriesBetween(c.log.deliveredIndex, c.log.commitIndex)
	c.log.deliveredIndex = c.log.commitIndex
	c.hardState.CommitIndex = c.log.commitIndex
	if c.hardState != c.outputHardState {
		hardState := c.hardState
		out.HardState, c.outputHardState = &hardState, c.hardState
	}
	return out
}

func (c *Core) send(to ReplicaID, m Message) {
	m.ClusterID, m.From, m.To = c.hardState.ClusterID, c.hardState.Self, to
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.messages = append(c.messages, m)
}

func (c *Core) becomeFollower(now time.Time, term uint64, leader ReplicaID) {
	if term > c.hardState.Term {
		c.hardState.Term, c.hardState.VotedFor = term, ReplicaID{}
		c.leaderCommit = 0
	}
	if c.role == Leader {
		c.discardLeaderState()
	}
	if c.role != Follower {
		c.resetElectionDeadline(now)
	}
	c.role, c.leader, c.votesGranted = Follower, leader, nil
}

// resetElectionDeadline sets the deadline of the next election to a random time
// between one and two election timeouts from now.
func (c *Core) resetElectionDeadline(now time.Time) {
	timeout := c.options.ElectionTimeout
	c.electionDeadline = now.Add(timeout + time.Duration(c.random.Int64N(int64(timeout))))
}
