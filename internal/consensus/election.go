package consensus

import "time"

// startElection asks for pre-votes, or for votes. A pre-vote keeps a replica
// that cannot win from raising the term of the others.
func (c *Core) startElection(now time.Time, pre, transfer bool) {
	c.resetElection(now)
	c.leader = Replica{}
	c.votes = map[Replica]bool{c.hard.Self: true}
	term := c.hard.Term + 1
	c.role = PreCandidate
	if !pre {
		c.role = Candidate
		c.hard.Term, c.hard.Vote = term, c.hard.Self
	}
	request := VoteRequest{Pre: pre, LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), Transfer: transfer}
	for _, peer := range c.Configuration().Voters {
		if peer != c.hard.Self {
			c.send(peer, Message{Term: term, Vote: &request})
		}
	}
	c.countVotes(now)
}

func (c *Core) receiveVoteRequest(now time.Time, m Message) {
	request := m.Vote
	// A replica that hears from a leader does not help to replace it, so that
	// a replica returning from a partition cannot disturb the others.
	if m.Term > c.hard.Term && !request.Transfer && c.hearsLeader(now) {
		return
	}
	if request.Pre {
		granted := m.Term > c.hard.Term && c.log.upToDate(request.LastIndex, request.LastTerm)
		term := c.hard.Term
		if granted {
			term = m.Term
		}
		c.answerVote(m, term, granted)
		return
	}
	if m.Term < c.hard.Term {
		c.answerVote(m, c.hard.Term, false)
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, Replica{})
	}
	free := c.hard.Vote == (Replica{}) || c.hard.Vote == m.From
	granted := free && c.leader == (Replica{}) && c.log.upToDate(request.LastIndex, request.LastTerm)
	if granted {
		c.hard.Vote, c.hard.Cluster = m.From, m.Cluster
		c.resetElection(now)
	}
	c.answerVote(m, c.hard.Term, granted)
}

// answerVote answers under the cluster of the candidate, because a blank
// replica that only grants a pre-vote stays outside the cluster.
func (c *Core) answerVote(m Message, term uint64, granted bool) {
	c.send(m.From, Message{Term: term, Voted: &VoteResponse{Pre: m.Vote.Pre, Granted: granted}})
	c.messages[len(c.messages)-1].Cluster = m.Cluster
}

// hearsLeader reports whether a leader was heard from within the shortest
// election timeout. The leader itself relies on its quorum check.
func (c *Core) hearsLeader(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return c.leader != (Replica{}) && now.Sub(c.leaderHeard) < c.options.ElectionTimeout
}

func (c *Core) receiveVote(now time.Time, m Message) {
	wanted := Candidate
	term := c.hard.Term
	if m.Voted.Pre {
		wanted, term = PreCandidate, c.hard.Term+1
	}
	if c.role != wanted || m.Term != term || !m.Voted.Granted {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	configuration := c.Configuration()
	granted := 0
	for voter := range c.votes {
		if configuration.votes(voter) {
			granted++
		}
	}
	if granted < configuration.quorum() {
		return
	}
	if c.role == PreCandidate {
		c.startElection(now, false, false)
		return
	}
	c.becomeLeader(now)
}
