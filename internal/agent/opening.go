package agent

import (
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

// handleOpening decides about the first packet of a flow that is not held here.
func (c *Core) handleOpening(a *arrival, out *Actions) {
	if a.h.Flags.Has(frame.FlagPlaced) {
		c.notePlacement(a)
		if needsClaim(a) && c.forwardRegistered(a, out) {
			// A copy of an opening that runs at another agent.
			return
		}
		c.admitOrReturn(a, out)
		return
	}
	if c.forwardRegistered(a, out) {
		return
	}
	if a.h.Flags.Has(frame.FlagHomeLookup) {
		c.answerProbe(a, out)
		return
	}
	placer := a.svc.Placer(a.hash)
	if placer < 0 {
		c.refuse(a, NoUpstream, out)
		return
	}
	if a.svc.MemberHashes[placer] != c.selfHash && a.h.Hops < frame.MaxHops {
		next := *a.h
		next.Flags |= frame.FlagHomeMiss
		c.forward(a, placer, next, out)
		return
	}
	c.place(a, out)
}

// place chooses an upstream for an opening. It runs on the placer.
func (c *Core) place(a *arrival, out *Actions) {
	if !a.svc.Traffic {
		c.refuse(a, TrafficOff, out)
		return
	}
	if c.probeHome(a, out) {
		return
	}
	if a.h.Flags.Has(frame.FlagDeclined) {
		c.noteReturned(a)
	}
	d := c.decidePlacement(a, out)
	switch d.verdict {
	case placeRefuse:
		c.refuse(a, d.reason, out)
	case placeHold:
		out.add(Action{Kind: Hold, Flow: a.key, Ticket: d.ticket})
	case placeDuplicate:
		out.drop(AlreadyQueued)
	case placeMember:
		c.sendPlaced(a, d.choice, out)
	}
}

// sendPlaced hands an opening to the member that was chosen for it.
func (c *Core) sendPlaced(a *arrival, chosen choice, out *Actions) {
	u := &a.svc.Members[chosen.member]
	c.events.record(a.now, event.Placed, a.key, string(u.VM), c.revision())
	if u.Hash == c.selfHash {
		reason := c.admit(a, out)
		c.placement.settle(u.VM, chosen.number)
		if reason == "" {
			return
		}
		if a.excluded&c.selfBit(a.svc) != 0 {
			c.refuse(a, reason, out)
			return
		}
		a.excluded |= c.selfBit(a.svc)
		c.place(a, out)
		return
	}
	next := *a.h
	next.Flags |= frame.FlagPlaced
	next.Flags &^= frame.FlagDeclined
	next.Placement = chosen.number
	c.forward(a, chosen.member, next, out)
}

// probeHome asks the home of a flow whether it is registered, while views may
// differ. In place of a suspected home it asks the next in rank, which keeps a
// registration as well. It reports whether the opening was sent there.
func (c *Core) probeHome(a *arrival, out *Actions) bool {
	if a.h.Flags.Has(frame.FlagHomeMiss) || a.now.Sub(a.svc.ChangedAt) >= GracePeriod {
		return false
	}
	home := a.svc.NextCandidate(a.hash, suspected(a.svc))
	if home < 0 || a.svc.MemberHashes[home] == c.selfHash {
		return false
	}
	next := *a.h
	next.Flags |= frame.FlagHomeLookup
	c.forward(a, home, next, out)
	return true
}

// answerProbe returns an opening whose flow is not registered here.
func (c *Core) answerProbe(a *arrival, out *Actions) {
	placer := a.svc.Placer(a.hash)
	if placer < 0 {
		c.refuse(a, NoUpstream, out)
		return
	}
	next := *a.h
	next.Flags &^= frame.FlagHomeLookup
	next.Flags |= frame.FlagHomeMiss
	c.forward(a, placer, next, out)
}

// admitOrReturn accepts an opening here or passes it back to the placer.
func (c *Core) admitOrReturn(a *arrival, out *Actions) {
	reason := c.admit(a, out)
	if reason == "" {
		return
	}
	placer := a.svc.Placer(a.hash)
	if placer >= 0 && a.svc.MemberHashes[placer] == c.selfHash {
		// Another view made this agent the target of its own placement.
		a.excluded |= c.selfBit(a.svc)
		c.place(a, out)
		return
	}
	if a.h.Passes >= maxPasses || placer < 0 {
		c.refuse(a, reason, out)
		return
	}
	next := *a.h
	next.Flags &^= frame.FlagPlaced
	next.Flags |= frame.FlagDeclined | frame.FlagHomeMiss
	next.Passes++
	c.forward(a, placer, next, out)
}

// admit creates the flow, or a claim for it, if the upstream can take it. It
// returns the reason if it cannot.
func (c *Core) admit(a *arrival, out *Actions) Reason {
	if c.claims.waits(a.key) {
		out.drop(AlreadyQueued)
		return ""
	}
	self := a.svc.IndexByHash(c.selfHash)
	if self < 0 || !a.svc.Members[self].AcceptsOpenings() || c.draining.Load() {
		return NotReady
	}
	if r := c.report.Load(); r != nil && r.Shedding {
		return Shedding
	}
	own := &a.svc.Members[self]
	if reason := c.makeRoom(a, own); reason != "" {
		return reason
	}
	f := &flowState{key: a.key, hash: a.hash, phase: flow.HalfOpen, lastSeen: a.nanos, openedAt: a.nanos}
	if a.svc.Contract.Shape == service.ShortRequests {
		if !c.flows.takeSlot(own.Slots) {
			return NoSlot
		}
		f.marks |= holdsSlot
		c.load.admitted.Add(1)
	}
	if !c.aliases.acquire(f) {
		c.freeSlot(f)
		return AliasesUsedUp
	}
	if needsClaim(a) {
		c.startClaim(a, f, out)
		return ""
	}
	return c.install(a, f, out)
}

// install adds an admitted flow to the table and delivers its opening.
func (c *Core) install(a *arrival, f *flowState, out *Actions) Reason {
	f.trackCaller(a.m)
	record := f.record(c.cfg.Incarnation)
	if !c.add(f) {
		c.freeSlot(f)
		c.aliases.release(f)
		if c.deliver(a, out) == delivered {
			return ""
		}
		return FlowLimit
	}
	out.add(Action{Kind: Deliver, Flow: a.key, Alias: f.alias, Upstream: c.cfg.Upstream})
	c.announceFlow(a, record, out)
	return ""
}

// makeRoom checks the limits of flows. Half-open flows give way to each other
// and to an opening, established flows never do.
func (c *Core) makeRoom(a *arrival, own *view.Upstream) Reason {
	established, halfOpen := c.flows.counts()
	if halfOpen >= c.cfg.Limits.HalfOpen && !c.evictHalfOpen(a.nanos+1) {
		return HalfOpenLimit
	}
	if established >= own.Connections {
		return FlowLimit
	}
	if established+halfOpen >= own.Connections && !c.evictHalfOpen(a.nanos-int64(staleHalfOpen)) {
		return FlowLimit
	}
	return ""
}

// takeSlot reserves one of the slots.
func (t *flowTable) takeSlot(slots int) bool {
	for {
		busy := t.slots.Load()
		if busy >= int64(slots) {
			return false
		}
		if t.slots.CompareAndSwap(busy, busy+1) {
			return true
		}
	}
}
