package packet

import (
	"encoding/binary"
	"net/netip"
)

// Offsets of header fields, in bytes.
const (
	ipv4TTLOffset         = 8
	ipv4ChecksumOffset    = 10
	ipv4SourceOffset      = 12
	ipv4DestinationOffset = 16
	ipv6HopLimitOffset    = 7
	ipv6SourceOffset      = 8
	ipv6DestinationOffset = 24
	sourcePortOffset      = 0
	destinationPortOffset = 2
	tcpChecksumOffset     = 16
	udpChecksumOffset     = 6
	icmpChecksumOffset    = 2
	tcpHeaderLengthOffset = 12
	tcpMinHeaderBytes     = 20
)

// checksumField is the Internet checksum field of a header. Its bytes are part of
// the packet, or nil if the header has no checksum.
type checksumField struct {
	bytes []byte
}

// update adjusts the checksum for the replacement of words that it covers
// (RFC 1624).

func (c checksumField) update(old, replacement []byte) {
	sum := uint32(^binary.BigEndian.Uint16(c.bytes))
	for i := 0; i+1 < len(old); i += 2 {
		sum += uint32(^binary.BigEndian.Uint16(old[i:]))
		sum += uint32(binary.BigEndian.Uint16(replacement[i:]))
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	binary.BigEndian.PutUint16(c.bytes, ^uint16(sum))
}

// replaceField writes a header field and updates the checksums that cover it.
func replaceField(field, value []byte, checksums ...checksumField) {
	for _, sum := range checksums {
		if sum.bytes != nil {
			sum.update(field, value)
		}
	}
	copy(field, value)
}

// Rewrite replaces both addresses and ports of a TCP or UDP packet that Parse
// has accepted.
func Rewrite(rawPacket []byte, source, destination netip.AddrPort) error {
	layout, err := layoutOf(rawPacket)
	if err != nil {
		return err
	}
	transportChecksum := checksumField{bytes: transportChecksumBytes(rawPacket, layout)}
	return rewriteAddressesAndPorts(rawPacket, layout, source, destination, transportChecksum)
}

// rewriteAddressesAndPorts replaces the addresses and ports of a packet and
// updates its checksums.
func rewriteAddressesAndPorts(rawPacket []byte, layout packetLayout, source, destination netip.AddrPort, transportChecksum checksumField) error {
	if source.Addr().Is4() != (layout.version == 4) || destination.Addr().Is4() != (layout.version == 4) {
		return errUnsupportedProtocol
	}
	var port [2]byte
	if layout.version == 4 {
		ipChecksum := checksumField{bytes: rawPacket[ipv4ChecksumOffset : ipv4ChecksumOffset+2]}
		sourceIP, destinationIP := source.Addr().As4(), destination.Addr().As4()
		replaceField(rawPacket[ipv4SourceOffset:ipv4SourceOffset+4], sourceIP[:], ipChecksum, transportChecksum)
		replaceField(rawPacket[ipv4DestinationOffset:ipv4DestinationOffset+4], destinationIP[:], ipChecksum, transportChecksum)
	} else {
		sourceIP, destinationIP := source.Addr().As16(), destination.Addr().As16()
		replaceField(rawPacket[ipv6SourceOffset:ipv6SourceOffset+16], sourceIP[:], transportChecksum)
		replaceField(rawPacket[ipv6DestinationOffset:ipv6DestinationOffset+16], destinationIP[:], transportChecksum)
	}
	ports := rawPacket[layout.transportOffset:]
	binary.BigEndian.PutUint16(port[:], source.Port())
	replaceField(ports[sourcePortOffset:sourcePortOffset+2], port[:], transportChecksum)
	binary.BigEndian.PutUint16(port[:], destination.Port())
	replaceField(ports[destinationPortOffset:destinationPortOffset+2], port[:], transportChecksum)
	return nil
}

// transportChecksumBytes returns the checksum field of the transport header, or
// nil if the packet has none.
func transportChecksumBytes(rawPacket []byte, layout packetLayout) []byte {
	offset := 0
	switch layout.protocol {
	case ProtocolTCP:
		offset = layout.transportOffset + tcpChecksumOffset
	case ProtocolUDP:
		offset = layout.transportOffset + udpChecksumOffset
	default:
		return nil
	}
	if len(rawPacket) < offset+2 {
		return nil
	}
	field := rawPacket[offset : offset+2]
	if layout.protocol == ProtocolUDP && layout.version == 4 && field[0] == 0 && field[1] == 0 {
		// The checksum of UDP over IPv4 is optional; 0 means that there is none.
		return nil
	}
	return field
}

// RewriteQuote replaces the addresses in an ICMP error: those of the outer
// header and those of the quoted packet.
func RewriteQuote(rawPacket []byte, outerSource, outerDestination netip.Addr, source, destination netip.AddrPort) error {
	outerLayout, err := layoutOf(rawPacket)
	if err != nil {
		return err
	}
	if len(rawPacket) < outerLayout.transportOffset+icmpHeaderBytes {
		return errMalformed
	}
	quoted := rawPacket[outerLayout.transportOffset+icmpHeaderBytes:]
	quotedLayout, err := quotedPacketLayout(quoted)
	if err != nil {
		return err
	}
	if err := rewriteAddressesAndPorts(quoted, quotedLayout, source, destination, checksumField{bytes: transportChecksumBytes(quoted, quotedLayout)}); err != nil {
		return err
	}
	if err := rewriteIPAddresses(rawPacket, outerLayout, outerSource, outerDestination); err != nil {
		return err
	}
	recomputeICMPChecksum(rawPacket, outerLayout)
	return nil
}

// rewriteIPAddresses replaces the addresses in the IP header of an ICMP packet.
// It does not update the ICMP checksum.
func rewriteIPAddresses(rawPacket []byte, layout packetLayout, source, destination netip.Addr) error {
	if source.Is4() != (layout.version == 4) || destination.Is4() != (layout.version == 4) {
		return errUnsupportedProtocol
	}
	if layout.version == 6 {
		sourceIP, destinationIP := source.As16(), destination.As16()
		copy(rawPacket[ipv6SourceOffset:], sourceIP[:])
		copy(rawPacket[ipv6DestinationOffset:], destinationIP[:])
		return nil
	}
	ipChecksum := checksumField{bytes: rawPacket[ipv4ChecksumOffset : ipv4ChecksumOffset+2]}
	sourceIP, destinationIP := source.As4(), destination.As4()
	replaceField(rawPacket[ipv4SourceOffset:ipv4SourceOffset+4], sourceIP[:], ipChecksum)
	replaceField(rawPacket[ipv4DestinationOffset:ipv4DestinationOffset+4], destinationIP[:], ipChecksum)
	return nil
}

// recomputeICMPChecksum computes the ICMP checksum from the whole message. ICMP
// errors are rare and short, so no incremental update is needed.
func recomputeICMPChecksum(rawPacket []byte, layout packetLayout) {
	icmpMessage := rawPacket[layout.transportOffset:]
	field := icmpMessage[icmpChecksumOffset : icmpChecksumOffset+2]
	field[0], field[1] = 0, 0
	var sum uint32
	if layout.version == 6 {
		sum += sumWords(rawPacket[ipv6SourceOffset : ipv6DestinationOffset+16])
		sum += uint32(len(icmpMessage)) + ProtocolICMPv6
	}
	sum += sumWords(icmpMessage)
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	binary.BigEndian.PutUint16(field, ^uint16(sum))
}

// sumWords returns the sum of the 16-bit words of b, padded with a zero byte.
func sumWords(b []byte) uint32 {
	var sum uint32
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(binary.BigEndian.Uint16(b))
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	return sum
}

// DecrementTTL decrements the TTL or hop limit. A packet whose value is 1 or
// less is rejected.
func DecrementTTL(rawPacket []byte) error {
	layout, err := layoutOf(rawPacket)
	if err != nil {
		return err
	}
	if layout.version == 6 {
		if rawPacket[ipv6HopLimitOffset] <= 1 {
			return errTTLExceeded
		}
		rawPacket[ipv6HopLimitOffset]--
		return nil
	}
	if rawPacket[ipv4TTLOffset] <= 1 {
		return errTTLExceeded
	}
	newWord := [2]byte{rawPacket[ipv4TTLOffset] - 1, rawPacket[ipv4TTLOffset+1]}
	replaceField(rawPacket[ipv4TTLOffset:ipv4TTLOffset+2], newWord[:], checksumField{bytes: rawPacket[ipv4ChecksumOffset : ipv4ChecksumOffset+2]})
	return nil
}

// ClampMSS lowers the maximum segment size (MSS) option of a SYN or SYN-ACK, so
// that segments fit into a tunnel of the given MTU. Other packets are not
// changed.
func ClampMSS(rawPacket []byte, mtu int) {
	layout, err := layoutOf(rawPacket)
	if err != nil || layout.protocol != ProtocolTCP || len(rawPacket) < layout.transportOffset+tcpMinHeaderBytes {
		return
	}
	segment := rawPacket[layout.transportOffset:]
	const synBit, flagsOffset = 0x02, 13
	if segment[flagsOffset]&synBit == 0 {
		return
	}
	headerEnd := min(int(segment[tcpHeaderLengthOffset]>>4)*4, len(segment))
	clampMSSOption(segment[:headerEnd], uint16(mtu-layout.transportOffset-tcpMinHeaderBytes), checksumField{bytes: transportChecksumBytes(rawPacket, layout)})
}

// clampMSSOption lowers the MSS option of a TCP header to maxSegmentBytes.
func clampMSSOption(header []byte, maxSegmentBytes uint16, segmentChecksum checksumField) {
	const endOfList, noOperation, mssKind, mssOptionBytes = 0, 1, 2, 4
	for offset := tcpMinHeaderBytes; offset < len(header); {
		if header[offset] == endOfList {
			return
		}
		if header[offset] == noOperation {
			offset++
			continue
		}
		if offset+1 >= len(header) || header[offset+1] < 2 || offset+int(header[offset+1]) > len(header) {
			return
		}
		if header[offset] == mssKind && header[offset+1] == mssOptionBytes {
			limitUint16(header, offset+2, maxSegmentBytes, segmentChecksum)
			return
		}
		offset += int(header[offset+1])
	}
}

// limitUint16 replaces a 16-bit value that exceeds the limit. A value at an odd
// offset spans two words of the checksum, so both words are updated.
func limitUint16(header []byte, offset int, limit uint16, segmentChecksum checksumField) {
	if binary.BigEndian.Uint16(header[offset:]) <= limit {
		return
	}
	start, end := offset&^1, (offset+3)&^1
	words := make([]byte, end-start)
	copy(words, header[start:end])
	binary.BigEndian.PutUint16(words[offset-start:], limit)
	replaceField(header[start:end], words, segmentChecksum)
}
