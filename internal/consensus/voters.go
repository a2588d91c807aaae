package consensus

import (
	"cmp"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// maxPromotionLag bounds the number of entries of the leader's log that a learner may
// lack when it becomes a voter. The missing entries must be uncommitted: all committed
// entries must be on its disk.
const maxPromotionLag = 64

// leaveValidity is the time for which a request to leave keeps its sender from being a
// voter. It exceeds the time that a process needs to stop after the request.
const leaveValidity = 2 * time.Second

// adjustVoters changes the set of voters by at most one replica, so that planned
// removals and single failures leave a majority.
func (c *Core) adjustVoters(now time.Time) {
	if !c.canChangeConfiguration() {
		return
	}
	if next, ok := c.nextVoterChange(now, c.Configuration()); ok {
		c.changeConfiguration(now, next)
	}
}

// nextVoterChange returns the configuration that follows from the state of the
// replicas. It returns false if the voters need no change. In the order of precedence:
//
//   - A voter that is about to stop, or has not responded for ReplaceVoterAfter, becomes
//     a learner if TargetVoters others remain.
//   - A learner that is eligible for promotion becomes a voter while there are fewer than
//     TargetVoters, or in place of a voter that is about to stop.
//   - An even number of voters grows by an eligible learner, up to MaxVoters. It needs a
//     larger majority than the odd number below it and tolerates no more losses.
//   - A voter that has not responded for ReplaceVoterAfter becomes a learner if an
//     eligible learner can take its place.
//   - While all voters respond, eligible learners become voters in pairs, up to
//     MaxVoters. This answers removals of several VMs whose successors already run: a
//     majority that counts the successors survives them, however close they are.
func (c *Core) nextVoterChange(now time.Time, current Configuration) (Configuration, bool) {
	eligible := c.eligibleLearners(now, current)
	target := c.options.TargetVoters
	if target == 0 || len(current.Voters) < target {
		return promoteFirst(current, eligible)
	}
	leaving, isLeaving := c.leavingVoter(now, current)
	unresponsive, isUnresponsive := c.longestUnresponsiveVoter(now, current)
	switch {
	case isLeaving && len(current.Voters) > target:
		return current.withLearner(leaving), true
	case isLeaving && len(eligible) > 0:
		return promoteFirst(current, eligible)
	case len(current.Voters)%2 == 0 && len(eligible) > 0 && len(current.Voters) < c.options.MaxVoters:
		return promoteFirst(current, eligible)
	case isUnresponsive && (len(current.Voters) > target || len(eligible) > 0):
		return current.withLearner(unresponsive), true
	case len(eligible) > 1 && len(current.Voters)+1 < c.options.MaxVoters && c.allVotersRespond(now, current):
		return promoteFirst(current, eligible)
	}
	return Configuration{}, false
}

// promoteFirst makes the first of the given learners a voter. It returns false if there
// is none.
func promoteFirst(current Configuration, learners []ReplicaID) (Configuration, bool) {
	if len(learners) == 0 {
		return Configuration{}, false
	}
	next := current.withoutVM(learners[0].VM)
	next.Voters = append(next.Voters, learners[0])
	slices.SortFunc(next.Voters, func(a, b ReplicaID) int { return cmp.Compare[vm.ID](a.VM, b.VM) })
	return next, true
}

// eligibleLearners returns the learners that may become voters: they have responded
// within the last election timeout, have all committed entries, lack at most
// maxPromotionLag entries and are not about to stop.
func (c *Core) eligibleLearners(now time.Time, configuration Configuration) []ReplicaID {
	var eligible []ReplicaID
	for _, r := range configuration.Learners {
		p, ok := c.leaderState.progress[r]
		if ok && c.isResponsive(now, p) && !now.Before(p.leavingUntil) &&
			p.matchIndex >= c.log.commitIndex && p.matchIndex+maxPromotionLag >= c.log.lastIndex() {
			eligible = append(eligible, r)
		}
	}
	return eligible
}

func (c *Core) isResponsive(now time.Time, p *progress) bool {
	return now.Sub(p.lastResponseAt) <= c.options.ElectionTimeout
}

// allVotersRespond reports whether each voter has acknowledged entries of this leader
// and has responded within the last election timeout.
func (c *Core) allVotersRespond(now time.Time, configuration Configuration) bool {
	for _, r := range configuration.Voters {
		if p, ok := c.leaderState.progress[r]; ok && (p.matchIndex == 0 || !c.isResponsive(now, p)) {
			return false
		}
	}
	return true
}

// leavingVoter returns a voter that has requested to leave.
func (c *Core) leavingVoter(now time.Time, configuration Configuration) (ReplicaID, bool) {
	for _, r := range configuration.Voters {
		if p, ok := c.leaderState.progress[r]; ok && now.Before(p.leavingUntil) {
			return r, true
		}
	}
	return ReplicaID{}, false
}

// longestUnresponsiveVoter returns the voter whose last response is the oldest. It
// returns false if no voter has been unresponsive for longer than ReplaceVoterAfter.
func (c *Core) longestUnresponsiveVoter(now time.Time, configuration Configuration) (ReplicaID, bool) {
	longest, voter := c.options.ReplaceVoterAfter, ReplicaID{}
	for _, r := range configuration.Voters {
		if p, ok := c.leaderState.progress[r]; ok && now.Sub(p.lastResponseAt) > longest {
			longest, voter = now.Sub(p.lastResponseAt), r
		}
	}
	return voter, voter != ReplicaID{}
}

// RequestLeave asks the leader to take the vote of this replica away, because its
// process is about to stop. The VM may be removed for good, and its vote would then be
// missing from every majority until ReplaceVoterAfter has passed. RequestLeave returns
// false if there is nothing to wait for: this replica is not a voter, or no other
// replica can take its place. It is called again until it returns false.
func (c *Core) RequestLeave() bool {
	configuration := c.Configuration()
	self := c.hardState.Self
	isReplaceable := len(configuration.Voters) > c.options.TargetVoters || len(configuration.Learners) > 0
	if c.options.TargetVoters == 0 || !configuration.isVoter(self) || !isReplaceable {
		return false
	}
	if c.leader != (ReplicaID{}) && c.leader != self {
		c.send(c.leader, Message{LeaveRequest: &LeaveRequest{}})
	}
	return true
}

func (c *Core) receiveLeaveRequest(now time.Time, m Message) {
	p, ok := c.leaderState.progress[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.lastResponseAt, p.leavingUntil = now, now.Add(leaveValidity)
	c.adjustVoters(now)
}
