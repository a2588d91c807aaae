package consensus

import (
	"fmt"
	"time"
)

// receiveFromLeader processes entries or a snapshot from the leader of the current
// term.
func (c *Core) receiveFromLeader(now time.Time, m Message) {
	if c.role == Leader {
		c.inconsistencyErr = &InconsistentStateError{Reason: fmt.Sprintf("replica %s also claims to lead term %d", m.From, m.Term)}
		return
	}
	c.becomeFollower(now, m.Term, m.From)
	c.hardState.ClusterID = m.ClusterID
	c.lastLeaderContact, c.previousLeader = now, m.From
	c.resetElectionDeadline(now)
	c.nextJoinRequests = now.Add(c.joinInterval())
	if m.InstallSnapshot != nil {
		c.installSnapshot(m.From, m.InstallSnapshot)
		return
	}
	response := c.appendEntries(m.AppendRequest)
	response.ReadRound = m.AppendRequest.ReadRound
	c.send(m.From, Message{AppendResponse: &response})
}

func (c *Core) appendEntries(r *AppendRequest) AppendResponse {
	prevIndex, prevTerm, entries := r.PrevLogIndex, r.PrevLogTerm, r.Entries
	c.leaderCommit = max(c.leaderCommit, r.LeaderCommit)
	if snapshotIndex := c.log.snapshot.Index; prevIndex < snapshotIndex {
		// All entries up to the snapshot are committed and therefore equal those of
		// the leader.
		skip := min(snapshotIndex-prevIndex, uint64(len(entries)))
		entries = entries[skip:]
		if len(entries) == 0 {
			return AppendResponse{MatchIndex: min(prevIndex+uint64(len(r.Entries)), snapshotIndex)}
		}
		prevIndex, prevTerm = snapshotIndex, c.log.snapshot.Term
	}
	if !c.log.matches(prevIndex, prevTerm) {
		return AppendResponse{Rejected: true, PrevLogIndex: r.PrevLogIndex, MatchHint: c.conflictHint(prevIndex)}
	}
	if !c.mergeEntries(entries) {
		return AppendResponse{Rejected: true, PrevLogIndex: r.PrevLogIndex, MatchHint: c.log.commitIndex}
	}
	match := prevIndex + uint64(len(entries))
	if commit := min(r.LeaderCommit, match); commit > c.log.commitIndex {
		c.log.setCommitIndex(commit)
	}
	return AppendResponse{MatchIndex: match}
}

// conflictHint returns the last index at which this log may match that of the
// leader. It skips all entries of the conflicting term at once.
func (c *Core) conflictHint(prevIndex uint64) uint64 {
	if prevIndex > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	conflictingTerm, _ := c.log.termAt(prevIndex)
	hint := prevIndex
	for hint > c.log.commitIndex && c.log.matches(hint, conflictingTerm) {
		hint--
	}
	return max(hint, c.log.commitIndex)
}

// mergeEntries appends the entries that the log does not contain yet and removes
// conflicting entries from the log. If a committed entry conflicts, it sets
// inconsistencyErr and returns false.
func (c *Core) mergeEntries(entries []Entry) bool {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.commitIndex {
			c.inconsistencyErr = &InconsistentStateError{Reason: fmt.Sprintf("the leader would replace committed entry %d", e.Index)}
			return false
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncateAfter(e.Index - 1)
		}
		c.log.append(entries[i:])
		return true
	}
	return true
}

func (c *Core) installSnapshot(from ReplicaID, r *InstallSnapshotRequest) {
	if r.Snapshot.Index > c.log.commitIndex {
		c.log.compact(r.Snapshot)
		c.snapshotPending, c.installPending = true, true
	}
	// A snapshot at or below the commit index needs no installation. Its index is
	// acknowledged, because all its entries are committed in this log.
	c.send(from, Message{AppendResponse: &AppendResponse{MatchIndex: max(r.Snapshot.Index, c.log.snapshot.Index), ReadRound: r.ReadRound}})
}

// Read requests a read index: an index at or after every entry that was committed
// before Read was called. The result is in the Reads of a later Output, under the
// same ID. Only a leader accepts reads.
func (c *Core) Read(id uint64) error {
	if c.role != Leader {
		return &NotLeaderError{Leader: c.leader}
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: id})
	return nil
}
