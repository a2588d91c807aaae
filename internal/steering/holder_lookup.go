package steering

import (
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
)

// backendHasher distributes flows over the services of a route. It needs no secret:
// a caller that selects its port to get a certain service gets one that the route
// allows anyway.
var backendHasher = flow.Hasher{K0: 1, K1: 2}

// holderLookup is the state of the lookup of one flow.
type holderLookup struct {
	scope lookupScope
	// batchID is the lookup ID of the batch that has the flow.
	batchID uint32
	// notResponding lists the agents that have not responded to the lookup requests.
	// currentCandidates lists those that have responded FlowUndetermined. Once a packet
	// was sent to them, it lists those that have not denied the flow since.
	notResponding     []*upstreamState
	currentCandidates []*upstreamState
	// deferredCandidates lists undetermined agents that get a packet only if the current
	// candidates do not hold the flow. timedOutCandidates lists those that got a packet
	// and did not report in time whether they hold the flow.
	deferredCandidates []*upstreamState
	timedOutCandidates []*upstreamState
	// smallestPacketIndex is the index of the smallest buffered packet, which is sent to
	// candidates.
	smallestPacketIndex int
}

// startLookup buffers the packet and queues a lookup of the holder of its flow.
func (b *Balancer) startLookup(now time.Time, entry *flowEntry, packet *Packet, data []byte, actions *[]Action) {
	entry.callerAck = packet.Ack
	if data != nil {
		b.bufferPacket(entry, data, actions)
	}
	b.queueLookup(now, entry, actions)
}

// anyMayRespond reports whether one of these agents may still respond. Agents that
// the directory lists as failed are excluded: they have not responded for seconds. A
// flow that such an agent holds cannot be served, and its caller is better served by
// a new flow.
func anyMayRespond(agents []*upstreamState) bool {
	return slices.ContainsFunc(agents, func(upstream *upstreamState) bool { return upstream.Status != view.Failed })
}

// setHolder ends the lookup and forwards the buffered packets to the holder.
func (b *Balancer) setHolder(now time.Time, entry *flowEntry, upstream *upstreamState, reason Reason, actions *[]Action) {
	if entry.state == stateCandidatesTried && len(entry.bufferedPackets) > 0 {
		// The holder already got this packet as a candidate.
		entry.bufferedPackets = slices.Delete(entry.bufferedPackets, entry.lookup.smallestPacketIndex, entry.lookup.smallestPacketIndex+1)
	}
	entry.state, entry.upstream, entry.lookup = stateHolderKnown, upstream, nil
	entry.deadline, entry.deniedByAll, entry.notFoundAt, entry.failedLookups = time.Time{}, false, time.Time{}, 0
	firstAction := len(*actions)
	b.forwardBuffered(entry, reason, actions)
	if firstAction < len(*actions) {
		(*actions)[firstAction].Waited = now.Sub(entry.firstLookupAt)
	}
	entry.firstLookupAt = time.Time{}
}

// forwardBuffered forwards the remaining buffered packets to the holder.
func (b *Balancer) forwardBuffered(entry *flowEntry, reason Reason, actions *[]Action) {
	for _, data := range entry.bufferedPackets {
		b.forward(entry, reason, data, actions)
	}
	entry.bufferedPackets = nil
}

// finishLookup is called when all responses have arrived or the requests have timed
// out. It sends a buffered packet to each undetermined agent. The upstream of that
// agent returns the packet unless it holds the flow.
//
// In the first lookup no packet is sent while a response is expected from another
// agent, because that agent may be the holder. Without undetermined agents or
// buffered packets the lookup ends without a holder.
func (b *Balancer) finishLookup(now time.Time, entry *flowEntry, responseExpected bool, actions *[]Action) {
	if len(entry.lookup.currentCandidates) == 0 || len(entry.bufferedPackets) == 0 || (entry.failedLookups == 0 && responseExpected) {
		b.handleNoHolder(now, entry, actions)
		return
	}
	for i, data := range entry.bufferedPackets {
		if len(data) < len(entry.bufferedPackets[entry.lookup.smallestPacketIndex]) {
			entry.lookup.smallestPacketIndex = i
		}
	}
	b.deferUnlikelyCandidates(entry)
	b.forwardToCandidates(now, entry, actions)
}

// deferUnlikelyCandidates defers agents in other zones and agents of services that
// the route does not use now. They hold the flow only if it crossed zones or was
// opened before its route changed.
//
// It covers the restart of all balancers and agents while the upstreams keep
// running. Every agent is then undetermined about every flow. Sending a packet to 50
// of them for each flow would use more of a slow link than the packets of callers.
func (b *Balancer) deferUnlikelyCandidates(entry *flowEntry) {
	route := b.routes[entry.key.Virtual]
	if route == nil {
		return
	}
	var likely, deferred []*upstreamState
	for _, upstream := range entry.lookup.currentCandidates {
		if routesTo(route, upstream.Service) && upstream.Zone == b.cfg.Zone {
			likely = append(likely, upstream)
		} else {
			deferred = append(deferred, upstream)
		}
	}
	if len(likely) > 0 {
		entry.lookup.currentCandidates, entry.lookup.deferredCandidates = likely, deferred
	}
}

// forwardToCandidates sends the smallest buffered packet to the current candidates.
func (b *Balancer) forwardToCandidates(now time.Time, entry *flowEntry, actions *[]Action) {
	entry.state = stateCandidatesTried
	b.setDeadline(entry, now.Add(candidateTimeout))
	for _, upstream := range entry.lookup.currentCandidates {
		*actions = append(*actions, Action{
			Kind: Forward, Reason: CandidateTried, Flow: entry.key, To: upstream.Address.Addr(), Data: entry.bufferedPackets[entry.lookup.smallestPacketIndex], Header: b.newForwardingHeader(entry, upstream),
		})
	}
}

// tryDeferredCandidates continues with the deferred agents. It reports whether there
// are any.
func (b *Balancer) tryDeferredCandidates(now time.Time, entry *flowEntry, actions *[]Action) bool {
	if len(entry.lookup.deferredCandidates) == 0 {
		return false
	}
	entry.lookup.currentCandidates, entry.lookup.deferredCandidates = entry.lookup.deferredCandidates, nil
	b.forwardToCandidates(now, entry, actions)
	return true
}

// handleHolderFound sets the holder of a flow if it is unknown. It is called when an
// agent has reported that its upstream holds the flow or has sent a packet of it.
// Such a report is authoritative, even if it is late.
func (b *Balancer) handleHolderFound(now time.Time, entry *flowEntry, upstream *upstreamState, actions *[]Action) {
	if entry.state == stateLookupPending || entry.state == stateCandidatesTried || entry.state == stateHolderNotFound {
		b.setHolder(now, entry, upstream, HolderFound, actions)
	}
}

// markLookupUnresponsive marks the agents that have not responded to a lookup. It
// reports whether a response was expected from one of them. An agent that was
// marked before is not expected to respond: its VM may be gone without notice, and
// must not delay every lookup until the directory lists it as failed.
func (b *Balancer) markLookupUnresponsive(now time.Time, agents []*upstreamState) (responseExpected bool) {
	for _, upstream := range agents {
		if upstream.Status != view.Failed && !now.Before(upstream.lookupUnresponsiveUntil) {
			responseExpected = true
		}
		upstream.lookupUnresponsiveUntil = now.Add(lookupUnresponsiveTime)
	}
	return responseExpected
}

// finishCandidates ends the wait for the current candidates and continues with the
// deferred ones. If none are deferred and exactly one agent has not denied the flow,
// that agent is the holder. An agent that the directory lists as failed and that has
// not responded is not counted.
func (b *Balancer) finishCandidates(now time.Time, entry *flowEntry, actions *[]Action) {
	entry.lookup.timedOutCandidates = append(entry.lookup.timedOutCandidates, entry.lookup.currentCandidates...)
	entry.lookup.currentCandidates = nil
	if b.tryDeferredCandidates(now, entry, actions) {
		return
	}
	if len(entry.lookup.timedOutCandidates) != 1 || anyMayRespond(entry.lookup.notResponding) {
		b.handleNoHolder(now, entry, actions)
		return
	}
	b.setHolder(now, entry, entry.lookup.timedOutCandidates[0], HolderFound, actions)
}

// handleNoHolder ends a lookup that has found no holder. It resets the flow only if
// two lookups in sequence have ended like this. In both, the directory must have
// been complete and every agent must have denied the flow. An agent that the
// directory lists as failed may be missing. The second lookup starts
// confirmationDelay after the first one. It needs no packet of the caller, which
// would come only with a retransmission.
//
// A narrow lookup without a holder is repeated at all agents first.
func (b *Balancer) handleNoHolder(now time.Time, entry *flowEntry, actions *[]Action) {
	if b.widenLookup(entry) {
		return
	}
	uncertainty := b.uncertaintyReason(entry)
	certain := uncertainty == "" && !entry.resetByCaller
	var possibleHolder netip.Addr
	switch uncertainty {
	case AgentNotResponding:
		possibleHolder = entry.lookup.notResponding[0].Address.Addr()
	case AgentUndetermined:
		possibleHolder = slices.Concat(entry.lookup.currentCandidates, entry.lookup.timedOutCandidates)[0].Address.Addr()
	}
	entry.lookup, entry.upstream = nil, nil
	if certain && entry.deniedByAll {
		delete(b.flows, entry.key)
		*actions = append(*actions, Action{Kind: Reset, Reason: NoHolder, Flow: entry.key, Sequence: entry.callerAck, Waited: now.Sub(entry.firstLookupAt)})
		return
	}
	entry.state, entry.deniedByAll, entry.notFoundAt, entry.deadline = stateHolderNotFound, certain, now, time.Time{}
	entry.failedLookups++
	if entry.resetByCaller {
		uncertainty = NotHeld
	}
	if certain {
		b.setDeadline(entry, now.Add(confirmationDelay))
		return
	}
	entry.bufferedPackets = nil
	*actions = append(*actions, Action{Kind: Drop, Reason: uncertainty, Flow: entry.key, To: possibleHolder})
}

// uncertaintyReason returns why an upstream may hold the flow although none was
// found, or an empty reason if none can.
func (b *Balancer) uncertaintyReason(entry *flowEntry) Reason {
	switch {
	case !b.directoryComplete:
		return DirectoryIncomplete
	case anyMayRespond(entry.lookup.notResponding):
		return AgentNotResponding
	case len(entry.lookup.currentCandidates)+len(entry.lookup.timedOutCandidates) > 0:
		return AgentUndetermined
	}
	return ""
}

// retryFailedLookups repeats the lookups that found no holder while the directory
// was incomplete, if their callers still send.
func (b *Balancer) retryFailedLookups(now time.Time, actions *[]Action) {
	for _, entry := range b.flows {
		if entry.state == stateHolderNotFound && !entry.resetByCaller && now.Sub(entry.lastPacketAt) < maxLookupRetryDelay {
			b.startLookup(now, entry, &Packet{Flow: entry.key, Ack: entry.callerAck}, nil, actions)
		}
	}
}

// handleFlowNotFound handles the report of an agent that its upstream does not hold a
// flow.
func (b *Balancer) handleFlowNotFound(now time.Time, entry *flowEntry, upstream *upstreamState, message *Message, actions *[]Action) {
	switch entry.state {
	case stateCandidatesTried:
		isSender := func(other *upstreamState) bool { return other.isAtAgentOf(upstream) }
		entry.lookup.currentCandidates = slices.DeleteFunc(entry.lookup.currentCandidates, isSender)
		entry.lookup.timedOutCandidates = slices.DeleteFunc(entry.lookup.timedOutCandidates, isSender)
		if len(entry.lookup.currentCandidates) == 0 && !b.tryDeferredCandidates(now, entry, actions) {
			b.finishCandidates(now, entry, actions)
			b.startBatch(now, actions)
		}
	case stateHolderKnown:
		// The record of the upstream may have been replaced since, because it restarted.
		if entry.upstream.isAtAgentOf(upstream) {
			b.startLookup(now, entry, &Packet{Flow: entry.key, Ack: message.Ack}, nil, actions)
		}
	case stateOpeningUnconfirmed, stateOpeningQueued, stateLookupPending, stateHolderNotFound:
	}
}

// isAtAgentOf reports whether two upstreams, which may be records of different times, are
// at the same agent.
func (u *upstreamState) isAtAgentOf(other *upstreamState) bool {
	return u.Address.Addr() == other.Address.Addr()
}
