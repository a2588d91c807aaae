package fabric

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Messages between replicas and desired states are sent again by part: the receiver
// requests the parts that it lacks, and the sender keeps what it has sent for a while.
//
// Load pattern: a replica with an empty disk gets a log or a snapshot of some hundred
// datagrams at once, and each balancer gets every change of the desired state as a whole.
// The more datagrams a message has, the less likely all of them arrive, and those that do
// not fit into the receive buffer never do.
const (
	// missingPartsDelay is the time without a further part after which the missing ones
	// are requested. It exceeds the reordering of datagrams between zones.
	missingPartsDelay = 20 * time.Millisecond
	// firstRequestInterval is the time until the second request, if no part arrives. It
	// doubles with each request, and exceeds the round trip between regions.
	firstRequestInterval = 40 * time.Millisecond
	// maxPartsPerRequest bounds the parts that are sent again at once, so that they do not
	// fill the receive buffer as the first transmission may have.
	maxPartsPerRequest = 64
	// partInTransit is the time after a part was sent in which a request for it is dropped:
	// its receiver has not had the time to wait for it.
	partInTransit = missingPartsDelay / 2
	// messageNumberBytes is the size of the message number at the start of a request.
	messageNumberBytes = 4
	// maxRetainedBytes bounds the sent messages that are kept, where a payload that went to
	// several receivers counts once. It has room for the batches in flight to all replicas
	// and for a desired state.
	maxRetainedBytes = 4 << 20
	// maxRetainedMessages has room for one message to each process of a large deployment.
	maxRetainedMessages = 1024
	// maxCompletedKeys bounds the keys of received messages that are kept, so that parts
	// that arrive twice do not start a message again.
	maxCompletedKeys = 256
)

// isResentByPart reports whether messages of a kind are sent again by part.
func isResentByPart(kind datagramKind) bool {
	return kind == kindConsensus || kind == kindDesiredState
}

// sentMessage is a message that may have to be sent again in part.
type sentMessage struct {
	to      netip.AddrPort
	kind    datagramKind
	number  uint32
	payload []byte
	sentAt  time.Time
	// resentAt has the time at which each part was last sent again. It is nil before the
	// first request.
	resentAt []time.Time
}

// retainedMessages holds the latest sent messages, oldest first.
type retainedMessages struct {
	mu       sync.Mutex
	messages []sentMessage
	// uses counts the messages of each payload, by its first byte.
	uses  map[*byte]int
	bytes int
}

// add keeps a message and drops the oldest ones that are beyond the limits.
func (r *retainedMessages) add(m sentMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.uses == nil {
		r.uses = map[*byte]int{}
	}
	if r.uses[&m.payload[0]]++; r.uses[&m.payload[0]] == 1 {
		r.bytes += len(m.payload)
	}
	r.messages = append(r.messages, m)
	for len(r.messages) > 1 && (r.bytes > maxRetainedBytes || len(r.messages) > maxRetainedMessages ||
		m.sentAt.Sub(r.messages[0].sentAt) > incompleteMessageTimeout) {
		r.dropOldest()
	}
}

func (r *retainedMessages) dropOldest() {
	payload := r.messages[0].payload
	if r.uses[&payload[0]]--; r.uses[&payload[0]] == 0 {
		delete(r.uses, &payload[0])
		r.bytes -= len(payload)
	}
	r.messages[0] = sentMessage{}
	r.messages = r.messages[1:]
}

// find returns the message with a number that was sent to an address.
func (r *retainedMessages) find(to netip.Addr, number uint32) (sentMessage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.findLocked(to, number); m != nil {
		return *m, true
	}
	return sentMessage{}, false
}

func (r *retainedMessages) findLocked(to netip.Addr, number uint32) *sentMessage {
	for i := range r.messages {
		if m := &r.messages[i]; m.number == number && m.to.Addr() == to {
			return m
		}
	}
	return nil
}

// takePart reports whether a part of a message must be sent again now, and records that it
// is. It is not if it was sent less than partInTransit before.
//
// Load pattern: the sender waits for its core while it sends hundreds of parts, or before it
// handles a request. The receiver then requests parts that are about to be sent.
func (r *retainedMessages) takePart(now time.Time, to netip.Addr, number uint32, index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.findLocked(to, number)
	if m == nil || index >= partCount(m.payload) {
		return false
	}
	if m.resentAt == nil {
		m.resentAt = make([]time.Time, partCount(m.payload))
	}
	if now.Sub(m.sentAt) < partInTransit || now.Sub(m.resentAt[index]) < partInTransit {
		return false
	}
	m.resentAt[index] = now
	return true
}

// sent records that all parts of a message have been sent.
func (r *retainedMessages) sent(now time.Time, to netip.Addr, number uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.findLocked(to, number); m != nil {
		m.sentAt = now
	}
}

// completedKeys holds the keys of the messages that were received last.
type completedKeys struct {
	keys map[messageKey]bool
	// order has the keys in the order of their completion, in a ring.
	order [maxCompletedKeys]messageKey
	next  int
}

func (c *completedKeys) add(key messageKey) {
	if c.keys == nil {
		c.keys = map[messageKey]bool{}
	}
	delete(c.keys, c.order[c.next])
	c.order[c.next], c.keys[key] = key, true
	c.next = (c.next + 1) % maxCompletedKeys
}

// isExpired reports whether the message has waited too long for missing parts. One that is
// sent again by part may take longer on a slow link, as long as parts arrive.
func (m *incompleteMessage) isExpired(now time.Time) bool {
	if isResentByPart(m.kind) {
		return now.Sub(m.lastPartAt) > incompleteMessageTimeout
	}
	return now.Sub(m.firstPartAt) > incompleteMessageTimeout
}

// missingPartsRequest returns a request for missing parts of the message with a number.
// The number is followed by the indexes of the parts.
func (m *incompleteMessage) missingPartsRequest(number uint32) []byte {
	request := binary.BigEndian.AppendUint32(nil, number)
	for i, part := range m.parts {
		if part == nil && len(request) < messageNumberBytes+2*maxPartsPerRequest {
			request = binary.BigEndian.AppendUint16(request, uint16(i))
		}
	}
	return request
}

// requestDueAt returns when the missing parts must be requested next.
func (m *incompleteMessage) requestDueAt() time.Time {
	dueAt := m.lastPartAt.Add(missingPartsDelay)
	if next := m.lastRequestAt.Add(m.requestInterval); next.After(dueAt) && m.lastRequestAt.After(m.lastPartAt) {
		return next
	}
	return dueAt
}

// receivingTimeout is the time without a further part after which a message no longer
// counts as arriving. It has room for some requests that are lost.
const receivingTimeout = 4 * firstRequestInterval

// isReceiving reports whether parts of a message of a kind are arriving.
func (t *transport) isReceiving(kind datagramKind, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, message := range t.incomplete {
		if message.kind == kind && now.Sub(message.lastPartAt) < receivingTimeout {
			return true
		}
	}
	return false
}

// checkMissingParts runs when requests are due, in the goroutine of the timer. It sends an
// empty request to the socket of this process. When it is received, every datagram that
// arrived before it has been handled, and the parts that are still missing are requested.
//
// Load pattern: the receiver waits for its core while a message of hundreds of parts
// arrives. The parts lie in the receive buffer, and requests for them would make the
// sender repeat up to the whole message.
func (t *transport) checkMissingParts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestTimerSet = false
	now := time.Now()
	if !t.requestDue(now) {
		t.setRequestTimer(now)
		return
	}
	self := t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if err := t.sendPart(self, kindMissingParts, 0, 0, 1, nil); err != nil {
		t.requestMissingParts(now)
		return
	}
	// The datagram is lost if the receive buffer is full.
	t.requestTimerSet = true
	time.AfterFunc(firstRequestInterval, t.checkMissingParts)
}

// requestDue reports whether a message waits for a request.
func (t *transport) requestDue(now time.Time) bool {
	for _, message := range t.incomplete {
		if isResentByPart(message.kind) && !now.Before(message.requestDueAt()) {
			return true
		}
	}
	return false
}

// requestMissingParts sends the requests that are due and sets the timer for the next
// ones. It is called with the lock held.
func (t *transport) requestMissingParts(now time.Time) {
	for key, message := range t.incomplete {
		if !isResentByPart(message.kind) {
			continue
		}
		if message.isExpired(now) {
			delete(t.incomplete, key)
			continue
		}
		if now.Before(message.requestDueAt()) {
			continue
		}
		message.requestInterval = max(firstRequestInterval, 2*message.requestInterval)
		if message.lastPartAt.After(message.lastRequestAt) {
			message.requestInterval = firstRequestInterval
		}
		message.lastRequestAt = now
		request := message.missingPartsRequest(key.number)
		t.countParts("link.parts_requested", (len(request)-messageNumberBytes)/2)
		// A request that is lost is sent again.
		_ = t.sendPart(netip.AddrPortFrom(key.from.Addr(), t.resendPort+t.relayPortOffset), kindMissingParts, 0, 0, 1, request)
	}
	t.setRequestTimer(now)
}

// setRequestTimer sets the timer to the time of the next request. It is called with the
// lock held.
func (t *transport) setRequestTimer(now time.Time) {
	if t.requestTimerSet {
		return
	}
	var next time.Time
	for _, message := range t.incomplete {
		if dueAt := message.requestDueAt(); isResentByPart(message.kind) && (next.IsZero() || dueAt.Before(next)) {
			next = dueAt
		}
	}
	if next.IsZero() {
		return
	}
	t.requestTimerSet = true
	// A stopped process sends nothing more: the socket is closed by then.
	time.AfterFunc(max(next.Sub(now), time.Millisecond), t.checkMissingParts)
}

// handleMissingParts sends the requested parts of a message again. An empty request comes
// from checkMissingParts.
func (t *transport) handleMissingParts(from netip.Addr, request []byte) {
	if len(request) == 0 && from == t.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.requestMissingParts(time.Now())
		return
	}
	if len(request) < messageNumberBytes {
		return
	}
	number := binary.BigEndian.Uint32(request)
	message, ok := t.retained.find(from, number)
	if !ok {
		return
	}
	count := partCount(message.payload)
	indexes := request[messageNumberBytes:]
	for sent := 0; len(indexes) >= 2 && sent < maxPartsPerRequest; sent++ {
		index := int(binary.BigEndian.Uint16(indexes))
		indexes = indexes[2:]
		if index >= count {
			return
		}
		if !t.retained.takePart(time.Now(), from, number, index) {
			continue
		}
		if err := t.sendPart(message.to, message.kind, message.number, index, count, partOf(message.payload, index)); err != nil {
			return // The receiver requests the rest again.
		}
		t.countParts("link.parts_resent", 1)
	}
}
