package packet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Reason says why a packet is not handled. It names a counter.
type Reason string

// The reasons for which Parse rejects a packet.
const (
	Malformed   Reason = "malformed"
	Fragment    Reason = "fragment"
	Unsupported Reason = "unsupported_protocol"
	TTLExceeded Reason = "ttl_exceeded"
)

// Error reports a rejected packet.
type Error struct {
	Reason Reason
}

func (e *Error) Error() string { return fmt.Sprintf("packet rejected: %s", e.Reason) }

// The errors are allocated once, so that a flood of bad packets costs no memory.
var (
	errMalformed   = &Error{Reason: Malformed}
	errFragment    = &Error{Reason: Fragment}
	errUnsupported = &Error{Reason: Unsupported}
	errTTLExceeded = &Error{Reason: TTLExceeded}
)

const (
	icmpHeaderBytes = 8
	// quotedPortBytes is how much of a transport header an ICMP error quotes
	// at least.
	quotedPortBytes = 8
	ipv6HeaderBytes = 40
)

// Parser reads packets. It is not safe for concurrent use; each worker has one.
type Parser struct {
	ip4   layers.IPv4
	ip6   layers.IPv6
	tcp   layers.TCP
	udp   layers.UDP
	icmp4 layers.ICMPv4
	icmp6 layers.ICMPv6
}

// ipHeader is what both versions have in common.
type ipHeader struct {
	source, destination netip.Addr
	protocol            uint8
	payload             []byte
}

// Parse fills m from an IP packet.
func (p *Parser) Parse(b []byte, m *Meta) error {
	*m = Meta{}
	ip, err := p.parseIP(b)
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
		return p.parseICMP4(ip, m)
	case ProtocolICMPv6:
		return p.parseICMP6(ip, m)
	}
	return errUnsupported
}

func (p *Parser) parseIP(b []byte) (ipHeader, error) {
	if len(b) == 0 {
		return ipHeader{}, errMalformed
	}
	switch b[0] >> 4 {
	case 4:
		return p.parseIP4(b)
	case 6:
		return p.parseIP6(b)
	}
	return ipHeader{}, errMalformed
}

func (p *Parser) parseIP4(b []byte) (ipHeader, error) {
	if err := p.ip4.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return ipHeader{}, errMalformed
	}
	if int(p.ip4.Length) != len(b) {
		return ipHeader{}, errMalformed
	}
	if p.ip4.FragOffset != 0 || p.ip4.Flags&layers.IPv4MoreFragments != 0 {
		return ipHeader{}, errFragment
	}
	return ipHeader{
		source: addr4(p.ip4.SrcIP), destination: addr4(p.ip4.DstIP),
		protocol: uint8(p.ip4.Protocol), payload: p.ip4.Payload,
	}, nil
}

func (p *Parser) parseIP6(b []byte) (ipHeader, error) {
	if err := p.ip6.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return ipHeader{}, errMalformed
	}
	if int(p.ip6.Length) != len(b)-ipv6HeaderBytes {
		return ipHeader{}, errMalformed
	}
	if p.ip6.NextHeader == layers.IPProtocolIPv6Fragment {
		return ipHeader{}, errFragment
	}
	return ipHeader{
		source: addr6(p.ip6.SrcIP), destination: addr6(p.ip6.DstIP),
		protocol: uint8(p.ip6.NextHeader), payload: p.ip6.Payload,
	}, nil
}

func addr4(ip []byte) netip.Addr { return netip.AddrFrom4([4]byte(ip)) }

func addr6(ip []byte) netip.Addr { return netip.AddrFrom16([16]byte(ip)) }

func (p *Parser) parseTCP(ip ipHeader, m *Meta) error {
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

func tcpFlags(t *layers.TCP) TCPFlags {
	var f TCPFlags
	for _, bit := range [...]struct {
		set  bool
		flag TCPFlags
	}{{t.FIN, FIN}, {t.SYN, SYN}, {t.RST, RST}, {t.PSH, PSH}, {t.ACK, ACK}} {
		if bit.set {
			f |= bit.flag
		}
	}
	return f
}

func (p *Parser) parseUDP(ip ipHeader, m *Meta) error {
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

func (p *Parser) parseICMP4(ip ipHeader, m *Meta) error {
	if err := p.icmp4.DecodeFromBytes(ip.payload, gopacket.NilDecodeFeedback); err != nil {
		return errMalformed
	}
	switch p.icmp4.TypeCode.Type() {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeTimeExceeded, layers.ICMPv4TypeParameterProblem:
		return parseQuote(ip.payload[icmpHeaderBytes:], m)
	}
	return errUnsupported
}

func (p *Parser) parseICMP6(ip ipHeader, m *Meta) error {
	if err := p.icmp6.DecodeFromBytes(ip.payload, gopacket.NilDecodeFeedback); err != nil {
		return errMalformed
	}
	switch p.icmp6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6TypePacketTooBig, layers.ICMPv6TypeTimeExceeded, layers.ICMPv6TypeParameterProblem:
		if len(ip.payload) < icmpHeaderBytes {
			return errMalformed
		}
		return parseQuote(ip.payload[icmpHeaderBytes:], m)
	}
	return errUnsupported
}

// parseQuote reads the packet inside an ICMP error, of which only the IP header
// and the first bytes of the transport header need to be present.
func parseQuote(b []byte, m *Meta) error {
	q, err := quoteLayout(b)
	if err != nil {
		return err
	}
	m.Quoted = true
	m.Protocol = q.protocol
	source := netip.AddrPortFrom(q.source, binary.BigEndian.Uint16(b[q.transport:]))
	destination := netip.AddrPortFrom(q.destination, binary.BigEndian.Uint16(b[q.transport+2:]))
	m.Source, m.Destination = destination, source
	return nil
}

// layout says where the parts of a packet lie.
type layout struct {
	version             int
	protocol            uint8
	transport           int
	source, destination netip.Addr
}

// quoteLayout finds the headers of a quoted packet.
func quoteLayout(b []byte) (layout, error) {
	l, err := headerLayout(b)
	if err != nil {
		return l, err
	}
	if l.protocol != ProtocolTCP && l.protocol != ProtocolUDP {
		return l, errUnsupported
	}
	if len(b) < l.transport+quotedPortBytes {
		return l, errMalformed
	}
	return l, nil
}

// headerLayout finds the IP header fields without looking at the payload.
func headerLayout(b []byte) (layout, error) {
	const ipv4MinBytes = 20
	if len(b) < ipv4MinBytes {
		return layout{}, errMalformed
	}
	switch b[0] >> 4 {
	case 4:
		size := int(b[0]&0x0f) * 4
		if size < ipv4MinBytes || len(b) < size {
			return layout{}, errMalformed
		}
		return layout{version: 4, protocol: b[9], transport: size, source: addr4(b[12:16]), destination: addr4(b[16:20])}, nil
	case 6:
		if len(b) < ipv6HeaderBytes {
			return layout{}, errMalformed
		}
		return layout{version: 6, protocol: b[6], transport: ipv6HeaderBytes, source: addr6(b[8:24]), destination: addr6(b[24:40])}, nil
	}
	return layout{}, errMalformed
}
