package measure

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/balancer"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/view"
)

func (p Policy) usesAgents() bool { return p == Bramley || p == BramleyHome }

func newEntry(m *machine) entry {
	if m.w.opts.Policy.usesAgents() {
		return &bramleyEntry{m: m, core: balancer.New(balancer.Config{VM: m.id, Hasher: m.w.hasher})}
	}
	return &baselineEntry{m: m, table: map[flow.Key]*machine{}}
}

func newHolder(m *machine) holder {
	if !m.w.opts.Policy.usesAgents() {
		return &plainHolder{m: m, calls: map[netip.AddrPort]*call{}}
	}
	return &bramleyHolder{m: m, held: map[uint64]heldPacket{}, core: agent.New(agent.Config{
		VM: m.id, Service: m.service, Incarnation: m.incarnation,
		Upstream: netip.AddrPortFrom(m.address.Addr(), upstreamPort),
		Aliases:  m.aliases(), Hasher: m.w.hasher, Recover: true, UpstreamStarted: m.server.startedAt,
	})}
}

// aliases returns the prefix from which an agent takes its aliases.
func (m *machine) aliases() netip.Prefix {
	a := m.address.Addr().As4()
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{172, 16 + a[2], a[3], 0}), 24)
}

// bramleyEntry drives the real balancer decisions.
type bramleyEntry struct {
	m        *machine
	core     *balancer.Core
	revision uint64
}

func (e *bramleyEntry) packet(s *segment) {
	var d balancer.Decision
	e.core.Decide(e.m.w.now, &s.meta, &d)
	switch d.Verdict {
	case balancer.Send:
		e.m.sendFrame(d.To.Address, d.Header, s)
	case balancer.Reset:
		e.m.reset(s.call)
	default:
		e.m.w.drop(string(d.Reason))
	}
}

func (e *bramleyEntry) hint(h *peer.Hint) { e.core.HandleHint(h) }

func (e *bramleyEntry) view(v *view.View) {
	e.core.SetView(v)
	if now := e.core.View().Revision; now < e.revision {
		e.m.w.result.Reverted++
	} else {
		e.revision = now
	}
}

// heldPacket is a packet that the agent keeps under a ticket.
type heldPacket struct {
	h frame.Header
	s *segment
}

// bramleyHolder drives the real agent decisions.
type bramleyHolder struct {
	m    *machine
	core *agent.Core
	held map[uint64]heldPacket
	// ready is set when the recovery has ended and the agent has announced it.
	ready    bool
	reported time.Time
}

func (b *bramleyHolder) frame(h frame.Header, s *segment) {
	var out agent.Actions
	b.core.HandleFrame(b.m.w.now, &h, &s.meta, &out)
	b.apply(&out, h, s)
}

func (b *bramleyHolder) upstream(s *segment) {
	var out agent.Actions
	b.core.HandleUpstream(b.m.w.now, &s.meta, &out)
	b.apply(&out, frame.Header{}, s)
}

func (b *bramleyHolder) peer(m *peer.Message) {
	var out agent.Actions
	b.core.HandlePeer(b.m.w.now, m, &out)
	b.apply(&out, frame.Header{}, nil)
}

func (b *bramleyHolder) view(v *view.View) { b.core.SetView(v) }

func (b *bramleyHolder) tick() {
	var out agent.Actions
	b.core.Tick(b.m.w.now, &out)
	b.apply(&out, frame.Header{}, nil)
	if !b.ready && !b.core.Recovering() {
		b.ready = true
		if b.m.announced.Status == view.Starting {
			b.m.w.announce(b.m, view.Ready)
		}
	}
	if b.m.w.now.Sub(b.reported) >= reportInterval {
		b.reported = b.m.w.now
		b.core.SetUpstreamLoad(b.m.server.report())
	}
}

func (b *bramleyHolder) apply(out *agent.Actions, h frame.Header, s *segment) {
	w := b.m.w
	normalize(out.List)
	for i := range out.List {
		a := &out.List[i]
		switch a.Kind {
		case agent.Deliver:
			w.samples.record(w.samples.hops, 1+int64(h.Hops))
			b.m.server.receive(a.Alias, s)
		case agent.Reply:
			b.m.sendToCaller(w.calls[a.Flow], s)
		case agent.Forward:
			b.m.sendFrame(a.To, a.Header, s)
		case agent.Refuse:
			w.refused(b.m, a)
			delete(b.held, a.Ticket)
			b.m.reset(w.calls[a.Flow])
		case agent.ResetCaller:
			b.m.reset(w.calls[a.Flow])
		case agent.Drop:
			w.drop(string(a.Reason))
		case agent.Send:
			b.m.sendMessage(a.To, a.Message)
		default:
			b.applyHeld(a, h, s)
		}
	}
}

func (b *bramleyHolder) applyHeld(a *agent.Action, h frame.Header, s *segment) {
	switch a.Kind {
	case agent.Hold:
		b.held[a.Ticket] = heldPacket{h: h, s: s}
		// An opening with payload may wait for its claim, with a slot reserved.
		if s.meta.Opening() && !s.call.fastOpen && !b.core.Recovering() {
			b.m.w.startWait(b.m, s.call)
		}
	case agent.Release, agent.Discard:
		p, ok := b.held[a.Ticket]
		if !ok {
			return
		}
		delete(b.held, a.Ticket)
		delete(p.s.call.run.waiting, p.s.call.key)
		if a.Kind == agent.Release {
			b.frame(p.h, p.s)
		}
	}
}

// baselineEntry chooses the upstream itself.
type baselineEntry struct {
	m       *machine
	current *view.View
	table   map[flow.Key]*machine
}

func (e *baselineEntry) view(v *view.View) { e.current = v }

func (e *baselineEntry) hint(*peer.Hint) {}

func (e *baselineEntry) packet(s *segment) {
	svc := e.current.ServiceByName(s.call.run.Name)
	if svc == nil || (s.meta.Opening() && !svc.Traffic) {
		e.m.reset(s.call)
		return
	}
	target := e.choose(s, svc)
	if target == nil {
		e.m.w.drop(string(balancer.NoUpstream))
		return
	}
	e.m.sendFrame(target.address, frame.Header{Service: uint32(svc.ID)}, s)
}

func (e *baselineEntry) choose(s *segment, svc *view.Service) *machine {
	w := e.m.w
	switch w.opts.Policy {
	case Oracle:
		if known, ok := w.pinned[s.call.key]; ok {
			return known
		}
		target := w.leastBusy(s.call)
		w.pinned[s.call.key] = target
		return target
	case Conntrack:
		if known, ok := e.table[s.call.key]; ok {
			return known
		}
	}
	var skip uint64
	for i := range svc.Members {
		if !svc.Members[i].AcceptsOpenings() {
			skip |= 1 << uint(i)
		}
	}
	i := ranking.FirstUnweighted(w.hasher.Hash(s.call.key), svc.MemberHashes, skip)
	if i < 0 {
		return nil
	}
	target := w.byVM[svc.Members[i].VM]
	e.table[s.call.key] = target
	return target
}

// leastBusy is the choice of the oracle, which knows everything without delay.
func (w *world) leastBusy(c *call) *machine {
	var best *machine
	bestBusy, bestConns := 0, 0
	for _, m := range w.machines {
		if m.server == nil || m.service != c.run.Name || !m.eligible() {
			continue
		}
		busy, conns := m.server.busy+m.server.placed, len(m.server.conns)+m.server.placed
		if best == nil || busy < bestBusy || (busy == bestBusy && conns < bestConns) {
			best, bestBusy, bestConns = m, busy, conns
		}
	}
	if best != nil && c.run.short {
		best.server.reserve(1)
		c.placed = best.server
	}
	return best
}

// plainHolder passes packets to the upstream without any state of its own but
// the translation of addresses.
type plainHolder struct {
	m     *machine
	calls map[netip.AddrPort]*call
}

func (p *plainHolder) frame(_ frame.Header, s *segment) {
	w := p.m.w
	alias := s.call.key.Caller
	_, known := p.m.server.conns[alias]
	if s.meta.Opening() && !known && s.call.run.short && p.m.server.busy >= w.slots() {
		w.checkFree(p.m, s.call)
		p.m.reset(s.call)
		return
	}
	p.calls[alias] = s.call
	w.samples.record(w.samples.hops, 1)
	p.m.server.receive(alias, s)
}

func (p *plainHolder) upstream(s *segment) { p.m.sendToCaller(p.calls[s.meta.Destination], s) }

func (p *plainHolder) peer(*peer.Message) {}

func (p *plainHolder) view(*view.View) {}

func (p *plainHolder) tick() {}

// waitState is an opening that waits for a slot.
type waitState struct {
	since   time.Time
	counted bool
}

func (w *world) startWait(m *machine, c *call) {
	w.result.OpeningsWaited++
	c.run.waiting[c.key] = &waitState{since: w.now}
	w.checkFree(m, c)
	for _, other := range w.machines {
		if w.hasFreeSlot(other, m) {
			w.watchWaiting(other)
		}
	}
}

func (w *world) hasFreeSlot(other, m *machine) bool {
	return other.server != nil && other.service == m.service && other.eligible() && !other.server.full()
}

// checkFree counts an opening that waits or is refused now although a slot has
// been free for longer than one exchange between agents.
func (w *world) checkFree(m *machine, c *call) {
	for _, other := range w.machines {
		if w.hasFreeSlot(other, m) && w.now.Sub(other.server.freeSince) > w.exchange() {
			if state := c.run.waiting[c.key]; state == nil || !state.counted {
				w.result.OpeningsWaitedWhenFree++
				if state != nil {
					state.counted = true
				}
			}
			return
		}
	}
}

// watchWaiting checks, one exchange after a slot became free, whether openings
// still wait.
func (w *world) watchWaiting(m *machine) {
	since := m.server.freeSince
	run := w.run(m.service)
	if len(run.waiting) == 0 {
		return
	}
	due := since.Add(w.exchange()).Sub(w.now) + time.Nanosecond
	w.after(max(due, 0), func() {
		if !w.hasFreeSlot(m, m) || !m.server.freeSince.Equal(since) {
			return
		}
		for _, state := range run.waiting {
			if !state.counted {
				state.counted = true
				w.result.OpeningsWaitedWhenFree++
			}
		}
	})
}

// refused checks a refusal of the agent.
func (w *world) refused(m *machine, a *agent.Action) {
	w.drop("refused_" + string(a.Reason))
	c := w.calls[a.Flow]
	if c == nil || a.Reason == agent.TrafficOff {
		return
	}
	w.checkFree(m, c)
	delete(c.run.waiting, c.key)
}
