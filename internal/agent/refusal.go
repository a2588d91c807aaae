package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
)

// notRunProof states that no payload byte of an opening can have reached an
// upstream through this agent. Only proveNotRun returns a valid one.
type notRunProof struct {
	key   flow.Key
	valid bool
}

// proveNotRun checks that an opening has not been run. While other views may be
// in use, an opening with payload may be a copy of one that ran at another
// agent. If the service is not idempotent, its outcome is then unknown.
func (c *Core) proveNotRun(now time.Time, svc *view.Service, ref flowRef, payload bool) notRunProof {
	if payload && !svc.Contract.Idempotent && !c.gracePeriodPassed(now, svc) {
		return notRunProof{key: ref.key}
	}
	shard := c.flows.shard(ref.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := shard.find(ref.hash, ref.key)
	return notRunProof{key: ref.key, valid: f == nil || !f.flags.has(payloadDelivered)}
}

// refuseOpening refuses an opening if it certainly was not run. Otherwise it
// drops the opening, which leaves the outcome open to the caller.
func (c *Core) refuseOpening(pkt *callerPacket, reason Reason, out *Actions) {
	proof := c.proveNotRun(pkt.now, pkt.svc, flowRef{hash: pkt.hash, key: pkt.key}, pkt.meta.PayloadBytes > 0)
	c.refuseWithProof(pkt.now, proof, reason, 0, out)
}

// refuseWithProof refuses an opening if the proof is valid, and drops it
// otherwise. If ticket is not 0, the opening is the buffered packet of the ticket.
func (c *Core) refuseWithProof(now time.Time, proof notRunProof, reason Reason, ticket uint64, out *Actions) {
	if proof.valid {
		c.events.recordFlow(now, event.Refused, proof.key, string(reason), c.viewRevision())
		out.add(Action{Kind: Refuse, Flow: proof.key, Reason: reason, Ticket: ticket})
		return
	}
	if ticket != 0 {
		out.add(Action{Kind: DropBuffered, Flow: proof.key, Ticket: ticket, Reason: OutcomeUnknown})
		return
	}
	out.drop(OutcomeUnknown)
}
