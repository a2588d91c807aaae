package packet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Reason is the cause for which a packet is rejected, and the name of its
// counter.
type Reason string

// The reasons for which packets are rejected.
const (
	Malformed           Reason = "malformed"
	Fragment            Reason = "fragment"
	UnsupportedProtocol Reason = "unsupported_protocol"
	TTLExceeded         Reason = "ttl_exceeded"
)

// Error reports a rejected packet.
type Error struct {
	Reason Reason
}

func (e *Error) Error() string { return fmt.Sprintf("packet rejected: %s", e.Reason) }

// The errors are allocated once, so that a flood of invalid packets allocates no
// memory.
var (
	errMalformed           = &Error{Reason: Malformed}
	errFragment            = &Error{Reason: Fragment}
	errUnsupportedProtocol = &Error{Reason: UnsupportedProtocol}
	errTTLExceeded         = &Error{Reason: TTLExceeded}
)

const (
	icmpHeaderBytes = 8
	// minQuotedTransportBytes is the least part of the transport header that an
	// ICMP error quotes. It contains the ports.
	minQuotedTransportBytes = 8
	ipv6HeaderBytes         = 40
)

// Parser parses packets. It is not safe for concurrent use, so each worker has
// its own.
type Parser struct {
	ipv4   layers.IPv4
	ipv6   layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	icmpv4 layers.ICMPv4
	icmpv6 layers.ICMPv6
}

// ipPacket holds the header fields and the payload of an IPv4 or IPv6 packet.
type ipPacket struct {
	source, destination netip.Addr
	protocol            uint8
	payload             []byte
}

// Parse fills m from an IP packet.
func (p *Parser) Parse(rawPacket []byte, m *Meta) error {
	*m = Meta{}
	ip, err := p.parseIP(rawPacket)
	if err != nil {
		return err
	}
	m.Protocol = ip.protocol
	switch ip.protocol {
	case ProtocolTCP:
		return p.parseTCP(ip, m)
	case ProtocolUDP:
		return p.parseUDP(ip, m)
	case ProtocolICMP:
		return p.parseICMPv4(ip, m)
	case ProtocolICMPv6:
		return p.parseICMPv6(ip, m)
	}
	return errUnsupportedProtocol
}

func (p *Parser) parseIP(rawPacket []byte) (ipPacket, error) {
	if len(rawPacket) == 0 {
		return ipPacket{}, errMalformed
	}
	switch rawPacket[0] >> 4 {
	case 4:
		return p.parseIPv4(rawPacket)
	case 6:
		return p.parseIPv6(rawPacket)
	}
	return ipPacket{}, errMalformed
}

func (p *Parser) parseIPv4(rawPacket []byte) (ipPacket, error) {
	if err := p.ipv4.DecodeFromBytes(rawPacket, gopacket.NilDecodeFeedback); err != nil {
		return ipPacket{}, errMalformed
	}
	if int(p.ipv4.Length) != len(rawPacket) {
		return ipPacket{}, errMalformed
	}
	if p.ipv4.FragOffset != 0 || p.ipv4.Flags&layers.IPv4MoreFragments != 0 {
		return ipPacket{}, errFragment
	}
	return ipPacket{
		source: ipv4Address(p.ipv4.SrcIP), destination: ipv4Address(p.ipv4.DstIP),
		protocol: uint8(p.ipv4.Protocol), payload: p.ipv4.Payload,
	}, nil
}

func (p *Parser) parseIPv6(rawPacket []byte) (ipPacket, error) {
	if err := p.ipv6.DecodeFromBytes(rawPacket, gopacket.NilDecodeFeedback); err != nil {
		return ipPacket{}, errMalformed
	}
	if int(p.ipv6.Length) != len(rawPacket)-ipv6HeaderBytes {
		return ipPacket{}, errMalformed
	}
	if p.ipv6.NextHeader == layers.IPProtocolIPv6Fragment {
		return ipPacket{}, errFragment
	}
	return ipPacket{
		source: ipv6Address(p.ipv6.SrcIP), destination: ipv6Address(p.ipv6.DstIP),
		protocol: uint8(p.ipv6.NextHeader), payload: p.ipv6.Payload,
	}, nil
}

func ipv4Address(address []byte) netip.Addr { return netip.AddrFrom4([4]byte(address)) }

func ipv6Address(address []byte) netip.Addr { return netip.AddrFrom16([16]byte(address)) }

func (p *Parser) parseTCP(ip ipPacket, m *Meta) error {
	if err := p.tcp.DecodeFromBytes(ip.payload, gopacket.NilDecodeFeedback); err != nil {
		return errMalformed
	}
	m.Source = netip.AddrPortFrom(ip.source, uint16(p.tcp.SrcPort))
	m.Destination = netip.AddrPortFrom(ip.destination, uint16(p.tcp.DstPort))
	m.Flags = tcpFlags(&p.tcp)
	m.Sequence, m.Ack = p.tcp.Seq, p.tcp.Ack
	m.PayloadBytes = len(p.tcp.Payload)
	return nil
}

func tcpFlags(header *layers.TCP) TCPFlags {
	var flags TCPFlags
	for _, bit := range [...]struct {
		set  bool
		flag TCPFlags
	}{{header.FIN, FIN}, {header.SYN, SYN}, {header.RST, RST}, {header.PSH, PSH}, {header.ACK, ACK}} {
		if bit.set {
			flags |= bit.flag
		}
	}
	return flags
}

func (p *Parser) parseUDP(ip ipPacket, m *Meta) error {
	if err := p.udp.DecodeFromBytes(ip.payload, gopacket.NilDecodeFeedback); err != nil {
		return errMalformed
	}
	if int(p.udp.Length) != len(ip.payload) {
		return errMalformed
	}
	m.Source = netip.AddrPortFrom(ip.source, uint16(p.udp.SrcPort))
	m.Destination = netip.AddrPortFrom(ip.destination, uint16(p.udp.DstPort))
	m.PayloadBytes = len(p.udp.Payload)
	return nil
}

func (p *Parser) parseICMPv4(ip ipPacket, m *Meta) error {
	if err := p.icmpv4.DecodeFromBytes(ip.payload, gopacket.NilDecodeFeedback); err != nil {
		return errMalformed
	}
	switch p.icmpv4.TypeCode.Type() {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeTimeExceeded, layers.ICMPv4TypeParameterProblem:
		return parseQuotedPacket(ip.payload[icmpHeaderBytes:], m)
	}
	return errUnsupportedProtocol
}

func (p *Parser) parseICMPv6(ip ipPacket, m *Meta) error {
	if err := p.icmpv6.DecodeFromBytes(ip.payload, gopacket.NilDecodeFeedback); err != nil {
		return errMalformed
	}
	switch p.icmpv6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6TypePacketTooBig, layers.ICMPv6TypeTimeExceeded, layers.ICMPv6TypeParameterProblem:
		if len(ip.payload) < icmpHeaderBytes {
			return errMalformed
		}
		return parseQuotedPacket(ip.payload[icmpHeaderBytes:], m)
	}
	return errUnsupportedProtocol
}

// parseQuotedPacket fills m from the packet that an ICMP error quotes. Only its IP
// header and the first bytes of its transport header have to be present.
func parseQuotedPacket(quoted []byte, m *Meta) error {
	layout, err := quotedPacketLayout(quoted)
	if err != nil {
		return err
	}
	m.Quoted = true
	m.Protocol = layout.protocol
	source := netip.AddrPortFrom(layout.source, binary.BigEndian.Uint16(quoted[layout.transportOffset:]))
	destination := netip.AddrPortFrom(layout.destination, binary.BigEndian.Uint16(quoted[layout.transportOffset+2:]))
	m.Source, m.Destination = destination, source
	return nil
}

// packetLayout holds the IP header fields of a packet and the offset of its
// transport header.
type packetLayout struct {
	version             int
	protocol            uint8
	transportOffset     int
	source, destination netip.Addr
}

// quotedPacketLayout returns the layout of a packet that an ICMP error quotes.
func quotedPacketLayout(quoted []byte) (packetLayout, error) {
	layout, err := layoutOf(quoted)
	if err != nil {
		return layout, err
	}
	if layout.protocol != ProtocolTCP && layout.protocol != ProtocolUDP {
		return layout, errUnsupportedProtocol
	}
	if len(quoted) < layout.transportOffset+minQuotedTransportBytes {
		return layout, errMalformed
	}
	return layout, nil
}

// layoutOf returns the layout of a packet. It does not check the payload.
func layoutOf(rawPacket []byte) (packetLayout, error) {
	const ipv4MinBytes = 20
	if len(rawPacket) < ipv4MinBytes {
		return packetLayout{}, errMalformed
	}
	switch rawPacket[0] >> 4 {
	case 4:
		headerBytes := int(rawPacket[0]&0x0f) * 4
		if headerBytes < ipv4MinBytes || len(rawPacket) < headerBytes {
			return packetLayout{}, errMalformed
		}
		return packetLayout{version: 4, protocol: rawPacket[9], transportOffset: headerBytes, source: ipv4Address(rawPacket[12:16]), destination: ipv4Address(rawPacket[16:20])}, nil
	case 6:
		if len(rawPacket) < ipv6HeaderBytes {
			return packetLayout{}, errMalformed
		}
		return packetLayout{version: 6, protocol: rawPacket[6], transportOffset: ipv6HeaderBytes, source: ipv6Address(rawPacket[8:24]), destination: ipv6Address(rawPacket[24:40])}, nil
	}
	return packetLayout{}, errMalformed
}
