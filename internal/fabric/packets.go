package fabric

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/steering"
)

// packetRunner connects packet sockets to a decision core. The owner sets
// execute before the first packet.
type packetRunner struct {
	*node
	actions []steering.Action
	execute func(*steering.Action)
}

// decide runs a decision, carries out its actions and sets the timer. The lock
// is held.
func (r *packetRunner) decide(now time.Time, decision func(out *[]steering.Action)) {
	r.actions = r.actions[:0]
	decision(&r.actions)
	for i := range r.actions {
		r.execute(&r.actions[i])
	}
	r.plan(now)
}

// receivePackets decides about the packets of a socket until it is closed.
// Datagrams that are no packets are counted and dropped.
func (r *packetRunner) receivePackets(conn *net.UDPConn, fromUpstream bool, decision func(now time.Time, p *steering.Packet, data []byte, from netip.Addr, out *[]steering.Action)) error {
	buffer := make([]byte, receiveBytes)
	var p steering.Packet
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error about an earlier datagram shows up here.
			r.count("packets.receive_errors")
			continue
		}
		data := buffer[:n]
		if err := r.Codec.Decode(data, fromUpstream, &p); err != nil {
			r.count("packets.rejected")
			r.Log.WithError(err).Debug("datagram rejected")
			continue
		}
		r.mu.Lock()
		now := time.Now()
		r.decide(now, func(out *[]steering.Action) { decision(now, &p, data, from.Addr().Unmap(), out) })
		r.mu.Unlock()
	}
}

// message decides about a message of another process.
func (r *packetRunner) message(decision func(now time.Time, out *[]steering.Action)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.decide(now, func(out *[]steering.Action) { decision(now, out) })
}
