package consensus

import (
	"slices"
	"time"
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
// replicas. It returns false if the voters need no change.
func (c *Core) nextVoterChange(now time.Time, current Configuration) (Configuration, bool) {
	plan := voterPlan{
		zoneRule: zoneRule{maxLosses: c.options.MaxZoneLosses, zones: c.zones, absent: map[ReplicaID]bool{}},
		self:     c.hardState.Self, current: current, target: c.options.TargetVoters, limit: c.options.MaxVoters,
		eligible: c.eligibleLearners(now, current), pending: c.pendingLearners(now, current),
		leaving: c.leavingVoters(now, current), unresponsive: c.unresponsiveVoters(now, current), allRespond: c.allVotersRespond(now, current),
	}
	for _, r := range slices.Concat(plan.leaving, plan.unresponsive) {
		plan.absent[r] = true
	}
	return plan.next()
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

// pendingLearners returns the learners that respond, are not about to stop and lack at most
// maxPromotionLag entries as far as the leader knows.
func (c *Core) pendingLearners(now time.Time, configuration Configuration) []ReplicaID {
	var pending []ReplicaID
	for _, r := range configuration.Learners {
		p, ok := c.leaderState.progress[r]
		if ok && c.isResponsive(now, p) && !now.Before(p.leavingUntil) &&
			(p.matchIndex == 0 || p.matchIndex+maxPromotionLag >= c.log.lastIndex()) {
			pending = append(pending, r)
		}
	}
	return pending
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

// leavingVoters returns the voters that have requested to leave.
func (c *Core) leavingVoters(now time.Time, configuration Configuration) []ReplicaID {
	var leaving []ReplicaID
	for _, r := range configuration.Voters {
		if p, ok := c.leaderState.progress[r]; ok && now.Before(p.leavingUntil) {
			leaving = append(leaving, r)
		}
	}
	return leaving
}

// unresponsiveVoters returns the voters that have been unresponsive for longer than
// ReplaceVoterAfter. The first one is the one whose last response is the oldest.
func (c *Core) unresponsiveVoters(now time.Time, configuration Configuration) []ReplicaID {
	var unresponsive []ReplicaID
	for _, r := range configuration.Voters {
		if p, ok := c.leaderState.progress[r]; ok && now.Sub(p.lastResponseAt) > c.options.ReplaceVoterAfter {
			unresponsive = append(unresponsive, r)
		}
	}
	slices.SortStableFunc(unresponsive, func(a, b ReplicaID) int {
		return c.leaderState.progress[a].lastResponseAt.Compare(c.leaderState.progress[b].lastResponseAt)
	})
	return unresponsive
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
