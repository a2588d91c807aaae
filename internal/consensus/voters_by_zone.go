package consensus

import (
	"cmp"
	"maps"
	"slices"

	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// zoneRule counts how many voters are missing from a majority after the loss of
// availability zones.
//
// Load pattern: a zone loses power. With two voters of three, or three of five, in that
// zone no change is accepted until it is back. Voters were added and replaced in the order
// in which their logs were complete, and successors of removed VMs filled up one zone.
type zoneRule struct {
	// maxLosses is the number of zones that may be lost at the same time. If it is zero,
	// the rule allows every set of voters.
	maxLosses int
	// zones has the zones that are known. A replica of unknown zone counts as a zone of
	// its own, so that missing information changes no voters.
	zones map[vm.ID]zone.ID
	// absent voters are about to stop or have not responded for ReplaceVoterAfter.
	absent map[ReplicaID]bool
}

func (z *zoneRule) zoneOf(r ReplicaID) zone.ID {
	if known, ok := z.zones[r.VM]; ok {
		return known
	}
	return zone.ID{Name: string(r.VM)}
}

// shortfall returns how many voters are missing from a majority after the loss of the
// zones with the most voters that are present. It is zero if the majority remains.
func (z *zoneRule) shortfall(voters []ReplicaID) int {
	if z.maxLosses == 0 {
		return 0
	}
	remaining, perZone := 0, map[zone.ID]int{}
	for _, r := range voters {
		if !z.absent[r] {
			remaining++
			perZone[z.zoneOf(r)]++
		}
	}
	counts := slices.Sorted(maps.Values(perZone))
	for _, lost := range counts[max(0, len(counts)-z.maxLosses):] {
		remaining -= lost
	}
	return max(0, Configuration{Voters: voters}.quorum()-remaining)
}

// voterPlan decides on the next change of the voters. It is a function of its fields.
type voterPlan struct {
	zoneRule
	self    ReplicaID
	current Configuration
	// target and limit are TargetVoters and MaxVoters.
	target, limit int
	// eligible learners may become voters now. Pending learners lack some entries.
	eligible, pending []ReplicaID
	// leaving voters are about to stop.
	leaving []ReplicaID
	// unresponsive voters have not responded for ReplaceVoterAfter, longest first.
	unresponsive []ReplicaID
	// allRespond is set if each voter has responded within the last election timeout.
	allRespond bool
}

// next returns the configuration that follows from the plan. It returns false if the
// voters need no change. In the order of precedence:
//
//   - A voter that is about to stop becomes a learner if TargetVoters others remain.
//   - A learner that is eligible for promotion becomes a voter while there are fewer than
//     TargetVoters, or in place of a voter that is about to stop.
//   - An even number of voters grows by an eligible learner, up to MaxVoters. It needs a
//     larger majority than the odd number below it and tolerates no more losses.
//   - A voter that has not responded for ReplaceVoterAfter becomes a learner if an
//     eligible learner can take its place, or if TargetVoters others remain.
//   - If the loss of zones would end the majority, a voter of the zone with the most
//     voters is replaced (reduceShortfall).
//   - While all voters respond, eligible learners become voters in pairs, up to
//     MaxVoters. This answers removals of several VMs whose successors already run: a
//     majority that counts the successors survives them, however close they are.
func (p *voterPlan) next() (Configuration, bool) {
	voters := len(p.current.Voters)
	if p.target == 0 || voters < p.target {
		return p.growToTarget()
	}
	isLeaving, isUnresponsive := len(p.leaving) > 0, len(p.unresponsive) > 0
	switch {
	case isLeaving && voters > p.target:
		return p.current.withLearner(p.leaving[0]), true
	case isLeaving && len(p.eligible) > 0:
		return p.promoteBest()
	case voters%2 == 0 && voters < p.limit && p.prefersGrowth():
		return p.promoteBest()
	case isUnresponsive && (voters > p.target || len(p.eligible) > 0):
		return p.current.withLearner(p.replaceableVoter()), true
	}
	if next, ok := p.reduceShortfall(); ok {
		return next, true
	}
	if len(p.eligible) > 1 && voters+1 < p.limit && p.allRespond && p.allowsPair() {
		return p.promoteBest()
	}
	return Configuration{}, false
}

// growToTarget adds voters while there are fewer than TargetVoters. From an odd number that
// survives the loss of a zone, one voter more may not lead to a number that does so as
// well: it tolerates no more losses and needs a larger majority. Then two are added
// directly after each other, or none.
func (p *voterPlan) growToTarget() (Configuration, bool) {
	next, ok := p.promoteBest()
	switch {
	case !ok:
		return p.returnToOddNumber()
	case len(p.eligible) == 1 && p.shortfall(p.current.Voters) == 0 && p.shortfall(next.Voters) > 0:
		return Configuration{}, false
	}
	return next, true
}

// returnToOddNumber gives up the last voter that was added if the second one does not
// follow and the loss of a zone would end the majority.
func (p *voterPlan) returnToOddNumber() (Configuration, bool) {
	if len(p.current.Voters)%2 != 0 || !p.allRespond || len(p.pending) > 0 || p.shortfall(p.current.Voters) == 0 {
		return Configuration{}, false
	}
	voter, shortfall := p.bestDemotion(p.current.Voters)
	return p.current.withLearner(voter), shortfall == 0
}

// reduceShortfall replaces a voter of a crowded zone, one change at a time. No change lets
// a loss of VMs or of zones end the majority that would not have ended it before:
//
//   - From an odd number, a learner of another zone is promoted. The majority grows by one,
//     and so does the number of voters that remain after any loss of the crowded zone.
//   - From an even number, a voter of the crowded zone becomes a learner. The majority
//     shrinks by one.
//   - From an odd number above TargetVoters, two voters of the crowded zone become
//     learners if no learner of another zone is eligible.
func (p *voterPlan) reduceShortfall() (Configuration, bool) {
	voters := p.current.Voters
	shortfall := p.shortfall(voters)
	if shortfall == 0 {
		return Configuration{}, false
	}
	demoted, afterDemotion := p.bestDemotion(voters)
	if len(voters)%2 == 0 {
		isGrowing := len(voters) < p.limit && slices.ContainsFunc(p.pending, func(r ReplicaID) bool {
			return p.shortfall(withVoter(voters, r)) <= afterDemotion
		})
		return p.current.withLearner(demoted), afterDemotion < shortfall && !isGrowing
	}
	if learner, ok := p.bestLearner(voters, p.eligible); ok && len(voters) <= max(p.limit, p.target) {
		if _, afterSwap := p.bestDemotion(withVoter(voters, learner)); afterSwap < shortfall {
			return p.promoteBest()
		}
	}
	if len(voters) > p.target && p.allRespond {
		_, afterSecond := p.bestDemotion(withoutVoter(voters, demoted))
		return p.current.withLearner(demoted), afterSecond < shortfall
	}
	return Configuration{}, false
}

// prefersGrowth reports whether an even number of voters should grow by an eligible learner.
// If the loss of zones would end the majority afterwards, and not after the demotion of a
// voter, it should not.
func (p *voterPlan) prefersGrowth() bool {
	learner, ok := p.bestLearner(p.current.Voters, p.eligible)
	if !ok || p.maxLosses == 0 {
		return ok
	}
	_, afterDemotion := p.bestDemotion(p.current.Voters)
	return p.shortfall(withVoter(p.current.Voters, learner)) <= min(p.shortfall(p.current.Voters), afterDemotion)
}

// allowsPair reports whether the loss of zones does not end the majority of the voters and
// two eligible learners unless it ends the present one.
func (p *voterPlan) allowsPair() bool {
	first, _ := p.bestLearner(p.current.Voters, p.eligible)
	withFirst := withVoter(p.current.Voters, first)
	second, _ := p.bestLearner(withFirst, withoutVoter(p.eligible, first))
	return p.shortfall(withVoter(withFirst, second)) <= p.shortfall(p.current.Voters)
}

// promoteBest makes the best eligible learner a voter. It returns false if there is none.
func (p *voterPlan) promoteBest() (Configuration, bool) {
	learner, ok := p.bestLearner(p.current.Voters, p.eligible)
	if !ok {
		return Configuration{}, false
	}
	next := p.current.withoutVM(learner.VM)
	next.Voters = withVoter(next.Voters, learner)
	return next, true
}

// bestLearner returns the learner that leaves the smallest shortfall as a voter, with and
// without the absent voters, and then the one whose zone has the fewest voters. It returns
// false if there are no learners.
func (p *voterPlan) bestLearner(voters, learners []ReplicaID) (ReplicaID, bool) {
	if len(learners) == 0 {
		return ReplicaID{}, false
	}
	if p.maxLosses == 0 {
		return learners[0], true
	}
	all := zoneRule{maxLosses: p.maxLosses, zones: p.zones}
	rank := func(r ReplicaID) [3]int {
		next := withVoter(voters, r)
		return [3]int{p.shortfall(next), all.shortfall(next), p.votersInZone(voters, p.zoneOf(r))}
	}
	return slices.MinFunc(learners, func(a, b ReplicaID) int {
		rankOfA, rankOfB := rank(a), rank(b)
		return slices.Compare(rankOfA[:], rankOfB[:])
	}), true
}

// bestDemotion returns the voter whose demotion leaves the smallest shortfall, and that
// shortfall. Absent voters are preferred, then those of the zone with the most voters. This
// replica leads and is not chosen.
func (p *voterPlan) bestDemotion(voters []ReplicaID) (ReplicaID, int) {
	rank := func(r ReplicaID) [3]int {
		isPresent := 1
		if p.absent[r] {
			isPresent = 0
		}
		return [3]int{p.shortfall(withoutVoter(voters, r)), isPresent, -p.votersInZone(voters, p.zoneOf(r))}
	}
	others := withoutVoter(voters, p.self)
	if len(others) == 0 {
		return p.self, p.shortfall(voters)
	}
	best := slices.MinFunc(others, func(a, b ReplicaID) int {
		rankOfA, rankOfB := rank(a), rank(b)
		return slices.Compare(rankOfA[:], rankOfB[:])
	})
	return best, rank(best)[0]
}

// replaceableVoter returns the unresponsive voter whose replacement by the best eligible
// learner leaves the smallest shortfall when all voters are present again. Of several it
// returns the one that has been unresponsive for longest.
func (p *voterPlan) replaceableVoter() ReplicaID {
	if p.maxLosses == 0 {
		return p.unresponsive[0]
	}
	all := zoneRule{maxLosses: p.maxLosses, zones: p.zones}
	shortfall := func(r ReplicaID) int {
		remaining := withoutVoter(p.current.Voters, r)
		if learner, ok := p.bestLearner(remaining, p.eligible); ok {
			remaining = withVoter(remaining, learner)
		}
		return all.shortfall(remaining)
	}
	return slices.MinFunc(p.unresponsive, func(a, b ReplicaID) int { return cmp.Compare(shortfall(a), shortfall(b)) })
}

func (z *zoneRule) votersInZone(voters []ReplicaID, id zone.ID) int {
	count := 0
	for _, r := range voters {
		if z.zoneOf(r) == id {
			count++
		}
	}
	return count
}

// withVoter returns a copy of the voters with one more, in the order of the VM names.
func withVoter(voters []ReplicaID, r ReplicaID) []ReplicaID {
	next := append(slices.Clone(voters), r)
	slices.SortFunc(next, func(a, b ReplicaID) int { return cmp.Compare(a.VM, b.VM) })
	return next
}

func withoutVoter(voters []ReplicaID, r ReplicaID) []ReplicaID {
	return slices.DeleteFunc(slices.Clone(voters), func(other ReplicaID) bool { return other == r })
}
