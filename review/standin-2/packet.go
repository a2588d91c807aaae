package main

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
)

// The flags of a packet.
const (
	flagFIN     = 1
	flagSYN     = 2
	flagACK     = 8
	flagRST     = 16
	flagBounced = 64
)

const (
	headerBytes = 36
	// resetWindow is how far the sequence number of a system reset may be from the last
	// acknowledgement number of the consumer.
	resetWindow = 76_800
)

// flowKey identifies a flow by the end of the consumer and that of the route.
type flowKey struct{ consumer, route netip.AddrPort }

// packet is a packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	// sum is the sum that was received, and valid whether it is that of the sender.
	sum   uint32
	valid bool
}

// sumKey is the key that consumers and servers share.
var sumKey = []byte("the key of consumers and servers")

// sumOf returns the sum over all fields except echo, pad and BOUNCED.
func sumOf(data []byte) uint32 {
	var head [headerBytes]byte
	copy(head[:], data[:headerBytes])
	clear(head[0:4])
	clear(head[19:24])
	clear(head[32:36])
	head[18] &^= flagBounced
	hash := crc32.NewIEEE()
	_, _ = hash.Write(sumKey)
	_, _ = hash.Write(head[:])
	_, _ = hash.Write(data[headerBytes:])
	return max(hash.Sum32(), 1)
}

func (p *packet) encode() []byte {
	data := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint16(data[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(data[6:], p.dst.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(data[8:], src[:])
	copy(data[12:], dst[:])
	binary.BigEndian.PutUint16(data[16:], p.src.Port())
	data[18] = p.flags
	binary.BigEndian.PutUint32(data[24:], p.seq)
	binary.BigEndian.PutUint32(data[28:], p.ack)
	data = append(data, p.data...)
	binary.BigEndian.PutUint32(data, sumOf(data))
	return data
}

var errShort = errors.New("short packet, or the length differs")

func decode(data []byte) (packet, error) {
	if len(data) < headerBytes || int(binary.BigEndian.Uint16(data[4:])) != len(data)-headerBytes {
		return packet{}, errShort
	}
	p := packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[8:12])), binary.BigEndian.Uint16(data[16:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[12:16])), binary.BigEndian.Uint16(data[6:])),
		flags: data[18], seq: binary.BigEndian.Uint32(data[24:]), ack: binary.BigEndian.Uint32(data[28:]),
		data: append([]byte(nil), data[headerBytes:]...), sum: binary.BigEndian.Uint32(data),
	}
	p.valid = p.sum == sumOf(data)
	return p, nil
}

// isSystemReset reports whether the packet is a reset of the system's own.
func (p *packet) isSystemReset() bool { return p.flags == flagRST && p.sum == 0 && len(p.data) == 0 }
