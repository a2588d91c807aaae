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
	"syscall"
	"time"

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// flowKey identifies a flow by its two addresses.
type flowKey struct{ callerAddress, virtualAddress netip.AddrPort }

// upstreamFlow is the state of a flow at an upstream.
type upstreamFlow struct {
	initialSequence uint32
	// established is set when the caller's last packet of the handshake has
	// arrived.
	established bool
	// responses holds the encoded response to each request, for copies of it.
	responses map[string][]byte
}

// upstream is a stand-in for the server beside an agent. It holds a flow if it has
// received its opening. It responds to the packets of flows that it holds, and
// returns all other packets to its agent.
type upstream struct {
	deployment *deployment
	agent      *process
	id         string
	service    string
	startedAt  time.Time

	conn       *net.UDPConn
	listener   net.Listener
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu              sync.Mutex
	flows           map[flowKey]*upstreamFlow
	checkInSequence uint64
	leaving         bool
	// leaveAcknowledgedAt is the time at which the agent first acknowledged a
	// check-in that announces that the upstream is leaving.
	leaveAcknowledgedAt time.Time
	// coldSince is when the upstream became cold, at its start or later. coldOpenings has
	// the times of the openings of the last second while it is cold.
	coldSince    time.Time
	coldOpenings []time.Time
	random       *rand.Rand
}

// startUpstream starts an upstream at the application address of an agent.
func (d *deployment) startUpstream(agent *process, id string) error {
	appAddress := agent.settings.App
	conn, listener, err := listenAt(appAddress)
	if err != nil {
		return fmt.Errorf("upstream %s: %w", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{
		deployment: d, agent: agent, id: id, service: agent.settings.Service, startedAt: time.Now(), conn: conn, listener: listener, cancel: cancel,
		flows: map[flowKey]*upstreamFlow{}, random: rand.New(rand.NewPCG(d.options.Seed, uint64(len(id)))), //nolint:gosec // Choices must be reproducible; no secrecy is needed.
	}
	u.turnCold()
	u.background.Add(3)
	go u.receivePackets()
	go u.acceptProbeConnections()
	go u.sendCheckIns(ctx)
	d.mu.Lock()
	d.upstreams[appAddress] = u
	d.mu.Unlock()
	return nil
}

// addressReuseTimeout bounds how long an upstream waits for its address. A process that
// is just being started has copies of all open sockets until it executes its program,
// for some milliseconds. They keep the address of the previous upstream in use.
const addressReuseTimeout = time.Second

// listenAt opens the sockets of an upstream. Agents detect the process of the upstream by
// a TCP connection.
func listenAt(address netip.AddrPort) (conn *net.UDPConn, listener net.Listener, err error) {
	for deadline := time.Now().Add(addressReuseTimeout); ; time.Sleep(time.Millisecond) {
		if conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err == nil {
			if listener, err = net.Listen("tcp", address.String()); err == nil {
				return conn, listener, nil
			}
			err = errors.Join(err, conn.Close())
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return nil, nil, err
		}
	}
}

// stop ends the upstream without notifying its agent.
func (u *upstream) stop() {
	u.deployment.mu.Lock()
	if u.deployment.upstreams[u.agent.settings.App] == u {
		delete(u.deployment.upstreams, u.agent.settings.App)
	}
	u.deployment.mu.Unlock()
	u.cancel()
	_ = u.conn.Close()
	_ = u.listener.Close()
	u.background.Wait()
}

func (u *upstream) acceptProbeConnections() {
	defer u.background.Done()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// callAgent sends a check-in (PUT) or the end of the upstream (DELETE) to its agent.
func (u *upstream) callAgent(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(u.agent.address(), controlPort).String() + platformtest.CheckInPath(u.id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := u.deployment.client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// sendCheckIns sends a check-in each second. It retries after 100 ms if one fails.
func (u *upstream) sendCheckIns(ctx context.Context) {
	defer u.background.Done()
	for ctx.Err() == nil {
		u.mu.Lock()
		u.checkInSequence++
		leaving := u.leaving
		checkIn := platformtest.CheckIn{
			ID: u.id, Service: u.service, Address: u.agent.settings.App, Zone: u.agent.settings.Zone, Slots: upstreamSlots,
			Leaving: leaving, WarmUp: u.remainingWarmUp(), Sequence: u.checkInSequence, StartedAtMillis: u.startedAt.UnixMilli(),
		}
		u.mu.Unlock()
		interval := time.Second
		if err := u.callAgent(ctx, http.MethodPut, checkIn.Encode()); err != nil {
			interval = 100 * time.Millisecond
		} else if leaving {
			u.mu.Lock()
			if u.leaveAcknowledgedAt.IsZero() {
				u.leaveAcknowledgedAt = time.Now()
			}
			u.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (u *upstream) receivePackets() {
	defer u.background.Done()
	buffer := make([]byte, 4<<10)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error for an earlier datagram.
		}
		packet, err := platformtest.Decode(buffer[:n])
		if err != nil || !packet.ChecksumValid() || !platformtest.UnusedFieldsZero(buffer[:n]) {
			u.deployment.recordBreach("UNASKED", "upstream %s received a packet that was changed on its way: %v", u.id, err)
			continue
		}
		u.handlePacket(&packet, buffer[:n])
	}
}

func (u *upstream) sendToAgent(data []byte) {
	// The packet is lost if the agent is down.
	_, _ = u.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(u.agent.address(), outboundPort))
}

func (u *upstream) handlePacket(packet *platformtest.Packet, data []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := flowKey{packet.From, packet.To}
	flow := u.flows[key]
	response := platformtest.Packet{From: packet.To, To: packet.From, Flags: platformtest.FlagACK, Ack: packet.Sequence + 1}
	switch {
	case packet.Flags&platformtest.FlagSYN != 0:
		u.checkOpening(packet)
		if flow == nil {
			flow = &upstreamFlow{initialSequence: u.random.Uint32(), responses: map[string][]byte{}}
			u.flows[key] = flow
		}
		response.Flags |= platformtest.FlagSYN
		response.Sequence = flow.initialSequence
		u.sendToAgent(response.Encode())
	case flow == nil || (!flow.established && packet.Ack != flow.initialSequence+1):
		returned := append([]byte(nil), data...)
		returned[18] |= platformtest.FlagReturned
		u.sendToAgent(returned)
	case packet.Flags&(platformtest.FlagFIN|platformtest.FlagRST) != 0:
		delete(u.flows, key)
		response.Flags |= platformtest.FlagFIN
		u.sendToAgent(response.Encode())
	case len(packet.Payload) > 0:
		flow.established = true
		request := string(packet.Payload)
		if flow.responses[request] == nil {
			u.deployment.recordExecution(u, key, request)
			response.Sequence = flow.initialSequence + 1
			response.Payload = []byte(strings.Join([]string{"done", request, u.id}, " "))
			flow.responses[request] = response.Encode()
		}
		encoded := flow.responses[request]
		time.AfterFunc(requestDuration, func() { u.sendToAgent(encoded) })
	default:
		flow.established = true
	}
}

// checkOpening checks that the upstream may receive new flows. The virtual address
// must be routed to its service, its zone must be in service, and it must not have been
// leaving for longer than maxDrainTime.
func (u *upstream) checkOpening(packet *platformtest.Packet) {
	u.deployment.checkZoneOfOpening(u)
	u.checkColdOpening(time.Now())
	if !u.deployment.isRouted(packet.To, u.service) {
		u.deployment.recordBreach("ROUTE", "an opening to %s reached upstream %s of service %s", packet.To, u.id, u.service)
	}
	if !u.leaveAcknowledgedAt.IsZero() && time.Since(u.leaveAcknowledgedAt) > maxDrainTime {
		u.deployment.recordBreach("DRAIN", "an opening reached upstream %s %s after it was acknowledged as leaving", u.id, time.Since(u.leaveAcknowledgedAt))
	}
}

// holdsFlow reports whether the flow is established at the upstream.
func (u *upstream) holdsFlow(key flowKey) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	flow := u.flows[key]
	return flow != nil && flow.established
}
