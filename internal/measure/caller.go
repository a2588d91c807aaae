package measure

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
)

const (
	// synRetransmitTimeout and dataRetransmitTimeout are the initial TCP
	// retransmission timeouts of the model. Each attempt doubles them.
	synRetransmitTimeout  = time.Second
	dataRetransmitTimeout = 200 * time.Millisecond
	maxSYNAttempts        = 5
	maxDataAttempts       = 8
	requestBytes          = 200
	responseBytes         = 800
	// fastOpenFraction of the flows send their first request with the SYN (TCP Fast
	// Open).
	fastOpenFraction = 0.05
	// stallTimeout is the time without progress after which an established flow
	// counts as broken. It is also the time for which a leaving upstream may
	// still receive new flows: later ones count in FlowsAfterLeave.
	stallTimeout = 3 * time.Second
)

// segment is a simulated TCP segment with the request or response that it
// carries. Requests and responses are identified by numbers, so that a response
// to the wrong request is detected.
type segment struct {
	meta packet.Meta
	conn *callerConn
	// request is the number of the request in a packet from a caller. It is 0 if
	// the packet carries none.
	request uint64
	// response is the number of the response in a packet from an upstream. It is 0
	// if the packet carries none.
	response uint64
	// ackedNumber is the highest request or response number that the sender has
	// received.
	ackedNumber uint64
}

type connPhase uint8

const (
	phaseOpening connPhase = iota + 1
	phaseEstablished
	phaseClosing
	phaseEnded
)

// callerConn is the caller's side of one flow: a TCP connection with one or more
// requests.
type callerConn struct {
	sim     *simulation
	service *serviceState
	key     flow.Key
	// random generates the think and service times of this connection. Each
	// connection has its own generator, so that all policies see the same times.
	random    *rand.Rand
	phase     connPhase
	openedAt  time.Time
	isn       uint32
	serverISN uint32
	// firstRequest and lastRequest are the numbers of the first and last request
	// of this connection. currentRequest is the number of the request sent last.
	// lastResponse is the highest number of a received response. ackedRequest is
	// the highest request number that the server has acknowledged.
	firstRequest, lastRequest, currentRequest uint64
	lastResponse                              uint64
	ackedRequest                              uint64
	// holder is the upstream VM to which the first packet was delivered.
	// holderGeneration is the generation of its server at that time.
	holder           *machine
	holderGeneration int
	// reservedOn is the server on which the oracle has reserved a slot for the
	// opening. The reservation ends when the opening arrives.
	reservedOn           *server
	refused              bool
	finSent, finReceived bool
	// fastOpen is set if the first request travels with the SYN (TCP Fast Open).
	fastOpen bool
}

// startOpenings sets the rate of openings of each service and schedules the first
// ones.
func (sim *simulation) startOpenings() {
	const (
		// holdingTime is the mean time for which a short request occupies a slot.
		// With 7 upstreams of 7 slots at 70 % load, it results in 46 openings per
		// second.
		holdingTime = 745 * time.Millisecond
		// sessionTime is the mean duration of a long flow.
		sessionTime = 20 * time.Second
	)
	for i, svc := range sim.services {
		capacity := float64(svc.Upstreams*sim.slots()) * sim.opts.Load
		svc.openingsPerSecond = capacity / holdingTime.Seconds()
		if !svc.shortRequests {
			svc.openingsPerSecond = capacity / (sessionTime.Seconds() * sessionSlotFraction)
		}
		if i == 0 {
			sim.trafficEnd = sim.trafficStart.Add(sim.trafficDuration())
		}
		sim.schedule(startupTime, func() { sim.scheduleNextOpening(svc) })
	}
}

// trafficDuration returns the time for which openings of the main service arrive.
func (sim *simulation) trafficDuration() time.Duration {
	if sim.opts.Duration > 0 {
		return sim.opts.Duration
	}
	return time.Duration(float64(sim.opts.Flows) / sim.services[0].openingsPerSecond * float64(time.Second))
}

func (sim *simulation) scheduleNextOpening(svc *serviceState) {
	sim.schedule(exponentialDuration(sim.callerRand.Float64(), time.Duration(float64(time.Second)/svc.openingsPerSecond)), func() {
		if sim.now.After(sim.trafficEnd) {
			return
		}
		sim.openConnection(svc)
		sim.scheduleNextOpening(svc)
	})
}

// exponentialDuration maps a uniform random number to an exponentially distributed
// duration.
func exponentialDuration(uniform float64, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-uniform) * float64(mean))
}

func (sim *simulation) openConnection(svc *serviceState) {
	connNumber := uint64(len(sim.connsByFlow) + 1)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(connNumber>>16), byte(connNumber >> 8), byte(connNumber)}), uint16(1024+connNumber%60_000))
	conn := &callerConn{
		sim: sim, service: svc, random: newRand(sim.opts.Seed, connNumber<<8), phase: phaseOpening, openedAt: sim.now, isn: uint32(connNumber * 65_537), firstRequest: connNumber << 16, lastRequest: connNumber << 16, lastResponse: connNumber<<16 - 1, currentRequest: connNumber<<16 - 1,
		key: flow.Key{Caller: caller, Virtual: svc.endpoint, Protocol: packet.ProtocolTCP},
	}
	conn.fastOpen = conn.random.Float64() < fastOpenFraction
	if !svc.shortRequests {
		const meanRequests = 20
		conn.lastRequest += 1 + uint64(exponentialDuration(conn.random.Float64(), meanRequests))
	}
	sim.connsByFlow[conn.key] = conn
	sim.result.Openings++
	conn.sendSYN(0)
}

func (c *callerConn) sendSYN(attempt int) {
	if c.phase != phaseOpening {
		return
	}
	if attempt == maxSYNAttempts {
		c.phase = phaseEnded
		c.sim.result.OpeningsTimedOut++
		return
	}
	s := segment{meta: packet.Meta{Flags: packet.SYN}}
	if c.fastOpen {
		c.currentRequest = c.firstRequest
		s.meta.PayloadBytes, s.request = requestBytes, c.firstRequest
	}
	c.send(s)
	c.sim.schedule(synRetransmitTimeout<<attempt, func() { c.sendSYN(attempt + 1) })
}

// send addresses a packet and sends it over the caller's link to a balancer.
func (c *callerConn) send(s segment) {
	s.conn = c
	s.meta.Source, s.meta.Destination, s.meta.Protocol = c.key.Caller, c.key.Virtual, c.key.Protocol
	s.ackedNumber = c.lastResponse
	s.meta.Sequence = c.sequenceNumber(&s)
	if s.meta.Flags.Has(packet.ACK) {
		s.meta.Ack = c.serverISN + 1 + responseBytes*uint32(c.lastResponse-(c.firstRequest-1))
		if c.finReceived {
			s.meta.Ack++
		}
	}
	c.sim.sendOverLink(c.sim.opts.Deployment.CallerDelay, func() { c.sim.deliverToBalancer(&s) })
}

// sequenceNumber returns the TCP sequence number of a packet.
func (c *callerConn) sequenceNumber(s *segment) uint32 {
	if s.meta.Flags.Has(packet.SYN) {
		return c.isn
	}
	if s.request != 0 {
		return c.isn + 1 + requestBytes*uint32(s.request-c.firstRequest)
	}
	number := c.isn + 1 + requestBytes*uint32(c.currentRequest-(c.firstRequest-1))
	if c.finSent && !s.meta.Flags.Has(packet.FIN) {
		number++
	}
	return number
}

// deliverToBalancer delivers a packet to the balancer selected by the hash of its
// flow. A small fraction of the packets (misroutedFraction) goes to a random
// balancer.
func (sim *simulation) deliverToBalancer(s *segment) {
	if len(sim.routedBalancers) == 0 {
		return
	}
	index := int(sim.hasher.Hash(s.conn.key) >> 8 % uint64(len(sim.routedBalancers)))
	if sim.linkRand.Float64() < misroutedFraction {
		index = sim.linkRand.IntN(len(sim.routedBalancers))
	}
	if selected := sim.routedBalancers[index]; selected.running {
		selected.balancer.handlePacket(s)
	}
}

// receive processes a packet from the agent.
func (c *callerConn) receive(s *segment) {
	if s.meta.Flags.Has(packet.RST) {
		c.receiveReset()
		return
	}
	if s.meta.Flags.Has(packet.SYN) {
		c.receiveSYNACK(s)
		return
	}
	if c.phase != phaseEstablished && c.phase != phaseClosing {
		return
	}
	c.ackedRequest = max(c.ackedRequest, s.ackedNumber)
	if s.response != 0 {
		c.receiveResponse(s.response)
	}
	if s.meta.Flags.Has(packet.FIN) && c.phase == phaseClosing {
		c.phase, c.finReceived = phaseEnded, true
		c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
	}
}

func (c *callerConn) receiveSYNACK(s *segment) {
	switch c.phase {
	case phaseOpening:
		c.phase, c.serverISN = phaseEstablished, s.meta.Sequence
		c.ackedRequest = max(c.ackedRequest, s.ackedNumber)
		c.sim.result.EstablishedFlows++
		c.sim.histograms.record(c.sim.histograms.openingMicros, c.sim.now.Sub(c.openedAt).Microseconds())
		c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
		c.startRequest(c.firstRequest)
	case phaseEstablished, phaseClosing:
		// A repeated SYN-ACK is answered with an ACK of the current position, as TCP
		// does for segments outside the window.
		c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
	}
}

func (c *callerConn) startRequest(number uint64) {
	if c.phase != phaseEstablished {
		return
	}
	c.currentRequest = number
	c.sendRequest(number, 0)
	c.sim.schedule(stallTimeout, func() { c.breakIfStalled(number) })
}

func (c *callerConn) sendRequest(number uint64, attempt int) {
	if c.phase != phaseEstablished || c.currentRequest != number || c.ackedRequest >= number || attempt == maxDataAttempts {
		return
	}
	c.send(segment{meta: packet.Meta{Flags: packet.ACK | packet.PSH, PayloadBytes: requestBytes}, request: number})
	c.sim.schedule(dataRetransmitTimeout<<attempt, func() { c.sendRequest(number, attempt+1) })
}

// breakIfStalled marks the flow as broken if neither an acknowledgement of the
// request nor its response has arrived.
func (c *callerConn) breakIfStalled(number uint64) {
	if c.phase == phaseEstablished && c.currentRequest == number && c.ackedRequest < number && c.lastResponse < number {
		c.markBroken(&c.sim.result.BrokenByStall)
	}
}

// scheduleResponseCheck marks the flow as broken if a response that is sent now
// does not arrive within stallTimeout.
func (c *callerConn) scheduleResponseCheck(number uint64) {
	c.sim.schedule(stallTimeout, func() {
		if c.phase == phaseEstablished && c.lastResponse < number {
			c.markBroken(&c.sim.result.BrokenByStall)
		}
	})
}

func (c *callerConn) receiveResponse(number uint64) {
	if number < c.firstRequest || number > c.lastRequest || number > c.currentRequest {
		c.sim.result.WrongResponses++
		return
	}
	alreadyReceived := c.lastResponse >= number
	c.lastResponse = max(c.lastResponse, number)
	c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
	if alreadyReceived || c.phase != phaseEstablished {
		return
	}
	if number == c.lastRequest {
		c.phase = phaseClosing
		c.sendFIN(0)
		return
	}
	c.sim.schedule(exponentialDuration(c.random.Float64(), meanThinkTime), func() { c.startRequest(number + 1) })
}

func (c *callerConn) sendFIN(attempt int) {
	if c.phase != phaseClosing || attempt == maxDataAttempts {
		return
	}
	c.finSent = true
	c.send(segment{meta: packet.Meta{Flags: packet.FIN | packet.ACK}})
	c.sim.schedule(dataRetransmitTimeout<<attempt, func() { c.sendFIN(attempt + 1) })
}

func (c *callerConn) receiveReset() {
	switch c.phase {
	case phaseOpening:
		c.phase, c.refused = phaseEnded, true
		c.sim.result.OpeningsRefused++
		c.sim.countIfExecuted(c)
	case phaseEstablished:
		c.markBroken(&c.sim.result.BrokenByReset)
	case phaseClosing:
		c.phase = phaseEnded
	}
}

// markBroken ends an established flow that did not get all its responses. It does
// not count flows of a crashed server: server.crash counts them as lost.
func (c *callerConn) markBroken(counter *int64) {
	c.phase = phaseEnded
	if c.holder != nil && c.holder.server.generation > c.holderGeneration {
		return
	}
	*counter++
	c.sim.result.BrokenFlows++
}

// countIfExecuted counts a refused connection whose first request was executed
// nevertheless.
func (sim *simulation) countIfExecuted(conn *callerConn) {
	if sim.executions[conn.firstRequest] > 0 {
		sim.result.RefusedButExecuted++
	}
}
