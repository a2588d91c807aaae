package balancer

import (
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// retransmissionSlotCount bounds the memory of the table to 768 KB. Two flows
	// with the same slot overwrite each other, which costs one additional hop
	// between agents.
	retransmissionSlotCount = 1 << 15
	// minRetransmissionInterval is the shortest time between two copies of a
	// segment that counts as a retransmission. Packets of one burst arrive faster
	// and count as one attempt. It must be shorter than the minimum
	// retransmission time-out of common TCP stacks (200 ms).
	minRetransmissionInterval = 150 * time.Millisecond
	// attemptExpiry is the idle time after which the attempts of a flow are
	// discarded. It must outlast the first retransmission intervals of TCP.
	attemptExpiry = 10 * time.Second
	// attemptedRanks is the number of members that receive retransmissions in
	// turn: the home of the flow and the next two in rank. Both registrars, the
	// agents that keep a copy of the flow record, are among them.
	attemptedRanks = 3
)

// retransmissionTable counts the retransmissions of flows without a hint, by
// flow hash. The agent that received the previous copy may have failed, so the
// next member in rank receives the retransmission. Otherwise flows of healthy
// upstreams would stall until this balancer detects the failure of their home,
// which takes longer than 3 s.
type retransmissionTable struct {
	slots [retransmissionSlotCount]retransmissionSlot
}

// retransmissionSlot is the entry of one flow. Its fields are written one by one
// without a lock, so concurrent writers can lose an attempt.
type retransmissionSlot struct {
	flowHash atomic.Uint64
	// timeAndAttempts is the time of the last new segment or counted
	// retransmission, in milliseconds since 1970 (Unix time). The low byte is the
	// number of unanswered attempts.
	timeAndAttempts atomic.Uint64
	// lastSequence is the sequence number of the last packet with payload or FIN.
	lastSequence atomic.Uint32
}

// attemptCountBits is the width of the attempts in timeAndAttempts.
const attemptCountBits = 8

// recordPacket updates the slot of a flow with a packet. It returns the number of
// unanswered attempts, modulo attemptedRanks.
func (t *retransmissionTable) recordPacket(now time.Time, flowHash uint64, m *packet.Meta) uint64 {
	s := &t.slots[flowHash%retransmissionSlotCount]
	nowMillis := uint64(now.UnixMilli())
	packed := s.timeAndAttempts.Load()
	lastMillis, attempts := packed>>attemptCountBits, packed&(1<<attemptCountBits-1)
	elapsedMillis := nowMillis - lastMillis
	usesSequence := m.PayloadBytes > 0 || m.Flags.Has(packet.FIN)
	if s.flowHash.Load() != flowHash || elapsedMillis >= uint64(attemptExpiry.Milliseconds()) {
		s.flowHash.Store(flowHash)
		s.lastSequence.Store(m.Sequence)
		if !usesSequence {
			// The first packet with payload will have the same sequence number.
			// It must not count as a retransmission.
			s.lastSequence.Store(m.Sequence - 1)
		}
		s.timeAndAttempts.Store(nowMillis << attemptCountBits)
		return 0
	}
	if !usesSequence {
		return attempts
	}
	if s.lastSequence.Swap(m.Sequence) != m.Sequence {
		s.timeAndAttempts.Store(nowMillis<<attemptCountBits | attempts)
		return attempts
	}
	if elapsedMillis >= uint64(minRetransmissionInterval.Milliseconds()) {
		attempts = (attempts + 1) % attemptedRanks
		s.timeAndAttempts.Store(nowMillis<<attemptCountBits | attempts)
	}
	return attempts
}

// memberByAttempts returns the index of the member that receives a packet of an
// established TCP flow without a hint: the home of the flow, or after a
// retransmission the next member in rank. It also returns the number of members
// before it in rank, which have received the packet without an answer.
func (c *Core) memberByAttempts(now time.Time, s *view.Service, flowHash uint64, m *packet.Meta) (member int, attempts uint8) {
	var triedMask uint64
	for range c.retransmissions.recordPacket(now, flowHash, m) {
		i := s.NextMember(flowHash, triedMask)
		if i < 0 {
			break
		}
		triedMask |= 1 << uint(i)
		attempts++
	}
	if i := s.NextMember(flowHash, triedMask); i >= 0 {
		return i, attempts
	}
	return s.Home(flowHash), 0
}
