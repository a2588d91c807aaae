package measure

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/packet"
)

const (
	// meanThinkTime and meanRequestTime are the mean durations of the two phases of
	// a long flow: the pause before a request, and its execution.
	meanThinkTime   = 800 * time.Millisecond
	meanRequestTime = 200 * time.Millisecond
	// sessionSlotFraction is the fraction of time for which a long flow occupies a
	// slot.
	sessionSlotFraction = 0.2
	// meanShortServiceTime is the mean service time of a short request.
	// A fraction of the short requests (longServiceFraction) takes longer, with the
	// mean meanLongServiceTime.
	meanShortServiceTime = 250 * time.Millisecond
	meanLongServiceTime  = 16 * time.Second
	longServiceFraction  = 0.03
	// warmUpSlowdown multiplies service times during the warm-up of a server.
	warmUpSlowdown = 3
	// loadReportInterval is the time between two load reports from a server to its
	// agent.
	loadReportInterval = 500 * time.Millisecond
	// closedConnRetention is the time for which a closed connection is kept, so that
	// late retransmissions still find it.
	closedConnRetention = 5 * time.Second
	// halfOpenTimeout is the time after which a server closes a half-open connection.
	halfOpenTimeout = 10 * time.Second
)

// server models the upstream process that runs beside an agent.
type server struct {
	machine *machine
	running bool
	conns   map[netip.AddrPort]*serverConn
	// occupiedSlots counts the open connections if the service takes short
	// requests. Otherwise it counts the requests in execution.
	occupiedSlots     int
	executingRequests int
	queuedRequests    []func()
	// reservedSlots counts openings that were placed on this server and have not
	// arrived yet.
	reservedSlots int
	// restartedAt is the time of the last restart after a crash. It is zero if the
	// server has not crashed.
	restartedAt time.Time
	// generation is incremented by each crash. It identifies events of an earlier
	// incarnation of the server.
	generation int
	// The following fields are set by scenarios. With shedding the server requests
	// no new work. With reportsIdle its load reports are always zero. Until
	// warmUpUntil it is slower than normal.
	shedding, reportsIdle bool
	warmUpUntil           time.Time
	// slotFreeSince is the last time at which the server changed from having no free
	// slot to having one.
	slotFreeSince time.Time
}

type serverConn struct {
	callerConn  *callerConn
	alias       netip.AddrPort
	isn         uint32
	established bool
	closed      bool
	// nextRequest is the number of the next request to execute. ackedResponse is
	// the highest response number that the caller has acknowledged.
	nextRequest, ackedResponse uint64
	// lastResponse is the number of the last response that was sent.
	lastResponse      uint64
	callerFINReceived bool
}

// responsesSent returns the number of responses sent on the connection.
func (c *serverConn) responsesSent() uint32 {
	return uint32(c.lastResponse - (c.callerConn.firstRequest - 1))
}

// setSequenceNumbers sets the TCP sequence and acknowledgement numbers of a packet.
func (c *serverConn) setSequenceNumbers(p *segment) {
	p.meta.Ack = c.callerConn.isn + 1 + requestBytes*uint32(c.nextRequest-c.callerConn.firstRequest)
	if c.callerFINReceived {
		p.meta.Ack++
	}
	switch {
	case p.meta.Flags.Has(packet.SYN):
		p.meta.Sequence = c.isn
	case p.response != 0:
		p.meta.Sequence = c.isn + 1 + responseBytes*uint32(p.response-c.callerConn.firstRequest)
	default:
		p.meta.Sequence = c.isn + 1 + responseBytes*c.responsesSent()
		if c.closed {
			p.meta.Sequence++
		}
	}
}

func newServer(m *machine) *server {
	return &server{machine: m, running: true, conns: map[netip.AddrPort]*serverConn{}, slotFreeSince: m.sim.now}
}

// loadReport returns the load that the server reports to its agent.
func (s *server) loadReport() agent.UpstreamLoad {
	if s.reportsIdle {
		return agent.UpstreamLoad{}
	}
	return agent.UpstreamLoad{Busy: s.executingRequests + len(s.queuedRequests), Shedding: s.shedding}
}

// withWarmUpSlowdown returns the duration d, extended if the server is warming up.
func (s *server) withWarmUpSlowdown(d time.Duration) time.Duration {
	if s.machine.sim.now.Before(s.warmUpUntil) {
		return warmUpSlowdown * d
	}
	return d
}

func (s *server) addOccupiedSlots(delta int) {
	s.machine.sim.updateImbalance(s.machine.sim.serviceByName(s.machine.service))
	wasFull := s.allSlotsTaken()
	s.occupiedSlots += delta
	s.updateSlotFreeSince(wasFull)
}

// addReservedSlots changes the number of slots reserved for openings that are on
// their way.
func (s *server) addReservedSlots(delta int) {
	wasFull := s.allSlotsTaken()
	s.reservedSlots += delta
	s.updateSlotFreeSince(wasFull)
}

func (s *server) updateSlotFreeSince(wasFull bool) {
	if wasFull && !s.allSlotsTaken() {
		s.slotFreeSince = s.machine.sim.now
		s.machine.sim.scheduleWaitCheck(s.machine)
	}
}

// allSlotsTaken reports whether every slot is occupied or reserved.
func (s *server) allSlotsTaken() bool {
	return s.occupiedSlots+s.reservedSlots >= s.machine.sim.slots()
}

// receive processes a packet that the agent delivered to the upstream.
func (s *server) receive(alias netip.AddrPort, p *segment) {
	if !s.running {
		return
	}
	if p.conn.service.Name != s.machine.service {
		s.machine.sim.result.PacketsForWrongService++
		return
	}
	c := s.conns[alias]
	switch {
	case p.meta.Flags.Has(packet.RST):
		s.close(c)
	case p.meta.IsOpening():
		s.receiveSYN(c, alias, p)
	case c == nil || c.callerConn != p.conn || (!c.established && p.meta.Ack-(c.isn+1) > responseBytes*c.responsesSent()):
		s.sendToAgent(alias, segment{meta: packet.Meta{Flags: packet.RST}})
	default:
		s.receiveData(c, p)
	}
}

func (s *server) receiveSYN(c *serverConn, alias netip.AddrPort, p *segment) {
	if c != nil && c.closed && c.callerConn != p.conn {
		c = nil
	}
	if c == nil {
		c = &serverConn{callerConn: p.conn, alias: alias, isn: s.machine.sim.serverRand.Uint32(), nextRequest: p.conn.firstRequest, lastResponse: p.conn.firstRequest - 1}
		s.conns[alias] = c
		s.connectionOpened(c)
	}
	if c.established || c.closed {
		return
	}
	if p.request == c.nextRequest {
		// TCP Fast Open: the SYN carries the first request.
		c.nextRequest++
		s.executeRequest(c, p.request)
	}
	s.sendToAgent(alias, segment{meta: packet.Meta{Flags: packet.SYN | packet.ACK}, ackedNumber: c.nextRequest - 1})
}

func (s *server) connectionOpened(c *serverConn) {
	sim := s.machine.sim
	c.callerConn.holder, c.callerConn.holderGeneration = s.machine, s.generation
	if reserved := c.callerConn.reservedOn; reserved != nil {
		reserved.addReservedSlots(-1)
		c.callerConn.reservedOn = nil
	}
	if leavingSince := s.machine.leavingSince; !leavingSince.IsZero() && sim.now.Sub(leavingSince) > stallTimeout {
		sim.result.FlowsAfterLeave++
	}
	if c.callerConn.refused {
		sim.countIfExecuted(c.callerConn)
	}
	if c.callerConn.service.shortRequests {
		s.addOccupiedSlots(1)
	}
	generation := s.generation
	sim.schedule(halfOpenTimeout, func() {
		if s.generation == generation && !c.established {
			s.close(c)
		}
	})
}

func (s *server) receiveData(c *serverConn, p *segment) {
	if !c.established {
		c.established = true
		c.callerConn.holder, c.callerConn.holderGeneration = s.machine, s.generation
	}
	c.ackedResponse = max(c.ackedResponse, p.ackedNumber)
	if p.request != 0 {
		s.receiveRequest(c, p.request)
	}
	if p.meta.Flags.Has(packet.FIN) {
		c.callerFINReceived = true
		s.sendToAgent(c.alias, segment{meta: packet.Meta{Flags: packet.FIN | packet.ACK}, ackedNumber: c.nextRequest - 1})
		s.close(c)
	}
}

func (s *server) receiveRequest(c *serverConn, number uint64) {
	if number == c.nextRequest && !c.closed {
		c.nextRequest++
		s.executeRequest(c, number)
	}
	s.sendToAgent(c.alias, segment{meta: packet.Meta{Flags: packet.ACK}, ackedNumber: c.nextRequest - 1})
}

// executeRequest executes a request and sends the response. A request of a long
// flow waits until a slot is free.
func (s *server) executeRequest(c *serverConn, number uint64) {
	sim := s.machine.sim
	sim.executions[number]++
	if sim.executions[number] > 1 {
		sim.result.ExecutedTwice++
	}
	if c.callerConn.refused {
		sim.result.RefusedButExecuted++
	}
	if c.callerConn.service.shortRequests {
		s.scheduleUnlessCrashed(s.withWarmUpSlowdown(c.callerConn.drawServiceTime()), func() { s.sendResponse(c, number, 0) })
		return
	}
	s.queuedRequests = append(s.queuedRequests, func() {
		s.scheduleUnlessCrashed(s.withWarmUpSlowdown(exponentialDuration(c.callerConn.random.Float64(), meanRequestTime)), func() {
			s.executingRequests--
			s.addOccupiedSlots(-1)
			s.sendResponse(c, number, 0)
			s.startQueuedRequests()
		})
	})
	s.startQueuedRequests()
}

// drawServiceTime returns a random service time of a short request.
func (c *callerConn) drawServiceTime() time.Duration {
	mean := meanShortServiceTime
	if c.random.Float64() < longServiceFraction {
		mean = meanLongServiceTime
	}
	return exponentialDuration(c.random.Float64(), mean)
}

// startQueuedRequests starts queued requests while slots are free.
func (s *server) startQueuedRequests() {
	for len(s.queuedRequests) > 0 && s.executingRequests < s.machine.sim.slots() {
		start := s.queuedRequests[0]
		s.queuedRequests = s.queuedRequests[1:]
		s.executingRequests++
		s.addOccupiedSlots(1)
		start()
	}
}

// scheduleUnlessCrashed runs a function after a delay, unless the server has
// crashed in the meantime.
func (s *server) scheduleUnlessCrashed(d time.Duration, run func()) {
	generation := s.generation
	s.machine.sim.schedule(d, func() {
		if s.generation == generation {
			run()
		}
	})
}

// sendResponse sends a response and retransmits it until the caller has
// acknowledged it, at most maxDataAttempts times.
func (s *server) sendResponse(c *serverConn, number uint64, attempt int) {
	if c.closed || c.ackedResponse >= number || attempt == maxDataAttempts {
		return
	}
	if attempt == 0 {
		c.lastResponse = number
		c.callerConn.scheduleResponseCheck(number)
	}
	s.sendToAgent(c.alias, segment{meta: packet.Meta{Flags: packet.ACK | packet.PSH, PayloadBytes: responseBytes}, response: number, ackedNumber: number})
	s.scheduleUnlessCrashed(dataRetransmitTimeout<<attempt, func() { s.sendResponse(c, number, attempt+1) })
}

func (s *server) sendToAgent(alias netip.AddrPort, p segment) {
	m := s.machine
	if c := s.conns[alias]; c != nil {
		c.setSequenceNumbers(&p)
	}
	p.meta.Source, p.meta.Destination, p.meta.Protocol = netip.AddrPortFrom(m.address.Addr(), upstreamPort), alias, packet.ProtocolTCP
	m.sim.schedule(0, func() {
		if m.running && m.agent != nil {
			m.agent.handleUpstreamPacket(&p)
		}
	})
}

// close closes a connection and releases its slot. The connection is removed after
// closedConnRetention.
func (s *server) close(c *serverConn) {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	if c.callerConn.service.shortRequests {
		s.addOccupiedSlots(-1)
	}
	s.scheduleUnlessCrashed(closedConnRetention, func() {
		if s.conns[c.alias] == c {
			delete(s.conns, c.alias)
		}
	})
}

// crash stops the server and discards all connections and requests.
func (s *server) crash() {
	s.machine.sim.updateImbalance(s.machine.sim.serviceByName(s.machine.service))
	for _, c := range s.conns {
		if !c.closed && c.callerConn.phase == phaseEstablished {
			s.machine.sim.result.LostInUpstreamCrash++
		}
	}
	s.running, s.occupiedSlots, s.executingRequests, s.queuedRequests = false, 0, 0, nil
	s.conns = map[netip.AddrPort]*serverConn{}
	s.generation++
}
