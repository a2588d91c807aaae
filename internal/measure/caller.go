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
	// synTimeout and dataTimeout are the first retransmission times of TCP.
	synTimeout   = time.Second
	dataTimeout  = 200 * time.Millisecond
	synAttempts  = 5
	dataAttempts = 8
	requestBytes = 200
	answerBytes  = 800
	// fastOpenShare of the flows send their first request with the SYN.
	fastOpenShare = 0.05
	// stallLimit makes an established flow a broken one.
	stallLimit = 3 * time.Second
)

// segment is a packet with what it carries. Requests and answers are numbers,
// so that a wrong answer shows.
type segment struct {
	meta packet.Meta
	call *call
	// request is the number of the request in a packet of a caller, and answer
	// that of the response in a packet of an upstream; 0 if there is none.
	request uint64
	answer  uint64
	// acked is the greatest number whose receipt is confirmed.
	acked uint64
}

type callPhase uint8

const (
	opening callPhase = iota + 1
	established
	finishing
	ended
)

// call is one flow of a caller: a connection with one or more requests.
type call struct {
	w   *world
	run *serviceRun
	key flow.Key
	// random draws the think and service times of this call, so that they are
	// the same under every policy.
	random    *rand.Rand
	phase     callPhase
	openedAt  time.Time
	isn       uint32
	serverISN uint32
	// first and last number the requests; next is the last one that was sent.
	first, last, next uint64
	answered          uint64
	acked             uint64
	// holder is where the first packet was delivered.
	holder           *machine
	holderGeneration int
	// placed is the server for which the oracle counts the opening until it
	// arrives.
	placed           *server
	refused          bool
	finSent, finSeen bool
	// fastOpen: the first request travels with the SYN (TCP Fast Open).
	fastOpen bool
}

// startCallers schedules the openings of all services.
func (w *world) startCallers() {
	const (
		// holdingTime is the mean time for which a short request holds a slot.
		// With 7 upstreams of 7 slots at 70 % it gives 46 openings a second.
		holdingTime = 745 * time.Millisecond
		// sessionTime is the mean life of a long flow.
		sessionTime = 20 * time.Second
	)
	for i, s := range w.loads {
		capacity := float64(s.Upstreams*w.slots()) * w.opts.Load
		s.rate = capacity / holdingTime.Seconds()
		if !s.short {
			s.rate = capacity / (sessionTime.Seconds() * sessionUse)
		}
		if i == 0 {
			w.end = w.begin.Add(w.duration())
		}
		w.after(quietTime, func() { w.nextOpening(s) })
	}
}

// duration is the time in which the openings of the main service arrive.
func (w *world) duration() time.Duration {
	if w.opts.Duration > 0 {
		return w.opts.Duration
	}
	return time.Duration(float64(w.opts.Flows) / w.loads[0].rate * float64(time.Second))
}

func (w *world) nextOpening(s *serviceRun) {
	w.after(exponential(w.callers.Float64(), time.Duration(float64(time.Second)/s.rate)), func() {
		if w.now.After(w.end) {
			return
		}
		w.open(s)
		w.nextOpening(s)
	})
}

// exponential returns an exponentially distributed time.
func exponential(uniform float64, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-uniform) * float64(mean))
}

func (w *world) open(s *serviceRun) {
	n := uint64(len(w.calls) + 1)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(n>>16), byte(n >> 8), byte(n)}), uint16(1024+n%60_000))
	c := &call{
		w: w, run: s, random: newRand(w.opts.Seed, n<<8), phase: opening, openedAt: w.now, isn: uint32(n * 65_537), first: n << 16, last: n << 16, answered: n<<16 - 1, next: n<<16 - 1,
		key: flow.Key{Caller: caller, Virtual: s.endpoint, Protocol: packet.ProtocolTCP},
	}
	c.fastOpen = c.random.Float64() < fastOpenShare
	if !s.short {
		const meanRequests = 20
		c.last += 1 + uint64(exponential(c.random.Float64(), meanRequests))
	}
	w.calls[c.key] = c
	w.result.Openings++
	c.sendSYN(0)
}

func (c *call) sendSYN(attempt int) {
	if c.phase != opening {
		return
	}
	if attempt == synAttempts {
		c.phase = ended
		c.w.result.OpeningsTimedOut++
		return
	}
	s := segment{meta: packet.Meta{Flags: packet.SYN}}
	if c.fastOpen {
		c.next = c.first
		s.meta.PayloadBytes, s.request = requestBytes, c.first
	}
	c.send(s)
	c.w.after(synTimeout<<attempt, func() { c.sendSYN(attempt + 1) })
}

// send passes a packet to the balancer that the fabric chooses.
func (c *call) send(s segment) {
	s.call = c
	s.meta.Source, s.meta.Destination, s.meta.Protocol = c.key.Caller, c.key.Virtual, c.key.Protocol
	s.acked = c.answered
	s.meta.Sequence = c.sequence(&s)
	if s.meta.Flags.Has(packet.ACK) {
		s.meta.Ack = c.serverISN + 1 + answerBytes*uint32(c.answered-(c.first-1))
		if c.finSeen {
			s.meta.Ack++
		}
	}
	c.w.send(c.w.opts.Deployment.CallerDelay, func() { c.w.arrive(&s) })
}

// sequence returns the TCP sequence number of a packet.
func (c *call) sequence(s *segment) uint32 {
	if s.meta.Flags.Has(packet.SYN) {
		return c.isn
	}
	if s.request != 0 {
		return c.isn + 1 + requestBytes*uint32(s.request-c.first)
	}
	n := c.isn + 1 + requestBytes*uint32(c.next-(c.first-1))
	if c.finSent && !s.meta.Flags.Has(packet.FIN) {
		n++
	}
	return n
}

// arrive hands a packet to a balancer: normally that of the flow.
func (w *world) arrive(s *segment) {
	if len(w.fabric) == 0 {
		return
	}
	i := int(w.hasher.Hash(s.call.key) >> 8 % uint64(len(w.fabric)))
	if w.links.Float64() < sprayShare {
		i = w.links.IntN(len(w.fabric))
	}
	if b := w.fabric[i]; b.alive {
		b.entry.packet(s)
	}
}

// receive takes a packet from the agent.
func (c *call) receive(s *segment) {
	if s.meta.Flags.Has(packet.RST) {
		c.receiveReset()
		return
	}
	if s.meta.Flags.Has(packet.SYN) {
		c.receiveSYNACK(s)
		return
	}
	if c.phase != established && c.phase != finishing {
		return
	}
	c.acked = max(c.acked, s.acked)
	if s.answer != 0 {
		c.receiveAnswer(s.answer)
	}
	if s.meta.Flags.Has(packet.FIN) && c.phase == finishing {
		c.phase, c.finSeen = ended, true
		c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
	}
}

func (c *call) receiveSYNACK(s *segment) {
	switch c.phase {
	case opening:
		c.phase, c.serverISN = established, s.meta.Sequence
		c.acked = max(c.acked, s.acked)
		c.w.result.EstablishedFlows++
		c.w.samples.record(c.w.samples.opening, c.w.now.Sub(c.openedAt).Microseconds())
		c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
		c.request(c.first)
	case established, finishing:
		// A SYN-ACK outside the window is answered with the current position.
		c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
	}
}

func (c *call) request(number uint64) {
	if c.phase != established {
		return
	}
	c.next = number
	c.sendRequest(number, 0)
	c.w.after(stallLimit, func() { c.checkStall(number) })
}

func (c *call) sendRequest(number uint64, attempt int) {
	if c.phase != established || c.next != number || c.acked >= number || attempt == dataAttempts {
		return
	}
	c.send(segment{meta: packet.Meta{Flags: packet.ACK | packet.PSH, PayloadBytes: requestBytes}, request: number})
	c.w.after(dataTimeout<<attempt, func() { c.sendRequest(number, attempt+1) })
}

// checkStall breaks a flow whose request or response made no progress.
func (c *call) checkStall(number uint64) {
	if c.phase == established && c.next == number && c.acked < number && c.answered < number {
		c.broken(&c.w.result.BrokenStalled)
	}
}

// watchAnswer breaks the flow if a response that was sent now does not arrive.
func (c *call) watchAnswer(number uint64) {
	c.w.after(stallLimit, func() {
		if c.phase == established && c.answered < number {
			c.broken(&c.w.result.BrokenStalled)
		}
	})
}

func (c *call) receiveAnswer(number uint64) {
	if number < c.first || number > c.last || number > c.next {
		c.w.result.WrongAnswer++
		return
	}
	known := c.answered >= number
	c.answered = max(c.answered, number)
	c.send(segment{meta: packet.Meta{Flags: packet.ACK}})
	if known || c.phase != established {
		return
	}
	if number == c.last {
		c.phase = finishing
		c.sendFIN(0)
		return
	}
	c.w.after(exponential(c.random.Float64(), thinkTime), func() { c.request(number + 1) })
}

func (c *call) sendFIN(attempt int) {
	if c.phase != finishing || attempt == dataAttempts {
		return
	}
	c.finSent = true
	c.send(segment{meta: packet.Meta{Flags: packet.FIN | packet.ACK}})
	c.w.after(dataTimeout<<attempt, func() { c.sendFIN(attempt + 1) })
}

func (c *call) receiveReset() {
	switch c.phase {
	case opening:
		c.phase, c.refused = ended, true
		c.w.result.OpeningsRefused++
		c.w.checkRefused(c)
	case established:
		c.broken(&c.w.result.BrokenReset)
	case finishing:
		c.phase = ended
	}
}

// broken ends an established flow that did not get all its answers. Flows of a
// crashed server were counted when it crashed.
func (c *call) broken(kind *int64) {
	c.phase = ended
	if c.holder != nil && c.holder.server.generation > c.holderGeneration {
		return
	}
	*kind++
	c.w.result.BrokenFlows++
}

// checkRefused counts an opening that was refused as not run but did run.
func (w *world) checkRefused(c *call) {
	if w.runs[c.first] > 0 {
		w.result.RefusedButRan++
	}
}
