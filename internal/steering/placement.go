package steering

import (
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// otherZonePenalty is added to the load score of an upstream in another zone, as a
	// share of the slots. Answers from another zone take two more link delays and cause
	// transfer costs.
	otherZonePenalty = 0.4
	// warmUpLoadFactor is the assumed slowdown of an upstream during warm-up.
	warmUpLoadFactor = 2.0
	// loadReportLifetime is how long a load report counts: the duration of several
	// requests.
	loadReportLifetime = 300 * time.Millisecond
	// scoreJitter randomizes the selection by balancers that have the same reports, as
	// a share of the slots.
	scoreJitter = 0.1
	// maxPlacementAttempts is the number of upstreams that an opening is sent to while
	// they reject it as busy. The opening is sent to the third one with LastAttempt set;
	// its agent then does not reject it as busy, and the upstream queues it. Each attempt
	// costs a message exchange, and three attempts at the least loaded upstreams nearly
	// always find a free slot if there is one.
	maxPlacementAttempts = 3
	// queuedOpeningRetryInterval is how often the placement of a queued opening is
	// retried.
	queuedOpeningRetryInterval = 100 * time.Millisecond
	// rejectedAvoidTime is how long an upstream gets no opening after a rejection that
	// was not due to its load, unless no other upstream is left.
	rejectedAvoidTime = 500 * time.Millisecond
	// lookupUnresponsiveTime is how long lookups do not wait for an agent that has not
	// responded to one. It is about as long as an agent takes to restart.
	lookupUnresponsiveTime = 2 * time.Second
	// overloadedAvoidTime is how long an upstream gets no opening after it has rejected
	// one as overloaded. Under lasting overload openings are then refused at once,
	// instead of after a message exchange with three upstreams. Two or three requests
	// end in this time.
	overloadedAvoidTime = 50 * time.Millisecond
	// placementTimeDivisor limits placement after an overload rejection: the attempts
	// end after the latency objective of the route divided by this number. After that
	// time a new attempt by the caller has a better chance.
	placementTimeDivisor = 4
	// timedOutAvoidTime is how long an upstream gets no opening after its agent has not
	// responded to one, unless no other upstream is left.
	timedOutAvoidTime = 1500 * time.Millisecond
)

// Upstream is a member of a service, as listed by the directory.
type Upstream struct {
	view.Upstream
	Service service.Name
}

// upstreamState is an upstream with the load reports and failures that this balancer
// has recorded.
type upstreamState struct {
	Upstream
	serviceTag ServiceTag
	// requestsInProgress and openFlows come from the last message of the agent,
	// received at reportedAt.
	requestsInProgress, openFlows int
	reportedAt                    time.Time
	// openingsSinceReport counts the openings sent to it since that message.
	openingsSinceReport int
	// avoidUntil is set after it has rejected an opening or not responded to one.
	avoidUntil time.Time
	// lookupUnresponsiveUntil is set after its agent has not responded to a lookup.
	lookupUnresponsiveUntil time.Time
	// overloadedUntil is set after it has rejected an opening as overloaded.
	overloadedUntil time.Time
}

// updateReport stores the load report that every message of an agent has.
func (u *upstreamState) updateReport(now time.Time, message *Message) {
	u.requestsInProgress, u.openFlows, u.reportedAt, u.openingsSinceReport, u.lookupUnresponsiveUntil = int(message.Load), int(message.Flows), now, 0, time.Time{}
}

// loadScore returns the expected load as a share of the slots. The upstream with the
// lowest score is selected.
func (u *upstreamState) loadScore(now time.Time, b *Balancer) float64 {
	slots := float64(max(u.Slots, 1))
	load := float64(u.openingsSinceReport)
	if age := now.Sub(u.reportedAt); age < loadReportLifetime {
		load += float64(u.requestsInProgress) * (1 - float64(age)/float64(loadReportLifetime))
	}
	if now.Before(u.WarmUpUntil) {
		load = (load + 1) * warmUpLoadFactor
	}
	score := load/slots + b.cfg.Random.Float64()*scoreJitter
	if u.Zone != b.cfg.Zone {
		score += otherZonePenalty
	}
	return score
}

// SetUpstreams replaces the list of upstreams. The recorded state of those that
// remain is kept. complete is set if the list has all running upstreams.
func (b *Balancer) SetUpstreams(list []Upstream, complete bool) {
	b.directoryComplete = b.directoryComplete || complete
	upstreams := make(map[netip.Addr]*upstreamState, len(list))
	b.serviceMembers = map[service.Name][]*upstreamState{}
	for _, listed := range list {
		address := listed.Address.Addr()
		upstream := b.upstreams[address]
		if upstream == nil || upstream.Incarnation != listed.Incarnation || upstream.VM != listed.VM || upstream.Service != listed.Service {
			upstream = &upstreamState{serviceTag: NewServiceTag(listed.Service)}
		}
		upstream.Upstream = listed
		upstreams[address] = upstream
		b.serviceMembers[listed.Service] = append(b.serviceMembers[listed.Service], upstream)
	}
	b.upstreams = upstreams
}

// ReadyUpstreams returns the number of upstreams that accept openings.
func (b *Balancer) ReadyUpstreams() int {
	count := 0
	for _, upstream := range b.upstreams {
		if upstream.AcceptsOpenings() {
			count++
		}
	}
	return count
}

// handleOpening handles a packet that opens a new flow.
func (b *Balancer) handleOpening(now time.Time, route *intent.Route, packet *Packet, data []byte, actions *[]Action) {
	entry := b.flows[packet.Flow]
	if entry != nil && entry.openingSequence == packet.Sequence && entry.upstream != nil && entry.state != stateLookupPending {
		entry.lastPacketAt = now
		b.forward(entry, Repeated, data, actions)
		return
	}
	if entry != nil && entry.openingSequence == packet.Sequence && entry.state == stateOpeningQueued {
		return
	}
	if b.desired == nil {
		// The fabric sends packets here only if no balancer is ready. Callers that are
		// refused at once retry after different delays. Queued callers would all be served
		// at the moment when the desired state arrives.
		b.sendReset(packet, NoDesiredState, actions)
		return
	}
	if route == nil {
		b.sendReset(packet, NoRoute, actions)
		return
	}
	if route.Kind == intent.Upload {
		if !b.uploads.admits(now, &b.egress, route.Objective-openingAge(packet)) {
			b.sendReset(packet, LinkSaturated, actions)
			return
		}
		b.uploads.countOpening(now, packet.Flow)
	}
	entry = b.addFlow(now, packet.Flow)
	entry.openingSequence, entry.openingPacket = packet.Sequence, slices.Clone(data)
	entry.waitAtArrival = openingAge(packet)
	b.placeOpening(now, entry, Placed, actions)
}

// placeOpening sends an opening to the best upstream that it has not been sent to.
func (b *Balancer) placeOpening(now time.Time, entry *flowEntry, reason Reason, actions *[]Action) {
	route := b.routes[entry.key.Virtual]
	if route == nil {
		b.refuseOpening(entry, NoRoute, actions)
		return
	}
	selected, hasMore := b.selectUpstream(now, entry, route)
	if selected == nil && hasMore {
		b.refuseOpening(entry, AllOverloaded, actions)
		return
	}
	if selected == nil {
		b.queueOrRefuse(now, entry, route, actions)
		return
	}
	selected.openingsSinceReport++
	entry.upstream, entry.state = selected, stateOpeningUnconfirmed
	entry.attemptedAgents = append(entry.attemptedAgents, selected.Address.Addr())
	b.setDeadline(entry, now.Add(openingResponseTimeout))
	*actions = append(*actions, Action{
		Kind: Forward, Reason: reason, Flow: entry.key, To: selected.Address.Addr(), Data: entry.openingPacket,
		Header:    ForwardingHeader{Service: selected.serviceTag, LastAttempt: !hasMore, TimeBudget: route.Objective - entry.callerWait(now)},
		Placement: PlacementInfo{Load: selected.requestsInProgress + selected.openingsSinceReport, Slots: selected.Slots, Age: now.Sub(selected.reportedAt), Attempt: len(entry.attemptedAgents)},
	})
}

// selectUpstream returns the best upstream for an opening. If best is set, hasMore
// reports whether the opening may be sent to another upstream after best.
//
// If best is nil, no upstream can get the opening now. hasMore is then set if at least
// one was left out because it rejected an opening as overloaded shortly before. The
// opening is refused in that case. Otherwise it is queued if an upstream may accept it
// soon.
func (b *Balancer) selectUpstream(now time.Time, entry *flowEntry, route *intent.Route) (best *upstreamState, hasMore bool) {
	// another is any upstream other than best that may get the opening.
	var another *upstreamState
	bestScore := 0.0
	members := b.serviceMembers[b.selectService(entry, route)]
	anyAvoided, anyOverloaded := false, false
	for _, upstream := range members {
		if upstream.AcceptsOpenings() && now.Before(upstream.overloadedUntil) {
			anyOverloaded = true
			continue
		}
		if !upstream.AcceptsOpenings() || slices.Contains(entry.attemptedAgents, upstream.Address.Addr()) {
			continue
		}
		if now.Before(upstream.avoidUntil) {
			anyAvoided = true
			continue
		}
		score := upstream.loadScore(now, b)
		if best == nil || score < bestScore {
			best, another, bestScore = upstream, best, score
		} else {
			another = upstream
		}
	}
	if best != nil {
		return best, another != nil && len(entry.attemptedAgents)+1 < maxPlacementAttempts
	}
	if anyOverloaded {
		return nil, true
	}
	if anyAvoided {
		best = b.earliestAvailable(now, entry, members)
	}
	return best, false
}

// earliestAvailable returns the upstream whose avoidance period ends first.
func (b *Balancer) earliestAvailable(now time.Time, entry *flowEntry, members []*upstreamState) *upstreamState {
	var earliest *upstreamState
	for _, upstream := range members {
		if !upstream.AcceptsOpenings() || now.Before(upstream.overloadedUntil) || slices.Contains(entry.attemptedAgents, upstream.Address.Addr()) {
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

// openingSendTimes are the times at which a caller sends the copies of an opening.
// An opening acknowledges nothing. Callers of this platform write the index of the
// copy into its acknowledgement number.
var openingSendTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// openingAge returns how long before this copy the caller sent the first one.
func openingAge(packet *Packet) time.Duration {
	return openingSendTimes[min(int(packet.Ack), len(openingSendTimes)-1)]
}

// callerWait returns how long the caller has waited.
func (e *flowEntry) callerWait(now time.Time) time.Duration {
	return e.waitAtArrival + now.Sub(e.createdAt)
}

// queueOrRefuse handles an opening that no upstream has accepted so far. The opening
// is queued if an upstream may accept it before the caller gives up. Otherwise it is
// refused.
func (b *Balancer) queueOrRefuse(now time.Time, entry *flowEntry, route *intent.Route, actions *[]Action) {
	if b.noUpstreamExpected(entry, route) || now.Sub(entry.createdAt) >= openingLifetime-openingResponseTimeout {
		b.refuseOpening(entry, NoUpstream, actions)
		return
	}
	entry.state, entry.upstream, entry.attemptedAgents = stateOpeningQueued, nil, nil
	b.setDeadline(entry, now.Add(queuedOpeningRetryInterval))
	*actions = append(*actions, Action{Kind: OpeningQueued, Reason: NoneAccepted, Flow: entry.key})
}

// noUpstreamExpected reports whether no upstream of the service can accept the
// opening soon. This requires a complete list of upstreams in which none of the
// service is ready, starting or suspected.
func (b *Balancer) noUpstreamExpected(entry *flowEntry, route *intent.Route) bool {
	if !b.directoryComplete {
		return false
	}
	for _, upstream := range b.serviceMembers[b.selectService(entry, route)] {
		if upstream.Status != view.Left && upstream.Status != view.Leaving && upstream.Status != view.Failed {
			return false
		}
	}
	return true
}

// retryQueuedOpening retries the placement of a queued opening.
func (b *Balancer) retryQueuedOpening(now time.Time, entry *flowEntry, actions *[]Action) {
	b.placeOpening(now, entry, PlacedOnRetry, actions)
}

// RetryPending retries the placement of queued openings after a change of the
// desired state or of the upstreams. directoryCompleted is set if the directory has
// just become complete. In that case the lookups that found no holder are repeated.
func (b *Balancer) RetryPending(now time.Time, directoryCompleted bool, actions *[]Action) {
	first := len(*actions)
	defer func() { b.scheduleEgress(now, first, actions) }()
	for _, entry := range b.flows {
		if entry.state == stateOpeningQueued {
			b.retryQueuedOpening(now, entry, actions)
		}
	}
	if directoryCompleted {
		b.retryFailedLookups(now, actions)
	}
}

// refuseOpening resets the flow. The reset shows the caller that its request has not
// run.
func (b *Balancer) refuseOpening(entry *flowEntry, reason Reason, actions *[]Action) {
	delete(b.flows, entry.key)
	b.uploads.end(entry.key)
	*actions = append(*actions, Action{Kind: Reset, Reason: reason, Flow: entry.key})
}

// handleAccepted records an upstream that has accepted the opening.
func (b *Balancer) handleAccepted(entry *flowEntry, upstream *upstreamState, message *Message) {
	upstream.avoidUntil = time.Time{}
	if entry.state != stateOpeningUnconfirmed {
		return
	}
	entry.acceptances = append(entry.acceptances, acceptance{upstream: upstream, sequence: message.Sequence})
	entry.upstream, entry.deadline = upstream, time.Time{}
}

// handleRejected avoids the upstream for some time and tries another one. An opening
// that was rejected as overloaded is refused if too much of the latency objective has
// passed.
func (b *Balancer) handleRejected(now time.Time, entry *flowEntry, upstream *upstreamState, message *Message, actions *[]Action) {
	switch message.Verdict {
	case NotAccepting, OtherService, StatusUnknown, NoResponse, Refused:
		upstream.avoidUntil = now.Add(rejectedAvoidTime)
	case Overloaded:
		upstream.overloadedUntil = now.Add(overloadedAvoidTime)
	}
	if entry.state != stateOpeningUnconfirmed || entry.upstream != upstream || entry.openingSequence != message.Sequence || len(entry.acceptances) > 0 {
		return
	}
	if route := b.routes[entry.key.Virtual]; message.Verdict == Overloaded && (route == nil || entry.callerWait(now) > route.Objective/placementTimeDivisor) {
		b.refuseOpening(entry, AllOverloaded, actions)
		return
	}
	b.placeOpening(now, entry, PlacedOnRetry, actions)
}

// handleOpeningTimeout tries another upstream if an agent has not responded to an
// opening.
func (b *Balancer) handleOpeningTimeout(now time.Time, entry *flowEntry, actions *[]Action) {
	entry.upstream.avoidUntil = now.Add(timedOutAvoidTime)
	b.placeOpening(now, entry, PlacedOnRetry, actions)
}
