package agent

import (
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/service"
)

// handleOpening decides about the first packet of a flow that is not held here.
func (c *Core) handleOpening(a *arrival, out *Actions) {
	self := a.svc.IndexByHash(c.selfHash)
	if a.h.Flags.Has(frame.FlagPlaced) {
		c.notePlacement(a)
		c.admitOrReturn(a, out)
		return
	}
	if c.forwardRegistered(a, out) {
		return
	}
	if a.h.Flags.Has(frame.FlagProbe) {
		c.answerProbe(a, out)
		return
	}
	placer := a.svc.Placer(a.hash)
	if placer < 0 {
		out.add(Action{Kind: Refuse, Flow: a.key, Reason: NoUpstream})
		return
	}
	if placer != self && a.h.Hops < frame.MaxHops {
		next := *a.h
		next.Flags |= frame.FlagProbed
		c.forward(a, placer, next, out)
		return
	}
	c.place(a, out)
}

// place chooses an upstream for an opening. It runs on the placer.
func (c *Core) place(a *arrival, out *Actions) {
	if !a.svc.Traffic {
		out.add(Action{Kind: Refuse, Flow: a.key, Reason: TrafficOff})
		return
	}
	if c.probeHome(a, out) {
		return
	}
	choice := c.placement.choose(a, c.selfHash, c.ownLoad(a.svc))
	if choice.member < 0 {
		out.add(Action{Kind: Refuse, Flow: a.key, Reason: NoUpstream})
		return
	}
	if a.svc.Hashes[choice.member] == c.selfHash {
		c.admitOrReturn(a, out)
		return
	}
	next := *a.h
	next.Flags |= frame.FlagPlaced
	next.Flags &^= frame.FlagReturned
	next.Placement = choice.number
	c.forward(a, choice.member, next, out)
}

// probeHome asks the home of a flow whether it is registered, while views may
// differ. It reports whether the opening was sent there.
func (c *Core) probeHome(a *arrival, out *Actions) bool {
	if a.h.Flags.Has(frame.FlagProbed) || a.now.Sub(a.svc.ChangedAt) >= GracePeriod {
		return false
	}
	home := a.svc.Home(a.hash)
	if home < 0 || a.svc.Hashes[home] == c.selfHash {
		return false
	}
	next := *a.h
	next.Flags |= frame.FlagProbe
	c.forward(a, home, next, out)
	return true
}

// answerProbe returns an opening whose flow is not registered here.
func (c *Core) answerProbe(a *arrival, out *Actions) {
	placer := a.svc.Placer(a.hash)
	if placer < 0 {
		out.add(Action{Kind: Refuse, Flow: a.key, Reason: NoUpstream})
		return
	}
	next := *a.h
	next.Flags &^= frame.FlagProbe
	next.Flags |= frame.FlagProbed
	c.forward(a, placer, next, out)
}

// admitOrReturn accepts an opening here or passes it back to the placer.
func (c *Core) admitOrReturn(a *arrival, out *Actions) {
	reason := c.admit(a, out)
	if reason == "" {
		c.announceFlow(a, out)
		return
	}
	placer := a.svc.Placer(a.hash)
	if a.h.Passes >= maxPasses || placer < 0 || a.svc.Hashes[placer] == c.selfHash {
		out.add(Action{Kind: Refuse, Flow: a.key, Reason: reason})
		return
	}
	next := *a.h
	next.Flags &^= frame.FlagPlaced
	next.Flags |= frame.FlagReturned | frame.FlagProbed
	next.Passes++
	c.forward(a, placer, next, out)
}

// admit creates the flow if the upstream can take it. It returns the reason if
// it cannot.
func (c *Core) admit(a *arrival, out *Actions) Reason {
	self := a.svc.IndexByHash(c.selfHash)
	if self < 0 || !a.svc.Members[self].TakesWork() {
		return NotReady
	}
	own := &a.svc.Members[self]
	established, halfOpen := c.flows.counts()
	if halfOpen >= c.cfg.Limits.HalfOpen {
		return HalfOpenLimit
	}
	if established+halfOpen >= own.Connections {
		return FlowLimit
	}
	holdsSlot := a.svc.Contract.Shape == service.ShortRequests
	if holdsSlot && !c.flows.takeSlot(own.Slots) {
		return NoSlot
	}
	alias, ok := c.aliases.acquire(a.ref())
	if !ok {
		if holdsSlot {
			c.flows.slots.Add(-1)
		}
		return AliasesUsedUp
	}
	f := &flowState{phase: flow.HalfOpen, alias: alias, holdsSlot: holdsSlot, lastSeen: a.now, createdAt: a.now}
	c.flows.add(a.hash, a.key, f)
	out.add(Action{Kind: Deliver, Flow: a.key, Alias: alias, Upstream: c.cfg.Upstream})
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
