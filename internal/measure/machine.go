package measure

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	agentPort    = 4800
	upstreamPort = 8080
	// tickInterval is the time between two ticks of an agent. Until the first
	// opening, startupTickInterval applies.
	tickInterval        = 5 * time.Millisecond
	startupTickInterval = 100 * time.Millisecond
	// datagramBytes is the size of the IPv4 and UDP headers of a frame.
	datagramBytes = 28
	// peerTagBytes is the size of the authentication tag of a peer message.
	peerTagBytes = 16
	// framePrefixBytes is the size of the fixed fields before the header of a
	// frame.
	framePrefixBytes = 3
)

// balancerProcess is the decision code of a balancer.
type balancerProcess interface {
	handlePacket(s *segment)
	handleHint(h *peer.Hint)
	setView(v *view.View)
}

// agentProcess is the decision code of an agent, which runs beside an upstream.
type agentProcess interface {
	handleFrame(h frame.Header, s *segment)
	handleUpstreamPacket(s *segment)
	handlePeerMessage(m *peer.Message)
	setView(v *view.View)
	tick()
}

// machine is one VM with its balancer process, or with its agent and server.
type machine struct {
	sim             *simulation
	id              vm.ID
	role            vm.Role
	zone            zone.ID
	address         netip.AddrPort
	service         service.Name
	incarnation     vm.Incarnation
	publishedStatus view.Member
	running         bool
	startedAt       time.Time
	intentState     *intent.State
	members         map[vm.ID]view.Member
	currentView     *view.View
	balancer        balancerProcess
	agent           agentProcess
	server          *server
	// leavingSince is the time from which the process has seen its VM as leaving.
	// It is zero while the VM isn't leaving.
	leavingSince time.Time
	controlBytes int64
}

func (sim *simulation) buildMachines() {
	for _, inventoryVM := range sim.intentState.VMs {
		machine := &machine{
			sim: sim, id: inventoryVM.ID, role: inventoryVM.Role, zone: inventoryVM.Zone, service: inventoryVM.Service, incarnation: 1,
			address: netip.AddrPortFrom(inventoryVM.Address, agentPort), running: true,
		}
		sim.machines = append(sim.machines, machine)
		sim.machineByVM[machine.id], sim.machineByAddress[machine.address] = machine, machine
		machine.publishedStatus = view.Member{
			VM: machine.id, Role: machine.role, Zone: machine.zone, Service: machine.service, Address: machine.address,
			Incarnation: 1, Status: view.Ready, Version: 1,
		}
		if machine.role == vm.RoleUpstream {
			machine.server = newServer(machine)
		} else {
			sim.routedBalancers = append(sim.routedBalancers, machine)
		}
		machine.startProcess()
	}
	for _, machine := range sim.machines {
		machine.loadSnapshot()
	}
}

// startProcess creates the balancer or agent process of a machine.
func (m *machine) startProcess() {
	m.startedAt = m.sim.now
	m.members, m.currentView = map[vm.ID]view.Member{}, nil
	if m.role == vm.RoleBalancer {
		m.balancer = newBalancerProcess(m)
		return
	}
	m.agent = newAgentProcess(m)
	m.scheduleTick(m.incarnation)
}

// scheduleTick calls the agent's tick periodically until the incarnation ends.
// Before the first opening the interval is longer, which avoids most of the cost of
// simulating the startup time.
func (m *machine) scheduleTick(incarnation vm.Incarnation) {
	interval := tickInterval
	if m.sim.now.Add(startupTickInterval).Before(m.sim.trafficStart) {
		interval = startupTickInterval
	}
	m.sim.schedule(interval, func() {
		if m.running && m.incarnation == incarnation {
			m.agent.tick()
			m.scheduleTick(incarnation)
		}
	})
}

// loadSnapshot initializes a process with the published status of all processes.
func (m *machine) loadSnapshot() {
	for _, other := range m.sim.machines {
		m.members[other.id] = other.publishedStatus
	}
	m.applyUpdate(m.sim.intentState, nil)
}

// applyUpdate applies a new configuration, a new member status, or both, and
// rebuilds the view. It ignores records that are not newer than the stored ones.
func (m *machine) applyUpdate(intentState *intent.State, record *view.Member) {
	if !m.running {
		return
	}
	if record != nil {
		stored := m.members[record.VM]
		if stored.Incarnation > record.Incarnation || (stored.Incarnation == record.Incarnation && stored.Version >= record.Version) {
			return
		}
		m.members[record.VM] = *record
	}
	if intentState != nil && (m.intentState == nil || m.currentView == nil || intentState.Revision > m.intentState.Revision) {
		m.intentState = intentState
		m.recordPropagationTime(intentState.Revision)
	}
	members := make([]view.Member, 0, len(m.members))
	for _, other := range m.sim.machines {
		if stored, ok := m.members[other.id]; ok {
			members = append(members, stored)
		}
	}
	v := view.Build(m.intentState, members, m.currentView, m.sim.now)
	if m.sim.opts.Policy == BramleyHome {
		v.UseHomePlacers()
	}
	m.currentView = v
	m.installView(v)
}

func (m *machine) installView(v *view.View) {
	if m.balancer != nil {
		m.balancer.setView(v)
		return
	}
	m.sim.updateImbalance(m.sim.serviceByName(m.service))
	m.updateLeavingSince()
	m.agent.setView(v)
}

func (m *machine) updateLeavingSince() {
	leaving := m.publishedStatus.Status == view.Leaving
	if ownRecord, ok := m.intentState.FindVM(m.id); ok && ownRecord.Status != intent.Active {
		leaving = true
	}
	if !leaving {
		m.leavingSince = time.Time{}
	} else if m.leavingSince.IsZero() {
		m.leavingSince = m.sim.now
	}
}

// eligible reports whether the upstream may receive new flows.
func (m *machine) eligible() bool {
	return !m.server.shedding && m.running && m.server.running && m.leavingSince.IsZero() && m.publishedStatus.Status == view.Ready
}

// recordPropagationTime records the time from the acceptance of a revision until
// this node applied it. It skips nodes that started after the acceptance.
func (m *machine) recordPropagationTime(revision uint64) {
	sim := m.sim
	if acceptedAt := sim.acceptedAt[revision]; !acceptedAt.Before(m.startedAt) {
		sim.result.MaxPropagationMs = max(sim.result.MaxPropagationMs, sim.now.Sub(acceptedAt).Milliseconds())
	}
}

// sendFrame sends a packet to the agent with the given address. A placed opening of
// a short request reserves a slot of the target until it has arrived.
func (m *machine) sendFrame(to netip.AddrPort, h frame.Header, s *segment) {
	target, ok := m.sim.machineByAddress[to]
	if !ok {
		return
	}
	delay := m.sim.linkDelay(m.zone, target.zone)
	if h.Flags.Has(frame.FlagPlaced) && target.server != nil && s.conn.service.shortRequests {
		target.server.addReservedSlots(1)
		m.sim.schedule(time.Duration((1+maxJitterFraction)*float64(delay)), func() { target.server.addReservedSlots(-1) })
	}
	m.sim.sendOverLink(delay, func() {
		if target.running && target.agent != nil {
			target.agent.handleFrame(h, s)
		}
	})
}

// sendMessage sends a peer message and adds its size to the control traffic.
func (m *machine) sendMessage(to netip.AddrPort, message *peer.Message) {
	target, ok := m.sim.machineByAddress[to]
	if !ok {
		return
	}
	body, err := peer.Encode(message)
	if err != nil {
		panic(err)
	}
	var h frame.MessageHeader
	header, err := h.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	m.controlBytes += int64(datagramBytes + framePrefixBytes + len(header) + peerTagBytes + len(body))
	m.sim.sendOverLink(m.sim.linkDelay(m.zone, target.zone), func() { target.receiveMessage(body) })
}

func (m *machine) receiveMessage(body []byte) {
	if !m.running {
		return
	}
	message, err := peer.Decode(body)
	if err != nil {
		m.sim.countDrop("peer_" + err.Error())
		return
	}
	if m.agent != nil {
		m.agent.handlePeerMessage(message)
	} else if message.Hint != nil {
		m.balancer.handleHint(message.Hint)
	}
}

// sendToCaller sends a packet to its caller directly, without a balancer.
func (m *machine) sendToCaller(conn *callerConn, s *segment) {
	if conn == nil {
		return
	}
	m.sim.sendOverLink(m.sim.opts.Deployment.CallerDelay, func() { conn.receive(s) })
}

func (m *machine) sendReset(conn *callerConn) {
	m.sendToCaller(conn, &segment{meta: packet.Meta{Protocol: packet.ProtocolTCP, Flags: packet.RST}})
}

func (sim *simulation) countDrop(reason string) { sim.result.Drops[reason]++ }
