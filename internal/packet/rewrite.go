package packet

import (
	"encoding/binary"
	"net/netip"
)

// Offsets of header fields, in bytes.
const (
	ip4TTL             = 8
	ip4Checksum        = 10
	ip4Source          = 12
	ip4Destination     = 16
	ip6HopLimit        = 7
	ip6Source          = 8
	ip6Destination     = 24
	portSource         = 0
	portDestination    = 2
	tcpChecksumOffset  = 16
	udpChecksumOffset  = 6
	icmpChecksumOffset = 2
	tcpDataOffset      = 12
	tcpMinHeaderBytes  = 20
)

// checksum is an Internet checksum that is updated for each changed word
// (RFC 1624).
type checksum struct {
	field []byte
}

func (c checksum) update(old, changed []byte) {
	sum := uint32(^binary.BigEndian.Uint16(c.field))
	for i := 0; i+1 < len(old); i += 2 {
		sum += uint32(^binary.BigEndian.Uint16(old[i:]))
		sum += uint32(binary.BigEndian.Uint16(changed[i:]))
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	binary.BigEndian.PutUint16(c.field, ^uint16(sum))
}

// replace writes a field and updates the checksums that cover it.
func replace(field, value []byte, sums ...checksum) {
	for _, s := range sums {
		if s.field != nil {
			s.update(field, value)
		}
	}
	copy(field, value)
}

// Rewrite replaces both addresses and ports of a TCP or UDP packet that Parse
// has accepted.
func Rewrite(b []byte, source, destination netip.AddrPort) error {
	l, err := headerLayout(b)
	if err != nil {
		return err
	}
	transport := checksum{field: transportChecksum(b, l)}
	return rewriteAddresses(b, l, source, destination, transport)
}

func rewriteAddresses(b []byte, l layout, source, destination netip.AddrPort, transport checksum) error {
	if source.Addr().Is4() != (l.version == 4) || destination.Addr().Is4() != (l.version == 4) {
		return errUnsupported
	}
	var port [2]byte
	if l.version == 4 {
		header := checksum{field: b[ip4Checksum : ip4Checksum+2]}
		from, to := source.Addr().As4(), destination.Addr().As4()
		replace(b[ip4Source:ip4Source+4], from[:], header, transport)
		replace(b[ip4Destination:ip4Destination+4], to[:], header, transport)
	} else {
		from, to := source.Addr().As16(), destination.Addr().As16()
		replace(b[ip6Source:ip6Source+16], from[:], transport)
		replace(b[ip6Destination:ip6Destination+16], to[:], transport)
	}
	ports := b[l.transport:]
	binary.BigEndian.PutUint16(port[:], source.Port())
	replace(ports[portSource:portSource+2], port[:], transport)
	binary.BigEndian.PutUint16(port[:], destination.Port())
	replace(ports[portDestination:portDestination+2], port[:], transport)
	return nil
}

// transportChecksum returns the checksum field, or nil if there is none.
func transportChecksum(b []byte, l layout) []byte {
	offset := 0
	switch l.protocol {
	case ProtocolTCP:
		offset = l.transport + tcpChecksumOffset
	case ProtocolUDP:
		offset = l.transport + udpChecksumOffset
	default:
		return nil
	}
	if len(b) < offset+2 {
		return nil
	}
	field := b[offset : offset+2]
	if l.protocol == ProtocolUDP && l.version == 4 && field[0] == 0 && field[1] == 0 {
		// The sender of an IPv4 datagram may leave the checksum out.
		return nil
	}
	return field
}

// RewriteQuote replaces the addresses in an ICMP error: those of the outer
// header and those of the quoted packet.
func RewriteQuote(b []byte, outerSource, outerDestination netip.Addr, source, destination netip.AddrPort) error {
	outer, err := headerLayout(b)
	if err != nil {
		return err
	}
	if len(b) < outer.transport+icmpHeaderBytes {
		return errMalformed
	}
	inner := b[outer.transport+icmpHeaderBytes:]
	l, err := quoteLayout(inner)
	if err != nil {
		return err
	}
	if err := rewriteAddresses(inner, l, source, destination, checksum{field: transportChecksum(inner, l)}); err != nil {
		return err
	}
	if err := rewriteOuter(b, outer, outerSource, outerDestination); err != nil {
		return err
	}
	recomputeICMP(b, outer)
	return nil
}

func rewriteOuter(b []byte, l layout, source, destination netip.Addr) error {
	if source.Is4() != (l.version == 4) || destination.Is4() != (l.version == 4) {
		return errUnsupported
	}
	if l.version == 6 {
		from, to := source.As16(), destination.As16()
		copy(b[ip6Source:], from[:])
		copy(b[ip6Destination:], to[:])
		return nil
	}
	header := checksum{field: b[ip4Checksum : ip4Checksum+2]}
	from, to := source.As4(), destination.As4()
	replace(b[ip4Source:ip4Source+4], from[:], header)
	replace(b[ip4Destination:ip4Destination+4], to[:], header)
	return nil
}

// recomputeICMP sets the checksum anew: errors are rare and short.
func recomputeICMP(b []byte, l layout) {
	body := b[l.transport:]
	field := body[icmpChecksumOffset : icmpChecksumOffset+2]
	field[0], field[1] = 0, 0
	var sum uint32
	if l.version == 6 {
		sum += partialSum(b[ip6Source : ip6Destination+16])
		sum += uint32(len(body)) + ProtocolICMPv6
	}
	sum += partialSum(body)
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	binary.BigEndian.PutUint16(field, ^uint16(sum))
}

func partialSum(b []byte) uint32 {
	var sum uint32
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(binary.BigEndian.Uint16(b))
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	return sum
}

// DecrementTTL lowers the TTL or hop limit by one.
func DecrementTTL(b []byte) error {
	l, err := headerLayout(b)
	if err != nil {
		return err
	}
	if l.version == 6 {
		if b[ip6HopLimit] <= 1 {
			return errTTLExceeded
		}
		b[ip6HopLimit]--
		return nil
	}
	if b[ip4TTL] <= 1 {
		return errTTLExceeded
	}
	word := [2]byte{b[ip4TTL] - 1, b[ip4TTL+1]}
	replace(b[ip4TTL:ip4TTL+2], word[:], checksum{field: b[ip4Checksum : ip4Checksum+2]})
	return nil
}

// ClampMSS lowers the maximum segment size option of a SYN or SYN-ACK, so that
// segments fit into a tunnel of the given MTU. Other packets stay as they are.
func ClampMSS(b []byte, mtu int) {
	l, err := headerLayout(b)
	if err != nil || l.protocol != ProtocolTCP || len(b) < l.transport+tcpMinHeaderBytes {
		return
	}
	segment := b[l.transport:]
	const synBit, flagsOffset = 0x02, 13
	if segment[flagsOffset]&synBit == 0 {
		return
	}
	end := min(int(segment[tcpDataOffset]>>4)*4, len(segment))
	clampOption(segment[:end], uint16(mtu-l.transport-tcpMinHeaderBytes), checksum{field: transportChecksum(b, l)})
}

func clampOption(header []byte, limit uint16, sum checksum) {
	const endOfList, noOperation, mss, mssLength = 0, 1, 2, 4
	for i := tcpMinHeaderBytes; i < len(header); {
		if header[i] == endOfList {
			return
		}
		if header[i] == noOperation {
			i++
			continue
		}
		if i+1 >= len(header) || header[i+1] < 2 || i+int(header[i+1]) > len(header) {
			return
		}
		if header[i] == mss && header[i+1] == mssLength {
			lowerValue(header, i+2, limit, sum)
			return
		}
		i += int(header[i+1])
	}
}

// lowerValue replaces a 16-bit value if it exceeds the limit. A value at an odd
// offset lies across two checksum words, so both are updated.
func lowerValue(header []byte, at int, limit uint16, sum checksum) {
	if binary.BigEndian.Uint16(header[at:]) <= limit {
		return
	}
	start, end := at&^1, (at+3)&^1
	words := make([]byte, end-start)
	copy(words, header[start:end])
	binary.BigEndian.PutUint16(words[at-start:], limit)
	replace(header[start:end], words, sum)
}
