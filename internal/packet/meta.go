package packet

import (
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/flow"
)

// TCPFlags are the flag bits of a TCP header.
type TCPFlags uint8

// The TCP flags that routing decisions use.
const (
	FIN TCPFlags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Has reports whether all the given flags are set.
func (f TCPFlags) Has(other TCPFlags) bool { return f&other == other }

// The IP protocol numbers that the load balancer handles.
const (
	ProtocolICMP   = 1
	ProtocolTCP    = 6
	ProtocolUDP    = 17
	ProtocolICMPv6 = 58
)

// Meta holds the fields of a packet that routing decisions use.
type Meta struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    uint8
	Flags       TCPFlags
	Sequence    uint32
	Ack         uint32
	// PayloadBytes is the length of the transport payload.
	PayloadBytes int
	// Quoted is set for an ICMP error, which quotes the packet that caused it.
	// Source is then the destination of the quoted packet, and Destination its
	// source, as in a reply to that packet.
	Quoted bool
}

// CallerKey returns the flow key of a packet from the caller to the upstream.
func (m *Meta) CallerKey() flow.Key {
	return flow.Key{Caller: m.Source, Virtual: m.Destination, Protocol: m.Protocol}
}

// IsOpening reports whether the packet may open a flow: a SYN, or any datagram.
func (m *Meta) IsOpening() bool {
	if m.Quoted {
		return false
	}
	if m.Protocol == ProtocolUDP {
		return true
	}
	return m.Flags.Has(SYN) && !m.Flags.Has(ACK) && !m.Flags.Has(RST)
}
