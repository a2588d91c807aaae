package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// Role is the part that a replica plays in its term.
type Role string

// The roles of a replica.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Core decides for one replica. It is not safe for concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	log     *entryLog
	hard    HardState
	// written is the hard state of the last Output.
	written HardState

	role        Role
	leader      Replica
	electionAt  time.Time
	leaderHeard time.Time
	votes       map[Replica]bool
	joinAt      time.Time
	blanks      map[Replica]time.Time
	// observers are the peers that have answered that they take no part.
	observers map[vm.ID]bool
	// contacts are further VMs that are asked for admission.
	contacts []vm.ID

	lead leading

	messages   []Message
	reads      []ReadResult
	newSnap    bool
	installing bool
	fault      error
}

// New returns a core that continues from what was read from disk.
func New(options Options, restored RestoredState, now time.Time, random *rand.Rand) (*Core, error) {
	c := &Core{
		options: options, random: random, log: newEntryLog(restored), hard: restored.HardState,
		written: restored.HardState, role: Follower, blanks: map[Replica]time.Time{}, observers: map[vm.ID]bool{},
	}
	if c.hard.Self == (Replica{}) {
		c.hard.Self = options.Self
	}
	if c.hard.Self.VM != options.Self.VM {
		return nil, &FaultError{Reason: fmt.Sprintf("the stored state belongs to %s, this is %s", c.hard.Self.VM, options.Self.VM)}
	}
	// A torn write can keep entries of a term whose hard state was lost. No
	// vote of that term was sent, because nothing was acknowledged.
	if last := c.log.lastTerm(); last > c.hard.Term {
		c.hard.Term, c.hard.Vote = last, Replica{}
	}
	c.joinAt = now
	c.resetElection(now)
	return c, nil
}

// Self returns the identity of this replica.
func (c *Core) Self() Replica { return c.hard.Self }

// Role returns the role in the current term.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, or the zero Replica.
func (c *Core) Leader() Replica { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Commit returns the index up to which entries are committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Configuration returns the configuration in force.
func (c *Core) Configuration() Configuration {
	configuration, _ := c.log.configuration()
	return configuration
}

// Snapshot returns the latest snapshot.
func (c *Core) Snapshot() Snapshot { return c.log.snapshot }

// Tick starts what is due. It must be called at least once per heartbeat.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if c.seeksAdmission(now) && !now.Before(c.joinAt) {
		c.join(now)
	}
	if c.isVoter() && !now.Before(c.electionAt) {
		c.startElection(now, true, false)
	}
}

// Deadline returns when Tick has something to do next, unless a message or a
// proposal comes first.
func (c *Core) Deadline(now time.Time) time.Time {
	if c.role == Leader {
		next := c.lead.heartbeatAt
		if c.lead.checkAt.Before(next) {
			next = c.lead.checkAt
		}
		return next
	}
	next := now.Add(c.options.ElectionTimeout)
	if c.isVoter() && c.electionAt.Before(next) {
		next = c.electionAt
	}
	if c.seeksAdmission(next) && c.joinAt.Before(next) {
		next = c.joinAt
	}
	return next
}

// SetJoinPeers replaces the further VMs that are asked for admission besides
// the peers of the first configuration.
func (c *Core) SetJoinPeers(ids []vm.ID) { c.contacts = slices.Clone(ids) }

// isVoter reports whether this replica is a voter.
func (c *Core) isVoter() bool { return c.Configuration().votes(c.hard.Self) }

// Receive processes one message.
func (c *Core) Receive(now time.Time, m Message) {
	if m.Join != nil || m.JoinReply != nil {
		c.receiveJoin(now, m)
		return
	}
	if m.To != c.hard.Self || m.Cluster == 0 || (c.hard.Cluster != 0 && c.hard.Cluster != m.Cluster) {
		return
	}
	if m.Vote != nil {
		c.receiveVoteRequest(now, m)
		return
	}
	if m.Term < c.hard.Term {
		c.answerStale(m)
		return
	}
	granted := m.Voted != nil && m.Voted.Pre && m.Voted.Granted
	if m.Term > c.hard.Term && !granted {
		c.becomeFollower(now, m.Term, Replica{})
	}
	switch {
	case m.Voted != nil:
		c.receiveVote(now, m)
	case m.Append != nil || m.Install != nil:
		c.receiveFromLeader(now, m)
	case m.Appended != nil:
		c.receiveAppended(now, m)
	case m.TakeOver != nil:
		if c.role == Follower && c.isVoter() {
			c.startElection(now, false, true)
		}
	}
}

// answerStale tells a sender of an earlier term about the current one.
func (c *Core) answerStale(m Message) {
	if m.Append != nil || m.Install != nil {
		c.send(m.From, Message{Appended: &AppendResponse{Rejected: true}})
	}
}

// Persisted tells that the last Output is on disk.
func (c *Core) Persisted(now time.Time) {
	c.log.stable = c.log.saved
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// Compact replaces the log up to an applied index by a snapshot of the state.
func (c *Core) Compact(index uint64, data []byte) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.handedOut || index <= c.log.snapshot.Index {
		return
	}
	c.log.compact(Snapshot{Index: index, Term: term, Configuration: c.log.configurationAt(index), Data: data})
	c.newSnap = true
}

// Output returns what is to be done and forgets it.
func (c *Core) Output(now time.Time) Output {
	if c.role == Leader {
		c.flush(now)
	}
	out := Output{Messages: c.messages, Reads: c.reads, Fault: c.fault}
	c.messages, c.reads = nil, nil
	if c.newSnap {
		snapshot := c.log.snapshot
		out.Snapshot, out.InstallSnapshot = &snapshot, c.installing
		c.newSnap, c.installing = false, false
	}
	out.Entries = c.log.between(c.log.saved, c.log.last())
	c.log.saved = c.log.last()
	out.Committed = c.log.between(c.log.handedOut, c.log.commit)
	c.log.handedOut = c.log.commit
	c.hard.Commit = c.log.commit
	if c.hard != c.written {
		hard := c.hard
		out.HardState, c.written = &hard, c.hard
	}
	return out
}

func (c *Core) send(to Replica, m Message) {
	m.Cluster, m.From, m.To = c.hard.Cluster, c.hard.Self, to
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.messages = append(c.messages, m)
}

func (c *Core) becomeFollower(now time.Time, term uint64, leader Replica) {
	if term > c.hard.Term {
		c.hard.Term, c.hard.Vote = term, Replica{}
	}
	if c.role == Leader {
		c.loseReads()
	}
	if c.role != Follower {
		c.resetElection(now)
	}
	c.role, c.leader, c.votes = Follower, leader, nil
}

// resetElection draws the time of the next election.
func (c *Core) resetElection(now time.Time) {
	timeout := c.options.ElectionTimeout
	c.electionAt = now.Add(timeout + time.Duration(c.random.Int64N(int64(timeout))))
}
