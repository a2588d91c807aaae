package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// unconfirmedFlowLifetime is how long the balancer that forwarded a packet of an
	// unknown flow is stored. An upstream returns such a packet at once.
	unconfirmedFlowLifetime = time.Second
	// returnedFlowLifetime is how long an agent stores that its upstream has returned a
	// packet of a flow. It must outlast the retransmissions of the caller.
	returnedFlowLifetime = 5 * time.Second
	// maxReturnedFlows bounds the flows in that store.
	maxReturnedFlows = 5_000
)

// unconfirmedFlow is a flow that the upstream may hold.
type unconfirmedFlow struct {
	// balancer gets FlowConfirmed or FlowNotFound once the upstream has sent or
	// returned a packet of the flow.
	balancer  netip.Addr
	expiresAt time.Time
}

// deliverUnconfirmed delivers a packet of an unknown flow to the upstream, which
// returns it if it does not hold the flow. If the upstream certainly does not hold the
// flow, deliverUnconfirmed reports FlowNotFound instead.
func (a *Agent) deliverUnconfirmed(now time.Time, packet *Packet, balancer netip.Addr, data []byte, actions *[]Action) {
	if a.definitelyNotHeld(now, packet.Flow) {
		a.sendMessage(now, balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
		return
	}
	a.unconfirmedFlows[packet.Flow] = unconfirmedFlow{balancer: balancer, expiresAt: now.Add(unconfirmedFlowLifetime)}
	a.scheduleSweep(now)
	*actions = append(*actions, Action{Kind: Deliver, Reason: CandidateTried, Flow: packet.Flow, Data: data})
}

// everyFlowSeen reports whether every flow that the upstream may hold is in the table.
// This is the case if no flow was evicted and this agent has run for longer than the idle
// timeout, or since the upstream started, or if there is no upstream.
func (a *Agent) everyFlowSeen(now time.Time) bool {
	if now.Before(a.flowsForgottenUntil) {
		return false
	}
	if now.Sub(a.cfg.StartedAt) > a.cfg.IdleTimeout+sweepInterval {
		return true
	}
	return a.sawUpstreamStart || (a.confirmedAbsent && !a.checkedIn)
}

// definitelyNotHeld reports whether it is certain that the upstream does not hold an
// unknown flow.
func (a *Agent) definitelyNotHeld(now time.Time, key flow.Key) bool {
	returnedAt, returned := a.returnedFlows[key]
	return (returned && now.Sub(returnedAt) < returnedFlowLifetime) || a.upstream.Status == view.Failed || a.everyFlowSeen(now)
}

// HandleMessage responds to a lookup request of a balancer.
func (a *Agent) HandleMessage(now time.Time, from netip.Addr, message *Message, actions *[]Action) {
	if message.Kind != LookupRequest {
		return
	}
	response := Message{Kind: LookupResponse, LookupID: message.LookupID, Verdicts: make([]Verdict, 0, len(message.Lookups))}
	for i := range message.Lookups {
		response.Verdicts = append(response.Verdicts, a.lookupVerdict(now, from, &message.Lookups[i]))
	}
	a.sendMessage(now, from, response, KnownFlow, actions)
}

// lookupVerdict returns the verdict on whether the upstream holds a flow.
func (a *Agent) lookupVerdict(now time.Time, from netip.Addr, lookup *FlowLookup) Verdict {
	held := a.flows[lookup.Flow]
	switch {
	case held != nil && held.upstreamExited:
		// This agent resets the caller when a packet of the flow arrives, so the balancer
		// must forward such packets here.
		if held.matchesAck(lookup.Ack) {
			return FlowHeld
		}
	case held != nil && !held.returnedByUpstream && (held.established || (held.accepted && lookup.Ack-held.answerSequence <= ackWindow)):
		held.balancer = from
		return FlowHeld
	case held == nil && !a.definitelyNotHeld(now, lookup.Flow):
		return FlowUndetermined
	}
	return FlowNotHeld
}
