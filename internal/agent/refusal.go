package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
)

// notRun shows that no payload byte of an opening can have reached an upstream
// through this agent. Only proveNotRun makes one that is valid.
type notRun struct {
	key   flow.Key
	valid bool
}

// proveNotRun checks that an opening has not been run. An opening with payload
// of a non-idempotent service may be a copy of one that ran elsewhere, as long
// as other views are in use; its outcome is then unknown.
func (c *Core) proveNotRun(now time.Time, svc *view.Service, ref flowRef, payload bool) notRun {
	if payload && !svc.Contract.Idempotent && !c.settled(now, svc) {
		return notRun{key: ref.key}
	}
	s := c.flows.shard(ref.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.find(ref.hash, ref.key)
	return notRun{key: ref.key, valid: f == nil || !f.marks.has(payloadDelivered)}
}

// refuse answers an opening with "not run" if that is certain. Otherwise the
// opening is dropped, and the caller learns nothing about the outcome.
func (c *Core) refuse(a *arrival, reason Reason, out *Actions) {
	proof := c.proveNotRun(a.now, a.svc, flowRef{hash: a.hash, key: a.key}, a.m.PayloadBytes > 0)
	c.refuseProved(a.now, proof, reason, 0, out)
}

func (c *Core) refuseProved(now time.Time, proof notRun, reason Reason, ticket uint64, out *Actions) {
	if proof.valid {
		c.events.record(now, event.Refused, proof.key, string(reason), c.revision())
		out.add(Action{Kind: Refuse, Flow: proof.key, Reason: reason, Ticket: ticket})
		return
	}
	if ticket != 0 {
		out.add(Action{Kind: Discard, Flow: proof.key, Ticket: ticket, Reason: OutcomeUnknown})
		return
	}
	out.drop(OutcomeUnknown)
}
