package packet

import (
	"fmt"
	"net"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const replyTTL = 64

// BuildReset returns the packet that reports a rejected packet to its sender: a
// TCP reset, or for UDP an ICMP port unreachable error.
func BuildReset(received []byte, m *Meta) ([]byte, error) {
	if m.Protocol == ProtocolUDP {
		return buildPortUnreachable(received, m)
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(m.Destination.Port()), DstPort: layers.TCPPort(m.Source.Port()), RST: true,
	}
	if m.Flags.Has(ACK) {
		tcp.Seq = m.Ack
	} else {
		tcp.ACK = true
		tcp.Ack = m.Sequence + uint32(m.PayloadBytes) + sequenceNumbersOf(m.Flags)
	}
	return serializeReply(m, layers.IPProtocolTCP, tcp, nil)
}

// sequenceNumbersOf returns how many sequence numbers the flags of a segment use:
// one each for SYN and FIN.
func sequenceNumbersOf(flags TCPFlags) uint32 {
	var count uint32
	if flags.Has(SYN) {
		count++
	}
	if flags.Has(FIN) {
		count++
	}
	return count
}

// buildPortUnreachable returns an ICMP error that quotes the received packet.
func buildPortUnreachable(received []byte, m *Meta) ([]byte, error) {
	const quoteBytes = 64
	quote := received[:min(len(received), quoteBytes)]
	if m.Source.Addr().Is4() {
		icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)}
		return serializeReply(m, layers.IPProtocolICMPv4, icmp, quote)
	}
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)}
	// The first four bytes after an ICMPv6 error header are unused.
	return serializeReply(m, layers.IPProtocolICMPv6, icmp, append(make([]byte, 4), quote...))
}

// serializeReply returns a packet from the destination of m to its source.
func serializeReply(m *Meta, protocol layers.IPProtocol, transport gopacket.SerializableLayer, payload []byte) ([]byte, error) {
	source, destination := net.IP(m.Destination.Addr().AsSlice()), net.IP(m.Source.Addr().AsSlice())
	var ip gopacket.SerializableLayer
	var network gopacket.NetworkLayer
	if m.Source.Addr().Is4() {
		ipv4 := &layers.IPv4{Version: 4, TTL: replyTTL, Protocol: protocol, SrcIP: source, DstIP: destination}
		ip, network = ipv4, ipv4
	} else {
		ipv6 := &layers.IPv6{Version: 6, HopLimit: replyTTL, NextHeader: protocol, SrcIP: source, DstIP: destination}
		ip, network = ipv6, ipv6
	}
	if checksummed, ok := transport.(interface {
		SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
	}); ok {
		if err := checksummed.SetNetworkLayerForChecksum(network); err != nil {
			return nil, fmt.Errorf("reset checksum: %w", err)
		}
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, ip, transport, gopacket.Payload(payload)); err != nil {
		return nil, fmt.Errorf("build reset: %w", err)
	}
	return buffer.Bytes(), nil
}
