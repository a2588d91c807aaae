package consensus

import (
	"cmp"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// noClusterResponseValidity is the time during which the response of a peer without a
// cluster counts towards the bootstrap. After that time the peer may belong to one.
const noClusterResponseValidity = 5 * time.Second

// joinInterval is the mean interval between join requests to the same VM.
func (c *Core) joinInterval() time.Duration { return c.options.ElectionTimeout }

// sendJoinRequests sends a join request to every peer and to the additional join
// peers, and then tries to bootstrap a cluster.
func (c *Core) sendJoinRequests(now time.Time) {
	c.nextJoinRequests = now.Add(c.joinInterval()/2 + time.Duration(c.random.Int64N(int64(c.joinInterval()))))
	requested := map[vm.ID]bool{c.hardState.Self.VM: true}
	for _, id := range slices.Concat(c.options.Peers, c.joinPeers) {
		if !requested[id] {
			requested[id] = true
			c.send(ReplicaID{VM: id}, Message{JoinRequest: &JoinRequest{}})
		}
	}
	c.bootstrap(now)
}

// rejoinAfterElectionTimeouts is the number of election timeouts without a message
// from a leader after which a voter requests admission again. The voter may have
// been replaced while it was down. The other replicas then ignore its vote
// requests, and no leader would ever send it a message.
const rejoinAfterElectionTimeouts = 3

// shouldRequestJoin reports whether this replica must request admission to the cluster.
func (c *Core) shouldRequestJoin(now time.Time) bool {
	if !c.isVoter() {
		return true
	}
	return c.options.TargetVoters > 0 && c.role != Leader &&
		now.Sub(c.lastLeaderContact) > rejoinAfterElectionTimeouts*c.options.ElectionTimeout
}

func (c *Core) receiveJoinMessage(now time.Time, m Message) {
	if m.JoinRequest != nil && m.To.VM == c.hardState.Self.VM {
		c.receiveJoinRequest(now, m.From)
		return
	}
	if m.JoinResponse == nil || m.To != c.hardState.Self || c.hardState.ClusterID != 0 {
		return
	}
	if m.JoinResponse.NoReplica {
		// Join requests also go to processes that are no initial peers.
		if slices.Contains(c.options.Peers, m.From.VM) {
			c.peersWithoutReplica[m.From.VM] = true
			c.bootstrap(now)
		}
		return
	}
	if m.JoinResponse.NoCluster {
		for peer := range c.peersWithoutCluster {
			if peer.VM == m.From.VM {
				delete(c.peersWithoutCluster, peer)
			}
		}
		c.peersWithoutCluster[m.From] = now
		c.bootstrap(now)
		return
	}
	clear(c.peersWithoutCluster)
	// The incarnation of this replica comes from its clock. It must exceed that of
	// the previous incarnation, but the clock may have been set back since then.
	if configured := m.JoinResponse.ConfiguredIncarnation; configured >= c.hardState.Self.Incarnation {
		c.hardState.Self.Incarnation = configured + 1
		c.nextJoinRequests = now
	}
}

// receiveJoinRequest responds to a join request. The leader also admits the
// requesting replica as a learner.
func (c *Core) receiveJoinRequest(now time.Time, from ReplicaID) {
	if c.hardState.ClusterID == 0 {
		c.send(from, Message{JoinResponse: &JoinResponse{NoCluster: true}})
		return
	}
	response := JoinResponse{}
	if configured, ok := c.Configuration().FindVM(from.VM); ok && configured != from {
		response.ConfiguredIncarnation = configured.Incarnation
	}
	c.send(from, Message{JoinResponse: &response})
	if c.role == Leader {
		c.admitLearner(now, from)
	}
}

// bootstrap appends the first configuration of a new cluster. Only the peer that
// bootstrapPeer selects does so. Every other peer must have responded that it runs no
// replica, or recently that it belongs to no cluster. This prevents a second cluster:
// once a cluster has committed an entry, a majority of its replicas belongs to it.
func (c *Core) bootstrap(now time.Time) {
	if c.hardState.ClusterID != 0 || c.options.NoBootstrap || c.bootstrapPeer() != c.hardState.Self.VM {
		return
	}
	voters := []ReplicaID{c.hardState.Self}
	for r, respondedAt := range c.peersWithoutCluster {
		if now.Sub(respondedAt) <= noClusterResponseValidity && slices.Contains(c.options.Peers, r.VM) {
			voters = append(voters, r)
		}
	}
	if len(voters)+len(c.peersWithoutReplica) != len(c.options.Peers) {
		return
	}
	slices.SortFunc(voters, func(a, b ReplicaID) int { return cmp.Compare(a.VM, b.VM) })
	// The random identifier separates the messages of independently bootstrapped
	// clusters. It is odd, because zero means that there is no cluster.
	c.hardState.ClusterID = c.random.Uint64() | 1
	c.hardState.Term, c.hardState.VotedFor = 1, c.hardState.Self
	c.appendNewEntry(Entry{Kind: KindConfiguration, Configuration: &Configuration{Voters: voters}})
	c.startElection(now, true, false)
}

// bootstrapPeer returns the VM that may bootstrap the cluster: the first peer by
// name that has not responded that it runs no replica.
func (c *Core) bootstrapPeer() vm.ID {
	first := vm.ID("")
	for _, id := range c.options.Peers {
		if !c.peersWithoutReplica[id] && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// admitLearner adds a replica to the configuration as a learner. A new incarnation
// of a configured VM replaces the previous one, whose disk is lost. Other VMs are
// admitted only if TargetVoters is above zero and the configuration has fewer than
// maxLearners learners.
func (c *Core) admitLearner(now time.Time, r ReplicaID) {
	configuration := c.Configuration()
	configured, ok := configuration.FindVM(r.VM)
	acceptsNewVM := c.options.TargetVoters > 0 && len(configuration.Learners) < maxLearners
	if r.VM == c.hardState.Self.VM || (!ok && !acceptsNewVM) || (ok && configured.Incarnation >= r.Incarnation) {
		return
	}
	next := configuration.withoutVM(r.VM)
	next.Learners = append(next.Learners, r)
	c.changeConfiguration(now, next)
}

// maxLearners bounds the learners to which the leader replicates the log. The
// limit has room for all voters of a deployment and a replacement for each.
const maxLearners = 16

// learnerRemovalTimeout is the time without a response after which a learner is
// removed. It must far exceed the outage of a restart. A removed learner that returns
// is admitted again.
const learnerRemovalTimeout = time.Minute

// removeUnresponsiveLearner removes one learner that has not responded within
// learnerRemovalTimeout. This does not change the quorum, because learners do not
// count towards a majority.
func (c *Core) removeUnresponsiveLearner(now time.Time) {
	if c.options.TargetVoters == 0 {
		return
	}
	configuration := c.Configuration()
	for _, r := range configuration.Learners {
		if p, ok := c.leaderState.progress[r]; ok && now.Sub(p.lastResponseAt) > learnerRemovalTimeout {
			c.changeConfiguration(now, configuration.withoutVM(r.VM))
			return
		}
	}
}

// changeConfiguration appends a configuration that differs from the current one
// by at most one voter. It does nothing while the previous change is uncommitted
// or no entry of the current term is committed. Without these rules two majorities
// without a common voter would be possible.
func (c *Core) changeConfiguration(now time.Time, next Configuration) {
	if !c.canChangeConfiguration() {
		return
	}
	c.appendNewEntry(Entry{Kind: KindConfiguration, Configuration: &next})
	c.reconcileProgress(now)
}

func (c *Core) canChangeConfiguration() bool {
	_, index := c.log.latestConfiguration()
	return index <= c.log.commitIndex && c.hasCommittedInTerm()
}
