package fabric

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// messageKind says what a datagram between processes carries.
type messageKind uint8

const (
	kindSteering messageKind = iota + 1
	kindAsk
	kindAnswer
	kindFetch
	kindDesired
	kindConsensus
	kindCount
)

const (
	// linkHeader: kind, number of the message, index and count of its parts.
	linkHeader = 1 + 4 + 2 + 2
	// maxPartBytes keeps a datagram within the largest packet of the platform.
	maxPartBytes = 1200
	// maxParts bounds a message to 1.2 MB.
	maxParts = 1024
	// partLifetime is how long an incomplete message is kept.
	partLifetime = 2 * time.Second
	// maxPartial bounds the incomplete messages that are kept.
	maxPartial = 32
	// receiveBytes is the buffer of one datagram.
	receiveBytes = 2048
)

// link carries messages between processes over UDP. A lost part loses its
// message; senders repeat what still matters.
type link struct {
	conn *net.UDPConn
	// relayOffset is added to the ports that messages go to.
	relayOffset uint16
	handlers    [kindCount]func(from netip.Addr, payload []byte)
	number      uint32
	partial     map[partialKey]*partialMessage
}

type partialKey struct {
	from   netip.AddrPort
	number uint32
}

type partialMessage struct {
	parts   [][]byte
	missing int
	size    int
	at      time.Time
}

func openLink(address netip.Addr, port, relayOffset uint16) (*link, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	return &link{conn: conn, relayOffset: relayOffset, partial: map[partialKey]*partialMessage{}}, nil
}

// send encodes a message and sends it. Errors are those of a full buffer or an
// unreachable address; the message then counts as lost.
func (l *link) send(to netip.Addr, port uint16, kind messageKind, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return l.sendBytes(netip.AddrPortFrom(to, port), kind, payload)
}

func (l *link) sendBytes(to netip.AddrPort, kind messageKind, payload []byte) error {
	count := max(1, (len(payload)+maxPartBytes-1)/maxPartBytes)
	if count > maxParts {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(payload), maxParts*maxPartBytes)
	}
	to = netip.AddrPortFrom(to.Addr(), to.Port()+l.relayOffset)
	l.number++
	var buffer [linkHeader + maxPartBytes]byte
	for i := range count {
		part := payload[min(i*maxPartBytes, len(payload)):min((i+1)*maxPartBytes, len(payload))]
		buffer[0] = byte(kind)
		binary.BigEndian.PutUint32(buffer[1:], l.number)
		binary.BigEndian.PutUint16(buffer[5:], uint16(i))
		binary.BigEndian.PutUint16(buffer[7:], uint16(count))
		n := copy(buffer[linkHeader:], part)
		if _, err := l.conn.WriteToUDPAddrPort(buffer[:linkHeader+n], to); err != nil {
			return fmt.Errorf("send message: %w", err)
		}
	}
	return nil
}

// receive hands messages to the handlers until the link is closed. Handlers
// must not keep the payload.
func (l *link) receive() error {
	buffer := make([]byte, receiveBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error about an earlier datagram shows up here.
			continue
		}
		l.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

func (l *link) take(from netip.AddrPort, datagram []byte) {
	if len(datagram) < linkHeader {
		return
	}
	kind, number := messageKind(datagram[0]), binary.BigEndian.Uint32(datagram[1:])
	index, count := int(binary.BigEndian.Uint16(datagram[5:])), int(binary.BigEndian.Uint16(datagram[7:]))
	if kind == 0 || kind >= kindCount || l.handlers[kind] == nil || index >= count || count > maxParts {
		return
	}
	payload := datagram[linkHeader:]
	if count > 1 {
		if payload = l.join(partialKey{from: from, number: number}, index, count, payload); payload == nil {
			return
		}
	}
	l.handlers[kind](from.Addr(), payload)
}

// join keeps one part and returns the message when it is complete.
func (l *link) join(key partialKey, index, count int, part []byte) []byte {
	now := time.Now()
	m := l.partial[key]
	if m == nil {
		l.makeRoom(now)
		m = &partialMessage{parts: make([][]byte, count), missing: count, at: now}
		l.partial[key] = m
	}
	if len(m.parts) != count || m.parts[index] != nil {
		return nil
	}
	m.parts[index] = append([]byte{}, part...)
	m.missing--
	m.size += len(part)
	if m.missing > 0 {
		return nil
	}
	delete(l.partial, key)
	whole := make([]byte, 0, m.size)
	for _, p := range m.parts {
		whole = append(whole, p...)
	}
	return whole
}

// makeRoom drops incomplete messages that are old, or the oldest one.
func (l *link) makeRoom(now time.Time) {
	var oldest partialKey
	var oldestAt time.Time
	for key, m := range l.partial {
		if now.Sub(m.at) > partLifetime {
			delete(l.partial, key)
			continue
		}
		if oldestAt.IsZero() || m.at.Before(oldestAt) {
			oldest, oldestAt = key, m.at
		}
	}
	if len(l.partial) >= maxPartial {
		delete(l.partial, oldest)
	}
}

// handle registers the handler of a kind; payloads that cannot be decoded are
// dropped and counted by the caller's counter.
func handle[T any](l *link, kind messageKind, rejected func(error), f func(from netip.Addr, message *T)) {
	l.handlers[kind] = func(from netip.Addr, payload []byte) {
		var message T
		if err := cbor.Unmarshal(payload, &message); err != nil {
			rejected(fmt.Errorf("message of kind %d from %s: %w", kind, from, err))
			return
		}
		f(from, &message)
	}
}
