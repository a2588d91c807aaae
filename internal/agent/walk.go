package agent

import (
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// handleUnknown decides about a packet whose flow is not held here and that
// does not open one.
func (c *Core) handleUnknown(a *arrival, out *Actions) {
	if a.m.Flags.Has(packet.RST) && c.cancelWaiting(a, out) {
		return
	}
	if c.forwardRegistered(a, out) {
		return
	}
	c.forwardNext(a, out)
}

// forwardRegistered sends a packet to the holder that has registered the flow
// here, and hints the balancer. It reports whether there is one.
func (c *Core) forwardRegistered(a *arrival, out *Actions) bool {
	reg, ok := c.peers.find(flowRef{hash: a.hash, key: a.key})
	if !ok || a.h.Hops >= frame.MaxHops {
		return false
	}
	i := a.svc.Index(reg.holder)
	if i < 0 {
		return false
	}
	// A registration by a later life than the one that failed shows that the
	// holder has returned and this view is late.
	returned := reg.record.Incarnation > a.svc.Members[i].Incarnation
	if a.svc.Members[i].Status == view.Failed && !returned {
		return c.resetLost(a, out)
	}
	if (!a.svc.Members[i].Reachable() && !returned) || a.svc.Tried(a.h.Tried[:])&(1<<uint(i)) != 0 {
		return false
	}
	next := *a.h
	next.Flags |= frame.FlagHinted
	next.Incarnation = uint64(reg.record.Incarnation)
	c.forward(a, i, next, out)
	c.hintOrigin(a, reg.holder, reg.record.Incarnation, out)
	return true
}

// resetLost answers a packet whose holder has failed. Openings and datagrams
// may be placed elsewhere. It reports whether the packet was dealt with.
func (c *Core) resetLost(a *arrival, out *Actions) bool {
	if a.m.Opening() || a.m.Protocol != packet.ProtocolTCP {
		return false
	}
	if a.m.Quoted || a.m.Flags.Has(packet.RST) {
		out.drop(UpstreamFailed)
		return true
	}
	c.events.record(a.now, event.Refused, a.key, string(UpstreamFailed), c.revision())
	out.add(Action{Kind: ResetCaller, Flow: a.key, Reason: UpstreamFailed})
	return true
}

// forwardNext passes a packet along the ranking of its flow.
func (c *Core) forwardNext(a *arrival, out *Actions) {
	tried := a.svc.Tried(a.h.Tried[:]) | c.selfBit(a.svc)
	// A suspected member may be dead; it is asked after all others.
	next := a.svc.NextCandidate(a.hash, tried|suspected(a.svc))
	if next < 0 {
		next = a.svc.NextCandidate(a.hash, tried)
	}
	if next >= 0 && a.h.Hops < frame.MaxHops {
		header := *a.h
		header.Flags &^= frame.FlagHinted
		header.Incarnation = 0
		c.forward(a, next, header, out)
		return
	}
	c.endOfWalk(a, out)
}

// suspected returns a bit for each suspected member.
func suspected(svc *view.Service) uint64 {
	var mask uint64
	for i := range svc.Members {
		if svc.Members[i].Status == view.Suspected {
			mask |= 1 << uint(i)
		}
	}
	return mask
}

// endOfWalk decides about a packet of a flow that nobody holds. While views may
// differ it is dropped, since the sender retransmits it.
func (c *Core) endOfWalk(a *arrival, out *Actions) {
	if a.h.Flags.Has(frame.FlagOpening) && a.m.Opening() {
		c.handleUnplaced(a, out)
		return
	}
	if a.m.Quoted || a.m.Flags.Has(packet.RST) {
		out.drop(UnknownFlow)
		return
	}
	if a.now.Sub(a.svc.ChangedAt) < GracePeriod || unsettled(a.svc) {
		out.drop(InGracePeriod)
		return
	}
	if a.m.Protocol == packet.ProtocolUDP {
		out.drop(UnknownFlow)
		return
	}
	out.add(Action{Kind: ResetCaller, Flow: a.key, Reason: UnknownFlow})
}

func (c *Core) handleUnplaced(a *arrival, out *Actions) {
	placer := a.svc.Placer(a.hash)
	if placer < 0 || a.h.Passes >= maxPasses {
		c.refuse(a, NoUpstream, out)
		return
	}
	next := *a.h
	next.Flags |= frame.FlagHomeMiss
	next.Passes++
	c.forward(a, placer, next, out)
}

// unsettled reports whether a member may hold flows that nobody can see now.
func unsettled(svc *view.Service) bool {
	for i := range svc.Members {
		s := svc.Members[i].Status
		if s == view.Starting || s == view.Suspected {
			return true
		}
	}
	return false
}

func (c *Core) selfBit(svc *view.Service) uint64 {
	i := svc.IndexByHash(c.selfHash)
	if i < 0 {
		return 0
	}
	return 1 << uint(i)
}

// forward sends the packet to a member of the service.
func (c *Core) forward(a *arrival, member int, h frame.Header, out *Actions) {
	if int(h.Hops) < len(h.Tried) {
		h.Tried[h.Hops] = uint32(c.selfHash)
	}
	h.Hops++
	if !h.Flags.Has(frame.FlagHinted) {
		h.Incarnation = 0
	}
	u := &a.svc.Members[member]
	out.add(Action{Kind: Forward, Flow: a.key, To: u.Address, ToVM: u.VM, Header: h})
}

// Hints are bounded per agent. With hundreds of balancers a flow would otherwise
// cost a hint for each of them; a packet without a hint costs one more hop.
const (
	hintsPerSecond = 5
	hintBurst      = 50
)

// hintOrigin tells the balancer that took the packet in who holds the flow.
func (c *Core) hintOrigin(a *arrival, holder vm.ID, incarnation vm.Incarnation, out *Actions) {
	if c.hints.AllowN(a.now, 1) {
		c.sendHint(a.h, a.key, holder, incarnation, out)
	}
}

func (c *Core) sendHint(h *frame.Header, key flow.Key, holder vm.ID, incarnation vm.Incarnation, out *Actions) {
	address, ok := c.state.Load().view.Origin(h.Origin)
	if !ok {
		return
	}
	out.add(Action{Kind: Send, To: address, Message: &peer.Message{
		Hint: &peer.Hint{Key: key, Holder: holder, Incarnation: incarnation, Epoch: h.Epoch},
	}})
}

// stale reports whether a frame was meant for an earlier life of this VM.
func (c *Core) stale(h *frame.Header) bool {
	return h.Incarnation != 0 && h.Incarnation < c.oldest.Load() && !c.recovery.active.Load()
}

func (c *Core) rejectStale(h *frame.Header, m *packet.Meta, out *Actions) {
	c.sendHint(h, m.CallerKey(), "", 0, out)
	out.drop(StaleIncarnation)
}
