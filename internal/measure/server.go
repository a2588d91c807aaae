package measure

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/packet"
)

const (
	// thinkTime and serveTime are the means of a long flow's request cycle.
	thinkTime = 800 * time.Millisecond
	serveTime = 200 * time.Millisecond
	// sessionUse is the share of time for which a long flow occupies a slot.
	sessionUse = 0.2
	// shortTime and heldTime are the mean service times of a short request and
	// of the few that hold their slot for long.
	shortTime = 250 * time.Millisecond
	heldTime  = 16 * time.Second
	heldShare = 0.03
	// coldFactor multiplies service times while the server is cold.
	coldFactor = 3
	// reportInterval is how often the agent reads the report of its server.
	reportInterval = 500 * time.Millisecond
	// lingerTime keeps a closed connection for late retransmissions.
	lingerTime = 5 * time.Second
	// synReceivedTime is how long a server keeps a half-open connection.
	synReceivedTime = 10 * time.Second
)

// server is the upstream process beside an agent.
type server struct {
	m     *machine
	up    bool
	conns map[netip.AddrPort]*conn
	// busy counts occupied slots: connections of a service with short requests,
	// else requests in execution.
	busy    int
	running int
	waiting []func()
	// placed counts chosen openings that are under way to this server.
	placed int
	// startedAt is set when the server has returned after a crash.
	startedAt time.Time
	// generation tells the lives of a crashed and returned server apart.
	generation int
	// shedding, lying and coldUntil are set by scenarios: the server asks for no
	// work, reports that it is idle, or is slower than normal.
	shedding, lying bool
	coldUntil       time.Time
	// freeSince is when the server last went from no free slot to one.
	freeSince time.Time
}

type conn struct {
	call        *call
	alias       netip.AddrPort
	isn         uint32
	established bool
	closed      bool
	// next is the request that is executed next, acked the last response whose
	// receipt the caller confirmed.
	next, acked uint64
	// answered is the last response that was sent.
	answered  uint64
	callerFin bool
}

// sent counts the responses.
func (c *conn) sent() uint32 { return uint32(c.answered - (c.call.first - 1)) }

// stamp sets the TCP sequence numbers of a packet.
func (c *conn) stamp(p *segment) {
	p.meta.Ack = c.call.isn + 1 + requestBytes*uint32(c.next-c.call.first)
	if c.callerFin {
		p.meta.Ack++
	}
	switch {
	case p.meta.Flags.Has(packet.SYN):
		p.meta.Sequence = c.isn
	case p.answer != 0:
		p.meta.Sequence = c.isn + 1 + answerBytes*uint32(p.answer-c.call.first)
	default:
		p.meta.Sequence = c.isn + 1 + answerBytes*c.sent()
		if c.closed {
			p.meta.Sequence++
		}
	}
}

func newServer(m *machine) *server {
	return &server{m: m, up: true, conns: map[netip.AddrPort]*conn{}, freeSince: m.w.now}
}

// report is what the server says about itself.
func (s *server) report() agent.UpstreamLoad {
	if s.lying {
		return agent.UpstreamLoad{}
	}
	return agent.UpstreamLoad{Busy: s.running + len(s.waiting), Shedding: s.shedding}
}

// slowed returns how long something takes on this server now.
func (s *server) slowed(d time.Duration) time.Duration {
	if s.m.w.now.Before(s.coldUntil) {
		return coldFactor * d
	}
	return d
}

func (s *server) occupy(delta int) {
	s.m.w.account(s.m.w.run(s.m.service))
	full := s.full()
	s.busy += delta
	s.noteFree(full)
}

// reserve changes the number of openings under way to this server.
func (s *server) reserve(delta int) {
	full := s.full()
	s.placed += delta
	s.noteFree(full)
}

func (s *server) noteFree(wasFull bool) {
	if wasFull && !s.full() {
		s.freeSince = s.m.w.now
		s.m.w.watchWaiting(s.m)
	}
}

// full reports whether every slot is occupied or has an opening under way.
func (s *server) full() bool { return s.busy+s.placed >= s.m.w.slots() }

// receive takes a packet that the agent delivered to the upstream.
func (s *server) receive(alias netip.AddrPort, p *segment) {
	if !s.up {
		return
	}
	if p.call.run.Name != s.m.service {
		s.m.w.result.WrongService++
		return
	}
	c := s.conns[alias]
	switch {
	case p.meta.Flags.Has(packet.RST):
		s.close(c)
	case p.meta.Opening():
		s.receiveSYN(c, alias, p)
	case c == nil || c.call != p.call || (!c.established && p.meta.Ack-(c.isn+1) > answerBytes*c.sent()):
		s.reply(alias, segment{meta: packet.Meta{Flags: packet.RST}})
	default:
		s.receiveData(c, p)
	}
}

func (s *server) receiveSYN(c *conn, alias netip.AddrPort, p *segment) {
	if c != nil && c.closed && c.call != p.call {
		c = nil
	}
	if c == nil {
		c = &conn{call: p.call, alias: alias, isn: s.m.w.servers.Uint32(), next: p.call.first, answered: p.call.first - 1}
		s.conns[alias] = c
		s.opened(c)
	}
	if c.established || c.closed {
		return
	}
	if p.request == c.next {
		// TCP Fast Open: the opening carries the first request.
		c.next++
		s.execute(c, p.request)
	}
	s.reply(alias, segment{meta: packet.Meta{Flags: packet.SYN | packet.ACK}, acked: c.next - 1})
}

func (s *server) opened(c *conn) {
	w := s.m.w
	c.call.holder, c.call.holderGeneration = s.m, s.generation
	if p := c.call.placed; p != nil {
		p.reserve(-1)
		c.call.placed = nil
	}
	if since := s.m.leavingSince; !since.IsZero() && w.now.Sub(since) > stallLimit {
		w.result.WorkAfterLeave++
	}
	if c.call.refused {
		w.checkRefused(c.call)
	}
	if c.call.run.short {
		s.occupy(1)
	}
	generation := s.generation
	w.after(synReceivedTime, func() {
		if s.generation == generation && !c.established {
			s.close(c)
		}
	})
}

func (s *server) receiveData(c *conn, p *segment) {
	if !c.established {
		c.established = true
		c.call.holder, c.call.holderGeneration = s.m, s.generation
	}
	c.acked = max(c.acked, p.acked)
	if p.request != 0 {
		s.receiveRequest(c, p.request)
	}
	if p.meta.Flags.Has(packet.FIN) {
		c.callerFin = true
		s.reply(c.alias, segment{meta: packet.Meta{Flags: packet.FIN | packet.ACK}, acked: c.next - 1})
		s.close(c)
	}
}

func (s *server) receiveRequest(c *conn, number uint64) {
	if number == c.next && !c.closed {
		c.next++
		s.execute(c, number)
	}
	s.reply(c.alias, segment{meta: packet.Meta{Flags: packet.ACK}, acked: c.next - 1})
}

// execute runs a request when a slot is free and answers it.
func (s *server) execute(c *conn, number uint64) {
	w := s.m.w
	w.runs[number]++
	if w.runs[number] > 1 {
		w.result.RunTwice++
	}
	if c.call.refused {
		w.result.RefusedButRan++
	}
	if c.call.run.short {
		s.later(s.slowed(c.call.serviceTime()), func() { s.answer(c, number, 0) })
		return
	}
	s.waiting = append(s.waiting, func() {
		s.later(s.slowed(exponential(c.call.random.Float64(), serveTime)), func() {
			s.running--
			s.occupy(-1)
			s.answer(c, number, 0)
			s.dispatch()
		})
	})
	s.dispatch()
}

// serviceTime draws the time of a short request.
func (c *call) serviceTime() time.Duration {
	mean := shortTime
	if c.random.Float64() < heldShare {
		mean = heldTime
	}
	return exponential(c.random.Float64(), mean)
}

// dispatch starts waiting requests while slots are free.
func (s *server) dispatch() {
	for len(s.waiting) > 0 && s.running < s.m.w.slots() {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.occupy(1)
		next()
	}
}

// later runs f unless the server has crashed meanwhile.
func (s *server) later(d time.Duration, f func()) {
	generation := s.generation
	s.m.w.after(d, func() {
		if s.generation == generation {
			f()
		}
	})
}

// answer sends a response until the caller confirms it.
func (s *server) answer(c *conn, number uint64, attempt int) {
	if c.closed || c.acked >= number || attempt == dataAttempts {
		return
	}
	if attempt == 0 {
		c.answered = number
		c.call.watchAnswer(number)
	}
	s.reply(c.alias, segment{meta: packet.Meta{Flags: packet.ACK | packet.PSH, PayloadBytes: answerBytes}, answer: number, acked: number})
	s.later(dataTimeout<<attempt, func() { s.answer(c, number, attempt+1) })
}

func (s *server) reply(alias netip.AddrPort, p segment) {
	m := s.m
	if c := s.conns[alias]; c != nil {
		c.stamp(&p)
	}
	p.meta.Source, p.meta.Destination, p.meta.Protocol = netip.AddrPortFrom(m.address.Addr(), upstreamPort), alias, packet.ProtocolTCP
	m.w.after(0, func() {
		if m.alive && m.holder != nil {
			m.holder.upstream(&p)
		}
	})
}

// close frees what a connection holds and forgets it later.
func (s *server) close(c *conn) {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	if c.call.run.short {
		s.occupy(-1)
	}
	s.later(lingerTime, func() {
		if s.conns[c.alias] == c {
			delete(s.conns, c.alias)
		}
	})
}

// crash loses all connections.
func (s *server) crash() {
	s.m.w.account(s.m.w.run(s.m.service))
	for _, c := range s.conns {
		if !c.closed && c.call.phase == established {
			s.m.w.result.LostWithUpstream++
		}
	}
	s.up, s.busy, s.running, s.waiting = false, 0, 0, nil
	s.conns = map[netip.AddrPort]*conn{}
	s.generation++
}
