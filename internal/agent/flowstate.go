package agent

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// marks are the facts that are known about a flow.
type marks uint16

const (
	holdsSlot marks = 1 << iota
	synAckSeen
	// callerTracked: callerNext and callerISN are known.
	callerTracked
	// upstreamTracked: upstreamAck is known.
	upstreamTracked
	callerFinished
	upstreamFinished
	// payloadDelivered: a byte of the caller was handed to the upstream, so
	// the flow can no longer be refused as not run.
	payloadDelivered
	// restored: the flow was opened in an earlier life of the agent.
	restored
	// quiet: a restored flow that no packet has confirmed.
	quiet
	// slotReturned: a quiet flow has given its slot back.
	slotReturned
	removed
)

func (m marks) has(other marks) bool { return m&other == other }

// flowState is one flow that this agent holds. The lock of its shard protects
// it, except for key, hash and alias, which do not change.
type flowState struct {
	key   flow.Key
	hash  uint64
	alias netip.AddrPort
	// next and prev link the flows of one slot of the expiry wheel.
	next, prev *flowState
	// lastSeen and openedAt are Unix times in nanoseconds.
	lastSeen int64
	openedAt int64
	// callerNext and upstreamNext are the sequence numbers after the last byte
	// that a side has sent; upstreamAck is the last acknowledgement number of
	// the upstream.
	callerISN, callerNext uint32
	synAck, upstreamNext  uint32
	upstreamAck           uint32
	wheelSlot             int16
	marks                 marks
	phase                 flow.Phase
}

// windowLimit is the greatest TCP window, with the largest window scale.
const windowLimit = 1 << 30

type fit uint8

const (
	// fits: the packet belongs to the flow.
	fits fit = iota
	// fitsOther: the packet belongs to a flow with the same key that another
	// agent opened.
	fitsOther
	// reusesPort: the caller opens a new connection from the port of a flow
	// that has ended.
	reusesPort
	// lateOpening: a delayed copy of the opening of a flow that has ended.
	lateOpening
)

// fit says whether a packet of the caller belongs to this flow. A SYN in an
// open flow is handed to the upstream: it is a retransmission, or the upstream
// challenges it and a restarted caller then resets the old connection.
func (f *flowState) fit(m *packet.Meta) fit {
	if m.Protocol != packet.ProtocolTCP || m.Quoted {
		return fits
	}
	if m.Opening() {
		return f.fitOpening(m)
	}
	if !m.Flags.Has(packet.ACK) || f.marks.has(restored) {
		return fits
	}
	if !f.marks.has(synAckSeen) {
		if f.phase == flow.HalfOpen {
			return fitsOther
		}
		return fits
	}
	// The agent sees every packet of its upstream before the caller does, so
	// a caller of this flow acknowledges nothing that was not seen here.
	if f.upstreamNext-m.Ack > windowLimit || (f.phase == flow.HalfOpen && m.Ack-(f.synAck+1) > windowLimit) {
		return fitsOther
	}
	return fits
}

func (f *flowState) fitOpening(m *packet.Meta) fit {
	if f.phase != flow.Closing {
		return fits
	}
	if f.marks.has(callerTracked) && m.Sequence == f.callerISN {
		return lateOpening
	}
	return reusesPort
}

// believesReset reports whether a reset of the caller ends the flow: its
// sequence number must be the next one that the caller sends or that the
// upstream expects (RFC 5961). Any other reset is handed to the upstream,
// whose challenge makes a genuine caller send one that fits.
func (f *flowState) believesReset(m *packet.Meta) bool {
	if !f.marks.has(callerTracked) && !f.marks.has(upstreamTracked) {
		return true
	}
	if f.marks.has(callerTracked) && m.Sequence == f.callerNext {
		return true
	}
	return f.marks.has(upstreamTracked) && m.Sequence == f.upstreamAck
}

// trackCaller notes the sequence numbers of a packet of the caller.
func (f *flowState) trackCaller(m *packet.Meta) {
	if m.PayloadBytes > 0 {
		f.marks |= payloadDelivered
	}
	if m.Protocol != packet.ProtocolTCP {
		return
	}
	if m.Opening() && f.phase == flow.HalfOpen && !f.marks.has(callerTracked) {
		f.callerISN = m.Sequence
	}
	if m.Opening() && f.phase != flow.HalfOpen {
		// A SYN inside an open flow says nothing about its sequence.
		return
	}
	end := segmentEnd(m)
	if !f.marks.has(callerTracked) || int32(end-f.callerNext) > 0 {
		f.callerNext = end
	}
	f.marks |= callerTracked
}

// trackUpstream notes the sequence numbers of a packet of the upstream.
func (f *flowState) trackUpstream(m *packet.Meta) {
	if m.Protocol != packet.ProtocolTCP {
		return
	}
	if m.Flags.Has(packet.SYN | packet.ACK) {
		f.synAck = m.Sequence
		f.upstreamNext = m.Sequence + 1
		f.marks |= synAckSeen
	}
	if end := segmentEnd(m); int32(end-f.upstreamNext) > 0 {
		f.upstreamNext = end
	}
	if m.Flags.Has(packet.ACK) {
		f.upstreamAck = m.Ack
		f.marks |= upstreamTracked
	}
}

func segmentEnd(m *packet.Meta) uint32 {
	end := m.Sequence + uint32(m.PayloadBytes)
	if m.Flags.Has(packet.SYN) {
		end++
	}
	if m.Flags.Has(packet.FIN) {
		end++
	}
	return end
}

// idleLimit is the time without packets after which the flow ends. A flow that
// only one side has finished keeps the limit of an established flow. So does a
// restored half-open flow: the caller may have confirmed it before the crash.
func (f *flowState) idleLimit(t *Timeouts) time.Duration {
	switch {
	case f.phase == flow.Closing:
		return t.Closing
	case f.key.Protocol == packet.ProtocolUDP:
		return t.Datagram
	case f.phase == flow.HalfOpen && !f.marks.has(quiet):
		return t.HalfOpen
	}
	return t.Established
}

// record is what a registrar, or the next life of the agent, has to know.
func (f *flowState) record(incarnation vm.Incarnation) peer.FlowRecord {
	return peer.FlowRecord{
		Key: f.key, Alias: f.alias, Phase: f.phase, HoldsSlot: f.marks.has(holdsSlot),
		Incarnation: incarnation, OpenedAt: f.openedAt, PayloadDelivered: f.marks.has(payloadDelivered),
	}
}
