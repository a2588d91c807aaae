package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// The states of a flow at a server.
const (
	halfOpen = iota
	open
	ended
)

// serverFlow is a flow at a server.
type serverFlow struct {
	state     int
	isn, next uint32
	// expect is the next sequence number of the consumer.
	expect       uint32
	lastResponse []byte
	sentReset    bool
}

// server is the stand-in for a server beside an agent.
type server struct {
	world   *world
	agent   *process
	id      string
	service string
	born    time.Time
	conn    *net.UDPConn
	tcp     net.Listener
	stopped chan struct{}

	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	sequence uint64
	draining bool
	drainAck time.Time
	dead     bool
}

func (w *world) startServer(agent *process, id, service string) (*server, error) {
	address := netip.AddrPortFrom(agent.ip, w.appPort())
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	s := &server{world: w, agent: agent, id: id, service: service, born: time.Now(), conn: conn, tcp: tcp, stopped: make(chan struct{}), flows: map[flowKey]*serverFlow{}}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.log("server %s started beside %s, born %d", id, agent.name, s.born.UnixMilli())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.draining {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Second}).Serve(tcp) }()
	go s.receive()
	go s.beat()
	return s, nil
}

// stop ends the process of the server.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	close(s.stopped)
	_ = s.conn.Close()
	_ = s.tcp.Close()
}

func (s *server) url() string {
	return "http://" + netip.AddrPortFrom(s.agent.ip, s.world.controlPort()).String() + "/instances/" + s.id
}

// checkIn returns the body of the next check-in.
func (s *server) checkIn() (body []byte, state string, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state = "ready"
	if s.draining {
		state = "draining"
	}
	body, _ = json.Marshal(map[string]any{
		"service": s.service, "address": netip.AddrPortFrom(s.agent.ip, s.world.appPort()).String(), "zone": s.agent.zone, "version": "v1", "concurrency": 7,
		"state": state, "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	return body, state, s.sequence
}

// beat sends check-ins until the server ends.
func (s *server) beat() {
	for {
		s.beatOnce()
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *server) beatOnce() bool {
	body, state, sequence := s.checkIn()
	status, _ := s.world.call(http.MethodPut, s.url(), body)
	s.world.log("server %s: PUT %s, sequence %d: %d", s.id, state, sequence, status)
	if status/100 == 2 && state == "draining" {
		s.mu.Lock()
		if s.drainAck.IsZero() {
			s.drainAck = time.Now()
		}
		s.mu.Unlock()
	}
	return status/100 == 2
}

// drain makes the server leave.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.world.log("server %s drains", s.id)
	for range 5 {
		if s.beatOnce() {
			return
		}
	}
}

func (s *server) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-s.stopped:
				return
			default:
				continue
			}
		}
		p, err := decode(buffer[:n])
		if err != nil || !p.valid {
			s.world.log("server %s: packet that its sender did not write so", s.id)
			continue
		}
		s.handle(&p, append([]byte(nil), buffer[:n]...))
	}
}

func (s *server) send(p *packet) { s.sendRaw(p.encode()) }

func (s *server) sendRaw(data []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(s.agent.ip, s.world.outboundPort()))
}

func (s *server) handle(p *packet, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	reply := packet{src: p.dst, dst: p.src, flags: flagACK}
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK == 0:
		if f == nil || f.expect != p.seq+1 {
			f = &serverFlow{isn: rand.Uint32(), expect: p.seq + 1}
			f.next = f.isn + 1
			s.flows[key] = f
			s.world.log("server %s: SYN of %s to %s", s.id, p.src, p.dst)
			if !s.drainAck.IsZero() && time.Since(s.drainAck) > drainTime {
				s.world.broken("DRAIN: a SYN of %s reached server %s %v after the ack that it drains", p.src, s.id, time.Since(s.drainAck))
			}
		}
		reply.flags, reply.seq, reply.ack = flagSYN|flagACK, f.isn, f.expect
		s.send(&reply)
		return
	case f == nil || (f.state == halfOpen && p.ack != f.isn+1):
		raw[18] |= flagBounced
		clear(raw[19:24])
		s.world.log("server %s: returns a packet of %s, flags %d, %d bytes", s.id, p.src, p.flags, len(p.data))
		s.sendRaw(raw)
		return
	case f.state == ended && len(p.data) > 0:
		f.sentReset = true
		s.world.log("server %s: RST for data of %s on a flow that has ended here", s.id, p.src)
		s.send(&packet{src: p.dst, dst: p.src, flags: flagRST | flagACK, seq: p.ack, ack: p.seq + uint32(len(p.data))})
		return
	case f.state == ended:
		if p.flags&flagFIN != 0 {
			reply.seq, reply.ack = f.next, p.seq+1
			s.send(&reply)
		}
		return
	}
	if f.state == halfOpen {
		f.state = open
		s.world.log("server %s: flow of %s is open", s.id, p.src)
	}
	switch {
	case p.flags&flagRST != 0:
		f.state = ended
		return
	case len(p.data) > 0 && p.seq == f.expect:
		f.expect += uint32(len(p.data))
		s.run(key, f, string(p.data))
	case len(p.data) > 0:
		if f.lastResponse != nil {
			s.sendRaw(f.lastResponse)
		}
	}
	if p.flags&flagFIN != 0 && p.seq+uint32(len(p.data)) == f.expect {
		f.expect++
		f.state = ended
		reply.seq, reply.ack = f.next, f.expect
		s.send(&reply)
	}
}

// run works on a request and answers it. A server that drains closes the flow after that.
func (s *server) run(key flowKey, f *serverFlow, request string) {
	_, id, _ := strings.Cut(request, "X-Bramleyhold-Request-Id: ")
	id, _, _ = strings.Cut(id, "\r\n")
	s.world.log("server %s: runs request %s of %s", s.id, id, key.consumer)
	body := "done " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Bramleyhold-Instance-Id: %s\r\n\r\n%s", len(body), s.id, body)
	response := packet{src: key.route, dst: key.consumer, flags: flagACK, seq: f.next, ack: f.expect, data: []byte(text)}
	f.next += uint32(len(text))
	if s.draining {
		response.flags |= flagFIN
		f.next++
	}
	f.lastResponse = response.encode()
	encoded := f.lastResponse
	time.AfterFunc(15*time.Millisecond, func() { s.sendRaw(encoded) })
}

// holds reports whether the flow is open at the server, which lives.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return !s.dead && f != nil && f.state == open
}

// holder returns the server at which a flow is open.
func (w *world) holder(key flowKey) *server {
	w.mu.Lock()
	servers := append([]*server(nil), w.servers...)
	w.mu.Unlock()
	for _, s := range servers {
		if s.holds(key) {
			return s
		}
	}
	return nil
}

// consumer is the stand-in for a consumer with one address.
type consumer struct {
	world *world
	conn  *net.UDPConn
	ip    netip.Addr

	mu    sync.Mutex
	flows map[flowKey]*consumerFlow
	ids   int
}

// consumerFlow is a flow at a consumer.
type consumerFlow struct {
	consumer *consumer
	key      flowKey
	next     uint32
	ack      uint32
	opened   bool
	// serverClosed is set when the FIN of the server has arrived.
	serverClosed bool
	reset        string
	answers      int
	changed      chan struct{}
}

func (w *world) newConsumer(host int) (*consumer, error) {
	ip := w.host(host)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, w.datagramPort())))
	if err != nil {
		return nil, err
	}
	c := &consumer{world: w, conn: conn, ip: ip, flows: map[flowKey]*consumerFlow{}}
	w.consumers = append(w.consumers, c)
	go c.receive()
	return c, nil
}

func (c *consumer) send(p *packet) {
	key := flowKey{p.src, p.dst}
	to := c.world.router.pick(key)
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to.ip, c.world.datagramPort()))
}

func (c *consumer) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := decode(buffer[:n])
		if err != nil || (!p.valid && !p.isSystemReset()) {
			c.world.log("consumer %s: packet that its sender did not write so", c.ip)
			continue
		}
		c.handle(&p)
	}
}

func (c *consumer) handle(p *packet) {
	key := flowKey{p.dst, p.src}
	c.mu.Lock()
	f := c.flows[key]
	if f == nil || f.reset != "" {
		c.mu.Unlock()
		return
	}
	defer func() {
		c.mu.Unlock()
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}()
	switch {
	case p.isSystemReset() && f.opened:
		if p.seq-f.ack <= resetWindow || f.ack-p.seq <= resetWindow {
			f.reset = "the system"
		}
	case p.isSystemReset():
		f.reset = "the system"
	case p.flags&flagRST != 0:
		if !f.opened || p.seq == f.ack {
			f.reset = "a server"
		}
	case p.flags&flagSYN != 0:
		if !f.opened {
			f.opened, f.ack = true, p.seq+1
			c.send(&packet{src: key.consumer, dst: key.route, flags: flagACK, seq: f.next, ack: f.ack})
		}
	case p.seq == f.ack && (len(p.data) > 0 || p.flags&flagFIN != 0):
		f.ack += uint32(len(p.data))
		if len(p.data) > 0 {
			f.answers++
		}
		if p.flags&flagFIN != 0 {
			f.ack++
			f.serverClosed = true
		}
		c.send(&packet{src: key.consumer, dst: key.route, flags: flagACK, seq: f.next, ack: f.ack})
	}
}

// await waits until the condition holds, at most for the given time.
func (f *consumerFlow) await(limit time.Duration, condition func() bool) bool {
	deadline := time.After(limit)
	for {
		f.consumer.mu.Lock()
		done := condition() || f.reset != ""
		held := condition()
		f.consumer.mu.Unlock()
		if done {
			return held
		}
		select {
		case <-f.changed:
		case <-deadline:
			return false
		}
	}
}

// open opens a flow from a port. It returns nil if no server has accepted it.
func (c *consumer) open(port uint16, to netip.AddrPort) *consumerFlow {
	key := flowKey{netip.AddrPortFrom(c.ip, port), to}
	isn := rand.Uint32()
	f := &consumerFlow{consumer: c, key: key, next: isn + 1, changed: make(chan struct{}, 1)}
	c.mu.Lock()
	c.flows[key] = f
	c.mu.Unlock()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		c.send(&packet{src: key.consumer, dst: key.route, flags: flagSYN, seq: isn, ack: uint32(i)})
		if f.await(wait, func() bool { return f.opened }) {
			c.world.log("consumer %s: has the SYN+ACK of its flow to %s", key.consumer, to)
			return f
		}
		if f.reset != "" {
			break
		}
	}
	c.world.log("consumer %s: flow to %s not opened, reset by %q", key.consumer, to, f.reset)
	return nil
}

// request sends a request and waits for its answer, at most for the time budget.
func (f *consumerFlow) request(budget time.Duration) bool {
	c := f.consumer
	c.mu.Lock()
	c.ids++
	id := fmt.Sprintf("%s-%d", f.key.consumer, c.ids)
	text := fmt.Sprintf("GET / HTTP/1.1\r\nHost: %s\r\nX-Bramleyhold-Request-Id: %s\r\n\r\n", f.key.route.Addr(), id)
	seq, want := f.next, f.answers+1
	f.next += uint32(len(text))
	c.mu.Unlock()
	c.world.log("consumer %s: sends request %s", f.key.consumer, id)
	deadline := time.Now().Add(budget)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		c.mu.Lock()
		ack := f.ack
		c.mu.Unlock()
		c.send(&packet{src: f.key.consumer, dst: f.key.route, flags: flagACK, seq: seq, ack: ack, data: []byte(text)})
		if f.await(min(wait, time.Until(deadline)), func() bool { return f.answers >= want }) {
			c.world.log("consumer %s: has the answer to %s", f.key.consumer, id)
			return true
		}
		if f.reset != "" {
			break
		}
	}
	c.world.log("consumer %s: no answer to %s, reset by %q", f.key.consumer, id, f.reset)
	return false
}

// close sends the FIN of the consumer.
func (f *consumerFlow) close() {
	f.consumer.mu.Lock()
	p := packet{src: f.key.consumer, dst: f.key.route, flags: flagFIN | flagACK, seq: f.next, ack: f.ack}
	f.next++
	f.consumer.mu.Unlock()
	f.consumer.send(&p)
}

// checkReset records a break of FLOW if the flow was reset although its server holds it and
// has sent no reset on it.
func (f *consumerFlow) checkReset() {
	f.consumer.mu.Lock()
	by := f.reset
	f.consumer.mu.Unlock()
	if by == "" {
		return
	}
	if holder := f.consumer.world.holder(f.key); holder != nil {
		f.consumer.world.broken("FLOW: the flow of %s to %s was reset by %s; it is open at server %s, which lives and has sent no reset", f.key.consumer, f.key.route, by, holder.id)
	}
}
