package packet

import (
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/flow"
)

// TCPFlags are the flag bits of a TCP header.
type TCPFlags uint8

// The TCP flags that decisions look at.
const (
	FIN TCPFlags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Has reports whether all the given flags are set.
func (f TCPFlags) Has(other TCPFlags) bool { return f&other == other }

// The IP protocol numbers that the load balancer knows.
const (
	ProtocolICMP   = 1
	ProtocolTCP    = 6
	ProtocolUDP    = 17
	ProtocolICMPv6 = 58
)

// Meta is what decisions see of a packet.
type Meta struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    uint8
	Flags       TCPFlags
	Sequence    uint32
	Ack         uint32
	// PayloadBytes is the length of the transport payload.
	PayloadBytes int
	// Quoted is set for an ICMP error: Source and Destination are then those
	// of the quoted packet, exchanged, as if it had been answered.
	Quoted bool
}

// CallerKey returns the flow key of a packet on its way to the upstream.
func (m *Meta) CallerKey() flow.Key {
	return flow.Key{Caller: m.Source, Virtual: m.Destination, Protocol: m.Protocol}
}

// Opening reports whether the packet may open a flow.
func (m *Meta) Opening() bool {
	if m.Quoted {
		return false
	}
	if m.Protocol == ProtocolUDP {
		return true
	}
	return m.Flags.Has(SYN) && !m.Flags.Has(ACK) && !m.Flags.Has(RST)
}
