package packet

import (
	"fmt"
	"net"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const resetTTL = 64

// BuildReset returns the packet that tells a caller that its packet was not
// accepted: a TCP reset, or for UDP an ICMP port unreachable error.
func BuildReset(received []byte, m *Meta) ([]byte, error) {
	if m.Protocol == ProtocolUDP {
		return buildUnreachable(received, m)
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(m.Destination.Port()), DstPort: layers.TCPPort(m.Source.Port()), RST: true,
	}
	if m.Flags.Has(ACK) {
		tcp.Seq = m.Ack
	} else {
		tcp.ACK = true
		tcp.Ack = m.Sequence + uint32(m.PayloadBytes) + sequenceFlags(m.Flags)
	}
	return serialize(m, layers.IPProtocolTCP, tcp, nil)
}

// sequenceFlags returns how many sequence numbers the flags take up.
func sequenceFlags(f TCPFlags) uint32 {
	var n uint32
	if f.Has(SYN) {
		n++
	}
	if f.Has(FIN) {
		n++
	}
	return n
}

func buildUnreachable(received []byte, m *Meta) ([]byte, error) {
	const quoteBytes = 64
	quote := received[:min(len(received), quoteBytes)]
	if m.Source.Addr().Is4() {
		icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)}
		return serialize(m, layers.IPProtocolICMPv4, icmp, quote)
	}
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)}
	// The first four bytes after an ICMPv6 error header are unused.
	return serialize(m, layers.IPProtocolICMPv6, icmp, append(make([]byte, 4), quote...))
}

// serialize builds a packet from the destination of m to its source.
func serialize(m *Meta, protocol layers.IPProtocol, transport gopacket.SerializableLayer, payload []byte) ([]byte, error) {
	source, destination := net.IP(m.Destination.Addr().AsSlice()), net.IP(m.Source.Addr().AsSlice())
	var ip gopacket.SerializableLayer
	var network gopacket.NetworkLayer
	if m.Source.Addr().Is4() {
		v4 := &layers.IPv4{Version: 4, TTL: resetTTL, Protocol: protocol, SrcIP: source, DstIP: destination}
		ip, network = v4, v4
	} else {
		v6 := &layers.IPv6{Version: 6, HopLimit: resetTTL, NextHeader: protocol, SrcIP: source, DstIP: destination}
		ip, network = v6, v6
	}
	if t, ok := transport.(interface {
		SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
	}); ok {
		if err := t.SetNetworkLayerForChecksum(network); err != nil {
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
