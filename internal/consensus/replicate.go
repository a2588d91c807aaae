package consensus

import (
	"slices"
	"time"
)

// snapshotRetry is how long a leader waits for the answer to a snapshot. A
// snapshot of the largest state takes about a second over a slow link.
const snapshotRetry = 3 * time.Second

// sendHeartbeat sends an empty request at the last confirmed position, which
// also tells the commit index and the read round.
func (c *Core) sendHeartbeat(to Replica, p *progress) {
	request := AppendRequest{Commit: c.log.commit, Round: c.lead.round}
	if term, ok := c.log.term(p.match); ok {
		request.PrevIndex, request.PrevTerm = p.match, term
	}
	c.send(to, Message{Append: &request})
}

// sendEntries sends batches until the follower has everything or the bound of
// unacknowledged batches is reached.
func (c *Core) sendEntries(now time.Time, to Replica, p *progress) {
	limit := c.options.MaxInflight
	if p.probing {
		limit = 1
	}
	for p.next <= c.log.last() && len(p.inflight) < limit {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok {
			c.sendSnapshot(now, to, p)
			return
		}
		entries := c.log.batch(p.next-1, c.options.MaxBatchBytes)
		c.send(to, Message{Append: &AppendRequest{
			PrevIndex: p.next - 1, PrevTerm: prevTerm, Entries: entries, Commit: c.log.commit, Round: c.lead.round,
		}})
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) sendSnapshot(now time.Time, to Replica, p *progress) {
	if !p.snapshotAt.IsZero() && now.Sub(p.snapshotAt) < snapshotRetry {
		return
	}
	p.snapshotAt = now
	c.send(to, Message{Install: &SnapshotRequest{Snapshot: c.log.snapshot, Round: c.lead.round}})
}

func (c *Core) receiveAppended(now time.Time, m Message) {
	p, ok := c.lead.progress[m.From]
	if c.role != Leader || !ok {
		return
	}
	response := m.Appended
	p.heard = now
	p.round = max(p.round, response.Round)
	if response.Rejected {
		p.reject(response)
		return
	}
	if response.Match > p.match {
		p.match, p.base, p.advanced = response.Match, response.Match, true
		p.snapshotAt = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= p.match })
	if p.match+1 == p.next {
		p.probing = false
	}
	c.advanceCommit(now)
	c.continueTransfer(m.From)
	c.promote(now, m.From)
}

// reject goes back to the hint of the follower. Late answers to positions that
// are already confirmed are ignored.
func (p *progress) reject(r *AppendResponse) {
	if r.PrevIndex <= p.match || r.PrevIndex >= p.next {
		return
	}
	p.base = max(p.match, min(r.Hint, r.PrevIndex-1))
	p.next = p.base + 1
	p.probing, p.inflight = true, nil
}

// advanceCommit commits what a majority has on disk. Entries of earlier terms
// are committed together with an entry of the current term only.
func (c *Core) advanceCommit(now time.Time) {
	index := c.majority(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.log.commit || !c.log.matches(index, c.hard.Term) {
		return
	}
	c.log.commitTo(index)
	c.lead.broadcast = true
	for _, learner := range c.Configuration().Learners {
		c.promote(now, learner)
	}
}
