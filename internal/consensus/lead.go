package consensus

import (
	"slices"
	"time"
)

// leading is the state of a leader; it starts anew in each term.
type leading struct {
	progress    map[Replica]*progress
	heartbeatAt time.Time
	checkAt     time.Time
	round       uint64
	// broadcast is set when followers must hear of a commit or a read at once.
	broadcast bool
	reads     []pendingRead
	// transferTo is the voter that is asked to take over, until transferEnd.
	transferTo  Replica
	transferEnd time.Time
}

// progress is what a leader knows about a follower.
type progress struct {
	match uint64
	// base is where sending starts again after a loss: match, or a guess until
	// the follower has confirmed a position.
	base uint64
	next uint64
	// inflight holds the last index of every unacknowledged batch.
	inflight []uint64
	// probing is set until the follower has confirmed the position before next;
	// one batch is in flight until then.
	probing bool
	// advanced is set when match grew since the last heartbeat.
	advanced   bool
	snapshotAt time.Time
	heard      time.Time
	round      uint64
}

type pendingRead struct {
	id    uint64
	index uint64
	// round is zero until the read can be confirmed.
	round uint64
}

func (c *Core) becomeLeader(now time.Time) {
	c.role, c.leader, c.votes = Leader, c.hard.Self, nil
	c.lead = leading{
		progress:    map[Replica]*progress{},
		heartbeatAt: now.Add(c.options.Heartbeat),
		checkAt:     now.Add(c.options.ElectionTimeout),
	}
	c.appendOwn(Entry{Kind: KindEmpty})
	c.trackReplicas(now)
}

// trackReplicas creates and removes progress to match the configuration. It is
// called after an append, so that the new entry probes the follower's log.
func (c *Core) trackReplicas(now time.Time) {
	replicas := c.Configuration().all()
	for r := range c.lead.progress {
		if !slices.Contains(replicas, r) {
			delete(c.lead.progress, r)
		}
	}
	for _, r := range replicas {
		if _, ok := c.lead.progress[r]; !ok && r != c.hard.Self {
			c.lead.progress[r] = &progress{base: c.log.last() - 1, next: c.log.last(), probing: true, heard: now}
		}
	}
}

func (c *Core) appendOwn(e Entry) LogPosition {
	e.Index, e.Term = c.log.last()+1, c.hard.Term
	c.log.append([]Entry{e})
	return LogPosition{Index: e.Index, Term: e.Term}
}

// Propose appends a command to the log of the leader.
func (c *Core) Propose(data []byte) (LogPosition, error) {
	if c.role != Leader || c.lead.transferTo != (Replica{}) {
		return LogPosition{}, &NotLeaderError{Leader: c.leader}
	}
	if c.log.uncommitted > 0 && c.log.uncommitted+len(data) > c.options.MaxUncommittedBytes {
		return LogPosition{}, &BusyError{Uncommitted: c.log.uncommitted}
	}
	return c.appendOwn(Entry{Kind: KindCommand, Data: data}), nil
}

// TransferLeadership asks the voter with the longest log to take over. It
// reports whether there is one. Proposals are refused until it has taken over
// or an election timeout has passed.
func (c *Core) TransferLeadership(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	best, found := Replica{}, false
	for _, r := range c.Configuration().Voters {
		p, ok := c.lead.progress[r]
		if !ok || now.Sub(p.heard) > c.options.ElectionTimeout {
			continue
		}
		if !found || p.match > c.lead.progress[best].match {
			best, found = r, true
		}
	}
	if !found {
		return false
	}
	c.lead.transferTo, c.lead.transferEnd = best, now.Add(c.options.ElectionTimeout)
	c.continueTransfer(best)
	return true
}

func (c *Core) continueTransfer(to Replica) {
	p, ok := c.lead.progress[to]
	if ok && to == c.lead.transferTo && p.match == c.log.last() {
		c.send(to, Message{TakeOver: &TakeOver{}})
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !now.Before(c.lead.checkAt) {
		c.lead.checkAt = now.Add(c.options.ElectionTimeout)
		if !c.hasQuorum(now) {
			c.becomeFollower(now, c.hard.Term, Replica{})
			return
		}
	}
	if c.lead.transferTo != (Replica{}) && now.After(c.lead.transferEnd) {
		c.lead.transferTo = Replica{}
	}
	if now.Before(c.lead.heartbeatAt) {
		return
	}
	c.lead.heartbeatAt = now.Add(c.options.Heartbeat)
	for _, r := range c.Configuration().all() {
		p, ok := c.lead.progress[r]
		if !ok {
			continue
		}
		p.retryLost()
		c.sendHeartbeat(r, p)
		c.promote(now, r)
	}
	c.dropLearners(now)
}

// retryLost sends again from the base when nothing was confirmed for a whole
// heartbeat.
func (p *progress) retryLost() {
	if !p.advanced && p.next > p.base+1 {
		p.probing, p.inflight = true, nil
		p.next = p.base + 1
	}
	p.advanced = false
}

// hasQuorum reports whether a majority of voters answered within the last
// election timeout.
func (c *Core) hasQuorum(now time.Time) bool {
	configuration := c.Configuration()
	alive := 0
	for _, r := range configuration.Voters {
		p, ok := c.lead.progress[r]
		if r == c.hard.Self || (ok && now.Sub(p.heard) <= c.options.ElectionTimeout) {
			alive++
		}
	}
	return alive >= configuration.quorum()
}

// flush sends what followers miss and confirms reads.
func (c *Core) flush(now time.Time) {
	c.startReads()
	replicas := c.Configuration().all()
	if c.lead.broadcast {
		c.lead.broadcast = false
		for _, r := range replicas {
			if p, ok := c.lead.progress[r]; ok {
				c.sendHeartbeat(r, p)
			}
		}
	}
	for _, r := range replicas {
		if p, ok := c.lead.progress[r]; ok {
			c.sendEntries(now, r, p)
		}
	}
	c.confirmReads()
}

// startReads gives reads an index once an entry of this term is committed;
// before that the commit index may lag behind that of the previous leader.
func (c *Core) startReads() {
	if !c.committedInTerm() {
		return
	}
	started := false
	for i := range c.lead.reads {
		r := &c.lead.reads[i]
		if r.round != 0 {
			continue
		}
		if !started {
			c.lead.round++
			started = true
		}
		r.index, r.round = c.log.commit, c.lead.round
	}
	c.lead.broadcast = c.lead.broadcast || started
}

func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.log.commit)
	return ok && term == c.hard.Term
}

// confirmReads releases the reads whose round a majority has answered.
func (c *Core) confirmReads() {
	if len(c.lead.reads) == 0 {
		return
	}
	confirmed := c.majority(c.lead.round, func(p *progress) uint64 { return p.round })
	c.lead.reads = slices.DeleteFunc(c.lead.reads, func(r pendingRead) bool {
		done := r.round != 0 && r.round <= confirmed
		if done {
			c.reads = append(c.reads, ReadResult{ID: r.id, Index: r.index})
		}
		return done
	})
}

func (c *Core) loseReads() {
	for _, r := range c.lead.reads {
		c.reads = append(c.reads, ReadResult{ID: r.id, Lost: true})
	}
	c.lead = leading{}
}

// majority returns the greatest value that a majority of voters has reached.
func (c *Core) majority(own uint64, value func(*progress) uint64) uint64 {
	configuration := c.Configuration()
	values := make([]uint64, 0, len(configuration.Voters))
	for _, r := range configuration.Voters {
		if r == c.hard.Self {
			values = append(values, own)
		} else if p, ok := c.lead.progress[r]; ok {
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-configuration.quorum()]
}
