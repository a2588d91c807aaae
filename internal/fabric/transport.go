package fabric

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// datagramKind identifies the type of the message that a datagram carries.
type datagramKind uint8

const (
	kindSteering datagramKind = iota + 1
	kindSyncRequest
	kindSyncResponse
	kindFetchRequest
	kindDesiredState
	kindConsensus
	// kindMissingParts requests parts of a message again. The transport handles it.
	kindMissingParts
	// kindTerms carries steering.TermsReport from control to balancers and agents.
	kindTerms
	kindCount
)

const (
	// partHeaderBytes is the size of the header of a datagram: kind (1 byte),
	// message number (4), index of the part (2), number of parts (2).
	partHeaderBytes = 1 + 4 + 2 + 2
	// maxPartBytes is the largest payload of a datagram. It keeps the datagram within
	// the largest packet of the platform.
	maxPartBytes = 1200
	// maxPartsPerMessage bounds a message to 1.2 MB.
	maxPartsPerMessage = 1024
	// incompleteMessageTimeout is how long an incomplete message waits for its
	// missing parts. It must outlast the reordering of datagrams in the network.
	incompleteMessageTimeout = 2 * time.Second
	// maxIncompleteMessages bounds the memory for messages with missing parts.
	maxIncompleteMessages = 32
	// receiveBufferBytes is the buffer for one datagram.
	receiveBufferBytes = 2048
)

// transport sends and receives messages between processes over UDP. It splits
// messages that exceed a datagram. Parts of messages between replicas and of desired
// states are sent again on request. Otherwise, if a part is lost, the message is lost, and
// the protocols above repeat what is still needed.
type transport struct {
	conn *net.UDPConn
	// relayPortOffset is added to the destination ports of messages.
	relayPortOffset uint16
	// resendPort is the port of the processes that send parts again on request.
	resendPort uint16
	handlers   [kindCount]func(from netip.Addr, payload []byte)
	// lastMessageNumber numbers the sent messages, so that the receiver can match
	// their parts.
	lastMessageNumber uint32
	retained          retainedMessages
	// countParts adds to a counter of parts.
	countParts func(counter string, parts int)

	// mu guards the fields below.
	mu              sync.Mutex
	incomplete      map[messageKey]*incompleteMessage
	completed       completedKeys
	requestTimerSet bool
}

// messageKey identifies a message that arrives in several parts.
type messageKey struct {
	from   netip.AddrPort
	number uint32
}

// incompleteMessage holds the received parts of a message; missing ones are nil.
type incompleteMessage struct {
	parts         [][]byte
	missingParts  int
	receivedBytes int
	kind          datagramKind
	firstPartAt   time.Time
	lastPartAt    time.Time
	// lastRequestAt is when missing parts were last requested, and requestInterval the
	// time until the next request.
	lastRequestAt   time.Time
	requestInterval time.Duration
}

func openTransport(address netip.Addr, port, relayPortOffset uint16) (*transport, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, fmt.Errorf("open message socket: %w", err)
	}
	t := &transport{
		conn: conn, relayPortOffset: relayPortOffset, incomplete: map[messageKey]*incompleteMessage{}, countParts: func(string, int) {},
		// The numbers of an earlier process at this address may still be in use at the
		// receivers of its messages.
		lastMessageNumber: rand.Uint32(), //nolint:gosec // Needs no secrecy.
	}
	t.handlers[kindMissingParts] = t.handleMissingParts
	return t, nil
}

// send encodes a message and sends it. It returns an error if the socket buffer
// is full or the address unreachable. The message then counts as lost.
func (t *transport) send(to netip.Addr, port uint16, kind datagramKind, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return t.sendPayload(netip.AddrPortFrom(to, port), kind, payload)
}

func (t *transport) sendPayload(to netip.AddrPort, kind datagramKind, payload []byte) error {
	count := partCount(payload)
	if count > maxPartsPerMessage {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(payload), maxPartsPerMessage*maxPartBytes)
	}
	to = netip.AddrPortFrom(to.Addr(), to.Port()+t.relayPortOffset)
	t.lastMessageNumber++
	number := t.lastMessageNumber
	if count > 1 && isResentByPart(kind) {
		t.retained.add(sentMessage{to: to, kind: kind, number: number, payload: payload, sentAt: time.Now()})
	}
	for i := range count {
		if err := t.sendPart(to, kind, number, i, count, partOf(payload, i)); err != nil {
			return fmt.Errorf("send message: %w", err)
		}
	}
	if count > 1 && isResentByPart(kind) {
		t.retained.sent(time.Now(), to.Addr(), number)
	}
	return nil
}

// partCount returns the number of datagrams that carry a payload.
func partCount(payload []byte) int { return max(1, (len(payload)+maxPartBytes-1)/maxPartBytes) }

func partOf(payload []byte, index int) []byte {
	return payload[min(index*maxPartBytes, len(payload)):min((index+1)*maxPartBytes, len(payload))]
}

// sendPart sends one datagram.
func (t *transport) sendPart(to netip.AddrPort, kind datagramKind, number uint32, index, count int, part []byte) error {
	var buffer [partHeaderBytes + maxPartBytes]byte
	buffer[0] = byte(kind)
	binary.BigEndian.PutUint32(buffer[1:], number)
	binary.BigEndian.PutUint16(buffer[5:], uint16(index))
	binary.BigEndian.PutUint16(buffer[7:], uint16(count))
	n := copy(buffer[partHeaderBytes:], part)
	_, err := t.conn.WriteToUDPAddrPort(buffer[:partHeaderBytes+n], to)
	return err
}

// receiveMessages calls the handlers for received messages until the socket is
// closed. Handlers must not retain the payload.
func (t *transport) receiveMessages() error {
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The socket reports an ICMP error for a datagram that was sent earlier.
			continue
		}
		t.handleDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// handleDatagram passes the message of a datagram to its handler. A part of a
// larger message is stored until the message is complete. Invalid datagrams are
// dropped.
func (t *transport) handleDatagram(from netip.AddrPort, datagram []byte) {
	if len(datagram) < partHeaderBytes {
		return
	}
	kind, number := datagramKind(datagram[0]), binary.BigEndian.Uint32(datagram[1:])
	index, count := int(binary.BigEndian.Uint16(datagram[5:])), int(binary.BigEndian.Uint16(datagram[7:]))
	if kind == 0 || kind >= kindCount || t.handlers[kind] == nil || index >= count || count > maxPartsPerMessage {
		return
	}
	payload := datagram[partHeaderBytes:]
	if count > 1 {
		if payload = t.addPart(messageKey{from: from, number: number}, kind, index, count, payload); payload == nil {
			return
		}
	}
	t.handlers[kind](from.Addr(), payload)
}

// addPart stores one part of a message. It returns the message once all parts
// have arrived, and nil before.
func (t *transport) addPart(key messageKey, kind datagramKind, index, count int, part []byte) []byte {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.completed.keys[key] {
		return nil
	}
	pending := t.incomplete[key]
	if pending == nil {
		t.evictIncomplete(now)
		pending = &incompleteMessage{parts: make([][]byte, count), missingParts: count, kind: kind, firstPartAt: now}
		t.incomplete[key] = pending
	}
	if len(pending.parts) != count || pending.parts[index] != nil {
		return nil
	}
	pending.lastPartAt = now
	pending.parts[index] = append([]byte{}, part...)
	pending.missingParts--
	pending.receivedBytes += len(part)
	if pending.missingParts > 0 {
		t.setRequestTimer(now)
		return nil
	}
	delete(t.incomplete, key)
	if isResentByPart(kind) {
		t.completed.add(key)
	}
	message := make([]byte, 0, pending.receivedBytes)
	for _, p := range pending.parts {
		message = append(message, p...)
	}
	return message
}

// evictIncomplete removes the incomplete messages that have timed out. If the
// table is still full, it removes the oldest message too.
func (t *transport) evictIncomplete(now time.Time) {
	var oldest messageKey
	var oldestAt time.Time
	for key, message := range t.incomplete {
		if message.isExpired(now) {
			delete(t.incomplete, key)
			continue
		}
		if oldestAt.IsZero() || message.firstPartAt.Before(oldestAt) {
			oldest, oldestAt = key, message.firstPartAt
		}
	}
	if len(t.incomplete) >= maxIncompleteMessages {
		delete(t.incomplete, oldest)
	}
}

// registerHandler sets the handler for messages of a kind. A payload that cannot
// be decoded is dropped, and onDecodeError is called.
func registerHandler[T any](t *transport, kind datagramKind, onDecodeError func(error), handler func(from netip.Addr, message *T)) {
	t.handlers[kind] = func(from netip.Addr, payload []byte) {
		var message T
		if err := cbor.Unmarshal(payload, &message); err != nil {
			onDecodeError(fmt.Errorf("message of kind %d from %s: %w", kind, from, err))
			return
		}
		handler(from, &message)
	}
}
