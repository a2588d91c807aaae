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
	tickInterval = 5 * time.Millisecond
	quietTick    = 100 * time.Millisecond
	// datagramBytes is what IPv4 and UDP add to a frame.
	datagramBytes = 28
	peerTagBytes  = 16
	framePrefix   = 3
)

// entry decides for a balancer.
type entry interface {
	packet(s *segment)
	hint(h *peer.Hint)
	view(v *view.View)
}

// holder decides for an upstream.
type holder interface {
	frame(h frame.Header, s *segment)
	upstream(s *segment)
	peer(m *peer.Message)
	view(v *view.View)
	tick()
}

// machine is one VM with its process.
type machine struct {
	w           *world
	id          vm.ID
	role        vm.Role
	zone        zone.ID
	address     netip.AddrPort
	service     service.Name
	incarnation vm.Incarnation
	announced   view.Member
	alive       bool
	startedAt   time.Time
	state       *intent.State
	members     map[vm.ID]view.Member
	current     *view.View
	entry       entry
	holder      holder
	server      *server
	// leavingSince is when the machine learned that it is leaving.
	leavingSince time.Time
	controlBytes int64
}

func (w *world) buildMachines() {
	for _, v := range w.intent.VMs {
		m := &machine{
			w: w, id: v.ID, role: v.Role, zone: v.Zone, service: v.Service, incarnation: 1,
			address: netip.AddrPortFrom(v.Address, agentPort), alive: true,
		}
		w.machines = append(w.machines, m)
		w.byVM[m.id], w.byAddr[m.address] = m, m
		m.announced = view.Member{
			VM: m.id, Role: m.role, Zone: m.zone, Service: m.service, Address: m.address,
			Incarnation: 1, Status: view.Ready, Version: 1,
		}
		if m.role == vm.RoleUpstream {
			m.server = newServer(m)
		} else {
			w.fabric = append(w.fabric, m)
		}
		m.startProcess()
	}
	for _, m := range w.machines {
		m.snapshot()
	}
}

// startProcess creates the balancer or agent of a machine.
func (m *machine) startProcess() {
	m.startedAt = m.w.now
	m.members, m.current = map[vm.ID]view.Member{}, nil
	if m.role == vm.RoleBalancer {
		m.entry = newEntry(m)
		return
	}
	m.holder = newHolder(m)
	m.tickLater(m.incarnation)
}

// tickLater ticks the agent until it stops. Before the first opening it ticks
// less often, which saves most of the time of that part.
func (m *machine) tickLater(incarnation vm.Incarnation) {
	interval := tickInterval
	if m.w.now.Add(quietTick).Before(m.w.begin) {
		interval = quietTick
	}
	m.w.after(interval, func() {
		if m.alive && m.incarnation == incarnation {
			m.holder.tick()
			m.tickLater(incarnation)
		}
	})
}

// snapshot gives a process what every other process has announced so far.
func (m *machine) snapshot() {
	for _, other := range m.w.machines {
		m.members[other.id] = other.announced
	}
	m.learn(m.w.intent, nil)
}

// learn takes an update. Updates that are older than what is known are ignored.
func (m *machine) learn(state *intent.State, member *view.Member) {
	if !m.alive {
		return
	}
	if member != nil {
		known := m.members[member.VM]
		if known.Incarnation > member.Incarnation || (known.Incarnation == member.Incarnation && known.Version >= member.Version) {
			return
		}
		m.members[member.VM] = *member
	}
	if state != nil && (m.state == nil || m.current == nil || state.Revision > m.state.Revision) {
		m.state = state
		m.inForce(state.Revision)
	}
	list := make([]view.Member, 0, len(m.members))
	for _, other := range m.w.machines {
		if known, ok := m.members[other.id]; ok {
			list = append(list, known)
		}
	}
	v := view.Build(m.state, list, m.current, m.w.now)
	if m.w.opts.Policy == BramleyHome {
		v.UseHomePlacers()
	}
	m.current = v
	m.install(v)
}

func (m *machine) install(v *view.View) {
	if m.entry != nil {
		m.entry.view(v)
		return
	}
	m.w.account(m.w.run(m.service))
	m.noteLeaving()
	m.holder.view(v)
}

func (m *machine) noteLeaving() {
	leaving := m.announced.Status == view.Leaving
	if own, ok := m.state.FindVM(m.id); ok && own.Status != intent.Active {
		leaving = true
	}
	if !leaving {
		m.leavingSince = time.Time{}
	} else if m.leavingSince.IsZero() {
		m.leavingSince = m.w.now
	}
}

// eligible reports whether an upstream may get new work.
func (m *machine) eligible() bool {
	return !m.server.shedding && m.alive && m.server.up && m.leavingSince.IsZero() && m.announced.Status == view.Ready
}

// inForce records how long a revision took to reach a node.
// that was running when the revision was accepted.
func (m *machine) inForce(revision uint64) {
	w := m.w
	if accepted := w.accepted[revision]; !accepted.Before(m.startedAt) {
		w.result.InForceMsMax = max(w.result.InForceMsMax, w.now.Sub(accepted).Milliseconds())
	}
}

// sendFrame carries a packet to the agent at an address.
func (m *machine) sendFrame(to netip.AddrPort, h frame.Header, s *segment) {
	target, ok := m.w.byAddr[to]
	if !ok {
		return
	}
	delay := m.w.delay(m.zone, target.zone)
	if h.Flags.Has(frame.FlagPlaced) && target.server != nil && s.call.run.short {
		target.server.reserve(1)
		m.w.after(time.Duration((1+jitterShare)*float64(delay)), func() { target.server.reserve(-1) })
	}
	m.w.send(delay, func() {
		if target.alive && target.holder != nil {
			target.holder.frame(h, s)
		}
	})
}

// sendMessage carries a peer message and counts its bytes.
func (m *machine) sendMessage(to netip.AddrPort, message *peer.Message) {
	target, ok := m.w.byAddr[to]
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
	m.controlBytes += int64(datagramBytes + framePrefix + len(header) + peerTagBytes + len(body))
	m.w.send(m.w.delay(m.zone, target.zone), func() { target.receiveMessage(body) })
}

func (m *machine) receiveMessage(body []byte) {
	if !m.alive {
		return
	}
	message, err := peer.Decode(body)
	if err != nil {
		m.w.drop("peer_" + err.Error())
		return
	}
	if m.holder != nil {
		m.holder.peer(message)
	} else if message.Hint != nil {
		m.entry.hint(message.Hint)
	}
}

// sendToCaller carries a packet directly to its caller.
func (m *machine) sendToCaller(c *call, s *segment) {
	if c == nil {
		return
	}
	m.w.send(m.w.opts.Deployment.CallerDelay, func() { c.receive(s) })
}

func (m *machine) reset(c *call) {
	m.sendToCaller(c, &segment{meta: packet.Meta{Protocol: packet.ProtocolTCP, Flags: packet.RST}})
}

func (w *world) drop(reason string) { w.result.Drops[reason]++ }
