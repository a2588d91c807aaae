package consensus

import (
	"slices"
	"time"
)

// leaderState is the volatile state of a leader. It is created when the replica
// becomes leader and discarded when it steps down.
type leaderState struct {
	progress        map[ReplicaID]*progress
	nextHeartbeat   time.Time
	nextQuorumCheck time.Time
	readRound       uint64
	// heartbeatPending is set if the next Output must contain a heartbeat to every
	// follower, because the commit index or the read round has advanced.
	heartbeatPending bool
	pendingReads     []pendingRead
	// transferTarget is the voter that receives TimeoutNow. The transfer is
	// abandoned at transferDeadline.
	transferTarget   ReplicaID
	transferDeadline time.Time
}

// progress is the replication state of one follower on the leader.
type progress struct {
	matchIndex uint64
	// resendAfterIndex is the index after which entries are sent again when batches
	// were lost. It equals matchIndex once the follower has acknowledged a position
	// in its log. Until then it is an estimate.
	resendAfterIndex uint64
	nextIndex        uint64
	// inflight holds the last index of each unacknowledged batch.
	inflight []uint64
	// probing is set until the follower has acknowledged the entry before
	// nextIndex. While it is set, only one batch is in flight.
	probing bool
	// matchAdvanced is set if matchIndex has grown since the last heartbeat.
	matchAdvanced  bool
	snapshotSentAt time.Time
	lastResponseAt time.Time
	// leavingUntil is the time until which the follower must not vote, because it is
	// about to stop. It is zero if the follower has not requested to leave.
	leavingUntil time.Time
	readRound    uint64
}

// pendingRead is a read that a majority of voters has not confirmed yet.
type pendingRead struct {
	id        uint64
	readIndex uint64
	// readRound is the round of heartbeats that confirms the read. It is zero
	// until the leader has committed an entry of its term.
	readRound uint64
}

func (c *Core) becomeLeader(now time.Time) {
	c.role, c.leader, c.votesGranted = Leader, c.hardState.Self, nil
	c.leaderState = leaderState{
		progress:        map[ReplicaID]*progress{},
		nextHeartbeat:   now.Add(c.options.HeartbeatInterval),
		nextQuorumCheck: now.Add(c.options.ElectionTimeout),
	}
	c.appendNewEntry(Entry{Kind: KindNoOp})
	c.reconcileProgress(now)
	// The previous leader has been silent since before the election. If its VM was removed,
	// it must not get all of ReplaceVoterAfter again.
	if p, ok := c.leaderState.progress[c.previousLeader]; ok {
		p.lastResponseAt = c.lastLeaderContact
	}
	c.previousLeader = ReplicaID{}
}

// reconcileProgress adds and removes the progress of followers, so that there is one
// for each other replica of the latest configuration. It must be called after an
// append. The new entry is then the first one sent to a new follower, and the response
// shows whether the logs match before it.
func (c *Core) reconcileProgress(now time.Time) {
	replicas := c.Configuration().replicas()
	for r := range c.leaderState.progress {
		if !slices.Contains(replicas, r) {
			delete(c.leaderState.progress, r)
		}
	}
	for _, r := range replicas {
		if _, ok := c.leaderState.progress[r]; !ok && r != c.hardState.Self {
			c.leaderState.progress[r] = &progress{resendAfterIndex: c.log.lastIndex() - 1, nextIndex: c.log.lastIndex(), probing: true, lastResponseAt: now}
		}
	}
}

// appendNewEntry appends an entry of the current term at the end of the log.
func (c *Core) appendNewEntry(e Entry) LogPosition {
	e.Index, e.Term = c.log.lastIndex()+1, c.hardState.Term
	c.log.append([]Entry{e})
	return LogPosition{Index: e.Index, Term: e.Term}
}

// Propose appends a command to the log. Only a leader that is not transferring
// leadership accepts commands. A command that would raise the uncommitted bytes above
// MaxUncommittedBytes is rejected. If there are no uncommitted bytes, a command of any
// size is accepted, so that a command larger than the limit can be committed.
func (c *Core) Propose(data []byte) (LogPosition, error) {
	if c.role != Leader || c.leaderState.transferTarget != (ReplicaID{}) {
		return LogPosition{}, &NotLeaderError{Leader: c.leader}
	}
	if c.log.uncommittedBytes > 0 && c.log.uncommittedBytes+len(data) > c.options.MaxUncommittedBytes {
		return LogPosition{}, &UncommittedLimitError{UncommittedBytes: c.log.uncommittedBytes}
	}
	return c.appendNewEntry(Entry{Kind: KindCommand, Data: data}), nil
}

// TransferLeadership starts a transfer to the voter with the highest match index
// among those that responded within the last election timeout. Voters that are about
// to stop are chosen last. It reports whether there is such a voter. Proposals are
// rejected until that voter is the leader or an election timeout has passed.
func (c *Core) TransferLeadership(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	target, best := ReplicaID{}, (*progress)(nil)
	for _, r := range c.Configuration().Voters {
		p, ok := c.leaderState.progress[r]
		if ok && c.isResponsive(now, p) && (best == nil || p.isBetterTransferTarget(now, best)) {
			target, best = r, p
		}
	}
	if best == nil {
		return false
	}
	c.leaderState.transferTarget, c.leaderState.transferDeadline = target, now.Add(c.options.ElectionTimeout)
	c.sendTimeoutNowIfComplete(target)
	return true
}

func (p *progress) isBetterTransferTarget(now time.Time, other *progress) bool {
	if isLeaving := now.Before(p.leavingUntil); isLeaving != now.Before(other.leavingUntil) {
		return !isLeaving
	}
	return p.matchIndex > other.matchIndex
}

// sendTimeoutNowIfComplete sends TimeoutNow to a follower if it is the target of a
// leadership transfer and has all entries of the leader's log.
func (c *Core) sendTimeoutNowIfComplete(to ReplicaID) {
	p, ok := c.leaderState.progress[to]
	if ok && to == c.leaderState.transferTarget && p.matchIndex == c.log.lastIndex() {
		c.send(to, Message{TimeoutNow: &TimeoutNow{}})
	}
}

// tickLeader checks the quorum and the deadline of a leadership transfer. Once per
// heartbeat interval it also sends heartbeats, adjusts the voters and removes
// unresponsive learners.
func (c *Core) tickLeader(now time.Time) {
	if !now.Before(c.leaderState.nextQuorumCheck) {
		c.leaderState.nextQuorumCheck = now.Add(c.options.ElectionTimeout)
		if !c.hasActiveQuorum(now) {
			c.becomeFollower(now, c.hardState.Term, ReplicaID{})
			return
		}
	}
	if c.leaderState.transferTarget != (ReplicaID{}) && now.After(c.leaderState.transferDeadline) {
		c.leaderState.transferTarget = ReplicaID{}
	}
	if now.Before(c.leaderState.nextHeartbeat) {
		return
	}
	c.leaderState.nextHeartbeat = now.Add(c.options.HeartbeatInterval)
	for _, r := range c.Configuration().replicas() {
		p, ok := c.leaderState.progress[r]
		if !ok {
			continue
		}
		p.rewindIfStalled()
		c.sendHeartbeat(r, p)
	}
	c.adjustVoters(now)
	c.removeUnresponsiveLearner(now)
}

// rewindIfStalled resets nextIndex so that entries are sent again, if the
// follower has acknowledged no new entry during a whole heartbeat interval.
func (p *progress) rewindIfStalled() {
	if !p.matchAdvanced && p.nextIndex > p.resendAfterIndex+1 {
		p.probing, p.inflight = true, nil
		p.nextIndex = p.resendAfterIndex + 1
	}
	p.matchAdvanced = false
}

// hasActiveQuorum reports whether a majority of voters has responded within the
// last election timeout.
func (c *Core) hasActiveQuorum(now time.Time) bool {
	configuration := c.Configuration()
	active := 0
	for _, r := range configuration.Voters {
		p, ok := c.leaderState.progress[r]
		if r == c.hardState.Self || (ok && now.Sub(p.lastResponseAt) <= c.options.ElectionTimeout) {
			active++
		}
	}
	return active >= configuration.quorum()
}

// flushLeaderOutput adds the heartbeats and entries that followers need to the
// pending messages, and the confirmed reads to the results.
func (c *Core) flushLeaderOutput(now time.Time) {
	c.assignReadRound()
	replicas := c.Configuration().replicas()
	if c.leaderState.heartbeatPending {
		c.leaderState.heartbeatPending = false
		for _, r := range replicas {
			if p, ok := c.leaderState.progress[r]; ok {
				c.sendHeartbeat(r, p)
			}
		}
	}
	for _, r := range replicas {
		if p, ok := c.leaderState.progress[r]; ok {
			c.sendEntries(now, r, p)
		}
	}
	c.releaseConfirmedReads()
}

// assignReadRound assigns a read index and a read round to new reads. It does nothing
// until an entry of the current term is committed. Before that, the commit index
// may be lower than that of the previous leader.
func (c *Core) assignReadRound() {
	if !c.hasCommittedInTerm() {
		return
	}
	roundStarted := false
	for i := range c.leaderState.pendingReads {
		r := &c.leaderState.pendingReads[i]
		if r.readRound != 0 {
			continue
		}
		if !roundStarted {
			c.leaderState.readRound++
			roundStarted = true
		}
		r.readIndex, r.readRound = c.log.commitIndex, c.leaderState.readRound
	}
	c.leaderState.heartbeatPending = c.leaderState.heartbeatPending || roundStarted
}

// hasCommittedInTerm reports whether the last committed entry is of the current
// term.
func (c *Core) hasCommittedInTerm() bool {
	term, ok := c.log.termAt(c.log.commitIndex)
	return ok && term == c.hardState.Term
}

// releaseConfirmedReads moves the reads whose round a majority of voters has
// acknowledged to the results.
func (c *Core) releaseConfirmedReads() {
	if len(c.leaderState.pendingReads) == 0 {
		return
	}
	confirmedRound := c.majorityValue(c.leaderState.readRound, func(p *progress) uint64 { return p.readRound })
	c.leaderState.pendingReads = slices.DeleteFunc(c.leaderState.pendingReads, func(r pendingRead) bool {
		confirmed := r.readRound != 0 && r.readRound <= confirmedRound
		if confirmed {
			c.readResults = append(c.readResults, ReadResult{ID: r.id, Index: r.readIndex})
		}
		return confirmed
	})
}

// discardLeaderState completes all pending reads with LeadershipLost and clears the
// leader state.
func (c *Core) discardLeaderState() {
	for _, r := range c.leaderState.pendingReads {
		c.readResults = append(c.readResults, ReadResult{ID: r.id, LeadershipLost: true})
	}
	c.leaderState = leaderState{}
}

// majorityValue returns the greatest value that a majority of voters has reached.
// ownValue is the value of this replica.
func (c *Core) majorityValue(ownValue uint64, value func(*progress) uint64) uint64 {
	configuration := c.Configuration()
	values := make([]uint64, 0, len(configuration.Voters))
	for _, r := range configuration.Voters {
		if r == c.hardState.Self {
			values = append(values, ownValue)
		} else if p, ok := c.leaderState.progress[r]; ok {
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-configuration.quorum()]
}
