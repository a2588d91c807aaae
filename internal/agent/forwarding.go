package agent

import (
	"math/bits"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// handleUnknownFlow handles a packet that opens no flow and whose flow is not
// held here.
func (c *Core) handleUnknownFlow(pkt *callerPacket, out *Actions) {
	if pkt.meta.Flags.Has(packet.RST) && c.cancelQueued(pkt, out) {
		return
	}
	if c.forwardToRegisteredHolder(pkt, out) {
		return
	}
	c.forwardToNextMember(pkt, out)
}

// forwardToRegisteredHolder forwards a packet to the holder that has registered
// the flow here, and sends a hint to the balancer. It returns false if there is
// no such holder or it cannot receive the packet.
func (c *Core) forwardToRegisteredHolder(pkt *callerPacket, out *Actions) bool {
	reg, ok := c.registry.find(flowRef{hash: pkt.hash, key: pkt.key})
	if !ok || pkt.header.Hops >= frame.MaxHops {
		return false
	}
	holder := pkt.svc.Index(reg.holder)
	if holder < 0 {
		return false
	}
	// If the registration has a later incarnation than the failed member, the
	// holder has rejoined and this view is outdated.
	rejoined := reg.record.Incarnation > pkt.svc.Members[holder].Incarnation
	if pkt.svc.Members[holder].Status == view.Failed && !rejoined {
		return c.handleFailedHolder(pkt, out)
	}
	if (!pkt.svc.Members[holder].Reachable() && !rejoined) || pkt.svc.MemberMask(pkt.header.Tried[:])&(1<<uint(holder)) != 0 {
		return false
	}
	nextHeader := *pkt.header
	nextHeader.Flags |= frame.FlagHinted
	nextHeader.Incarnation = uint64(reg.record.Incarnation)
	c.forwardTo(pkt, holder, nextHeader, out)
	c.sendRateLimitedHint(pkt, reg.holder, reg.record.Incarnation, out)
	return true
}

// handleFailedHolder resets the caller of a flow whose holder has failed.
// Openings and datagrams are not reset, because they may be placed on another
// upstream. It reports whether the packet was handled.
func (c *Core) handleFailedHolder(pkt *callerPacket, out *Actions) bool {
	if pkt.meta.IsOpening() || pkt.meta.Protocol != packet.ProtocolTCP {
		return false
	}
	if pkt.meta.Quoted || pkt.meta.Flags.Has(packet.RST) {
		out.drop(UpstreamFailed)
		return true
	}
	c.events.recordFlow(pkt.now, event.Refused, pkt.key, string(UpstreamFailed), c.viewRevision())
	out.add(Action{Kind: ResetCaller, Flow: pkt.key, Reason: UpstreamFailed})
	return true
}

// forwardToNextMember forwards a packet to the next member in the forwarding
// chain of its flow.
func (c *Core) forwardToNextMember(pkt *callerPacket, out *Actions) {
	next := c.nextInChain(pkt)
	if next >= 0 && pkt.header.Hops < frame.MaxHops {
		header := *pkt.header
		header.Flags &^= frame.FlagHinted
		header.Incarnation = 0
		c.forwardTo(pkt, next, header, out)
		return
	}
	c.handleChainEnd(pkt, out)
}

// nextInChain returns the index of the next member in the forwarding chain of a
// packet, or -1. A member that did not answer an earlier attempt may have failed,
// so it comes after the others, but it has not denied the flow. A suspected member
// comes last.
func (c *Core) nextInChain(pkt *callerPacket) int {
	excluded := pkt.svc.MemberMask(pkt.header.Tried[:]) | c.selfMask(pkt.svc)
	suspected := suspectedMembers(pkt.svc)
	unanswered := unansweredMembers(pkt) &^ excluded
	// A member that is asked last must still be able to forward the packet to the
	// registered holder.
	hopsLeft := frame.MaxHops - int(pkt.header.Hops) - 1
	if unanswered != 0 && hopsLeft > bits.OnesCount64(unanswered) {
		if next := pkt.svc.NextMember(pkt.hash, excluded|suspected|unanswered); next >= 0 {
			return next
		}
	}
	if next := pkt.svc.NextMember(pkt.hash, excluded|suspected); next >= 0 {
		return next
	}
	return pkt.svc.NextMember(pkt.hash, excluded)
}

// unansweredMembers returns a bit for each member to which the balancer has sent
// the packet before, without an answer.
func unansweredMembers(pkt *callerPacket) uint64 {
	var mask uint64
	for range pkt.header.Flags.Attempts() {
		i := pkt.svc.NextMember(pkt.hash, mask)
		if i < 0 {
			break
		}
		mask |= 1 << uint(i)
	}
	return mask
}

// suspectedMembers returns a bit for each suspected member.
func suspectedMembers(svc *view.Service) uint64 {
	var mask uint64
	for i := range svc.Members {
		if svc.Members[i].Status == view.Suspected {
			mask |= 1 << uint(i)
		}
	}
	return mask
}

// handleChainEnd handles a packet for which no member of the chain has a flow.
// It is dropped within GracePeriod after a change of the service or while a
// member is starting or suspected. The sender retransmits it. Unlike
// otherViewsExpired this does not test the age of this incarnation.
func (c *Core) handleChainEnd(pkt *callerPacket, out *Actions) {
	if pkt.header.Flags.Has(frame.FlagOpening) && pkt.meta.IsOpening() {
		c.returnToPlacer(pkt, out)
		return
	}
	if pkt.meta.Quoted || pkt.meta.Flags.Has(packet.RST) {
		out.drop(UnknownFlow)
		return
	}
	if pkt.now.Sub(pkt.svc.ChangedAt) < GracePeriod || hasUncertainMember(pkt.svc) {
		out.drop(InGracePeriod)
		return
	}
	if pkt.meta.Protocol == packet.ProtocolUDP {
		out.drop(UnknownFlow)
		return
	}
	out.add(Action{Kind: ResetCaller, Flow: pkt.key, Reason: UnknownFlow})
}

// returnToPlacer returns an opening to the placer after no member of the
// forwarding chain had its flow, up to maxReturns times. FlagHomeMiss is set
// although no home lookup took place: it stops the placer from sending one.
func (c *Core) returnToPlacer(pkt *callerPacket, out *Actions) {
	placer := pkt.svc.Placer(pkt.hash)
	if placer < 0 || pkt.header.Passes >= maxReturns {
		c.refuseOpening(pkt, NoUpstream, out)
		return
	}
	nextHeader := *pkt.header
	nextHeader.Flags |= frame.FlagHomeMiss
	nextHeader.Passes++
	c.forwardTo(pkt, placer, nextHeader, out)
}

// hasUncertainMember reports whether a member is starting or suspected. It may
// hold flows that no other member can see.
func hasUncertainMember(svc *view.Service) bool {
	for i := range svc.Members {
		s := svc.Members[i].Status
		if s == view.Starting || s == view.Suspected {
			return true
		}
	}
	return false
}

// selfMask returns the bit of this agent in a set of members.
func (c *Core) selfMask(svc *view.Service) uint64 {
	i := svc.IndexByHash(c.selfHash)
	if i < 0 {
		return 0
	}
	return 1 << uint(i)
}

// forwardTo forwards the packet to a member of the service. It adds this agent
// to the members that the packet has passed.
func (c *Core) forwardTo(pkt *callerPacket, member int, header frame.Header, out *Actions) {
	if int(header.Hops) < len(header.Tried) {
		header.Tried[header.Hops] = uint32(c.selfHash)
	}
	header.Hops++
	if !header.Flags.Has(frame.FlagHinted) {
		header.Incarnation = 0
	}
	upstream := &pkt.svc.Members[member]
	out.add(Action{Kind: Forward, Flow: pkt.key, To: upstream.Address, ToVM: upstream.VM, Header: header})
}

// The rate of hints is limited per agent. With hundreds of balancers a flow
// would otherwise cost a hint to each of them. Without a hint a packet costs
// one more hop.
const (
	hintsPerSecond = 5
	hintBurst      = 50
)

// sendRateLimitedHint sends the holder of the flow to the balancer that
// received the packet from the caller.
func (c *Core) sendRateLimitedHint(pkt *callerPacket, holder vm.ID, incarnation vm.Incarnation, out *Actions) {
	if c.hintLimiter.AllowN(pkt.now, 1) {
		c.sendHint(pkt.header, pkt.key, holder, incarnation, out)
	}
}

// sendHintAfterAttempts sends a hint for a held flow whose packet the balancer
// had to send to several members. Later packets then need no attempts. A registrar
// that has forwarded the packet sent a hint already.
func (c *Core) sendHintAfterAttempts(pkt *callerPacket, out *Actions) {
	if pkt.header.Flags.Attempts() > 0 && !pkt.header.Flags.Has(frame.FlagHinted) {
		c.sendRateLimitedHint(pkt, c.cfg.VM, c.cfg.Incarnation, out)
	}
}

// sendHint sends a hint with the holder of a flow to the balancer of a frame.
// An empty holder deletes the hint of the balancer.
func (c *Core) sendHint(header *frame.Header, key flow.Key, holder vm.ID, incarnation vm.Incarnation, out *Actions) {
	address, ok := c.viewState.Load().view.BalancerAddress(header.Origin)
	if !ok {
		return
	}
	out.add(Action{Kind: Send, To: address, Message: &peer.Message{
		Hint: &peer.Hint{Key: key, Holder: holder, Incarnation: incarnation, Epoch: header.Epoch},
	}})
}

// isStaleFrame reports whether a frame was sent to a previous incarnation of
// this agent of which no flow was restored here. During a recovery no frame is
// stale.
func (c *Core) isStaleFrame(header *frame.Header) bool {
	return header.Incarnation != 0 && header.Incarnation < c.oldestIncarnation.Load() && !c.recovery.active.Load()
}

// dropStaleFrame drops a stale frame and deletes the hint by which the balancer
// selected this agent.
func (c *Core) dropStaleFrame(header *frame.Header, meta *packet.Meta, out *Actions) {
	c.sendHint(header, meta.CallerKey(), "", 0, out)
	out.drop(StaleIncarnation)
}
