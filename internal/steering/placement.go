package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
)

// maxPlacementAttempts is the number of upstreams that an opening is sent to while
// they reject it as busy. The opening is sent to the third one with LastAttempt set;
// its agent then does not reject it as busy, and the upstream queues it. Each attempt
// costs a message exchange, and three attempts at the least loaded upstreams nearly
// always find a free slot if there is one.
const maxPlacementAttempts = 3

// placeOpening sends an opening to the best upstream that it has not been sent to.
func (b *Balancer) placeOpening(now time.Time, entry *flowEntry, reason Reason, actions *[]Action) {
	route := b.routes[entry.key.Virtual]
	if route == nil {
		b.refuseOpening(entry, NoRoute, actions)
		return
	}
	selected, hasMore, refusal := b.selectUpstream(now, entry, route)
	if refusal != "" {
		b.refuseOpening(entry, refusal, actions)
		return
	}
	if selected == nil {
		b.queueOrRefuse(now, entry, route, actions)
		return
	}
	selected.openingsSinceReport++
	selected.warmUp.recordOpening(now)
	entry.upstream, entry.state = selected, stateOpeningUnconfirmed
	entry.attemptedAgents = append(entry.attemptedAgents, selected.Address.Addr())
	b.setDeadline(entry, now.Add(openingResponseTimeout))
	header := b.newForwardingHeader(entry, selected)
	header.LastAttempt, header.TimeBudget = !hasMore, route.Objective-entry.callerWait(now)
	placement := PlacementInfo{Load: selected.requestsInProgress + selected.openingsSinceReport, Slots: selected.Slots, Age: now.Sub(selected.reportedAt), Attempt: len(entry.attemptedAgents)}
	b.addExpectation(now, selected, &placement)
	*actions = append(*actions, Action{
		Kind: Forward, Reason: reason, Flow: entry.key, To: selected.Address.Addr(), Data: entry.openingPacket,
		Header:    header,
		Placement: placement,
	})
}

// selectUpstream returns the best upstream for an opening. If best is set, hasMore
// reports whether the opening may be sent to another upstream after best.
//
// If best is nil, no upstream can get the opening now. refusal is then set if at least
// one was left out because it rejected an opening as overloaded, or because it is cold,
// shortly before. Openings that wait for cold upstreams would reach them all at once.
// Without a refusal the opening is queued if an upstream may accept it soon.
func (b *Balancer) selectUpstream(now time.Time, entry *flowEntry, route *intent.Route) (best *upstreamState, hasMore bool, refusal Reason) {
	// another is any upstream other than best that may get the opening.
	var another *upstreamState
	bestScore := 0.0
	name := b.selectService(entry, route)
	members, comparison := b.serviceMembers[name], b.compareAnswers(now, name)
	comparison.probes = comparison.usable && comparison.anyAvoided && len(entry.attemptedAgents) == 0 && b.cfg.Random.Float64() < probeShare
	anyAvoided, anyOverloaded, anyWarmingUp := false, false, false
	for _, upstream := range members {
		if excluded := b.exclusionOf(now, upstream, entry); excluded != notExcluded {
			anyOverloaded = anyOverloaded || excluded == excludedOverloaded
			anyAvoided = anyAvoided || excluded == excludedAvoided
			anyWarmingUp = anyWarmingUp || excluded == excludedWarmingUp
			continue
		}
		score := b.placementScore(now, upstream, comparison)
		if best == nil || score < bestScore {
			best, another, bestScore = upstream, best, score
		} else {
			another = upstream
		}
	}
	if best != nil {
		return best, another != nil && len(entry.attemptedAgents)+1 < maxPlacementAttempts, ""
	}
	switch {
	case anyOverloaded:
		return nil, false, AllOverloaded
	case anyAvoided:
		return b.earliestAvailable(now, entry, members), false, ""
	case anyWarmingUp:
		return nil, false, AllWarmingUp
	}
	return nil, false, ""
}

// earliestAvailable returns the upstream whose avoidance period ends first.
func (b *Balancer) earliestAvailable(now time.Time, entry *flowEntry, members []*upstreamState) *upstreamState {
	var earliest *upstreamState
	for _, upstream := range members {
		if b.exclusionOf(now, upstream, entry) != excludedAvoided {
			continue
		}
		if earliest == nil || upstream.avoidUntil.Before(earliest.avoidUntil) {
			earliest = upstream
		}
	}
	return earliest
}

// selectService returns the service for a new flow according to the weights of the
// route. All balancers select the same service for a flow, so that retransmissions
// of its opening go to the same service.
func (b *Balancer) selectService(entry *flowEntry, route *intent.Route) service.Name {
	totalWeight := uint64(0)
	for _, backend := range route.Backends {
		totalWeight += uint64(backend.Weight)
	}
	if totalWeight == 0 {
		return ""
	}
	point := backendHasher.Hash(entry.key) % totalWeight
	for _, backend := range route.Backends {
		if point < uint64(backend.Weight) {
			return backend.Service
		}
		point -= uint64(backend.Weight)
	}
	return ""
}
