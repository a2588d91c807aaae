package agent

import (
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

// handleOpening handles the opening of a flow that is not held here.
func (c *Core) handleOpening(pkt *callerPacket, out *Actions) {
	if pkt.header.Flags.Has(frame.FlagPlaced) {
		c.recordPlacementNumber(pkt)
		if needsClaim(pkt) && c.forwardToRegisteredHolder(pkt, out) {
			// The opening is a copy of one that another agent has admitted.
			return
		}
		c.admitOrDecline(pkt, out)
		return
	}
	if c.forwardToRegisteredHolder(pkt, out) {
		return
	}
	if pkt.header.Flags.Has(frame.FlagHomeLookup) {
		c.returnHomeMiss(pkt, out)
		return
	}
	placer := pkt.svc.Placer(pkt.hash)
	if placer < 0 {
		c.refuseOpening(pkt, NoUpstream, out)
		return
	}
	if pkt.svc.MemberHashes[placer] != c.selfHash && pkt.header.Hops < frame.MaxHops {
		nextHeader := *pkt.header
		// No registration was found here, but this agent need not be the home. The flag
		// stops the placer from sending a home lookup.
		nextHeader.Flags |= frame.FlagHomeMiss
		c.forwardTo(pkt, placer, nextHeader, out)
		return
	}
	c.placeOpening(pkt, out)
}

// placeOpening selects the upstream for an opening. It is called on the placer.
func (c *Core) placeOpening(pkt *callerPacket, out *Actions) {
	if !pkt.svc.Traffic {
		c.refuseOpening(pkt, TrafficOff, out)
		return
	}
	if c.lookUpAtHome(pkt, out) {
		return
	}
	if pkt.header.Flags.Has(frame.FlagDeclined) {
		c.recordDecline(pkt)
	}
	decision := c.decidePlacement(pkt, out)
	switch decision.outcome {
	case refusePlacement:
		c.refuseOpening(pkt, decision.reason, out)
	case queueOpening:
		out.add(Action{Kind: BufferPacket, Flow: pkt.key, Ticket: decision.ticket})
	case dropDuplicate:
		out.drop(AlreadyQueued)
	case placeOnMember:
		c.sendToChosenMember(pkt, decision.choice, out)
	}
}

// sendToChosenMember forwards an opening to the member that the placer chose.
// If that is this agent, it admits the opening. If it cannot, the opening is
// placed again on another member.
func (c *Core) sendToChosenMember(pkt *callerPacket, chosen placementChoice, out *Actions) {
	upstream := &pkt.svc.Members[chosen.member]
	c.events.recordFlow(pkt.now, event.Placed, pkt.key, string(upstream.VM), c.viewRevision())
	if upstream.Hash == c.selfHash {
		reason := c.admitOpening(pkt, out)
		c.placer.removeUnconfirmed(upstream.VM, chosen.placementNumber)
		if reason == "" {
			return
		}
		if pkt.excludedMembers&c.selfMask(pkt.svc) != 0 {
			c.refuseOpening(pkt, reason, out)
			return
		}
		pkt.excludedMembers |= c.selfMask(pkt.svc)
		c.placeOpening(pkt, out)
		return
	}
	nextHeader := *pkt.header
	nextHeader.Flags |= frame.FlagPlaced
	nextHeader.Flags &^= frame.FlagDeclined
	nextHeader.Placement = chosen.placementNumber
	c.forwardTo(pkt, chosen.member, nextHeader, out)
}

// lookUpAtHome forwards the opening to the home of its flow, which may have a
// registration of the flow. It does so only within GracePeriod after a change
// of the service, while views may differ. Unlike otherViewsExpired this does not
// test the age of this incarnation. A suspected home is skipped: the next member
// in rank keeps a registration as well. It reports whether the opening was
// forwarded.
func (c *Core) lookUpAtHome(pkt *callerPacket, out *Actions) bool {
	if pkt.header.Flags.Has(frame.FlagHomeMiss) || pkt.now.Sub(pkt.svc.ChangedAt) >= GracePeriod {
		return false
	}
	home := pkt.svc.NextMember(pkt.hash, suspectedMembers(pkt.svc))
	if home < 0 || pkt.svc.MemberHashes[home] == c.selfHash {
		return false
	}
	nextHeader := *pkt.header
	nextHeader.Flags |= frame.FlagHomeLookup
	c.forwardTo(pkt, home, nextHeader, out)
	return true
}

// returnHomeMiss returns an opening to the placer after a home lookup that
// found no registration of the flow here.
func (c *Core) returnHomeMiss(pkt *callerPacket, out *Actions) {
	placer := pkt.svc.Placer(pkt.hash)
	if placer < 0 {
		c.refuseOpening(pkt, NoUpstream, out)
		return
	}
	nextHeader := *pkt.header
	nextHeader.Flags &^= frame.FlagHomeLookup
	nextHeader.Flags |= frame.FlagHomeMiss
	c.forwardTo(pkt, placer, nextHeader, out)
}

// admitOrDecline admits an opening here, or declines it and returns it to the
// placer. FlagHomeMiss is set on the return so that the placer sends no home
// lookup, even if there was none before.
func (c *Core) admitOrDecline(pkt *callerPacket, out *Actions) {
	reason := c.admitOpening(pkt, out)
	if reason == "" {
		return
	}
	placer := pkt.svc.Placer(pkt.hash)
	if placer >= 0 && pkt.svc.MemberHashes[placer] == c.selfHash {
		// In the view of the sender another agent is the placer.
		pkt.excludedMembers |= c.selfMask(pkt.svc)
		c.placeOpening(pkt, out)
		return
	}
	if pkt.header.Passes >= maxReturns || placer < 0 {
		c.refuseOpening(pkt, reason, out)
		return
	}
	nextHeader := *pkt.header
	nextHeader.Flags &^= frame.FlagPlaced
	nextHeader.Flags |= frame.FlagDeclined | frame.FlagHomeMiss
	nextHeader.Passes++
	c.forwardTo(pkt, placer, nextHeader, out)
}

// admitOpening creates the flow of an opening if the upstream can accept it. If
// the opening needs a claim, the flow is created after the grant. If the opening
// is not admitted, admitOpening returns the reason. A copy of an opening with a
// pending claim is dropped, and the reason is empty.
func (c *Core) admitOpening(pkt *callerPacket, out *Actions) Reason {
	if c.claims.isPending(pkt.key) {
		out.drop(AlreadyQueued)
		return ""
	}
	selfIndex := pkt.svc.IndexByHash(c.selfHash)
	if selfIndex < 0 || !pkt.svc.Members[selfIndex].AcceptsOpenings() || c.draining.Load() {
		return NotReady
	}
	if upstreamLoad := c.upstreamLoad.Load(); upstreamLoad != nil && upstreamLoad.Shedding {
		return Shedding
	}
	self := &pkt.svc.Members[selfIndex]
	if reason := c.enforceFlowLimits(pkt, self); reason != "" {
		return reason
	}
	f := &flowState{key: pkt.key, hash: pkt.hash, phase: flow.HalfOpen, lastPacketAt: pkt.nowNanos, openedAt: pkt.nowNanos}
	if pkt.svc.Contract.Shape == service.ShapeShortRequests {
		if !c.flows.reserveSlot(self.Slots) {
			return NoSlot
		}
		f.flags |= usesSlot
		c.loadReporter.slotsTakenSinceReport.Add(1)
	}
	if !c.aliases.acquire(f) {
		c.releaseSlot(f)
		return AliasesUsedUp
	}
	if !c.coldGuard.admit(pkt.now, &pkt.svc.Contract) {
		c.releaseReservations(f)
		return WarmingUp
	}
	if needsClaim(pkt) {
		c.bufferForClaim(pkt, f, out)
		return ""
	}
	return c.installFlow(pkt, f, out)
}

// installFlow adds an admitted flow to the table and delivers its opening.
func (c *Core) installFlow(pkt *callerPacket, f *flowState, out *Actions) Reason {
	f.trackCallerSequence(pkt.meta)
	record := f.toRecord(c.cfg.Incarnation)
	if !c.insertFlow(f) {
		c.releaseSlot(f)
		c.aliases.release(f)
		if c.deliverToHeldFlow(pkt, out) == packetHandled {
			return ""
		}
		return FlowLimit
	}
	out.add(Action{Kind: Deliver, Flow: pkt.key, Alias: f.alias, Upstream: c.cfg.Upstream})
	c.registerAdmittedFlow(pkt, record, out)
	return ""
}

// enforceFlowLimits returns the limit that an opening would exceed, if any.
// Half-open flows are evicted to make room for it. Established flows never are.
func (c *Core) enforceFlowLimits(pkt *callerPacket, self *view.Upstream) Reason {
	established, halfOpen := c.flows.counts()
	if halfOpen >= c.cfg.Limits.HalfOpen && !c.evictOldestHalfOpen(pkt.nowNanos+1) {
		return HalfOpenLimit
	}
	if established >= self.Connections {
		return FlowLimit
	}
	if established+halfOpen >= self.Connections && !c.evictOldestHalfOpen(pkt.nowNanos-int64(halfOpenEvictionAge)) {
		return FlowLimit
	}
	return ""
}

// reserveSlot takes a slot if fewer than limit are in use.
func (t *flowTable) reserveSlot(limit int) bool {
	for {
		used := t.usedSlots.Load()
		if used >= int64(limit) {
			return false
		}
		if t.usedSlots.CompareAndSwap(used, used+1) {
			return true
		}
	}
}
