package agent

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// flowFlags is a set of facts about a flow.
type flowFlags uint16

const (
	// usesSlot: the flow occupies a slot of the upstream.
	usesSlot flowFlags = 1 << iota
	synAckSeen
	// callerTracked: callerISN and callerNextSeq are valid.
	callerTracked
	// upstreamTracked: upstreamLastAck is valid.
	upstreamTracked
	callerFINSeen
	upstreamFINSeen
	// payloadDelivered: a payload byte of the caller was delivered to the
	// upstream. Its request may have been executed, so the opening can no longer
	// be refused.
	payloadDelivered
	// restored: the flow was opened in a previous incarnation of the agent.
	restored
	// noPacketSinceRestore: no packet of the flow has arrived since it was
	// restored.
	noPacketSinceRestore
	// slotReleased: the slot of the flow was released because no packet has
	// arrived since the flow was restored.
	slotReleased
	// removed: the flow is no longer in the table.
	removed
)

func (f flowFlags) has(other flowFlags) bool { return f&other == other }

// flowState is a flow that this agent holds. The lock of its shard protects it.
// Only key, hash and alias may be read without the lock, because they do not
// change.
type flowState struct {
	key   flow.Key
	hash  uint64
	alias netip.AddrPort
	// next and prev link the flows of one bucket of the expiry wheel.
	next, prev *flowState
	// lastPacketAt and openedAt are Unix times in nanoseconds.
	lastPacketAt int64
	openedAt     int64
	// callerNextSeq and upstreamNextSeq are the sequence numbers after the last
	// byte that each side has sent. upstreamLastAck is the last acknowledgement
	// number that the upstream has sent.
	callerISN, callerNextSeq   uint32
	synAckSeq, upstreamNextSeq uint32
	upstreamLastAck            uint32
	wheelBucket                int16
	flags                      flowFlags
	phase                      flow.Phase
}

// maxTCPWindow is the greatest TCP window, with the largest window scale.
const maxTCPWindow = 1 << 30

// packetMatch is the result of matchPacket.
type packetMatch uint8

const (
	// matchesFlow: the packet belongs to the flow.
	matchesFlow packetMatch = iota
	// matchesFlowElsewhere: the packet belongs to a flow with the same key that
	// another agent opened.
	matchesFlowElsewhere
	// reusesPort: the caller opens a new connection from the port of a flow that
	// has ended.
	reusesPort
	// delayedOpening: a delayed copy of the opening of a flow that has ended.
	delayedOpening
)

// matchPacket returns how a packet of the caller relates to this flow. A SYN in
// an open flow is delivered to the upstream. It may be a retransmission.
// Otherwise the upstream sends a challenge ACK, to which a restarted caller
// responds with a reset of the old connection.
func (f *flowState) matchPacket(meta *packet.Meta) packetMatch {
	if meta.Protocol != packet.ProtocolTCP || meta.Quoted {
		return matchesFlow
	}
	if meta.IsOpening() {
		return f.matchOpening(meta)
	}
	if !meta.Flags.Has(packet.ACK) || f.flags.has(restored) {
		return matchesFlow
	}
	if !f.flags.has(synAckSeen) {
		if f.phase == flow.HalfOpen {
			return matchesFlowElsewhere
		}
		return matchesFlow
	}
	// Every packet of the upstream passes this agent before it reaches the caller.
	// A caller of this flow therefore cannot acknowledge bytes beyond those that
	// passed here.
	if f.upstreamNextSeq-meta.Ack > maxTCPWindow || (f.phase == flow.HalfOpen && meta.Ack-(f.synAckSeq+1) > maxTCPWindow) {
		return matchesFlowElsewhere
	}
	return matchesFlow
}

// matchOpening is matchPacket for a SYN.
func (f *flowState) matchOpening(meta *packet.Meta) packetMatch {
	if f.phase != flow.Closing {
		return matchesFlow
	}
	if f.flags.has(callerTracked) && meta.Sequence == f.callerISN {
		return delayedOpening
	}
	return reusesPort
}

// acceptsReset reports whether a reset of the caller ends the flow. Its
// sequence number must be the next one of the caller, or the one that the
// upstream expects (RFC 5961). Any other reset is delivered to the upstream,
// which responds with a challenge ACK. A genuine caller then sends a reset with
// the expected number.
func (f *flowState) acceptsReset(meta *packet.Meta) bool {
	if !f.flags.has(callerTracked) && !f.flags.has(upstreamTracked) {
		return true
	}
	if f.flags.has(callerTracked) && meta.Sequence == f.callerNextSeq {
		return true
	}
	return f.flags.has(upstreamTracked) && meta.Sequence == f.upstreamLastAck
}

// trackCallerSequence updates the sequence numbers from a packet of the caller.
func (f *flowState) trackCallerSequence(meta *packet.Meta) {
	if meta.PayloadBytes > 0 {
		f.flags |= payloadDelivered
	}
	if meta.Protocol != packet.ProtocolTCP {
		return
	}
	if meta.IsOpening() && f.phase == flow.HalfOpen && !f.flags.has(callerTracked) {
		f.callerISN = meta.Sequence
	}
	if meta.IsOpening() && f.phase != flow.HalfOpen {
		// A SYN in an open flow does not carry the sequence of that flow.
		return
	}
	end := segmentEndSeq(meta)
	if !f.flags.has(callerTracked) || int32(end-f.callerNextSeq) > 0 {
		f.callerNextSeq = end
	}
	f.flags |= callerTracked
}

// trackUpstreamSequence updates the sequence numbers from a packet of the
// upstream.
func (f *flowState) trackUpstreamSequence(meta *packet.Meta) {
	if meta.Protocol != packet.ProtocolTCP {
		return
	}
	if meta.Flags.Has(packet.SYN | packet.ACK) {
		f.synAckSeq = meta.Sequence
		f.upstreamNextSeq = meta.Sequence + 1
		f.flags |= synAckSeen
	}
	if end := segmentEndSeq(meta); int32(end-f.upstreamNextSeq) > 0 {
		f.upstreamNextSeq = end
	}
	if meta.Flags.Has(packet.ACK) {
		f.upstreamLastAck = meta.Ack
		f.flags |= upstreamTracked
	}
}

// segmentEndSeq returns the sequence number after a segment.
func segmentEndSeq(meta *packet.Meta) uint32 {
	end := meta.Sequence + uint32(meta.PayloadBytes)
	if meta.Flags.Has(packet.SYN) {
		end++
	}
	if meta.Flags.Has(packet.FIN) {
		end++
	}
	return end
}

// idleTimeout returns the time without packets after which the flow ends. A
// flow with a FIN from only one side keeps the timeout of an established flow.
// So does a restored half-open flow, because the caller may have completed the
// handshake before the crash.
func (f *flowState) idleTimeout(t *Timeouts) time.Duration {
	switch {
	case f.phase == flow.Closing:
		return t.Closing
	case f.key.Protocol == packet.ProtocolUDP:
		return t.Datagram
	case f.phase == flow.HalfOpen && !f.flags.has(noPacketSinceRestore):
		return t.HalfOpen
	}
	return t.Established
}

// toRecord returns the record of the flow for its registrars and for the next
// incarnation of the agent.
func (f *flowState) toRecord(incarnation vm.Incarnation) peer.FlowRecord {
	return peer.FlowRecord{
		Key: f.key, Alias: f.alias, Phase: f.phase, HoldsSlot: f.flags.has(usesSlot),
		Incarnation: incarnation, OpenedAt: f.openedAt, PayloadDelivered: f.flags.has(payloadDelivered),
	}
}
