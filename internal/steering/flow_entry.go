package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
)

const (
	// minLookupRetryDelay is the time between the first two lookups of a flow if some
	// agent could not determine whether its upstream holds the flow. It is shorter than
	// the first retransmission interval of callers (200 ms). The delay doubles up to
	// maxLookupRetryDelay, the longest retransmission interval of callers.
	minLookupRetryDelay = 150 * time.Millisecond
	maxLookupRetryDelay = 1600 * time.Millisecond
)

// flowState is the state of a flow in the table of a balancer.
type flowState uint8

const (
	// stateOpeningUnconfirmed: the opening was sent to an agent. Also after an upstream
	// has accepted it, the state lasts until the caller's next packet confirms which
	// upstream the caller uses.
	stateOpeningUnconfirmed flowState = iota
	// stateHolderKnown: packets are forwarded to the holder.
	stateHolderKnown
	// stateLookupPending: a holder lookup is queued or in progress. Packets are
	// buffered.
	stateLookupPending
	// stateOpeningQueued: the opening is queued until an upstream can accept it.
	stateOpeningQueued
	// stateHolderNotFound: the last lookup found no holder.
	stateHolderNotFound
	// stateCandidatesTried: a packet was sent to the current candidates of the lookup.
	stateCandidatesTried
)

// flowEntry is the state of one flow.
type flowEntry struct {
	key   flow.Key
	state flowState
	// upstream is the holder or, while an opening is placed, the upstream that the
	// opening was last sent to or accepted by.
	upstream *upstreamState
	// openingSequence and openingPacket are the sequence number and the content of the
	// opening.
	openingSequence uint32
	openingPacket   []byte
	// attemptedAgents lists the addresses of the agents that the opening was sent to,
	// acceptances the upstreams that accepted it.
	attemptedAgents []netip.Addr
	acceptances     []acceptance
	// waitAtArrival is how long the caller had waited when the opening arrived.
	waitAtArrival time.Duration
	// createdAt is when the first packet of the flow arrived here. deadline is when the
	// current step times out, or zero.
	createdAt    time.Time
	deadline     time.Time
	lastPacketAt time.Time
	finished     bool
	// resetByCaller is set if the caller has sent a reset.
	resetByCaller bool
	lookup        *holderLookup
	// firstLookupAt is the start of the first lookup in the current series of lookups,
	// or zero.
	firstLookupAt time.Time
	// bufferedPackets lists the packets received during a lookup, callerAck the
	// acknowledgement number of the caller's last packet.
	bufferedPackets [][]byte
	callerAck       uint32
	// notFoundAt is when the last lookup ended without a holder. deniedByAll is set if
	// the directory was complete in that lookup and every agent denied the flow, except
	// for those that the directory lists as failed and that did not respond.
	// failedLookups counts the lookups without a holder.
	notFoundAt    time.Time
	deniedByAll   bool
	failedLookups int
}

// lookupRetryDelay returns the delay before the next lookup of the flow.
func (e *flowEntry) lookupRetryDelay() time.Duration {
	const maxDoublings = 4
	return min(minLookupRetryDelay<<min(max(e.failedLookups-1, 0), maxDoublings), maxLookupRetryDelay)
}

// acceptance is an upstream that has accepted the opening, with the sequence number
// of its SYN-ACK.
type acceptance struct {
	upstream *upstreamState
	sequence uint32
}
