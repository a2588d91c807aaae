package consensus

import (
	"cmp"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// blankValidity bounds how old the answer of a blank replica may be when the
// first configuration is written.
const blankValidity = 5 * time.Second

// promotionLag is how many entries a learner may lack when it is promoted. All
// committed entries must be on its disk in any case.
const promotionLag = 64

func (c *Core) joinInterval() time.Duration { return c.options.ElectionTimeout }

// join asks all peers for admission. It is called while this replica is not a
// voter and hears from no leader.
func (c *Core) join(now time.Time) {
	c.joinAt = now.Add(c.joinInterval()/2 + time.Duration(c.random.Int64N(int64(c.joinInterval()))))
	asked := map[vm.ID]bool{c.hard.Self.VM: true}
	for _, id := range slices.Concat(c.options.Peers, c.contacts) {
		if !asked[id] {
			asked[id] = true
			c.send(Replica{VM: id}, Message{Join: &JoinRequest{}})
		}
	}
	c.found(now)
}

// leaderlessTimeouts is after how many election timeouts without a leader a
// voter asks for admission: it may have been replaced while it was away, and
// then no replica answers its requests for votes.
const leaderlessTimeouts = 3

// seeksAdmission reports whether this replica asks to be admitted.
func (c *Core) seeksAdmission(now time.Time) bool {
	if !c.isVoter() {
		return true
	}
	return c.options.TargetVoters > 0 && c.role != Leader &&
		now.Sub(c.leaderHeard) > leaderlessTimeouts*c.options.ElectionTimeout
}

func (c *Core) receiveJoin(now time.Time, m Message) {
	if m.Join != nil && m.To.VM == c.hard.Self.VM {
		c.answerJoin(now, m.From)
		return
	}
	if m.JoinReply == nil || m.To != c.hard.Self || c.hard.Cluster != 0 {
		return
	}
	if m.JoinReply.Observer {
		c.observers[m.From.VM] = true
		c.found(now)
		return
	}
	if m.JoinReply.Blank {
		for known := range c.blanks {
			if known.VM == m.From.VM {
				delete(c.blanks, known)
			}
		}
		c.blanks[m.From] = now
		c.found(now)
		return
	}
	clear(c.blanks)
	// The clock that gave the incarnation was behind that of an earlier life.
	if known := m.JoinReply.Known; known >= c.hard.Self.Incarnation {
		c.hard.Self.Incarnation = known + 1
		c.joinAt = now
	}
}

func (c *Core) answerJoin(now time.Time, from Replica) {
	if c.hard.Cluster == 0 {
		c.send(from, Message{JoinReply: &JoinResponse{Blank: true}})
		return
	}
	response := JoinResponse{}
	if known, ok := c.Configuration().Find(from.VM); ok && known != from {
		response.Known = known.Incarnation
	}
	c.send(from, Message{JoinReply: &response})
	if c.role == Leader {
		c.admit(now, from)
	}
}

// found writes the first configuration. Only the first peer by name that takes
// part does so, and only when every other peer has just answered that it is
// blank: a cluster that has ever committed an entry has a majority that is not
// blank.
func (c *Core) found(now time.Time) {
	if c.hard.Cluster != 0 || c.options.NoBootstrap || c.founder() != c.hard.Self.VM {
		return
	}
	voters := []Replica{c.hard.Self}
	for r, heard := range c.blanks {
		if now.Sub(heard) <= blankValidity && slices.Contains(c.options.Peers, r.VM) {
			voters = append(voters, r)
		}
	}
	if len(voters)+len(c.observers) != len(c.options.Peers) {
		return
	}
	slices.SortFunc(voters, func(a, b Replica) int { return cmp.Compare(a.VM, b.VM) })
	// The number keeps replicas of different first starts apart.
	c.hard.Cluster = c.random.Uint64() | 1
	c.hard.Term, c.hard.Vote = 1, c.hard.Self
	c.appendOwn(Entry{Kind: KindConfiguration, Configuration: &Configuration{Voters: voters}})
	c.startElection(now, true, false)
}

// founder returns the first peer by name that is not an observer.
func (c *Core) founder() vm.ID {
	first := vm.ID("")
	for _, id := range c.options.Peers {
		if !c.observers[id] && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// admit makes a new incarnation of a known VM a learner. The old incarnation
// is removed, because its disk is lost. With an open membership an unknown VM
// becomes a learner as well.
func (c *Core) admit(now time.Time, r Replica) {
	configuration := c.Configuration()
	known, ok := configuration.Find(r.VM)
	open := c.options.TargetVoters > 0 && len(configuration.Learners) < maxLearners
	if r.VM == c.hard.Self.VM || (!ok && !open) || (ok && known.Incarnation >= r.Incarnation) {
		return
	}
	next := configuration.without(r.VM)
	next.Learners = append(next.Learners, r)
	c.changeConfiguration(now, next)
}

// maxLearners bounds the replicas that wait to become voters. The voters of a
// deployment and as many successors fit.
const maxLearners = 16

// promote makes a learner a voter when it is caught up. If there are enough
// voters, a silent one is removed first; the learner follows when that change
// is committed.
func (c *Core) promote(now time.Time, r Replica) {
	configuration := c.Configuration()
	p, ok := c.lead.progress[r]
	if !ok || !configuration.learns(r) || now.Sub(p.heard) > c.options.ElectionTimeout {
		return
	}
	if p.match < c.log.commit || p.match+promotionLag < c.log.last() {
		return
	}
	if target := c.options.TargetVoters; target > 0 && len(configuration.Voters) >= target {
		if lost, found := c.silentVoter(now, configuration); found {
			c.changeConfiguration(now, configuration.without(lost.VM))
		}
		return
	}
	next := configuration.without(r.VM)
	next.Voters = append(next.Voters, r)
	slices.SortFunc(next.Voters, func(a, b Replica) int { return cmp.Compare[vm.ID](a.VM, b.VM) })
	c.changeConfiguration(now, next)
}

// silentVoter returns the voter that has been silent for longest, if that is
// longer than ReplaceAfter.
func (c *Core) silentVoter(now time.Time, configuration Configuration) (Replica, bool) {
	longest, lost := c.options.ReplaceAfter, Replica{}
	for _, r := range configuration.Voters {
		if p, ok := c.lead.progress[r]; ok && now.Sub(p.heard) > longest {
			longest, lost = now.Sub(p.heard), r
		}
	}
	return lost, lost != Replica{}
}

// learnerExpiry is how long a silent learner is kept. It exceeds the outages of
// a restart by far, and a learner that returns later is admitted again.
const learnerExpiry = time.Minute

// dropLearners removes one learner that is gone. Learners do not count for a
// majority, so that this changes no quorum.
func (c *Core) dropLearners(now time.Time) {
	if c.options.TargetVoters == 0 {
		return
	}
	configuration := c.Configuration()
	for _, r := range configuration.Learners {
		if p, ok := c.lead.progress[r]; ok && now.Sub(p.heard) > learnerExpiry {
			c.changeConfiguration(now, configuration.without(r.VM))
			return
		}
	}
}

// changeConfiguration appends a configuration that differs from the current
// one by one voter. The previous change must be committed, and so must an
// entry of this term; otherwise two majorities without a common voter are
// possible.
func (c *Core) changeConfiguration(now time.Time, next Configuration) {
	_, index := c.log.configuration()
	if index > c.log.commit || !c.committedInTerm() {
		return
	}
	c.appendOwn(Entry{Kind: KindConfiguration, Configuration: &next})
	c.trackReplicas(now)
}
