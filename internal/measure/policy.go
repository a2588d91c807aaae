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

func newBalancerProcess(m *machine) balancerProcess {
	if m.sim.opts.Policy.usesAgents() {
		return &coreBalancer{machine: m, core: balancer.New(balancer.Config{VM: m.id, Hasher: m.sim.hasher})}
	}
	return &baselineBalancer{machine: m, trackedTargets: map[flow.Key]*machine{}}
}

func newAgentProcess(m *machine) agentProcess {
	if !m.sim.opts.Policy.usesAgents() {
		return &baselineAgent{machine: m, connsByAlias: map[netip.AddrPort]*callerConn{}}
	}
	return &coreAgent{machine: m, bufferedPackets: map[uint64]bufferedPacket{}, core: agent.New(agent.Config{
		VM: m.id, Service: m.service, Incarnation: m.incarnation,
		Upstream: netip.AddrPortFrom(m.address.Addr(), upstreamPort),
		Aliases:  m.aliasPrefix(), Hasher: m.sim.hasher, Recover: true, UpstreamStarted: m.server.restartedAt,
	})}
}

// aliasPrefix returns the prefix from which the agent allocates alias addresses.
func (m *machine) aliasPrefix() netip.Prefix {
	a := m.address.Addr().As4()
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{172, 16 + a[2], a[3], 0}), 24)
}

// coreBalancer runs the balancer package.
type coreBalancer struct {
	machine      *machine
	core         *balancer.Core
	lastRevision uint64
}

func (b *coreBalancer) handlePacket(s *segment) {
	var decision balancer.Decision
	b.core.Decide(b.machine.sim.now, &s.meta, &decision)
	switch decision.Verdict {
	case balancer.Send:
		b.machine.sendFrame(decision.To.Address, decision.Header, s)
	case balancer.Reset:
		b.machine.sendReset(s.conn)
	default:
		b.machine.sim.countDrop(string(decision.Reason))
	}
}

func (b *coreBalancer) handleHint(h *peer.Hint) { b.core.HandleHint(h) }

func (b *coreBalancer) setView(v *view.View) {
	b.core.SetView(v)
	if revision := b.core.View().Revision; revision < b.lastRevision {
		b.machine.sim.result.RevisionsReverted++
	} else {
		b.lastRevision = revision
	}
}

// bufferedPacket is a packet that the agent has buffered under a ticket.
type bufferedPacket struct {
	header  frame.Header
	segment *segment
}

// coreAgent runs the agent package.
type coreAgent struct {
	machine         *machine
	core            *agent.Core
	bufferedPackets map[uint64]bufferedPacket
	// recovered is set after the agent has recovered its flows. Only then does
	// it publish the status ready.
	recovered      bool
	loadReportedAt time.Time
}

func (a *coreAgent) handleFrame(h frame.Header, s *segment) {
	var actions agent.Actions
	a.core.HandleFrame(a.machine.sim.now, &h, &s.meta, &actions)
	a.applyActions(&actions, h, s)
}

func (a *coreAgent) handleUpstreamPacket(s *segment) {
	var actions agent.Actions
	a.core.HandleUpstreamPacket(a.machine.sim.now, &s.meta, &actions)
	a.applyActions(&actions, frame.Header{}, s)
}

func (a *coreAgent) handlePeerMessage(message *peer.Message) {
	var actions agent.Actions
	a.core.HandlePeerMessage(a.machine.sim.now, message, &actions)
	a.applyActions(&actions, frame.Header{}, nil)
}

func (a *coreAgent) setView(v *view.View) { a.core.SetView(v) }

func (a *coreAgent) tick() {
	var actions agent.Actions
	a.core.Tick(a.machine.sim.now, &actions)
	a.applyActions(&actions, frame.Header{}, nil)
	if !a.recovered && !a.core.Recovering() {
		a.recovered = true
		if a.machine.publishedStatus.Status == view.Starting {
			a.machine.sim.publishStatus(a.machine, view.Ready)
		}
	}
	if a.machine.sim.now.Sub(a.loadReportedAt) >= loadReportInterval {
		a.loadReportedAt = a.machine.sim.now
		a.core.SetUpstreamLoad(a.machine.server.loadReport())
	}
}

func (a *coreAgent) applyActions(actions *agent.Actions, h frame.Header, s *segment) {
	sim := a.machine.sim
	sortRegistrations(actions.List)
	for i := range actions.List {
		action := &actions.List[i]
		switch action.Kind {
		case agent.Deliver:
			sim.histograms.record(sim.histograms.hops, 1+int64(h.Hops))
			a.machine.server.receive(action.Alias, s)
		case agent.Reply:
			a.machine.sendToCaller(sim.connsByFlow[action.Flow], s)
		case agent.Forward:
			a.machine.sendFrame(action.To, action.Header, s)
		case agent.Refuse:
			sim.recordRefusal(a.machine, action)
			delete(a.bufferedPackets, action.Ticket)
			a.machine.sendReset(sim.connsByFlow[action.Flow])
		case agent.ResetCaller:
			a.machine.sendReset(sim.connsByFlow[action.Flow])
		case agent.Drop:
			sim.countDrop(string(action.Reason))
		case agent.Send:
			a.machine.sendMessage(action.To, action.Message)
		default:
			a.applyBufferAction(action, h, s)
		}
	}
}

func (a *coreAgent) applyBufferAction(action *agent.Action, h frame.Header, s *segment) {
	switch action.Kind {
	case agent.BufferPacket:
		a.bufferedPackets[action.Ticket] = bufferedPacket{header: h, segment: s}
		// An opening with payload may wait for a claim while a slot is reserved
		// for it. It is not counted as waiting for a slot.
		if s.meta.IsOpening() && !s.conn.fastOpen && !a.core.Recovering() {
			a.machine.sim.recordWaitingOpening(a.machine, s.conn)
		}
	case agent.ReprocessPacket, agent.DropBuffered:
		buffered, ok := a.bufferedPackets[action.Ticket]
		if !ok {
			return
		}
		delete(a.bufferedPackets, action.Ticket)
		delete(buffered.segment.conn.service.waitingOpenings, buffered.segment.conn.key)
		if action.Kind == agent.ReprocessPacket {
			a.handleFrame(buffered.header, buffered.segment)
		}
	}
}

// baselineBalancer implements the policies hash, conntrack and oracle. It selects
// the upstream itself.
type baselineBalancer struct {
	machine     *machine
	currentView *view.View
	// trackedTargets is the connection table of the policy conntrack.
	trackedTargets map[flow.Key]*machine
}

func (b *baselineBalancer) setView(v *view.View) { b.currentView = v }

func (b *baselineBalancer) handleHint(*peer.Hint) {}

func (b *baselineBalancer) handlePacket(s *segment) {
	svc := b.currentView.ServiceByName(s.conn.service.Name)
	if svc == nil || (s.meta.IsOpening() && !svc.Traffic) {
		b.machine.sendReset(s.conn)
		return
	}
	target := b.selectUpstream(s, svc)
	if target == nil {
		b.machine.sim.countDrop(string(balancer.NoUpstream))
		return
	}
	b.machine.sendFrame(target.address, frame.Header{Service: uint32(svc.ID)}, s)
}

func (b *baselineBalancer) selectUpstream(s *segment, svc *view.Service) *machine {
	sim := b.machine.sim
	switch sim.opts.Policy {
	case Oracle:
		if tracked, ok := sim.oracleTargets[s.conn.key]; ok {
			return tracked
		}
		target := sim.leastLoadedUpstream(s.conn)
		sim.oracleTargets[s.conn.key] = target
		return target
	case Conntrack:
		if tracked, ok := b.trackedTargets[s.conn.key]; ok {
			return tracked
		}
	}
	var skipMembers uint64
	for i := range svc.Members {
		if !svc.Members[i].AcceptsOpenings() {
			skipMembers |= 1 << uint(i)
		}
	}
	i := ranking.FirstUnweighted(sim.hasher.Hash(s.conn.key), svc.MemberHashes, skipMembers)
	if i < 0 {
		return nil
	}
	target := sim.machineByVM[svc.Members[i].VM]
	b.trackedTargets[s.conn.key] = target
	return target
}

// leastLoadedUpstream returns the eligible upstream with the fewest occupied and
// reserved slots, for the oracle. It reads the servers' counters directly, without
// a delay.
func (sim *simulation) leastLoadedUpstream(conn *callerConn) *machine {
	var leastLoaded *machine
	leastOccupied, fewestConns := 0, 0
	for _, m := range sim.machines {
		if m.server == nil || m.service != conn.service.Name || !m.eligible() {
			continue
		}
		occupied, conns := m.server.occupiedSlots+m.server.reservedSlots, len(m.server.conns)+m.server.reservedSlots
		if leastLoaded == nil || occupied < leastOccupied || (occupied == leastOccupied && conns < fewestConns) {
			leastLoaded, leastOccupied, fewestConns = m, occupied, conns
		}
	}
	if leastLoaded != nil && conn.service.shortRequests {
		leastLoaded.server.addReservedSlots(1)
		conn.reservedOn = leastLoaded.server
	}
	return leastLoaded
}

// baselineAgent translates addresses between the upstream and callers. It keeps no
// other flow state.
type baselineAgent struct {
	machine      *machine
	connsByAlias map[netip.AddrPort]*callerConn
}

func (a *baselineAgent) handleFrame(_ frame.Header, s *segment) {
	sim := a.machine.sim
	alias := s.conn.key.Caller
	_, connected := a.machine.server.conns[alias]
	if s.meta.IsOpening() && !connected && s.conn.service.shortRequests && a.machine.server.occupiedSlots >= sim.slots() {
		sim.countIfSlotFree(a.machine, s.conn)
		a.machine.sendReset(s.conn)
		return
	}
	a.connsByAlias[alias] = s.conn
	sim.histograms.record(sim.histograms.hops, 1)
	a.machine.server.receive(alias, s)
}

func (a *baselineAgent) handleUpstreamPacket(s *segment) {
	a.machine.sendToCaller(a.connsByAlias[s.meta.Destination], s)
}

func (a *baselineAgent) handlePeerMessage(*peer.Message) {}

func (a *baselineAgent) setView(*view.View) {}

func (a *baselineAgent) tick() {}

// waitingOpening is an opening that waits for a slot.
type waitingOpening struct {
	queuedAt         time.Time
	countedWhileFree bool
}

func (sim *simulation) recordWaitingOpening(m *machine, conn *callerConn) {
	sim.result.OpeningsWaited++
	conn.service.waitingOpenings[conn.key] = &waitingOpening{queuedAt: sim.now}
	sim.countIfSlotFree(m, conn)
	for _, candidate := range sim.machines {
		if sim.hasFreeSlotForService(candidate, m) {
			sim.scheduleWaitCheck(candidate)
		}
	}
}

func (sim *simulation) hasFreeSlotForService(candidate, serviceMember *machine) bool {
	return candidate.server != nil && candidate.service == serviceMember.service && candidate.eligible() && !candidate.server.allSlotsTaken()
}

// countIfSlotFree counts an opening that waits or is refused now although a slot
// has been free for longer than loadExchangeTime. It counts an opening only once.
func (sim *simulation) countIfSlotFree(m *machine, conn *callerConn) {
	for _, candidate := range sim.machines {
		if sim.hasFreeSlotForService(candidate, m) && sim.now.Sub(candidate.server.slotFreeSince) > sim.loadExchangeTime() {
			if waiting := conn.service.waitingOpenings[conn.key]; waiting == nil || !waiting.countedWhileFree {
				sim.result.OpeningsWaitedWhileFree++
				if waiting != nil {
					waiting.countedWhileFree = true
				}
			}
			return
		}
	}
}

// scheduleWaitCheck counts the openings that still wait once a slot has been free
// for loadExchangeTime.
func (sim *simulation) scheduleWaitCheck(m *machine) {
	freeSince := m.server.slotFreeSince
	svc := sim.serviceByName(m.service)
	if len(svc.waitingOpenings) == 0 {
		return
	}
	due := freeSince.Add(sim.loadExchangeTime()).Sub(sim.now) + time.Nanosecond
	sim.schedule(max(due, 0), func() {
		if !sim.hasFreeSlotForService(m, m) || !m.server.slotFreeSince.Equal(freeSince) {
			return
		}
		for _, waiting := range svc.waitingOpenings {
			if !waiting.countedWhileFree {
				waiting.countedWhileFree = true
				sim.result.OpeningsWaitedWhileFree++
			}
		}
	})
}

// recordRefusal records an opening that the agent refused. A refusal while a slot is
// free counts like a wait. A refusal because traffic is disabled does not.
func (sim *simulation) recordRefusal(m *machine, action *agent.Action) {
	sim.countDrop("refused_" + string(action.Reason))
	conn := sim.connsByFlow[action.Flow]
	if conn == nil || action.Reason == agent.TrafficOff {
		return
	}
	sim.countIfSlotFree(m, conn)
	delete(conn.service.waitingOpenings, conn.key)
}
