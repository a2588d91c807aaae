package balancer

import (
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// unansweredSlots bounds the remembered flows to 768 KB. A collision costs a
	// hop.
	unansweredSlots = 1 << 15
	// retransmitAfter is below the least retransmission time-out of common TCP
	// stacks (200 ms), so that packets of one burst count as one attempt.
	retransmitAfter = 150 * time.Millisecond
	// forgetAfter exceeds the first retransmission intervals of TCP.
	forgetAfter = 10 * time.Second
	// unansweredRanks is how many members are tried in turn: home and the next
	// two, among which are both peers that keep the registration of a flow.
	unansweredRanks = 3
)

// unanswered counts the retransmissions of flows without a hint. The agent that
// got the packet before may be lost, so the next in rank gets it then. Without
// this, flows of other upstreams stall until the loss of their home is known
// here, which takes longer than 3 s.
type unanswered struct {
	slots [unansweredSlots]unansweredSlot
}

// unansweredSlot holds the flow, the sequence number of its last packet with
// payload, and its state: the time in milliseconds since
// 1970 and, in the low byte, the attempts. Concurrent writers can lose an
// attempt.
type unansweredSlot struct {
	flow     atomic.Uint64
	state    atomic.Uint64
	sequence atomic.Uint32
}

const attemptBits = 8

// attempt returns how often the flow was sent to a member without an answer.
func (u *unanswered) attempt(now time.Time, flow uint64, m *packet.Meta) uint64 {
	s := &u.slots[flow%unansweredSlots]
	at := uint64(now.UnixMilli())
	state := s.state.Load()
	last, attempts := state>>attemptBits, state&(1<<attemptBits-1)
	since := at - last
	carries := m.PayloadBytes > 0 || m.Flags.Has(packet.FIN)
	if s.flow.Load() != flow || since >= uint64(forgetAfter.Milliseconds()) {
		s.flow.Store(flow)
		s.sequence.Store(m.Sequence)
		if !carries {
			// The first packet with payload has the same number.
			s.sequence.Store(m.Sequence - 1)
		}
		s.state.Store(at << attemptBits)
		return 0
	}
	if !carries {
		return attempts
	}
	if s.sequence.Swap(m.Sequence) != m.Sequence {
		s.state.Store(at<<attemptBits | attempts)
		return attempts
	}
	if since >= uint64(retransmitAfter.Milliseconds()) {
		attempts = (attempts + 1) % unansweredRanks
		s.state.Store(at<<attemptBits | attempts)
	}
	return attempts
}

// unhinted returns the member that gets a packet of an established TCP flow
// without a hint: home, and at a retransmission the next in rank.
func (c *Core) unhinted(now time.Time, s *view.Service, flow uint64, m *packet.Meta) int {
	var tried uint64
	for range c.unanswered.attempt(now, flow, m) {
		i := s.NextCandidate(flow, tried)
		if i < 0 {
			break
		}
		tried |= 1 << uint(i)
	}
	if i := s.NextCandidate(flow, tried); i >= 0 {
		return i
	}
	return s.Home(flow)
}
