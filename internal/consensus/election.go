package consensus

import "time"

// startElection requests pre-votes if preVote is set, and votes otherwise. The
// pre-vote prevents a replica that cannot win from raising the term of the other
// replicas.
func (c *Core) startElection(now time.Time, preVote, leadershipTransfer bool) {
	c.resetElectionDeadline(now)
	c.leader = ReplicaID{}
	c.votesGranted = map[ReplicaID]bool{c.hardState.Self: true}
	term := c.hardState.Term + 1
	c.role = PreCandidate
	if !preVote {
		c.role = Candidate
		c.hardState.Term, c.hardState.VotedFor = term, c.hardState.Self
	}
	request := VoteRequest{PreVote: preVote, LastLogIndex: c.log.lastIndex(), LastLogTerm: c.log.lastTerm(), LeadershipTransfer: leadershipTransfer}
	for _, voter := range c.Configuration().Voters {
		if voter != c.hardState.Self {
			c.send(voter, Message{Term: term, VoteRequest: &request})
		}
	}
	c.countVotes(now)
}

func (c *Core) receiveVoteRequest(now time.Time, m Message) {
	request := m.VoteRequest
	// While a leader has sent a message recently, this replica ignores requests of
	// a higher term. A replica that returns from a partition therefore cannot
	// depose a working leader. Leadership transfers are exempt.
	if m.Term > c.hardState.Term && !request.LeadershipTransfer && c.hasRecentLeaderContact(now) {
		return
	}
	if request.PreVote {
		granted := m.Term > c.hardState.Term && c.log.isUpToDate(request.LastLogIndex, request.LastLogTerm)
		term := c.hardState.Term
		if granted {
			term = m.Term
		}
		c.sendVoteResponse(m, term, granted)
		return
	}
	if m.Term < c.hardState.Term {
		c.sendVoteResponse(m, c.hardState.Term, false)
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, ReplicaID{})
	}
	canVote := c.hardState.VotedFor == (ReplicaID{}) || c.hardState.VotedFor == m.From
	granted := canVote && c.leader == (ReplicaID{}) && c.log.isUpToDate(request.LastLogIndex, request.LastLogTerm)
	if granted {
		c.hardState.VotedFor, c.hardState.ClusterID = m.From, m.ClusterID
		c.resetElectionDeadline(now)
	}
	c.sendVoteResponse(m, c.hardState.Term, granted)
}

// sendVoteResponse responds with the cluster identifier of the candidate. A replica
// without a cluster has no identifier of its own, and granting a pre-vote does not
// make it a part of the cluster.
func (c *Core) sendVoteResponse(m Message, term uint64, granted bool) {
	c.send(m.From, Message{Term: term, VoteResponse: &VoteResponse{PreVote: m.VoteRequest.PreVote, Granted: granted}})
	c.messages[len(c.messages)-1].ClusterID = m.ClusterID
}

// hasRecentLeaderContact reports whether a leader has sent a message within the
// last election timeout. It returns true on the leader itself, which steps down when
// its quorum check fails.
func (c *Core) hasRecentLeaderContact(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return c.leader != (ReplicaID{}) && now.Sub(c.lastLeaderContact) < c.options.ElectionTimeout
}

func (c *Core) receiveVoteResponse(now time.Time, m Message) {
	expectedRole := Candidate
	term := c.hardState.Term
	if m.VoteResponse.PreVote {
		expectedRole, term = PreCandidate, c.hardState.Term+1
	}
	if c.role != expectedRole || m.Term != term || !m.VoteResponse.Granted {
		return
	}
	c.votesGranted[m.From] = true
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	configuration := c.Configuration()
	granted := 0
	for voter := range c.votesGranted {
		if configuration.isVoter(voter) {
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
