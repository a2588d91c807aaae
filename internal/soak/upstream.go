package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/platform/ends"
)

// conversation names a flow by its two ends.
type conversation struct{ caller, virtual netip.AddrPort }

// held is a flow at an upstream.
type held struct {
	sequence uint32
	// open: the upstream has got the end of the handshake.
	open    bool
	answers map[string][]byte
}

// upstream stands in for the server beside an agent: it answers packets of flows that
// it holds and returns the others.
type upstream struct {
	world   *world
	agent   *process
	id      string
	service string
	born    time.Time

	conn     *net.UDPConn
	listener net.Listener
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	flows    map[conversation]*held
	sequence uint64
	leaving  bool
	// leavingAckedAt is when an agent acknowledged that the upstream is leaving.
	leavingAckedAt time.Time
	random         *rand.Rand
}

// startUpstream starts an upstream beside an agent.
func (w *world) startUpstream(agent *process, id string) error {
	at := agent.settings.App
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("upstream %s: %w", id, err)
	}
	// Agents look for the process by a TCP connect.
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return errors.Join(fmt.Errorf("upstream %s: %w", id, err), conn.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{
		world: w, agent: agent, id: id, service: agent.settings.Service, born: time.Now(), conn: conn, listener: listener, cancel: cancel,
		flows: map[conversation]*held{}, random: rand.New(rand.NewPCG(w.options.Seed, uint64(len(id)))), //nolint:gosec // Repeatable.
	}
	u.done.Add(3)
	go u.receive()
	go u.acceptProbes()
	go u.checkIns(ctx)
	w.mu.Lock()
	w.upstreams[at] = u
	w.mu.Unlock()
	return nil
}

// crash ends the upstream without a word.
func (u *upstream) crash() {
	u.world.mu.Lock()
	if u.world.upstreams[u.agent.settings.App] == u {
		delete(u.world.upstreams, u.agent.settings.App)
	}
	u.world.mu.Unlock()
	u.cancel()
	_ = u.conn.Close()
	_ = u.listener.Close()
	u.done.Wait()
}

func (u *upstream) acceptProbes() {
	defer u.done.Done()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// call sends a check-in or the end of the upstream to its agent.
func (u *upstream) call(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(u.agent.address(), controlPort).String() + ends.CheckInPath(u.id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := u.world.client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// checkIns announces the upstream each second, sooner while it gets no answer.
func (u *upstream) checkIns(ctx context.Context) {
	defer u.done.Done()
	for ctx.Err() == nil {
		u.mu.Lock()
		u.sequence++
		leaving := u.leaving
		c := ends.CheckIn{
			ID: u.id, Service: u.service, Address: u.agent.settings.App, Zone: u.agent.settings.Zone, Slots: upstreamSlots,
			Leaving: leaving, Sequence: u.sequence, BornMillis: u.born.UnixMilli(),
		}
		u.mu.Unlock()
		pause := time.Second
		if err := u.call(ctx, http.MethodPut, c.Encode()); err != nil {
			pause = 100 * time.Millisecond
		} else if leaving {
			u.mu.Lock()
			if u.leavingAckedAt.IsZero() {
				u.leavingAckedAt = time.Now()
			}
			u.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (u *upstream) receive() {
	defer u.done.Done()
	buffer := make([]byte, 4<<10)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error about an earlier datagram.
		}
		p, err := ends.Decode(buffer[:n])
		if err != nil || !p.ChecksumValid() || !ends.UnusedFieldsZero(buffer[:n]) {
			u.world.breach("UNASKED", "upstream %s got a packet that its sender did not write so: %v", u.id, err)
			continue
		}
		u.take(&p, buffer[:n])
	}
}

func (u *upstream) reply(data []byte) {
	// The agent may be down: the packet is lost then.
	_, _ = u.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(u.agent.address(), outboundPort))
}

func (u *upstream) take(p *ends.Packet, data []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := conversation{p.From, p.To}
	f := u.flows[key]
	answer := ends.Packet{From: p.To, To: p.From, Flags: ends.ACK, Ack: p.Sequence + 1}
	switch {
	case p.Flags&ends.SYN != 0:
		u.opening(p)
		if f == nil {
			f = &held{sequence: u.random.Uint32(), answers: map[string][]byte{}}
			u.flows[key] = f
		}
		answer.Flags |= ends.SYN
		answer.Sequence = f.sequence
		u.reply(answer.Encode())
	case f == nil || (!f.open && p.Ack != f.sequence+1):
		back := append([]byte(nil), data...)
		back[18] |= ends.Returned
		u.reply(back)
	case p.Flags&(ends.FIN|ends.RST) != 0:
		delete(u.flows, key)
		answer.Flags |= ends.FIN
		u.reply(answer.Encode())
	case len(p.Payload) > 0:
		f.open = true
		request := string(p.Payload)
		if f.answers[request] == nil {
			u.world.ran(u, key, request)
			answer.Sequence = f.sequence + 1
			answer.Payload = []byte(strings.Join([]string{"done", request, u.id}, " "))
			f.answers[request] = answer.Encode()
		}
		reply := f.answers[request]
		time.AfterFunc(serviceTime, func() { u.reply(reply) })
	default:
		f.open = true
	}
}

// opening checks whether the upstream may be asked for a new flow.
func (u *upstream) opening(p *ends.Packet) {
	if !u.world.allowed(p.To, u.service) {
		u.world.breach("ROUTE", "an opening for %s reached upstream %s of service %s", p.To, u.id, u.service)
	}
	if !u.leavingAckedAt.IsZero() && time.Since(u.leavingAckedAt) > drainTime {
		u.world.breach("DRAIN", "an opening reached upstream %s %s after its leaving was acknowledged", u.id, time.Since(u.leavingAckedAt))
	}
}

// holds reports whether the upstream has the end of the handshake of a flow.
func (u *upstream) holds(key conversation) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[key]
	return f != nil && f.open
}
