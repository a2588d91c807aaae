package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
)

// refusalCheck is the result of checkRefusal for the opening of a flow.
type refusalCheck struct {
	key flow.Key
	// mayRefuse: no payload byte of the opening has reached an upstream through
	// this agent. If the request must not be executed twice, none can have reached
	// one through another agent either.
	mayRefuse bool
}

// checkRefusal checks whether an opening may be refused. While other views may
// be in use, an opening with payload may be a copy of one that another agent
// has delivered. If the service is not idempotent, its outcome is then unknown.
func (c *Core) checkRefusal(now time.Time, svc *view.Service, ref flowRef, payload bool) refusalCheck {
	if payload && !svc.Contract.Idempotent && !c.otherViewsExpired(now, svc) {
		return refusalCheck{key: ref.key}
	}
	shard := c.flows.shard(ref.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := shard.find(ref.hash, ref.key)
	return refusalCheck{key: ref.key, mayRefuse: f == nil || !f.flags.has(payloadDelivered)}
}

// refuseOpening refuses an opening if checkRefusal allows it. Otherwise it drops
// the opening, because a reset would report that the request was not executed.
func (c *Core) refuseOpening(pkt *callerPacket, reason Reason, out *Actions) {
	check := c.checkRefusal(pkt.now, pkt.svc, flowRef{hash: pkt.hash, key: pkt.key}, pkt.meta.PayloadBytes > 0)
	c.refuseOrDrop(pkt.now, check, reason, 0, out)
}

// refuseOrDrop refuses an opening if the check allows it, and drops it
// otherwise. If ticket is not 0, the opening is the buffered packet of the
// ticket.
func (c *Core) refuseOrDrop(now time.Time, check refusalCheck, reason Reason, ticket uint64, out *Actions) {
	if check.mayRefuse {
		c.events.recordFlow(now, event.Refused, check.key, string(reason), c.viewRevision())
		out.add(Action{Kind: Refuse, Flow: check.key, Reason: reason, Ticket: ticket})
		return
	}
	if ticket != 0 {
		out.add(Action{Kind: DropBuffered, Flow: check.key, Ticket: ticket, Reason: OutcomeUnknown})
		return
	}
	out.drop(OutcomeUnknown)
}
