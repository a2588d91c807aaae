package consensus

import (
	"slices"
	"time"
)

// snapshotResendInterval is the time after which a leader sends an unacknowledged
// snapshot again. It must exceed the transfer of the largest snapshot, which takes
// about a second over a slow link.
const snapshotResendInterval = 3 * time.Second

// sendHeartbeat sends an AppendRequest without entries at the last position that
// the follower has confirmed. The request carries the commit index and the read
// round.
func (c *Core) sendHeartbeat(to ReplicaID, p *progress) {
	request := AppendRequest{LeaderCommit: c.log.commitIndex, ReadRound: c.leaderState.readRound}
	if term, ok := c.log.termAt(p.matchIndex); ok {
		request.PrevLogIndex, request.PrevLogTerm = p.matchIndex, term
	}
	c.send(to, Message{AppendRequest: &request})
}

// sendEntries sends batches of entries until all entries are sent or the limit of
// unacknowledged batches is reached. It sends a snapshot instead if the next entry
// has been compacted.
func (c *Core) sendEntries(now time.Time, to ReplicaID, p *progress) {
	maxInflight := c.options.MaxInflightBatches
	if p.probing {
		maxInflight = 1
	}
	for p.nextIndex <= c.log.lastIndex() && len(p.inflight) < maxInflight {
		prevTerm, ok := c.log.termAt(p.nextIndex - 1)
		if !ok {
			c.sendSnapshot(now, to, p)
			return
		}
		entries := c.log.nextBatch(p.nextIndex-1, c.options.MaxBatchBytes)
		c.send(to, Message{AppendRequest: &AppendRequest{
			PrevLogIndex: p.nextIndex - 1, PrevLogTerm: prevTerm, Entries: entries, LeaderCommit: c.log.commitIndex, ReadRound: c.leaderState.readRound,
		}})
		p.nextIndex += uint64(len(entries))
		p.inflight = append(p.inflight, p.nextIndex-1)
	}
}

func (c *Core) sendSnapshot(now time.Time, to ReplicaID, p *progress) {
	if !p.snapshotSentAt.IsZero() && now.Sub(p.snapshotSentAt) < snapshotResendInterval {
		return
	}
	p.snapshotSentAt = now
	c.send(to, Message{InstallSnapshot: &InstallSnapshotRequest{Snapshot: c.log.snapshot, ReadRound: c.leaderState.readRound}})
}

func (c *Core) receiveAppendResponse(now time.Time, m Message) {
	p, ok := c.leaderState.progress[m.From]
	if c.role != Leader || !ok {
		return
	}
	response := m.AppendResponse
	if !c.isResponsive(now, p) {
		// A snapshot that was sent while the follower was down is lost.
		p.snapshotSentAt = time.Time{}
	}
	p.lastResponseAt = now
	p.readRound = max(p.readRound, response.ReadRound)
	if response.Rejected {
		p.rewindToHint(response)
		return
	}
	if response.MatchIndex > p.matchIndex {
		p.matchIndex, p.resendAfterIndex, p.matchAdvanced = response.MatchIndex, response.MatchIndex, true
		p.snapshotSentAt = time.Time{}
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(lastIndex uint64) bool { return lastIndex <= p.matchIndex })
	if p.matchIndex+1 == p.nextIndex {
		p.probing = false
	}
	c.advanceCommit(now)
	c.sendTimeoutNowIfComplete(m.From)
	if c.Configuration().isLearner(m.From) {
		c.adjustVoters(now)
	}
}

// rewindToHint resets nextIndex to the position that the follower suggested in a
// rejection. Late rejections of positions that are already confirmed are ignored.
func (p *progress) rewindToHint(rejection *AppendResponse) {
	if rejection.PrevLogIndex <= p.matchIndex || rejection.PrevLogIndex >= p.nextIndex {
		return
	}
	p.resendAfterIndex = max(p.matchIndex, min(rejection.MatchHint, rejection.PrevLogIndex-1))
	p.nextIndex = p.resendAfterIndex + 1
	p.probing, p.inflight = true, nil
}

// advanceCommit advances the commit index to the last entry that a majority of
// voters has on disk. The entry must be of the current term: entries of earlier
// terms are committed only together with it.
func (c *Core) advanceCommit(now time.Time) {
	index := c.majorityValue(c.log.persistedIndex, func(p *progress) uint64 { return p.matchIndex })
	if index <= c.log.commitIndex || !c.log.matches(index, c.hardState.Term) {
		return
	}
	c.log.setCommitIndex(index)
	c.leaderState.heartbeatPending = true
	c.adjustVoters(now)
}
