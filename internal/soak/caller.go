package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// caller is a simulated caller. It opens one flow after the other and sends
// requests on each.
type caller struct {
	deployment  *deployment
	address     netip.Addr
	conn        *net.UDPConn
	random      *rand.Rand
	lastPort    uint16
	lastRequest int
}

// callerFlow is the caller's state of one flow.
type callerFlow struct {
	key             flowKey
	initialSequence uint32
	// upstreamSequence is the upstream's initial sequence number.
	upstreamSequence uint32
}

// The time to wait for a response to each copy of an opening or a request. The next
// copy is sent after the timeout.
var (
	openingTimeouts = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	requestTimeouts = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 600 * time.Millisecond}
)

func (d *deployment) newCaller(i int) (*caller, error) {
	address := d.hostAddress(firstCallerHost + i)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	random := rand.New(rand.NewPCG(d.options.Seed, uint64(1000+i))) //nolint:gosec // Choices must be reproducible; no secrecy is needed.
	return &caller{deployment: d, address: address, conn: conn, random: random, lastPort: 1024}, nil
}

// sendUntilDone runs flows until the context is done.
func (c *caller) sendUntilDone(ctx context.Context) {
	defer func() { _ = c.conn.Close() }()
	for ctx.Err() == nil {
		c.runFlow(ctx)
		sleepContext(ctx, time.Duration(20+c.random.IntN(60))*time.Millisecond)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runFlow opens a flow, sends one or several requests on it and closes it.
func (c *caller) runFlow(ctx context.Context) {
	c.lastPort++
	virtualAddress := c.deployment.randomVirtualAddress(c.random)
	flow := &callerFlow{key: flowKey{netip.AddrPortFrom(c.address, c.lastPort), virtualAddress}, initialSequence: c.random.Uint32()}
	requests := 1
	if c.random.IntN(2) == 0 {
		requests = 2 + c.random.IntN(6)
	}
	if !c.openFlow(flow) {
		return
	}
	for i := 0; i < requests && ctx.Err() == nil; i++ {
		if i > 0 {
			sleepContext(ctx, time.Duration(c.random.IntN(800))*time.Millisecond)
		}
		if !c.sendRequest(flow) {
			return
		}
	}
	c.sendPacket(flow, platformtest.FlagFIN|platformtest.FlagACK, flow.upstreamSequence+2, "")
}

// sendPacket sends a packet to the balancer that the fabric selects for the flow.
func (c *caller) sendPacket(flow *callerFlow, flags byte, ack uint32, payload string) {
	packet := platformtest.Packet{From: flow.key.callerAddress, To: flow.key.virtualAddress, Flags: flags, Sequence: flow.initialSequence, Ack: ack, Payload: []byte(payload)}
	if flags&platformtest.FlagSYN == 0 {
		packet.Sequence++
	}
	if balancer, ok := c.deployment.fabric.balancerFor(flow.key); ok {
		// The packet is lost if the balancer is down.
		_, _ = c.conn.WriteToUDPAddrPort(packet.Encode(), netip.AddrPortFrom(balancer, packetPort))
	}
}

// receive returns the next packet of a flow. It returns false after the timeout.
func (c *caller) receive(flow *callerFlow, timeout time.Duration) (platformtest.Packet, bool) {
	deadline := time.Now().Add(timeout)
	buffer := make([]byte, 4<<10)
	for {
		if err := c.conn.SetReadDeadline(deadline); err != nil {
			return platformtest.Packet{}, false
		}
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return platformtest.Packet{}, false
		}
		packet, err := platformtest.Decode(buffer[:n])
		isResetWithoutChecksum := err == nil && packet.Checksum == 0 && packet.Flags == platformtest.FlagRST && len(packet.Payload) == 0
		if !isResetWithoutChecksum && (err != nil || !packet.ChecksumValid() || !platformtest.UnusedFieldsZero(buffer[:n])) {
			c.deployment.recordBreach("MIXED", "caller %s received a packet that was changed on its way: %v", c.address, err)
			continue
		}
		if packet.To == flow.key.callerAddress && packet.From == flow.key.virtualAddress {
			return packet, true
		}
	}
}

// openFlow sends copies of the opening until an upstream responds.
func (c *caller) openFlow(flow *callerFlow) bool {
	for attempt, timeout := range openingTimeouts {
		c.sendPacket(flow, platformtest.FlagSYN, uint32(attempt), "")
		packet, ok := c.receive(flow, timeout)
		if !ok {
			continue
		}
		if packet.Flags&platformtest.FlagRST != 0 {
			c.deployment.counters.refused.Add(1)
			return false
		}
		if packet.Flags&platformtest.FlagSYN != 0 {
			flow.upstreamSequence = packet.Sequence
			return true
		}
	}
	c.deployment.counters.failed.Add(1)
	return false
}

// sendRequest sends copies of a request until an upstream responds.
func (c *caller) sendRequest(flow *callerFlow) bool {
	c.lastRequest++
	id := fmt.Sprintf("%s-%d", c.address, c.lastRequest)
	for _, timeout := range requestTimeouts {
		c.sendPacket(flow, platformtest.FlagACK, flow.upstreamSequence+1, id)
		deadline := time.Now().Add(timeout)
		for left := timeout; left > 0; left = time.Until(deadline) {
			packet, ok := c.receive(flow, left)
			if !ok {
				break
			}
			if packet.Flags&platformtest.FlagRST != 0 {
				c.deployment.checkReset(flow.key)
				c.deployment.counters.reset.Add(1)
				return false
			}
			if words := strings.Fields(string(packet.Payload)); len(words) == 3 {
				if words[1] == id {
					c.deployment.counters.served.Add(1)
					return true
				}
				// A duplicate response to an earlier request of this caller is
				// ignored.
				if !strings.HasPrefix(words[1], c.address.String()+"-") {
					c.deployment.recordBreach("MIXED", "caller %s received the response to request %s of another caller", c.address, words[1])
				}
			}
		}
	}
	c.deployment.counters.failed.Add(1)
	return false
}
