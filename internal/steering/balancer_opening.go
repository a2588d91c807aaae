package steering

import (
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// queuedOpeningRetryInterval is how often the placement of a queued opening is
	// retried.
	queuedOpeningRetryInterval = 100 * time.Millisecond
	// rejectedAvoidTime is how long an upstream gets no opening after a rejection that
	// was not due to its load, unless no other upstream is left.
	rejectedAvoidTime = 500 * time.Millisecond
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
	if b.noZoneInService(entry, route) {
		b.refuseOpening(entry, ZonesOutOfService, actions)
		return
	}
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
// service is ready, starting or suspected in a zone that is in service.
func (b *Balancer) noUpstreamExpected(entry *flowEntry, route *intent.Route) bool {
	if !b.directoryComplete {
		return false
	}
	for _, upstream := range b.serviceMembers[b.selectService(entry, route)] {
		if upstream.mayAcceptSoon() && !b.terms.isOut(upstream.Zone) {
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
	for _, entry := range b.queuedOpenings(now) {
		b.retryQueuedOpening(now, entry, actions)
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
	upstream.warmUp.recordAccepted()
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
	case NotAccepting, OtherService, StatusUnknown, NoResponse, Refused, ZoneOutOfService, ZoneUndetermined:
		upstream.avoidUntil = now.Add(rejectedAvoidTime)
	case Overloaded:
		b.avoidOverloaded(now, entry, upstream)
	case WarmingUp:
		upstream.warmUp.recordRejected(now, b.cfg.Random.Float64())
	}
	if entry.state != stateOpeningUnconfirmed || entry.upstream != upstream || entry.openingSequence != message.Sequence || len(entry.acceptances) > 0 {
		return
	}
	if message.Verdict == Overloaded && !b.triesFurther(now, entry) {
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
