//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

const (
	// workTime is how long a server works on a request.
	workTime = 20 * time.Millisecond
	// maxResends is how often a server repeats a response that is not acknowledged.
	maxResends = 8
	// concurrency is the number of requests that a server processes concurrently.
	concurrency = 7
	// maxPacketBytes is the buffer for one packet.
	maxPacketBytes = 4096
)

// flowKey identifies a flow by the address of the consumer and that of the route.
type flowKey struct{ consumer, route netip.AddrPort }

// serverFlow is a flow that a server holds.
type serverFlow struct {
	openedSequence uint32
	// firstSequence is the sequence number of the server's SYN+ACK.
	firstSequence uint32
	// nextReceived and nextSent are the next sequence numbers in both directions,
	// acknowledged is the highest number that the consumer has acknowledged.
	nextReceived, nextSent, acknowledged uint32
	open                                 bool
	lastPacketAt                         time.Time
}

// server is a server beside an agent. It holds its flows until they are closed.
type server struct {
	d         *deployment
	machine   *machine
	id        string
	startedAt time.Time
	conn      *net.UDPConn
	listener  net.Listener
	cancel    context.CancelFunc
	client    *http.Client

	mu       sync.Mutex
	stopped  bool
	flows    map[flowKey]*serverFlow
	resets   map[flowKey]bool
	state    string
	sequence uint64
	acked    map[string]time.Time
	runs     map[string]int
}

// startServer starts a server on the machine of an agent.
func (d *deployment) startServer(m *machine) (*server, error) {
	address := netip.AddrPortFrom(m.address, appPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{
		d: d, machine: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), startedAt: time.Now(), conn: conn, listener: listener, cancel: cancel,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		flows:  map[flowKey]*serverFlow{}, resets: map[flowKey]bool{}, state: "ready", acked: map[string]time.Time{}, runs: map[string]int{},
	}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.recordf("server %s of %s starts on %s", s.id, m.service, m.name)
	go s.receive()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	go s.checkIn(ctx)
	return s, nil
}

func (s *server) stop() {
	s.mu.Lock()
	stopped := s.stopped
	s.stopped = true
	s.mu.Unlock()
	if stopped {
		return
	}
	s.cancel()
	_ = s.conn.Close()
	_ = s.listener.Close()
}

// isAcknowledged reports whether a check-in with the given state was acknowledged.
func (s *server) isAcknowledged(state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.acked[state].IsZero()
}

func (s *server) checkIn(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		state := s.state
		body, err := json.Marshal(map[string]any{
			"service": s.machine.service, "address": netip.AddrPortFrom(s.machine.address, appPort).String(), "zone": s.machine.zone, "version": "v1",
			"concurrency": concurrency, "state": state, "warmup_left_ms": 0, "sequence": s.sequence, "born": s.startedAt.UnixMilli(),
		})
		s.sequence++
		s.mu.Unlock()
		if err != nil {
			panic(err)
		}
		if s.callAgent(ctx, http.MethodPut, body) {
			s.mu.Lock()
			if s.acked[state].IsZero() {
				s.acked[state] = time.Now()
			}
			s.mu.Unlock()
		}
		sleep(ctx, checkInInterval)
	}
}

func (s *server) callAgent(ctx context.Context, method string, body []byte) bool {
	url := "http://" + netip.AddrPortFrom(s.machine.address, controlPort).String() + "/instances/" + s.id
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (s *server) receive() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		packet, err := platformtest.Decode(buffer[:n])
		if err != nil || !packet.ChecksumValid() {
			s.d.recordf("server %s receives a packet that its sender did not write so", s.id)
			continue
		}
		s.handle(&packet, buffer[:n])
	}
}

// send passes a packet to the agent on the same machine.
func (s *server) send(data []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(s.machine.address, outboundPort))
}

func (s *server) handle(packet *platformtest.Packet, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := flowKey{consumer: packet.From, route: packet.To}
	flow := s.flows[key]
	if packet.Flags&platformtest.FlagSYN != 0 {
		if flow == nil || flow.openedSequence != packet.Sequence {
			first := rand.Uint32()
			flow = &serverFlow{openedSequence: packet.Sequence, firstSequence: first, nextReceived: packet.Sequence + 1, nextSent: first + 1, acknowledged: first + 1}
			s.flows[key] = flow
		}
		flow.lastPacketAt = time.Now()
		answer := platformtest.Packet{From: key.route, To: key.consumer, Flags: platformtest.FlagSYN | platformtest.FlagACK, Sequence: flow.firstSequence, Ack: flow.nextReceived}
		s.send(answer.Encode())
		return
	}
	if flow == nil || (!flow.open && packet.Ack != flow.firstSequence+1) {
		returned := bytes.Clone(data)
		const offsetFlags = 18
		returned[offsetFlags] |= platformtest.FlagReturned
		s.send(returned)
		return
	}
	flow.open, flow.lastPacketAt = true, time.Now()
	if packet.Ack-flow.acknowledged < 1<<31 {
		flow.acknowledged = packet.Ack
	}
	if packet.Flags&platformtest.FlagRST != 0 {
		delete(s.flows, key)
		return
	}
	if len(packet.Payload) > 0 && packet.Sequence == flow.nextReceived {
		flow.nextReceived += uint32(len(packet.Payload))
		s.runRequest(key, flow, string(packet.Payload))
	}
	if packet.Flags&platformtest.FlagFIN != 0 {
		answer := platformtest.Packet{From: key.route, To: key.consumer, Flags: platformtest.FlagFIN | platformtest.FlagACK, Sequence: flow.nextSent, Ack: flow.nextReceived + 1}
		s.send(answer.Encode())
		delete(s.flows, key)
		return
	}
	if len(packet.Payload) > 0 {
		s.acknowledge(key, flow)
	}
}

func (s *server) acknowledge(key flowKey, flow *serverFlow) {
	answer := platformtest.Packet{From: key.route, To: key.consumer, Flags: platformtest.FlagACK, Sequence: flow.nextSent, Ack: flow.nextReceived}
	s.send(answer.Encode())
}

// runRequest works on a request and sends the response until it is acknowledged.
func (s *server) runRequest(key flowKey, flow *serverFlow, request string) {
	id := requestID(request)
	s.runs[id]++
	s.d.recordf("server %s of %s runs request %s from %s to %s", s.id, s.machine.service, id, key.consumer, key.route)
	content := id + " by " + s.id
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Bramleyhold-Response-Signature: %s\r\n\r\n%s", len(content), s.id, content)
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[key] != flow {
			return
		}
		packet := platformtest.Packet{From: key.route, To: key.consumer, Flags: platformtest.FlagACK, Sequence: flow.nextSent, Ack: flow.nextReceived, Payload: []byte(response)}
		flow.nextSent += uint32(len(response))
		s.sendUntilAcknowledged(key, flow, packet.Encode(), flow.nextSent, 0)
	})
}

func (s *server) sendUntilAcknowledged(key flowKey, flow *serverFlow, data []byte, end uint32, resends int) {
	s.send(data)
	if resends >= maxResends {
		return
	}
	time.AfterFunc(min(200*time.Millisecond<<resends, 1600*time.Millisecond), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[key] == flow && end-flow.acknowledged-1 < 1<<31 {
			s.sendUntilAcknowledged(key, flow, data, end, resends+1)
		}
	})
}

// holds reports whether the server holds the flow open.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	flow := s.flows[key]
	return !s.stopped && flow != nil && flow.open
}

// requestID returns the ID in the head of a request.
func requestID(request string) string {
	const header = "X-Bramleyhold-Request-Id: "
	for _, line := range strings.Split(request, "\r\n") {
		if value, ok := strings.CutPrefix(line, header); ok {
			return value
		}
	}
	return ""
}
