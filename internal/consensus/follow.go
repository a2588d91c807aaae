package consensus

import (
	"fmt"
	"time"
)

// receiveFromLeader processes entries or a snapshot of the current term.
func (c *Core) receiveFromLeader(now time.Time, m Message) {
	if c.role == Leader {
		c.fault = &FaultError{Reason: fmt.Sprintf("%s also leads term %d", m.From, m.Term)}
		return
	}
	c.becomeFollower(now, m.Term, m.From)
	c.hard.Cluster = m.Cluster
	c.leaderHeard = now
	c.resetElection(now)
	c.joinAt = now.Add(c.joinInterval())
	if m.Install != nil {
		c.install(m.From, m.Install)
		return
	}
	response := c.appendEntries(m.Append)
	response.Round = m.Append.Round
	c.send(m.From, Message{Appended: &response})
}

func (c *Core) appendEntries(r *AppendRequest) AppendResponse {
	prevIndex, prevTerm, entries := r.PrevIndex, r.PrevTerm, r.Entries
	if start := c.log.snapshot.Index; prevIndex < start {
		// Everything up to the snapshot is committed and equals the leader's log.
		skip := min(start-prevIndex, uint64(len(entries)))
		entries = entries[skip:]
		if len(entries) == 0 {
			return AppendResponse{Match: min(prevIndex+uint64(len(r.Entries)), start)}
		}
		prevIndex, prevTerm = start, c.log.snapshot.Term
	}
	if !c.log.matches(prevIndex, prevTerm) {
		return AppendResponse{Rejected: true, PrevIndex: r.PrevIndex, Hint: c.hint(prevIndex)}
	}
	if !c.merge(entries) {
		return AppendResponse{Rejected: true, PrevIndex: r.PrevIndex, Hint: c.log.commit}
	}
	match := prevIndex + uint64(len(entries))
	if commit := min(r.Commit, match); commit > c.log.commit {
		c.log.commitTo(commit)
	}
	return AppendResponse{Match: match}
}

// hint returns the last index that may match the leader's log. It skips all
// entries of a term that does not match.
func (c *Core) hint(prevIndex uint64) uint64 {
	if prevIndex > c.log.last() {
		return c.log.last()
	}
	term, _ := c.log.term(prevIndex)
	hint := prevIndex
	for hint > c.log.commit && c.log.matches(hint, term) {
		hint--
	}
	return max(hint, c.log.commit)
}

// merge appends the entries that the log does not have yet. Entries that
// contradict them are removed, unless they are committed.
func (c *Core) merge(entries []Entry) bool {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.commit {
			c.fault = &FaultError{Reason: fmt.Sprintf("committed entry %d would be replaced", e.Index)}
			return false
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index - 1)
		}
		c.log.append(entries[i:])
		return true
	}
	return true
}

func (c *Core) install(from Replica, r *SnapshotRequest) {
	if r.Snapshot.Index > c.log.commit {
		c.log.compact(r.Snapshot)
		c.newSnap, c.installing = true, true
	}
	// An equal or older snapshot lies below the commit index.
	c.send(from, Message{Appended: &AppendResponse{Match: max(r.Snapshot.Index, c.log.snapshot.Index), Round: r.Round}})
}

// Read asks for an index that includes every entry committed before the call.
// The result comes in a later Output.
func (c *Core) Read(id uint64) error {
	if c.role != Leader {
		return &NotLeaderError{Leader: c.leader}
	}
	c.lead.reads = append(c.lead.reads, pendingRead{id: id})
	return nil
}
