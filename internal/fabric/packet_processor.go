package fabric

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/steering"
)

// packetProcessor passes received packets to a decision core and executes the
// actions that the core returns. The owner sets execute before the first packet.
type packetProcessor struct {
	*node
	actions []steering.Action
	// execute carries out one action. It is called with the lock held.
	execute func(*steering.Action)
}

// runDecision runs a decision, executes its actions and resets the timer. It is
// called with the lock held.
func (pp *packetProcessor) runDecision(now time.Time, decision func(out *[]steering.Action)) {
	pp.actions = pp.actions[:0]
	decision(&pp.actions)
	for i := range pp.actions {
		pp.execute(&pp.actions[i])
	}
	pp.resetTimer(now)
}

// receivePackets processes the packets of a socket until the socket is closed.
// Datagrams that are not valid packets are counted and dropped.
func (pp *packetProcessor) receivePackets(conn *net.UDPConn, fromUpstream bool, handlePacket func(now time.Time, packet *steering.Packet, data []byte, from netip.Addr, out *[]steering.Action)) error {
	buffer := make([]byte, receiveBufferBytes)
	var packet steering.Packet
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The socket reports an ICMP error for a datagram that was sent earlier.
			pp.incrementCounter("packets.receive_errors")
			continue
		}
		data := buffer[:n]
		if err := pp.Codec.Decode(data, fromUpstream, &packet); err != nil {
			pp.incrementCounter("packets.rejected")
			pp.Log.WithError(err).Debug("datagram rejected")
			continue
		}
		pp.mu.Lock()
		now := time.Now()
		pp.runDecision(now, func(out *[]steering.Action) { handlePacket(now, &packet, data, from.Addr().Unmap(), out) })
		pp.mu.Unlock()
	}
}

// lockAndRunDecision takes the lock and runs a decision about a message of
// another process.
func (pp *packetProcessor) lockAndRunDecision(decision func(now time.Time, out *[]steering.Action)) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	now := time.Now()
	pp.runDecision(now, func(out *[]steering.Action) { decision(now, out) })
}
